//! The status as text of at most 80 columns.

use crate::{
    commands::{
        mesh::{MeshSurvey, ReachedNode},
        status::report::{ClassSummary, StatusReport},
    },
    protocol::{
        load_report::UpstreamCondition,
        operator_views::{BudgetStatus, OwnerStatus},
    },
    state::names::{AvailabilityZoneName, NodeName, ServiceName},
};
use std::io::{self, Write};

/// Columns of the terminal that the text is made for.
pub const COLUMNS: usize = 80;
/// Problems that are shown; the number of the others is.
const PROBLEMS_SHOWN: usize = 12;

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
    write_classes(report, out)?;
    write_nodes(survey, out)?;
    write_budgets(survey, out)?;
    write_owners(survey, out)?;
    write_versions(report, out)
}

/// Cuts a line at [`COLUMNS`], with a mark where text is missing.
fn write_line(out: &mut dyn Write, line: &str) -> io::Result<()> {
    let line = line.trim_end();
    if line.chars().count() <= COLUMNS {
        return writeln!(out, "{line}");
    }
    let cut: String = line.chars().take(COLUMNS - 1).collect();
    writeln!(out, "{cut}~")
}

fn write_problems(report: &StatusReport, out: &mut dyn Write) -> io::Result<()> {
    match report.problems.len() {
        0 => return writeln!(out, "Nothing is wrong."),
        1 => writeln!(out, "1 problem:")?,
        count => writeln!(out, "{count} problems, the worst first:")?,
    }
    for problem in report.problems.iter().take(PROBLEMS_SHOWN) {
        write_line(out, &format!("  ! {}", problem.message))?;
    }
    let hidden = report.problems.len().saturating_sub(PROBLEMS_SHOWN);
    if hidden > 0 {
        writeln!(out, "  and {hidden} more; --json has them all")?;
    }
    Ok(())
}

fn write_classes(report: &StatusReport, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "\nCLASSES, all nodes; times in ms, of the slowest node"
    )?;
    write_line(
        out,
        "  CLASS                 CALLS/S NOT RUN UNKNOWN ON TARGET  WANTED    P50   P99  P999",
    )?;
    for class in &report.classes {
        write_line(out, &format_class(class))?;
    }
    Ok(())
}

fn format_class(class: &ClassSummary) -> String {
    let status = &class.status;
    format!(
        "{} {:<21.21} {:>7.1} {:>7} {:>7} {:>8.2}% {:>6.2}% {:>6} {:>5} {:>5}",
        if status.meets_target() { ' ' } else { '!' },
        class.label(),
        class.rate,
        status.not_run,
        status.unknown,
        status.on_target_share() * 100.0,
        status.target_share * 100.0,
        format_millis(status.p50_micros),
        format_millis(status.p99_micros),
        format_millis(status.p999_micros),
    )
}

/// Milliseconds in at most five characters.
fn format_millis(micros: u64) -> String {
    if micros < 100_000 {
        format!("{}.{}", micros / 1_000, micros % 1_000 / 100)
    } else {
        (micros / 1_000).to_string()
    }
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
    let load = &status.upstream;
    let zone = status.availability_zone.as_ref();
    let down = load.condition == UpstreamCondition::Down;
    format!(
        "{} {:<16.16} {:<12.12} {:<12.12} {:<8} {:>9} {:>6} {:>7}",
        if down { '!' } else { ' ' },
        node.label(),
        zone.map_or("", AvailabilityZoneName::as_str),
        status.service.as_ref().map_or("", ServiceName::as_str),
        name_condition(load.condition),
        format!("{}/{}", load.running, load.limit),
        load.queued,
        status.configuration_version.0,
    )
}

const fn name_condition(condition: UpstreamCondition) -> &'static str {
    match condition {
        UpstreamCondition::Down => "down",
        UpstreamCondition::Warming => "warming",
        UpstreamCondition::Serving => "serving",
        UpstreamCondition::Draining => "draining",
    }
}

fn write_budgets(survey: &MeshSurvey, out: &mut dyn Write) -> io::Result<()> {
    let budgets = survey.reached.iter().flat_map(|node| {
        let label = node.label();
        node.status
            .budgets
            .iter()
            .map(move |budget| (label.clone(), budget))
    });
    let used: Vec<(String, &BudgetStatus)> = budgets
        .filter(|(_, budget)| budget.probes + budget.retries > 0)
        .collect();
    if used.is_empty() {
        return writeln!(out, "\nBUDGETS: none used");
    }
    writeln!(out, "\nBUDGETS, used / allowed in the last window")?;
    for (label, budget) in used {
        let service = budget.service.as_ref().map_or("?", ServiceName::as_str);
        write_line(
            out,
            &format!(
                "  {label:<16.16} {service:<12.12} probes {}/{}, bytes {}/{}, retries {}/{}",
                budget.probes,
                budget.probes_allowed,
                budget.probe_bytes,
                budget.probe_bytes_allowed,
                budget.retries,
                budget.retries_allowed,
            ),
        )?;
    }
    Ok(())
}

fn write_owners(survey: &MeshSurvey, out: &mut dyn Write) -> io::Result<()> {
    let mut owners: Vec<&OwnerStatus> = survey
        .reached
        .iter()
        .flat_map(|node| &node.status.owners)
        .collect();
    if owners.is_empty() {
        return Ok(());
    }
    // All nodes tell of all owners; the highest epoch is the latest, and the longest lease its own.
    owners.sort_by_key(|owner| {
        let latest = std::cmp::Reverse((owner.epoch, owner.lease_left_ms));
        (owner.service.clone(), owner.part, latest)
    });
    owners.dedup_by_key(|owner| (owner.service.clone(), owner.part));
    writeln!(out, "\nKEY OWNERS")?;
    for owner in owners {
        let service = owner.service.as_ref().map_or("?", ServiceName::as_str);
        let name = owner.owner.as_ref().map_or("nobody", NodeName::as_str);
        write_line(
            out,
            &format!(
                "  {service:<12.12} part {:<4} {name:<16.16} epoch {:<6} lease {} ms",
                owner.part, owner.epoch, owner.lease_left_ms
            ),
        )?;
    }
    Ok(())
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
