//! How much work an upstream gets after a cold start.

use crate::{protocol::load_report::UpstreamCondition, state::moment::Moment};
use std::time::Duration;

/// Time from a cold start to full load.
const RAMP: Duration = Duration::from_secs(5);
/// Share of full load at the start. Not 0: an upstream without calls would never warm.
const FIRST_SHARE: f64 = 0.1;

/// The share of full load that an upstream may get.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    since: Option<Moment>,
}

impl Ramp {
    /// An upstream first seen in `condition`. One that is first seen serving is taken as warm: it
    /// is this node that is new.
    #[must_use]
    pub fn new(condition: UpstreamCondition, now: Moment) -> Self {
        let mut ramp = Self::default();
        ramp.enter(condition, now);
        ramp
    }

    /// Follows a change of condition. A short time down does not start a ramp by itself: checks of
    /// health are sometimes wrong, and the node beside the upstream tells of a cold start.
    pub fn enter(&mut self, condition: UpstreamCondition, now: Moment) {
        match condition {
            UpstreamCondition::Down | UpstreamCondition::Draining => self.since = None,
            UpstreamCondition::Warming => {
                self.since.get_or_insert(now);
            }
            UpstreamCondition::Serving => {}
        }
    }

    /// Share of full load, from a tenth to 1.
    #[must_use]
    pub fn share(&self, now: Moment) -> f64 {
        self.since.map_or(1.0, |since| {
            let passed = now.since(since).as_secs_f64() / RAMP.as_secs_f64();
            (FIRST_SHARE + (1.0 - FIRST_SHARE) * passed).min(1.0)
        })
    }
}
