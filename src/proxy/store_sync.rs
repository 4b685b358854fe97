//! Keeps a node up to date with the store, and the store with the node.

mod configuration;
mod nodes;
mod restored_store;
mod retries;
mod startup;
mod store_writes;

pub use restored_store::request_own_record_rewrite;

use self::{
    restored_store::{CopyReads, TopicRead, write_own_when_lost},
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
        upstream_announcements::{RecordWrite, build_own_record},
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

/// How often a node that only makes sure looks whether it has become a reader.
const ROLE_STEP: Duration = Duration::from_secs(1);
/// Time for which the readers before this node must be out of reach until it reads in their place. After a loss of all,
/// nodes can't reach each other for some hundred milliseconds, and all of them would read.
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(500);
/// Rejected records that are remembered, the latest.
const REJECTED_KEPT: usize = 1_000;

/// Keeps the node up to date with the store and the store with the node, until dropped. Records to be
/// stored go to the sender that is returned.
pub fn start_store_sync<S: StateStore>(core: &Rc<ProxyCore>, store: S) -> Sender<RecordWrite> {
    let (orders, written) = flume::unbounded();
    for topic in [StoreTopic::Configuration, StoreTopic::Nodes] {
        let follower = TopicSync {
            core: Rc::clone(core),
            store: store.clone(),
            orders: orders.clone(),
            reads: Cell::default(),
            rejected: RefCell::default(),
            copy_reads: CopyReads::default(),
        };
        spawn_local(follower.follow(topic));
    }
    spawn_local(write_own_when_lost(Rc::clone(core), orders.clone()));
    spawn_local(retire_lost_nodes(Rc::clone(core), store.clone()));
    spawn_local(keep_zone_current(Rc::clone(core)));
    spawn_local(write_quarantines(Rc::clone(core), store.clone()));
    spawn_local(write_records(Rc::clone(core), store, written));
    orders
}

/// What following a topic needs.
struct TopicSync<S> {
    core: Rc<ProxyCore>,
    store: S,
    orders: Sender<RecordWrite>,
    /// Whether this node was a reader of its zone when it last looked.
    reads: Cell<bool>,
    /// Places of records that were found to be of another writer, so that each is told of once.
    rejected: RefCell<BTreeSet<u64>>,
    copy_reads: CopyReads,
}

impl<S: StateStore> TopicSync<S> {
    /// Follows a topic until dropped, and tells the zone what is new.
    async fn follow(self, topic: StoreTopic) {
        let core = &self.core;
        let mut retries = Retries::new(core, name_topic(topic));
        let mut next: Option<u64> = None;
        match topic {
            StoreTopic::Configuration => wait_for_first_table(core).await,
            StoreTopic::Nodes => wait_to_read_records(core).await,
        }
        let is_told = topic == StoreTopic::Configuration && core.routes().is_some();
        // Why the next read does not wait for this node's turn.
        let mut urgent = (!is_told).then_some(CallReason::Start);
        loop {
            let (wait, reason) = match urgent.take() {
                Some(reason) => (Duration::ZERO, reason),
                None => self.wait_for_turn(topic, retries.is_failing()).await,
            };
            let reads_whole = self.copy_reads.is_second_due(core.timers.now());
            let known = next.max(self.skip_known(topic));
            let from = known.filter(|_| !reads_whole);
            match self.read(topic, from, wait, reason).await {
                Ok(records) => {
                    retries.succeed();
                    next = Some(records.next);
                    let read = self.note_read(topic, &records, from.is_none());
                    self.take_records(topic, &records, read).await;
                }
                Err(StoreError::Deleted | StoreError::EpochChanged) => {
                    next = None;
                    self.forget_place(topic);
                    urgent = Some(CallReason::Retry);
                }
                Err(error) => {
                    next = next.or(self.skip_known(topic));
                    urgent = next.is_none().then_some(CallReason::Retry);
                    if retries.is_to_be_handed_over() && core.is_zone_reader() {
                        delegate_store_reading(core);
                    }
                    retries.fail(&error).await;
                }
            }
        }
    }

    /// Waits until this node is to read; tells how long the read may wait for a record, and why it is made.
    async fn wait_for_turn(&self, topic: StoreTopic, is_failing: bool) -> (Duration, CallReason) {
        let core = &self.core;
        wait_for_first_records(core).await;
        let spread = rand::rng().random_range(0.8..1.2);
        let since = core.timers.now();
        loop {
            let plan = core.plan_reading(topic);
            let takes_over = plan.role != ReadingRole::Other && !self.reads.get();
            self.reads.set(plan.role != ReadingRole::Other);
            if takes_over && !core.is_substitute_reader() {
                let _ = core.timers.after(TAKE_OVER_PAUSE).recv_async().await;
                continue;
            }
            if core.timers.now().since(since) >= plan.pause.mul_f64(spread) {
                let reason = match plan.role {
                    _ if is_failing => CallReason::Retry,
                    ReadingRole::Other => CallReason::GapCheck,
                    ReadingRole::First | ReadingRole::Second => CallReason::Reading,
                };
                return (plan.wait, reason);
            }
            let _ = core.timers.after(ROLE_STEP).recv_async().await;
        }
    }

    /// Reads the records from a place on; without one, the newest record of each key.
    async fn read(
        &self,
        topic: StoreTopic,
        from: Option<u64>,
        wait: Duration,
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
                self.store.read_from(topic, from, wait).await
            }
        }
    }

    async fn take_records(&self, topic: StoreTopic, records: &RecordBatch, read: TopicRead) {
        match topic {
            StoreTopic::Configuration => self.take_configuration(records, read),
            StoreTopic::Nodes => {
                if read == TopicRead::Copy {
                    self.take_copy_of_nodes(records).await;
                } else {
                    self.take_nodes(records, read != TopicRead::Continued).await;
                }
                let pause = self.core.plan_reading(topic).records_pause;
                let _ = self.core.timers.after(pause).recv_async().await;
            }
        }
    }

    /// Records a read of the topic up to a place, and logs a return of the store.
    fn note_read(&self, topic: StoreTopic, records: &RecordBatch, whole: bool) -> TopicRead {
        let core = &self.core;
        let before = self.copy_reads.read_up_to();
        let now = core.timers.now();
        let read = self.copy_reads.note_read(records.next, whole, now);
        if read == TopicRead::Copy {
            core.log(&ProxyEvent::StoreRestored {
                what: name_topic(topic),
                era: StorePosition::unpack(records.next).epoch,
                before: StorePosition::unpack(before).epoch,
            });
        }
        read
    }

    /// Tells of a record of another writer.
    fn tell_rejected(&self, record: &KeyedRecord, error: String) {
        let mut rejected = self.rejected.borrow_mut();
        if !rejected.insert(record.position) {
            return;
        }
        if rejected.len() > REJECTED_KEPT {
            rejected.pop_first();
        }
        drop(rejected);
        self.core.log(&ProxyEvent::RecordRejected {
            key: record.key.clone(),
            error,
        });
    }
}

/// Writes the record of this node, which the store has dropped or lost.
fn write_own_again(core: &ProxyCore, orders: &Sender<RecordWrite>) {
    core.stored_record.replace(None);
    core.log(&ProxyEvent::OwnRecordDropped {});
    let Some(record) = build_own_record(core) else {
        return;
    };
    let (done, _) = flume::bounded(1);
    // The receiver goes only with the node.
    let _ = orders.send(RecordWrite { record, done });
}

const fn name_topic(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Configuration => "configuration",
        StoreTopic::Nodes => "nodes",
    }
}
