//! The subcommands of the `camphorturn` command line, one file each.

pub mod check;
pub mod dev;
pub mod drain;
pub mod explain;
pub mod mesh;
pub mod status;
pub mod timeline;
