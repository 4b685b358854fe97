//! Translation between the schema's messages and the crate's types.
//!
//! Whatever arrives is checked here once: after decoding, every name, header, size and number is
//! known to be allowed. A message that is not leads to a [`DecodeError`], never to a panic.

mod attempt;
mod enums;
mod gossip;
mod handover;
mod headers;
mod member;
mod result;

pub(super) use self::{
    attempt::{read_attempt, read_attempt_id, write_attempt, write_attempt_id},
    enums::{
        read_fault, read_handover_answer, read_refusal, read_settlement, write_fault,
        write_handover_answer, write_refusal, write_settlement,
    },
    gossip::{read_gossip, write_gossip},
    handover::{read_handover, write_handover},
    member::{read_member, write_member},
    result::{read_load, read_result, write_load, write_result},
};

use crate::{
    constants::{HEAD_LIMIT, NAME_LIMIT, PEER_MESSAGE_MARGIN},
    coordination::{keyed_calls::HeldAnswer, ownership::handover::SlotHandover},
    protocol::{call::CallAttempt, gossip::Gossip, outcome::AttemptResult},
    transport::peers::{error::DecodeError, mesh_capnp},
};
use capnp::{
    message::{Builder, HeapAllocator, ReaderOptions},
    serialize, text,
};

const BYTES_A_WORD: usize = 8;

/// Limits on what is read from another node, for bodies of at most `body_limit` bytes.
///
/// The library's default limit is reached by one 8 MiB body whose fields are looked at twice.
#[must_use]
pub fn reader_options(body_limit: usize) -> ReaderOptions {
    let words = (2 * body_limit + PEER_MESSAGE_MARGIN) / BYTES_A_WORD;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options
}

/// Encodes one attempt as a message of its own.
#[must_use]
pub fn encode_attempt(attempt: &CallAttempt) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    write_attempt(attempt, message.init_root());
    serialize::write_message_to_words(&message)
}

/// Decodes one attempt.
///
/// # Errors
/// If the bytes are no valid attempt within the limits.
pub fn decode_attempt(mut bytes: &[u8], body_limit: usize) -> Result<CallAttempt, DecodeError> {
    let message = serialize::read_message(&mut bytes, reader_options(body_limit))?;
    read_attempt(
        message.get_root::<mesh_capnp::call_attempt::Reader>()?,
        body_limit,
    )
}

/// Encodes one result as a message of its own.
#[must_use]
pub fn encode_result(result: &AttemptResult) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    write_result(result, message.init_root());
    serialize::write_message_to_words(&message)
}

/// Decodes one result.
///
/// # Errors
/// If the bytes are no valid result within the limits.
pub fn decode_result(mut bytes: &[u8], body_limit: usize) -> Result<AttemptResult, DecodeError> {
    let message = serialize::read_message(&mut bytes, reader_options(body_limit))?;
    read_result(
        message.get_root::<mesh_capnp::attempt_result::Reader>()?,
        body_limit,
    )
}

/// Encodes one gossip as a message of its own.
#[must_use]
pub fn encode_gossip(gossip: &Gossip) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    write_gossip(gossip, message.init_root());
    serialize::write_message_to_words(&message)
}

/// Decodes one gossip.
///
/// # Errors
/// If the bytes are no valid gossip within the limits.
pub fn decode_gossip(mut bytes: &[u8]) -> Result<Gossip, DecodeError> {
    let message = serialize::read_message(&mut bytes, reader_options(0))?;
    read_gossip(message.get_root::<mesh_capnp::gossip::Reader>()?)
}

/// Encodes one handover as a message of its own.
#[must_use]
pub fn encode_handover(handover: &SlotHandover<HeldAnswer>) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    write_handover(handover, message.init_root());
    serialize::write_message_to_words(&message)
}

/// Decodes one handover.
///
/// # Errors
/// If the bytes are no valid handover within the limits.
pub fn decode_handover(
    mut bytes: &[u8],
    body_limit: usize,
) -> Result<SlotHandover<HeldAnswer>, DecodeError> {
    let message = serialize::read_message(&mut bytes, reader_options(body_limit))?;
    read_handover(
        message.get_root::<mesh_capnp::slot_handover::Reader>()?,
        body_limit,
    )
}

/// Reads text that becomes a name: not empty, not long, printable and without spaces.
fn read_name<'a>(
    text: capnp::Result<text::Reader<'a>>,
    field: &'static str,
) -> Result<&'a str, DecodeError> {
    let name = read_text(text, field)?;
    if name.len() > NAME_LIMIT {
        return Err(DecodeError::TooLarge {
            field,
            limit: NAME_LIMIT,
        });
    }
    let printable = name.chars().all(|c| !c.is_whitespace() && !c.is_control());
    if name.is_empty() || !printable {
        return Err(DecodeError::Invalid(field));
    }
    Ok(name)
}

fn read_text<'a>(
    text: capnp::Result<text::Reader<'a>>,
    field: &'static str,
) -> Result<&'a str, DecodeError> {
    let text = text?;
    if text.len() > HEAD_LIMIT {
        return Err(DecodeError::TooLarge {
            field,
            limit: HEAD_LIMIT,
        });
    }
    text.to_str().map_err(|_| DecodeError::Invalid(field))
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).expect("lists of a message are far below 2^32 entries")
}
