//! Typed messages and outcomes that cross an edge of a process.

pub mod headers;
pub mod hop;
pub mod operator_views;
pub mod outcome;
pub mod store;
