//! Keeps a node up to date with the store, and the store with the node.

mod retries;
mod returning;
mod starting;
mod writing;

pub use returning::note_own_record_lost;

use self::{
    retries::Retries,
    returning::{
        CopyReads, TopicRead, list_quarantined, take_copy, tell_zone_of_copy, write_own_when_lost,
    },
    starting::{
        wait_for_first_records, wait_for_first_table, wait_for_routes, wait_to_read_records,
    },
    writing::{write_quarantines, write_records},
};
use crate::{
    coordination::store_reading::ReadingRole,
    protocol::{
        hop::StoredTable,
        store::{KeyedRecord, Records, StateStore, StoreError, StoreTopic, find_quarantined},
    },
    proxy::{
        announcing::{RecordOrder, describe_own, take_stored},
        core::ProxyCore,
        crashes::{take_stored_quarantine, tell_zone_of_quarantine},
        directory::StateSource,
        evacuating::take_read_evacuations,
        events::ProxyEvent,
        retiring::retire_gone_nodes,
        state_sharing::{hand_reading_over, share_with_zone},
        store_calls::{CallReason, StoreCall},
        table_offering::keep_zone_current,
    },
    state::{
        evacuations::{EvacuationChange, EvacuationRead},
        placement_view::{NodeRecord, StoredRecord},
        request_digest::RequestDigest,
        store_position::StorePosition,
    },
};
use flume::Sender;
use rand::RngExt;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
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
pub fn follow_store<S: StateStore>(core: &Rc<ProxyCore>, store: S) -> Sender<RecordOrder> {
    let (orders, written) = flume::unbounded();
    for topic in [StoreTopic::Configuration, StoreTopic::Nodes] {
        let follower = Follower {
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
    spawn_local(retire_gone_nodes(Rc::clone(core), store.clone()));
    spawn_local(keep_zone_current(Rc::clone(core)));
    spawn_local(write_quarantines(Rc::clone(core), store.clone()));
    spawn_local(write_records(Rc::clone(core), store, written));
    orders
}

/// What following a topic needs.
struct Follower<S> {
    core: Rc<ProxyCore>,
    store: S,
    orders: Sender<RecordOrder>,
    /// Whether this node was a reader of its zone when it last looked.
    reads: Cell<bool>,
    /// Places of records that were found to be of another writer, so that each is told of once.
    rejected: RefCell<BTreeSet<u64>>,
    copy_reads: CopyReads,
}

impl<S: StateStore> Follower<S> {
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
                Err(StoreError::Deleted | StoreError::OtherEra) => {
                    next = None;
                    self.forget_place(topic);
                    urgent = Some(CallReason::Retry);
                }
                Err(error) => {
                    next = next.or(self.skip_known(topic));
                    urgent = next.is_none().then_some(CallReason::Retry);
                    if retries.is_to_be_handed_over() && core.is_zone_reader() {
                        hand_reading_over(core);
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
            if takes_over && !core.stands_in() {
                let _ = core.timers.after(TAKE_OVER_PAUSE).recv_async().await;
                continue;
            }
            if core.timers.now().since(since) >= plan.pause.mul_f64(spread) {
                let reason = match plan.role {
                    _ if is_failing => CallReason::Retry,
                    ReadingRole::Other => CallReason::MakingSure,
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
    ) -> Result<Records, StoreError> {
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

    /// Where the store goes on after what other nodes told. A configuration is not read again: it may be a megabyte, which
    /// takes a link of 10 Mbit/s a second. Evacuations stand in the same topic: without them nothing is skipped.
    fn skip_known(&self, topic: StoreTopic) -> Option<u64> {
        match topic {
            StoreTopic::Configuration => {
                let next = self.core.directory.borrow().stored_table_next();
                next.filter(|next| *next <= self.core.evacuations.position())
            }
            StoreTopic::Nodes => None,
        }
    }

    /// Forgets where the store goes on after what other nodes told: it has deleted the records from there on.
    fn forget_place(&self, topic: StoreTopic) {
        if topic == StoreTopic::Configuration {
            self.core.directory.borrow_mut().forget_stored_table();
        }
    }

    async fn take_records(&self, topic: StoreTopic, records: &Records, read: TopicRead) {
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

    fn take_configuration(&self, records: &Records, read: TopicRead) {
        let core = &self.core;
        // First, so that no request goes by the new routes to a zone that was evacuated before them.
        let changes = self.find_evacuations(records);
        let evacuation_read = match read {
            TopicRead::Continued => EvacuationRead::Continued,
            TopicRead::All | TopicRead::Copy => EvacuationRead::All,
            TopicRead::AllWrittenAgain => EvacuationRead::AllWrittenAgain,
        };
        take_read_evacuations(core, &changes, records.next, evacuation_read);
        for record in &records.records {
            match self.store.decode_table(record) {
                Some(Ok(table)) => {
                    let version = table.version;
                    core.take_table(table, StateSource::Store);
                    let next = record.position.saturating_add(1);
                    let mut directory = core.directory.borrow_mut();
                    directory.note_stored_table(StoredTable { version, next });
                }
                Some(Err(error)) => core.log(&ProxyEvent::ConfigurationRejected { error }),
                None => {}
            }
        }
        if read == TopicRead::Copy {
            tell_zone_of_copy(core);
        }
    }

    /// Records a read of the topic up to a place, and logs a return of the store.
    fn note_read(&self, topic: StoreTopic, records: &Records, whole: bool) -> TopicRead {
        let core = &self.core;
        let before = self.copy_reads.read_up_to();
        let now = core.timers.now();
        let read = self.copy_reads.note_read(records.next, whole, now);
        if read == TopicRead::Copy {
            core.log(&ProxyEvent::StoreReturned {
                what: name_topic(topic),
                era: StorePosition::unpack(records.next).era,
                before: StorePosition::unpack(before).era,
            });
        }
        read
    }

    fn find_evacuations(&self, records: &Records) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for record in &records.records {
            match self.store.find_evacuated(record) {
                Some(Ok(zone)) => changes.push(EvacuationChange {
                    zone,
                    evacuated: record.value.is_some(),
                    position: record.position,
                }),
                Some(Err(error)) => self.tell_rejected(record, error),
                None => {}
            }
        }
        changes
    }

    async fn take_copy_of_nodes(&self, records: &Records) {
        let copy = records.records.iter();
        let copy: Vec<StoredRecord> = copy
            .filter(|record| find_quarantined(&record.key).is_none())
            .filter_map(|record| self.decode_node(record, record.value.as_ref()?))
            .collect();
        let quarantined = list_quarantined(&records.records);
        take_copy(&self.core, copy, &quarantined, records.next).await;
    }

    /// Applies records of nodes; `whole` if they are the newest of all keys.
    async fn take_nodes(&self, records: &Records, whole: bool) {
        let core = &self.core;
        let mut news = Vec::new();
        let mut own = None;
        for record in &records.records {
            if let Some(digest) = find_quarantined(&record.key) {
                self.take_quarantine(digest, record, whole);
                continue;
            }
            let Some(value) = &record.value else {
                self.forget(|key| key == record.key, record.position);
                continue;
            };
            let Some(stored) = self.decode_node(record, value) else {
                continue;
            };
            if stored.record.address == core.settings.peers {
                own = Some(stored);
            } else if core.take_record(stored.clone(), StateSource::Store) {
                news.push(stored);
            }
        }
        if whole {
            // Drops from before may be among what the store has deleted.
            let kept: HashSet<&str> = records
                .records
                .iter()
                .map(|kept| kept.key.as_str())
                .collect();
            self.forget(|key| !kept.contains(key), records.next);
        }
        core.directory.borrow_mut().note_read(records.next);
        core.note_records();
        if whole {
            news = list_unshared(core, news, own.as_ref());
        }
        share_with_zone(core, news);
        if let Some(own) = own {
            wait_for_routes(core).await;
            take_stored(core, own.record).await;
        }
    }

    fn decode_node(&self, record: &KeyedRecord, value: &[u8]) -> Option<StoredRecord> {
        match serde_json::from_slice(value) {
            Ok(node) => Some(describe_stored(record, node)),
            Err(error) => {
                self.tell_rejected(record, error.to_string());
                None
            }
        }
    }

    /// At a start all nodes read the same, so only what comes later is told to the zone.
    fn take_quarantine(&self, digest: RequestDigest, record: &KeyedRecord, whole: bool) {
        let news = record.value.is_some() && take_stored_quarantine(&self.core, digest);
        if news && !whole {
            tell_zone_of_quarantine(&self.core, digest);
        }
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

    /// Forgets the nodes whose keys the store held up to a revision and does no longer.
    fn forget(&self, is_dropped: impl Fn(&str) -> bool, up_to: u64) {
        let core = &self.core;
        let by_key = |record: &NodeRecord| is_dropped(&self.store.key_of(record));
        let forgotten = core.directory.borrow_mut().forget_dropped(up_to, by_key);
        for record in forgotten {
            core.log(&ProxyEvent::NodeForgotten {
                known: record.name,
                address: record.address,
            });
        }
        let own_is_dropped = core.stored.borrow().as_ref().is_some_and(by_key);
        if own_is_dropped {
            // Nobody has reached this node for long, but it lives: it was cut off, and gets no work from others without a record.
            write_own_again(core, &self.orders);
        }
    }
}

/// Writes the record of this node, which the store has dropped or lost.
fn write_own_again(core: &ProxyCore, orders: &Sender<RecordOrder>) {
    core.stored.replace(None);
    core.log(&ProxyEvent::OwnRecordDropped {});
    let Some(record) = describe_own(core) else {
        return;
    };
    let (done, _) = flume::bounded(1);
    // The receiver goes only with the node.
    let _ = orders.send(RecordOrder { record, done });
}

const fn name_topic(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Configuration => "configuration",
        StoreTopic::Nodes => "nodes",
    }
}

/// Of what a node has read as a whole, what others may not have heard of. Those that read before stop as soon as the record
/// of a node that comes before them is there, and what followed it may have come after their last read.
fn list_unshared(
    core: &ProxyCore,
    read: Vec<StoredRecord>,
    own: Option<&StoredRecord>,
) -> Vec<StoredRecord> {
    match own {
        Some(own) if core.is_zone_reader() => {
            let later = |stored: &StoredRecord| stored.revision > own.revision;
            read.into_iter().filter(later).collect()
        }
        _ => Vec::new(),
    }
}

const fn describe_stored(record: &KeyedRecord, node: NodeRecord) -> StoredRecord {
    StoredRecord {
        revision: record.position.saturating_add(1),
        record: node,
    }
}
