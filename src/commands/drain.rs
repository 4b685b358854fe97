//! `camphorturn drain`: makes one node refuse new work and finish the work that it has.

use crate::{
    commands::mesh::{UnreachedNode, survey_nodes},
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    protocol::operator_views::NodeHealth,
    transport::operators::client::OperatorClient,
};
use bpaf::Bpaf;
use serde::Serialize;
use std::{
    io::{self, Write},
    net::SocketAddr,
};

/// Arguments of `drain`.
#[derive(Clone, Debug, Bpaf)]
pub struct DrainArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object instead of text
    pub json: bool,
    /// Name of the node, or its address for operators
    #[bpaf(positional("NODE"))]
    pub target: String,
}

/// Result of `drain`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReport {
    /// The node is draining.
    Draining {
        /// Address for operators of the node.
        address: SocketAddr,
        /// Its state after the request.
        condition: NodeHealth,
    },
    /// No reachable node knows the name.
    NoSuchNode {
        /// Name that was given.
        target: String,
        /// Names and addresses of nodes that did not answer. The node that was meant may be among them.
        unreached: Vec<String>,
    },
    /// The node rejected the request or could not be reached.
    #[serde(rename = "not_taken")]
    Failed {
        /// Address for operators of the node.
        address: SocketAddr,
        /// Error message.
        problem: String,
    },
}

/// Finds the node and requests that it drains.
///
/// # Errors
/// Only if `out` can't be written to.
pub fn run_drain(
    arguments: &DrainArguments,
    access: &OperatorAccess,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let report = drain_node(arguments, access);
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &report)?;
        writeln!(out)?;
    } else {
        write_text(&report, out)?;
    }
    Ok(match report {
        DrainReport::Draining { .. } => ExitCode::Success,
        DrainReport::NoSuchNode { .. } => ExitCode::BadInput,
        DrainReport::Failed { .. } => ExitCode::Unreachable,
    })
}

fn drain_node(arguments: &DrainArguments, access: &OperatorAccess) -> DrainReport {
    let client = OperatorClient::new(access);
    let address = match arguments.target.parse() {
        Ok(address) => address,
        Err(_) => match find_node(&client, arguments, access) {
            Ok(address) => address,
            Err(report) => return report,
        },
    };
    match client.start_drain(address) {
        Ok(condition) => DrainReport::Draining { address, condition },
        Err(problem) => DrainReport::Failed {
            address,
            problem: problem.to_string(),
        },
    }
}

fn find_node(
    client: &OperatorClient,
    arguments: &DrainArguments,
    access: &OperatorAccess,
) -> Result<SocketAddr, DrainReport> {
    let survey = survey_nodes(client, &access.nodes);
    let target = &arguments.target;
    let found = survey.reached.iter().find(|node| node.label() == *target);
    found.map(|node| node.address).ok_or_else(|| {
        let unreached = survey.unreached.iter();
        DrainReport::NoSuchNode {
            target: target.clone(),
            unreached: unreached.map(UnreachedNode::label).collect(),
        }
    })
}

fn write_text(report: &DrainReport, out: &mut dyn Write) -> io::Result<()> {
    match report {
        DrainReport::Draining { address, condition } => writeln!(
            out,
            "{address} accepts no new work; {} requests are running there, {} are queued",
            condition.running, condition.queued
        ),
        DrainReport::NoSuchNode { target, unreached } => {
            writeln!(out, "no node named {target} was reached")?;
            for node in unreached {
                writeln!(out, "not reached: {node}")?;
            }
            Ok(())
        }
        DrainReport::Failed { address, problem } => writeln!(out, "{address}: {problem}"),
    }
}
