//! Handovers of the keys of a slot.

use crate::{
    coordination::{
        keyed_calls::{HeldAnswer, answer_bytes},
        ownership::handover::SlotHandover,
    },
    state::{
        key_table::{
            entry::{ExportedKey, ExportedSlot, RunEnd},
            key::{Fingerprint, KeyId, Slot, WallMillis},
        },
        ownership::{EpochNumber, OWNERSHIP_SLOTS},
    },
    transport::peers::{
        codec::{
            attempt::{read_uuid, write_uuid},
            list_length,
            result::{read_answer, write_answer},
        },
        error::DecodeError,
        mesh_capnp::{held_key, slot_handover},
    },
};
use uuid::Uuid;

pub fn write_handover(handover: &SlotHandover<HeldAnswer>, mut builder: slot_handover::Builder) {
    builder.set_epoch(handover.epoch.0);
    builder.set_slot(handover.slot.slot.0);
    builder.set_floor_millis(handover.slot.floor.0);
    let keys = &handover.slot.keys;
    let mut list = builder.init_keys(list_length(keys.len()));
    for (place, key) in (0..).zip(keys) {
        write_key(key, list.reborrow().get(place));
    }
}

pub fn read_handover(
    reader: slot_handover::Reader,
    body_limit: usize,
) -> Result<SlotHandover<HeldAnswer>, DecodeError> {
    let slot = Slot(reader.get_slot());
    if slot.0 >= OWNERSHIP_SLOTS {
        return Err(DecodeError::Invalid("slot"));
    }
    let keys = reader.get_keys()?.iter();
    let keys: Result<Vec<_>, _> = keys.map(|key| read_key(key, slot, body_limit)).collect();
    Ok(SlotHandover {
        epoch: EpochNumber(reader.get_epoch()),
        slot: ExportedSlot {
            slot,
            floor: WallMillis(reader.get_floor_millis()),
            keys: keys?,
        },
    })
}

fn write_key(key: &ExportedKey<HeldAnswer>, mut builder: held_key::Builder) {
    let uuid = Uuid::from_bytes(key.key.to_bytes());
    write_uuid(uuid, builder.reborrow().init_key());
    builder.set_fingerprint(&key.fingerprint.0);
    let mut end = builder.init_end();
    match &key.end {
        RunEnd::Answered { answer, .. } => write_answer(answer, end.init_answered()),
        RunEnd::RanWithoutAnswer => end.set_ran_without_answer(()),
        RunEnd::Unknown | RunEnd::NotRun => end.set_unknown(()),
    }
}

fn read_key(
    reader: held_key::Reader,
    slot: Slot,
    body_limit: usize,
) -> Result<ExportedKey<HeldAnswer>, DecodeError> {
    let key = KeyId::from_uuid(read_uuid(reader.get_key()?))
        .filter(|key| key.slot(OWNERSHIP_SLOTS) == slot)
        .ok_or(DecodeError::Invalid("key"))?;
    let fingerprint = reader.get_fingerprint()?.try_into();
    let end = match reader.get_end().which()? {
        held_key::end::Which::Answered(answer) => {
            let answer = HeldAnswer::new(read_answer(answer?, body_limit)?);
            let bytes = answer_bytes(&answer);
            RunEnd::Answered { answer, bytes }
        }
        held_key::end::Which::RanWithoutAnswer(()) => RunEnd::RanWithoutAnswer,
        held_key::end::Which::Unknown(()) => RunEnd::Unknown,
    };
    Ok(ExportedKey {
        key,
        fingerprint: Fingerprint(fingerprint.map_err(|_| DecodeError::Invalid("fingerprint"))?),
        end,
    })
}
