//! Sockets and HTTP: the edges of a process.

pub mod callers;
pub mod json_lines;
pub mod operators;
pub mod outgoing;
