//! Compares the list of events in `docs/EVENTS.md` with the events in the code.

const PAGE: &str = include_str!("../../docs/EVENTS.md");
const SOURCE: &str = include_str!("../../src/proxy/events/catalogue.rs");

/// Reads the numbers and names of all events from the source, where they stand as `(801, "request_ended")`.
fn read_source() -> Vec<(u16, String)> {
    let found = SOURCE.split("=> (").skip(1).filter_map(|rest| {
        let (number, rest) = rest.split_once(", \"")?;
        let (name, _) = rest.split_once('"')?;
        Some((number.parse().ok()?, name.to_owned()))
    });
    found.collect()
}

#[test]
fn events_page_lists_every_event() {
    let events = read_source();
    assert!(events.len() > 20, "the source was not understood");
    for (number, name) in &events {
        let row = format!("| {number} | `{name}` |");
        assert!(PAGE.contains(&row), "missing in the page: {row}");
    }
    let rows = PAGE.lines().filter(|line| line.starts_with("| 8")).count();
    assert_eq!(rows, events.len(), "the page has rows without an event");
}

#[test]
fn numbers_are_unique() {
    let mut numbers: Vec<u16> = read_source()
        .into_iter()
        .map(|(number, _)| number)
        .collect();
    let all = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), all);
}
