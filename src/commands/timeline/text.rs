//! Formats log lines as text for people and as JSON for programs.

use crate::log_reading::{
    description::{NodeNames, describe_line},
    order::TimedLine,
};
use std::io::{self, Write};

/// Length of a day in milliseconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Formats the time of day in UTC with milliseconds, from a time in milliseconds since the Unix epoch.
#[must_use]
pub fn format_time_of_day(at_ms: f64) -> String {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "milliseconds since the epoch; what lies before it shows as the epoch"
    )]
    let of_day = at_ms.max(0.0) as u64 % DAY_MS;
    let (hours, minutes) = (of_day / 3_600_000, of_day / 60_000 % 60);
    let (seconds, millis) = (of_day / 1_000 % 60, of_day % 1_000);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}")
}

/// Writes a line as text, with its time on the common clock in UTC. Important lines are marked with `!`.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_line_text(
    timed: &TimedLine,
    names: &NodeNames,
    out: &mut dyn Write,
) -> io::Result<()> {
    let line = &timed.line;
    write!(
        out,
        "{} {:<16} {} {} {}",
        format_time_of_day(timed.at_ms),
        line.node.as_str(),
        line.number,
        if line.important { '!' } else { ' ' },
        describe_line(line, names),
    )?;
    match line.request() {
        Some(request) => writeln!(out, " [{request}]"),
        None => writeln!(out),
    }
}

/// Writes a line as a JSON object, with its time on the common clock in the field `at_ms`.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_line_json(timed: &TimedLine, out: &mut dyn Write) -> io::Result<()> {
    let line = &timed.line;
    let mut members = line.fields.clone();
    members.insert("at_ms".to_owned(), timed.at_ms.into());
    members.insert("node".to_owned(), line.node.as_str().into());
    members.insert("seq".to_owned(), line.seq.into());
    members.insert("event".to_owned(), line.number.into());
    members.insert("name".to_owned(), line.name.as_str().into());
    serde_json::to_writer(&mut *out, &members)?;
    writeln!(out)
}
