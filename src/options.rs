//! What a process is told: command-line arguments and the settings file, merged once and checked.

pub mod access;
pub mod arguments;
pub mod checked_file;
pub mod configuration_rules;
pub mod exit_code;
pub mod findings;
pub mod json_document;
pub mod node_arguments;
pub mod node_rules;
pub mod node_settings;
pub mod proxy_settings;
mod schema_check;
pub mod secret;
