//! Asks nodes which version they have.

use crate::{
    state::{configuration::ConfigurationVersion, member::Member},
    timers::TimerService,
};
use attohttpc::ProxySettings;
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, thread, time::Duration};

/// Time between two questions to the nodes that don't have the version yet.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// Nodes that are asked at once.
const ASKED_AT_ONCE: usize = 32;
/// Time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How to wait for the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitOptions {
    /// Operator addresses to ask, besides those of the members that the log knows.
    pub operators: Vec<SocketAddr>,
    /// Token that the nodes' operator endpoints ask for.
    pub token: Option<String>,
    /// Longest wait.
    pub limit: Duration,
}

/// What a node said last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeAnswer {
    /// Operator address.
    pub operator: SocketAddr,
    /// Its version, if it answered.
    pub version: Option<ConfigurationVersion>,
    /// Why there is no version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Where a version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// Nodes that have the version or a later one.
    pub in_force: Vec<NodeAnswer>,
    /// Nodes that answered with an earlier one.
    pub behind: Vec<NodeAnswer>,
    /// Nodes that could not be asked.
    pub not_reached: Vec<NodeAnswer>,
    /// Time spent, in milliseconds.
    pub waited_ms: u64,
}

impl InForceReport {
    /// Whether every node that is known has the version.
    #[must_use]
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.not_reached.is_empty()
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.in_force.len();
        writeln!(f, "in force at {count} nodes after {} ms", self.waited_ms)?;
        for node in &self.behind {
            let version = node.version.unwrap_or_default();
            writeln!(f, "  still at version {}: {}", version.0, node.operator)?;
        }
        for node in &self.not_reached {
            let error = node.error.as_deref().unwrap_or("no answer");
            writeln!(f, "  not reached: {} ({error})", node.operator)?;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Status {
    configuration_version: ConfigurationVersion,
}

/// Asks all nodes until each has `version` or the time is up.
pub fn wait_in_force<'a>(
    options: &WaitOptions,
    members: impl Iterator<Item = &'a Member>,
    version: ConfigurationVersion,
    timers: &TimerService,
) -> InForceReport {
    let start = timers.now();
    let mut operators = options.operators.clone();
    operators.extend(members.map(|member| member.operator_address));
    operators.sort_unstable();
    operators.dedup();
    let mut in_force = Vec::new();
    loop {
        let answers = ask_all(&operators, options.token.as_deref());
        let has_it = |answer: &NodeAnswer| answer.version.is_some_and(|had| had >= version);
        let (done, waiting): (Vec<_>, Vec<_>) = answers.into_iter().partition(has_it);
        in_force.extend(done);
        let waited = timers.now().since(start);
        if waiting.is_empty() || waited >= options.limit {
            let (behind, not_reached) = waiting
                .into_iter()
                .partition(|answer| answer.version.is_some());
            return InForceReport {
                in_force,
                behind,
                not_reached,
                waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            };
        }
        operators = waiting.iter().map(|answer| answer.operator).collect();
        // The timer service ends only with the process.
        let _ = timers.after(ASK_AGAIN).recv();
    }
}

fn ask_all(operators: &[SocketAddr], token: Option<&str>) -> Vec<NodeAnswer> {
    let mut answers = Vec::new();
    for group in operators.chunks(ASKED_AT_ONCE) {
        answers.extend(thread::scope(|scope| {
            let asked: Vec<_> = group
                .iter()
                .map(|operator| scope.spawn(move || ask(*operator, token)))
                .collect();
            let answers = asked.into_iter().filter_map(|thread| thread.join().ok());
            answers.collect::<Vec<_>>()
        }));
    }
    answers
}

fn ask(operator: SocketAddr, token: Option<&str>) -> NodeAnswer {
    match ask_version(operator, token) {
        Ok(version) => NodeAnswer {
            operator,
            version: Some(version),
            error: None,
        },
        Err(error) => NodeAnswer {
            operator,
            version: None,
            error: Some(error.to_string()),
        },
    }
}

fn ask_version(
    operator: SocketAddr,
    token: Option<&str>,
) -> Result<ConfigurationVersion, attohttpc::Error> {
    let mut req = attohttpc::get(format!("http://{operator}/status"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(ANSWER_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .follow_redirects(false);
    if let Some(token) = token {
        req = req.bearer_auth(token);
    }
    let status: Status = req.send()?.error_for_status()?.json()?;
    Ok(status.configuration_version)
}
