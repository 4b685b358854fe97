//! The connections that a node keeps, one for each node it talks with.

use crate::{
    constants::{PEER_BACKOFF_MAX, PEER_BACKOFF_MIN, PEER_CONNECT_TIMEOUT, PEER_REQUEST_TIMEOUT},
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover, fit_slot},
    },
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Settlement},
    },
    state::{
        member::{Incarnation, Member},
        moment::Moment,
        names::NodeName,
        ownership::EpochNumber,
    },
    timers::TimerService,
    transport::peers::{
        PeerCounters, PeerHandler, PeerIdentity,
        connection::Connection,
        counters::count,
        dial::dial,
        error::{HelloError, HelloRefusal, NotSentReason, PeerError},
        requests,
    },
};
use futures::{
    FutureExt,
    future::{Either, LocalBoxFuture, Shared as SharedFuture, select},
};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::task::spawn_local;

type Dialled = Result<Rc<Connection>, PeerError>;
type Connecting = SharedFuture<LocalBoxFuture<'static, Dialled>>;

/// What is known of the way to one node.
enum Slot {
    /// Several requests wait for one connect.
    Connecting {
        done: Connecting,
        /// Pause after the last failure, zero if there was none.
        backoff: Duration,
    },
    Open(Rc<Connection>),
    /// The last connect to `address` failed.
    Failed {
        address: SocketAddr,
        until: Moment,
        backoff: Duration,
    },
}

/// What all connections of a node have in common.
pub struct Shared {
    pub identity: PeerIdentity,
    pub handler: Rc<dyn PeerHandler>,
    pub timers: TimerService,
    pub counters: PeerCounters,
    slots: RefCell<HashMap<NodeName, Slot>>,
}

impl Shared {
    /// Counts a failed hello and says what to tell the other side.
    pub fn refuse(&self, error: &HelloError) -> HelloRefusal {
        let refusal = match error {
            HelloError::Refused(refusal) => *refusal,
            HelloError::Decode(_) | HelloError::Connection(_) => HelloRefusal::Malformed,
        };
        self.counters.count_refusal(refusal);
        tracing::warn!(%error, "hello between nodes failed");
        refusal
    }

    /// Keeps a connection for requests, unless there is one as good.
    ///
    /// Both nodes may dial each other at once. Both connections then stay open, since the other
    /// side may have chosen either.
    pub fn adopt(&self, connection: Rc<Connection>) {
        let mut slots = self.slots.borrow_mut();
        if let Some(Slot::Open(kept)) = slots.get(&connection.member.name) {
            let kept_run = kept.member.incarnation;
            let new_run = connection.member.incarnation;
            if kept_run > new_run || (kept_run == new_run && kept.link.is_open()) {
                return;
            }
            if kept_run < new_run {
                kept.link.close();
            }
        }
        slots.insert(connection.member.name.clone(), Slot::Open(connection));
    }

    fn fail(&self, name: &NodeName, address: SocketAddr) {
        let mut slots = self.slots.borrow_mut();
        if let Some(Slot::Open(_)) = slots.get(name) {
            return;
        }
        let last = match slots.get(name) {
            Some(Slot::Connecting { backoff, .. } | Slot::Failed { backoff, .. }) => *backoff,
            _ => Duration::ZERO,
        };
        let backoff = (last * 2).clamp(PEER_BACKOFF_MIN, PEER_BACKOFF_MAX);
        let until = self.timers.now() + backoff.mul_f64(rand::random_range(0.5..1.0));
        let failed = Slot::Failed {
            address,
            until,
            backoff,
        };
        slots.insert(name.clone(), failed);
    }
}

/// Handle to a node's connections; clones share them. Must be used within a `LocalSet`.
#[derive(Clone)]
pub struct PeerConnections {
    shared: Rc<Shared>,
}

impl PeerConnections {
    /// No connections yet. `handler` serves what other nodes ask for, on any connection.
    #[must_use]
    pub fn new(identity: PeerIdentity, handler: Rc<dyn PeerHandler>, timers: TimerService) -> Self {
        Self {
            shared: Rc::new(Shared {
                identity,
                handler,
                timers,
                counters: PeerCounters::default(),
                slots: RefCell::default(),
            }),
        }
    }

    pub(super) fn shared(&self) -> Rc<Shared> {
        Rc::clone(&self.shared)
    }

    /// Counts of what happened on all connections.
    #[must_use]
    pub fn counters(&self) -> &PeerCounters {
        &self.shared.counters
    }

    /// The nodes to which a connection is open.
    #[must_use]
    pub fn connected(&self) -> Vec<Member> {
        let slots = self.shared.slots.borrow();
        let open = slots.values().filter_map(|slot| match slot {
            Slot::Open(connection) if connection.link.is_open() => Some(connection.member.clone()),
            Slot::Open(_) | Slot::Connecting { .. } | Slot::Failed { .. } => None,
        });
        open.collect()
    }

