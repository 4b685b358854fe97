//! The subcommands of the `camphorturn` command line, one file each.

pub mod check;
