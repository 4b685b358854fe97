//! Command-line arguments, settings and configuration files. A check of a file reports all its findings at once.

pub mod access;
pub mod arguments;
pub mod checked_file;
pub mod configuration_rules;
pub mod exit_code;
pub mod findings;
pub mod json_document;
pub mod proxy_settings;
mod schema_check;
pub mod secret;
