//! What an entry node and an owner do with a call that carries an idempotency key.
//!
//! Every outcome is about the call that it answers *and* about the key: `not run` is said only where
//! the owner of the key knows that no call with the key ran. A node that can't know says `unknown`
//! with [`UnknownCause::KeyUnsettled`] or [`UnknownCause::KeyTooOld`], which tell that this very call
//! ran nothing, so that a caller who knows it to be the first one has certainty.

use crate::{
    coordination::ownership::{Begin, ClockReading, KeyOwner},
    protocol::{
        call::{CallAttempt, IdempotencyKey},
        outcome::{Outcome, Refusal, RefusalReason, RetryAdvice, UnknownCause, UpstreamAnswer},
    },
    state::{
        key_table::{
            entry::{RunEnd, RunNumber},
            key::{Fingerprint, KeyId},
        },
        moment::Moment,
        ownership::{Owner, OwnershipView},
    },
};
use sha2::{Digest, Sha256};
use std::{rc::Rc, time::Duration};

/// How long an entry node waits before it asks for the owner of a key again.
pub const ASK_AGAIN_AFTER: Duration = Duration::from_millis(20);
/// Memory of one header of a held answer beside its name and value, in bytes.
const BYTES_PER_HEADER: usize = 64;

/// An answer as the key table holds it.
pub type HeldAnswer = Rc<UpstreamAnswer>;

/// Where an entry node takes a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRoute {
    /// This node owns the key.
    Here,
    /// Another node owns it.
    Forward(Owner),
    /// No owner is known: ask again after [`ASK_AGAIN_AFTER`].
    NoOwner,
}

/// What the owner does with a keyed call.
#[derive(Clone, Debug)]
pub enum KeyedStep {
    /// Route and run it like any other call of a class that must not run twice, then report how it
    /// ended with [`KeyOwner::finish`] and [`run_end`].
    Run(RunNumber),
    /// The same call runs now: begin again when it has ended, until the deadline.
    AwaitFirst,
    /// Begin again at this moment or when a handover arrives, until the deadline.
    AwaitOwnership(Moment),
    /// Another node owns the key, as far as is known here.
    NotOwner(Option<Owner>),
    /// The call has ended.
    Finish(Outcome),
}

/// What an entry node does with the outcome of a forwarded call.
#[derive(Clone, Debug)]
pub enum ForwardStep {
    /// Find the owner again after [`ASK_AGAIN_AFTER`], and ask it.
    AskAgain,
    /// Tell the caller.
    Finish(Outcome),
}

/// The key as the key table knows it; `None` if it is not a version 7 UUID.
#[must_use]
pub fn key_id(key: IdempotencyKey) -> Option<KeyId> {
    KeyId::from_uuid(key.0)
}

