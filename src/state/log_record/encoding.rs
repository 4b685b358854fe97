//! Records as JSON text.

use super::{LogRecord, LogRecordKind, RecordId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use thiserror::Error;

/// Version of the records written by this version of the program. A record of a higher version
/// has changed in a way that this version would misread.
const FORMAT_VERSION: u16 = 1;

/// Why a record can't be folded. Readers skip and count such records: one bad record must not
/// stop every node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Written by a newer version of the program.
    #[error("the record has kind {kind} and format {format}, which this version doesn't know")]
    Newer {
        /// The record's kind.
        kind: String,
        /// The record's format version.
        format: u16,
    },
    /// Not a record.
    #[error("the record is malformed: {0}")]
    Malformed(String),
}

#[derive(Serialize, Deserialize)]
struct Envelope<C> {
    format: u16,
    id: RecordId,
    kind: String,
    content: C,
}

/// Writes a record as JSON text.
///
/// # Errors
/// The content has a number that JSON can't carry.
pub fn encode_record(record: &LogRecord) -> Result<String, serde_json::Error> {
    match &record.kind {
        LogRecordKind::Publish(content) => encode(record.id, "publish", content),
        LogRecordKind::Snapshot(content) => encode(record.id, "snapshot", content),
        LogRecordKind::Join(content) => encode(record.id, "join", content),
        LogRecordKind::Leave(content) => encode(record.id, "leave", content),
        LogRecordKind::OwnershipEpoch(content) => encode(record.id, "ownership_epoch", content),
    }
}

/// Reads a record.
///
/// # Errors
/// The record is malformed or of a newer version.
pub fn decode_record(text: &str) -> Result<LogRecord, DecodeError> {
    let envelope: Envelope<Value> = serde_json::from_str(text).map_err(|e| malformed(&e))?;
    if envelope.format > FORMAT_VERSION {
        return Err(newer(envelope));
    }
    let id = envelope.id;
    let kind = match envelope.kind.as_str() {
        "publish" => LogRecordKind::Publish(decode(envelope.content)?),
        "snapshot" => LogRecordKind::Snapshot(decode(envelope.content)?),
        "join" => LogRecordKind::Join(decode(envelope.content)?),
        "leave" => LogRecordKind::Leave(decode(envelope.content)?),
        "ownership_epoch" => LogRecordKind::OwnershipEpoch(decode(envelope.content)?),
        _ => return Err(newer(envelope)),
    };
    Ok(LogRecord { id, kind })
}

fn encode<C: Serialize>(id: RecordId, kind: &str, content: &C) -> serde_json::Result<String> {
    serde_json::to_string(&Envelope {
        format: FORMAT_VERSION,
        id,
        kind: kind.to_owned(),
        content,
    })
}

fn decode<C: DeserializeOwned>(content: Value) -> Result<C, DecodeError> {
    serde_json::from_value(content).map_err(|e| malformed(&e))
}

fn malformed(error: &serde_json::Error) -> DecodeError {
    DecodeError::Malformed(error.to_string())
}

fn newer(envelope: Envelope<Value>) -> DecodeError {
    DecodeError::Newer {
        kind: envelope.kind,
        format: envelope.format,
    }
}
