//! One VM: a node in its own process, its upstream, and the links from the node to the upstream and the store.

use crate::{
    fault_plan::LinkFault,
    link::{Link, LinkCondition},
};
use camphorturn_stand_ins::upstream::{
    ExecutionLog, ServiceTime, StandInUpstream, UpstreamHeaderNames, UpstreamSettings,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    cell::{Cell, RefCell},
    env, fs,
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};

/// Names of the availability zones.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Ports, the same on every VM: VMs differ in their IP address. They are below the system's range of ephemeral ports.
const CLIENTS_PORT: u16 = 20_041;
const PEERS_PORT: u16 = 20_042;
const READY_PORT: u16 = 20_043;
const ANNOUNCEMENTS_PORT: u16 = 20_044;
const METRICS_PORT: u16 = 20_045;
/// Port on which a node behind a link of limited bandwidth listens for other nodes; the link takes the usual port.
const NODE_BEHIND_LINK_PORT: u16 = 20_046;
/// Time that a planned stop may take, in seconds.
const GRACE_SECONDS: u64 = 5;
/// Number of slots of every upstream.
const SLOTS: u16 = 6;
/// Prefix of the paths of requests that crash the upstream which executes them.
pub const CRASHING_PREFIX: &str = "/look/crash-";
/// Delay of each chunk on a slow link, each way.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Number of a VM's availability zone. VMs 2n and 2n + 1, whose services differ, share a zone.
#[must_use]
pub const fn get_zone_number(number: usize) -> usize {
    number / 2 % ZONES.len()
}

/// Fixed properties of a VM.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Number of the VM, counted from 0; also the number of its node.
    pub number: usize,
    /// IP address of the VM, in 127.0.0.0/8: all of these are loopback addresses of this host.
    pub ip: Ipv4Addr,
    /// Availability zone of the VM.
    pub zone: &'static str,
    /// Service of the VM's upstream.
    pub service: &'static str,
    /// Folder for the node's settings and log.
    pub folder: PathBuf,
    /// Whether other nodes reach this one over a link.
    pub has_peers_link: bool,
    /// Bandwidth of the link from other nodes in bytes per second, each way; none if it is unlimited.
    pub link_bytes_per_second: Option<u32>,
}

/// A running VM.
pub struct Vm {
    /// Fixed properties.
    pub plan: VmPlan,
    /// The local upstream.
    pub upstream: Rc<StandInUpstream>,
    /// Link from the node to its upstream.
    pub upstream_link: Link,
    /// Link from the node to the store.
    pub store_link: Link,
    /// Incarnation of the node's process, counted from 1; 0 before the first start.
    pub node_incarnation: Cell<u64>,
    /// Incarnation of the upstream, counted from 1. A restart under the same instance id doesn't count.
    pub upstream_incarnation: Cell<u64>,
    /// Whether the upstream is draining.
    pub is_leaving: Cell<bool>,
    /// When the node's process first got SIGTERM or SIGKILL; none since its start.
    pub stop_requested_at: Cell<Option<Instant>>,
    heartbeat_count: Cell<u64>,
    /// Link from other nodes, if there is one.
    pub peers_link: Option<Link>,
    retry_slack: Cell<u32>,
    process: RefCell<Option<Child>>,
}

impl Vm {
    /// Starts the upstream and the links, but not the node: see [`Self::start_node`]. `executions` takes what the upstream
    /// executes.
    ///
    /// # Errors
    /// If no port is free, or the address of the link from other nodes is in use.
    pub async fn open(
        plan: VmPlan,
        store: SocketAddr,
        executions: ExecutionLog,
    ) -> io::Result<Self> {
        let settings = UpstreamSettings {
            instance: format_instance(plan.number, 1),
            names: UpstreamHeaderNames::PLATFORM,
            slots: SLOTS,
            service_times: vec![ServiceTime {
                path_prefix: "/".to_owned(),
                median: Duration::from_millis(8),
                spread: 0.6,
            }],
            seed: plan.number as u64,
            echoes_request: true,
            executions,
            crash_prefixes: vec![CRASHING_PREFIX.to_owned()],
        };
        let upstream = StandInUpstream::start_with(settings).await?;
        let upstream_link = Link::open(upstream.address).await?;
        let mut peers_link = None;
        if plan.has_peers_link {
            let (link_address, to) = (PEERS_PORT, NODE_BEHIND_LINK_PORT);
            let (link_address, to) = ((plan.ip, link_address).into(), (plan.ip, to).into());
            peers_link =
                Some(Link::open_with_rate(link_address, to, plan.link_bytes_per_second).await?);
        }
        Ok(Self {
            upstream: Rc::new(upstream),
            upstream_link,
            store_link: Link::open(store).await?,
            node_incarnation: Cell::new(0),
            upstream_incarnation: Cell::new(1),
            is_leaving: Cell::new(false),
            stop_requested_at: Cell::default(),
            heartbeat_count: Cell::new(0),
            peers_link,
            retry_slack: Cell::new(64),
            process: RefCell::default(),
            plan,
        })
    }

    /// Address to which clients on the VM connect.
    #[must_use]
    pub fn client_address(&self) -> SocketAddr {
        (self.plan.ip, CLIENTS_PORT).into()
    }

