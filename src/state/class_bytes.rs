//! How many bytes the requests of each class usually need.

use crate::state::names::ClassName;
use std::collections::HashMap;

/// Bytes that a class is taken to need before any were seen.
const FIRST_BYTES: f64 = 1_500.0;
/// Weight of the newest in the moving average.
const WEIGHT: f64 = 0.1;

/// Moving averages of the bytes of a request and its answer, without heads, by class.
#[derive(Clone, Debug, Default)]
pub struct ClassBytes(HashMap<ClassName, f64>);

impl ClassBytes {
    /// Usual bytes of a request of a class with its answer.
    #[must_use]
    pub fn average_bytes(&self, class: &ClassName) -> f64 {
        self.0.get(class).copied().unwrap_or(FIRST_BYTES)
    }

    /// Learns the bytes of a request and its answer.
    pub fn observe(&mut self, class: &ClassName, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let bytes = bytes as f64;
        let average = self.0.entry(class.clone()).or_insert(bytes);
        *average += (bytes - *average) * WEIGHT;
    }
}
