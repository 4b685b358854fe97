//! Watches the upstream beside the node: whether it is announced, and whether its check passes.

use crate::{
    constants::MAX_CHECK_FAILURES,
    events::{event::Event, reasons::ConditionSource},
    node::{core::NodeCore, operator_edge::change_condition},
    protocol::load_report::UpstreamCondition,
    transport::upstreams::UpstreamRequest,
};
use bytes::Bytes;
use http::{HeaderMap, Method};
use std::rc::Rc;

/// Puts the settings' announcement in force and runs the check of the settings until dropped.
pub async fn watch_upstream(core: Rc<NodeCore>) {
    if core.settings.upstream.announced {
        change_condition(&core, UpstreamCondition::Serving, ConditionSource::Settings);
    }
    let Some(path) = core.settings.upstream.check_path.clone() else {
        return;
    };
    let ticks = core.timers.every(core.settings.upstream.check_period);
    let mut failures = 0;
    while ticks.recv_async().await.is_ok() {
        let passed = check_once(&core, &path).await;
        failures = judge_check(&core, passed, failures);
    }
}

async fn check_once(core: &Rc<NodeCore>, path: &str) -> bool {
    let req = UpstreamRequest {
        method: Method::GET,
        target: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let timeout = core.timers.after(core.settings.upstream.check_period);
    tokio::select! {
        answer = core.upstream.send(req) => answer.is_ok_and(|answer| answer.status.is_success()),
        _ = timeout.recv_async() => false,
    }
}

/// Takes an upstream down after several failures in a row, and up again after one success.
///
/// A single failed check is no proof: check endpoints lag, and an upstream that answers calls is up
/// whatever its check says.
fn judge_check(core: &Rc<NodeCore>, passed: bool, failures: u16) -> u16 {
    let condition = core.load_report().condition;
    if passed {
        if failures >= MAX_CHECK_FAILURES && condition == UpstreamCondition::Down {
            core.recorder.record(Event::CheckPassed { failures }, None);
            change_condition(core, UpstreamCondition::Serving, ConditionSource::Check);
        }
        return 0;
    }
    let failures = failures.saturating_add(1);
    core.recorder.record(Event::CheckFailed { failures }, None);
    let open = matches!(
        condition,
        UpstreamCondition::Serving | UpstreamCondition::Warming
    );
    if failures >= MAX_CHECK_FAILURES && open && core.answered_nothing_lately() {
        change_condition(core, UpstreamCondition::Down, ConditionSource::Check);
    }
    failures
}
