//! Parses the log lines of nodes, puts those of several nodes in causal order, and derives reports from them.
//!
//! Nothing here needs a running node: lines come from files, from standard input or from the memory of nodes.

pub mod cause;
pub mod clocks;
pub mod description;
pub mod incarnations;
pub mod late_cause;
pub mod line;
pub mod matching;
pub mod misses;
pub mod order;
pub mod outcome;
pub mod request_lines;
pub mod request_trace;
pub mod summary;
