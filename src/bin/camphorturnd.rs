//! The node's daemon.

fn main() {}
