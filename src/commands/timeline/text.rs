//! Events as lines, for people and for programs.

use crate::events::view::EventView;
use std::io::{self, Write};

/// Milliseconds of a day.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// The time of day in UTC, to the millisecond.
#[must_use]
pub fn format_time_of_day(wall_millis: u64) -> String {
    let of_day = wall_millis % DAY_MS;
    let (hours, minutes) = (of_day / 3_600_000, of_day / 60_000 % 60);
    let (seconds, millis) = (of_day / 1_000 % 60, of_day % 1_000);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}")
}

/// Writes an event as one line of text. The time is the node's own wall clock, in UTC.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_event_line(event: &EventView, out: &mut dyn Write) -> io::Result<()> {
    write!(
        out,
        "{} {:<16} {} {:<7} {}",
        format_time_of_day(event.wall_millis),
        event.node.as_str(),
        event.number,
        event.severity.as_str(),
        event.message,
    )?;
    match event.call {
        Some(call) => writeln!(out, " [{call}]"),
        None => writeln!(out),
    }
}

/// Writes an event as one line of JSON.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_event_json(event: &EventView, out: &mut dyn Write) -> io::Result<()> {
    serde_json::to_writer(&mut *out, event)?;
    writeln!(out)
}
