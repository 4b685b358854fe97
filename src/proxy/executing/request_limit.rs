//! Records the request limit that the local upstream names in its answers.

use crate::{
    protocol::limit_report::read_limit_report,
    proxy::{
        core::{ProxyCore, increment},
        events::ProxyEvent,
        executing::{
            slots::{apply_slot_actions, refuse_queued_requests},
            upstream_headers::log_unreadable_limit,
        },
        upstream_announcements::find_own_identity,
    },
    state::{
        request_rate::{LimitReport, RequestRate},
        timestamp::Timestamp,
    },
};
use bytes::Bytes;
use http::Response;
use std::rc::Rc;

/// Where a report on the limit comes from.
#[derive(Clone, Copy, Debug)]
enum LimitSource {
    /// An answer to a request.
    Answer,
    /// An answer to a probe.
    Probe,
    /// An entry node that remembers the limit.
    Peer,
}

impl LimitSource {
    const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Probe => "probe",
            Self::Peer => "peer",
        }
    }
}

/// Records what the answer to a request that was sent at `sent` says about the limit.
pub fn record_limit_header<B>(core: &Rc<ProxyCore>, response: &Response<B>, sent: Timestamp) {
    let report = read_report(core, response);
    record_report(core, report, sent, LimitSource::Answer);
}

/// Records the limit that the answer to a probe names. A probe without one doesn't end the limit: only answers to requests are sure to
/// name it.
pub fn record_probed_limit(core: &Rc<ProxyCore>, response: &Response<Bytes>) {
    let report = read_report(core, response);
    if matches!(report, LimitReport::Named(_)) {
        record_report(core, report, core.timers.now(), LimitSource::Probe);
    }
}

/// Records a limit that an entry node remembers, in case this node was restarted and has had no answer since.
pub fn record_remembered_limit(core: &Rc<ProxyCore>, rate: RequestRate) {
    let now = core.timers.now();
    let mut queue = core.slots.queue.borrow_mut();
    let before = queue.request_limit();
    queue.record_remembered_limit(rate, now);
    drop(queue);
    handle_change(core, before, LimitSource::Peer);
}

fn read_report<B>(core: &ProxyCore, response: &Response<B>) -> LimitReport {
    let names = &core.settings.headers;
    let Ok(report) = read_limit_report(names, response.headers(), response.status()) else {
        increment(&core.counters.limits_unreadable);
        log_unreadable_limit(core, response.headers(), &find_instance(core));
        return LimitReport::Unknown;
    };
    if matches!(report, LimitReport::Named(_)) {
        increment(&core.counters.limits_named);
    }
    report
}

fn record_report(core: &Rc<ProxyCore>, report: LimitReport, sent: Timestamp, source: LimitSource) {
    let now = core.timers.now();
    let mut queue = core.slots.queue.borrow_mut();
    let before = queue.request_limit();
    let actions = queue.record_limit_report(report, sent, now);
    drop(queue);
    apply_slot_actions(core, actions);
    handle_change(core, before, source);
}

/// Logs a change of the limit. When one begins, the requests that wait are refused, so that other nodes execute them in time.
fn handle_change(core: &Rc<ProxyCore>, before: Option<RequestRate>, source: LimitSource) {
    let rate = core.slots.request_limit();
    if rate == before {
        return;
    }
    core.log(&ProxyEvent::RequestLimitChanged {
        instance: find_instance(core),
        per_second: rate.map(RequestRate::per_second),
        source: source.name(),
    });
    if before.is_none() {
        refuse_queued_requests(core);
    }
}

/// Identity of the incarnation of the local upstream; empty before it is known.
fn find_instance(core: &ProxyCore) -> String {
    let identity = find_own_identity(core);
    identity.map_or_else(String::new, |identity| identity.instance)
}
