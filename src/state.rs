//! Pure data and its transitions. Nothing here reads a clock or a socket.

pub mod ablation;
pub mod answered_requests;
pub mod class_bytes;
pub mod class_counts;
pub mod configuration;
pub mod crash_counts;
pub mod evacuations;
pub mod failure_rate;
pub mod incarnation_id;
pub mod known_node;
pub mod latency_histogram;
pub mod names;
pub mod organisation_counts;
pub mod organisations;
pub mod published;
pub mod quarantine;
pub mod rate_limit;
pub mod request_fingerprint;
pub mod request_rate;
pub mod routing_table;
pub mod service_times;
pub mod store_position;
pub mod table_change;
pub mod table_history;
pub mod timestamp;
