//! Typed messages and outcomes that cross an edge of a process.

pub mod attempt;
pub mod call;
pub mod gossip;
pub mod headers;
pub mod hop;
pub mod load_report;
pub mod operator_views;
pub mod outcome;
pub mod platform_log;
