//! Store, VMs and what has been seen so far.

use crate::{
    configurations::{Configurations, SERVICES},
    foreign::{Damage, ForeignPlace, damage},
    heartbeats::{send_foreign, send_heartbeats},
    history::{Acknowledged, Evacuation, Hindrance, History},
    machine::{Machine, MachinePlan, ZONES, choose_zone},
    plan::draw_link_rate,
};
use bytes::Bytes;
use camphorturn::local_mesh::client::{CallerCall, CallerClient};
use camphorturn_stand_ins::{
    store::{LostRecord, StandInStore},
    upstream::{ExecutedRequest, ExecutionLog},
};
use http::{HeaderMap, Method};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    env, fs, io,
    net::Ipv4Addr,
    path::PathBuf,
    process,
    rc::Rc,
    sync::PoisonError,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// Topics of the store.
const CONFIGURATION_TOPIC: &str = "keyed.op";
const CONFIGURATION_KEY: &str = "config";
const EVACUATION_KEY: &str = "evacuate/";
const NODES_TOPIC: &str = "keyed.nodes";
/// Key of records that no node and no operator writes.
const FOREIGN_KEY: &str = "10.254.0.\u{f6}/&=+ 1";
/// Where links are thin, most pairs of a node with a thin link and another: the connections of a pair take some twelve
/// files of this process, and 20,000 are usual. All of 36 nodes have thin links, 20 of 64, 13 of 100.
const THIN_PAIRS: usize = 1_300;
/// Longest wait for an answer to a heartbeat or a question.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
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
    /// What the operator has published.
    pub configurations: RefCell<Configurations>,
    runs: ExecutionLog,
    over: Cell<bool>,
}

impl World {
    /// Starts store, upstreams and nodes, with a configuration in the store.
    ///
    /// # Errors
    /// If a port can't be bound, a file written or a process started.
    pub async fn start(nodes: usize, seed: Option<u64>) -> io::Result<Rc<Self>> {
        let link_rate = seed.and_then(draw_link_rate);
        let name = format!("camphorturn-soak-{}-{}", process::id(), seed.unwrap_or(0));
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = StandInStore::start().await?;
        let runs = ExecutionLog::default();
        let mut machines = Vec::new();
        for number in 0..nodes {
            let plan = MachinePlan {
                number,
                ip: choose_ip(number),
                zone: ZONES[choose_zone(number)],
                service: SERVICES[number % SERVICES.len()],
                folder: folder.clone(),
                link_rate: link_rate.filter(|_| number < THIN_PAIRS / nodes),
            };
            machines.push(Machine::open(plan, store.address, ExecutionLog::clone(&runs)).await?);
        }
        let world = Rc::new(Self {
            store,
            machines,
            history: RefCell::default(),
            folder,
            configurations: RefCell::default(),
            runs,
            over: Cell::new(false),
        });
        world.write_configuration();
        for machine in &world.machines {
            machine.start_node()?;
        }
        for number in 0..nodes {
            spawn_local(send_heartbeats(Rc::clone(&world), number));
            spawn_local(supervise(Rc::clone(&world), number));
        }
        Ok(world)
    }

    /// Publishes a configuration with that many more routes.
    pub fn publish(&self, routes: usize) {
        self.configurations.borrow_mut().add(routes);
        self.write_configuration();
        let change = Acknowledged::Change {
            route_version: self.configurations.borrow().newest(),
            at: Instant::now(),
        };
        self.history.borrow_mut().acknowledged.push(change);
    }

