//! Pure data and its transitions. Nothing here reads a clock or a socket.

pub mod admission_queue;
pub mod attempts;
pub mod class;
pub mod concurrency;
pub mod configuration;
pub mod failure_share;
pub mod key_table;
pub mod latency_buckets;
pub mod latency_history;
pub mod lease;
pub mod load_knowledge;
pub mod log_record;
pub mod member;
pub mod membership;
pub mod moment;
pub mod names;
pub mod ownership;
pub mod placement_view;
pub mod published;
pub mod routing_table;
pub mod service_times;
pub mod statistics;
pub mod token_bucket;
