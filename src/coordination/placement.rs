//! Order in which an entry node asks the nodes of a service for a slot.
//!
//! The reported load of other nodes is outdated on arrival, since load changes within milliseconds. So an entry node asks only for
//! a slot that is free immediately; a refusal costs one message in each direction and proves that the request wasn't executed. A
//! request waits only after no node had a free slot, in the queue with the shortest wait.

use crate::state::{
    ablation::Mechanism,
    known_node::KnownNode,
    names::{AvailabilityZoneName, ClassName, ServiceName},
    timestamp::Timestamp,
};
use std::{net::SocketAddr, time::Duration};

/// Maximum age of a reported load that is taken into account.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);

/// Added to the cost factor of 1 if all requests fail at an upstream and none at the other upstreams of the service.
const FAILURE_PENALTY: f64 = 8.0;

/// Time without a response after which the cost of a node starts to rise, and the further time after which the cost has doubled. A
/// node that has stopped responding is asked last even before it counts as unreachable.
const SILENCE_PENALTY: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(100));

/// Node that can be asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// Address at which the node accepts requests from other nodes.
    pub address: SocketAddr,
    /// Whether the node is in the availability zone of the entry node.
    pub in_local_zone: bool,
    /// Expected load relative to the limit of the node, including the request, weighted by its health; lower is better.
    pub cost: f64,
    /// Whether the upstream names a request limit.
    pub is_limited: bool,
    /// Time in which a request of the class would finish there, if the node recently reported it with a refusal.
    pub reported_finish: Option<Duration>,
}

/// Returns the available nodes of a service in the order in which to ask them: nodes of `zone` first, then by ascending cost.
/// `chance` returns random numbers from 0 to 1 that order nodes of equal cost, so that entry nodes with the same knowledge don't
/// all ask the same node. Nodes that have refused requests because their upstream fails are left out, unless there are no others;
/// then the one that did so least recently comes first.
#[must_use]
pub fn order_candidates<'a>(
    nodes: impl Iterator<Item = &'a KnownNode> + Clone,
    (service, class): (&ServiceName, &ClassName),
    zone: &AvailabilityZoneName,
    mut chance: impl FnMut() -> f64,
    now: Timestamp,
) -> Vec<PlacementCandidate> {
    let nodes_of_service = nodes.clone().filter(|node| node.record.service == *service);
    let common_failures = find_common_failures(nodes_of_service);
    let available = nodes
        .filter(|node| node.record.service == *service && !node.is_leaving())
        .filter(|node| node.backoff_until <= now);
    let (failing, mut others): (Vec<_>, Vec<_>) =
        available.partition(|node| node.refused_as_failing(now).is_some());
    keep_one_ejected(&mut others, now);
    let offered = if others.is_empty() { failing } else { others };
    let mut candidates: Vec<(PlacementCandidate, Option<Timestamp>, f64)> = offered
        .into_iter()
        .map(|node| {
            let candidate = PlacementCandidate {
                address: node.record.address,
                in_local_zone: node.record.availability_zone == *zone,
                cost: estimate_cost(node, common_failures, now) * find_silence_factor(node, now),
                is_limited: node.request_limit.rate().is_some(),
                reported_finish: node.reported_finish(class, now),
            };
            (candidate, node.refused_as_failing(now), chance())
        })
        .collect();
    candidates.sort_by(|(a, refused_a, chance_a), (b, refused_b, chance_b)| {
        let by_zone = b.in_local_zone.cmp(&a.in_local_zone);
        let by_cost = a.cost.total_cmp(&b.cost);
        let by_zone_and_refusal = by_zone.then(refused_a.cmp(refused_b));
        by_zone_and_refusal
            .then(by_cost)
            .then(chance_a.total_cmp(chance_b))
    });
    candidates
        .into_iter()
        .map(|(candidate, ..)| candidate)
        .collect()
}

/// Keeps only one of the nodes whose upstream is ejected as far as is known, although the wait that they named has passed. A search asks
/// few nodes, and each of these is likely to refuse.
fn keep_one_ejected(nodes: &mut Vec<&KnownNode>, now: Timestamp) {
    let ejected = nodes.iter().filter(|node| node.is_ejected(now));
    let kept = ejected
        .min_by_key(|node| (node.last_ejection_notice(), node.record.address))
        .map(|node| node.record.address);
    if kept.is_some() {
        nodes.retain(|node| !node.is_ejected(now) || Some(node.record.address) == kept);
    }
}

/// Number of requests at the node relative to the number that it executes concurrently, multiplied by the reported slowdown of its
/// VM and by a factor for failures that exceed those of the other upstreams.
fn estimate_cost(node: &KnownNode, common_failures: u8, now: Timestamp) -> f64 {
    let recent_load = node
        .load
        .filter(|(_, at)| now.since(*at) < MAX_LOAD_AGE)
        .map(|(load, at)| {
            let age = now.since(at).as_secs_f64() / MAX_LOAD_AGE.as_secs_f64();
            (load, 1.0 - age)
        });
    let slots = f64::from(node.record.slots.max(1));
    let outstanding = f64::from(node.outstanding);
    let Some((load, weight)) = recent_load else {
        return (outstanding + 1.0) / slots;
    };
    let reported = f64::from(load.running) + f64::from(load.queued);
    let limit = f64::from(load.limit.max(1));
    let slowdown = f64::from(load.slowdown_percent.max(100)) / 100.0;
    let busy = outstanding.max(reported * weight) + 1.0;
    let failures = load.failed_percent.saturating_sub(common_failures);
    if Mechanism::FailurePenalty.is_disabled() {
        return busy / limit * (1.0 + (slowdown - 1.0) * weight);
    }
    let failure_factor = 1.0 + FAILURE_PENALTY * f64::from(failures) / 100.0;
    busy / limit * (1.0 + (slowdown - 1.0) * weight) * failure_factor
}

/// Factor by which the cost of a node rises while it doesn't respond.
fn find_silence_factor(node: &KnownNode, now: Timestamp) -> f64 {
    if Mechanism::SilencePenalty.is_disabled() {
        return 1.0;
    }
    let (start, doubling) = SILENCE_PENALTY;
    let excess = node.silence(now).saturating_sub(start);
    1.0 + excess.as_secs_f64() / doubling.as_secs_f64()
}

/// Lowest failure percentage among the nodes of a service. Failures that occur everywhere, for instance because calls of the
/// upstreams to other services fail, don't count against a single node.
fn find_common_failures<'a>(nodes: impl Iterator<Item = &'a KnownNode>) -> u8 {
    let shares = nodes.filter_map(|node| node.load.map(|(load, _)| load.failed_percent));
    shares.min().unwrap_or(0)
}
