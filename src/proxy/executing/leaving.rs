//! Records that the local upstream says in an answer that it is leaving.

use crate::{
    protocol::leaving_report::read_leaving_report,
    proxy::{
        core::{ProxyCore, increment},
        executing::{slots::refuse_queued_requests, upstream_headers::log_unreadable_leaving},
        upstream_announcements::{find_own_identity, record_departure},
    },
    state::incarnation_id::IncarnationId,
};
use bytes::Bytes;
use http::{Response, StatusCode};
use std::rc::Rc;

/// Records what the answer to a request says. The request was for `incarnation`; 421 is the answer of another one.
pub fn record_leaving_header<B>(
    core: &Rc<ProxyCore>,
    response: &Response<B>,
    incarnation: &IncarnationId,
) {
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        record_report(core, response, incarnation);
    }
}

/// Records what the answer to a probe says, if it is an answer of the known incarnation.
pub fn record_probed_leaving(core: &Rc<ProxyCore>, response: &Response<Bytes>) {
    let reported = response.headers().get(&core.settings.headers.instance);
    let identity = find_own_identity(core)
        .filter(|known| reported.is_some_and(|reported| reported == known.instance.as_str()));
    if let Some(identity) = identity {
        record_report(core, response, &identity);
    }
}

fn record_report<B>(core: &Rc<ProxyCore>, response: &Response<B>, incarnation: &IncarnationId) {
    match read_leaving_report(&core.settings.headers, response.headers()) {
        Ok(true) => {
            if record_departure(core, incarnation) {
                core.own_record_changed.notify_one();
                refuse_queued_requests(core);
            }
        }
        Ok(false) => {}
        Err(_) => {
            increment(&core.counters.leaving_unreadable);
            log_unreadable_leaving(core, response.headers(), &incarnation.instance);
        }
    }
}
