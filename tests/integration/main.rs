//! Tests of behaviour and of failures.

mod admission;
mod command_line;
mod key_table;
mod measuring;
mod options;
mod ownership_view;
mod peers;
mod platform_log;
mod routing;
