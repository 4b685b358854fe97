//! Stand-ins for the systems that camphorturn meets: the platform's log service and upstreams.
