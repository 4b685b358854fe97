//! What choosing an upstream costs the entry node.

use crate::{memory::float, samples::new_member};
use camphorturn::{
    coordination::routing::{AttemptEnd, AttemptEndKind, Router, RouterSettings, UpstreamFacts},
    protocol::load_report::{LoadReport, UpstreamCondition},
    state::{
        configuration::{MeasuringBudget, PolicyName},
        moment::Moment,
        names::{AvailabilityZoneName, RegionName},
    },
};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Choices that are timed.
const CHOICES: usize = 100_000;

/// Cost of a choice among so many upstreams.
#[derive(Debug, Serialize)]
pub struct ChoiceCost {
    upstreams: usize,
    /// Choice, note of the start and note of the end of one call.
    nanos_per_call: f64,
}

/// Measures for so many upstreams.
pub fn measure(upstreams: usize) -> ChoiceCost {
    let mut now = Moment::default();
    let mut router = new_router(upstreams, now);
    let end = AttemptEnd {
        took: Duration::from_millis(5),
        kind: AttemptEndKind::Answered {
            server_error: false,
        },
    };
    let report = LoadReport {
        running: 2,
        limit: 6,
        latency_micros: 5_000,
        condition: UpstreamCondition::Serving,
        ..LoadReport::default()
    };
    let start = Instant::now();
    for _ in 0..CHOICES {
        now = now + Duration::from_millis(1);
        let chosen = router.choose(&[], now).expect("upstreams serve");
        router.record_started(&chosen, now);
        router.record_ended(&chosen, end, Some(report), now);
    }
    ChoiceCost {
        upstreams,
        nanos_per_call: start.elapsed().as_secs_f64() * 1e9 / float(CHOICES),
    }
}

fn new_router(upstreams: usize, now: Moment) -> Router {
    let settings = RouterSettings {
        policy: PolicyName::default(),
        availability_zone: AvailabilityZoneName::from("yxe-a"),
        region: RegionName::from("prairie-west"),
        measuring: MeasuringBudget::default(),
        target: Duration::from_millis(100),
    };
    let mut router = Router::new(settings, 1);
    for number in 0..upstreams {
        // Even numbers are of one region.
        let member = new_member(2 * number);
        let facts = UpstreamFacts {
            node: member.name,
            availability_zone: member.availability_zone,
            region: member.region,
            slots: member.slots,
            condition: UpstreamCondition::Serving,
            incarnation: member.incarnation,
        };
        router.upsert_upstream(facts, now);
    }
    router
}