    /// Learns who answers at an address, and keeps the connection.
    ///
    /// # Errors
    /// If no node of this mesh answers there in time.
    pub async fn introduce(&self, address: SocketAddr) -> Result<Member, PeerError> {
        let connection = dial_in_time(Rc::clone(&self.shared), address).await?;
        self.shared.adopt(Rc::clone(&connection));
        Ok(connection.member.clone())
    }

    /// Closes the connection to a node; requests under way on it end as lost.
    pub fn close(&self, name: &NodeName) {
        if let Some(Slot::Open(connection)) = self.shared.slots.borrow_mut().remove(name) {
            connection.link.close();
        }
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        for slot in self.shared.slots.take().into_values() {
            if let Slot::Open(connection) = slot {
                connection.link.close();
            }
        }
    }

    /// Has `to` run an attempt. Dropping the future tells `to` to give the attempt up, without
    /// saying what became of it: ask [`Self::cancel`] or [`Self::settle`] for that.
    ///
    /// # Errors
    /// See [`PeerError`]; only [`PeerError::Lost`] leaves open whether the attempt ran.
    pub async fn execute(
        &self,
        to: &Member,
        attempt: &CallAttempt,
    ) -> Result<AttemptResult, PeerError> {
        let (connection, time_left) = self.prepare(to, attempt).await?;
        requests::execute(
            &connection,
            self.handler(),
            attempt,
            time_left,
            self.body_limit(),
        )
        .await
    }

    /// Has the owner of the attempt's idempotency key run it. Otherwise like [`Self::execute`].
    ///
    /// # Errors
    /// See [`PeerError`]; only [`PeerError::Lost`] leaves open whether the attempt ran.
    pub async fn execute_keyed(
        &self,
        to: &Member,
        attempt: &CallAttempt,
    ) -> Result<AttemptResult, PeerError> {
        let (connection, time_left) = self.prepare(to, attempt).await?;
        requests::execute_keyed(
            &connection,
            self.handler(),
            attempt,
            time_left,
            self.body_limit(),
        )
        .await
    }

    /// Cancels an attempt at `to` and learns what became of it.
    ///
    /// # Errors
    /// If no word comes in time; the attempt may or may not have run then.
    pub async fn cancel(&self, to: &Member, id: AttemptId) -> Result<Settlement, PeerError> {
        let connection = self.connect(to).await?;
        self.in_time(requests::cancel(&connection, self.handler(), id))
            .await
    }

    /// Asks `to` whether an attempt ran; if it does not know the attempt, it never runs it.
    ///
    /// # Errors
    /// If no word comes in time; the attempt may or may not have run then.
    pub async fn settle(&self, to: &Member, id: AttemptId) -> Result<Settlement, PeerError> {
        let connection = self.connect(to).await?;
        self.in_time(requests::settle(&connection, self.handler(), id))
            .await
    }

    /// Asks for the load of the upstream beside `to`.
    ///
    /// # Errors
    /// If no word comes in time.
    pub async fn probe(&self, to: &Member) -> Result<LoadReport, PeerError> {
        let connection = self.connect(to).await?;
        self.in_time(requests::probe(&connection, self.handler()))
            .await
    }

    /// Tells `to` what this node knows and returns what `to` knows.
    ///
    /// # Errors
    /// If no word comes in time.
    pub async fn gossip(&self, to: &Member, gossip: &Gossip) -> Result<Gossip, PeerError> {
        let connection = self.connect(to).await?;
        self.in_time(requests::gossip(&connection, self.handler(), gossip))
            .await
    }

    fn handler(&self) -> &dyn PeerHandler {
        &*self.shared.handler
    }

    /// Hands the keys of a slot to its next owner. Of a slot too large for a message, the oldest
    /// answers and keys are left out.
    ///
    /// # Errors
    /// If no word comes in time; it may be sent again, a second copy is not taken.
    pub async fn hand_over(
        &self,
        to: &Member,
        handover: SlotHandover<HeldAnswer>,
    ) -> Result<HandoverAnswer, PeerError> {
        let connection = self.connect(to).await?;
        let handover = SlotHandover {
            slot: fit_slot(handover.slot, self.body_limit()),
            ..handover
        };
        self.in_time(requests::hand_over(&connection, self.handler(), &handover))
            .await
    }

    /// Asks another owner of `epoch` to leave the owners as they are for one lease length.
    ///
    /// # Errors
    /// If no word comes in time: the promise counts as not given.
    pub async fn ask_promise(&self, to: &Member, epoch: EpochNumber) -> Result<bool, PeerError> {
        let connection = self.connect(to).await?;
        self.in_time(requests::promise(&connection, self.handler(), epoch))
            .await
    }

