//! The attempts at one call so far.

use crate::{
    coordination::retries::AttemptEnding, events::reasons::RetryStop, state::names::NodeName,
};

/// What a call has been through.
#[derive(Clone, Debug, Default)]
pub struct RetryState {
    attempts: u16,
    outstanding: u16,
    /// Every upstream an attempt was sent to: one that refused is not asked again by this call,
    /// and one that failed or fell silent is not the place for the next attempt.
    tried: Vec<NodeName>,
    may_have_run: bool,
    stop: Option<RetryStop>,
}

impl RetryState {
    /// Counts an attempt that is sent to `node`.
    pub fn start_attempt(&mut self, node: NodeName) {
        self.attempts += 1;
        self.outstanding += 1;
        self.tried.push(node);
    }

    /// Counts the end of the attempt at `node`.
    pub fn end_attempt(&mut self, node: &NodeName, ended: AttemptEnding) {
        debug_assert!(self.tried.contains(node), "{node} was never tried");
        self.outstanding = self.outstanding.saturating_sub(1);
        self.may_have_run |= !matches!(ended, AttemptEnding::NotRun(_));
    }

    /// Notes what keeps the call from a further attempt, if anything.
    pub fn note_stop(&mut self, stop: Option<RetryStop>) {
        self.stop = stop;
    }

    /// What kept the call from a further attempt when the last one ended.
    #[must_use]
    pub fn stop(&self) -> Option<RetryStop> {
        self.stop
    }

    /// Attempts sent so far.
    #[must_use]
    pub fn attempts(&self) -> u16 {
        self.attempts
    }

    /// Attempts that have not ended.
    #[must_use]
    pub fn outstanding(&self) -> u16 {
        self.outstanding
    }

    /// Upstreams that attempts were sent to.
    #[must_use]
    pub fn tried(&self) -> &[NodeName] {
        &self.tried
    }

    /// Whether an attempt that has ended ran or may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether a further attempt can do no harm: the class is idempotent, or nothing ran.
    #[must_use]
    pub fn may_repeat(&self, idempotent: bool) -> bool {
        idempotent || !self.may_have_run
    }
}
