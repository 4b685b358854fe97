//! Ejection of an upstream that fails while its health check passes.
//!
//! The node of an upstream sees every request that arrives there, so it judges that upstream, by how recent executions ended and by
//! the failed shares that the nodes of other upstreams of the service report. Failures that occur everywhere, for instance because a
//! called service fails, do not count. An ejected upstream gets only single requests as trials, and returns gradually after some of
//! them have succeeded.
//!
//! The code is pure: every event carries its time.

mod baseline;
mod ejection;
mod evidence;
mod executions;

pub use self::{
    baseline::{Baseline, PeerReport, find_baseline},
    ejection::{FIRST_TRIAL_DELAY, MAX_TRIAL_DELAY},
    evidence::{EVIDENCE_AGE, EvidenceKind},
    executions::{ExecutionNumber, ExecutionStart, TrialNumber},
};

use crate::state::{failure_rate::FailureRate, timestamp::Timestamp};
use ejection::{Ejection, GradualReturn, TrialEffect};
use evidence::{Evidence, FailureRun};
use executions::{Execution, Executions};
use std::time::Duration;

/// An upstream is ejected only if its failed share exceeds the baseline by more than this.
const MIN_EXCESS: f64 = 0.3;
/// The same for the moving average that the node reports, which the baseline consists of. Both lag behind a fault alike, so the
/// comparison holds while a fault of all upstreams spreads.
const MIN_AVERAGE_EXCESS: f64 = 0.2;
/// Number of standard deviations by which the failures must exceed the expected number.
const DEVIATIONS: f64 = 3.0;
/// Further failures by which the expected number must be exceeded. Isolated failures in quiet times don't reach it.
const EXCESS_FAILURES: f64 = 3.0;
/// Time after a return in which a new ejection begins with twice the previous delay.
const RELAPSE_TIME: Duration = Duration::from_secs(30);

/// Settings of the ejection of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamHealthSettings {
    /// Largest share of the upstreams of a service that may be ejected at the same time, from 0 to 1.
    pub max_ejected_share: f64,
}

impl Default for UpstreamHealthSettings {
    fn default() -> Self {
        Self {
            max_ejected_share: 0.4,
        }
    }
}

/// Decision on a request before it asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be executed.
    Admit,
    /// The request may be executed as a trial.
    Trial(TrialNumber),
    /// The request is refused.
    Refuse {
        /// Time until a request may be admitted again.
        wait: Duration,
    },
}

/// A change of the verdict on an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthChange {
    /// The upstream was ejected.
    Ejected {
        /// Executions since its failures began.
        executions: u32,
        /// Number of them that failed.
        failures: u32,
        /// Failed share of the peers.
        baseline: f64,
        /// Time until the first trial.
        first_trial: Duration,
    },
    /// The peers fail as often as the upstream did, or too many of them are ejected, so that it is no longer ejected.
    Withdrawn {
        /// Failed share of the peers.
        baseline: f64,
    },
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The upstream answered, or its connection ended.
    Ended(EvidenceKind),
    /// The request was not executed. That is no evidence.
    NotExecuted,
    /// The sender of the request gave it up.
    Abandoned,
}

/// What the end of an execution means for the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEffect {
    /// It is evidence.
    Evidence {
        /// Whether the execution counts as failed.
        failed: bool,
    },
    /// The execution was counted as not answered before.
    CountedBefore,
    /// It is no evidence.
    None,
}

/// State of the verdict, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// The upstream gets requests as usual.
    Serving,
    /// The upstream gets only trials.
    Ejected,
    /// The upstream gets a part of its requests.
    Returning,
}

#[derive(Clone, Debug, Default)]
enum Phase {
    #[default]
    Serving,
    Ejected(Ejection),
    Returning(GradualReturn),
}

/// Evidence and verdict on one incarnation of an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    evidence: Evidence,
    executions: Executions,
    phase: Phase,
    /// Increases with each verdict and each new incarnation. Executions of an earlier period are no evidence.
    period: u64,
    next_trial: u64,
    first_delay: Duration,
    /// End of the latest return.
    returned_at: Option<Timestamp>,
}

impl UpstreamHealth {
    /// Forgets evidence and verdict, since the upstream has a new incarnation.
    pub fn begin_incarnation(&mut self) {
        self.begin_period(Phase::Serving);
        self.first_delay = Duration::ZERO;
        self.returned_at = None;
    }