    fn write_configuration(&self) {
        let document = self.configurations.borrow().describe();
        self.store
            .put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, &document);
    }

    /// Writes again what the operator wrote and the store has lost: the newest record of each key, so that offsets differ from those
    /// before.
    pub fn write_again(&self, lost: &[LostRecord]) {
        let mut newest = BTreeMap::new();
        let by_operator = lost.iter().enumerate();
        for (place, record) in by_operator.filter(|(_, lost)| lost.topic == CONFIGURATION_TOPIC) {
            newest.insert(record.key.as_str(), place);
        }
        let places: BTreeSet<usize> = newest.into_values().collect();
        for record in places.into_iter().map(|place| &lost[place]) {
            self.store
                .put_bytes(&record.topic, &record.key, &record.value);
        }
    }

    /// Evacuates the zone of that number.
    pub fn evacuate(&self, zone: usize) {
        let key = format!("{EVACUATION_KEY}{}", ZONES[zone]);
        self.store.put(CONFIGURATION_TOPIC, &key, "{}");
        self.history.borrow_mut().evacuations.push(Evacuation {
            zone,
            from: Instant::now(),
            to: None,
        });
    }

    /// Takes the zone of that number back, however often it was evacuated.
    pub fn take_back(&self, zone: usize) {
        let now = Instant::now();
        let mut history = self.history.borrow_mut();
        let open = history.evacuations.iter_mut();
        for evacuation in open.filter(|open| open.zone == zone && open.to.is_none()) {
            evacuation.to = Some(now);
        }
        drop(history);
        let key = format!("{EVACUATION_KEY}{}", ZONES[zone]);
        self.store.delete_key(CONFIGURATION_TOPIC, &key);
    }

    /// Puts foreign bytes in a place of the store, or into a heartbeat.
    pub async fn put_foreign(&self, node: usize, place: ForeignPlace, how: Damage) {
        let machine = &self.machines[node];
        let own = machine.plan.ip.to_string();
        let (topic, key) = match place {
            ForeignPlace::OwnRecord => (NODES_TOPIC, own.as_str()),
            ForeignPlace::OtherRecord => (NODES_TOPIC, FOREIGN_KEY),
            ForeignPlace::Configuration => (CONFIGURATION_TOPIC, CONFIGURATION_KEY),
            ForeignPlace::OtherConfiguration => (CONFIGURATION_TOPIC, FOREIGN_KEY),
            ForeignPlace::Heartbeat => return send_foreign(machine, how).await,
        };
        let proper = if topic == NODES_TOPIC {
            self.store.newest_value(topic, &own).unwrap_or_default()
        } else {
            self.configurations.borrow().describe()
        };
        self.store.put_bytes(topic, key, &damage(&proper, how));
        if key == CONFIGURATION_KEY {
            // A node that starts finds nothing else there.
            self.write_configuration();
        }
    }

    /// Notes what has kept a node, or each, from learning of changes until now.
    pub fn note_hindrance(&self, node: Option<usize>, from: Instant) {
        let to = Instant::now();
        let mut history = self.history.borrow_mut();
        history.hindrances.push(Hindrance { node, from, to });
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
    pub fn list_runs(&self) -> Vec<ExecutedRequest> {
        let runs = self.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a node says that clients may come.
    pub async fn is_ready(&self, node: usize) -> bool {
        let client = CallerClient::new(self.machines[node].ready());
        let call = build_call(Method::GET, "/-/ready".to_owned(), Vec::new());
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
        // What can't be removed stays in the system's folder for such files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Addresses of one tool's VMs: several tools may run at the same time.
fn choose_ip(number: usize) -> Ipv4Addr {
    let id = process::id();
    let part = |value: u32| u8::try_from(value).unwrap_or(1);
    let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, part(100 + id % 100), part(id / 100 % 250), last)
}

/// A call of the platform.
pub fn build_call(method: Method, target: String, body: Vec<u8>) -> CallerCall {
    CallerCall {
        method,
        target,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}

/// Starts a node's process again whenever it has ended.
async fn supervise(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    while !world.is_over() {
        sleep(LOOK_PAUSE).await;
        if machine.has_ended() && !world.is_over() {
            let from = machine.told_to_end.get().unwrap_or_else(Instant::now);
            sleep(RESTART_PAUSE).await;
            if let Err(error) = machine.start_node() {
                eprintln!("node {number} can't be started again: {error}");
            }
            world.note_hindrance(Some(number), from);
        }
    }
}
