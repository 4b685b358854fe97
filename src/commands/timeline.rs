//! `camphorturn timeline`: the events of all reachable nodes in causal order.

pub mod collect;
pub mod page;
pub mod selection;
pub mod text;

use crate::{
    commands::{
        mesh::{MeshSurvey, survey_nodes},
        status::judge_survey,
        timeline::{
            collect::Collector,
            page::write_page,
            selection::{EventSelection, event_selection},
            text::{write_event_json, write_event_line},
        },
    },
    events::view::EventView,
    options::{
        access::{AccessArguments, OperatorAccess, access_arguments},
        exit_code::ExitCode,
    },
    timers::TimerService,
    transport::operators::client::OperatorClient,
};
use bpaf::Bpaf;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
    time::Duration,
};

/// Time between two looks at the nodes with `--follow`.
const FOLLOW_PERIOD: Duration = Duration::from_millis(500);

/// Arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
pub struct TimelineArguments {
    /// How to reach the nodes.
    #[bpaf(external(access_arguments))]
    pub access: AccessArguments,
    /// Which events.
    #[bpaf(external(event_selection))]
    pub selection: EventSelection,
    /// Go on with new events until interrupted
    pub follow: bool,
    /// Print one JSON object a line in place of text
    pub json: bool,
    /// Write a page with a lane for each node to this file
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
}

/// Shows the time line.
///
/// # Errors
/// If `out` or the page can't be written to.
pub fn run_timeline(
    arguments: &TimelineArguments,
    access: &OperatorAccess,
    timers: &TimerService,
    out: &mut dyn Write,
) -> io::Result<ExitCode> {
    let client = OperatorClient::new(access);
    let mut survey = survey_nodes(&client, &access.nodes);
    let mut collector = Collector::new(client.clone(), &arguments.selection);
    let events = collect(&mut collector, &mut survey, &arguments.selection);
    write_unreached(&survey)?;
    write_dropped(&collector)?;
    if let Some(path) = &arguments.html {
        write_page_file(path, &events, &survey)?;
    } else {
        write_events(&events, arguments.json, out)?;
    }
    if arguments.follow {
        for _ in timers.every(FOLLOW_PERIOD) {
            survey = survey_nodes(&client, &access.nodes);
            let events = collect(&mut collector, &mut survey, &arguments.selection);
            write_events(&events, arguments.json, out)?;
        }
    }
    Ok(judge_survey(&survey))
}

fn collect(
    collector: &mut Collector,
    survey: &mut MeshSurvey,
    selection: &EventSelection,
) -> Vec<EventView> {
    let events = collector.collect(survey);
    selection.select(events)
}

fn write_events(events: &[EventView], json: bool, out: &mut dyn Write) -> io::Result<()> {
    for event in events {
        if json {
            write_event_json(event, out)?;
        } else {
            write_event_line(event, out)?;
        }
    }
    out.flush()
}

/// Names the nodes that are missing from the time line, apart from it, so that programs can read it.
///
/// # Errors
/// If standard error can't be written to.
pub fn write_unreached(survey: &MeshSurvey) -> io::Result<()> {
    let mut err = io::stderr().lock();
    for node in &survey.unreached {
        writeln!(err, "not reached: {}: {}", node.label(), node.problem)?;
    }
    Ok(())
}

fn write_dropped(collector: &Collector) -> io::Result<()> {
    if collector.dropped() == 0 {
        return Ok(());
    }
    let dropped = collector.dropped();
    writeln!(
        io::stderr().lock(),
        "nodes no longer hold {dropped} older events"
    )
}

fn write_page_file(path: &Path, events: &[EventView], survey: &MeshSurvey) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    write_page(events, survey, &mut file)?;
    file.flush()
}
