//! Admission as shown to operators.

use crate::{
    protocol::load_report::UpstreamCondition,
    state::{moment::Moment, names::ClassName},
};
use serde::Serialize;
use std::time::Duration;

/// Half of the window over which the share on target is counted.
const HALF_WINDOW: Duration = Duration::from_secs(5);

/// Admission at one upstream at one instant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Calls at the upstream.
    pub running: usize,
    /// Calls that it may run at once at present.
    pub limit: u16,
    /// Whether new work is taken.
    pub condition: UpstreamCondition,
    /// How many times slower than expected the calls now at the upstream are; 1 when well.
    pub slowdown: f64,
    /// Per class, in the order published.
    pub classes: Vec<ClassStatus>,
}

/// Admission of one class at one instant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassStatus {
    /// The class.
    pub name: ClassName,
    /// Calls waiting.
    pub queued: usize,
    /// Estimated time of one call at the upstream, in microseconds.
    pub service_micros: u64,
    /// Calls answered in the last 5 to 10 seconds.
    pub answered: u64,
    /// Of these, answered within the target.
    pub on_target: u64,
    /// Calls refused in the last 5 to 10 seconds.
    pub refused: u64,
    /// `on_target` over `answered`; absent when none was answered.
    pub share_on_target: Option<f64>,
}

/// Ends of calls counted over a sliding window of 5 to 10 seconds.
#[derive(Clone, Debug, Default)]
pub struct EndWindow {
    since: Moment,
    present: EndCounts,
    past: EndCounts,
}

/// Numbers of ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Whole answers that are not server errors.
    pub answered: u64,
    /// Of these, within the target.
    pub on_target: u64,
    /// Refusals.
    pub refused: u64,
}

impl EndWindow {
    /// Counts an answer.
    pub fn count_answer(&mut self, on_target: bool, now: Moment) {
        self.turn(now);
        self.present.answered += 1;
        self.present.on_target += u64::from(on_target);
    }

    /// Counts a refusal.
    pub fn count_refusal(&mut self, now: Moment) {
        self.turn(now);
        self.present.refused += 1;
    }

    /// The counts of the window that ends now.
    #[must_use]
    pub fn counts(&self, now: Moment) -> EndCounts {
        let mut window = self.clone();
        window.turn(now);
        EndCounts {
            answered: window.present.answered + window.past.answered,
            on_target: window.present.on_target + window.past.on_target,
            refused: window.present.refused + window.past.refused,
        }
    }

    fn turn(&mut self, now: Moment) {
        let elapsed = now.since(self.since);
        if elapsed < HALF_WINDOW {
            return;
        }
        let lately = elapsed < HALF_WINDOW * 2;
        self.past = if lately {
            self.present
        } else {
            EndCounts::default()
        };
        self.present = EndCounts::default();
        self.since = now;
    }
}
