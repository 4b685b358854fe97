//! What admission is told by the node's settings.

use crate::state::concurrency::limit::LimitRule;
use std::time::Duration;

/// Settings of admission at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Calls the upstream can run at once.
    pub slots: u16,
    /// Most calls of one class that wait, whatever the estimates say. It bounds memory, and the
    /// queue before the first call has shown how long calls take.
    pub queue_limit: usize,
    /// Time over which the limit rises from 1 to all slots after a cold start.
    pub ramp: Duration,
    /// How long the limit stays down after the upstream refused a call itself.
    pub shed_hold: Duration,
    /// How the limit follows the time that calls take.
    pub rule: LimitRule,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 6,
            queue_limit: 64,
            ramp: Duration::from_secs(2),
            shed_hold: Duration::from_millis(100),
            rule: LimitRule::default(),
        }
    }
}
