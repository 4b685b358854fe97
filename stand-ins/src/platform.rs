//! The users' platform: its store and its upstreams, spoken as their pages say, with failures on
//! demand. For tests; names and headers are the platform's.

pub mod http;
pub mod store;
pub mod upstream;
