//! How many requests a cold upstream is given.

/// Bounds on the requests that a cold upstream gets within any second, beside the rate that its service tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Times the rate that the service tolerates.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for SlowStartRules {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}
