//! Stand-ins for the systems that camphorturn talks to: the platform's store and upstreams. Tests, `camphorturn dev` and the
//! soak use them.

pub mod http;
pub mod store;
pub mod upstream;
