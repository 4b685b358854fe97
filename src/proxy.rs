//! A node: takes requests of the clients on its VM, finds the node beside an
//! upstream that runs them, and decides what the upstream beside itself runs.
//!
//! All state lives on one event-loop thread. `docs/design/platform.md` tells the way of a request.

pub mod announcing;
pub mod core;
mod crashes;
pub mod directory;
mod entry;
pub mod evacuating;
pub mod events;
mod executing;
mod following;
pub mod metrics;
pub mod operating;
mod peers;
mod publishing;
mod repeats;
mod reply;
mod retiring;
mod start;
mod state_messages;
mod state_sharing;
mod stop;
pub mod store_calls;
mod table_fetching;
mod table_offering;

pub use self::{
    following::follow_store,
    start::{ProxyListeners, run_proxy},
};
