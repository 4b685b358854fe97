//! HTTP servers and clients of a process, and the format of its log.

pub mod callers;
pub mod json_lines;
pub mod operators;
pub mod outgoing;
