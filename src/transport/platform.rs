//! The platform's log over HTTP: the one edge to adapt to another platform.
//!
//! `POST {url}/streams/{stream}/records` appends the body and answers 200 `{"offset": N}`.
//! `GET {url}/streams/{stream}/records?from=N&limit=M` answers 200
//! `{"first_retained": N, "next": N, "records": [{"offset", "time_ms", "body"}]}`, or 410
//! `{"first_retained": N}` when `from` is no longer retained.

mod log_client;
mod reader_thread;

pub use log_client::{LogClient, LogTimeouts};
pub use reader_thread::{ReaderCommand, ReaderRole, run_log_reader};
