//! The subcommands of the `camphorturn` command line, one module each.

pub mod check;
pub mod dev;
pub mod drain;
pub mod evacuate;
pub mod explain;
pub mod history;
pub mod log_source;
pub mod logs;
pub mod mesh;
pub mod misses;
pub mod publish;
pub mod status;
pub mod timeline;
