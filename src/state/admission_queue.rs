//! First-in, first-out queues, one a class, and the choice between them.

use crate::state::moment::Moment;
use std::collections::VecDeque;

/// One of this many starts goes to the class that was passed over longest.
///
/// Strict priority alone starves the lower classes whenever the higher ones fill the upstream. The
/// turn costs the higher classes at most this share of the starts.
pub const TURN_PERIOD: u32 = 16;

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall<I> {
    /// Identity of the call.
    pub id: I,
    /// When it was offered.
    pub offered: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
    /// When it has to end to be on target, or its deadline if that is earlier.
    pub due: Moment,
}

/// What the choice between classes needs to know of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPlace {
    /// Higher goes first.
    pub priority: u8,
    /// Number of the last start that this class had; lower is longer ago.
    pub last_start: u64,
    /// Whether a call waits.
    pub waiting: bool,
}

/// Chooses the class whose call starts next.
#[derive(Clone, Debug, Default)]
pub struct ClassChooser {
    starts: u64,
    passed_over: u32,
}

impl ClassChooser {
    /// Index of the class to serve, and the number of this start; `None` if no call waits.
    pub fn choose(&mut self, classes: &[ClassPlace]) -> Option<(usize, u64)> {
        let first = best(classes, |place| {
            (u8::MAX - place.priority, place.last_start)
        })?;
        let longest = best(classes, |place| (0, place.last_start))?;
        let turn = self.passed_over + 1 >= TURN_PERIOD;
        let chosen = if turn { longest } else { first };
        self.passed_over = if chosen == longest {
            0
        } else {
            self.passed_over + 1
        };
        self.starts += 1;
        Some((chosen, self.starts))
    }
}

fn best(classes: &[ClassPlace], key: impl Fn(&ClassPlace) -> (u8, u64)) -> Option<usize> {
    let waiting = classes
        .iter()
        .enumerate()
        .filter(|(_, place)| place.waiting);
    waiting.min_by_key(|(_, place)| key(place)).map(|(i, _)| i)
}

/// The queue of one class.
#[derive(Clone, Debug)]
pub struct ClassQueue<I> {
    calls: VecDeque<QueuedCall<I>>,
}

impl<I> Default for ClassQueue<I> {
    fn default() -> Self {
        Self {
            calls: VecDeque::new(),
        }
    }
}

impl<I: Copy + Eq> ClassQueue<I> {
    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call at the end.
    pub fn push(&mut self, call: QueuedCall<I>) {
        self.calls.push_back(call);
    }

    /// Takes the call that waits longest.
    pub fn pop(&mut self) -> Option<QueuedCall<I>> {
        self.calls.pop_front()
    }

    /// Takes out one call.
    pub fn remove(&mut self, id: I) -> Option<QueuedCall<I>> {
        let place = self.calls.iter().position(|call| call.id == id)?;
        self.calls.remove(place)
    }

    /// Whether that call waits here.
    #[must_use]
    pub fn contains(&self, id: I) -> bool {
        self.calls.iter().any(|call| call.id == id)
    }

    /// The waiting calls, longest waiting first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedCall<I>> {
        self.calls.iter()
    }

    /// Takes out the calls for which `keep` is false. It is given the number of kept calls ahead.
    pub fn sift(
        &mut self,
        mut keep: impl FnMut(usize, &QueuedCall<I>) -> bool,
    ) -> Vec<QueuedCall<I>> {
        let mut removed = Vec::new();
        let mut ahead = 0;
        self.calls.retain(|call| {
            let kept = keep(ahead, call);
            if kept {
                ahead += 1;
            } else {
                removed.push(*call);
            }
            kept
        });
        removed
    }
}
