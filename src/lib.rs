//! camphorturn: a load balancer for servers whose load shifts in milliseconds.
//!
//! Layers, each calling only downwards: [`transport`] (sockets and HTTP), [`protocol`] (messages and
//! outcomes), [`coordination`] (decisions) and [`state`] (data and its transitions). [`proxy`] wires
//! them into a node.

pub mod commands;
pub mod coordination;
pub mod local_mesh;
pub mod log_reading;
pub mod options;
pub mod protocol;
pub mod proxy;
pub mod state;
pub mod timers;
pub mod transport;
