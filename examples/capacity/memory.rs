//! Memory and processor time of this process, and small helpers for arithmetic.

use std::{fs, time::Duration};

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

/// Milliseconds of a tick of processor time.
const TICK_MS: u64 = 10;

/// Resident memory of this process, in bytes; 0 where the system does not tell.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// A count as a float.
pub fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

/// Processor time of this process so far; zero where the system does not tell.
pub fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process, in brackets, may hold blanks.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * TICK_MS)
}
