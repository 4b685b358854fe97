//! Rules between the values of the node settings.

use crate::options::{checked_file::BrokenRule, node_settings::NodeSettings};
use std::net::SocketAddr;

/// Every rule that the settings break.
#[must_use]
pub fn check_node_rules(settings: &NodeSettings) -> Vec<BrokenRule> {
    let mut broken = check_addresses(settings);
    broken.extend(check_advertised(settings));
    broken.extend(check_spans(settings));
    broken
}

/// Two sides on one address: the second one fails to bind, or the node calls itself.
fn check_addresses(settings: &NodeSettings) -> Vec<BrokenRule> {
    let used = [
        ("/callers/listen", settings.callers.listen),
        ("/peers/listen", settings.peers.listen),
        ("/operators/listen", settings.operators.listen),
        ("/upstream/address", settings.upstream.address),
        ("/platform_log/address", settings.platform_log.address),
    ];
    let mut broken = Vec::new();
    for (index, (pointer, address)) in used.iter().enumerate() {
        let earlier = used[..index]
            .iter()
            .find(|(_, other)| overlaps(*other, *address));
        if let Some((other, _)) = earlier {
            let other = other.trim_start_matches('/').replace('/', ".");
            let message = format!("{address} is taken by `{other}`");
            let suggestion = "give each side its own port";
            broken.push(BrokenRule::conflict(*pointer, message, suggestion));
        }
    }
    broken
}

/// Port 0 asks for any free port, so it clashes with nothing.
fn overlaps(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    same_host && one.port() == other.port() && one.port() != 0
}

/// Others can't connect to an unspecified address such as 0.0.0.0.
fn check_advertised(settings: &NodeSettings) -> Vec<BrokenRule> {
    let sides = [
        ("/peers/advertise", settings.peer_address()),
        ("/operators/advertise", settings.operator_address()),
    ];
    let unreachable = sides
        .into_iter()
        .filter(|(_, address)| address.ip().is_unspecified());
    unreachable
        .map(|(pointer, address)| {
            let message = format!("others can't connect to {address}");
            BrokenRule::conflict(pointer, message, "set `advertise` to this VM's own IP")
        })
        .collect()
}

/// Pairs of spans of which the first must be the shorter one.
fn check_spans(settings: &NodeSettings) -> Vec<BrokenRule> {
    let membership = &settings.membership;
    let pairs = [
        (
            "/platform_log/poll_ms",
            settings.platform_log.poll_period * 2,
            settings.leases.duration,
            "at most half of `leases.duration_ms`, so that one lost read costs no lease",
        ),
        (
            "/membership/suspect_ms",
            membership.heartbeat_period * 2,
            membership.suspect_after,
            "at least two of `membership.heartbeat_ms`, so that the suspected node can contradict",
        ),
        (
            "/membership/gone_ms",
            membership.suspect_after,
            membership.gone_after,
            "at least `membership.suspect_ms`",
        ),
    ];
    pairs
        .into_iter()
        .filter(|(_, shorter, longer, _)| shorter > longer)
        .map(|(pointer, _, _, rule)| {
            let message = "the spans don't fit each other".to_owned();
            BrokenRule::conflict(pointer, message, &format!("make it {rule}"))
        })
        .collect()
}
