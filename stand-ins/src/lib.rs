//! Stand-ins for the systems that camphorturn meets: the platform's store and upstreams.

pub mod http;
pub mod store;
pub mod upstream;