/// Digest of what must be equal when a key is used again. Headers are left out: a caller's retry often
/// differs in them (dates, traces).
#[must_use]
pub fn fingerprint_call(attempt: &CallAttempt) -> Fingerprint {
    let parts = [
        attempt.service.as_str().as_bytes(),
        attempt.class.as_str().as_bytes(),
        attempt.method.as_str().as_bytes(),
        attempt.target.as_bytes(),
        &attempt.body,
    ];
    let mut hash = Sha256::new();
    for part in parts {
        // The length keeps apart parts that differ only in where one ends.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let whole: [u8; 32] = hash.finalize().into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&whole[..16]);
    Fingerprint(digest)
}

/// Where an entry node takes a call with this key.
#[must_use]
pub fn route_key(view: &OwnershipView, me: &Owner, key: KeyId) -> KeyRoute {
    match view.owner_of(key) {
        Some(owner) if owner == me => KeyRoute::Here,
        Some(owner) => KeyRoute::Forward(owner.clone()),
        None => KeyRoute::NoOwner,
    }
}

/// What the owner does with a keyed call.
pub fn begin_keyed_call(
    owner: &mut KeyOwner<HeldAnswer>,
    key: KeyId,
    fingerprint: Fingerprint,
    at: ClockReading,
) -> KeyedStep {
    match owner.begin(key, fingerprint, at) {
        Begin::Run(run) => KeyedStep::Run(run),
        Begin::InProgress => KeyedStep::AwaitFirst,
        Begin::NotReady(until) => KeyedStep::AwaitOwnership(until),
        Begin::NotOwner(owner) => KeyedStep::NotOwner(owner),
        Begin::Lapsed => KeyedStep::NotOwner(None),
        Begin::Repeat(answer) => {
            KeyedStep::Finish(Outcome::Answered(UpstreamAnswer::clone(&answer)))
        }
        Begin::AnswerGone => unknown(UnknownCause::AnswerNotHeld),
        Begin::Unknown => unknown(UnknownCause::KeyUnsettled),
        Begin::TooOld => unknown(UnknownCause::KeyTooOld),
        Begin::DifferentRequest => refuse(RefusalReason::KeyReused),
        Begin::FromTheFuture => refuse(RefusalReason::KeyInvalid),
    }
}

/// The answer of a node that is asked to run a key and isn't its owner.
#[must_use]
pub fn refuse_as_not_owner() -> Outcome {
    Outcome::NotRun(Refusal {
        reason: RefusalReason::NotOwner,
        advice: RetryAdvice::After(ASK_AGAIN_AFTER),
    })
}

/// How the key table records the end of a run.
#[must_use]
pub fn run_end(outcome: &Outcome) -> RunEnd<HeldAnswer> {
    match outcome {
        Outcome::Answered(answer) => RunEnd::Answered {
            answer: Rc::new(answer.clone()),
            bytes: answer_bytes(answer),
        },
        Outcome::NotRun(_) => RunEnd::NotRun,
        Outcome::Unknown(_) => RunEnd::Unknown,
    }
}

/// What an entry node does with the outcome that it got for a forwarded call.
///
/// `NotOwner` proves only that the asked node ran nothing: another node may have run the key for an
/// earlier call. It never reaches the caller as `not run`.
#[must_use]
pub fn after_forward(outcome: Outcome, time_left: Duration) -> ForwardStep {
    let not_owner = matches!(
        outcome,
        Outcome::NotRun(Refusal {
            reason: RefusalReason::NotOwner | RefusalReason::NotSent,
            ..
        })
    );
    if !not_owner {
        return ForwardStep::Finish(outcome);
    }
    if time_left > ASK_AGAIN_AFTER {
        return ForwardStep::AskAgain;
    }
    ForwardStep::Finish(Outcome::Unknown(UnknownCause::KeyUnsettled))
}

/// The outcome of a keyed call whose deadline passed while an owner was looked for or waited for.
#[must_use]
pub fn deadline_passed_unsettled() -> Outcome {
    Outcome::Unknown(UnknownCause::KeyUnsettled)
}

/// What the caller is told of a call after which no more is done.
///
/// If the link to an owner was lost on the way, the call may have run there, and only an owner's word
/// that it did is certain. Every other outcome speaks of a later sending of the same key alone.
#[must_use]
pub fn conclude_call(outcome: Outcome, link_lost: bool) -> Outcome {
    let ran = matches!(
        outcome,
        Outcome::Answered(_) | Outcome::Unknown(UnknownCause::AnswerNotHeld)
    );
    if link_lost && !ran {
        return Outcome::Unknown(UnknownCause::NodeLost);
    }
    outcome
}

/// The memory that a held answer takes, in bytes.
#[must_use]
pub fn answer_bytes(answer: &UpstreamAnswer) -> usize {
    let headers = answer.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + BYTES_PER_HEADER);
    size_of::<UpstreamAnswer>() + header_bytes.sum::<usize>() + answer.body.len()
}

fn unknown(cause: UnknownCause) -> KeyedStep {
    KeyedStep::Finish(Outcome::Unknown(cause))
}

fn refuse(reason: RefusalReason) -> KeyedStep {
    KeyedStep::Finish(Outcome::NotRun(Refusal {
        reason,
        advice: RetryAdvice::Never,
    }))
}
