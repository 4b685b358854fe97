//! What a node that has just started waits for before it reads the store.
//!
//! Each call to the store is paid for, and a start of hundreds of nodes is when most are made: a node that knows no other
//! can't tell that another one reads for its zone. With the order below a calm start takes two calls a node: the other
//! nodes' records and its own.

use crate::proxy::{core::ProxyCore, table_fetching::fetch_first_table};
use rand::seq::IndexedRandom;
use std::{rc::Rc, time::Duration};

/// Longest time that a node which is started for the first time waits for its upstream to announce itself, and for its
/// record to be stored. Upstreams announce themselves each second or two.
const FIRST_RECORD_PATIENCE: Duration = Duration::from_secs(3);
/// Longest time that it waits for another node of its zone to have the configuration.
const FIRST_TABLE_PATIENCE: Duration = Duration::from_secs(6);
/// Longest time that any other start waits for a neighbour's configuration, the reading of the records included. Clients
/// may be waiting, and the store answers in some milliseconds when it is well.
const TABLE_PATIENCE: Duration = Duration::from_millis(150);
/// Neighbours that are asked for the configuration, one after the other.
const NEIGHBOURS: usize = 2;
/// How often a node looks whether what it waits for is there, at the first start of all.
const FIRST_STEP: Duration = Duration::from_millis(200);
/// The same at any other start.
const STEP: Duration = Duration::from_millis(10);
/// Longest time that the stored record of this node waits for the configuration.
const ROUTES_PATIENCE: Duration = Duration::from_millis(500);

/// At the first start of the whole mesh the store holds no records yet. Waits until it has that of this node: with the
/// records before it, the node then finds out at once whether it is one that reads for its zone.
pub(super) async fn wait_for_own_record(core: &ProxyCore) {
    if !core.settings.first_start {
        return;
    }
    let is_stored = || core.stored.borrow().is_some();
    wait_until(core, FIRST_RECORD_PATIENCE, FIRST_STEP, is_stored).await;
}

/// Has the configuration told by a node of the zone, if one is there that has it. Else it is to be read from the store.
pub(super) async fn learn_table(core: &Rc<ProxyCore>) {
    let patience = if core.settings.first_start {
        FIRST_TABLE_PATIENCE
    } else {
        TABLE_PATIENCE
    };
    let due = core.timers.after(patience);
    tokio::select! {
        _ = due.recv_async() => {}
        () = hear_from_zone(core) => {}
    }
}

async fn hear_from_zone(core: &Rc<ProxyCore>) {
    core.wait_for_records().await;
    // At the first start nobody waits, and all but the readers of the zone can go on asking each other.
    let mut left = NEIGHBOURS;
    while core.routes().is_none() && left > 0 {
        let zone = core.list_zone();
        if let Some(to) = zone.choose(&mut rand::rng()) {
            fetch_first_table(core, *to).await;
        }
        if core.settings.first_start && !core.is_zone_reader() {
            let _ = core.timers.after(FIRST_STEP).recv_async().await;
        } else {
            left -= 1;
        }
    }
}

/// A node finds in the records which upstream it has, and asks that one by a path that it learns from
/// the configuration.
pub(super) async fn wait_for_routes(core: &ProxyCore) {
    wait_until(core, ROUTES_PATIENCE, STEP, || core.routes().is_some()).await;
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
