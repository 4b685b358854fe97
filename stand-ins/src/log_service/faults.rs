//! Failures of the log service that tests and dev mode can ask for.

use std::{mem, time::Duration};

/// Whether the service works at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogCondition {
    /// It works.
    #[default]
    Serving,
    /// It answers 503 at once.
    Refusing,
    /// It gives no answer for this long, then 503.
    Silent(Duration),
}

/// How the answer to an append is lost after the record was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerLoss {
    /// A 504 arrives in its place.
    ServerError,
    /// The connection ends in the middle of the answer.
    CutShort,
    /// Nothing arrives for this long, then the connection ends.
    Silent(Duration),
}

/// The failures in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub condition: LogCondition,
    pub delay: Duration,
    pub duplicates: u32,
    pub repeated_answers: u32,
    pub held_appends: u32,
    /// Stream name and body of each append that is held back.
    pub held: Vec<(String, String)>,
    losses: u32,
    loss: Option<AnswerLoss>,
}

impl Faults {
    pub fn lose_answers(&mut self, count: u32, loss: AnswerLoss) {
        self.losses = count;
        self.loss = Some(loss);
    }

    /// The loss that the append at hand meets, if any.
    pub fn take_loss(&mut self) -> Option<AnswerLoss> {
        take_one(&mut self.losses).then_some(self.loss).flatten()
    }

    pub fn take_duplicate(&mut self) -> bool {
        take_one(&mut self.duplicates)
    }

    pub fn take_repeated_answer(&mut self) -> bool {
        take_one(&mut self.repeated_answers)
    }

    pub fn take_held(&mut self) -> bool {
        take_one(&mut self.held_appends)
    }
}

fn take_one(count: &mut u32) -> bool {
    let left = count.saturating_sub(1);
    mem::replace(count, left) > 0
}
