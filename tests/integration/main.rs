//! Tests of behaviour and of failures.

mod access;
mod command_line;
mod contributing_page;
mod imports;
mod local_mesh;
mod log_causes;
mod log_reading;
mod mesh_model;
mod metrics_page;
mod misses;
mod operators;
mod options;
mod outgoing;
mod overload;
mod proxy_decisions;
mod proxy_events;
mod publishing;
mod repeats;
mod retiring;
mod retiring_model;
mod routing_table;
mod settings_page;
mod slot_queue;
mod slot_search;
mod stored_records;
mod vm_pace;
