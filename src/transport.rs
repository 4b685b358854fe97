//! HTTP servers and clients of a process, and the format of its log.

pub mod callers;
pub mod held_bytes;
pub mod json_lines;
pub mod message_body;
mod metered_stream;
pub mod operators;
pub mod outgoing;
mod socket_options;
