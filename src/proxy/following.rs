//! Keeps a node up to date with the store, and the store with the node.

use crate::{
    protocol::store::{KeyedRecord, Records, StateStore, StoreError, StoreTopic},
    proxy::{
        announcing::{RecordOrder, describe_own, take_stored},
        core::ProxyCore,
        directory::StateSource,
        events::ProxyEvent,
        retiring::retire_gone_nodes,
        state_sharing::{hand_reading_over, share_with_zone},
    },
    state::placement_view::{NodeRecord, StoredRecord},
};
use flume::{Receiver, Sender};
use rand::RngExt;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Longest time that the first read of the nodes waits for the configuration.
const ROUTES_PATIENCE: Duration = Duration::from_millis(500);
/// How often it looks whether that is there.
const ROUTES_STEP: Duration = Duration::from_millis(10);
/// How often a node that only makes sure looks whether it has become a reader.
const ROLE_STEP: Duration = Duration::from_secs(1);
/// Failures in a row after which others are asked again to read in this node's place; some eight seconds.
const HAND_OVER_EVERY: u32 = 10;
/// Pauses after failures of the store, doubled from the first to the second.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

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
            rejected: RefCell::default(),
        };
        spawn_local(follower.follow(topic));
    }
    spawn_local(retire_gone_nodes(Rc::clone(core), store.clone()));
    spawn_local(write_records(Rc::clone(core), store, written));
    orders
}

/// What following a topic needs.
struct Follower<S> {
    core: Rc<ProxyCore>,
    store: S,
    orders: Sender<RecordOrder>,
    /// Places of records that were found to be of another writer, so that each is told of once.
    rejected: RefCell<BTreeSet<u64>>,
}

impl<S: StateStore> Follower<S> {
    /// Follows a topic until dropped, and tells the zone what is new.
    async fn follow(self, topic: StoreTopic) {
        let core = &self.core;
        let mut retries = Retries::new(core, name_topic(topic));
        let mut next: Option<u64> = None;
        if topic == StoreTopic::Nodes {
            wait_for_routes(core).await;
        }
        loop {
            let read = match next {
                None => self.store.read_newest(topic).await,
                Some(from) => {
                    let wait = wait_for_turn(core).await;
                    let from = self.skip_known(topic, from);
                    self.store.read_from(topic, from, wait).await
                }
            };
            match read {
                Ok(records) => {
                    retries.succeed();
                    let before = next.replace(records.next);
                    self.take_records(topic, &records, before.is_none()).await;
                }
                Err(StoreError::Deleted) => next = None,
                Err(error) => {
                    if retries.is_to_be_handed_over() && core.is_zone_reader() {
                        hand_reading_over(core);
                    }
                    retries.fail(&error).await;
                }
            }
        }
    }

    /// Where to read on. A configuration that other nodes told is not read again: it may be a megabyte, which takes a link
    /// of 10 Mbit/s a second.
    fn skip_known(&self, topic: StoreTopic, from: u64) -> u64 {
        match topic {
            StoreTopic::Configuration => {
                let known = self.core.directory.borrow().stored_table_next();
                known.map_or(from, |known| known.max(from))
            }
            StoreTopic::Nodes => from,
        }
    }

    /// Takes in records; `whole` if they are all that the topic holds.
    async fn take_records(&self, topic: StoreTopic, records: &Records, whole: bool) {
        match topic {
            StoreTopic::Configuration => self.take_configuration(records, whole),
            StoreTopic::Nodes => {
                self.take_nodes(records, whole).await;
                let pause = self.core.plan_reading().records_pause;
                let _ = self.core.timers.after(pause).recv_async().await;
            }
        }
    }

    fn take_configuration(&self, records: &Records, whole: bool) {
        let core = &self.core;
        let mut news = false;
        for record in &records.records {
            match self.store.decode_table(record) {
                Some(Ok(table)) => {
                    let version = table.version;
                    news |= core.take_table(table, StateSource::Store);
                    let next = record.offset.saturating_add(1);
                    core.directory.borrow_mut().note_stored_table(version, next);
                }
                Some(Err(error)) => core.log(&ProxyEvent::ConfigurationRejected { error }),
                None => {}
            }
        }
        share_with_zone(core, news && !whole, Vec::new());
    }

