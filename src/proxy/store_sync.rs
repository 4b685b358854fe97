//! Keeps this node and the store in sync: applies what the store holds, and writes this node's record and quarantines to it.

mod configuration;
mod nodes;
mod restored_store;
mod retries;
mod startup;
mod store_writes;

pub use restored_store::request_own_record_rewrite;

use self::{
    restored_store::{ReadProgress, TopicRead, rewrite_own_record_when_lost},
    retries::Retries,
    startup::{wait_for_first_records, wait_for_first_table, wait_to_read_records},
    store_writes::{write_quarantines, write_records},
};
use crate::{
    coordination::store_reading::ReadingRole,
    protocol::store::{KeyedRecord, RecordBatch, StateStore, StoreError, StoreTopic},
    proxy::{
        core::ProxyCore,
        events::ProxyEvent,
        retiring::retire_lost_nodes,
        state_sharing::delegate_store_reading,
        store_calls::{CallReason, StoreCall},
        table_offering::keep_zone_current,
        upstream_announcements::{
            RecordWrite, build_own_record, is_record_withheld, publish_own_record_when_changed,
        },
    },
    state::store_position::StorePosition,
};
use flume::Sender;
use rand::RngExt;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Interval at which a node that is waiting for its next read checks whether it has become a reader of its zone.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the earlier readers must be unreachable before this node reads in their place. After an outage of all nodes, they
/// can't reach each other for some hundred milliseconds; without this delay all of them would read.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// Largest number of rejected records that are remembered; the ones with the highest positions are kept.
const MAX_REMEMBERED_REJECTIONS: usize = 1_000;

/// Starts the tasks that keep this node and the store in sync. They run until the event loop ends. Records of this node that
/// are to be stored go into the returned sender.
pub fn start_store_sync<S: StateStore>(core: &Rc<ProxyCore>, store: S) -> Sender<RecordWrite> {
    let (record_writes, received_writes) = flume::unbounded();
    for topic in [StoreTopic::Configuration, StoreTopic::Nodes] {
        let topic_sync = TopicSync {
            core: Rc::clone(core),
            store: store.clone(),
            record_writes: record_writes.clone(),
            is_reader: Cell::default(),
            rejected_positions: RefCell::default(),
            read_progress: ReadProgress::default(),
        };
        spawn_local(topic_sync.run(topic));
    }
    spawn_local(rewrite_own_record_when_lost(
        Rc::clone(core),
        record_writes.clone(),
    ));
    spawn_local(publish_own_record_when_changed(
        Rc::clone(core),
        record_writes.clone(),
    ));
    spawn_local(retire_lost_nodes(Rc::clone(core), store.clone()));
    spawn_local(keep_zone_current(Rc::clone(core)));
    spawn_local(write_quarantines(Rc::clone(core), store.clone()));
    spawn_local(write_records(Rc::clone(core), store, received_writes));
    record_writes
}

/// Reads one topic of the store and applies its records.
struct TopicSync<S> {
    core: Rc<ProxyCore>,
    store: S,
    record_writes: Sender<RecordWrite>,
    /// Whether this node was a reader of its zone at the last check.
    is_reader: Cell<bool>,
    /// Positions of records that could not be decoded, so that each is logged once.
    rejected_positions: RefCell<BTreeSet<u64>>,
    read_progress: ReadProgress,
}

impl<S: StateStore> TopicSync<S> {
    /// Reads a topic until dropped, and shares new records with the zone.
    async fn run(self, topic: StoreTopic) {
        let core = &self.core;
        let mut retries = Retries::new(core, name_topic(topic));
        let mut next: Option<u64> = None;
        match topic {
            StoreTopic::Configuration => wait_for_first_table(core).await,
            StoreTopic::Nodes => wait_to_read_records(core).await,
        }
        let has_table = topic == StoreTopic::Configuration && core.routes().is_some();
        // Set if the next read is made at once, with its reason; otherwise it waits until this node is due to read.
        let mut immediate_reason = (!has_table).then_some(CallReason::Start);
        loop {
            let (max_wait, reason) = match immediate_reason.take() {
                Some(reason) => (Duration::ZERO, reason),
                None => self.wait_until_due(topic, retries.is_failing()).await,
            };
            let rereads_all = self.read_progress.is_reread_due(core.timers.now());
            let known = next.max(self.get_resume_position(topic));
            let from = known.filter(|_| !rereads_all);
            match self.read(topic, from, max_wait, reason).await {
                Ok(records) => {
                    retries.record_success();
                    next = Some(records.next);
                    let read = self.track_read(topic, &records, from.is_none());
                    self.apply_records(topic, &records, read).await;
                }
                Err(StoreError::Deleted | StoreError::EpochChanged) => {
                    next = None;
                    self.clear_resume_position(topic);
                    immediate_reason = Some(CallReason::Retry);
                }
                Err(error) => {
                    next = next.or(self.get_resume_position(topic));
                    immediate_reason = next.is_none().then_some(CallReason::Retry);
                    if retries.should_delegate_reading() && core.is_zone_reader() {
                        delegate_store_reading(core);
                    }
                    retries.record_failure_and_wait(&error).await;
                }
            }
        }
    }

