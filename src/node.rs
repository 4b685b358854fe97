//! One node: the process beside an upstream, assembled from the layers.
//!
//! All state lives on one event-loop thread. Slow edges (operators' HTTP, the platform's log) have
//! threads of their own and talk to it by channels.

pub mod caller_edge;
pub mod configuring;
pub mod core;
pub mod entry;
pub mod executing;
pub mod keyed_calls;
mod log_following;
pub mod log_threads;
pub mod mesh;
mod metrics;
pub mod operator_edge;
mod ownership_health;
pub mod peer_edge;
mod probing;
mod start;
mod stop;
mod upstream_watch;

pub use start::{NodeError, NodeHandle, run_node, start_node, start_node_by};
pub use stop::StopKind;
