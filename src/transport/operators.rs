//! The HTTP server for operators' tools and for the upstream beside the node.
//!
//! It runs on threads of its own and asks the event loop by typed messages, so that a slow tool
//! never holds up a call.

pub mod answer;
pub mod client;
pub mod request;
pub mod server;
pub mod token;
