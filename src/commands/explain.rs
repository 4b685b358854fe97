//! `camphorturn explain`: what became of one call and why, in sentences.

pub mod account;
pub mod sentences;

use crate::{
    commands::{
        explain::account::{CallAccount, give_account},
        mesh::survey_nodes,
        status::judge_survey,
        timeline::{collect::Collector, selection::EventSelection, write_unreached},
    },
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    transport::operators::client::OperatorClient,
};
use bpaf::Bpaf;
use std::io::{self, Write};
use uuid::Uuid;

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct ExplainArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Print one JSON object in place of sentences
    pub json: bool,
    /// The call, as in the header camphorturn-call of its answer
    #[bpaf(positional("CALL_ID"))]
    pub call: Uuid,
}

/// Tells what became of a call.
///
/// # Errors
/// If `out` can't be written to.
pub fn run_explain(
    arguments: &ExplainArguments,
    access: &OperatorAccess,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let client = OperatorClient::new(access);
    let mut survey = survey_nodes(&client, &access.nodes);
    let selection = EventSelection {
        call: Some(arguments.call),
        ..EventSelection::default()
    };
    let mut collector = Collector::new(client, &selection);
    let events = collector.collect(&mut survey);
    let account = give_account(&events);
    write_unreached(&survey)?;
    if arguments.json {
        serde_json::to_writer_pretty(&mut *out, &account)?;
        writeln!(out)?;
    } else {
        write_account(&account, out)?;
    }
    let judged = judge_survey(&survey);
    let unknown = account.steps.is_empty() && judged == ExitCode::Success;
    Ok(if unknown { ExitCode::Failed } else { judged })
}

fn write_account(account: &CallAccount, out: &mut dyn Write) -> io::Result<()> {
    for sentence in account.answers.iter().chain(&account.steps) {
        writeln!(out, "{sentence}")?;
    }
    if account.steps.is_empty() {
        writeln!(out, "No reached node holds events of this call.")?;
        writeln!(
            out,
            "It may be older than what nodes keep, or its node was restarted."
        )?;
    }
    Ok(())
}
