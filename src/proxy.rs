//! A node. It accepts requests from clients on its VM, routes each to a node whose local upstream executes it,
//! and decides which requests its own local upstream executes.
//!
//! The local upstream of a node is the upstream on the same VM. All state lives on one event-loop thread.
//! `docs/design/platform.md` describes the path of a request.

mod calls;
mod client_reply;
pub mod core;
mod crash_detection;
pub mod directory;
mod entry;
pub mod evacuating;
pub mod events;
mod executing;
mod graceful_stop;
mod health;
mod liveness;
mod mesh_contact;
pub mod metrics;
pub mod operator_requests;
mod peer_requests;
mod publishing;
mod quotas;
mod retiring;
mod retry_budgets;
mod start;
mod state_messages;
mod state_sharing;
pub mod store_calls;
mod store_sync;
mod table_fetching;
mod table_offering;
pub mod upstream_announcements;
mod upstream_confirmation;

pub use self::{
    start::{ProxyListeners, run_proxy},
    store_sync::start_store_sync,
};
