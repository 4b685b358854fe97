//! Counts what measuring took, apart from the limit.

use serde::Serialize;

/// Totals since the start. The limit never reads them: a fault in the limit shows here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageCounter {
    /// Calls sent.
    pub calls: u64,
    /// Probes sent.
    pub probes: u64,
    /// Bytes of probes and their answers.
    pub bytes: u64,
}

impl UsageCounter {
    /// Probes as a share of the calls sent; 0 before the first call.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a share for people to read")]
    pub fn capacity_share(&self) -> f64 {
        self.probes as f64 / (self.calls.max(1)) as f64
    }
}
