//! Sockets, HTTP and RPC: the edges of a process.
