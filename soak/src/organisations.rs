//! Organisations of the published configurations, the keys that callers send, and checks of what upstreams see of them.

use crate::history::{Acknowledged, CallerRecord, History, IN_FORCE_LIMIT, Violation};
use camphorturn_stand_ins::upstream::ExecutedRequest;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Separates the id of a request from the name of its key, at the end of its path.
const KEY_SEPARATOR: char = '~';
/// Organisation without a limit, and its key.
pub const UNLIMITED: &str = "unlimited";
/// Organisation whose callers send several times its quota.
const LIMITED: &str = "limited";
/// Organisation whose key changes with each configuration. The key of a version is valid in the next one too.
const ROTATING: &str = "rotating";
/// A key that no configuration holds.
const UNKNOWN_KEY: &str = "unknown";
/// Requests per second of the limited organisation, and its burst.
const LIMITED_RATE: usize = 20;
/// Window of quotas, and most requests of the limited organisation in a window: the permitted ones, a tenth more, and 20 more.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const MAX_LIMITED_REQUESTS: usize = (LIMITED_RATE * 5 + LIMITED_RATE) * 11 / 10 + 20;

/// The organisations of a configuration, as the operator writes them. `version` counts from 0.
#[must_use]
pub fn build_organisations(version: u64) -> Value {
    let rotating = version.saturating_sub(1)..=version;
    let rotating: Vec<String> = rotating.map(name_rotating_key).collect();
    json!([
        { "name": UNLIMITED, "api_keys": [UNLIMITED], "priority": 1 },
        {
            "name": LIMITED, "api_keys": [LIMITED], "priority": 1, "rate_per_s": LIMITED_RATE, "burst": LIMITED_RATE,
        },
        { "name": ROTATING, "api_keys": rotating, "priority": 0 },
    ])
}

fn name_rotating_key(version: u64) -> String {
    format!("{ROTATING}-{version}")
}

/// Draws the key of a request while `version` is the newest configuration.
#[must_use]
pub fn draw_key(rng: &mut impl Rng, version: u64) -> String {
    match rng.random_range(0..20) {
        0..9 => UNLIMITED.to_owned(),
        9..13 => LIMITED.to_owned(),
        13..17 => name_rotating_key(version),
        17..19 => name_rotating_key(version.saturating_sub(rng.random_range(0..4))),
        _ => UNKNOWN_KEY.to_owned(),
    }
}

/// Adds the name of its key to the path of a request.
#[must_use]
pub fn mark_target(target: &str, key: &str) -> String {
    format!("{target}{KEY_SEPARATOR}{key}")
}

fn find_key(target: &str) -> Option<&str> {
    target.rsplit_once(KEY_SEPARATOR).map(|(_, key)| key)
}

/// Checks that upstreams are told the organisation that holds the key of a request and never the key, that keys which aren't valid
/// open nothing, and that the limited organisation stays within its quota.
#[must_use]
pub fn check_organisations(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut found: Vec<Violation> = executions.iter().filter_map(check_execution).collect();
    found.extend(check_quota(executions));
    found.extend(history.requests.iter().filter_map(check_valid_key));
    found.extend(check_revocations(history, executions));
    found
}

fn check_execution(execution: &ExecutedRequest) -> Option<Violation> {
    let key = find_key(&execution.target)?;
    let expected = match key {
        UNKNOWN_KEY => None,
        UNLIMITED | LIMITED => Some(key),
        _ => Some(ROTATING),
    };
    let promise = if execution.has_key {
        "an upstream never gets the key of a client"
    } else if expected.is_none() {
        "a request without a valid key is not executed"
    } else if execution.organisation.as_deref() != expected {
        "an upstream is told the organisation that sent a request"
    } else {
        return None;
    };
    Some(Violation {
        promise,
        observed: format!("{} as {:?}", execution.target, execution.organisation),
    })
}

fn check_quota(executions: &[ExecutedRequest]) -> Option<Violation> {
    let limited = executions
        .iter()
        .filter(|execution| find_key(&execution.target) == Some(LIMITED));
    let mut times: Vec<Instant> = limited.map(|execution| execution.executed_at).collect();
    times.sort();
    let exceeds_limit =
        |window: &[Instant]| window[MAX_LIMITED_REQUESTS].duration_since(window[0]) < QUOTA_WINDOW;
    let exceeded = times
        .windows(MAX_LIMITED_REQUESTS + 1)
        .find(|window| exceeds_limit(window))?;
    let span = exceeded[MAX_LIMITED_REQUESTS].duration_since(exceeded[0]);
    Some(Violation {
        promise: "an organisation gets no more requests through than its quota and the tolerated excess permit",
        observed: format!("{} within {} ms", exceeded.len(), span.as_millis()),
    })
}

/// Checks that the keys that all configurations have are never rejected.
fn check_valid_key(request: &CallerRecord) -> Option<Violation> {
    let key = find_key(&request.target)?;
    let is_rejected = matches!(request.answer, Ok((401, _)));
    (is_rejected && [UNLIMITED, LIMITED].contains(&key)).then(|| Violation {
        promise: "a valid key is never rejected",
        observed: format!("{} at node {}", request.target, request.node),
    })
}

/// Checks that a key opens nothing once the configuration that took it away must be in force.
fn check_revocations(history: &History, executions: &[ExecutedRequest]) -> Vec<Violation> {
    let mut changes: HashMap<u64, Instant> = HashMap::new();
    for acknowledged in &history.acknowledged {
        if let Acknowledged::Change { route_version, at } = acknowledged {
            changes.insert(*route_version, *at);
        }
    }
    let mut executed: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *executed.entry(&execution.target).or_default() += 1;
    }
    let find_revocation = |request: &CallerRecord| {
        let key = find_key(&request.target)?;
        let version: u64 = key
            .strip_prefix(ROTATING)?
            .strip_prefix('-')?
            .parse()
            .ok()?;
        // The key is valid in two versions; the next one takes it away.
        changes.get(&(version + 2)).copied()
    };
    let requests = history.requests.iter();
    let broken = requests.filter_map(|request| {
        let revoked = find_revocation(request)?;
        let is_late = request.sent > revoked + IN_FORCE_LIMIT;
        let is_executed = executed.contains_key(request.target.as_str());
        if !is_late || !is_executed || history.delays_updates(request, IN_FORCE_LIMIT) {
            return None;
        }
        let since = request.sent.duration_since(revoked).as_millis();
        Some(Violation {
            promise: "a key that was taken away opens nothing",
            observed: format!(
                "{} at node {}, sent {since} ms later",
                request.target, request.node
            ),
        })
    });
    broken.collect()
}
