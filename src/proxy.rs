//! A node: takes requests of the clients on its VM, finds the node beside an
//! upstream that runs them, and decides what the upstream beside itself runs.
//!
//! All state lives on one event-loop thread. `docs/design/platform.md` tells the way of a request.

pub mod announcing;
mod client_reply;
pub mod core;
mod crash_detection;
pub mod directory;
mod entry;
pub mod evacuating;
pub mod events;
mod executing;
mod following;
mod graceful_stop;
pub mod metrics;
pub mod operating;
mod peer_requests;
mod publishing;
mod retiring;
mod retry_budgets;
mod start;
mod state_messages;
mod state_sharing;
pub mod store_calls;
mod table_fetching;
mod table_offering;

pub use self::{
    following::follow_store,
    start::{ProxyListeners, run_proxy},
};
