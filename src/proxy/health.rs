//! Applies the verdict on the local upstream, which `coordination/upstream_health.rs` finds, to requests. Does nothing unless the
//! settings enable it.

use crate::{
    coordination::upstream_health::{
        Admission, EndEffect, ExecutionEnd, ExecutionNumber, ExecutionStart, HealthChange,
        HealthState, PeerReport, TrialNumber, UpstreamHealth,
    },
    proxy::{
        core::{ProxyCore, increment},
        events::{ProxyEvent, in_millis},
        executing::refuse_queued_requests,
        upstream_announcements::find_own_identity,
    },
    state::{
        configuration::ConfigurationVersion, incarnation_id::IncarnationId, names::ClassName,
        timestamp::Timestamp,
    },
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};
use tokio::task::spawn_local;

/// Verdict on the local upstream, and the running executions.
#[derive(Default)]
pub struct LocalHealth {
    state: RefCell<UpstreamHealth>,
    /// The incarnation that the state is about.
    incarnation: RefCell<Option<IncarnationId>>,
    /// Latency targets by class, and the version of the routing table that they are from.
    targets: RefCell<(ConfigurationVersion, HashMap<ClassName, Duration>)>,
    /// When the next check for executions that last too long is due.
    scheduled_check: Cell<Option<Timestamp>>,
}

impl LocalHealth {
    /// State of the verdict.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> HealthState {
        self.state.borrow().state(now)
    }

    /// Time until the next trial; `None` if the upstream is not ejected.
    #[must_use]
    pub fn time_to_trial(&self, now: Timestamp) -> Option<Duration> {
        self.state.borrow().time_to_trial(now)
    }
}

/// A trial that has not been executed yet. Dropping it lets another request become the trial.
pub struct Trial {
    core: Rc<ProxyCore>,
    number: TrialNumber,
    is_executed: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.is_executed {
            self.core
                .health
                .state
                .borrow_mut()
                .cancel_trial(self.number);
        }
    }
}

/// Decides whether a request may ask for a slot: as a trial if it returns one. Otherwise returns the time until a request may be
/// admitted.
pub fn admit(core: &Rc<ProxyCore>, idempotent: bool) -> Result<Option<Trial>, Duration> {
    if !is_enabled(core) {
        return Ok(None);
    }
    forget_former_incarnation(core);
    count_overdue(core);
    judge(core);
    let load = core.slots.load();
    let used = usize::from(load.running) + usize::from(load.queued);
    let slots = (used, usize::from(load.limit));
    let now = core.timers.now();
    let admission = update(core, |state| state.admit(idempotent, slots, now));
    match admission {
        Admission::Admit => Ok(None),
        Admission::Trial(number) => {
            increment(&core.counters.upstream_trials);
            Ok(Some(Trial {
                core: Rc::clone(core),
                number,
                is_executed: false,
            }))
        }
        Admission::Refuse { wait } => {
            increment(&core.counters.refused_as_failing);
            Err(wait)
        }
    }
}

/// The wait to name if a request that was admitted is refused after all, since the upstream was ejected while it waited.
pub fn recheck(core: &ProxyCore, trial: Option<&Trial>) -> Option<Duration> {
    if !is_enabled(core) {
        return None;
    }
    let trial = trial.map(|trial| trial.number);
    let now = core.timers.now();
    core.health.state.borrow_mut().recheck(trial, now)
}

/// An execution at the local upstream. Dropping it means that the request was given up.
pub struct RunningExecution {
    core: Rc<ProxyCore>,
    /// `None` once it has ended, or if nothing is judged.
    number: Option<ExecutionNumber>,
}

impl RunningExecution {
    /// Records the start of an execution.
    pub fn begin(core: &Rc<ProxyCore>, class: &ClassName, trial: Option<Trial>) -> Self {
        let number = is_enabled(core).then(|| {
            let start = ExecutionStart {
                class: class.clone(),
                target: find_target(core, class),
                slowdown_percent: core.slots.load().slowdown_percent,
                trial: trial.map(|mut trial| {
                    trial.is_executed = true;
                    trial.number
                }),
            };
            let mut state = core.health.state.borrow_mut();
            state.begin_execution(start, core.timers.now())
        });
        schedule_check(core);
        Self {
            core: Rc::clone(core),
            number,
        }
    }

    /// Records the end of the execution; `failed` is how it counts in the failure rate if it is no evidence on the upstream's health.
    pub fn finish(mut self, end: ExecutionEnd, failed: bool) {
        let Some(number) = self.number.take() else {
            self.core.slots.record_result(failed);
            return;
        };
        match end_execution(&self.core, number, end) {
            EndEffect::Evidence { failed } => self.core.slots.record_result(failed),
            EndEffect::CountedBefore => {}
            EndEffect::None => self.core.slots.record_result(failed),
        }
        judge(&self.core);
    }
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        let Some(number) = self.number.take() else {
            return;
        };
        let effect = end_execution(&self.core, number, ExecutionEnd::Abandoned);
        if effect == (EndEffect::Evidence { failed: true }) {
            self.core.slots.record_result(true);
            judge(&self.core);
        }
    }
}

fn end_execution(core: &ProxyCore, number: ExecutionNumber, end: ExecutionEnd) -> EndEffect {
    let slowdown = core.slots.load().slowdown_percent;
    let now = core.timers.now();
    update(core, |state| {
        state.end_execution(number, end, slowdown, now)
    })
}

