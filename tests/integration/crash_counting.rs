//! Which requests crash upstreams: counting, the nodes that count, and the quarantine.

use bolero::check;
use camphorturn::{
    coordination::crash_counters::{CRASH_COUNTERS, order_crash_counters},
    protocol::{
        hop::{CrashFinding, StateMessage},
        store::{parse_quarantine_key, quarantine_key},
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

fn digest(number: u64) -> RequestFingerprint {
    RequestFingerprint::compute("GET", "shop.example", &format!("/look/{number}"), b"")
}

fn run(number: u8) -> IncarnationId {
    IncarnationId {
        instance: format!("i-{number}"),
        started_ms: Some(1_000 + u64::from(number)),
    }
}

#[test]
fn digest_tells_parts_apart() {
    let digests = [
        RequestFingerprint::compute("GET", "shop.example", "/look/1", b""),
        RequestFingerprint::compute("HEAD", "shop.example", "/look/1", b""),
        RequestFingerprint::compute("GET", "shop.exampl", "e/look/1", b""),
        RequestFingerprint::compute("GET", "shop.example", "/look/", b"1"),
        RequestFingerprint::compute("GET", "other.example", "/look/1", b""),
        RequestFingerprint::compute("GET", "shop.example", "/look/1?a", b""),
    ];
    assert_eq!(BTreeSet::from(digests).len(), digests.len());
}

#[test]
fn digest_survives_the_wire() {
    check!()
        .with_type::<(Vec<u8>, String)>()
        .for_each(|(body, target)| {
            let told = RequestFingerprint::compute("POST", "shop.example", target, body);
            let json = serde_json::to_string(&told).expect("a string");
            assert_eq!(
                serde_json::from_str::<RequestFingerprint>(&json).ok(),
                Some(told)
            );
        });
}

/// Keepers hear of one crash from several nodes, twice, late and in any order. Were one crash counted twice, a request that was at
/// two crashes would be refused; were one forgotten, one more upstream would be lost.
#[test]
fn crashes_count_once_in_any_order() {
    check!()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|steps: &Vec<(u8, bool)>| {
            let mut suspects = CrashCounts::default();
            let mut seen = BTreeSet::new();
            for (number, other) in steps {
                if *other {
                    suspects.record_crash(digest(2), run(*number), Timestamp(0));
                    continue;
                }
                seen.insert(*number);
                let crashes = suspects.record_crash(digest(1), run(*number), Timestamp(0));
                assert_eq!(crashes, seen.len());
            }
        });
}

#[test]
fn answered_request_counts_anew() {
    let mut suspects = CrashCounts::default();
    for number in 1..3 {
        suspects.record_crash(digest(1), run(number), Timestamp(0));
    }
    suspects.record_answer(digest(1));
    assert_eq!(suspects.record_crash(digest(1), run(3), Timestamp(0)), 1);
}

/// After its quarantine a request is let to upstreams again. If it still crashes them, the first one is enough.
#[test]
fn crashes_outlast_the_quarantine() {
    let mut suspects = CrashCounts::default();
    for number in 1..=3 {
        suspects.record_crash(digest(1), run(number), Timestamp(0));
    }
    let later = Timestamp(0) + QUARANTINE_DURATION + Duration::from_mins(1);
    assert!(suspects.record_crash(digest(1), run(4), later) > QUARANTINE_CRASH_THRESHOLD);
}

/// Upstreams that crash again and again, whatever they run, would fill the memory with what they ran.
#[test]
fn suspects_are_bounded() {
    let mut suspects = CrashCounts::default();
    for number in 0..20_000 {
        suspects.record_crash(digest(number), run(1), Timestamp(number));
    }
    // The oldest are forgotten, the newest known.
    assert_eq!(
        suspects.record_crash(digest(0), run(2), Timestamp(20_000)),
        1
    );
    assert_eq!(
        suspects.record_crash(digest(19_999), run(2), Timestamp(20_001)),
        2
    );
}

#[test]
fn quarantine_ends_by_itself() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.insert(digest(1), QuarantineSource::Reported, Timestamp(0)));
    assert!(!quarantine.insert(digest(1), QuarantineSource::Reported, Timestamp(1)));
    let nearly = Timestamp(0) + QUARANTINE_DURATION - Duration::from_secs(1);
    assert_eq!(
        quarantine.time_left(digest(1), nearly),
        Some(Duration::from_secs(1))
    );
    assert_eq!(
        quarantine.time_left(digest(1), Timestamp(0) + QUARANTINE_DURATION),
        None
    );
    assert_eq!(quarantine.time_left(digest(2), nearly), None);
}

