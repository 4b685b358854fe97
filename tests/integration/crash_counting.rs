//! Requests that crash upstreams: crash counts, the nodes that count, and the quarantine.

use bolero::check;
use camphorturn::{
    coordination::crash_counters::{CRASH_COUNTERS, order_crash_counters},
    protocol::{
        hop::{CrashFinding, StateMessage},
        store::{build_quarantine_key, parse_quarantine_key},
    },
    state::{
        answered_requests::AnsweredRequests,
        crash_counts::{CrashCounts, QUARANTINE_CRASH_THRESHOLD},
        incarnation_id::IncarnationId,
        quarantine::{QUARANTINE_DURATION, Quarantine, QuarantineSource},
        request_fingerprint::RequestFingerprint,
        timestamp::Timestamp,
    },
};
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

fn fingerprint(number: u64) -> RequestFingerprint {
    RequestFingerprint::compute("GET", "shop.example", &format!("/look/{number}"), b"")
}

fn incarnation(number: u8) -> IncarnationId {
    IncarnationId {
        instance: format!("i-{number}"),
        started_ms: Some(1_000 + u64::from(number)),
    }
}

#[test]
fn fingerprint_separates_request_parts() {
    let fingerprints = [
        RequestFingerprint::compute("GET", "shop.example", "/look/1", b""),
        RequestFingerprint::compute("HEAD", "shop.example", "/look/1", b""),
        RequestFingerprint::compute("GET", "shop.exampl", "e/look/1", b""),
        RequestFingerprint::compute("GET", "shop.example", "/look/", b"1"),
        RequestFingerprint::compute("GET", "other.example", "/look/1", b""),
        RequestFingerprint::compute("GET", "shop.example", "/look/1?a", b""),
    ];
    assert_eq!(BTreeSet::from(fingerprints).len(), fingerprints.len());
}

#[test]
fn fingerprint_json_round_trip() {
    check!()
        .with_type::<(Vec<u8>, String)>()
        .for_each(|(body, target)| {
            let fingerprint = RequestFingerprint::compute("POST", "shop.example", target, body);
            let json = serde_json::to_string(&fingerprint).expect("a string");
            assert_eq!(
                serde_json::from_str::<RequestFingerprint>(&json).ok(),
                Some(fingerprint)
            );
        });
}

/// Crash counters receive reports of one crash from several nodes, twice, late and in any order. If a crash were counted twice, a
/// request that was running at two crashes would be quarantined. If one were lost, one more upstream would crash.
#[test]
fn record_crash_counts_each_incarnation_once() {
    check!()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|steps: &Vec<(u8, bool)>| {
            let mut crashes = CrashCounts::default();
            let mut seen = BTreeSet::new();
            for (number, other) in steps {
                if *other {
                    crashes.record_crash(fingerprint(2), incarnation(*number), Timestamp(0));
                    continue;
                }
                seen.insert(*number);
                let count =
                    crashes.record_crash(fingerprint(1), incarnation(*number), Timestamp(0));
                assert_eq!(count, seen.len());
            }
        });
}

#[test]
fn record_answer_resets_count() {
    let mut crashes = CrashCounts::default();
    for number in 1..3 {
        crashes.record_crash(fingerprint(1), incarnation(number), Timestamp(0));
    }
    crashes.record_answer(fingerprint(1));
    assert_eq!(
        crashes.record_crash(fingerprint(1), incarnation(3), Timestamp(0)),
        1
    );
}

/// After its quarantine, a request is sent to upstreams again. If it still crashes them, a single crash is enough to quarantine it
/// again.
#[test]
fn record_crash_after_quarantine_keeps_count() {
    let mut crashes = CrashCounts::default();
    for number in 1..=3 {
        crashes.record_crash(fingerprint(1), incarnation(number), Timestamp(0));
    }
    let later = Timestamp(0) + QUARANTINE_DURATION + Duration::from_mins(1);
    assert!(
        crashes.record_crash(fingerprint(1), incarnation(4), later) > QUARANTINE_CRASH_THRESHOLD
    );
}

/// Failure: upstreams that keep crashing, whatever they run, exhaust the memory with the crashes of their requests.
#[test]
fn record_crash_limits_requests() {
    let mut crashes = CrashCounts::default();
    for number in 0..20_000 {
        crashes.record_crash(fingerprint(number), incarnation(1), Timestamp(number));
    }
    // The oldest requests are removed, the latest are kept.
    assert_eq!(
        crashes.record_crash(fingerprint(0), incarnation(2), Timestamp(20_000)),
        1
    );
    assert_eq!(
        crashes.record_crash(fingerprint(19_999), incarnation(2), Timestamp(20_001)),
        2
    );
}

