//! Severity of events.

/// Severity of an event. It selects the log level, and the rate limit and sampling rate of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// An event of normal operation, such as the end of a request that was answered in time.
    Ordinary,
    /// A request that was answered after its latency target. Under high load there are many.
    Late,
    /// A failure, a refused request, or a change of the state of the node.
    Important,
}