    fn body_limit(&self) -> usize {
        self.shared.identity.body_limit
    }

    /// A connection for the attempt, and the time that is left of its deadline once there is one.
    async fn prepare(
        &self,
        to: &Member,
        attempt: &CallAttempt,
    ) -> Result<(Rc<Connection>, Duration), PeerError> {
        if attempt.body.len() > self.body_limit() {
            return Err(PeerError::NotSent(NotSentReason::TooLarge));
        }
        let started = self.shared.timers.now();
        let connection = self.connect(to).await?;
        let spent = self.shared.timers.now().since(started);
        let time_left = attempt.time_left.saturating_sub(spent);
        if time_left.is_zero() {
            return Err(PeerError::NotSent(NotSentReason::DeadlinePassed));
        }
        Ok((connection, time_left))
    }

    /// The open connection to exactly this incarnation.
    async fn connect(&self, to: &Member) -> Result<Rc<Connection>, PeerError> {
        if let Some(connection) = self.find_open(to)? {
            return Ok(connection);
        }
        let done = self.find_connecting(to)?;
        let connection = done.await?;
        if connection.member.name != to.name {
            return Err(PeerError::NotSent(NotSentReason::OtherNode));
        }
        check_incarnation(&connection, to.incarnation)?;
        if !connection.link.is_open() {
            return Err(PeerError::NotSent(NotSentReason::HelloCut("closed".into())));
        }
        Ok(connection)
    }

    fn find_open(&self, to: &Member) -> Result<Option<Rc<Connection>>, PeerError> {
        let slots = self.shared.slots.borrow();
        let Some(Slot::Open(connection)) = slots.get(&to.name) else {
            return Ok(None);
        };
        if !connection.link.is_open() {
            return Ok(None);
        }
        if connection.member.incarnation < to.incarnation {
            // The former run may hold the connection until the kernel notices; dial the new one.
            connection.link.close();
            return Ok(None);
        }
        check_incarnation(connection, to.incarnation)?;
        Ok(Some(Rc::clone(connection)))
    }

    /// The connect under way to that node; starts one unless the last failed a short time ago.
    fn find_connecting(&self, to: &Member) -> Result<Connecting, PeerError> {
        let mut slots = self.shared.slots.borrow_mut();
        let backoff = match slots.get(&to.name) {
            Some(Slot::Connecting { done, .. }) => return Ok(done.clone()),
            Some(Slot::Failed {
                address,
                until,
                backoff,
            }) => {
                if *address == to.peer_address && self.shared.timers.now() < *until {
                    return Err(PeerError::NotSent(NotSentReason::BackingOff));
                }
                *backoff
            }
            Some(Slot::Open(_)) | None => Duration::ZERO,
        };
        let dialling = dial_for(Rc::clone(&self.shared), to.name.clone(), to.peer_address);
        let done = dialling.boxed_local().shared();
        // Goes on when all requests that wait for it are given up.
        spawn_local(done.clone());
        let slot = Slot::Connecting {
            done: done.clone(),
            backoff,
        };
        slots.insert(to.name.clone(), slot);
        Ok(done)
    }

    async fn in_time<T>(
        &self,
        request: impl Future<Output = Result<T, PeerError>>,
    ) -> Result<T, PeerError> {
        let timeout = self.shared.timers.after(PEER_REQUEST_TIMEOUT);
        match select(pin!(request), timeout.recv_async()).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(PeerError::Lost("timeout".into())),
        }
    }
}

fn check_incarnation(connection: &Connection, wanted: Incarnation) -> Result<(), PeerError> {
    let found = connection.member.incarnation;
    if found == wanted {
        Ok(())
    } else {
        Err(PeerError::WrongIncarnation { found })
    }
}

/// Dials the node's address and notes the outcome in its slot.
async fn dial_for(shared: Rc<Shared>, name: NodeName, address: SocketAddr) -> Dialled {
    let dialled = dial_in_time(Rc::clone(&shared), address).await;
    match &dialled {
        Ok(connection) => {
            if connection.member.name != name {
                shared.fail(&name, address);
            }
            shared.adopt(Rc::clone(connection));
        }
        Err(error) => {
            tracing::debug!(%error, node = %name, "connect failed");
            shared.fail(&name, address);
        }
    }
    dialled
}

async fn dial_in_time(shared: Rc<Shared>, address: SocketAddr) -> Dialled {
    let timeout = shared.timers.after(PEER_CONNECT_TIMEOUT);
    let dialled = match select(pin!(dial(&shared, address)), timeout.recv_async()).await {
        Either::Left((dialled, _)) => dialled,
        Either::Right(_) => Err(PeerError::NotSent(NotSentReason::Timeout)),
    };
    match &dialled {
        Ok(_) => count(&shared.counters.dialled),
        Err(_) => count(&shared.counters.connect_failures),
    }
    dialled
}
