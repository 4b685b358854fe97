//! Pauses between calls to the store that fail.

use crate::{
    protocol::store::StoreError,
    proxy::{core::ProxyCore, events::ProxyEvent},
};
use rand::RngExt;
use std::{cell::Cell, time::Duration};

/// Failures in a row after which others are asked again to read in this node's place; some eight seconds.
const HAND_OVER_EVERY: u32 = 10;
/// Pauses after failures of the store, doubled from the first to the second.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Paces calls after failures, and logs when the store is lost and regained.
pub(super) struct Retries<'a> {
    core: &'a ProxyCore,
    what: &'static str,
    failures: Cell<u32>,
}

impl<'a> Retries<'a> {
    pub(super) fn new(core: &'a ProxyCore, what: &'static str) -> Self {
        Self {
            core,
            what,
            failures: Cell::new(0),
        }
    }

    /// True at the second failure in a row, and seldom after it: when the whole store is away, nodes that are
    /// asked to read it only add to the calls.
    pub(super) fn is_to_be_handed_over(&self) -> bool {
        self.failures.get() % HAND_OVER_EVERY == 1
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures.get() > 0
    }

    pub(super) fn succeed(&self) {
        let failures = self.failures.take();
        if failures > 0 {
            self.core.log(&ProxyEvent::StoreRegained {
                what: self.what,
                failures,
            });
        }
    }

    pub(super) async fn fail(&mut self, error: &StoreError) {
        let failures = self.failures.get();
        if failures == 0 {
            self.core.log(&ProxyEvent::StoreLost {
                what: self.what,
                error: error.to_string(),
            });
        }
        self.failures.set(failures + 1);
        let (least, most) = RETRY_PAUSES;
        let pause = (least * 2_u32.saturating_pow(failures.min(8))).min(most);
        let spread = rand::rng().random_range(0.7..1.3);
        let _ = self
            .core
            .timers
            .after(pause.mul_f64(spread))
            .recv_async()
            .await;
    }
}
