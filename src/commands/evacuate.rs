//! `camphorturn evacuate`: stops requests to an availability zone until it is restored.

use crate::{
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    protocol::operator_views::EvacuationView,
    transport::operators::client::{OperatorClient, OperatorClientError},
};
use bpaf::Bpaf;
use std::io::{self, Write};

/// Arguments of `evacuate`.
#[derive(Clone, Debug, Bpaf)]
pub struct EvacuateArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object instead of text
    pub json: bool,
    /// Send requests to the zone again
    pub take_back: bool,
    /// Name of the availability zone
    #[bpaf(positional("ZONE"))]
    pub zone: String,
}

/// Sends the request to the given nodes in turn until one accepts it. That node writes the change to the store, from
/// which all nodes receive it.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_evacuate(
    arguments: &EvacuateArguments,
    access: &OperatorAccess,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let client = OperatorClient::new(access);
    let mut problems = Vec::new();
    for node in &access.nodes {
        match client.evacuate(*node, &arguments.zone, !arguments.take_back) {
            Ok(view) => {
                write_view(arguments, &view, out)?;
                return Ok(ExitCode::Success);
            }
            Err(problem @ OperatorClientError::Refused { status: 400, .. }) => {
                writeln!(out, "{node}: {problem}")?;
                return Ok(ExitCode::BadInput);
            }
            Err(problem) => problems.push(format!("{node}: {problem}")),
        }
    }
    for problem in problems {
        writeln!(out, "{problem}")?;
    }
    Ok(ExitCode::Unreachable)
}

fn write_view(
    arguments: &EvacuateArguments,
    view: &EvacuationView,
    out: &mut dyn Write,
) -> io::Result<()> {
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, view)?;
        return writeln!(out);
    }
    let zone = &arguments.zone;
    if arguments.take_back {
        writeln!(out, "{zone} receives requests again")?;
    } else {
        writeln!(
            out,
            "{zone} receives no requests until it is restored with --take-back"
        )?;
    }
    for zone in view.zones.iter().filter(|other| other.as_str() != zone) {
        writeln!(out, "also evacuated: {zone}")?;
    }
    Ok(())
}
