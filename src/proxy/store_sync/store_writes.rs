//! Keeps the record of this node in the store.

use super::retries::Retries;
use crate::{
    protocol::store::{StateStore, StoreError},
    proxy::{
        core::ProxyCore,
        crash_detection::find_quarantine,
        store_calls::{CallReason, StoreCall},
        upstream_announcements::RecordWrite,
    },
    state::known_node::NodeRecord,
};
use flume::Receiver;
use std::rc::Rc;

/// Writes this node's record whenever it changes, until dropped. Only the newest is of use.
pub(super) async fn write_records<S: StateStore>(
    core: Rc<ProxyCore>,
    store: S,
    orders: Receiver<RecordWrite>,
) {
    let mut retries = Retries::new(&core, "records");
    while let Ok(mut order) = orders.recv_async().await {
        loop {
            if let Some(newer) = orders.drain().last() {
                order = newer;
            }
            let reason = if retries.is_failing() {
                CallReason::Retry
            } else {
                CallReason::OwnRecord
            };
            core.counters.store_calls.count(StoreCall::Append, reason);
            match append(&store, &order.record).await {
                Ok(()) => {
                    retries.succeed();
                    core.stored_record.replace(Some(order.record.clone()));
                    // Whoever waited for it may have given up.
                    let _ = order.done.try_send(());
                    break;
                }
                Err(error) => retries.fail(&error).await,
            }
        }
    }
}

/// Writes the quarantine of requests as it is then whenever it changes, until dropped.
pub(super) async fn write_quarantines<S: StateStore>(core: Rc<ProxyCore>, store: S) {
    let mut retries = Retries::new(&core, "quarantine");
    let (_, orders) = &core.quarantine_writes;
    while let Ok(digest) = orders.recv_async().await {
        loop {
            let calls = &core.counters.store_calls;
            calls.count(StoreCall::Append, CallReason::Quarantine);
            let is_kept = find_quarantine(&core, digest).is_some();
            match store.append_quarantine(digest, is_kept).await {
                Ok(()) => {
                    retries.succeed();
                    break;
                }
                Err(error) => retries.fail(&error).await,
            }
        }
    }
}

async fn append<S: StateStore>(store: &S, record: &NodeRecord) -> Result<(), StoreError> {
    let value = serde_json::to_vec(record).map_err(|_| StoreError::Malformed("own record"))?;
    store.append_node(record, &value).await
}
