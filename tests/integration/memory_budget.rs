//! Tests of the memory budget.

use bolero::{TypeGenerator, check};
use camphorturn::coordination::memory_budget::{HeldFor, MemoryBudget, SMALL_BODY_BYTES};

/// Memory of the smallest VMs, and the largest body that their configuration allows.
const MEMORY_BYTES: usize = 160_000_000;
const MAX_BODY_BYTES: usize = 67_108_864;

#[derive(Debug, TypeGenerator)]
enum Step {
    Add {
        large: bool,
        answer: bool,
        kilobytes: u16,
    },
    Remove {
        which: u8,
    },
}

fn kind_of(large: bool, answer: bool) -> HeldFor {
    match (large, answer) {
        (false, _) => HeldFor::Small,
        (true, false) => HeldFor::Request,
        (true, true) => HeldFor::Answer,
    }
}

/// Failure: a node holds more than its budget, forgets bytes or keeps those that were dropped.
#[test]
fn held_within_total() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut budget = MemoryBudget::for_memory(MEMORY_BYTES);
        let mut held: Vec<(HeldFor, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Add {
                    large,
                    answer,
                    kilobytes,
                } => {
                    let kind = kind_of(*large, *answer);
                    let bytes = usize::from(*kilobytes) * 1_000;
                    if budget.try_add(kind, 0, bytes) {
                        held.push((kind, bytes));
                    }
                }
                Step::Remove { which } if !held.is_empty() => {
                    let (kind, bytes) = held.swap_remove(usize::from(*which) % held.len());
                    budget.remove(kind, bytes);
                }
                Step::Remove { .. } => {}
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.held(), sum);
            assert!(sum <= budget.total());
        }
    });
}

/// Failure: the largest document is refused by a node that holds nothing else than answers and some connections.
#[test]
fn largest_document_fits_beside_answers() {
    let mut budget = MemoryBudget::for_memory(MEMORY_BYTES);
    while budget.try_add(HeldFor::Answer, 0, 1_000_000) {}
    budget.add(HeldFor::Small, 50 * 192 * 1024);
    assert!(budget.try_add(HeldFor::Request, 0, MAX_BODY_BYTES));
}

/// Failure: requests without a large body are refused while large ones fill the memory.
#[test]
fn small_bodies_fit_beside_large_ones() {
    let mut budget = MemoryBudget::for_memory(MEMORY_BYTES);
    while budget.try_add(HeldFor::Request, 0, 8_000_000) {}
    while budget.try_add(HeldFor::Answer, 0, 1_000_000) {}
    let mut small = 0;
    while budget.try_add(HeldFor::Small, 0, SMALL_BODY_BYTES) {
        small += 1;
    }
    assert!(small * SMALL_BODY_BYTES > budget.total() / 5, "{small}");
}

/// Failure: a document of unknown length that grows is refused though it is alone.
#[test]
fn growing_document_alone() {
    let mut budget = MemoryBudget::for_memory(MEMORY_BYTES);
    let mut own = 0;
    while own < MAX_BODY_BYTES {
        assert!(budget.try_add(HeldFor::Request, own, 65_536), "{own}");
        own += 65_536;
    }
    assert!(
        !budget.try_add(HeldFor::Request, 0, 16_000_000),
        "another one"
    );
    assert_eq!(budget.refusals(), 1);
}

/// Failure: upstreams whose answers have no end keep out the requests of others.
#[test]
fn answers_leave_room_for_requests() {
    let mut budget = MemoryBudget::for_memory(MEMORY_BYTES);
    while budget.try_add(HeldFor::Answer, 0, 65_536) {}
    assert!(budget.held() <= budget.total() / 4);
    assert_eq!(budget.refusals(), 0);
    assert!(budget.try_add(HeldFor::Request, 0, budget.total() / 2));
}
