//! What the key table keeps of one key, and how it tells of it.

use super::key::{Fingerprint, KeyId, Slot, WallMillis};

/// Tells one run of a key from a later one, so that a late report on the first can't end the second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum KeyState<A> {
    InProgress(RunNumber),
    Answered { answer: A, bytes: usize },
    AnswerGone,
    Unknown(RunNumber),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Entry<A> {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: KeyState<A>,
}

/// How a run of a key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd<A> {
    /// Proven not to have run: the key may be run again.
    NotRun,
    /// It ran and this is the answer, which takes `bytes` of memory.
    Answered {
        /// The answer.
        answer: A,
        /// Its size.
        bytes: usize,
    },
    /// It ran, and there is no answer to hold.
    RanWithoutAnswer,
    /// It may have run: the key is never run again, unless a later report settles it.
    Unknown,
}

/// What the table knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyStatus<A> {
    /// Never run here, and issued late enough for this to be certain.
    New,
    /// Running now.
    InProgress,
    /// Ran, and this was the answer.
    Answered(A),
    /// Ran; the answer is no longer held.
    AnswerGone,
    /// May have run; that could not be settled.
    Unknown,
    /// Used before with another request.
    DifferentRequest,
    /// Issued before the floor: whether it ran is no longer known.
    TooOld,
    /// Issued further in the future than clocks may differ.
    FromTheFuture,
}

/// One key as handed over to the next owner of its slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExportedKey<A> {
    /// The key.
    pub key: KeyId,
    /// Digest of its request.
    pub fingerprint: Fingerprint,
    /// How its run ended. [`RunEnd::NotRun`] is never exported.
    pub end: RunEnd<A>,
}

/// All that is known of the keys of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExportedSlot<A> {
    /// The slot.
    pub slot: Slot,
    /// Keys issued before this are not known to the exporter.
    pub floor: WallMillis,
    /// The keys.
    pub keys: Vec<ExportedKey<A>>,
}

impl<A: Clone> Entry<A> {
    pub(super) fn import(exported: ExportedKey<A>, run: RunNumber) -> Self {
        let state = match exported.end {
            RunEnd::Answered { answer, bytes } => KeyState::Answered { answer, bytes },
            RunEnd::RanWithoutAnswer => KeyState::AnswerGone,
            RunEnd::Unknown | RunEnd::NotRun => KeyState::Unknown(run),
        };
        Self {
            fingerprint: exported.fingerprint,
            state,
        }
    }

    pub(super) fn status(&self, fingerprint: Fingerprint) -> KeyStatus<A> {
        if self.fingerprint != fingerprint {
            return KeyStatus::DifferentRequest;
        }
        match &self.state {
            KeyState::InProgress(_) => KeyStatus::InProgress,
            KeyState::Answered { answer, .. } => KeyStatus::Answered(answer.clone()),
            KeyState::AnswerGone => KeyStatus::AnswerGone,
            KeyState::Unknown(_) => KeyStatus::Unknown,
        }
    }

    pub(super) fn is_open(&self, run: RunNumber) -> bool {
        matches!(self.state, KeyState::InProgress(own) | KeyState::Unknown(own) if own == run)
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, KeyState::InProgress(_))
    }

    pub(super) fn held_bytes(&self) -> Option<usize> {
        match self.state {
            KeyState::Answered { bytes, .. } => Some(bytes),
            KeyState::InProgress(_) | KeyState::AnswerGone | KeyState::Unknown(_) => None,
        }
    }

    pub(super) fn export(&self, key: KeyId) -> ExportedKey<A> {
        let end = match &self.state {
            KeyState::Answered { answer, bytes } => RunEnd::Answered {
                answer: answer.clone(),
                bytes: *bytes,
            },
            KeyState::AnswerGone => RunEnd::RanWithoutAnswer,
            KeyState::InProgress(_) | KeyState::Unknown(_) => RunEnd::Unknown,
        };
        ExportedKey {
            key,
            fingerprint: self.fingerprint,
            end,
        }
    }
}
