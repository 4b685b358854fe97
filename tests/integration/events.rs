//! Tests of the record of events.

use camphorturn::{
    events::{
        event::{CATALOGUE, CatalogueEntry, Event},
        reasons::Severity,
        recorder::{EventRecorder, RingSizes},
        stamp::{CausalClock, CausalStamp},
        view::{EventPage, EventQuery, EventView},
    },
    protocol::attempt::CallId,
    state::{member::Incarnation, names::NodeName},
    timers::TimerService,
};
use std::{collections::HashSet, fs, path::Path, time::Duration};
use uuid::Uuid;

const EVERYTHING: EventQuery = EventQuery {
    since: 0,
    call: None,
    severity: Severity::Debug,
    limit: usize::MAX,
};

fn new_recorder(node: &str, timers: &TimerService, sizes: RingSizes) -> EventRecorder {
    EventRecorder::new(NodeName::from(node), Incarnation(1), timers.clone(), sizes)
}

fn sequences(page: &EventPage) -> Vec<u64> {
    page.events.iter().map(|event| event.sequence).collect()
}

fn catalogue_row(entry: &CatalogueEntry) -> String {
    format!(
        "| {} | `{}` | {} | {} | {} |",
        entry.number,
        entry.name,
        entry.severity.as_str(),
        entry.meaning,
        entry.fields.join(", "),
    )
}

#[test]
fn catalogue_page_lists_every_event() {
    let page = include_str!("../../docs/EVENTS.md");
    // The lines of nodes on the platform have a table and a test of their own: `proxy_events`.
    let (events, _lines) = page
        .split_once("## Lines of nodes on the platform")
        .expect("both tables");
    let written: Vec<&str> = events
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
        .collect();
    let expected: Vec<String> = CATALOGUE.iter().map(catalogue_row).collect();
    assert_eq!(
        written,
        expected,
        "docs/EVENTS.md must list:\n{}",
        expected.join("\n")
    );
}

/// The text of all sources of the library but those that define, show or explain events.
fn read_recording_sources() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut left = vec![root.clone()];
    let mut text = String::new();
    while let Some(path) = left.pop() {
        if path.is_dir() && path != root.join("events") && path != root.join("commands") {
            let entries = fs::read_dir(&path).expect("a directory");
            left.extend(entries.map(|entry| entry.expect("an entry").path()));
        } else if path.is_file() {
            text += &fs::read_to_string(&path).expect("a source");
        }
    }
    text
}

/// `call_received` as the variant is written: `CallReceived`.
fn variant_of(name: &str) -> String {
    let words = name.split('_').map(|word| {
        let (first, rest) = word.split_at(1);
        first.to_uppercase() + rest
    });
    words.collect()
}

#[test]
fn catalogue_page_names_what_is_not_recorded() {
    let page = include_str!("../../docs/EVENTS.md");
    let (_, list) = page
        .split_once("No code records these yet:")
        .expect("a list");
    let (list, _) = list.split_once('.').expect("an end");
    let named: Vec<&str> = list.split('`').skip(1).step_by(2).collect();
    let sources = read_recording_sources();
    let is_recorded = |entry: &&CatalogueEntry| {
        let variant = format!("Event::{}", variant_of(entry.name));
        let mut places = sources.match_indices(&variant);
        places.any(|(at, _)| !sources[at + variant.len()..].starts_with(char::is_alphanumeric))
    };
    let missing = CATALOGUE.iter().filter(|entry| !is_recorded(entry));
    let missing: Vec<&str> = missing.map(|entry| entry.name).collect();
    let unnamed = missing.iter().filter(|name| !named.contains(name));
    let unnamed: Vec<&&str> = unnamed.collect();
    assert!(unnamed.is_empty(), "docs/EVENTS.md must list {unnamed:?}");
}

#[test]
fn catalogue_numbers_are_unique() {
    let numbers: HashSet<u16> = CATALOGUE.iter().map(|entry| entry.number).collect();
    let names: HashSet<&str> = CATALOGUE.iter().map(|entry| entry.name).collect();
    assert_eq!(
        (numbers.len(), names.len()),
        (CATALOGUE.len(), CATALOGUE.len())
    );
    assert!(CATALOGUE.is_sorted_by_key(|entry| entry.number));
}

