//! What a process asks of the platform's append-only log, and what it is told.

use crate::state::log_record::Offset;
use thiserror::Error;

/// Why an append has no offset.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The record was certainly not stored.
    #[error("the log refused the record: {0}")]
    Refused(String),
    /// The record may be stored now, or may still be stored later.
    #[error("the log's answer was lost, so the record may be stored: {0}")]
    Unknown(String),
}

/// Why a read has no page.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// Records at the wanted offset are no longer retained.
    #[error("the log retains records only from offset {first_retained}")]
    Forgotten {
        /// First offset that is retained.
        first_retained: Offset,
    },
    /// The log could not be read.
    #[error("the log can't be read: {0}")]
    Unavailable(String),
}

/// One stored record as the log gives it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredBody {
    /// Position in the log.
    pub offset: Offset,
    /// The log's time of storing, in milliseconds since 1970.
    pub time_ms: u64,
    /// What was appended, as text.
    pub body: String,
}

/// Consecutive records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadPage {
    /// First offset that is retained.
    pub first_retained: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records from the wanted offset on.
    pub records: Vec<StoredBody>,
}

/// The platform's log at the edge of a process: the one interface to adapt to another service.
///
/// Calls block, with time limits of the implementation's own. An implementation never repeats an
/// append by itself: its caller could not tell then how often a record is stored.
pub trait PlatformLog: Send {
    /// Appends one record.
    ///
    /// # Errors
    /// [`AppendError::Refused`] only if the record was certainly not stored.
    fn append(&self, body: &str) -> Result<Offset, AppendError>;

    /// Reads at most `limit` records from offset `from` on.
    ///
    /// # Errors
    /// The offset is no longer retained, or the log can't be read.
    fn read(&self, from: Offset, limit: usize) -> Result<ReadPage, ReadError>;
}
