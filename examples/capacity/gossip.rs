//! What membership costs one node that knows so many members, while nothing changes.

use crate::{
    memory::{float, resident_bytes},
    samples::new_member,
};
use camphorturn::{
    coordination::membership::{Membership, TICK_PERIOD, actions::MembershipAction},
    protocol::gossip::Gossip,
    state::{member::Member, membership::MembershipRecord, moment::Moment},
    transport::peers::codec::{decode_gossip, encode_gossip},
};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time for which the joins are passed on until there is no news left.
const SETTLING: Duration = Duration::from_hours(4);
/// Time that is measured, on the node's own clock.
const MEASURED: Duration = Duration::from_mins(2);

/// Cost of membership at one node, right after all joined and when there is no news left.
#[derive(Debug, Serialize)]
pub struct GossipCost {
    members: usize,
    /// Growth of the process by one node's table of members.
    table_bytes: u64,
    /// Right after all joined at once.
    joining: Traffic,
    /// Hours later.
    quiet: Traffic,
}

/// Heartbeats of one node, each figure for one second.
#[derive(Debug, Serialize)]
struct Traffic {
    /// Messages that the node starts.
    messages: f64,
    /// Encoded bytes sent and received, the other nodes' heartbeats to it included. Not
    /// counted: headers of RPC and TCP.
    bytes: f64,
    /// Processor time for ticks, encoding, decoding and taking in, of the node and of those
    /// it asks.
    processor_micros: f64,
}

/// Two nodes of one mesh: the second one answers in the name of whichever is asked.
struct Pair {
    asking: Membership,
    asked: Membership,
    sent: usize,
    bytes: usize,
}

/// Measures for so many members.
pub fn measure(members: usize) -> GossipCost {
    let before = resident_bytes();
    let mut pair = new_pair(members);
    let table_bytes = resident_bytes().saturating_sub(before) / 2;
    let joined = Moment::default();
    let joining = pair.measure_from(joined);
    let quiet = joined + SETTLING;
    pair.run(joined + MEASURED, quiet);
    GossipCost {
        members,
        table_bytes,
        joining,
        quiet: pair.measure_from(quiet),
    }
}

fn new_pair(members: usize) -> Pair {
    let all: Vec<Member> = (0..members).map(new_member).collect();
    Pair {
        asking: new_node(&all, 0),
        asked: new_node(&all, 1),
        sent: 0,
        bytes: 0,
    }
}

fn new_node(all: &[Member], own: usize) -> Membership {
    let now = Moment::default();
    let seed = u64::try_from(own).expect("a small number");
    let mut node = Membership::new(all[own].clone(), Vec::new(), seed, now);
    for member in all {
        node.on_log(&MembershipRecord::Join(member.clone()), now);
    }
    node
}

impl Pair {
    fn measure_from(&mut self, from: Moment) -> Traffic {
        (self.sent, self.bytes) = (0, 0);
        let start = Instant::now();
        self.run(from, from + MEASURED);
        let seconds = MEASURED.as_secs_f64();
        Traffic {
            messages: float(self.sent) / seconds,
            // As many heartbeats arrive as are sent, on average.
            bytes: 2.0 * float(self.bytes) / seconds,
            processor_micros: start.elapsed().as_secs_f64() * 1e6 / seconds,
        }
    }

    fn run(&mut self, from: Moment, to: Moment) {
        let mut now = from;
        while now < to {
            for action in self.asking.on_tick(now) {
                self.deliver(action, now);
            }
            now = now + TICK_PERIOD;
        }
    }

    fn deliver(&mut self, action: MembershipAction, now: Moment) {
        let MembershipAction::SendGossip { to, gossip } = action else {
            return;
        };
        let asked = self.carry(&gossip);
        let own = new_member(0);
        let (mut reply, _) = self.asked.on_gossip(&own, &asked, now);
        reply.incarnation = to.incarnation;
        let reply = self.carry(&reply);
        self.sent += 1;
        // Follow-ups would set the two tables right in the other's name; none are sent on.
        let _ = self.asking.on_reply(&to, &reply, now);
    }

    fn carry(&mut self, gossip: &Gossip) -> Gossip {
        let bytes = encode_gossip(gossip);
        self.bytes += bytes.len();
        decode_gossip(&bytes).expect("what was encoded")
    }
}