    /// The current state.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> HealthState {
        match &self.phase {
            Phase::Serving => HealthState::Serving,
            Phase::Ejected(_) => HealthState::Ejected,
            Phase::Returning(steps) if steps.slot_share(now).is_none() => HealthState::Serving,
            Phase::Returning(_) => HealthState::Returning,
        }
    }

    /// Decides on a request. `used` is the number of running and waiting requests, `limit` the number of slots.
    pub fn admit(
        &mut self,
        idempotent: bool,
        (used, limit): (usize, usize),
        now: Timestamp,
    ) -> Admission {
        if matches!(&self.phase, Phase::Ejected(ejection) if ejection.lacks_trials(now)) {
            self.begin_return(now);
        }
        match &mut self.phase {
            Phase::Serving => Admission::Admit,
            Phase::Ejected(ejection) if idempotent && ejection.is_trial_due(now) => {
                let number = TrialNumber(self.next_trial);
                self.next_trial += 1;
                ejection.start_trial(number);
                Admission::Trial(number)
            }
            Phase::Ejected(ejection) => Admission::Refuse {
                wait: ejection.next_wait(now),
            },
            Phase::Returning(steps) => match steps.slot_share(now) {
                None => Admission::Admit,
                Some(share) if idempotent && has_free_share(used, limit, share) => Admission::Admit,
                Some(_) => Admission::Refuse {
                    wait: steps.time_to_step(now),
                },
            },
        }
    }

    /// Whether a request that was admitted earlier and has waited since is refused after all, and the wait to name; trials are not.
    pub fn recheck(&mut self, trial: Option<TrialNumber>, now: Timestamp) -> Option<Duration> {
        match &mut self.phase {
            Phase::Ejected(ejection) if !trial.is_some_and(|trial| ejection.is_running(trial)) => {
                Some(ejection.next_wait(now))
            }
            _ => None,
        }
    }

    /// Ends a trial that was not executed.
    pub fn cancel_trial(&mut self, trial: TrialNumber) {
        if let Phase::Ejected(ejection) = &mut self.phase {
            ejection.cancel_trial(trial);
        }
    }

    /// Records that an execution has started.
    pub fn begin_execution(&mut self, start: ExecutionStart, now: Timestamp) -> ExecutionNumber {
        self.executions.begin(start, self.period, now)
    }

    /// When the next running execution counts as not answered; `None` if none will.
    #[must_use]
    pub fn next_overdue(&self, slowdown_percent: u16) -> Option<Timestamp> {
        self.executions.next_due(slowdown_percent)
    }

    /// Counts the running executions that have lasted longer than their time limit, and returns how many there were.
    pub fn count_overdue(&mut self, slowdown_percent: u16, now: Timestamp) -> usize {
        let overdue = self.executions.mark_overdue(slowdown_percent, now);
        for execution in &overdue {
            self.record(execution, EvidenceKind::NoAnswer, now);
        }
        overdue.len()
    }

    /// Records how an execution ended.
    pub fn end_execution(
        &mut self,
        number: ExecutionNumber,
        end: ExecutionEnd,
        slowdown_percent: u16,
        now: Timestamp,
    ) -> EndEffect {
        let Some(execution) = self.executions.end(number) else {
            return EndEffect::None;
        };
        if execution.is_overdue {
            return EndEffect::CountedBefore;
        }
        let kind = match end {
            ExecutionEnd::Ended(EvidenceKind::Answered)
                if execution.is_late(slowdown_percent, now) =>
            {
                EvidenceKind::Slow
            }
            ExecutionEnd::Ended(kind) => kind,
            ExecutionEnd::Abandoned if execution.is_abandoned_late(slowdown_percent, now) => {
                EvidenceKind::NoAnswer
            }
            ExecutionEnd::Abandoned | ExecutionEnd::NotExecuted => {
                if let Some(trial) = execution.start.trial {
                    self.cancel_trial(trial);
                }
                return EndEffect::None;
            }
        };
        self.record(&execution, kind, now);
        EndEffect::Evidence {
            failed: kind.is_failure(),
        }
    }

    fn record(&mut self, execution: &Execution, kind: EvidenceKind, now: Timestamp) {
        match (&mut self.phase, execution.start.trial) {
            (Phase::Ejected(ejection), Some(trial)) => {
                let effect = ejection.end_trial(trial, kind.is_failure(), now);
                if effect == TrialEffect::Returns {
                    self.begin_return(now);
                }
            }
            (Phase::Ejected(_), None) => {}
            _ if execution.period == self.period => {
                self.evidence.record(&execution.start.class, kind, now);
            }
            _ => {}
        }
    }

    /// The time since which peers' reports matter for the verdict; `None` if it can't change now, whatever they report.
    #[must_use]
    pub fn needs_reports_since(&self, now: Timestamp) -> Option<Timestamp> {
        match &self.phase {
            Phase::Ejected(ejection) => ejection.is_trial_due(now).then_some(ejection.since),
            _ => self.find_suspicion(now).map(|run| run.since),
        }
    }

    fn find_suspicion(&self, now: Timestamp) -> Option<FailureRun> {
        // In quiet times this saves the search for a run with each request.
        if f64::from(self.evidence.failures()) <= EXCESS_FAILURES {
            return None;
        }
        let run = self.evidence.find_failure_run(MIN_EXCESS, now)?;
        (f64::from(run.failures) > EXCESS_FAILURES && !run.is_class_failure).then_some(run)
    }

    /// Compares the upstream with its peers. `own_percent` is the failed share that this node reports itself.
    pub fn judge(
        &mut self,
        settings: UpstreamHealthSettings,
        own_percent: u8,
        peers: &[PeerReport],
        now: Timestamp,
    ) -> Option<HealthChange> {
        let since = self.needs_reports_since(now)?;
        let found = find_baseline(peers, settings.max_ejected_share, since, now)?;
        let baseline = found.failed_share;
        if let Phase::Ejected(ejection) = &self.phase {
            if ejection.failed_share > baseline + MIN_EXCESS && !found.is_share_used {
                return None;
            }
            self.begin_period(Phase::Serving);
            return Some(HealthChange::Withdrawn { baseline });
        }
        let run = self.find_suspicion(now)?;
        let average = f64::from(own_percent) / 100.0;
        let settled = correct_lag(baseline, &run);
        if found.is_share_used
            || !exceeds_baseline(&run, settled)
            || average <= baseline + MIN_AVERAGE_EXCESS
        {
            return None;
        }
        let first_trial = self.find_first_delay(now);
        self.first_delay = first_trial;
        let ejection = Ejection::begin(run.failed_share(), first_trial, now);
        self.begin_period(Phase::Ejected(ejection));
        Some(HealthChange::Ejected {
            executions: run.executions,
            failures: run.failures,
            baseline,
            first_trial,
        })
    }

    /// Delay of the first trial: twice the previous one if the upstream has returned only lately.
    fn find_first_delay(&self, now: Timestamp) -> Duration {
        let is_relapse = self
            .returned_at
            .is_some_and(|returned| now.since(returned) <= RELAPSE_TIME);
        if is_relapse {
            (self.first_delay * 2).clamp(FIRST_TRIAL_DELAY, MAX_TRIAL_DELAY)
        } else {
            FIRST_TRIAL_DELAY
        }
    }

    fn begin_return(&mut self, now: Timestamp) {
        self.begin_period(Phase::Returning(GradualReturn::begin(now)));
        self.returned_at = Some(now + GradualReturn::DURATION);
    }

    fn begin_period(&mut self, phase: Phase) {
        self.phase = phase;
        self.period += 1;
        self.evidence.clear();
    }

    /// Time until the next trial; `None` if the upstream is not ejected.
    #[must_use]
    pub fn time_to_trial(&self, now: Timestamp) -> Option<Duration> {
        match &self.phase {
            Phase::Ejected(ejection) => Some(ejection.time_to_trial(now)),
            _ => None,
        }
    }
}

/// The failed share that the peers' moving averages approach if their failures began when those of the upstream did and they have had
/// as many executions since. Peers without failures stay at zero.
fn correct_lag(baseline: f64, run: &FailureRun) -> f64 {
    (baseline / FailureRate::find_settled_share(run.executions)).min(1.0)
}

/// Whether the failures exceed what the baseline explains.
fn exceeds_baseline(run: &FailureRun, baseline: f64) -> bool {
    let executions = f64::from(run.executions);
    let expected = executions * baseline;
    let deviation = (expected * (1.0 - baseline)).sqrt();
    f64::from(run.failures) > expected + DEVIATIONS * deviation + EXCESS_FAILURES
        && run.failed_share() > baseline + MIN_EXCESS
}

/// Whether an upstream that gets a share of its slots has a free one; at least one slot belongs to the share.
fn has_free_share(used: usize, limit: usize, share: f64) -> bool {
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of slots are far below 2^52"
    )]
    let (used, limit) = (used as f64, limit as f64);
    used < (limit * share).max(1.0)
}