    /// Waits until this node is due to read. Returns how long the store may hold the read open until a record arrives, and the
    /// reason of the read.
    async fn wait_until_due(&self, topic: StoreTopic, is_failing: bool) -> (Duration, CallReason) {
        let core = &self.core;
        wait_for_first_records(core).await;
        let jitter = rand::rng().random_range(0.8..1.2);
        let since = core.timers.now();
        loop {
            let plan = core.plan_reading(topic);
            let becomes_reader = plan.role != ReadingRole::Other && !self.is_reader.get();
            self.is_reader.set(plan.role != ReadingRole::Other);
            if becomes_reader && !core.is_substitute_reader() {
                let _ = core.timers.after(TAKEOVER_DELAY).recv_async().await;
                continue;
            }
            if core.timers.now().since(since) >= plan.pause.mul_f64(jitter) {
                let reason = match plan.role {
                    _ if is_failing => CallReason::Retry,
                    ReadingRole::Other => CallReason::GapCheck,
                    ReadingRole::First | ReadingRole::Second => CallReason::Reading,
                };
                return (plan.wait, reason);
            }
            let _ = core.timers.after(ROLE_CHECK_INTERVAL).recv_async().await;
        }
    }

    /// Reads the records from a position on; without a position, the newest record of each key.
    async fn read(
        &self,
        topic: StoreTopic,
        from: Option<u64>,
        max_wait: Duration,
        reason: CallReason,
    ) -> Result<RecordBatch, StoreError> {
        let calls = &self.core.counters.store_calls;
        match from {
            None => {
                calls.count(StoreCall::ReadNewest, reason);
                self.store.read_newest(topic).await
            }
            Some(from) => {
                calls.count(StoreCall::ReadFrom, reason);
                self.store.read_from(topic, from, max_wait).await
            }
        }
    }

    async fn apply_records(&self, topic: StoreTopic, records: &RecordBatch, read: TopicRead) {
        match topic {
            StoreTopic::Configuration => self.apply_configuration(records, read),
            StoreTopic::Nodes => {
                if read == TopicRead::FirstAfterRestore {
                    self.apply_restored_nodes(records).await;
                } else {
                    self.apply_nodes(records, read != TopicRead::Incremental)
                        .await;
                }
                let pause = self.core.plan_reading(topic).records_pause;
                let _ = self.core.timers.after(pause).recv_async().await;
            }
        }
    }

    /// Records how far the topic has been read, and logs if the store was restored from a backup.
    fn track_read(
        &self,
        topic: StoreTopic,
        records: &RecordBatch,
        is_full_read: bool,
    ) -> TopicRead {
        let core = &self.core;
        let before = self.read_progress.read_position();
        let now = core.timers.now();
        let read = self
            .read_progress
            .track_read(records.next, is_full_read, now);
        if read == TopicRead::FirstAfterRestore {
            core.log(&ProxyEvent::StoreRestored {
                what: name_topic(topic),
                era: StorePosition::unpack(records.next).epoch,
                before: StorePosition::unpack(before).epoch,
            });
        }
        read
    }

    /// Logs a record that can't be decoded, once; another program may have written it.
    fn log_rejected(&self, record: &KeyedRecord, error: String) {
        let mut rejected_positions = self.rejected_positions.borrow_mut();
        if !rejected_positions.insert(record.position) {
            return;
        }
        if rejected_positions.len() > MAX_REMEMBERED_REJECTIONS {
            rejected_positions.pop_first();
        }
        drop(rejected_positions);
        self.core.log(&ProxyEvent::RecordRejected {
            key: record.key.clone(),
            error,
        });
    }
}

/// Writes the record of this node again after the store has deleted or lost it.
fn rewrite_own_record(core: &ProxyCore, record_writes: &Sender<RecordWrite>) {
    core.stored_record.replace(None);
    core.log(&ProxyEvent::OwnRecordDropped {});
    if is_record_withheld(core) {
        return;
    }
    let Some(record) = build_own_record(core) else {
        return;
    };
    let (done, _) = flume::bounded(1);
    // Fails only when the node is ending.
    let _ = record_writes.send(RecordWrite { record, done });
}

const fn name_topic(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Configuration => "configuration",
        StoreTopic::Nodes => "nodes",
    }
}
