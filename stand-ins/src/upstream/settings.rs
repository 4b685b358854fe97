//! How an upstream is: its header names, its times, what it records.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Names of the headers that an upstream reads and sends, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamHeaderNames {
    /// Identity of a request; repeated in the answer.
    pub request_id: &'static str,
    /// The run that is to run a request.
    pub target_instance: &'static str,
    /// The run that answers.
    pub instance: &'static str,
    /// Running, waiting, slots, slowdown in percent.
    pub load: &'static str,
    /// Proof that an answer is an upstream's.
    pub signature: &'static str,
    /// Stands on an answer to a request that was not run.
    pub not_executed: &'static str,
    /// How much longer the upstream is cold, in milliseconds.
    pub warmup_left: &'static str,
}

impl UpstreamHeaderNames {
    /// The names of the users' platform.
    pub const PLATFORM: Self = Self {
        request_id: "camphorturn-request-id",
        target_instance: "camphorturn-target-instance",
        instance: "camphorturn-instance-id",
        load: "camphorturn-server-load",
        signature: "camphorturn-server-signature",
        not_executed: "camphorturn-not-executed",
        warmup_left: "camphorturn-warmup-ms",
    };
}

/// Time of the requests below a path.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTime {
    /// Start of the paths it holds for.
    pub path_prefix: String,
    /// Median.
    pub median: Duration,
    /// Spread of the logarithm: 0 is constant, 0.5 has a long tail.
    pub spread: f64,
}

/// A request that an upstream began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Its target.
    pub target: String,
    /// Identity of the upstream's run.
    pub instance: String,
    /// When that run started, in Unix milliseconds.
    pub incarnation_started_ms: u64,
    /// When it began.
    pub executed_at: Instant,
}

/// Requests that an upstream ran, in the order of their beginnings. Shared with whoever audits it, also
/// after the upstream has gone.
pub type ExecutionLog = Arc<Mutex<Vec<ExecutedRequest>>>;

/// How an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Identity of its first run.
    pub instance: String,
    /// Header names.
    pub names: UpstreamHeaderNames,
    /// Requests it runs at once; further ones wait.
    pub slots: u16,
    /// How long work takes; the first prefix that fits decides, and without one it takes no time.
    pub service_times: Vec<ServiceTime>,
    /// Seed of the times.
    pub seed: u64,
    /// Answers with target and body of the request in place of a fixed body.
    pub echoes_request: bool,
    /// Takes what it ran.
    pub executions: ExecutionLog,
    /// Starts of the paths of requests that crash it as soon as it runs one of them.
    pub crash_prefixes: Vec<String>,
}

impl UpstreamSettings {
    /// An upstream with the platform's names that answers at once.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            names: UpstreamHeaderNames::PLATFORM,
            slots: SLOTS,
            service_times: Vec::new(),
            seed: 1,
            echoes_request: false,
            executions: ExecutionLog::default(),
            crash_prefixes: Vec::new(),
        }
    }
}

/// Slots unless told otherwise.
const SLOTS: u16 = 6;
