//! Tests of behaviour and of failures.

mod key_table;
mod ownership_view;
