//! The thread that appends records, so that a slow log holds up nobody else.

use crate::{
    protocol::platform_log::{AppendError, PlatformLog},
    state::log_record::{LogRecord, Offset, encode_record},
};
use flume::{Receiver, Sender};

/// A record to append.
#[derive(Clone, Debug)]
pub struct AppendRequest {
    /// The record.
    pub record: LogRecord,
    /// Gets the result; it may be dropped when nobody waits for it.
    pub reply: Sender<Result<Offset, AppendError>>,
}

/// Appends each record once, in the order of the requests, until their senders are gone.
///
/// A lost answer is reported and not repeated: whoever asked looks for the record's id in the log.
pub fn run_log_appender(log: &impl PlatformLog, requests: &Receiver<AppendRequest>) {
    for request in requests {
        let text = encode_record(&request.record);
        let text = text.map_err(|e| AppendError::Refused(e.to_string()));
        let result = text.and_then(|text| log.append(&text));
        // The requester may have stopped waiting.
        let _ = request.reply.send(result);
    }
}
