//! The configuration as a fold of the log: versions, duplicates, snapshots and retention.

mod fold;
mod fold_property;
mod log_reader;
mod memory_log;