#[test]
fn find_returns_only_what_matches() {
    let timers = TimerService::fake();
    let recorder = new_recorder("a", &timers, RingSizes::default());
    let call = CallId(Uuid::from_u128(7));
    recorder.record(Event::NodeStarted { upstream_slots: 6 }, None);
    recorder.record(
        Event::AttemptDispatched {
            attempt: 0,
            waited_micros: 5,
        },
        Some(call),
    );
    recorder.record(Event::LogUnavailable { failures: 3 }, None);
    assert_eq!(sequences(&recorder.find(&EVERYTHING)), [1, 2, 3]);
    let of_call = EventQuery {
        call: Some(call),
        ..EVERYTHING
    };
    assert_eq!(sequences(&recorder.find(&of_call)), [2]);
    let of_severity = EventQuery {
        severity: Severity::Error,
        ..EVERYTHING
    };
    assert_eq!(sequences(&recorder.find(&of_severity)), [3]);
    let first = recorder.find(&EventQuery {
        limit: 2,
        ..EVERYTHING
    });
    assert_eq!((first.next, first.more), (2, true));
    let second = recorder.find(&EventQuery {
        since: first.next,
        ..EVERYTHING
    });
    assert_eq!(
        (sequences(&second), second.next, second.more),
        (vec![3], 3, false)
    );
}

#[test]
fn record_keeps_rare_events_under_many_calls() {
    // Symptom: the time line of an incident an hour ago shows calls only, not the lost log.
    // Sequence: the log fails; thousands of calls follow; an operator asks for events.
    // Cause: steps of calls and all other events shared one ring.
    let timers = TimerService::fake();
    let recorder = new_recorder(
        "a",
        &timers,
        RingSizes {
            calls: 4,
            others: 4,
        },
    );
    recorder.record(Event::LogUnavailable { failures: 3 }, None);
    for attempt in 0..10 {
        recorder.record(
            Event::SettleAsked {
                attempt,
                upstream: NodeName::from("b"),
            },
            None,
        );
    }
    let page = recorder.find(&EVERYTHING);
    assert_eq!(sequences(&page), [1, 8, 9, 10, 11]);
    assert_eq!(page.dropped, 6);
}

#[test]
fn stamps_order_effects_after_causes_when_clocks_disagree() {
    // Symptom: the time line shows an attempt running at one node before another node sent it.
    // Sequence: node a, whose wall clock is an hour ahead, sends an attempt to node b.
    // Cause: events were ordered by wall clocks.
    let (ahead, behind) = (TimerService::fake(), TimerService::fake());
    ahead.advance(Duration::from_hours(1));
    let a = new_recorder("a", &ahead, RingSizes::default());
    let b = new_recorder("b", &behind, RingSizes::default());
    a.record(
        Event::SettleAsked {
            attempt: 0,
            upstream: NodeName::from("b"),
        },
        None,
    );
    b.observe(a.stamp());
    b.record(
        Event::AttemptDispatched {
            attempt: 0,
            waited_micros: 0,
        },
        None,
    );
    a.observe(b.stamp());
    a.record(Event::RequestRejected { status: 400 }, None);
    let (a, b) = (a.find(&EVERYTHING).events, b.find(&EVERYTHING).events);
    assert!(a[0].stamp < b[0].stamp && b[0].stamp < a[1].stamp);
    assert!(b[0].wall_millis < a[0].wall_millis);
}

#[test]
fn observe_leaves_out_a_broken_clock() {
    // Symptom: after one broken message no two events of the mesh have an order any more.
    // Sequence: a process with a wall clock years ahead sends its stamp.
    // Cause: the highest stamp was taken over without a bound, to the end of the range.
    let mut clock = CausalClock::default();
    let before = clock.advance(1_000);
    clock.observe(CausalStamp(u64::MAX), 1_000);
    assert!(clock.advance(1_000) > before);
    assert!(clock.current() < CausalStamp::at_millis(1_001));
}

#[test]
fn view_of_unknown_event_keeps_number_and_message() {
    // Symptom: `timeline` fails as a whole while nodes are being replaced by a newer version.
    // Sequence: a newer node records an event that the older tool has not heard of.
    // Cause: one event that can't be parsed made the whole page unreadable.
    let text = r#"{"node":"a","incarnation":1,"sequence":4,"stamp":9,"moment":3,"wall_millis":2,
        "number":199,"severity":"info","message":"new","event":{"name":"something_new","x":1}}"#;
    let view: EventView = serde_json::from_str(text).expect("readable");
    assert_eq!(
        (view.number, view.message.as_str(), view.event),
        (199, "new", None)
    );
}
