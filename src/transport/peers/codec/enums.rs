//! Closed sets, one to one.

use crate::{
    coordination::ownership::handover::HandoverAnswer,
    protocol::{
        gossip::{DeclaredState, Health},
        load_report::UpstreamCondition,
        outcome::{RefusalReason, Settlement, UnknownCause},
    },
    transport::peers::{
        error::{HelloRefusal, RequestFault},
        mesh_capnp,
    },
};

macro_rules! mapped_enum {
    ($read:ident, $write:ident, $own:ty, $wire:ty, { $($variant:ident),* $(,)? }) => {
        pub fn $read(value: $wire) -> $own {
            match value {
                $(<$wire>::$variant => <$own>::$variant,)*
            }
        }

        pub fn $write(value: $own) -> $wire {
            match value {
                $(<$own>::$variant => <$wire>::$variant,)*
            }
        }
    };
}

mapped_enum!(read_condition, write_condition, UpstreamCondition, mesh_capnp::UpstreamCondition, {
    Down, Warming, Serving, Draining,
});
mapped_enum!(read_reason, write_reason, RefusalReason, mesh_capnp::RefusalReason, {
    NoUpstream, QueueFull, DeadlineTooShort, DeadlinePassed, Draining, UpstreamDown, UpstreamShed,
    NotSent, Cancelled, TooDeep, RetryBudget, NotOwner, UnknownClass, KeyMissing,
    KeyInvalid, KeyReused,
});
mapped_enum!(read_cause, write_cause, UnknownCause, mesh_capnp::UnknownCause, {
    UpstreamCut, DeadlinePassed, NodeLost, Cancelled, BadAnswer, KeyTooOld, AnswerNotHeld, KeyUnsettled,
});
mapped_enum!(read_settlement, write_settlement, Settlement, mesh_capnp::Settlement, {
    NeverRuns, Ran, Unknown,
});
mapped_enum!(read_declared, write_declared, DeclaredState, mesh_capnp::DeclaredState, {
    Joining, Serving, Draining,
});
mapped_enum!(read_health, write_health, Health, mesh_capnp::Health, {
    Alive, Suspected, Dead,
});
mapped_enum!(read_refusal, write_refusal, HelloRefusal, mesh_capnp::HelloRefusal, {
    Version, WrongKey, Malformed, Busy,
});
mapped_enum!(read_fault, write_fault, RequestFault, mesh_capnp::RequestFault, {
    Malformed, TooLarge,
});
mapped_enum!(read_handover_answer, write_handover_answer, HandoverAnswer, mesh_capnp::HandoverAnswer, {
    Taken, Early, Stale,
});
