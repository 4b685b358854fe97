//! How an upstream behaves now; changed at run time.

use rand::{RngExt, rngs::SmallRng};
use std::time::Duration;

/// What happens to an answer once its call has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// It is sent whole.
    #[default]
    None,
    /// The connection ends half-way through the body.
    CutHalfWay,
    /// The connection ends before the first byte.
    CutBefore,
    /// It is never sent; the slot stays taken until the client goes away.
    Never,
}

/// Which calls are refused without being run, with 503 and `camphorturn-shed: not-run`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Refusing {
    /// None.
    #[default]
    Nothing,
    /// Those that find this many calls waiting for a slot.
    AboveWaiting(usize),
    /// All.
    Everything,
}

/// What `GET /health` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthAnswer {
    /// 503 while draining or failing, else 200.
    #[default]
    Truthful,
    /// Always 200.
    AlwaysHealthy,
}

/// A seeded chance that a call takes longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Noise {
    /// Share of calls that are hit, from 0 to 1.
    pub share: f64,
    /// What is added to their service time.
    pub extra: Duration,
}

/// Slowness that fades after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Factor on the service time at first; falls evenly to 1.
    pub factor: f64,
    /// Time until the factor is 1.
    pub span: Duration,
}

impl ColdStart {
    /// The factor on service times at `age` after the start.
    #[must_use]
    pub fn factor_at(&self, age: Duration) -> f64 {
        if age >= self.span {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.span.as_secs_f64();
        1.0 + (self.factor - 1.0) * left
    }
}

/// The present behaviour of an upstream. The default is a healthy one.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// Factor on every service time.
    pub slow_factor: f64,
    /// Chance of longer calls.
    pub noise: Option<Noise>,
    /// Slowness after a start; setting it begins it.
    pub cold_start: Option<ColdStart>,
    /// Every call is answered 500 at once, without a slot.
    pub fail_fast: bool,
    /// New calls are refused and answers say `draining`; calls in progress end.
    pub draining: bool,
    /// Which calls are refused.
    pub refusing: Refusing,
    /// What happens to answers.
    pub answer_fault: AnswerFault,
    /// Share of calls hit by `answer_fault`, from 0 to 1.
    pub answer_fault_share: f64,
    /// Load headers say this number of running calls, whatever the truth is.
    pub reported_running: Option<u16>,
    /// Whether calls end when the deadline they carry has passed.
    pub honours_deadlines: bool,
    /// What `GET /health` says.
    pub health: HealthAnswer,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            noise: None,
            cold_start: None,
            fail_fast: false,
            draining: false,
            refusing: Refusing::Nothing,
            answer_fault: AnswerFault::None,
            answer_fault_share: 1.0,
            reported_running: None,
            honours_deadlines: true,
            health: HealthAnswer::Truthful,
        }
    }
}

impl Behaviour {
    pub(super) fn draw_answer_fault(&self, rng: &mut SmallRng) -> AnswerFault {
        if self.answer_fault_share >= 1.0 || rng.random::<f64>() < self.answer_fault_share {
            self.answer_fault
        } else {
            AnswerFault::None
        }
    }

    pub(super) fn draw_noise(&self, rng: &mut SmallRng) -> Duration {
        match self.noise {
            Some(noise) if rng.random::<f64>() < noise.share => noise.extra,
            _ => Duration::ZERO,
        }
    }

    pub(super) fn refuses(&self, waiting: usize) -> bool {
        let above = match self.refusing {
            Refusing::Nothing => false,
            Refusing::AboveWaiting(limit) => waiting >= limit,
            Refusing::Everything => true,
        };
        above || self.draining
    }
}
