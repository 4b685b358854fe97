//! Decision logic of a node: pure functions of state, event and time that return actions.

pub mod call_admission;
pub mod calls_per_execution;
pub mod crash_counters;
pub mod fanout;
pub mod local_upstream;
pub mod memory_budget;
pub mod node_liveness;
pub mod offer_rounds;
pub mod placement;
pub mod publishing;
pub mod quota_credits;
pub mod quota_keeper;
pub mod quota_shares;
pub mod rendezvous;
pub mod request_limit;
pub mod retiring;
pub mod retry_budget;
pub mod slot_queue;
pub mod slot_search;
pub mod slow_start;
pub mod store_reading;
pub mod table_sources;
pub mod upstream_health;
pub mod version_lag;
pub mod vm_slowdown;