fn is_enabled(core: &ProxyCore) -> bool {
    core.limits().upstream_health.is_some()
}

/// Changes the state, and logs if the upstream returns by that.
fn update<T>(core: &ProxyCore, change: impl FnOnce(&mut UpstreamHealth) -> T) -> T {
    let now = core.timers.now();
    let mut state = core.health.state.borrow_mut();
    let before = state.state(now);
    let result = change(&mut state);
    let after = state.state(now);
    drop(state);
    if before == HealthState::Ejected && after == HealthState::Returning {
        core.log(&ProxyEvent::UpstreamReturning {
            instance: find_instance(core),
        });
    }
    result
}

/// Forgets evidence and verdict if they are about an earlier incarnation of the upstream.
fn forget_former_incarnation(core: &ProxyCore) {
    let upstream = core.local_upstream.borrow();
    let Some(current) = upstream.current().map(|current| &current.identity) else {
        return;
    };
    let mut known = core.health.incarnation.borrow_mut();
    let is_same = known.as_ref().is_some_and(|known| {
        let starts = known.started_ms.zip(current.started_ms);
        known.instance == current.instance && starts.is_none_or(|(a, b)| a == b)
    });
    if !is_same {
        core.health.state.borrow_mut().begin_incarnation();
        *known = Some(current.clone());
    }
}

fn find_instance(core: &ProxyCore) -> String {
    find_own_identity(core).map_or_else(String::new, |identity| identity.instance)
}

/// Latency target of a class by the routing table in force.
fn find_target(core: &ProxyCore, class: &ClassName) -> Option<Duration> {
    let routes = core.routes()?;
    let table = routes.table();
    let mut targets = core.health.targets.borrow_mut();
    if targets.0 != table.version {
        let by_class = table.routes.iter();
        targets.1 = by_class
            .map(|route| (route.class.clone(), route.target))
            .collect();
        targets.0 = table.version;
    }
    targets.1.get(class).copied()
}

/// Counts the executions that have lasted too long as failed.
fn count_overdue(core: &ProxyCore) {
    let slowdown = core.slots.load().slowdown_percent;
    let now = core.timers.now();
    let overdue = update(core, |state| state.count_overdue(slowdown, now));
    for _ in 0..overdue {
        core.slots.record_result(true);
    }
}

/// Checks for executions that last too long once the first of them can. There is one timer for all executions; an earlier one is
/// added only when an execution with a shorter time limit starts.
fn schedule_check(core: &Rc<ProxyCore>) {
    let slowdown = core.slots.load().slowdown_percent;
    let Some(due) = core.health.state.borrow().next_overdue(slowdown) else {
        return;
    };
    let scheduled = core.health.scheduled_check.get();
    if scheduled.is_some_and(|scheduled| scheduled <= due) {
        return;
    }
    core.health.scheduled_check.set(Some(due));
    let wait = core.timers.after(due.since(core.timers.now()));
    let core = Rc::clone(core);
    spawn_local(async move {
        let _ = wait.recv_async().await;
        core.health.scheduled_check.set(None);
        count_overdue(&core);
        judge(&core);
        schedule_check(&core);
    });
}

/// Compares the upstream with its peers if that may change the verdict.
fn judge(core: &Rc<ProxyCore>) {
    let Some(settings) = core.limits().upstream_health else {
        return;
    };
    let now = core.timers.now();
    if core
        .health
        .state
        .borrow()
        .needs_reports_since(now)
        .is_none()
    {
        return;
    }
    let reports = list_reports(core, now);
    let own_percent = core.slots.load().failed_percent;
    let mut state = core.health.state.borrow_mut();
    let change = state.judge(settings, own_percent, &reports, now);
    drop(state);
    if let Some(change) = change {
        apply_change(core, change);
    }
}

/// What the nodes of the other upstreams of the service reported to this node as an entry node.
fn list_reports(core: &ProxyCore, now: Timestamp) -> Vec<PeerReport> {
    let upstream = core.local_upstream.borrow();
    let Some(current) = upstream.current() else {
        return Vec::new();
    };
    let directory = core.directory.borrow();
    let others = directory.nodes.values().filter(|node| {
        node.record.service == current.service
            && node.record.address != core.settings.peer_address
            && !node.is_leaving()
    });
    others
        .filter_map(|node| {
            let (load, at) = node.load?;
            Some(PeerReport {
                load,
                at,
                is_ejected: node.is_ejected(now),
            })
        })
        .collect()
}

fn apply_change(core: &Rc<ProxyCore>, change: HealthChange) {
    let instance = find_instance(core);
    match change {
        HealthChange::Ejected {
            executions,
            failures,
            baseline,
            first_trial,
        } => {
            increment(&core.counters.ejections);
            core.log(&ProxyEvent::UpstreamEjected {
                instance,
                executions,
                failures,
                peers_percent: in_percent(baseline),
                trial_ms: in_millis(first_trial),
            });
            // They are sent to other upstreams.
            refuse_queued_requests(core);
        }
        HealthChange::Withdrawn { baseline } => core.log(&ProxyEvent::EjectionWithdrawn {
            instance,
            peers_percent: in_percent(baseline),
        }),
    }
}

fn in_percent(share: f64) -> u8 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    let percent = (share * 100.0).round() as u8;
    percent
}
