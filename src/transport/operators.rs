//! The HTTP interface of a node for operators' tools and for the local upstream, and the client of that interface.
//!
//! The server runs on its own threads and sends typed messages to the node's event loop, so that a slow tool never
//! delays a request of a client.

pub mod answer;
pub mod client;
pub mod request;
pub mod server;
pub mod token;
