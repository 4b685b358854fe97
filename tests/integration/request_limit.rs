//! Request limits that upstreams name: reading them, and the pace that they set.

use bolero::check;
use camphorturn::{
    coordination::request_limit::RequestLimit,
    options::proxy_settings::HeaderNames,
    protocol::{
        hop::{AttemptOutcome, HopAnswer, HopRequest},
        limit_report::{UnreadableLimit, read_limit_report},
        outcome::RefusalReason,
    },
    state::{
        configuration::ConfigurationVersion,
        known_node::NodeLoad,
        request_rate::{LimitReport, RequestRate},
        timestamp::Timestamp,
    },
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::{net::SocketAddr, time::Duration};

const SECOND: Duration = Duration::from_secs(1);
const NAMED: LimitReport = LimitReport::Named(RequestRate(2_000));

const fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

/// Starts as many requests as permitted at one time, up to 100; returns their number.
fn start_all(limit: &mut RequestLimit, now: Timestamp) -> usize {
    let mut started = 0;
    while started < 100 && limit.wait(0, now).is_zero() {
        limit.record_start(now);
        started += 1;
    }
    started
}

#[test]
fn parse_decimal_numbers() {
    for (text, rate) in [
        ("3.3", Some(3_300)),
        (" 2 ", Some(2_000)),
        ("0", Some(0)),
        ("1e1", Some(10_000)),
        ("4/s", Some(4_000)),
        ("4;w=1", Some(4_000)),
        ("99999999999", Some(u32::MAX)),
        ("", None),
        ("-1", None),
        ("NaN", None),
        ("inf", None),
        ("few", None),
    ] {
        assert_eq!(RequestRate::parse(text), rate.map(RequestRate), "{text:?}");
    }
}

#[test]
fn read_limit_report_by_headers_and_status() {
    let names = HeaderNames::default_names();
    let [name, other_name] = &names.request_limit;
    let report = |values: &[(&HeaderName, &str)], status| {
        let mut headers = HeaderMap::new();
        headers.insert(&names.signature, HeaderValue::from_static("signed"));
        for (name, value) in values {
            let value = HeaderValue::from_str(value).expect("a valid value");
            headers.append(*name, value);
        }
        read_limit_report(&names, &headers, status)
    };
    let failed = StatusCode::INTERNAL_SERVER_ERROR;
    assert_eq!(report(&[(name, "2")], failed), Ok(NAMED));
    assert_eq!(report(&[(name, "9"), (other_name, "2")], failed), Ok(NAMED));
    assert_eq!(report(&[(name, "many"), (name, "2")], failed), Ok(NAMED));
    assert_eq!(
        report(&[(name, "many")], StatusCode::OK),
        Err(UnreadableLimit)
    );
    assert_eq!(report(&[], StatusCode::OK), Ok(LimitReport::NotNamed));
    assert_eq!(report(&[], failed), Ok(LimitReport::Unknown));
    assert_eq!(
        read_limit_report(&names, &HeaderMap::new(), StatusCode::OK),
        Ok(LimitReport::Unknown),
        "unsigned"
    );
    let replaced = StatusCode::MISDIRECTED_REQUEST;
    assert_eq!(report(&[], replaced), Ok(LimitReport::Unknown));
}

#[test]
fn wait_without_limit() {
    let mut limit = RequestLimit::default();
    assert_eq!(start_all(&mut limit, at(0)), 100);
    limit.record_report(LimitReport::NotNamed, at(0), at(10));
    assert!(limit.wait(50, at(10)).is_zero());
}

#[test]
fn wait_paces_starts() {
    let mut limit = RequestLimit::default();
    limit.record_report(NAMED, at(0), at(1_000));
    assert_eq!(limit.wait(0, at(1_000)), SECOND / 2);
    assert_eq!(limit.wait(2, at(1_000)), SECOND / 2 * 3);
    assert_eq!(start_all(&mut limit, at(1_499)), 0);
    assert_eq!(start_all(&mut limit, at(1_500)), 1);
    assert_eq!(start_all(&mut limit, at(10_000)), 1);
}

#[test]
fn wait_after_faster_limit() {
    let mut limit = RequestLimit::default();
    limit.record_report(LimitReport::Named(RequestRate(0)), at(0), at(0));
    assert_eq!(limit.wait(0, at(0)), 5 * SECOND);
    limit.record_report(LimitReport::Named(RequestRate(10_000)), at(0), at(100));
    assert_eq!(limit.wait(0, at(100)), SECOND / 10);
}

/// Failure: an answer that was sent before the upstream named its limit arrives late and ends the limit.
#[test]
fn record_report_of_overtaken_answer() {
    let mut limit = RequestLimit::default();
    limit.record_report(NAMED, at(100), at(300));
    limit.record_report(LimitReport::NotNamed, at(200), at(400));
    limit.record_report(LimitReport::Unknown, at(500), at(600));
    assert!(limit.rate().is_some());
    limit.record_report(LimitReport::NotNamed, at(300), at(700));
    assert_eq!(limit.rate(), None);
}

/// Failure: a limit that an entry node remembers holds although the upstream has ended it, or belongs to a former incarnation.
#[test]
fn record_remembered_until_first_answer() {
    let mut limit = RequestLimit::default();
    limit.record_remembered(RequestRate(2_000), at(0));
    assert_eq!(limit.rate(), Some(RequestRate(2_000)));
    limit.record_report(LimitReport::NotNamed, at(500), at(600));
    limit.record_remembered(RequestRate(2_000), at(700));
    assert_eq!(limit.rate(), None);
    limit.record_report(NAMED, at(800), at(900));
    limit.begin_incarnation();
    limit.record_remembered(RequestRate(2_000), at(1_000));
    assert_eq!(limit.rate(), None);
}

/// Failure: an upstream gets more within some four seconds than one and a half times its limit and 5 requests, however requests
/// arrive and the limit changes.
#[test]
fn starts_within_four_seconds() {
    let draw = (1_u32..20_000, 1_usize..200, 0_u64..40);
    check!()
        .with_generator(draw)
        .for_each(|&(thousandths, pause_ms, burst)| {
            let mut limit = RequestLimit::default();
            limit.record_report(LimitReport::Named(RequestRate(thousandths)), at(0), at(0));
            let mut starts = Vec::new();
            for now in (0..20_000).step_by(pause_ms) {
                for _ in 0..=burst {
                    if limit.wait(0, at(now)).is_zero() {
                        limit.record_start(at(now));
                        starts.push(now);
                    }
                }
                limit.record_report(
                    LimitReport::Named(RequestRate(thousandths)),
                    at(now),
                    at(now),
                );
            }
            let allowed = f64::from(thousandths) / 1_000.0 * 4.0 * 1.5 + 5.0;
            for (index, start) in starts.iter().enumerate() {
                let within = starts[index..].iter().take_while(|at| **at < start + 4_000);
                let within = u32::try_from(within.count()).expect("a small number");
                assert!(f64::from(within) <= allowed, "{within} of {allowed}");
            }
        });
}

fn build_hop(
    name: &str,
    request_limit: Option<RequestRate>,
    organisation: Option<&str>,
) -> HopRequest {
    HopRequest {
        service: name.into(),
        class: name.into(),
        caller: name.into(),
        time_left: SECOND,
        finish_within: Duration::ZERO,
        target_left: SECOND / 2,
        priority: 2,
        idempotent: true,
        is_retry: false,
        version: ConfigurationVersion(7),
        sender: SocketAddr::from(([10, 0, 0, 1], 80)),
        request_limit,
        organisation: organisation.map(Into::into),
        knows_ejection: request_limit.is_none(),
        ends_with_sender: request_limit.is_none(),
        has_fingerprint: organisation.is_some(),
    }
}

#[test]
fn hop_request_with_limit_and_organisation() {
    for limit in [None, Some(RequestRate(1_900))] {
        for organisation in [None, Some("a;b")] {
            let sent = build_hop("desk", limit, organisation);
            assert_eq!(HopRequest::decode(&sent.encode()), Some(sent));
        }
    }
}

/// Failure: a request is lost between two nodes, since a name can't be a part of the header or is read as several fields.
#[test]
fn hop_request_with_any_names() {
    check!()
        .with_type::<(String, String)>()
        .for_each(|(name, organisation)| {
            let sent = build_hop(name, None, Some(organisation));
            let header = HeaderValue::from_str(&sent.encode()).expect("a header value");
            let text = header.to_str().expect("visible characters");
            assert_eq!(HopRequest::decode(text), Some(sent));
        });
}

#[test]
fn hop_answer_with_limit() {
    for request_limit in [None, Some(RequestRate(1_900))] {
        let sent = HopAnswer {
            outcome: AttemptOutcome::Refused(RefusalReason::QueueFull),
            load: NodeLoad::default(),
            version: ConfigurationVersion(7),
            finish_or_wait: SECOND,
            request_limit,
        };
        assert_eq!(HopAnswer::decode(&sent.encode()), Some(sent));
    }
}
