//! Bytes that the process holds, counted in its memory budget until they are dropped.

use crate::coordination::memory_budget::{HeldFor, MemoryBudget, SMALL_BODY_BYTES};
use std::{cell::RefCell, rc::Rc};

/// Bytes by which the reservation of a body of unknown length grows.
const GROWTH_BYTES: usize = 64 * 1024;

/// The memory budget of a process, shared by its connections.
#[derive(Clone)]
pub struct SharedBudget(Rc<RefCell<MemoryBudget>>);

impl SharedBudget {
    /// The budget of a process that is ended when it exceeds `memory_bytes`.
    #[must_use]
    pub fn for_memory(memory_bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(MemoryBudget::for_memory(
            memory_bytes,
        ))))
    }

    /// Changes the memory of the process.
    pub fn set_memory(&self, memory_bytes: usize) {
        self.0.borrow_mut().set_memory(memory_bytes);
    }

    /// Largest number of bytes that may be held.
    #[must_use]
    pub fn total(&self) -> usize {
        self.0.borrow().total()
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.borrow().held()
    }

    /// Reserves the buffers of a connection; none if they don't fit.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<HeldBytes> {
        let mut held = HeldBytes::none(self, HeldFor::Small);
        held.try_grow(HeldFor::Small, bytes).then_some(held)
    }

    /// Counts bytes that are held in any case.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> HeldBytes {
        self.0.borrow_mut().add(HeldFor::Small, bytes);
        let mut held = HeldBytes::none(self, HeldFor::Small);
        held.bytes = bytes;
        held
    }

    /// Begins to hold the body of a request. `length` is its length if that is known. None if it doesn't fit.
    #[must_use]
    pub fn try_hold_request(&self, length: Option<usize>) -> Option<HeldBytes> {
        let mut held = HeldBytes::none(self, HeldFor::Request);
        held.try_cover(length.unwrap_or(0)).then_some(held)
    }

    /// Begins to hold the body of an answer.
    #[must_use]
    pub fn hold_answer(&self) -> HeldBytes {
        HeldBytes::none(self, HeldFor::Answer)
    }

    /// How often bytes did not fit.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.0.borrow().refusals()
    }
}

/// Bytes that are held until this is dropped.
pub struct HeldBytes {
    budget: SharedBudget,
    /// What the bytes are held for once there are many.
    if_large: HeldFor,
    held_for: HeldFor,
    bytes: usize,
}

impl HeldBytes {
    fn none(budget: &SharedBudget, if_large: HeldFor) -> Self {
        Self {
            budget: budget.clone(),
            if_large,
            held_for: HeldFor::Small,
            bytes: 0,
        }
    }

    /// Reserves what a body needs that has grown to `length`. Returns false if that doesn't fit.
    pub fn try_cover(&mut self, length: usize) -> bool {
        if length <= self.bytes {
            return true;
        }
        let wanted = length.max(self.bytes + GROWTH_BYTES.min(self.bytes));
        let held_for = if wanted > SMALL_BODY_BYTES {
            self.if_large
        } else {
            HeldFor::Small
        };
        self.try_grow(held_for, wanted - self.bytes)
    }

    fn try_grow(&mut self, held_for: HeldFor, bytes: usize) -> bool {
        let mut budget = self.budget.0.borrow_mut();
        if held_for != self.held_for {
            budget.remove(self.held_for, self.bytes);
            budget.add(held_for, self.bytes);
            self.held_for = held_for;
        }
        let fits = budget.try_add(held_for, self.bytes, bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut budget = self.budget.0.borrow_mut();
        budget.remove(self.held_for, self.bytes);
    }
}
