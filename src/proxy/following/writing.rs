//! Keeps the record of this node in the store.

use super::retries::Retries;
use crate::{
    protocol::store::{StateStore, StoreError},
    proxy::{
        announcing::{RecordOrder, describe_own},
        core::ProxyCore,
        store_calls::{CallReason, StoreCall},
    },
    state::placement_view::NodeRecord,
};
use flume::{Receiver, Sender};
use std::rc::Rc;

/// Writes this node's record whenever it changes, until dropped. Only the newest is of use.
pub(super) async fn write_records<S: StateStore>(
    core: Rc<ProxyCore>,
    store: S,
    orders: Receiver<RecordOrder>,
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
                    core.stored.replace(Some(order.record.clone()));
                    // Whoever waited for it may have given up.
                    let _ = order.done.try_send(());
                    break;
                }
                Err(error) => retries.fail(&error).await,
            }
        }
    }
}

/// Has the record of this node written again when what it tells beside the upstream has changed, until dropped.
pub(super) async fn keep_record_current(core: Rc<ProxyCore>, orders: Sender<RecordOrder>) {
    loop {
        core.record_changed.notified().await;
        let Some(record) = describe_own(&core) else {
            continue;
        };
        if core.stored.borrow().as_ref() == Some(&record) {
            continue;
        }
        core.directory.borrow_mut().take_own(record.clone());
        let (done, _) = flume::bounded(1);
        // The receiver goes only with the node.
        let _ = orders.send(RecordOrder { record, done });
    }
}

async fn append<S: StateStore>(store: &S, record: &NodeRecord) -> Result<(), StoreError> {
    let value = serde_json::to_vec(record).map_err(|_| StoreError::Malformed("own record"))?;
    store.append_node(record, &value).await
}
