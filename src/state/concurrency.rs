//! How many calls an upstream may run at once, and how long it takes for one.

pub mod limit;
pub mod service_time;
