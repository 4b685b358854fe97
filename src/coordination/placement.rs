//! In which order an entry node asks the nodes of a service for a slot.
//!
//! What it knows of them is old: load changes within milliseconds. So it asks for a slot at once or
//! none; a refusal takes a message each way and settles that nothing ran. Only a request that found
//! no slot anywhere waits, at the node with the shortest wait.

use crate::state::{
    ablation::Mechanism,
    known_node::KnownNode,
    names::{AvailabilityZoneName, ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{net::SocketAddr, time::Duration};

/// Age at which a told load says nothing any more.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);

/// Cost of an upstream where all requests fail beyond the usual, added to 1.
const FAILURE_COST: f64 = 8.0;

/// Silence of a node from which asking it costs more, and the silence that doubles its cost: one that stands
/// still is asked last before anybody has given up on it.
const SILENCE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(100));

/// A node that may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// It is in the availability zone of the entry node.
    pub in_local_zone: bool,
    /// Expected load as a share of its limit, the request included; lower is better.
    pub cost: f64,
    /// Time in which a request of the class would end there, if the node said so a moment ago when it had no slot.
    pub reported_finish: Option<Duration>,
}

/// The nodes of a service, the ones to ask first in front. `chance` (0 up to 1) gives the start
/// among equal ones, so that entry nodes with the same knowledge don't ask the same node.
#[must_use]
pub fn order_candidates<'a>(
    views: impl Iterator<Item = &'a KnownNode> + Clone,
    (service, class): (&ServiceName, &ClassName),
    zone: &AvailabilityZoneName,
    mut chance: impl FnMut() -> f64,
    now: Timestamp,
) -> Vec<PlacementCandidate> {
    let of_service = views.clone().filter(|view| view.record.service == *service);
    let usual_failures = find_usual_failures(of_service);
    let mut candidates: Vec<(PlacementCandidate, f64)> = views
        .filter(|view| view.record.service == *service && !view.record.leaving)
        .filter(|view| view.backoff_until <= now)
        .map(|view| {
            let candidate = PlacementCandidate {
                address: view.record.address,
                in_local_zone: view.record.availability_zone == *zone,
                cost: estimate_cost(view, usual_failures, now) * weigh_silence(view, now),
                reported_finish: view.reported_finish(class, now),
            };
            (candidate, chance())
        })
        .collect();
    candidates.sort_by(|(a, chance_a), (b, chance_b)| {
        let in_local_zone = b.in_local_zone.cmp(&a.in_local_zone);
        let cost = a.cost.total_cmp(&b.cost);
        in_local_zone.then(cost).then(chance_a.total_cmp(chance_b))
    });
    candidates
        .into_iter()
        .map(|(candidate, _)| candidate)
        .collect()
}

/// Requests there as a share of what runs at once, weighed by how slow the VM said it is and by what
/// fails there beyond the usual.
fn estimate_cost(view: &KnownNode, usual_failures: u8, now: Timestamp) -> f64 {
    let fresh = view
        .load
        .filter(|(_, at)| now.since(*at) < LOAD_LIFETIME)
        .map(|(load, at)| {
            let age = now.since(at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
            (load, 1.0 - age)
        });
    let slots = f64::from(view.record.slots.max(1));
    let own = f64::from(view.outstanding);
    let Some((load, weight)) = fresh else {
        return (own + 1.0) / slots;
    };
    let told = f64::from(load.running) + f64::from(load.queued);
    let limit = f64::from(load.limit.max(1));
    let slowdown = f64::from(load.slowdown_percent.max(100)) / 100.0;
    let busy = own.max(told * weight) + 1.0;
    let failures = load.failed_percent.saturating_sub(usual_failures);
    if Mechanism::FailurePenalty.is_disabled() {
        return busy / limit * (1.0 + (slowdown - 1.0) * weight);
    }
    let failing = 1.0 + FAILURE_COST * f64::from(failures) / 100.0;
    busy / limit * (1.0 + (slowdown - 1.0) * weight) * failing
}

fn weigh_silence(view: &KnownNode, now: Timestamp) -> f64 {
    if Mechanism::SilencePenalty.is_disabled() {
        return 1.0;
    }
    let (from, doubles) = SILENCE;
    let beyond = view.silence(now).saturating_sub(from);
    1.0 + beyond.as_secs_f64() / doubles.as_secs_f64()
}

/// The lowest share among the nodes of a service: what fails everywhere, for instance because calls
/// of the upstreams fail, says nothing against one of them.
fn find_usual_failures<'a>(views: impl Iterator<Item = &'a KnownNode>) -> u8 {
    let shares = views.filter_map(|view| view.load.map(|(load, _)| load.failed_percent));
    shares.min().unwrap_or(0)
}
