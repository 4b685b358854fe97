//! Stand-ins for the systems that camphorturn meets: the platform's log service and upstreams.

pub mod log_service;
pub mod platform;
pub mod upstream;
