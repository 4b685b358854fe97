//! Writes the record of this node and the quarantine of requests to the store.

use super::retries::Retries;
use crate::{
    protocol::store::{StateStore, StoreError},
    proxy::{
        core::ProxyCore,
        crash_detection::find_quarantine,
        store_calls::{CallReason, StoreCall},
        upstream_announcements::{RecordWrite, is_record_withheld},
    },
    state::known_node::{NodeRecord, NodeRecordValue},
};
use flume::Receiver;
use std::rc::Rc;

/// Writes the record of this node whenever it changes, until dropped. Of several waiting records only the newest is written.
pub(super) async fn write_records<S: StateStore>(
    core: Rc<ProxyCore>,
    store: S,
    record_writes: Receiver<RecordWrite>,
) {
    let mut retries = Retries::new(&core, "records");
    while let Ok(mut write) = record_writes.recv_async().await {
        loop {
            if let Some(newer) = record_writes.drain().last() {
                write = newer;
            }
            if is_record_withheld(&core) {
                break;
            }
            let reason = if retries.is_failing() {
                CallReason::Retry
            } else {
                CallReason::OwnRecord
            };
            core.counters.store_calls.count(StoreCall::Append, reason);
            match append(&core, &store, &write.record).await {
                Ok(()) => {
                    retries.record_success();
                    core.stored_record.replace(Some(write.record.clone()));
                    // The receiver may have stopped waiting.
                    let _ = write.done.try_send(());
                    break;
                }
                Err(error) => retries.record_failure_and_wait(&error).await,
            }
        }
    }
}

/// Writes changes of the quarantine to the store, until dropped. Each write holds the state of the request at the time of
/// the write.
pub(super) async fn write_quarantines<S: StateStore>(core: Rc<ProxyCore>, store: S) {
    let mut retries = Retries::new(&core, "quarantine");
    let (_, fingerprints) = &core.quarantine_writes;
    while let Ok(fingerprint) = fingerprints.recv_async().await {
        loop {
            let calls = &core.counters.store_calls;
            calls.count(StoreCall::Append, CallReason::Quarantine);
            let is_quarantined = find_quarantine(&core, fingerprint).is_some();
            match store.append_quarantine(fingerprint, is_quarantined).await {
                Ok(()) => {
                    retries.record_success();
                    break;
                }
                Err(error) => retries.record_failure_and_wait(&error).await,
            }
        }
    }
}

async fn append<S: StateStore>(
    core: &ProxyCore,
    store: &S,
    record: &NodeRecord,
) -> Result<(), StoreError> {
    let read_revision = core.directory.borrow().read_position();
    let value = NodeRecordValue {
        record: record.clone(),
        read_revision: (read_revision > 0).then_some(read_revision),
    };
    let value = serde_json::to_vec(&value).map_err(|_| StoreError::Malformed("own record"))?;
    store.append_node(record, &value).await
}
