//! Numbered events: what a node did and why, for the log and the time line.
