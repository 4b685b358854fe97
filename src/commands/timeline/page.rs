//! The time line as one HTML page that needs nothing besides itself.

use crate::{
    commands::{mesh::MeshSurvey, timeline::text::format_time_of_day},
    events::{reasons::Severity, view::EventView},
    protocol::attempt::CallId,
};
use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    io::{self, Write},
};

/// Events in the picture; the table below it has all of them.
const PICTURE_LIMIT: usize = 2_000;
/// Width of the column of names, in pixels.
const NAMES_WIDTH: usize = 150;
/// Distance between two events, in pixels.
const STEP: usize = 16;
/// Height of a lane, in pixels.
const LANE: usize = 30;
/// Events between two labels of the time.
const LABEL_EVERY: usize = 10;

const STYLE: &str = "body{font:14px sans-serif;margin:1em}div{overflow-x:auto}\
table{border-collapse:collapse;margin-top:1em}td,th{padding:2px 8px;text-align:left;\
border-bottom:1px solid #ddd;vertical-align:top}.debug{fill:#888}.info{fill:#27c}\
.warning{fill:#e90}.error{fill:#d22}svg text{font:11px sans-serif}tr.warning{background:#fff3dd}\
tr.error{background:#fdd}";

/// Text within HTML.
struct Escaped<'a>(&'a str);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for letter in self.0.chars() {
            match letter {
                '&' => f.write_str("&amp;")?,
                '<' => f.write_str("&lt;")?,
                '>' => f.write_str("&gt;")?,
                '"' => f.write_str("&quot;")?,
                _ => fmt::Write::write_char(f, letter)?,
            }
        }
        Ok(())
    }
}

/// A place in the picture, in pixels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    x: usize,
    y: usize,
}

/// Writes the page. Events must be in causal order already.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_page(
    events: &[EventView],
    survey: &MeshSurvey,
    out: &mut dyn Write,
) -> io::Result<()> {
    writeln!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
    )?;
    writeln!(
        out,
        "<title>camphorturn time line</title><style>{STYLE}</style>"
    )?;
    writeln!(
        out,
        "<h1>Time line</h1><p>{} events in causal order; times are each node's own, in UTC.</p>",
        events.len()
    )?;
    for node in &survey.unreached {
        let (label, problem) = (node.label(), &node.problem);
        writeln!(
            out,
            "<p>Not reached: {}: {}</p>",
            Escaped(&label),
            Escaped(problem)
        )?;
    }
    write_picture(events, out)?;
    write_table(events, out)
}

fn write_picture(events: &[EventView], out: &mut dyn Write) -> io::Result<()> {
    // The latest ones: an operator looks for what has just happened.
    let events = &events[events.len().saturating_sub(PICTURE_LIMIT)..];
    let nodes: BTreeSet<&str> = events.iter().map(|event| event.node.as_str()).collect();
    let lanes: HashMap<&str, usize> = nodes
        .iter()
        .zip(0..)
        .map(|(node, lane)| (*node, lane))
        .collect();
    let width = NAMES_WIDTH + (events.len() + 6) * STEP;
    let height = (nodes.len() + 1) * LANE;
    writeln!(
        out,
        "<div><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">"
    )?;
    for (lane, node) in nodes.iter().enumerate() {
        let y = place_lane(lane);
        writeln!(
            out,
            "<text x=\"4\" y=\"{}\">{}</text>",
            y + 4,
            Escaped(node)
        )?;
        writeln!(
            out,
            "<line x1=\"{NAMES_WIDTH}\" y1=\"{y}\" x2=\"{width}\" y2=\"{y}\" stroke=\"#ccc\"/>"
        )?;
    }
    write_marks(events, &lanes, out)?;
    writeln!(out, "</svg></div>")
}

const fn place_lane(lane: usize) -> usize {
    (lane + 1) * LANE
}

fn write_marks(
    events: &[EventView],
    lanes: &HashMap<&str, usize>,
    out: &mut dyn Write,
) -> io::Result<()> {
    let mut last: HashMap<CallId, Place> = HashMap::new();
    for (number, event) in events.iter().enumerate() {
        let lane = lanes.get(event.node.as_str()).copied().unwrap_or_default();
        let place = Place {
            x: NAMES_WIDTH + (number + 1) * STEP,
            y: place_lane(lane),
        };
        if number % LABEL_EVERY == 0 {
            let time = format_time_of_day(event.wall_millis);
            writeln!(out, "<text x=\"{}\" y=\"12\">{time}</text>", place.x)?;
        }
        let before = event.call.and_then(|call| last.insert(call, place));
        if let Some(before) = before.filter(|before| before.y != place.y) {
            write_arrow(before, place, out)?;
        }
        write_mark(event, place, out)?;
    }
    Ok(())
}

/// A line from one node's step of a call to the next step at another node.
fn write_arrow(from: Place, to: Place, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#9ac\"/>",
        from.x, from.y, to.x, to.y
    )
}

fn write_mark(event: &EventView, place: Place, out: &mut dyn Write) -> io::Result<()> {
    let radius = if event.severity >= Severity::Warning {
        6
    } else {
        4
    };
    writeln!(
        out,
        "<circle cx=\"{}\" cy=\"{}\" r=\"{radius}\" class=\"{}\"><title>{} {}: {}</title></circle>",
        place.x,
        place.y,
        event.severity.as_str(),
        event.number,
        Escaped(event.node.as_str()),
        Escaped(&event.message),
    )
}

fn write_table(events: &[EventView], out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "<table><tr><th>Time<th>Node<th>Number<th>Event<th>Call</tr>"
    )?;
    for event in events {
        let call = event.call.map(|call| call.to_string()).unwrap_or_default();
        writeln!(
            out,
            "<tr class=\"{}\"><td>{}<td>{}<td>{}<td>{}<td>{call}</tr>",
            event.severity.as_str(),
            format_time_of_day(event.wall_millis),
            Escaped(event.node.as_str()),
            event.number,
            Escaped(&event.message),
        )?;
    }
    writeln!(out, "</table></html>")
}
