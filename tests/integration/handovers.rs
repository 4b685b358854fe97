//! Handovers of keys as messages between nodes.

use bytes::Bytes;
use camphorturn::{
    coordination::{
        keyed_calls::{HeldAnswer, answer_bytes, conclude_call, refuse_as_not_owner},
        ownership::handover::{SlotHandover, fit_slot},
    },
    protocol::outcome::{Outcome, UnknownCause, UpstreamAnswer},
    state::{
        key_table::{
            entry::{ExportedKey, ExportedSlot, RunEnd},
            key::{Fingerprint, KeyId, Slot, WallMillis},
        },
        ownership::{EpochNumber, OWNERSHIP_SLOTS},
    },
    transport::peers::codec::{decode_handover, encode_handover},
};
use http::{HeaderMap, StatusCode};
use uuid::Uuid;

const LIMIT: usize = 64 * 1024;
const SLOT: Slot = Slot(17);

/// A key of [`SLOT`] that was issued at that millisecond.
fn key(issued: u64) -> KeyId {
    let version_and_variant = (7_u128 << 76) | (2 << 62);
    let uuid = (u128::from(issued) << 80) | version_and_variant | u128::from(SLOT.0);
    KeyId::from_uuid(Uuid::from_u128(uuid)).expect("version 7")
}

fn answered(bytes: usize) -> RunEnd<HeldAnswer> {
    let answer = HeldAnswer::new(UpstreamAnswer {
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'b'; bytes]),
    });
    let bytes = answer_bytes(&answer);
    RunEnd::Answered { answer, bytes }
}

fn slot_of(ends: impl IntoIterator<Item = RunEnd<HeldAnswer>>) -> ExportedSlot<HeldAnswer> {
    let keys = (1000..).zip(ends).map(|(issued, end)| ExportedKey {
        key: key(issued),
        fingerprint: Fingerprint([9; 16]),
        end,
    });
    ExportedSlot {
        slot: SLOT,
        floor: WallMillis(500),
        keys: keys.collect(),
    }
}

fn message_of(slot: ExportedSlot<HeldAnswer>) -> SlotHandover<HeldAnswer> {
    SlotHandover {
        epoch: EpochNumber(4),
        slot,
    }
}

#[test]
fn decode_handover_gives_back_what_was_encoded() {
    let ends = [answered(20), RunEnd::Unknown, RunEnd::RanWithoutAnswer];
    let message = message_of(slot_of(ends));
    let decoded = decode_handover(&encode_handover(&message), LIMIT).expect("valid");
    assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
}

#[test]
fn decode_handover_refuses_what_no_owner_sends() {
    // Symptom: a key is taken over in a slot to which it doesn't belong, and is run twice.
    // Sequence: a broken peer hands over keys of other slots, or slots that there are not.
    // Cause: the message was taken as it came.
    let mut foreign = slot_of([RunEnd::Unknown]);
    foreign.slot = Slot(18);
    let mut outside = slot_of([]);
    outside.slot = Slot(OWNERSHIP_SLOTS);
    let large = slot_of([answered(LIMIT + 1)]);
    for slot in [foreign, outside, large] {
        let encoded = encode_handover(&message_of(slot));
        assert!(decode_handover(&encoded, LIMIT).is_err());
    }
    assert!(decode_handover(b"no message", LIMIT).is_err());
}

#[test]
fn fit_slot_leaves_out_old_answers_then_old_keys() {
    // Symptom: handing over a slot breaks the connection, or a booking runs twice after it.
    // Sequence: a slot holds more than a message may carry; a key that was left out comes again.
    // Cause: the message was sent whole, or the floor was left below the keys that were not sent.
    let fitted = fit_slot(slot_of([answered(20_000), answered(20_000)]), LIMIT);
    assert_eq!(fitted.floor, WallMillis(500));
    assert!(matches!(fitted.keys[0].end, RunEnd::RanWithoutAnswer));
    assert!(matches!(fitted.keys[1].end, RunEnd::Answered { .. }));

    let fitted = fit_slot(slot_of(vec![RunEnd::Unknown; 300]), LIMIT);
    let oldest = fitted.keys.first().expect("some are sent").key;
    assert!(fitted.keys.len() < 300);
    assert_eq!(fitted.floor, oldest.issued());
    assert_eq!(fitted.keys.last().expect("the newest").key, key(1299));
    let encoded = encode_handover(&message_of(fitted));
    assert!(encoded.len() <= LIMIT);
}

#[test]
fn conclude_call_after_a_lost_link_tells_only_what_is_proven() {
    // Symptom: a caller is told that its booking did not run, or that this call ran nothing; it ran.
    // Sequence: the link to the owner is lost while it runs the key; the key is sent again to the next
    // owner, which doesn't know it.
    // Cause: the outcome of the second sending was taken for that of the call.
    let too_old = || Outcome::Unknown(UnknownCause::KeyTooOld);
    for outcome in [too_old(), refuse_as_not_owner()] {
        let told = conclude_call(outcome, true);
        assert!(matches!(told, Outcome::Unknown(UnknownCause::NodeLost)));
    }
    let ran = conclude_call(Outcome::Unknown(UnknownCause::AnswerNotHeld), true);
    assert!(matches!(ran, Outcome::Unknown(UnknownCause::AnswerNotHeld)));
    let whole = conclude_call(too_old(), false);
    assert!(matches!(whole, Outcome::Unknown(UnknownCause::KeyTooOld)));
}
