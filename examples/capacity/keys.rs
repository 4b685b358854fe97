//! What remembering idempotency keys costs their owner.

use crate::memory::{float, resident_bytes};
use camphorturn::state::key_table::{
    KeyTable, KeyTableLimits,
    entry::RunEnd,
    key::{Fingerprint, KeyId, WallMillis},
};
use serde::Serialize;
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Cost of so many keys.
#[derive(Debug, Serialize)]
pub struct KeyCost {
    keys: usize,
    /// Time to look a key up, start it and note its end.
    nanos_per_key: f64,
    /// Growth of the process by one key, its answer apart.
    bytes_per_key: f64,
}

/// Measures for so many keys.
pub fn measure(keys: usize) -> KeyCost {
    let limits = KeyTableLimits {
        key_memory: Duration::from_mins(10),
        future_bound: Duration::from_secs(1),
        max_keys: keys,
        max_answer_bytes: 0,
        slots: 64,
    };
    let before = resident_bytes();
    let mut table: KeyTable<()> = KeyTable::new(limits, WallMillis::default());
    let start = Instant::now();
    for number in 0..keys {
        run_key(&mut table, number);
    }
    let took = start.elapsed();
    let grown = resident_bytes().saturating_sub(before);
    black_box(&table);
    KeyCost {
        keys,
        nanos_per_key: took.as_secs_f64() * 1e9 / float(keys),
        bytes_per_key: float(usize::try_from(grown).expect("fits")) / float(keys),
    }
}

fn run_key(table: &mut KeyTable<()>, number: usize) {
    let number = u64::try_from(number).expect("a small number");
    let wall = WallMillis(1_000_000_000 + number / 10);
    let key = KeyId::from_parts(wall, u128::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let fingerprint = Fingerprint([7; 16]);
    black_box(table.inspect(key, fingerprint, wall));
    if let Some(run) = table.start(key, fingerprint, wall) {
        table.finish(key, run, RunEnd::RanWithoutAnswer);
    }
}
