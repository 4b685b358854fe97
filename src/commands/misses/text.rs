//! Formats a report on misses as text.

use crate::log_reading::misses::{
    MissReport, MissWindow,
    breakdown::{Breakdown, KindCount},
};
use std::io::{self, Write};

/// Maximum number of windows that are shown.
const MAX_SHOWN_WINDOWS: usize = 10;
/// Maximum number of kinds that are shown for a class in a window.
const MAX_SHOWN_KINDS: usize = 4;
/// Shown for requests without a class, which have no route.
const NO_CLASS: &str = "(no class)";

/// Writes the report as text.
pub fn write_report(report: &MissReport, out: &mut dyn Write) -> io::Result<()> {
    write_sampling(report, out)?;
    write_breakdown("All classes", &report.total, out)?;
    for (class, breakdown) in &report.classes {
        write_breakdown(format_class(class), breakdown, out)?;
    }
    write_windows(report, out)
}

/// Writes which of the numbers are samples and which are complete counts.
fn write_sampling(report: &MissReport, out: &mut dyn Write) -> io::Result<()> {
    let sampling = report.sampling;
    writeln!(
        out,
        "{} lines on ended requests. Which of them are samples:",
        report.total.lines
    )?;
    writeln!(
        out,
        "  on time, no route, client left: a sample, one in {} requests, and fewer, without a count, above \
         the rate limit of a node",
        sampling.ordinary_one_in
    )?;
    writeln!(
        out,
        "  late: a sample, one in {} requests",
        sampling.late_one_in
    )?;
    writeln!(
        out,
        "  others: complete, except for lines that nodes dropped; {} lines on late and other requests and \
         on state changes were dropped, {} are missing from the input",
        report.dropped_lines, report.missing_lines
    )?;
    if report.without_end > 0 {
        writeln!(
            out,
            "  {} further requests have lines of executing nodes only, none on their end",
            report.without_end
        )?;
    }
    writeln!(
        out,
        "  estimates are lines times \"one in\"; on-time shares are computed from estimates, their ranges from \
         the size of the sample only"
    )
}

fn write_breakdown(title: &str, breakdown: &Breakdown, out: &mut dyn Write) -> io::Result<()> {
    writeln!(out, "\n{title}: {}", describe_share(breakdown))?;
    writeln!(out, "    lines  one in  estimate")?;
    for kind in &breakdown.kinds {
        writeln!(
            out,
            "  {:>7}  {:>6}  {:>8}  {}",
            kind.lines,
            kind.one_in,
            kind.estimate,
            describe_kind(kind)
        )?;
    }
    Ok(())
}

fn write_windows(report: &MissReport, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "\nWindows of {} ms by arrival of the requests, the lowest on-time share first:",
        report.window_ms
    )?;
    for window in report.windows.iter().take(MAX_SHOWN_WINDOWS) {
        write_window(window, out)?;
    }
    let more = report.windows.len().saturating_sub(MAX_SHOWN_WINDOWS);
    if more > 0 {
        writeln!(out, "and {more} more windows; --json lists all")?;
    }
    Ok(())
}

fn write_window(window: &MissWindow, out: &mut dyn Write) -> io::Result<()> {
    write!(out, "{}  {}", window.from, describe_share(&window.total))?;
    if window.dropped_lines > 0 {
        write!(out, "; {} lines dropped", window.dropped_lines)?;
    }
    writeln!(out)?;
    for (class, breakdown) in &window.classes {
        let kinds = breakdown.kinds.iter().take(MAX_SHOWN_KINDS);
        let mut kinds: Vec<String> = kinds.map(describe_lines).collect();
        let more = breakdown.kinds.len() - kinds.len();
        if more > 0 {
            kinds.push(format!("{more} more kinds"));
        }
        writeln!(out, "    {}: {}", format_class(class), kinds.join("; "))?;
    }
    Ok(())
}

fn describe_share(breakdown: &Breakdown) -> String {
    let (lines, missed) = (breakdown.lines, breakdown.missed_lines);
    let share = breakdown.on_time_share_estimate;
    let Some((share, (lower, upper))) = share.zip(breakdown.on_time_share_range) else {
        return format!("no on-time share ({lines} lines)");
    };
    let [share, lower, upper] = [share, lower, upper].map(|share| share * 100.0);
    format!(
        "about {share:.0}% on time, {lower:.0} to {upper:.0}% by sample size ({lines} lines, {missed} of them \
         on misses)"
    )
}

fn describe_lines(kind: &KindCount) -> String {
    let text = describe_kind(kind);
    if kind.one_in > 1 {
        format!("{} {text} (one in {})", kind.lines, kind.one_in)
    } else {
        format!("{} {text}", kind.lines)
    }
}

fn describe_kind(kind: &KindCount) -> String {
    let mut text = kind.outcome.replace('_', " ");
    if !kind.cause.is_empty() {
        text.push_str(": ");
        text.push_str(&kind.cause);
    }
    match kind.nodes_asked {
        Some(true) => text.push_str(", nodes asked"),
        Some(false) => text.push_str(", no node asked"),
        None => {}
    }
    text
}

fn format_class(class: &str) -> &str {
    if class.is_empty() { NO_CLASS } else { class }
}
