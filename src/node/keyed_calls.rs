//! Calls with an idempotency key: from the entry node to the owner of the key, and at the owner.

pub mod handovers;
pub mod promises;

use crate::{
    coordination::{
        keyed_calls::{
            ASK_AGAIN_AFTER, ForwardStep, HeldAnswer, KeyRoute, KeyedStep, after_forward,
            begin_keyed_call, conclude_call, deadline_passed_unsettled, fingerprint_call, key_id,
            refuse_as_not_owner, route_key, run_end,
        },
        log_reader::LogUpdate,
        ownership::{
            ClockReading, OwnershipSettings,
            directory::OwnerDirectory,
            proposal::{Candidates, propose_epoch},
        },
    },
    node::{
        core::NodeCore,
        entry::{CallEnd, EntryCall, carry_call},
        keyed_calls::{
            handovers::{find_owner, send_handovers},
            promises::ask_promises,
        },
    },
    protocol::{
        call::CallAttempt,
        outcome::{AttemptResult, Outcome, Refusal, RefusalReason, RetryAdvice},
    },
    state::{
        key_table::{
            entry::{RunEnd, RunNumber},
            key::{KeyId, WallMillis},
        },
        log_record::LogRecordKind,
        member::Member,
        membership::MemberState,
        moment::Moment,
        ownership::{Owner, OwnershipEpoch},
    },
    transport::peers::PeerError,
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::sync::Notify;

/// How often waits are ended and the owners looked at.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(200);
/// For so many periods the members must stay the same before owners are proposed, and so many lie
/// between two proposals: every change makes callers wait for a lease to end.
const STEADY_PERIODS: u32 = 5;
/// So many periods lie between two rounds of promises in a log outage. Two rounds fit in the last
/// quarter of a lease length, so that the first may be lost.
const PROMISE_PERIODS: u32 = 3;

/// What a node keeps for keyed calls. No borrow is held over an `await`.
pub struct KeyedCalls {
    /// Owners of all services, and this node's leases and keys.
    pub directory: RefCell<OwnerDirectory<HeldAnswer>>,
    /// Wakes calls that wait for a run to end, for a lease or for a handover.
    changed: Notify,
    /// Cloned for each call of another node that is carried here as the owner of its key.
    carried: Rc<()>,
    /// Cloned for each handover that is being sent.
    handovers: Rc<()>,
}

impl KeyedCalls {
    /// A node that knows no owner yet.
    #[must_use]
    pub fn new(me: &Member, settings: OwnershipSettings) -> Self {
        let directory = OwnerDirectory::new(me.service.clone(), as_owner(me), settings);
        Self {
            directory: RefCell::new(directory),
            changed: Notify::new(),
            carried: Rc::default(),
            handovers: Rc::default(),
        }
    }

    /// Calls of other nodes that are carried here now.
    #[must_use]
    pub fn carried_calls(&self) -> usize {
        Rc::strong_count(&self.carried) - 1
    }

    /// Has waiting calls look again.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }
}

/// A member as an owner of keys.
#[must_use]
pub fn as_owner(member: &Member) -> Owner {
    Owner {
        node: member.name.clone(),
        incarnation: member.incarnation,
    }
}

/// Both clocks, the wall clock first.
#[must_use]
pub fn read_clocks(core: &NodeCore) -> ClockReading {
    let wall = WallMillis(core.timers.wall_millis());
    let now = core.timers.now();
    ClockReading { wall, now }
}

/// Ends waits in time and proposes owners, until dropped.
pub async fn run_ownership(core: Rc<NodeCore>) {
    let ticks = core.timers.every(OWNERSHIP_PERIOD);
    let mut seen = Vec::new();
    let mut steady = 0;
    let mut periods = 0_u32;
    while ticks.recv_async().await.is_ok() {
        let at = read_clocks(&core);
        core.keyed.directory.borrow_mut().own_mut().on_time(at);
        core.keyed.wake();
        periods = periods.wrapping_add(1);
        if periods.is_multiple_of(PROMISE_PERIODS) {
            ask_promises(&core);
        }
        let serving = serving_members(&core);
        steady = if serving == seen { steady + 1 } else { 0 };
        seen = serving;
        let due = core.stopping.get() || steady % STEADY_PERIODS == STEADY_PERIODS - 1;
        if let Some(record) = due.then(|| start_due_proposal(&core, &seen)).flatten() {
            core.log.append(LogRecordKind::OwnershipEpoch(record));
        }
    }
}

/// Takes in what the log reader tells, before anything else is done with it.
pub fn take_ownership_update(core: &Rc<NodeCore>, update: &LogUpdate) {
    let at = read_clocks(core);
    let due = core.keyed.directory.borrow_mut().on_log_update(update, at);
    send_handovers(core, due);
    core.keyed.wake();
}

/// All that was in the log at `as_of` is folded here, by the word of a peer.
pub fn note_fresh_owners(core: &NodeCore, as_of: Moment) {
    let mut directory = core.keyed.directory.borrow_mut();
    let epoch = directory.own().view().epoch();
    directory.own_mut().on_fresh_view(epoch, as_of);
}

/// Members of the service that are not leaving. One that leaves has named the owners after it;
/// taking it for a candidate would make it an owner again until its end.
fn serving_members(core: &NodeCore) -> Vec<Owner> {
    let membership = core.membership.borrow();
    let known = membership.members(core.timers.now());
    let leaving: Vec<_> = known
        .filter_map(|(member, state)| (state == MemberState::Draining).then_some(&member.name))
        .collect();
    let members = core.members.borrow();
    let of_service = members
        .values()
        .filter(|member| member.service == core.me.service && !leaving.contains(&&member.name));
    let mut owners: Vec<Owner> = of_service.map(as_owner).collect();
    owners.sort();
    owners
}

/// The epoch that this node should append to the log now, if any. The append may be made only if this
/// returns one; it is noted as under way.
#[must_use]
pub fn start_due_proposal(core: &NodeCore, serving: &[Owner]) -> Option<OwnershipEpoch> {
    let mut directory = core.keyed.directory.borrow_mut();
    let own = directory.own_mut();
    let known = Candidates {
        service: &core.me.service,
        serving,
        leaving: core.stopping.get(),
    };
    let record = propose_epoch(own.view(), own.me(), known)?;
    own.start_proposal(&record, core.timers.now())
        .then_some(record)
}

/// Carries a caller's call with a key: to the owner of the key, until it has an outcome.
pub async fn carry_keyed_call(core: &Rc<NodeCore>, call: EntryCall) -> CallEnd {
    let Some(key) = call.key.and_then(key_id) else {
        return end_at(Outcome::NotRun(Refusal {
            reason: RefusalReason::KeyInvalid,
            advice: RetryAdvice::Never,
        }));
    };
    let mut link_lost = false;
    loop {
        if core.timers.now() >= call.deadline {
            let outcome = conclude_call(deadline_passed_unsettled(), link_lost);
            return end_at(outcome);
        }
        let end = match route(core, &call, key) {
            KeyRoute::Here => run_owned(core, call.clone(), key).await,
            KeyRoute::Forward(owner) => {
                let answered = forward(core, &call, &owner).await;
                link_lost |= answered.is_none();
                answered.unwrap_or_else(|| end_at(refuse_as_not_owner()))
            }
            KeyRoute::NoOwner => end_at(refuse_as_not_owner()),
        };
        let time_left = call.deadline.since(core.timers.now());
        match after_forward(end.outcome, time_left) {
            ForwardStep::Finish(outcome) => {
                let outcome = conclude_call(outcome, link_lost);
                return CallEnd { outcome, ..end };
            }
            ForwardStep::AskAgain => {
                let pause = core.timers.after(ASK_AGAIN_AFTER);
                let _ = pause.recv_async().await;
            }
        }
    }
}

/// Runs a call that another node forwarded, if this node owns its key.
pub async fn execute_keyed_attempt(core: Rc<NodeCore>, attempt: CallAttempt) -> AttemptResult {
    let carried = Rc::clone(&core.keyed.carried);
    let outcome = match (attempt.key.and_then(key_id), entry_call(&core, attempt)) {
        (Some(key), Some(call)) => run_owned(&core, call, key).await.outcome,
        // A node restarted at the owner's address knows no class yet, and nothing of the key.
        _ => refuse_as_not_owner(),
    };
    drop(carried);
    let load = core.load_report();
    AttemptResult { outcome, load }
}

fn route(core: &NodeCore, call: &EntryCall, key: KeyId) -> KeyRoute {
    let directory = core.keyed.directory.borrow();
    let view = directory.view(&call.service);
    view.map_or(KeyRoute::NoOwner, |view| {
        route_key(view, directory.own().me(), key)
    })
}

/// Has the owner carry the call; `None` if the link to it was lost: the call may have run then. The
/// same key may be sent again, since its owner runs it at most once.
async fn forward(core: &Rc<NodeCore>, call: &EntryCall, owner: &Owner) -> Option<CallEnd> {
    let Some(member) = find_owner(core, owner) else {
        return Some(end_at(refuse_as_not_owner()));
    };
    let Some(peers) = core.peers.get() else {
        return Some(end_at(refuse_as_not_owner()));
    };
    let attempt = call.build_attempt(call.first_attempt, core.timers.now());
    let outcome = match peers.execute_keyed(&member, &attempt).await {
        Ok(result) => result.outcome,
        Err(PeerError::Lost(_)) => return None,
        Err(_) => refuse_as_not_owner(),
    };
    Some(CallEnd {
        outcome,
        upstream: Some(member.name),
        attempts: 1,
    })
}

/// The owner's side: runs the key, or waits for what it waits for, until the deadline.
async fn run_owned(core: &Rc<NodeCore>, call: EntryCall, key: KeyId) -> CallEnd {
    let fingerprint = fingerprint_call(&call.build_attempt(call.first_attempt, call.deadline));
    loop {
        let changed = core.keyed.changed.notified();
        let at = read_clocks(core);
        let step = {
            let mut directory = core.keyed.directory.borrow_mut();
            begin_keyed_call(directory.own_mut(), key, fingerprint, at)
        };
        let look_again = match step {
            KeyedStep::Run(run) => return run_begun(core, call, key, run).await,
            KeyedStep::NotOwner(_) => return end_at(refuse_as_not_owner()),
            KeyedStep::Finish(outcome) => return end_at(outcome),
            KeyedStep::AwaitFirst => call.deadline,
            KeyedStep::AwaitOwnership(until) => until.min(call.deadline),
        };
        if at.now >= call.deadline {
            return end_at(deadline_passed_unsettled());
        }
        wait_for_change(core, changed, look_again, at.now).await;
    }
}

async fn wait_for_change(
    core: &NodeCore,
    changed: impl Future<Output = ()>,
    until: Moment,
    now: Moment,
) {
    let due = core.timers.after(until.since(now));
    tokio::select! {
        () = changed => {}
        _ = due.recv_async() => {}
    }
}

async fn run_begun(core: &Rc<NodeCore>, call: EntryCall, key: KeyId, run: RunNumber) -> CallEnd {
    let begun = BegunRun {
        core: Rc::clone(core),
        key,
        run,
        ended: false,
    };
    let end = carry_call(core, call).await;
    begun.finish(&end.outcome);
    end
}

/// A run that the key table has as in progress.
///
/// A caller that goes away drops the future that would report the end. The call may have reached the
/// upstream by then, so the run is reported as unknown; otherwise repeats would wait for it in vain.
struct BegunRun {
    core: Rc<NodeCore>,
    key: KeyId,
    run: RunNumber,
    ended: bool,
}

impl BegunRun {
    fn finish(mut self, outcome: &Outcome) {
        self.ended = true;
        self.report(run_end(outcome));
    }

    fn report(&self, end: RunEnd<HeldAnswer>) {
        let mut directory = self.core.keyed.directory.borrow_mut();
        directory.own_mut().finish(self.key, self.run, end);
        drop(directory);
        self.core.keyed.wake();
    }
}

impl Drop for BegunRun {
    fn drop(&mut self) {
        if !self.ended {
            self.report(RunEnd::Unknown);
        }
    }
}

fn entry_call(core: &NodeCore, attempt: CallAttempt) -> Option<EntryCall> {
    let configuration = core.configuration();
    let service = configuration.content.find_service(&attempt.service)?;
    Some(EntryCall {
        id: attempt.id.call,
        service: attempt.service,
        class: service.find_class(&attempt.class)?.clone(),
        method: attempt.method,
        target: attempt.target,
        headers: attempt.headers,
        body: attempt.body,
        deadline: core.timers.now() + attempt.time_left,
        key: attempt.key,
        depth: attempt.depth,
        first_attempt: attempt.id.number,
    })
}

fn end_at(outcome: Outcome) -> CallEnd {
    CallEnd {
        outcome,
        upstream: None,
        attempts: 0,
    }
}
