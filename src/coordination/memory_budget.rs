//! Decides which bytes of requests and answers a node may hold.
//!
//! A process that exceeds the memory of its VM is killed, with all requests that it holds. So each byte that it holds for others is
//! counted here before it is read: bodies, and for each connection the buffers that the other side can fill without being read.
//! Nobody waits for bytes to become free. What doesn't fit is refused or forwarded without being held, so that no two nodes wait for
//! each other.

/// Share of the memory that the budget may use; the rest is for the allocator and the kernel.
const USABLE_SHARE: f64 = 0.85;
/// Memory of the process itself, in bytes: code, routing table, records of nodes, queued log lines.
const PROCESS_BYTES: usize = 32_000_000;
/// Smallest share of the memory that the budget gets on a VM with little memory.
const MIN_SHARE: f64 = 0.25;
/// The part of the budget that large bodies leave free, as a divisor. Otherwise a few large bodies would keep out all others.
const RESERVE_DIVISOR: usize = 4;
/// The part of the budget that large answers may use, as a divisor. Answers that don't fit are forwarded, while requests are refused,
/// and an upstream in trouble may send answers without end.
const ANSWERS_DIVISOR: usize = 4;

/// Largest body in bytes that counts as small.
pub const SMALL_BODY_BYTES: usize = 256 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// A connection or a body of at most [`SMALL_BODY_BYTES`].
    Small,
    /// The larger body of a request.
    Request,
    /// The larger body of an answer.
    Answer,
}

/// The bytes that a node holds, and how many it may hold.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total: usize,
    small: usize,
    requests: usize,
    answers: usize,
    refusals: u64,
}

impl MemoryBudget {
    /// The budget of a process that is killed when it exceeds `memory_bytes`.
    #[must_use]
    pub fn for_memory(memory_bytes: usize) -> Self {
        Self {
            total: compute_total(memory_bytes),
            small: 0,
            requests: 0,
            answers: 0,
            refusals: 0,
        }
    }

    /// Changes the memory of the process. Bytes that are held stay.
    pub fn set_memory(&mut self, memory_bytes: usize) {
        self.total = compute_total(memory_bytes);
    }

    /// Largest number of bytes that may be held.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Number of bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.small + self.requests + self.answers
    }

    /// How often a request or a connection did not fit.
    #[must_use]
    pub const fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Adds `bytes` to the `own` ones that a holder already has. Returns false and adds nothing if they don't fit.
    ///
    /// Large bodies leave a part of the budget to small ones, except for a single request, which may need more than the rest.
    pub fn try_add(&mut self, held_for: HeldFor, own: usize, bytes: usize) -> bool {
        let held = self.held().saturating_add(bytes);
        let for_large = self.total - self.total / RESERVE_DIVISOR;
        let for_answers = self.total / ANSWERS_DIVISOR;
        let fits = match held_for {
            HeldFor::Small => held <= self.total,
            HeldFor::Request if self.requests == own => held <= self.total,
            HeldFor::Request => held <= for_large,
            HeldFor::Answer => held <= for_large && self.answers + bytes <= for_answers,
        };
        if fits {
            self.add(held_for, bytes);
        } else if held_for != HeldFor::Answer {
            self.refusals += 1;
        }
        fits
    }

    /// Adds bytes that are already held.
    pub fn add(&mut self, held_for: HeldFor, bytes: usize) {
        let held = self.part(held_for);
        *held = held.saturating_add(bytes);
    }

    /// Removes bytes that are no longer held.
    pub fn remove(&mut self, held_for: HeldFor, bytes: usize) {
        let held = self.part(held_for);
        *held = held.saturating_sub(bytes);
    }

    const fn part(&mut self, held_for: HeldFor) -> &mut usize {
        match held_for {
            HeldFor::Small => &mut self.small,
            HeldFor::Request => &mut self.requests,
            HeldFor::Answer => &mut self.answers,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a share of a number of bytes"
)]
fn compute_total(memory_bytes: usize) -> usize {
    let share = |share: f64| (memory_bytes as f64 * share) as usize;
    let usable = share(USABLE_SHARE).saturating_sub(PROCESS_BYTES);
    usable.max(share(MIN_SHARE))
}
