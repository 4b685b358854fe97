//! Tests of behaviour and of failures.

mod key_table;
mod options;
mod ownership_view;
