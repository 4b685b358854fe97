//! Store, VMs and what has been seen so far.

use crate::{
    history::{Acknowledged, History},
    machine::{Machine, MachinePlan},
};
use bytes::Bytes;
use camphorturn::local_mesh::client::{CallerCall, CallerClient};
use camphorturn_stand_ins::{
    store::StandInStore,
    upstream::{RanRequest, RunRecord},
};
use http::{HeaderMap, Method};
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    env, fs, io,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process,
    rc::Rc,
    sync::PoisonError,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// The service that callers' requests go to, and the one beside it.
const SERVICES: [&str; 2] = ["desk", "records"];
/// Availability zones.
const ZONES: [&str; 2] = ["a", "b"];
/// Pause between two announcements of an upstream.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for an answer to an announcement or a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a process is looked at, and the pause before it is started again.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Everything that plays.
pub struct World {
    /// The platform's store.
    pub store: StandInStore,
    /// The VMs.
    pub machines: Vec<Machine>,
    /// What was seen.
    pub history: RefCell<History>,
    /// Folder with settings and logs.
    pub folder: PathBuf,
    runs: RunRecord,
    version: Cell<u64>,
    over: Cell<bool>,
}

impl World {
    /// Starts store, upstreams and nodes, with a configuration in the store.
    ///
    /// # Errors
    /// If a port can't be bound, a file written or a process started.
    pub async fn start(nodes: usize) -> io::Result<Rc<Self>> {
        let folder = env::temp_dir().join(format!("camphorturn-soak-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let store = StandInStore::start().await?;
        let runs = RunRecord::default();
        let mut machines = Vec::new();
        for number in 0..nodes {
            let plan = MachinePlan {
                number,
                ip: choose_ip(number),
                zone: ZONES[number / 2 % ZONES.len()],
                service: SERVICES[number % SERVICES.len()],
                folder: folder.clone(),
            };
            machines.push(Machine::open(plan, store.address, RunRecord::clone(&runs)).await?);
        }
        let world = Rc::new(Self {
            store,
            machines,
            history: RefCell::default(),
            folder,
            runs,
            version: Cell::new(0),
            over: Cell::new(false),
        });
        world.publish();
        for machine in &world.machines {
            machine.start_node()?;
        }
        for number in 0..nodes {
            spawn_local(announce(Rc::clone(&world), number));
            spawn_local(supervise(Rc::clone(&world), number));
        }
        Ok(world)
    }

    /// Publishes the next configuration: each version adds a route.
    pub fn publish(&self) {
        let version = self.version.get() + 1;
        self.store.put("keyed.op", "config", &describe(version));
        self.version.set(version);
    }

    /// The newest version's route; 0 means that only the first two exist.
    #[must_use]
    pub fn route_version(&self) -> u64 {
        self.version.get() - 1
    }

    /// Whether the callers are to end.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Lets callers end, and processes stay ended.
    pub fn finish(&self) {
        self.over.set(true);
    }

    /// What upstreams have run so far.
    #[must_use]
    pub fn list_runs(&self) -> Vec<RanRequest> {
        let runs = self.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a node says that clients may come.
    pub async fn is_ready(&self, node: usize) -> bool {
        let client = CallerClient::new(self.machines[node].ready());
        let call = build_call(Method::GET, "/-/ready".to_owned(), String::new());
        let answer = timeout(ANSWER_TIMEOUT, client.call(call)).await;
        matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Waits until all nodes are ready; false if that takes too long.
    pub async fn wait_ready(&self, patience: Duration) -> bool {
        let began = Instant::now();
        for node in 0..self.machines.len() {
            while !self.is_ready(node).await {
                if began.elapsed() > patience {
                    return false;
                }
                sleep(LOOK_PAUSE).await;
            }
        }
        true
    }

    /// Removes the folder with settings and logs.
    pub fn remove_folder(&self) {
        remove(&self.folder);
    }
}

fn remove(folder: &Path) {
    // What can't be removed stays in the system's folder for such files.
    let _ = fs::remove_dir_all(folder);
}

/// Addresses of one tool's VMs: several tools may run at the same time.
fn choose_ip(number: usize) -> Ipv4Addr {
    let id = process::id();
    let part = |value: u32| u8::try_from(value).unwrap_or(1);
    let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, part(100 + id % 100), part(id / 100 % 250), last)
}

/// The operator's configuration, as the platform has it.
fn describe(version: u64) -> String {
    let path = |name: String, prefix: String, kind: &str, service: &str| {
        json!({
            "name": name, "path_prefix": prefix, "kind": kind, "timeout_s": 2,
            "latency_target_s": 0.3, "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    let mut paths = vec![
        path("look".into(), "/look/".into(), "safe", SERVICES[0]),
        path(
            "book".into(),
            "/book/".into(),
            "non_idempotent",
            SERVICES[0],
        ),
    ];
    for number in 1..version {
        let service = SERVICES[usize::from(number.is_multiple_of(2))];
        let name = format!("v{number}");
        paths.push(path(name.clone(), format!("/{name}/"), "safe", service));
    }
    let service = |name| json!({ "name": name, "health_path": "/health", "max_connections": 260 });
    json!({
        "version": format!("{version:08x}"), "base_version": "00000000",
        "services": SERVICES.map(service),
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "virtual_hosts": [{ "host": "shop.example", "paths": paths }],
    })
    .to_string()
}

fn build_call(method: Method, target: String, body: String) -> CallerCall {
    CallerCall {
        method,
        target,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}

/// The upstream of a VM announces itself to its node until the end.
async fn announce(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    let client = CallerClient::new(machine.announcements());
    let mut sequence = 0;
    while !world.is_over() {
        sequence += 1;
        let (instance, leaving) = (machine.instance(), machine.leaving.get());
        let body = json!({
            "service": machine.plan.service, "address": machine.upstream_link.address.to_string(),
            "zone": machine.plan.zone, "version": "v1", "slots": 6,
            "state": if leaving { "draining" } else { "ready" },
            "warmup_left_s": 0, "sequence": sequence,
        });
        let target = format!("/-/rpc?call=instances.heartbeat&of={instance}");
        let call = client.call(build_call(Method::POST, target, body.to_string()));
        let answer = timeout(ANSWER_TIMEOUT, call).await;
        let taken = matches!(answer, Ok(Ok(answer)) if answer.status.is_success());
        if taken && leaving {
            let at = Instant::now();
            let mut history = world.history.borrow_mut();
            history
                .acknowledged
                .push(Acknowledged::Leaving { instance, at });
        }
        sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Starts a node's process again whenever it has ended.
async fn supervise(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    while !world.is_over() {
        sleep(LOOK_PAUSE).await;
        if machine.has_ended() && !world.is_over() {
            sleep(RESTART_PAUSE).await;
            if let Err(error) = machine.start_node() {
                eprintln!("node {number} can't be started again: {error}");
            }
        }
    }
}
