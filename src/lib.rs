//! camphorturn: a load balancer for servers whose load shifts in milliseconds.
//!
//! Layers, each calling only downwards: [`transport`] (sockets, HTTP, RPC), [`protocol`] (messages
//! and outcomes), [`coordination`] (decisions: routing, admission, membership, configuration) and
//! [`state`] (data and its transitions). [`node`] wires them into one process.

pub mod commands;
pub mod constants;
pub mod coordination;
pub mod events;
pub mod local_mesh;
pub mod node;
pub mod options;
pub mod protocol;
pub mod proxy;
pub mod state;
pub mod timers;
pub mod transport;