    async fn take_nodes(&self, records: &Records, whole: bool) {
        let core = &self.core;
        let mut news = Vec::new();
        for record in &records.records {
            let Some(value) = &record.value else {
                self.forget(|key| key == record.key, record.offset);
                continue;
            };
            let stored = match serde_json::from_slice(value) {
                Ok(node) => describe_stored(record, node),
                Err(error) => {
                    self.tell_rejected(record, &error);
                    continue;
                }
            };
            if stored.record.address == core.settings.peers {
                take_stored(core, stored.record).await;
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
        if !whole {
            share_with_zone(core, false, news);
        }
    }

    /// Tells of a record of another writer.
    fn tell_rejected(&self, record: &KeyedRecord, error: &serde_json::Error) {
        let mut rejected = self.rejected.borrow_mut();
        if !rejected.insert(record.offset) {
            return;
        }
        if rejected.len() > REJECTED_KEPT {
            rejected.pop_first();
        }
        drop(rejected);
        self.core.log(&ProxyEvent::RecordRejected {
            key: record.key.clone(),
            error: error.to_string(),
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
            self.write_own_again();
        }
    }

    /// A record is dropped once nobody has reached its node for long. This one lives: it was cut off, and gets no
    /// work from others without a record.
    fn write_own_again(&self) {
        let core = &self.core;
        core.stored.replace(None);
        core.log(&ProxyEvent::OwnRecordDropped {});
        let Some(record) = describe_own(core) else {
            return;
        };
        let (done, _) = flume::bounded(1);
        // The receiver goes only with the node.
        let _ = self.orders.send(RecordOrder { record, done });
    }
}

const fn name_topic(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Configuration => "configuration",
        StoreTopic::Nodes => "nodes",
    }
}

/// A node finds in the records which upstream it has, and asks that one by a path that it learns from
/// the configuration.
async fn wait_for_routes(core: &ProxyCore) {
    let since = core.timers.now();
    while core.routes().is_none() && core.timers.now().since(since) < ROUTES_PATIENCE {
        let _ = core.timers.after(ROUTES_STEP).recv_async().await;
    }
}

/// Waits until this node is to read; tells how long the read may wait for a record.
async fn wait_for_turn(core: &ProxyCore) -> Duration {
    let spread = rand::rng().random_range(0.8..1.2);
    let since = core.timers.now();
    loop {
        let plan = core.plan_reading();
        if core.timers.now().since(since) >= plan.pause.mul_f64(spread) {
            return plan.wait;
        }
        let _ = core.timers.after(ROLE_STEP).recv_async().await;
    }
}

const fn describe_stored(record: &KeyedRecord, node: NodeRecord) -> StoredRecord {
    StoredRecord {
        revision: record.offset.saturating_add(1),
        record: node,
    }
}

/// Writes this node's record whenever it changes, until dropped. Only the newest is of use.
async fn write_records<S: StateStore>(
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
            match append(&store, &order.record).await {
                Ok(()) => {
                    retries.succeed();
                    // Whoever waited for it may have given up.
                    let _ = order.done.try_send(());
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

/// Paces calls after failures, and logs when the store is lost and regained.
struct Retries<'a> {
    core: &'a ProxyCore,
    what: &'static str,
    failures: Cell<u32>,
}

impl<'a> Retries<'a> {
    fn new(core: &'a ProxyCore, what: &'static str) -> Self {
        Self {
            core,
            what,
            failures: Cell::new(0),
        }
    }

    /// True at the second failure in a row, and seldom after it: when the whole store is away, nodes that are
    /// asked to read it only add to the calls.
    fn is_to_be_handed_over(&self) -> bool {
        self.failures.get() % HAND_OVER_EVERY == 1
    }

    fn succeed(&self) {
        let failures = self.failures.take();
        if failures > 0 {
            self.core.log(&ProxyEvent::StoreRegained {
                what: self.what,
                failures,
            });
        }
    }

    async fn fail(&mut self, error: &StoreError) {
        let failures = self.failures.get();
        if failures == 0 {
            self.core.log(&ProxyEvent::StoreLost {
                what: self.what,
                error: error.to_string(),
            });
        }
        self.failures.set(failures + 1);
        let (least, most) = RETRY_PAUSES;
        let pause = (least * 2_u32.saturating_pow(failures.min(8))).min(most);
        let spread = rand::rng().random_range(0.7..1.3);
        let _ = self
            .core
            .timers
            .after(pause.mul_f64(spread))
            .recv_async()
            .await;
    }
}
