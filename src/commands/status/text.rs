//! Formats the status as text of at most 80 columns.

use crate::{
    commands::{
        mesh::{MeshSurvey, ReachedNode},
        status::report::{ClassSummary, StatusReport},
    },
    protocol::operator_views::UpstreamStatus,
    state::names::{AvailabilityZoneName, ServiceName},
};
use std::io::{self, Write};

/// Maximum width of a line, in characters.
pub const COLUMNS: usize = 80;
/// Maximum number of problems that are shown; the others are only counted.
const MAX_SHOWN_PROBLEMS: usize = 12;

/// Writes the status, problems first.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_status(
    report: &StatusReport,
    survey: &MeshSurvey,
    out: &mut dyn Write,
) -> io::Result<()> {
    write_problems(report, out)?;
    write_evacuated(report, survey, out)?;
    write_classes(report, out)?;
    write_nodes(survey, out)?;
    write_versions(report, out)
}

/// Writes a line, truncated to [`COLUMNS`] with a trailing `~` if it is longer.
fn write_line(out: &mut dyn Write, line: &str) -> io::Result<()> {
    let line = line.trim_end();
    if line.chars().count() <= COLUMNS {
        return writeln!(out, "{line}");
    }
    let truncated: String = line.chars().take(COLUMNS - 1).collect();
    writeln!(out, "{truncated}~")
}

fn write_problems(report: &StatusReport, out: &mut dyn Write) -> io::Result<()> {
    match report.problems.len() {
        0 => return writeln!(out, "Nothing is wrong."),
        1 => writeln!(out, "1 problem:")?,
        count => writeln!(out, "{count} problems, the most severe first:")?,
    }
    for problem in report.problems.iter().take(MAX_SHOWN_PROBLEMS) {
        write_line(out, &format!("  ! {}", problem.message))?;
    }
    let hidden = report.problems.len().saturating_sub(MAX_SHOWN_PROBLEMS);
    if hidden > 0 {
        writeln!(out, "  and {hidden} more; --json has them all")?;
    }
    Ok(())
}

fn write_evacuated(
    report: &StatusReport,
    survey: &MeshSurvey,
    out: &mut dyn Write,
) -> io::Result<()> {
    let all = survey.reached.len();
    for (zone, nodes) in &report.evacuated {
        let line = format!("evacuated: {zone}, known to {nodes} of {all} nodes");
        write_line(out, &line)?;
    }
    Ok(())
}

fn write_classes(report: &StatusReport, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "\nCLASSES, all nodes, since their start; times of the slowest node"
    )?;
    write_line(
        out,
        "  CLASS                REQUESTS/S REFUSED UNKNOWN ON TARGET TARGET    P50    P99",
    )?;
    for class in &report.classes {
        write_line(out, &format_class(class))?;
    }
    Ok(())
}

fn format_class(class: &ClassSummary) -> String {
    let status = &class.status;
    format!(
        "{} {:<20.20} {:>10.1} {:>7} {:>7} {:>8.2}% {:>6} {:>6} {:>6}",
        if status.meets_target() { ' ' } else { '!' },
        class.label(),
        class.rate,
        status.refused,
        status.unknown,
        status.on_target_share() * 100.0,
        status.target_ms,
        format_percentile(status.p50_ms),
        format_percentile(status.p99_ms),
    )
}

/// Formats a percentile of a latency histogram, which is known only as the upper limit of a bucket.
fn format_percentile(limit_ms: Option<u64>) -> String {
    limit_ms.map_or_else(|| "-".to_owned(), |limit_ms| format!("<={limit_ms}"))
}

fn write_nodes(survey: &MeshSurvey, out: &mut dyn Write) -> io::Result<()> {
    let (reached, unreached) = (survey.reached.len(), survey.unreached.len());
    writeln!(out, "\nNODES, {reached} reached, {unreached} not")?;
    write_line(
        out,
        "  NODE             ZONE         SERVICE      UPSTREAM RUN/LIMIT QUEUED VERSION",
    )?;
    for node in &survey.reached {
        write_line(out, &format_node(node))?;
    }
    for node in &survey.unreached {
        let mark = if node.leaving { ' ' } else { '!' };
        write_line(out, &format!("{mark} {} {}", node.label(), node.problem))?;
    }
    Ok(())
}

fn format_node(node: &ReachedNode) -> String {
    let status = &node.status;
    let zone = status.availability_zone.as_ref();
    let missing = UpstreamStatus::default();
    let upstream = status.upstream.as_ref();
    let load = upstream.unwrap_or(&missing);
    let condition = match upstream {
        None => "missing",
        Some(upstream) if upstream.leaving => "leaving",
        Some(upstream) if upstream.ejected => "ejected",
        Some(_) => "serving",
    };
    format!(
        "{} {:<16.16} {:<12.12} {:<12.12} {condition:<8} {:>9} {:>6} {:>7}",
        if upstream.is_none() { '!' } else { ' ' },
        node.label(),
        zone.map_or("", AvailabilityZoneName::as_str),
        status.service.as_ref().map_or("", ServiceName::as_str),
        format!("{}/{}", load.running, load.limit),
        load.queued,
        status.version.0,
    )
}

fn write_versions(report: &StatusReport, out: &mut dyn Write) -> io::Result<()> {
    let versions: Vec<String> = report
        .versions
        .iter()
        .map(|count| format!("{} at {} nodes", count.version.0, count.nodes))
        .collect();
    write_line(
        out,
        &format!("\nCONFIGURATION VERSION {}", versions.join(", ")),
    )
}