/// A node heard that a request does no harm, and right after it the older word that it does, by another way. It refused the request
/// for a quarter of an hour, while all others served it.
#[test]
fn late_word_does_not_undo_a_lift() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.lift(digest(1), Timestamp(0)), None);
    let soon = Timestamp(0) + Duration::from_secs(2);
    assert!(!quarantine.insert(digest(1), QuarantineSource::Reported, soon));
    assert_eq!(quarantine.time_left(digest(1), soon), None);
    // What this node has counted itself since then is no late word.
    assert!(quarantine.insert(digest(1), QuarantineSource::Counted, soon));
}

#[test]
fn lift_tells_who_had_found_out() {
    let mut quarantine = Quarantine::default();
    quarantine.insert(digest(1), QuarantineSource::Reported, Timestamp(0));
    quarantine.insert(digest(2), QuarantineSource::Counted, Timestamp(0));
    assert_eq!(quarantine.len(Timestamp(1)), 2);
    let now = Timestamp(2);
    assert_eq!(
        quarantine.lift(digest(1), now),
        Some(QuarantineSource::Reported)
    );
    assert_eq!(
        quarantine.lift(digest(2), now),
        Some(QuarantineSource::Counted)
    );
    assert_eq!(quarantine.lift(digest(2), now), None);
}

#[test]
fn quarantine_keys_are_no_nodes() {
    assert_eq!(
        parse_quarantine_key(&quarantine_key(digest(1))),
        Some(digest(1))
    );
    for key in ["10.1.0.6", "n1", "quarantine/", "quarantine/xyz"] {
        assert_eq!(parse_quarantine_key(key), None, "{key}");
    }
}

#[test]
fn answered_requests_are_those_of_one_run() {
    let mut answered = AnsweredRequests::default();
    answered.insert(&run(1), digest(1));
    assert!(answered.contains(&run(1), digest(1)));
    assert!(!answered.contains(&run(2), digest(1)));
    answered.insert(&run(2), digest(2));
    assert!(!answered.contains(&run(1), digest(1)));
    for number in 10..2_000 {
        answered.insert(&run(2), digest(number));
    }
    assert!(!answered.contains(&run(2), digest(2)));
    assert!(answered.contains(&run(2), digest(1_999)));
}

/// Two nodes that see a crash under the same request each, and know different nodes, must tell one in common: else none hears of both.
#[test]
fn keepers_of_different_views_overlap() {
    check!()
        .with_type::<(u64, u8, u8, u8)>()
        .for_each(|(number, size, one, other)| {
            let size = u16::from(*size % 60) + 6;
            let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
            let without = |left_out: u8| {
                let left_out = u16::from(left_out) % size;
                let nodes = (0..size).filter(|port| *port != left_out).map(address);
                order_crash_counters(digest(*number), nodes)
            };
            let (first, second) = (without(*one), without(*other));
            let first: BTreeSet<_> = first.iter().take(CRASH_COUNTERS).collect();
            let second: BTreeSet<_> = second.iter().take(CRASH_COUNTERS).collect();
            assert!(first.intersection(&second).count() >= CRASH_COUNTERS - 1);
        });
}

#[test]
fn keepers_are_spread_over_nodes() {
    const NODES: u16 = 30;
    let mut counts = vec![0; usize::from(NODES)];
    for number in 0..3_000 {
        let nodes = (0..NODES).map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
        for keeper in order_crash_counters(digest(number), nodes)
            .iter()
            .take(CRASH_COUNTERS)
        {
            counts[usize::from(keeper.port())] += 1;
        }
    }
    // 300 each on average.
    assert!(
        counts.iter().all(|count| (200..400).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn findings_survive_the_wire() {
    let findings = [
        CrashFinding::Crashed {
            fingerprint: digest(1),
            incarnation: run(1),
        },
        CrashFinding::Quarantined(digest(1)),
        CrashFinding::Answered(digest(1)),
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
