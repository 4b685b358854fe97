//! Retry delays after failed calls to the store.

use crate::{
    protocol::store::StoreError,
    proxy::{core::ProxyCore, events::ProxyEvent},
};
use rand::RngExt;
use std::{cell::Cell, time::Duration};

/// Consecutive failures after which other nodes are asked again to read in place of this one. With the pauses below that is
/// every eight seconds or so.
const FAILURES_PER_DELEGATION: u32 = 10;
/// Shortest and longest pause after a failed call. The pause doubles with each consecutive failure.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Counts consecutive failures, waits after each, and logs when the store stops answering and when it answers again.
pub(super) struct Retries<'a> {
    core: &'a ProxyCore,
    subject: &'static str,
    failures: Cell<u32>,
}

impl<'a> Retries<'a> {
    pub(super) fn new(core: &'a ProxyCore, subject: &'static str) -> Self {
        Self {
            core,
            subject,
            failures: Cell::new(0),
        }
    }

    /// Whether other nodes are now to be asked to read: at the second consecutive failure and at every tenth after it. When the
    /// store is unavailable to all nodes, those reads would only add load.
    pub(super) fn should_delegate_reading(&self) -> bool {
        self.failures.get() % FAILURES_PER_DELEGATION == 1
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures.get() > 0
    }

    pub(super) fn record_success(&self) {
        let failures = self.failures.take();
        if failures > 0 {
            self.core.log(&ProxyEvent::StoreRegained {
                what: self.subject,
                failures,
            });
        }
    }

    pub(super) async fn record_failure_and_wait(&mut self, error: &StoreError) {
        let failures = self.failures.get();
        if failures == 0 {
            self.core.log(&ProxyEvent::StoreLost {
                what: self.subject,
                error: error.to_string(),
            });
        }
        self.failures.set(failures + 1);
        let (min, max) = RETRY_PAUSES;
        let pause = (min * 2_u32.saturating_pow(failures.min(8))).min(max);
        let jitter = rand::rng().random_range(0.7..1.3);
        let _ = self
            .core
            .timers
            .after(pause.mul_f64(jitter))
            .recv_async()
            .await;
    }
}
