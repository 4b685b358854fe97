//! How often a member came back of late.

use crate::state::moment::Moment;
use std::{collections::VecDeque, time::Duration};

/// Returns within [`WINDOW`] from which a member is damped.
const DAMPED_FROM: usize = 3;
/// How long a return counts.
const WINDOW: Duration = Duration::from_mins(1);
/// How long a damped member must stay before it is used again.
const HOLD: Duration = Duration::from_secs(30);

/// The last returns of a member.
///
/// A member whose network comes and goes would otherwise be given work at each return, and each
/// loss would leave that work's outcome unknown.
#[derive(Clone, Debug, Default)]
pub struct FlapHistory {
    returns: VecDeque<Moment>,
}

impl FlapHistory {
    /// Notes that the member came back.
    pub fn add(&mut self, now: Moment) {
        if self.returns.len() == DAMPED_FROM {
            self.returns.pop_front();
        }
        self.returns.push_back(now);
    }

    /// Whether the member came back too often, too short a time ago.
    #[must_use]
    pub fn is_damped(&self, now: Moment) -> bool {
        let (Some(first), Some(last)) = (self.returns.front(), self.returns.back()) else {
            return false;
        };
        self.returns.len() == DAMPED_FROM && last.since(*first) <= WINDOW && now.since(*last) < HOLD
    }
}
