//! Average size of the requests of each class of work, including their responses.

use crate::state::names::ClassName;
use std::collections::HashMap;

/// Assumed size of a request and its response before the first request of a class has ended.
const INITIAL_BYTES: f64 = 1_500.0;
/// Weight of the latest size in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// By class: exponential moving average of the body bytes of a request and its response, without headers.
#[derive(Clone, Debug, Default)]
pub struct ClassBytes(HashMap<ClassName, f64>);

impl ClassBytes {
    /// Average bytes of a request of a class and its response.
    #[must_use]
    pub fn average_bytes(&self, class: &ClassName) -> f64 {
        self.0.get(class).copied().unwrap_or(INITIAL_BYTES)
    }

    /// Updates the average with the bytes of a request and its response.
    pub fn observe(&mut self, class: &ClassName, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let bytes = bytes as f64;
        let average = self.0.entry(class.clone()).or_insert(bytes);
        *average += (bytes - *average) * NEWEST_WEIGHT;
    }
}
