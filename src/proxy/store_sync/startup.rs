//! What a node that has just started waits for before it reads the store.
//!
//! Each call to the store is paid for, and a start of hundreds of nodes is when most are made: a node that knows no other
//! can't tell that another one reads for its zone. At the first start of the whole mesh nobody waits, so each node asks for
//! the others once its own record is stored, and hears the configuration from them. At any other start clients may be waiting: the
//! configuration is read at once, before the records, of which hundreds of nodes together read tens of megabytes.

use crate::proxy::{core::ProxyCore, table_fetching::fetch_first_table};
use rand::seq::IndexedRandom;
use std::{rc::Rc, time::Duration};

/// Longest time that a node which is started for the first time waits for its upstream to announce itself, and for its
/// record to be stored. Upstreams announce themselves each second or two.
const FIRST_RECORD_PATIENCE: Duration = Duration::from_secs(3);
/// Longest time that it waits for another node of its zone to have the configuration.
const FIRST_TABLE_PATIENCE: Duration = Duration::from_secs(6);
/// How often it asks and looks.
const FIRST_STEP: Duration = Duration::from_millis(200);
/// Times that a reader of the zone asks others for the configuration before it reads it itself.
const ASKED_BY_READER: usize = 2;
/// Longest time that what a node reads next waits for its first read of the records, by which it knows whether it reads
/// for its zone.
const RECORDS_PATIENCE: Duration = Duration::from_secs(3);
/// Longest time that the records wait for the configuration.
const ROUTES_PATIENCE: Duration = Duration::from_millis(500);
/// How often a node looks whether that is there.
const ROUTES_STEP: Duration = Duration::from_millis(10);

/// At the first start of the whole mesh the store holds no records yet. Waits until it has that of this node: with the
/// records before it, the node then finds out at once whether it is one that reads for its zone. At any other start
/// the records come after the configuration.
pub(super) async fn wait_to_read_records(core: &ProxyCore) {
    if core.settings.first_start {
        let is_stored = || core.stored_record.borrow().is_some();
        wait_until(core, FIRST_RECORD_PATIENCE, FIRST_STEP, is_stored).await;
    } else {
        wait_for_routes(core).await;
    }
}

/// At the first start of the whole mesh, waits until a node of the zone has told the configuration. If none does, or
/// this node reads for its zone, it is to be read from the store.
pub(super) async fn wait_for_first_table(core: &Rc<ProxyCore>) {
    if !core.settings.first_start {
        return;
    }
    let due = core.timers.after(FIRST_TABLE_PATIENCE);
    tokio::select! {
        _ = due.recv_async() => {}
        () = hear_from_zone(core) => {}
    }
}

async fn hear_from_zone(core: &Rc<ProxyCore>) {
    core.wait_for_node_records().await;
    let mut asked_by_reader = 0;
    while core.routes().is_none() && asked_by_reader < ASKED_BY_READER {
        let zone = core.list_zone_nodes();
        if let Some(to) = zone.choose(&mut rand::rng()) {
            fetch_first_table(core, *to).await;
        }
        if core.is_zone_reader() {
            asked_by_reader += 1;
        } else {
            let _ = core.timers.after(FIRST_STEP).recv_async().await;
        }
    }
}

/// Waits for the first read of the records.
pub(super) async fn wait_for_first_records(core: &ProxyCore) {
    if core.has_records() {
        return;
    }
    let due = core.timers.after(RECORDS_PATIENCE);
    tokio::select! {
        _ = due.recv_async() => {}
        () = core.wait_for_node_records() => {}
    }
}

/// A node finds in the records which upstream it has, and asks that one by a path that it learns from
/// the configuration.
pub(super) async fn wait_for_routes(core: &ProxyCore) {
    let is_there = || core.routes().is_some();
    wait_until(core, ROUTES_PATIENCE, ROUTES_STEP, is_there).await;
}

async fn wait_until(
    core: &ProxyCore,
    patience: Duration,
    step: Duration,
    holds: impl Fn() -> bool,
) {
    let since = core.timers.now();
    while !holds() && core.timers.now().since(since) < patience {
        let _ = core.timers.after(step).recv_async().await;
    }
}
