//! Sockets, HTTP and RPC: the edges of a process.

pub mod callers;
pub mod json_lines;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod outgoing;
pub mod peers;
pub mod platform;
pub mod upstreams;
