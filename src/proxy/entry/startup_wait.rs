//! Requests that come before a node has learned anything.
//!
//! Load pattern answered: all nodes are started again at once, and clients come as soon as they listen. Routes take some 30 ms,
//! the records of hundreds of nodes some 200 ms, since all read them together. Requests that are refused meanwhile come
//! back into the seconds in which upstreams are cold and all others come back too. Whether such a request can be
//! served isn't known yet, so it waits until that is known, or the start is over.

use crate::proxy::core::ProxyCore;
use std::time::Duration;

/// Time after a start of the node within which requests wait for what it does not know. With 336 nodes started at once
/// half had the records 190 ms after their start and the last 510 ms; a node without them then can't say when it will.
const START_LASTS: Duration = Duration::from_millis(500);
/// How often it looks.
const STEP: Duration = Duration::from_millis(10);

/// Waits until `is_known`, at the longest until the start of the node is over.
pub(super) async fn wait_while_starting(core: &ProxyCore, is_known: impl Fn() -> bool) {
    while !is_known() && core.timers.now().since(core.started) < START_LASTS {
        let _ = core.timers.after(STEP).recv_async().await;
    }
}