    /// Address that answers whether the node is ready.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        (self.plan.ip, READY_PORT).into()
    }

    /// Address to which the upstream sends its heartbeats.
    #[must_use]
    pub fn announcement_address(&self) -> SocketAddr {
        (self.plan.ip, ANNOUNCEMENTS_PORT).into()
    }

    /// The node's log file.
    #[must_use]
    pub fn log_path(&self) -> PathBuf {
        self.plan.folder.join(format!("n{}.log", self.plan.number))
    }

    fn settings_path(&self) -> PathBuf {
        self.plan.folder.join(format!("n{}.yaml", self.plan.number))
    }

    /// Instance id of the upstream's current incarnation.
    #[must_use]
    pub fn instance(&self) -> String {
        format_instance(self.plan.number, self.upstream_incarnation.get())
    }

    /// Replaces the upstream with another incarnation at the same address.
    pub fn replace_upstream(&self) {
        self.upstream_incarnation
            .set(self.upstream_incarnation.get() + 1);
        self.is_leaving.set(false);
        self.heartbeat_count.set(0);
        self.upstream.set_leaving(false);
        self.upstream.replace_incarnation(&self.instance());
    }

    /// Restarts the upstream after a crash, under the same instance id.
    pub fn restart_upstream(&self) {
        self.is_leaving.set(false);
        self.heartbeat_count.set(0);
        self.upstream.restart_after_crash();
    }

    /// Sequence number of the next heartbeat of the current incarnation, counted from 1.
    #[must_use]
    pub fn next_heartbeat_number(&self) -> u64 {
        self.heartbeat_count.set(self.heartbeat_count.get() + 1);
        self.heartbeat_count.get()
    }

    /// Starts the node's process.
    ///
    /// # Errors
    /// If the settings or the log can't be written, or the process can't be started.
    pub fn start_node(&self) -> io::Result<()> {
        self.write_settings()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let mut command = Command::new(env::current_exe()?);
        command.arg("node");
        if self.peers_link.is_some() {
            command.args(["--behind-link", &NODE_BEHIND_LINK_PORT.to_string()]);
        }
        let child = command
            .env("CAMPHORTURN_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.node_incarnation.set(self.node_incarnation.get() + 1);
        self.stop_requested_at.set(None);
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    /// Sends a signal to the node's process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::SIGTERM | Signal::SIGKILL)
            && self.stop_requested_at.get().is_none()
        {
            self.stop_requested_at.set(Some(Instant::now()));
        }
        if let Some(child) = self.process.borrow().as_ref() {
            // The process id isn't reused before the process has been waited for.
            let id = i32::try_from(child.id()).map(Pid::from_raw);
            let _ = id.map(|id| kill(id, signal));
        }
    }

    /// Whether the node's process has ended or was not started.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Writes the settings with another limit on retries.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn change_settings(&self) -> io::Result<()> {
        self.retry_slack.set(self.retry_slack.get() % 90 + 10);
        self.write_settings()
    }

    /// Makes a link fail, or work again if `fault` is none.
    pub fn set_link_fault(link: &Link, fault: Option<LinkFault>) {
        match fault {
            None => link.set_condition(LinkCondition::Healthy),
            Some(LinkFault::Reset) => link.reset(),
            Some(LinkFault::Slow) => link.set_condition(LinkCondition::Slow(SLOW_LINK_DELAY)),
            Some(LinkFault::AnswersLost) => link.set_condition(LinkCondition::AnswersLost),
            Some(LinkFault::Silent) => link.set_condition(LinkCondition::Silent),
        }
    }

    fn write_settings(&self) -> io::Result<()> {
        let VmPlan {
            number,
            ip,
            zone,
            service,
            ..
        } = &self.plan;
        let (app, store) = (self.upstream_link.address, self.store_link.address);
        let retry_slack = self.retry_slack.get();
        let first_start = self.node_incarnation.get() == 0;
        let text = format!(
            "node_name: \"n{number}\"\nbootstrap: {first_start}\nzone: \"{zone}\"\nlisten_addrs:\n  outbound: \"{ip}:{CLIENTS_PORT}\"\n  \
             inbound: \"{ip}:{PEERS_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n  control_plane: \
             \"{ip}:{ANNOUNCEMENTS_PORT}\"\nport_range:\n  - {METRICS_PORT}\n  - {METRICS_PORT}\npolicies:\n  - \"health\"\npolicy_params:\n  \
             retry_budget_ratio: 0.2\n  retry_slack: {retry_slack}\n  retry_window_s: 10\n  grace_s: {GRACE_SECONDS}\n  \
             probes_per_s: 60\n  warmup_overage: 1.5\n  warmup_slack: 8\napp_addr: \"{app}\"\nservice: \"{service}\"\nplatform:\n  address: \"{store}\"\n"
        );
        let path = self.settings_path();
        let new = path.with_extension("new");
        // Replaced by renaming, so that a node which reads the file sees either the old or the new content.
        fs::write(&new, text)?;
        fs::rename(new, path)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.borrow_mut().take() {
            // Killing a process that has already ended is an error, which does not matter here.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn format_instance(number: usize, incarnation: u64) -> String {
    format!("u{number}-{incarnation}")
}
