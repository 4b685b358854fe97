//! Delays requests that arrive before a node has read its routing table and the node records.
//!
//! Load pattern: all nodes restart at once, and clients connect as soon as the nodes listen. Reading the routes takes some 30 ms,
//! the records of hundreds of nodes some 200 ms, since all nodes read them together. Refused requests would be retried within the
//! seconds in which the upstreams are warming up and all other clients retry as well. Whether the node can serve such a request isn't
//! known yet, so the request waits until it is known, or until the startup wait is over.

use crate::proxy::core::ProxyCore;
use std::time::Duration;

/// Time after the start of the node within which requests wait. With 336 nodes started at once, half of them had the node
/// records after 190 ms and the last one after 510 ms. A node without the records after this time can't know when it
/// will get them.
const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a waiting request checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `is_known` returns true, at most until the startup wait of the node is over.
pub(super) async fn wait_during_startup(core: &ProxyCore, is_known: impl Fn() -> bool) {
    while !is_known() && core.timers.now().since(core.started) < STARTUP_WAIT {
        let _ = core.timers.after(POLL_INTERVAL).recv_async().await;
    }
}
