//! Writes the timeline as one HTML page without external resources.

use crate::{
    commands::timeline::text::format_time_of_day,
    log_reading::{
        description::{NodeNames, describe_line},
        order::TimedLine,
    },
};
use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    io::{self, Write},
};

/// Maximum number of events in the diagram; the table below it lists all events.
const MAX_DIAGRAM_EVENTS: usize = 2_000;
/// Width of the column of names, in pixels.
const NAMES_WIDTH_PX: usize = 150;
/// Horizontal distance between two events, in pixels.
const EVENT_DISTANCE_PX: usize = 16;
/// Height of a lane, in pixels.
const LANE_HEIGHT_PX: usize = 30;
/// Number of events between two time labels.
const EVENTS_PER_LABEL: usize = 10;

const STYLE: &str = "body{font:14px sans-serif;margin:1em}div{overflow-x:auto}\
table{border-collapse:collapse;margin-top:1em}td,th{padding:2px 8px;text-align:left;\
border-bottom:1px solid #ddd;vertical-align:top}.usual{fill:#27c}.telling{fill:#d22}\
svg text{font:11px sans-serif}tr.telling{background:#fdd}";

/// Text that is displayed with HTML escapes.
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

/// Coordinates in the diagram, in pixels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Point {
    x: usize,
    y: usize,
}

/// Writes the page. The lines must be in causal order.
///
/// # Errors
/// If `out` can't be written to.
pub fn write_page(
    lines: &[TimedLine],
    names: &NodeNames,
    unreached: &[String],
    out: &mut dyn Write,
) -> io::Result<()> {
    writeln!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
    )?;
    writeln!(
        out,
        "<title>camphorturn timeline</title><style>{STYLE}</style>"
    )?;
    writeln!(
        out,
        "<h1>Timeline</h1><p>{} lines in causal order; times on one clock, in UTC.</p>",
        lines.len()
    )?;
    for problem in unreached {
        writeln!(out, "<p>Not reached: {}</p>", Escaped(problem))?;
    }
    write_diagram(lines, names, out)?;
    write_table(lines, names, out)
}

fn write_diagram(events: &[TimedLine], names: &NodeNames, out: &mut dyn Write) -> io::Result<()> {
    // The latest events, since operators usually look for what has just happened.
    let events = &events[events.len().saturating_sub(MAX_DIAGRAM_EVENTS)..];
    let nodes: BTreeSet<&str> = events
        .iter()
        .map(|event| event.line.node.as_str())
        .collect();
    let lanes: HashMap<&str, usize> = nodes
        .iter()
        .zip(0..)
        .map(|(node, lane)| (*node, lane))
        .collect();
    let width = NAMES_WIDTH_PX + (events.len() + 6) * EVENT_DISTANCE_PX;
    let height = (nodes.len() + 1) * LANE_HEIGHT_PX;
    writeln!(
        out,
        "<div><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">"
    )?;
    for (lane, node) in nodes.iter().enumerate() {
        let y = compute_lane_y(lane);
        writeln!(
            out,
            "<text x=\"4\" y=\"{}\">{}</text>",
            y + 4,
            Escaped(node)
        )?;
        writeln!(
            out,
            "<line x1=\"{NAMES_WIDTH_PX}\" y1=\"{y}\" x2=\"{width}\" y2=\"{y}\" stroke=\"#ccc\"/>"
        )?;
    }
    write_marks(events, &lanes, names, out)?;
    writeln!(out, "</svg></div>")
}

const fn compute_lane_y(lane: usize) -> usize {
    (lane + 1) * LANE_HEIGHT_PX
}

fn write_marks(
    events: &[TimedLine],
    lanes: &HashMap<&str, usize>,
    names: &NodeNames,
    out: &mut dyn Write,
) -> io::Result<()> {
    let mut last: HashMap<&str, Point> = HashMap::new();
    for (number, event) in events.iter().enumerate() {
        let lane = lanes
            .get(event.line.node.as_str())
            .copied()
            .unwrap_or_default();
        let point = Point {
            x: NAMES_WIDTH_PX + (number + 1) * EVENT_DISTANCE_PX,
            y: compute_lane_y(lane),
        };
        if number % EVENTS_PER_LABEL == 0 {
            let time = format_time_of_day(event.at_ms);
            writeln!(out, "<text x=\"{}\" y=\"12\">{time}</text>", point.x)?;
        }
        let request = event.line.request();
        let before = request.and_then(|request| last.insert(request, point));
        if let Some(before) = before.filter(|before| before.y != point.y) {
            write_arrow(before, point, out)?;
        }
        write_mark(event, point, names, out)?;
    }
    Ok(())
}

/// Draws a line from a request's event at one node to its next event at another node.
fn write_arrow(from: Point, to: Point, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#9ac\"/>",
        from.x, from.y, to.x, to.y
    )
}

fn write_mark(
    timed: &TimedLine,
    point: Point,
    names: &NodeNames,
    out: &mut dyn Write,
) -> io::Result<()> {
    let line = &timed.line;
    writeln!(
        out,
        "<circle cx=\"{}\" cy=\"{}\" r=\"{}\" class=\"{}\"><title>{} {}: {}</title></circle>",
        point.x,
        point.y,
        if line.important { 6 } else { 4 },
        choose_css_class(timed),
        line.number,
        Escaped(line.node.as_str()),
        Escaped(&describe_line(line, names)),
    )
}

fn choose_css_class(timed: &TimedLine) -> &'static str {
    if timed.line.important {
        "telling"
    } else {
        "usual"
    }
}

fn write_table(lines: &[TimedLine], names: &NodeNames, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "<table><tr><th>Time<th>Node<th>Number<th>Event<th>Request</tr>"
    )?;
    for timed in lines {
        let line = &timed.line;
        writeln!(
            out,
            "<tr class=\"{}\"><td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            choose_css_class(timed),
            format_time_of_day(timed.at_ms),
            Escaped(line.node.as_str()),
            line.number,
            Escaped(&describe_line(line, names)),
            Escaped(line.request().unwrap_or_default()),
        )?;
    }
    writeln!(out, "</table></html>")
}
