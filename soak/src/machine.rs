//! One VM: a node as a process of its own, its upstream, and the links between them and the store.

use crate::{
    link::{Link, LinkCondition},
    plan::IllLink,
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

/// Availability zones.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Ports of every VM; its address tells it apart. Below the range of ports that the system hands out.
const CLIENTS_PORT: u16 = 20_041;
const PEERS_PORT: u16 = 20_042;
const READY_PORT: u16 = 20_043;
const ANNOUNCEMENTS_PORT: u16 = 20_044;
const METRICS_PORT: u16 = 20_045;
/// Where a node listens for other nodes whose link to it is thin: they connect to the link.
const BEHIND_LINK_PORT: u16 = 20_046;
/// Time for a planned stop, in seconds.
const GRACE_SECONDS: u64 = 5;
/// Slots of every upstream.
const SLOTS: u16 = 6;
/// Start of the paths of requests that crash the upstream which runs them.
pub const CRASHING_PREFIX: &str = "/look/crash-";
/// Delay of a slow link, each way.
const SLOW: Duration = Duration::from_millis(60);

/// Number of the zone of a VM: neighbours of different services share one.
#[must_use]
pub const fn choose_zone(number: usize) -> usize {
    number / 2 % ZONES.len()
}

/// What a VM is.
#[derive(Clone, Debug)]
pub struct MachinePlan {
    /// Its number.
    pub number: usize,
    /// Its address; all of 127.0.0.0/8 is this machine.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: &'static str,
    /// The service of its upstream.
    pub service: &'static str,
    /// Folder for its settings and its log.
    pub folder: PathBuf,
    /// Bytes a second that the link from other nodes carries each way; none if it is not thin.
    pub link_rate: Option<u32>,
}

/// A running VM.
pub struct Machine {
    /// What it is.
    pub plan: MachinePlan,
    /// Its upstream.
    pub upstream: Rc<StandInUpstream>,
    /// Link from the node to its upstream.
    pub upstream_link: Link,
    /// Link from the node to the store.
    pub store_link: Link,
    /// Numbers the runs of the node's process.
    pub node_run: Cell<u64>,
    /// Numbers the runs of the upstream.
    pub upstream_run: Cell<u64>,
    /// Whether the upstream has begun to leave.
    pub leaving: Cell<bool>,
    /// When the node's process was first told to end, or killed.
    pub told_to_end: Cell<Option<Instant>>,
    heartbeats: Cell<u64>,
    peers_link: Option<Link>,
    slack: Cell<u32>,
    process: RefCell<Option<Child>>,
}

impl Machine {
    /// Starts upstream and links; the node is started by [`Self::start_node`].
    ///
    /// # Errors
    /// If no port is free.
    pub async fn open(
        plan: MachinePlan,
        store: SocketAddr,
        executions: ExecutionLog,
    ) -> io::Result<Self> {
        let settings = UpstreamSettings {
            instance: name_run(plan.number, 1),
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
        if plan.link_rate.is_some() {
            let (near, to) = (PEERS_PORT, BEHIND_LINK_PORT);
            let (near, to) = ((plan.ip, near).into(), (plan.ip, to).into());
            peers_link = Some(Link::open_at(near, to, plan.link_rate).await?);
        }
        Ok(Self {
            upstream: Rc::new(upstream),
            upstream_link,
            store_link: Link::open(store).await?,
            node_run: Cell::new(0),
            upstream_run: Cell::new(1),
            leaving: Cell::new(false),
            told_to_end: Cell::default(),
            heartbeats: Cell::new(0),
            peers_link,
            slack: Cell::new(64),
            process: RefCell::default(),
            plan,
        })
    }

    /// Where clients on the VM connect.
    #[must_use]
    pub fn clients(&self) -> SocketAddr {
        (self.plan.ip, CLIENTS_PORT).into()
    }

    /// Where readiness is asked for.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        (self.plan.ip, READY_PORT).into()
    }

    /// Where the upstream announces itself.
    #[must_use]
    pub fn announcements(&self) -> SocketAddr {
        (self.plan.ip, ANNOUNCEMENTS_PORT).into()
    }

    /// The file that takes the node's lines.
    #[must_use]
    pub fn log_path(&self) -> PathBuf {
        self.plan.folder.join(format!("n{}.log", self.plan.number))
    }

    fn settings_path(&self) -> PathBuf {
        self.plan.folder.join(format!("n{}.yaml", self.plan.number))
    }

    /// The present run of the upstream.
    #[must_use]
    pub fn instance(&self) -> String {
        name_run(self.plan.number, self.upstream_run.get())
    }

    /// Another run of the upstream takes its address.
    pub fn replace_upstream(&self) {
        self.upstream_run.set(self.upstream_run.get() + 1);
        self.leaving.set(false);
        self.heartbeats.set(0);
        self.upstream.set_leaving(false);
        self.upstream.replace_incarnation(&self.instance());
    }

    /// The upstream starts again after a crash, under the identity that it had.
    pub fn restart_upstream(&self) {
        self.leaving.set(false);
        self.heartbeats.set(0);
        self.upstream.restart_after_crash();
    }

    /// Number of the next heartbeat of the present run.
    #[must_use]
    pub fn count_heartbeat(&self) -> u64 {
        self.heartbeats.set(self.heartbeats.get() + 1);
        self.heartbeats.get()
    }

    /// Starts the node's process.
    ///
    /// # Errors
    /// If files can't be written or the process not be started.
    pub fn start_node(&self) -> io::Result<()> {
        self.write_settings()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let mut command = Command::new(env::current_exe()?);
        command.arg("node");
        if self.peers_link.is_some() {
            command.args(["--behind-link", &BEHIND_LINK_PORT.to_string()]);
        }
        let child = command
            .env("CAMPHORTURN_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        self.node_run.set(self.node_run.get() + 1);
        self.told_to_end.set(None);
        *self.process.borrow_mut() = Some(child);
        Ok(())
    }

    /// Sends a signal to the node's process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::SIGTERM | Signal::SIGKILL) && self.told_to_end.get().is_none() {
            self.told_to_end.set(Some(Instant::now()));
        }
        if let Some(child) = self.process.borrow().as_ref() {
            // Until it is waited for, the number stays with the process.
            let id = i32::try_from(child.id()).map(Pid::from_raw);
            let _ = id.map(|id| kill(id, signal));
        }
    }

    /// Whether the node's process has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Writes the settings with another bound on repeats.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn change_settings(&self) -> io::Result<()> {
        self.slack.set(self.slack.get() % 90 + 10);
        self.write_settings()
    }

    /// Makes a link ill, or well again with none.
    pub fn set_link(link: &Link, ill: Option<IllLink>) {
        match ill {
            None => link.set_condition(LinkCondition::Healthy),
            Some(IllLink::Reset) => link.reset(),
            Some(IllLink::Slow) => link.set_condition(LinkCondition::Slow(SLOW)),
            Some(IllLink::AnswersLost) => link.set_condition(LinkCondition::AnswersLost),
            Some(IllLink::Silent) => link.set_condition(LinkCondition::Silent),
        }
    }

    fn write_settings(&self) -> io::Result<()> {
        let MachinePlan {
            number,
            ip,
            zone,
            service,
            ..
        } = &self.plan;
        let (app, store) = (self.upstream_link.address, self.store_link.address);
        let slack = self.slack.get();
        let first_start = self.node_run.get() == 0;
        let text = format!(
            "node_name: \"n{number}\"\nbootstrap: {first_start}\nzone: \"{zone}\"\nlisten_addrs:\n  outbound: \"{ip}:{CLIENTS_PORT}\"\n  \
             inbound: \"{ip}:{PEERS_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n  control_plane: \
             \"{ip}:{ANNOUNCEMENTS_PORT}\"\nport_range:\n  - {METRICS_PORT}\n  - {METRICS_PORT}\npolicy_params:\n  \
             retry_budget_ratio: 0.2\n  retry_slack: {slack}\n  retry_window_s: 10\n  grace_s: {GRACE_SECONDS}\n  \
             probes_per_s: 60\n  warmup_overage: 1.5\n  warmup_slack: 8\napp_addr: \"{app}\"\nservice: \"{service}\"\nplatform:\n  address: \"{store}\"\n"
        );
        let path = self.settings_path();
        let new = path.with_extension("new");
        // A node that reads it meanwhile must see the old file or the new one.
        fs::write(&new, text)?;
        fs::rename(new, path)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.process.borrow_mut().take() {
            // One that has ended already can't be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn name_run(number: usize, run: u64) -> String {
    format!("u{number}-{run}")
}
