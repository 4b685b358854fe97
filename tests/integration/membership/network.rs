//! A few memberships in one process that exchange messages at once, on a fake clock.

use bytes::Bytes;
use camphorturn::{
    coordination::membership::{Membership, TICK_PERIOD, actions::MembershipAction},
    protocol::gossip::{Gossip, LogKnowledge, StateShare},
    state::{
        configuration::ConfigurationVersion,
        member::{Incarnation, Member},
        membership::{MemberState, MembershipRecord},
        moment::Moment,
    },
    transport::peers::codec::encode_gossip,
};
use std::{collections::VecDeque, net::SocketAddr, time::Duration};

const ZONES: [&str; 5] = ["yxe-a", "yxe-b", "yqr-a", "qc-east-a", "qc-east-b"];

/// One node.
pub struct Node {
    pub member: Member,
    pub membership: Membership,
    /// Answers and ticks.
    pub running: bool,
    /// Nodes of different groups can't reach each other.
    pub group: u8,
    /// All that the membership asked for, but for messages.
    pub events: Vec<MembershipAction>,
    /// Bytes of encoded messages that this node sent and received.
    pub bytes: u64,
    /// Exchanges that this node took part in.
    pub exchanges: u64,
}

/// All nodes.
pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Moment,
    /// Pairs that can't reach each other.
    pub cut: Vec<(usize, usize)>,
    /// Whether broadcasts reach all, as if all were connected; else they reach none.
    pub connected: bool,
    /// The log takes appends, and all nodes read it at once.
    pub log_works: bool,
}

