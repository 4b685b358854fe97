//! Messages and outcomes that a process exchanges with other nodes, operators' tools and the store.

pub mod headers;
pub mod hop;
pub mod leaving_report;
pub mod limit_report;
pub mod operator_views;
pub mod outcome;
pub mod store;
