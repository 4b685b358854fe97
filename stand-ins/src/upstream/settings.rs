//! Settings of an upstream, and the log of the requests that it executes.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Names of the headers that an upstream reads and sends, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamHeaderNames {
    /// Id of the request; the answer repeats it.
    pub request_id: &'static str,
    /// Instance id of the upstream that the request is meant for.
    pub target_instance: &'static str,
    /// Instance id of the upstream that answers.
    pub instance: &'static str,
    /// Load: requests running, requests waiting, slots, slowdown in percent, separated by commas.
    pub load: &'static str,
    /// Signature, which shows that an answer comes from an upstream.
    pub signature: &'static str,
    /// Marks an answer to a request that was not executed.
    pub not_executed: &'static str,
    /// Remaining time of the upstream's warm-up, in milliseconds.
    pub warmup_left: &'static str,
    /// Organisation that sent the request.
    pub organisation: &'static str,
    /// API key of a client, which no upstream is to get.
    pub api_key: &'static str,
}

impl UpstreamHeaderNames {
    /// The header names of the users' platform.
    pub const PLATFORM: Self = Self {
        request_id: "camphorturn-request-id",
        target_instance: "camphorturn-target-instance",
        instance: "camphorturn-instance-id",
        load: "camphorturn-server-load",
        signature: "camphorturn-server-signature",
        not_executed: "camphorturn-not-executed",
        warmup_left: "camphorturn-warmup-ms",
        organisation: "camphorturn-tenant",
        api_key: "api-key",
    };
}

/// Service time of the requests below a path, log-normally distributed.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTime {
    /// Prefix of the paths.
    pub path_prefix: String,
    /// Median of the service time.
    pub median: Duration,
    /// Standard deviation of the service time's logarithm: 0 is constant, 0.5 has a long tail.
    pub spread: f64,
}

/// A request that an upstream started to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Path and query of the request.
    pub target: String,
    /// Instance id of the upstream.
    pub instance: String,
    /// When the upstream's incarnation started, in Unix milliseconds.
    pub incarnation_started_ms: u64,
    /// When the execution started.
    pub executed_at: Instant,
    /// Organisation that the request names.
    pub organisation: Option<String>,
    /// Whether the request has the header of an API key.
    pub has_key: bool,
}

/// Requests that upstreams executed, in the order of their starts. It is shared with the code that checks it, also after the
/// upstream has been dropped.
pub type ExecutionLog = Arc<Mutex<Vec<ExecutedRequest>>>;

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Instance id of the first incarnation.
    pub instance: String,
    /// Names of the headers that the upstream reads and sends.
    pub names: UpstreamHeaderNames,
    /// Most requests that are executed at once; further ones wait.
    pub slots: u16,
    /// Service times; the first matching prefix applies. Requests without a match take no time.
    pub service_times: Vec<ServiceTime>,
    /// Seed of the service times.
    pub seed: u64,
    /// Whether answers hold method, target and body of the request instead of a fixed body.
    pub echoes_request: bool,
    /// Log that the executed requests are added to.
    pub executions: ExecutionLog,
    /// Prefixes of the paths of requests that crash the upstream when it starts to execute them.
    pub crash_prefixes: Vec<String>,
}

impl UpstreamSettings {
    /// Settings of an upstream with the platform's header names that answers at once.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            names: UpstreamHeaderNames::PLATFORM,
            slots: DEFAULT_SLOTS,
            service_times: Vec::new(),
            seed: 1,
            echoes_request: false,
            executions: ExecutionLog::default(),
            crash_prefixes: Vec::new(),
        }
    }
}

/// Number of slots by default.
const DEFAULT_SLOTS: u16 = 6;
