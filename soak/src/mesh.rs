//! The mesh under test: the store, the VMs, the published configurations and the recorded history.

use crate::{
    configurations::{Configurations, SERVICES},
    corruption::{Corruption, CorruptionTarget, corrupt},
    fault_plan::{draw_link_bandwidth, has_partition},
    heartbeats::{send_corrupted_heartbeat, send_heartbeats},
    history::{Acknowledged, Evacuation, History, UpdateOutage},
    vm::{Vm, VmPlan, ZONES, get_zone_number},
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

/// Topics and keys of the store. The key of an evacuation ends with the zone's name.
const CONFIGURATION_TOPIC: &str = "keyed.op";
const CONFIGURATION_KEY: &str = "config";
const EVACUATION_KEY_PREFIX: &str = "evacuate/";
const NODES_TOPIC: &str = "keyed.nodes";
/// Key that neither nodes nor operators use. Its characters need escaping in URLs.
const UNRELATED_KEY: &str = "10.254.0.\u{f6}/&=+ 1";
/// Limit on pairs of a node with a link of low bandwidth and another node. The connections of a pair take about twelve file
/// descriptors of this process, whose limit usually is 20,000. All of 36 nodes have such links, 20 of 64, and 13 of 100.
const MAX_LOW_BANDWIDTH_PAIRS: usize = 1_300;
/// Timeout of heartbeats and of readiness requests.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which processes and readiness are polled, and the delay before an ended process is restarted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The store, the VMs with their nodes and upstreams, and the record of what happens.
pub struct SoakMesh {
    /// Stand-in for the platform's store.
    pub store: StandInStore,
    /// The VMs; a VM's index is its number.
    pub vms: Vec<Vm>,
    /// What callers, upstreams and the operator have observed so far.
    pub history: RefCell<History>,
    /// Folder with the nodes' settings and logs.
    pub folder: PathBuf,
    /// The configurations that the operator has published.
    pub configurations: RefCell<Configurations>,
    executions: ExecutionLog,
    finished: Cell<bool>,
}

impl SoakMesh {
    /// Starts the store, the upstreams and the nodes, with a configuration in the store. Without a seed the links' bandwidth is unlimited.
    ///
    /// # Errors
    /// If a port can't be bound, a file can't be written or a process can't be started.
    pub async fn start(nodes: usize, seed: Option<u64>) -> io::Result<Rc<Self>> {
        let link_bytes_per_second = seed.and_then(draw_link_bandwidth);
        let name = format!("camphorturn-soak-{}-{}", process::id(), seed.unwrap_or(0));
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = StandInStore::start().await?;
        let executions = ExecutionLog::default();
        let mut vms = Vec::new();
        for number in 0..nodes {
            let may_have_link = number < MAX_LOW_BANDWIDTH_PAIRS / nodes;
            let plan = VmPlan {
                number,
                ip: compute_ip(number),
                zone: ZONES[get_zone_number(number)],
                service: SERVICES[number % SERVICES.len()],
                folder: folder.clone(),
                has_peers_link: may_have_link
                    && (link_bytes_per_second.is_some() || seed.is_some_and(has_partition)),
                link_bytes_per_second: link_bytes_per_second.filter(|_| may_have_link),
            };
            vms.push(Vm::open(plan, store.address, ExecutionLog::clone(&executions)).await?);
        }
        let mesh = Rc::new(Self {
            store,
            vms,
            history: RefCell::default(),
            folder,
            configurations: RefCell::default(),
            executions,
            finished: Cell::new(false),
        });
        mesh.write_configuration();
        for vm in &mesh.vms {
            vm.start_node()?;
        }
        for number in 0..nodes {
            spawn_local(send_heartbeats(Rc::clone(&mesh), number));
            spawn_local(supervise(Rc::clone(&mesh), number));
        }
        Ok(mesh)
    }

    /// Publishes a configuration with `routes` more routes.
    pub fn publish(&self, routes: usize) {
        self.configurations.borrow_mut().add_version(routes);
        self.write_configuration();
        let change = Acknowledged::Change {
            route_version: self.configurations.borrow().newest_version(),
            at: Instant::now(),
        };
        self.history.borrow_mut().acknowledged.push(change);
    }

    fn write_configuration(&self) {
        let document = self.configurations.borrow().build_document();
        self.store
            .put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, &document);
    }

    /// Writes the operator's records that the store has lost once more, but only the newest of each key. Their offsets
    /// then differ from those before.
    pub fn rewrite_lost(&self, lost: &[LostRecord]) {
        let mut newest = BTreeMap::new();
        let by_operator = lost.iter().enumerate();
        for (index, record) in by_operator.filter(|(_, lost)| lost.topic == CONFIGURATION_TOPIC) {
            newest.insert(record.key.as_str(), index);
        }
        let indices: BTreeSet<usize> = newest.into_values().collect();
        for record in indices.into_iter().map(|index| &lost[index]) {
            self.store
                .put_bytes(&record.topic, &record.key, &record.value);
        }
    }

    /// Evacuates the availability zone with this number.
    pub fn evacuate(&self, zone: usize) {
        let key = format!("{EVACUATION_KEY_PREFIX}{}", ZONES[zone]);
        self.store.put(CONFIGURATION_TOPIC, &key, "{}");
        self.history.borrow_mut().evacuations.push(Evacuation {
            zone,
            from: Instant::now(),
            to: None,
        });
    }

    /// Restores the zone with this number, however often it was evacuated.
    pub fn restore_zone(&self, zone: usize) {
        let now = Instant::now();
        let mut history = self.history.borrow_mut();
        let unrestored = history.evacuations.iter_mut();
        for evacuation in
            unrestored.filter(|unrestored| unrestored.zone == zone && unrestored.to.is_none())
        {
            evacuation.to = Some(now);
        }
        drop(history);
        let key = format!("{EVACUATION_KEY_PREFIX}{}", ZONES[zone]);
        self.store.delete_key(CONFIGURATION_TOPIC, &key);
    }

    /// Writes a malformed document into the store, or sends it as a heartbeat.
    pub async fn write_corrupted(
        &self,
        node: usize,
        target: CorruptionTarget,
        corruption: Corruption,
    ) {
        let vm = &self.vms[node];
        let own = vm.plan.ip.to_string();
        let (topic, key) = match target {
            CorruptionTarget::OwnRecord => (NODES_TOPIC, own.as_str()),
            CorruptionTarget::OtherRecord => (NODES_TOPIC, UNRELATED_KEY),
            CorruptionTarget::Configuration => (CONFIGURATION_TOPIC, CONFIGURATION_KEY),
            CorruptionTarget::OtherConfiguration => (CONFIGURATION_TOPIC, UNRELATED_KEY),
            CorruptionTarget::Heartbeat => return send_corrupted_heartbeat(vm, corruption).await,
        };
        let original = if topic == NODES_TOPIC {
            self.store.newest_value(topic, &own).unwrap_or_default()
        } else {
            self.configurations.borrow().build_document()
        };
        self.store
            .put_bytes(topic, key, &corrupt(&original, corruption));
        if key == CONFIGURATION_KEY {
            // A node that starts now would find no other configuration.
            self.write_configuration();
        }
    }

    /// Records that `node`, or every node without one, received no changes since `from`.
    pub fn record_update_outage(&self, node: Option<usize>, from: Instant) {
        let to = Instant::now();
        let mut history = self.history.borrow_mut();
        history.update_outages.push(UpdateOutage { node, from, to });
    }

    /// Whether callers must stop sending requests, and ended processes are no longer restarted.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Makes callers stop, and ended processes stay ended.
    pub fn finish(&self) {
        self.finished.set(true);
    }

    /// Requests that upstreams have executed so far.
    #[must_use]
    pub fn list_executions(&self) -> Vec<ExecutedRequest> {
        let executions = self.executions.lock();
        executions.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a node reports that it is ready for clients.
    pub async fn is_ready(&self, node: usize) -> bool {
        let client = CallerClient::new(self.vms[node].readiness_address());
        let call = build_call(Method::GET, "/-/ready".to_owned(), Vec::new());
        let answer = timeout(ANSWER_TIMEOUT, client.call(call)).await;
        matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
    }

    /// Waits until all nodes are ready. Returns false if that takes longer than `timeout_after`.
    pub async fn wait_until_ready(&self, timeout_after: Duration) -> bool {
        let began = Instant::now();
        for node in 0..self.vms.len() {
            while !self.is_ready(node).await {
                if began.elapsed() > timeout_after {
                    return false;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        true
    }

    /// Removes the folder with settings and logs.
    pub fn remove_folder(&self) {
        // Files that can't be removed stay in the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// IP address of a VM. It depends on the tool's process id, since several tools may run at the same time.
fn compute_ip(number: usize) -> Ipv4Addr {
    let id = process::id();
    let octet = |value: u32| u8::try_from(value).unwrap_or(1);
    let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, octet(100 + id % 100), octet(id / 100 % 250), last)
}

/// Builds a call without headers.
pub fn build_call(method: Method, target: String, body: Vec<u8>) -> CallerCall {
    CallerCall {
        method,
        target,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}

/// Restarts a node's process whenever it has ended, until the mesh is finished.
async fn supervise(mesh: Rc<SoakMesh>, number: usize) {
    let vm = &mesh.vms[number];
    while !mesh.is_finished() {
        sleep(POLL_INTERVAL).await;
        if vm.has_ended() && !mesh.is_finished() {
            let from = vm.stop_requested_at.get().unwrap_or_else(Instant::now);
            sleep(RESTART_DELAY).await;
            if let Err(error) = vm.start_node() {
                eprintln!("could not restart node {number}: {error}");
            }
            mesh.record_update_outage(Some(number), from);
        }
    }
}
