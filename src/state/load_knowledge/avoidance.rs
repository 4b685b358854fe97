//! How long an upstream is left alone after it refused.

use crate::{protocol::outcome::RefusalReason, state::moment::Moment};
use std::time::Duration;

/// First pause after a refusal for want of capacity.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after refusals for want of capacity.
const BUSY_PAUSE_MAX: Duration = Duration::from_millis(80);
/// First pause when the node or its upstream can't be reached.
const LOST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause when the node or its upstream can't be reached.
const LOST_PAUSE_MAX: Duration = Duration::from_secs(3);

/// A pause that doubles with each refusal and ends with the first answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Avoidance {
    until: Option<Moment>,
    pause: Duration,
}

impl Avoidance {
    /// Takes a refusal.
    pub fn refuse(&mut self, reason: RefusalReason, now: Moment) {
        let Some((first, longest)) = pause_bounds(reason) else {
            return;
        };
        // Calls that were sent together are refused together: they lengthen the pause once.
        if self.is_active(now) && self.pause >= first {
            return;
        }
        self.pause = (self.pause * 2).clamp(first, longest);
        self.until = Some(now + self.pause);
    }

    /// Takes an answer: the upstream works.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the pause lasts.
    #[must_use]
    pub fn is_active(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// First and longest pause, or none if the refusal tells nothing of the upstream.
fn pause_bounds(reason: RefusalReason) -> Option<(Duration, Duration)> {
    match reason {
        RefusalReason::QueueFull
        | RefusalReason::UpstreamShed
        | RefusalReason::DeadlineTooShort
        | RefusalReason::DeadlinePassed => Some((BUSY_PAUSE, BUSY_PAUSE_MAX)),
        RefusalReason::UpstreamDown | RefusalReason::NotSent | RefusalReason::Draining => {
            Some((LOST_PAUSE, LOST_PAUSE_MAX))
        }
        RefusalReason::NoUpstream
        | RefusalReason::Cancelled
        | RefusalReason::TooDeep
        | RefusalReason::RetryBudget
        | RefusalReason::NotOwner
        | RefusalReason::UnknownClass
        | RefusalReason::KeyMissing
        | RefusalReason::KeyInvalid
        | RefusalReason::KeyReused => None,
    }
}
