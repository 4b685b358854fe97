//! The number of calls that an upstream may run at once, adapted to how it fares.

use crate::state::moment::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Slowness (mean over baseline) up to which an upstream counts as well.
const TOLERANCE: f64 = 2.0;
/// Factor of one backward step of [`LimitRule::Aimd`].
const AIMD_BACKOFF: f64 = 0.9;
/// Share of a new value that [`LimitRule::Gradient`] takes over at once.
const GRADIENT_SMOOTHING: f64 = 0.2;
/// Largest cut that one step of [`LimitRule::Gradient`] aims at.
const GRADIENT_FLOOR: f64 = 0.2;

/// How the limit follows the time that calls take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitRule {
    /// Always all slots.
    Fixed,
    /// One step up for each round of good calls, a tenth down for each slow one.
    Aimd,
    /// In proportion to baseline over mean, plus room to grow.
    #[default]
    Gradient,
}

/// The concurrency limit of one upstream: at least 1, at most its slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    rule: LimitRule,
    slots: u16,
    value: f64,
    ramp: Duration,
    ramp_start: Option<Moment>,
    shed_hold: Duration,
    held_until: Moment,
    held_limit: u16,
}

impl ConcurrencyLimit {
    /// A limit of `slots`, raised over `ramp` once started, held down for `shed_hold` after a
    /// refusal by the upstream.
    #[must_use]
    pub fn new(rule: LimitRule, slots: u16, ramp: Duration, shed_hold: Duration) -> Self {
        let slots = slots.max(1);
        Self {
            rule,
            slots,
            value: f64::from(slots),
            ramp,
            ramp_start: None,
            shed_hold,
            held_until: Moment::default(),
            held_limit: slots,
        }
    }

    /// Takes a new number of slots. A limit that stood at the old number moves to the new one.
    pub fn set_slots(&mut self, slots: u16) {
        let at_most = self.value >= f64::from(self.slots);
        self.slots = slots.max(1);
        let most = f64::from(self.slots);
        self.value = if at_most { most } else { self.value.min(most) };
        self.held_limit = self.held_limit.min(self.slots);
    }

    /// Starts the ramp of a cold upstream.
    pub fn start_ramp(&mut self, now: Moment) {
        self.ramp_start = Some(now);
    }

    /// Whether the ramp was ever started.
    #[must_use]
    pub fn has_ramped(&self) -> bool {
        self.ramp_start.is_some()
    }

    /// Whether the ramp still holds the limit below the slots.
    #[must_use]
    pub fn is_warming(&self, now: Moment) -> bool {
        self.ramp_ceiling(now) < self.slots
    }

    /// The limit in force.
    #[must_use]
    pub fn current(&self, now: Moment) -> u16 {
        let mut limit = whole(self.value).min(self.ramp_ceiling(now));
        if now < self.held_until {
            limit = limit.min(self.held_limit);
        }
        limit.clamp(1, self.slots)
    }

    /// When the limit may next rise by itself, if it is held down now.
    #[must_use]
    pub fn next_rise(&self, now: Moment) -> Option<Moment> {
        let hold_end = (now < self.held_until).then_some(self.held_until);
        let step = self.ramp / u32::from(self.slots);
        let ramp_step = self.is_warming(now).then(|| now + step);
        [hold_end, ramp_step].into_iter().flatten().min()
    }

    /// Takes in a successful call. `slowness` is mean over baseline, `full` whether the limit was
    /// reached: an unused limit has not been proven and must not rise.
    pub fn observe(&mut self, slowness: f64, full: bool, now: Moment) {
        if now < self.held_until {
            return;
        }
        let next = match self.rule {
            LimitRule::Fixed => f64::from(self.slots),
            LimitRule::Aimd => self.next_aimd(slowness, full),
            LimitRule::Gradient => self.next_gradient(slowness, full),
        };
        self.value = next.clamp(1.0, f64::from(self.slots));
    }

    /// Takes in a call that was given up. It can lower the limit, never raise it.
    pub fn observe_lost(&mut self, slowness: f64, now: Moment) {
        if slowness > TOLERANCE {
            self.observe(slowness, false, now);
        }
    }

    /// The upstream refused a call itself while `running` others went on: no more than those for a
    /// short while, or each of the next calls would be a refusal too.
    pub fn observe_shed(&mut self, running: u16, now: Moment) {
        self.held_limit = running.clamp(1, self.slots);
        self.held_until = now + self.shed_hold;
    }

    fn next_aimd(&self, slowness: f64, full: bool) -> f64 {
        if slowness > TOLERANCE {
            self.value * AIMD_BACKOFF
        } else if full {
            self.value + 1.0 / self.value
        } else {
            self.value
        }
    }

    fn next_gradient(&self, slowness: f64, full: bool) -> f64 {
        let gradient = (TOLERANCE / slowness).clamp(GRADIENT_FLOOR, 1.0);
        let room = if full { self.value.sqrt() } else { 0.0 };
        let aim = self.value * gradient + room;
        self.value + (aim - self.value) * GRADIENT_SMOOTHING
    }

    fn ramp_ceiling(&self, now: Moment) -> u16 {
        let Some(start) = self.ramp_start else {
            return self.slots;
        };
        let elapsed = now.since(start);
        if elapsed >= self.ramp {
            return self.slots;
        }
        let steps = elapsed.as_micros() * u128::from(self.slots) / self.ramp.as_micros();
        u16::try_from(steps).unwrap_or(self.slots).max(1)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of u16 before the cast"
)]
fn whole(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}