pub fn new_member(number: usize, incarnation: u64) -> Member {
    let port = u16::try_from(number + 1_000).expect("a port");
    let zone = ZONES[number % ZONES.len()];
    Member {
        name: format!("node-{number:03}").as_str().into(),
        incarnation: Incarnation(incarnation),
        service: format!("service-{}", number / 9).as_str().into(),
        region: if zone.starts_with('y') {
            "prairie-west"
        } else {
            "qc-east"
        }
        .into(),
        availability_zone: zone.into(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
        operator_address: SocketAddr::from(([127, 0, 0, 1], port)),
        slots: 6,
    }
}

impl Network {
    /// Nodes that know only the first one's address.
    pub fn new(count: usize) -> Self {
        let mut network = Self {
            nodes: Vec::new(),
            now: Moment::default(),
            cut: Vec::new(),
            connected: false,
            log_works: false,
        };
        for number in 0..count {
            network.add(new_member(number, 1));
        }
        network
    }

    /// Nodes that know one another and serve.
    pub fn settled(count: usize) -> Self {
        let (mut network, _) = Self::start_all_at_once(count);
        network.run(Duration::from_secs(10));
        assert!(network.agrees(), "the nodes settle");
        network.forget();
        network
    }

    /// Nodes that learn of one another by the log and begin to serve in the same moment, and the
    /// time until all know that of all.
    pub fn start_all_at_once(count: usize) -> (Self, Duration) {
        let mut network = Self::new(count);
        let records: Vec<_> = network
            .nodes
            .iter()
            .map(|node| MembershipRecord::Join(node.member.clone()))
            .collect();
        for node in &mut network.nodes {
            for record in &records {
                node.membership.on_log(record, network.now);
            }
            node.membership.set_serving(true, network.now);
        }
        let time = network.run_until(Duration::from_mins(5), Self::has_one_digest);
        (network, time.expect("the nodes settle"))
    }

    fn has_one_digest(&self) -> bool {
        let digest = self.nodes[0].membership.digest();
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.membership.digest() == digest)
    }

    pub fn add(&mut self, member: Member) {
        let seeds = vec![new_member(0, 1).peer_address, new_member(1, 1).peer_address];
        let seed = u64::try_from(self.nodes.len()).expect("a number");
        let membership = Membership::new(member.clone(), seeds, seed, self.now);
        self.nodes.push(Node {
            member,
            membership,
            running: true,
            group: 0,
            events: Vec::new(),
            bytes: 0,
            exchanges: 0,
        });
    }

    /// Ends the run of a node and starts the next one.
    pub fn restart(&mut self, index: usize) {
        let mut member = self.nodes[index].member.clone();
        member.incarnation.0 += 1;
        self.add(member);
        self.nodes.swap_remove(index);
    }

    /// Forgets what was counted and noted so far.
    pub fn forget(&mut self) {
        for node in &mut self.nodes {
            node.events.clear();
            node.bytes = 0;
            node.exchanges = 0;
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `done`, at most for `limit`. Returns the time it took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.tick();
        }
        done(self).then_some(limit)
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK_PERIOD;
        for index in 0..self.nodes.len() {
            if self.nodes[index].running {
                let actions = self.nodes[index].membership.on_tick(self.now);
                self.perform(index, actions);
            }
        }
    }

    /// State of a member as node `at` sees it; `None` if it is unknown or another run.
    pub fn state(&self, at: usize, of: &Member) -> Option<MemberState> {
        let mut members = self.nodes[at].membership.members(self.now);
        let found = members.find(|(member, _)| *member == of);
        found.map(|(_, state)| state)
    }

    /// Whether all running nodes of `group` see `of` in that state.
    pub fn all_see(&self, group: u8, of: &Member, state: MemberState) -> bool {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].running && self.nodes[*at].group == group)
            .filter(|at| self.nodes[*at].member != *of)
            .all(|at| self.state(at, of) == Some(state))
    }

    /// Whether all running nodes see each other's true states.
    pub fn agrees(&self) -> bool {
        self.nodes
            .iter()
            .filter(|node| node.running)
            .all(|node| self.all_see(0, &node.member, node.membership.own_state(self.now)))
    }

    /// Events of all nodes that match.
    pub fn count_events(&self, wanted: impl Fn(&MembershipAction) -> bool) -> usize {
        let events = self.nodes.iter().flat_map(|node| &node.events);
        events.filter(|event| wanted(event)).count()
    }

    pub fn perform(&mut self, index: usize, actions: Vec<MembershipAction>) {
        let mut queue: VecDeque<_> = actions.into_iter().map(|action| (index, action)).collect();
        while let Some((index, action)) = queue.pop_front() {
            for (index, actions) in self.perform_one(index, action) {
                queue.extend(actions.into_iter().map(|action| (index, action)));
            }
        }
    }

    fn perform_one(
        &mut self,
        from: usize,
        action: MembershipAction,
    ) -> Vec<(usize, Vec<MembershipAction>)> {
        match action {
            MembershipAction::SendGossip { to, gossip } => self.exchange(from, &to, &gossip),
            MembershipAction::Broadcast(gossip) if self.connected => {
                let others: Vec<_> = self.nodes.iter().map(|node| node.member.clone()).collect();
                let own = self.nodes[from].member.clone();
                let others = others.iter().filter(|to| **to != own);
                others
                    .flat_map(|to| self.exchange(from, to, &gossip))
                    .collect()
            }
            MembershipAction::ContactSeed(address) => {
                let found = self
                    .nodes
                    .iter()
                    .position(|node| node.member.peer_address == address && node.running);
                let Some(to) = found.filter(|to| self.reaches(from, *to)) else {
                    return Vec::new();
                };
                let member = self.nodes[to].member.clone();
                vec![(
                    from,
                    self.nodes[from].membership.on_introduced(&member, self.now),
                )]
            }
            MembershipAction::Append(record) => {
                self.nodes[from]
                    .events
                    .push(MembershipAction::Append(record.clone()));
                if !self.log_works {
                    return Vec::new();
                }
                let now = self.now;
                let nodes = self
                    .nodes
                    .iter_mut()
                    .enumerate()
                    .filter(|(_, node)| node.running);
                nodes
                    .map(|(index, node)| (index, node.membership.on_log(&record, now)))
                    .collect()
            }
            other => {
                self.nodes[from].events.push(other);
                Vec::new()
            }
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        self.nodes[b].running && self.nodes[a].group == self.nodes[b].group && !cut
    }

    fn exchange(
        &mut self,
        from: usize,
        to: &Member,
        gossip: &Gossip,
    ) -> Vec<(usize, Vec<MembershipAction>)> {
        let now = self.now;
        let found = self.nodes.iter().position(|node| node.member == *to);
        let Some(index) = found.filter(|index| self.reaches(from, *index)) else {
            let membership = &mut self.nodes[from].membership;
            return vec![(
                from,
                membership.on_peer_failure(&to.name, to.incarnation, now),
            )];
        };
        let sender = self.nodes[from].member.clone();
        let receiver = &mut self.nodes[index].membership;
        let (mut reply, follow_ups) = receiver.on_gossip(&sender, gossip, now);
        if gossip.wants_state_after.is_some() {
            reply.state = StateShare::Snapshot {
                offset: receiver.log_knowledge(now).offset,
                state: Bytes::from_static(&[0; 100]),
            };
        }
        let bytes = encode_gossip(gossip).len() + encode_gossip(&reply).len();
        for index in [from, index] {
            self.nodes[index].bytes += u64::try_from(bytes).expect("a size");
            self.nodes[index].exchanges += 1;
        }
        let sender = &mut self.nodes[from].membership;
        let replied = sender.on_reply(to, &reply, now);
        if let StateShare::Snapshot { offset, .. } = reply.state {
            sender.set_log_knowledge(new_log(offset), now);
        }
        vec![(index, follow_ups), (from, replied)]
    }
}

pub fn new_log(offset: u64) -> LogKnowledge {
    LogKnowledge {
        configuration_version: ConfigurationVersion(offset),
        offset,
        age: Duration::ZERO,
    }
}
