//! Delays the first reads of the store after a node has started.
//!
//! Each call to the store costs money, and most calls are made when hundreds of nodes start together: a node that knows no
//! other node doesn't know whether another one reads for its zone. At the first start of the whole mesh no client is waiting. Each
//! node then reads the records of the other nodes only once its own record is stored, and gets the configuration from them. At any
//! other start clients may be waiting. The configuration is then read at once and before the records of nodes, of which
//! hundreds of nodes together read tens of megabytes.

use crate::proxy::{core::ProxyCore, table_fetching::fetch_first_table};
use rand::seq::IndexedRandom;
use std::{rc::Rc, time::Duration};

/// Longest time for which a node waits at the first start of the mesh until its upstream has announced itself and its record
/// is stored. Upstreams announce themselves every second or two.
const FIRST_RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which a node waits at the first start of the mesh to get the configuration from a node of its zone.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval of checks and of requests to other nodes at the first start of the mesh.
const FIRST_START_INTERVAL: Duration = Duration::from_millis(200);
/// Requests for the configuration that a reader of the zone sends to other nodes before it reads the store itself.
const MAX_READER_FETCHES: usize = 2;
/// Longest time for which later reads wait for the first read of the records of nodes, from which a node knows whether it
/// reads for its zone.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which records of nodes wait for the configuration.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a node checks whether it has the configuration.
const ROUTES_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the records of nodes may be read. At the first start of the whole mesh the store holds no records yet, so this
/// waits until it holds the record of this node; from the records stored before it, the node then knows at once whether it reads
/// for its zone. At any other start this waits for the configuration.
pub(super) async fn wait_to_read_records(core: &ProxyCore) {
    if core.settings.first_start {
        let is_stored = || core.stored_record.borrow().is_some();
        wait_until(core, FIRST_RECORD_TIMEOUT, FIRST_START_INTERVAL, is_stored).await;
    } else {
        wait_for_routes(core).await;
    }
}

/// At the first start of the whole mesh, waits until a node of the zone has sent the configuration. It is read from the store if no
/// node sends it in time, or if this node reads for its zone and was sent none.
pub(super) async fn wait_for_first_table(core: &Rc<ProxyCore>) {
    if !core.settings.first_start {
        return;
    }
    let due = core.timers.after(FIRST_TABLE_TIMEOUT);
    tokio::select! {
        _ = due.recv_async() => {}
        () = fetch_table_from_zone(core) => {}
    }
}

async fn fetch_table_from_zone(core: &Rc<ProxyCore>) {
    core.wait_for_node_records().await;
    let mut reader_fetches = 0;
    while core.routes().is_none() && reader_fetches < MAX_READER_FETCHES {
        let zone_nodes = core.list_zone_nodes();
        if let Some(to) = zone_nodes.choose(&mut rand::rng()) {
            fetch_first_table(core, *to).await;
        }
        if core.is_zone_reader() {
            reader_fetches += 1;
        } else {
            let _ = core.timers.after(FIRST_START_INTERVAL).recv_async().await;
        }
    }
}

/// Waits for the first read of the records of nodes, for a limited time.
pub(super) async fn wait_for_first_records(core: &ProxyCore) {
    if core.has_records() {
        return;
    }
    let due = core.timers.after(RECORDS_TIMEOUT);
    tokio::select! {
        _ = due.recv_async() => {}
        () = core.wait_for_node_records() => {}
    }
}

/// Waits for the routing table, for a limited time. After a restart, a node knows its upstream from its stored record, and
/// verifies it with a request whose path is in the configuration.
pub(super) async fn wait_for_routes(core: &ProxyCore) {
    let has_routes = || core.routes().is_some();
    wait_until(core, ROUTES_TIMEOUT, ROUTES_CHECK_INTERVAL, has_routes).await;
}

async fn wait_until(
    core: &ProxyCore,
    timeout: Duration,
    interval: Duration,
    condition: impl Fn() -> bool,
) {
    let since = core.timers.now();
    while !condition() && core.timers.now().since(since) < timeout {
        let _ = core.timers.after(interval).recv_async().await;
    }
}
