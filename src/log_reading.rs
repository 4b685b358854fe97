//! Reads the lines that nodes wrote, puts those of many nodes in causal order, and tells what they say.
//!
//! Nothing here needs a running node: lines come from files, standard input or nodes' memory.

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