#[test]
fn quarantine_expires() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.insert(fingerprint(1), QuarantineSource::Reported, Timestamp(0)));
    assert!(!quarantine.insert(fingerprint(1), QuarantineSource::Reported, Timestamp(1)));
    let shortly_before_end = Timestamp(0) + QUARANTINE_DURATION - Duration::from_secs(1);
    assert_eq!(
        quarantine.time_left(fingerprint(1), shortly_before_end),
        Some(Duration::from_secs(1))
    );
    assert_eq!(
        quarantine.time_left(fingerprint(1), Timestamp(0) + QUARANTINE_DURATION),
        None
    );
    assert_eq!(
        quarantine.time_left(fingerprint(2), shortly_before_end),
        None
    );
}

/// Failure: a node learns that an upstream answered a request and lifts its quarantine. Right after it, an older report of the
/// quarantine arrives on another path, and the node refuses the request for 15 minutes while all other nodes serve it.
#[test]
fn insert_reported_after_lift() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.lift(fingerprint(1), Timestamp(0)), None);
    let soon = Timestamp(0) + Duration::from_secs(2);
    assert!(!quarantine.insert(fingerprint(1), QuarantineSource::Reported, soon));
    assert_eq!(quarantine.time_left(fingerprint(1), soon), None);
    // A quarantine by the count of this node itself is not a late report.
    assert!(quarantine.insert(fingerprint(1), QuarantineSource::Counted, soon));
}

#[test]
fn lift_returns_source() {
    let mut quarantine = Quarantine::default();
    quarantine.insert(fingerprint(1), QuarantineSource::Reported, Timestamp(0));
    quarantine.insert(fingerprint(2), QuarantineSource::Counted, Timestamp(0));
    assert_eq!(quarantine.len(Timestamp(1)), 2);
    let now = Timestamp(2);
    assert_eq!(
        quarantine.lift(fingerprint(1), now),
        Some(QuarantineSource::Reported)
    );
    assert_eq!(
        quarantine.lift(fingerprint(2), now),
        Some(QuarantineSource::Counted)
    );
    assert_eq!(quarantine.lift(fingerprint(2), now), None);
}

#[test]
fn parse_quarantine_key_rejects_node_keys() {
    assert_eq!(
        parse_quarantine_key(&build_quarantine_key(fingerprint(1))),
        Some(fingerprint(1))
    );
    for key in ["10.1.0.6", "n1", "quarantine/", "quarantine/xyz"] {
        assert_eq!(parse_quarantine_key(key), None, "{key}");
    }
}

#[test]
fn answered_requests_of_one_incarnation() {
    let mut answered = AnsweredRequests::default();
    answered.insert(&incarnation(1), fingerprint(1));
    assert!(answered.contains(&incarnation(1), fingerprint(1)));
    assert!(!answered.contains(&incarnation(2), fingerprint(1)));
    answered.insert(&incarnation(2), fingerprint(2));
    assert!(!answered.contains(&incarnation(1), fingerprint(1)));
    for number in 10..2_000 {
        answered.insert(&incarnation(2), fingerprint(number));
    }
    assert!(!answered.contains(&incarnation(2), fingerprint(2)));
    assert!(answered.contains(&incarnation(2), fingerprint(1_999)));
}

/// Two nodes that each observe a crash with the same request, and know different nodes, must report to a common crash counter.
/// Otherwise no node learns of both crashes.
#[test]
fn order_crash_counters_overlap_between_nodes() {
    check!()
        .with_type::<(u64, u8, u8, u8)>()
        .for_each(|(number, size, one, other)| {
            let size = u16::from(*size % 60) + 6;
            let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
            let without = |left_out: u8| {
                let left_out = u16::from(left_out) % size;
                let nodes = (0..size).filter(|port| *port != left_out).map(address);
                order_crash_counters(fingerprint(*number), nodes)
            };
            let (first, second) = (without(*one), without(*other));
            let first: BTreeSet<_> = first.iter().take(CRASH_COUNTERS).collect();
            let second: BTreeSet<_> = second.iter().take(CRASH_COUNTERS).collect();
            assert!(first.intersection(&second).count() >= CRASH_COUNTERS - 1);
        });
}

#[test]
fn order_crash_counters_spread_over_nodes() {
    const NODES: u16 = 30;
    let mut counts = vec![0; usize::from(NODES)];
    for number in 0..3_000 {
        let nodes = (0..NODES).map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
        for counter in order_crash_counters(fingerprint(number), nodes)
            .iter()
            .take(CRASH_COUNTERS)
        {
            counts[usize::from(counter.port())] += 1;
        }
    }
    // 300 each on average.
    assert!(
        counts.iter().all(|count| (200..400).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn crash_finding_json_round_trip() {
    let findings = [
        CrashFinding::Crashed {
            fingerprint: fingerprint(1),
            incarnation: incarnation(1),
        },
        CrashFinding::Quarantined(fingerprint(1)),
        CrashFinding::Answered(fingerprint(1)),
    ];
    for finding in findings {
        let message = StateMessage {
            finding: Some(Rc::new(finding)),
            ..StateMessage::default()
        };
        let json = serde_json::to_vec(&message).expect("JSON");
        let read: StateMessage = serde_json::from_slice(&json).expect("a message");
        assert_eq!(read, message);
    }
}
