//! Measures the key table: memory a key and time of a begin and a finish.
//!
//! `cargo run --release --example key_table -- --json`

use bpaf::Bpaf;
use camphorturn::state::key_table::{
    KeyTable, KeyTableLimits,
    entry::RunEnd,
    key::{Fingerprint, KeyId, WallMillis},
};
use serde::Serialize;
use std::{
    fs,
    time::{Duration, Instant},
};

/// Keys of one node at a tenth of the fleet's calls being bookings for ten minutes, and ten times that.
const KEY_COUNTS: [u64; 2] = [34_000, 340_000];
const START: u64 = 1_700_000_000_000;

/// Measures the key table.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print JSON.
    json: bool,
}

#[derive(Serialize)]
struct Figures {
    keys: u64,
    bytes_a_key: u64,
    begin_nanos: u64,
    finish_nanos: u64,
    repeat_nanos: u64,
    evicting_begin_nanos: u64,
}

fn main() {
    let options = options().run();
    for keys in KEY_COUNTS {
        let figures = measure(keys);
        if options.json {
            println!("{}", serde_json::json!(figures));
        } else {
            println!("{keys} keys:");
            println!("  {} bytes a key, answers apart", figures.bytes_a_key);
            println!("  {} ns a begin of a new key", figures.begin_nanos);
            println!("  {} ns a finish", figures.finish_nanos);
            println!("  {} ns a look at a known key", figures.repeat_nanos);
            println!(
                "  {} ns a begin that drops the oldest key",
                figures.evicting_begin_nanos
            );
        }
    }
}

fn limits(keys: u64) -> KeyTableLimits {
    KeyTableLimits {
        key_memory: Duration::from_hours(24),
        future_bound: Duration::from_secs(1),
        max_keys: usize::try_from(keys).unwrap_or(usize::MAX),
        max_answer_bytes: 64 * 1024 * 1024,
        slots: 256,
    }
}

/// The keys of 57 calls a second, with well mixed lower bits.
fn key(number: u64) -> KeyId {
    let mixed = u128::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
    KeyId::from_parts(WallMillis(START + number * 1_000 / 57), mixed)
}

fn measure(keys: u64) -> Figures {
    let fingerprint = Fingerprint([3; 16]);
    let before = resident_bytes();
    let mut table = KeyTable::<u64>::new(limits(keys), WallMillis(0));
    let wall = WallMillis(START + 1);
    let started = Instant::now();
    let runs: Vec<_> = (0..keys)
        .map(|number| table.start(key(number), fingerprint, key(number).issued().max(wall)))
        .collect();
    let begin_nanos = nanos_each(started, keys);
    let runs_bytes = u64::try_from(runs.capacity() * size_of_val(&runs[0])).unwrap_or(0);
    let grown = resident_bytes()
        .saturating_sub(before)
        .saturating_sub(runs_bytes);
    let started = Instant::now();
    for (number, run) in (0..keys).zip(&runs) {
        let end = RunEnd::Answered {
            answer: number,
            bytes: 100,
        };
        if let Some(run) = run {
            table.finish(key(number), *run, end);
        }
    }
    let finish_nanos = nanos_each(started, keys);
    let last = key(keys - 1).issued();
    let started = Instant::now();
    let known = (0..keys).filter(|number| {
        let status = table.inspect(key(*number), fingerprint, last);
        std::hint::black_box(status) != camphorturn::state::key_table::entry::KeyStatus::New
    });
    assert!(known.count() > 0);
    let repeat_nanos = nanos_each(started, keys);
    let started = Instant::now();
    for number in keys..2 * keys {
        table.start(key(number), fingerprint, key(number).issued());
    }
    let evicting_begin_nanos = nanos_each(started, keys);
    assert_eq!(u64::try_from(table.len()), Ok(keys));
    Figures {
        keys,
        bytes_a_key: grown / keys,
        begin_nanos,
        finish_nanos,
        repeat_nanos,
        evicting_begin_nanos,
    }
}

fn nanos_each(started: Instant, count: u64) -> u64 {
    let nanos = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
    nanos / count.max(1)
}

/// Resident memory of this process, by the operating system; pages of 4 KiB.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
