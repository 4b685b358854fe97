//! Trials of an ejected upstream and its gradual return.

use crate::{coordination::upstream_health::executions::TrialNumber, state::timestamp::Timestamp};
use std::time::Duration;

/// Time from the ejection to the first trial. Doubles with each failed trial.
pub const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(500);
/// Longest time between two trials. It limits how late the end of a fault is noticed.
pub const MAX_TRIAL_DELAY: Duration = Duration::from_secs(8);
/// Time from a successful trial to the next one.
const DELAY_AFTER_SUCCESS: Duration = Duration::from_millis(250);
/// Number of consecutive successful trials after which the upstream returns. An upstream that fails 70% of its requests passes
/// them in 3% of the cases.
const NEEDED_SUCCESSES: u32 = 3;
/// Each refusal since the last trial names a wait that is longer by this, so that entry nodes don't all come back at once.
const REFUSAL_SPREAD: Duration = Duration::from_millis(20);
/// Largest sum of [`REFUSAL_SPREAD`].
const MAX_REFUSAL_SPREAD: Duration = Duration::from_secs(1);
/// Shares of its slots that a returning upstream gets in turn.
const RETURN_SHARES: [f64; 3] = [0.25, 0.5, 1.0];
/// Duration of each step of the return.
const RETURN_STEP: Duration = Duration::from_secs(1);

/// Time for which a trial may be due without an idempotent request. Then the upstream returns without trials: where a service gets
/// only non-idempotent requests, it would otherwise stay ejected for ever.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(10);

/// Result of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEffect {
    /// Further trials follow.
    Continues,
    /// The upstream may return.
    Returns,
}

/// An ejection that is in force.
#[derive(Clone, Debug)]
pub struct Ejection {
    /// When the upstream was ejected.
    pub since: Timestamp,
    /// Failed share of the upstream at that time.
    pub failed_share: f64,
    next_trial: Timestamp,
    delay: Duration,
    running_trial: Option<TrialNumber>,
    successes: u32,
    refusals: u32,
}

impl Ejection {
    /// An ejection with the first trial after `delay`.
    #[must_use]
    pub fn begin(failed_share: f64, delay: Duration, now: Timestamp) -> Self {
        Self {
            since: now,
            failed_share,
            next_trial: now + delay,
            delay,
            running_trial: None,
            successes: 0,
            refusals: 0,
        }
    }

    /// Whether a trial may start.
    #[must_use]
    pub fn is_trial_due(&self, now: Timestamp) -> bool {
        self.running_trial.is_none() && now >= self.next_trial
    }

    /// Whether a trial has been due for so long that no idempotent request can be expected.
    #[must_use]
    pub fn lacks_trials(&self, now: Timestamp) -> bool {
        self.running_trial.is_none() && now.since(self.next_trial) > MAX_TRIAL_WAIT
    }

    /// Starts a trial.
    pub fn start_trial(&mut self, number: TrialNumber) {
        self.running_trial = Some(number);
    }

    /// Whether this trial is in progress.
    #[must_use]
    pub fn is_running(&self, number: TrialNumber) -> bool {
        self.running_trial == Some(number)
    }

    /// Ends a trial that was not executed; another request may become the trial.
    pub fn cancel_trial(&mut self, number: TrialNumber) {
        if self.is_running(number) {
            self.running_trial = None;
        }
    }

    /// Ends a trial with its result.
    pub fn end_trial(&mut self, number: TrialNumber, failed: bool, now: Timestamp) -> TrialEffect {
        if !self.is_running(number) {
            return TrialEffect::Continues;
        }
        self.running_trial = None;
        self.refusals = 0;
        if failed {
            self.successes = 0;
            self.delay = (self.delay * 2).min(MAX_TRIAL_DELAY);
            self.next_trial = now + self.delay;
            return TrialEffect::Continues;
        }
        self.successes += 1;
        self.next_trial = now + DELAY_AFTER_SUCCESS;
        if self.successes < NEEDED_SUCCESSES {
            TrialEffect::Continues
        } else {
            TrialEffect::Returns
        }
    }

    /// Time until the next trial.
    #[must_use]
    pub fn time_to_trial(&self, now: Timestamp) -> Duration {
        self.next_trial.since(now)
    }

    /// The wait to name in a refusal: the time until the next trial, somewhat longer with each refusal.
    pub fn next_wait(&mut self, now: Timestamp) -> Duration {
        let spread = (REFUSAL_SPREAD * self.refusals).min(MAX_REFUSAL_SPREAD);
        self.refusals = self.refusals.saturating_add(1);
        self.time_to_trial(now).max(DELAY_AFTER_SUCCESS) + spread
    }
}

/// The gradual return of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct GradualReturn {
    began: Timestamp,
}

impl GradualReturn {
    /// Duration of a whole return.
    pub const DURATION: Duration = Duration::from_secs(3);

    /// A return that begins now.
    #[must_use]
    pub const fn begin(now: Timestamp) -> Self {
        Self { began: now }
    }

    /// Share of its slots that the upstream gets; `None` once the return has ended.
    #[must_use]
    pub fn slot_share(self, now: Timestamp) -> Option<f64> {
        let step = now.since(self.began).as_micros() / RETURN_STEP.as_micros();
        RETURN_SHARES.get(usize::try_from(step).ok()?).copied()
    }

    /// Time until the next step.
    #[must_use]
    pub fn time_to_step(self, now: Timestamp) -> Duration {
        let elapsed = now.since(self.began).as_micros() % RETURN_STEP.as_micros();
        RETURN_STEP.saturating_sub(Duration::from_micros(
            u64::try_from(elapsed).unwrap_or_default(),
        ))
    }
}
