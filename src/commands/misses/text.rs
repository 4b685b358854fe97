//! A report of misses as text.

use crate::log_reading::misses::{
    MissReport, MissWindow,
    breakdown::{Breakdown, KindCount},
};
use std::io::{self, Write};

/// Windows that are shown.
const SHOWN_WINDOWS: usize = 10;
/// Kinds of a class that are shown in a window.
const SHOWN_KINDS: usize = 4;
/// What stands for the class of a request without one, as without a route.
const NO_CLASS: &str = "(no class)";

/// Writes the report.
pub fn write_report(report: &MissReport, out: &mut dyn Write) -> io::Result<()> {
    write_sampling(report, out)?;
    write_breakdown("All classes", &report.total, out)?;
    for (class, breakdown) in &report.classes {
        write_breakdown(name_class(class), breakdown, out)?;
    }
    write_windows(report, out)
}

/// Says first how far the figures are counts.
fn write_sampling(report: &MissReport, out: &mut dyn Write) -> io::Result<()> {
    let sampling = report.sampling;
    writeln!(
        out,
        "{} lines tell of ends of requests. How far they are counts:",
        report.total.lines
    )?;
    writeln!(
        out,
        "  on time, no route, client left: a sample, one in {} requests, and above a node's bound of lines \
         fewer, uncounted",
        sampling.ordinary_one_in
    )?;
    writeln!(
        out,
        "  late: a sample, one in {} requests",
        sampling.late_one_in
    )?;
    writeln!(
        out,
        "  others: all that nodes did not leave out; {} lines on late and other requests and on nodes were \
         left out, {} are missing here",
        report.dropped_lines, report.missing_lines
    )?;
    if report.without_end > 0 {
        writeln!(
            out,
            "  {} further requests have lines of the node beside the upstream only, none on their end",
            report.without_end
        )?;
    }
    writeln!(
        out,
        "  estimates are lines times \"one in\"; shares on time are made of estimates, their ranges of the size of \
         the sample only"
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
        "\nWindows of {} ms by the time requests came, the worst share on time first:",
        report.window_ms
    )?;
    for window in report.windows.iter().take(SHOWN_WINDOWS) {
        write_window(window, out)?;
    }
    let more = report.windows.len().saturating_sub(SHOWN_WINDOWS);
    if more > 0 {
        writeln!(out, "and {more} more windows; --json lists all")?;
    }
    Ok(())
}

fn write_window(window: &MissWindow, out: &mut dyn Write) -> io::Result<()> {
    write!(out, "{}  {}", window.from, describe_share(&window.total))?;
    if window.dropped_lines > 0 {
        write!(out, "; {} lines left out", window.dropped_lines)?;
    }
    writeln!(out)?;
    for (class, breakdown) in &window.classes {
        let kinds = breakdown.kinds.iter().take(SHOWN_KINDS);
        let mut kinds: Vec<String> = kinds.map(describe_lines).collect();
        let more = breakdown.kinds.len() - kinds.len();
        if more > 0 {
            kinds.push(format!("{more} more kinds"));
        }
        writeln!(out, "    {}: {}", name_class(class), kinds.join("; "))?;
    }
    Ok(())
}

fn describe_share(breakdown: &Breakdown) -> String {
    let (lines, missed) = (breakdown.lines, breakdown.missed_lines);
    let share = breakdown.on_time_share_estimate;
    let Some((share, (least, most))) = share.zip(breakdown.on_time_share_range) else {
        return format!("no share on time ({lines} lines)");
    };
    let [share, least, most] = [share, least, most].map(|share| share * 100.0);
    format!(
        "about {share:.0}% on time, by the sample {least:.0} to {most:.0}% ({lines} lines, {missed} of them \
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

fn name_class(class: &str) -> &str {
    if class.is_empty() { NO_CLASS } else { class }
}
