//! Tests of behaviour and of failures.

mod access;
mod admission;
mod admission_properties;
mod attempts;
mod attempts_model;
mod command_line;
mod configuration;
mod contributing_page;
mod events;
mod imports;
mod key_table;
mod measuring;
mod membership;
mod observation;
mod operators;
mod options;
mod ownership;
mod ownership_model;
mod ownership_view;
mod peers;
mod platform_log;
mod retries;
mod routing;
mod settings_page;
mod timeline;
mod whole_path;
