//! A mesh of nodes that keep the quota of one organisation, as a simulation of events in the order of time.

use camphorturn::{
    coordination::{
        quota_credits::{CreditDecision, MeshPosition, QuotaCredits},
        quota_keeper::{
            CreditDemand, CreditGrant, KeeperTenure, QuotaKeeper, QuotaSettings, find_keepers,
            rank_node_for,
        },
    },
    state::{names::OrganisationName, organisations::Quota, timestamp::Timestamp},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

pub const SETTINGS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// Backoff of a node for a keeper that didn't answer.
const BACKOFF_MICROS: u64 = 400_000;
/// Time until a request to a keeper that is down fails.
const TIMEOUT_MICROS: u64 = 120_000;
/// Time without a message of another node after which a node takes itself to be cut off.
const MAX_PEER_SILENCE_MICROS: u64 = 300_000;
/// Length of a run.
const RUN_SECONDS: u32 = 14;
pub const SECOND_MICROS: u64 = 1_000_000;

/// What is drawn for one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: u8,
    /// Sustained rate of the quota, in requests per second; the burst is the requests of one second.
    pub rate: u32,
    /// Load over the limit; below 1 the organisation stays within its quota.
    pub load: f64,
    /// Longest time of a message.
    pub delay_micros: u64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Number of times that the keeper is killed; it is back within two seconds and knows nothing.
    pub kills: u8,
    /// Number of nodes that are cut off from all others, for three seconds; in large meshes up to a quarter of them.
    pub cut_off: usize,
    /// Whether a third of the requests come within 100 ms.
    pub burst: bool,
}

pub struct Node {
    pub keeper: QuotaKeeper,
    pub credits: QuotaCredits,
    pub started: u64,
    pub first_start: bool,
    pub down_until: u64,
    pub cut_off: std::ops::Range<u64>,
    /// Until when a keeper isn't asked.
    pub backoff: BTreeMap<usize, u64>,
}

impl Node {
    fn new(started: u64, first_start: bool) -> Self {
        Self {
            keeper: QuotaKeeper::default(),
            credits: QuotaCredits::default(),
            started,
            first_start,
            down_until: 0,
            cut_off: 0..0,
            backoff: BTreeMap::new(),
        }
    }
}

/// A request that waits for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ask {
    pub entry: usize,
    pub wanted: u32,
    /// Rank of the keeper that is asked.
    pub rank: usize,
    /// Rank of the keeper to which the asked one forwards.
    pub forward_rank: usize,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Kill,
    /// A request arrives at a node.
    Arrive(usize),
    /// The message arrives at the keeper.
    AtKeeper(Ask),
    /// The forwarded message arrives at the keeper that precedes.
    AtPreceding(Ask),
    /// The answer arrives at the keeper that forwarded.
    Forwarded(Ask, u32),
    /// The answer arrives at the entry node.
    Answer(Ask, u32),
    /// The entry node gives up on the keeper; true if it may have been reached.
    AskTimeout(Ask, bool),
    /// The keeper that forwarded gives up on the preceding one; true if that may have been reached.
    ForwardTimeout(Ask, bool),
}

pub struct Mesh {
    pub events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub next_number: u64,
    pub plan: Plan,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    /// Keepers by rank.
    pub keepers: Vec<usize>,
    /// Whether the nodes that are cut off reach each other.
    pub is_split: bool,
    pub admitted: Vec<u64>,
    pub refused: usize,
}

fn organisation() -> OrganisationName {
    "marina".into()
}

fn get_address(node: usize) -> SocketAddr {
    let host = u8::try_from(node).expect("few nodes");
    SocketAddr::from(([10, 0, 0, host], 7_660))
}

impl Mesh {
    pub fn new(plan: Plan) -> Self {
        let count = usize::from(plan.nodes);
        let by_address: BTreeMap<SocketAddr, usize> = (0..count)
            .map(|number| (get_address(number), number))
            .collect();
        let ranked = find_keepers(&organisation(), by_address.keys().copied());
        Self {
            events: BinaryHeap::new(),
            next_number: 0,
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            nodes: (0..count).map(|_| Node::new(0, true)).collect(),
            keepers: ranked.iter().map(|address| by_address[address]).collect(),
            is_split: false,
            admitted: Vec::new(),
            refused: 0,
        }
    }

    pub fn quota(&self) -> Quota {
        Quota {
            requests_per_minute: u64::from(self.plan.rate) * 60,
            burst: self.plan.rate,
        }
    }

    fn draw_delay(&mut self) -> u64 {
        self.rng.random_range(100..=self.plan.delay_micros.max(101))
    }

    pub fn schedule(&mut self, at: u64, event: Event) {
        self.next_number += 1;
        self.events.push(Reverse((at, self.next_number, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Kill => self.kill_first_keeper(now),
            Event::Arrive(entry) => self.arrive(entry, now),
            Event::AtKeeper(ask) => self.answer(ask, now),
            Event::AtPreceding(ask) => {
                let credits = self
                    .grant(self.keepers[ask.forward_rank], ask.wanted, now)
                    .credits;
                self.reply(
                    Event::Forwarded(ask, credits),
                    Event::ForwardTimeout(ask, true),
                    now,
                );
            }
            Event::Forwarded(ask, credits) => {
                let keeper = self.keepers[ask.rank];
                let kept = &mut self.nodes[keeper].keeper;
                kept.record_other_keeper(&organisation(), Timestamp(now));
                self.reply(
                    Event::Answer(ask, credits),
                    Event::AskTimeout(ask, true),
                    now,
                );
            }
            Event::Answer(ask, credits) => {
                let kept = &mut self.nodes[ask.entry].keeper;
                kept.record_other_keeper(&organisation(), Timestamp(now));
                self.apply(ask.entry, credits, now);
            }
            Event::AskTimeout(ask, may_be_reached) => {
                let keeper = self.keepers[ask.rank];
                self.note_timeout(ask.entry, may_be_reached, now);
                self.nodes[ask.entry]
                    .backoff
                    .insert(keeper, now + BACKOFF_MICROS);
                self.ask_next(
                    Ask {
                        rank: ask.rank + 1,
                        ..ask
                    },
                    now,
                );
            }
            Event::ForwardTimeout(ask, may_be_reached) => {
                let (keeper, preceding) = (self.keepers[ask.rank], self.keepers[ask.forward_rank]);
                self.nodes[keeper]
                    .backoff
                    .insert(preceding, now + BACKOFF_MICROS);
                self.note_timeout(keeper, may_be_reached, now);
                let forward_rank = ask.forward_rank + 1;
                self.answer(
                    Ask {
                        forward_rank,
                        ..ask
                    },
                    now,
                );
            }
        }
    }

    /// A keeper that was reached and didn't answer may grant credit to others.
    fn note_timeout(&mut self, asker: usize, may_be_reached: bool, now: u64) {
        if may_be_reached {
            let kept = &mut self.nodes[asker].keeper;
            kept.record_other_keeper(&organisation(), Timestamp(now));
        }
    }

    /// Sends the answer, or lets the other side time out because the answer is lost.
    fn reply(&mut self, answer: Event, timeout: Event, now: u64) {
        if self.rng.random_bool(self.plan.loss) {
            self.schedule(now + TIMEOUT_MICROS, timeout);
        } else {
            let delay = self.draw_delay();
            self.schedule(now + delay, answer);
        }
    }

    /// Sends a message from one node to another, or lets the sender time out.
    fn send(&mut self, from: usize, to: usize, message: Event, timeout: Event, now: u64) {
        if self.can_reach(from, to, now) {
            let delay = self.draw_delay();
            self.schedule(now + delay, message);
        } else {
            self.schedule(now + TIMEOUT_MICROS, timeout);
        }
    }

    fn arrive(&mut self, entry: usize, now: u64) {
        if now < self.nodes[entry].down_until {
            return;
        }
        match self.nodes[entry]
            .credits
            .decide(&organisation(), Timestamp(now))
        {
            CreditDecision::Spent => self.admitted.push(now),
            CreditDecision::Refused { .. } => self.refused += 1,
            CreditDecision::Ask { wanted } => {
                let ask = Ask {
                    entry,
                    wanted,
                    rank: 0,
                    forward_rank: 0,
                };
                self.ask_next(ask, now);
            }
        }
    }

    fn ask_next(&mut self, ask: Ask, now: u64) {
        let entry = ask.entry;
        for rank in ask.rank..self.keepers.len() {
            let keeper = self.keepers[rank];
            if keeper == entry && self.is_isolated(entry, now) {
                break;
            }
            if keeper == entry {
                let grant = self.grant(keeper, ask.wanted, now);
                return self.apply(entry, grant.credits, now);
            }
            if !self.is_backed_off(entry, keeper, now) {
                let ask = Ask {
                    rank,
                    forward_rank: 0,
                    ..ask
                };
                return self.send(
                    entry,
                    keeper,
                    Event::AtKeeper(ask),
                    Event::AskTimeout(ask, false),
                    now,
                );
            }
        }
        let quota = self.quota();
        let mesh = MeshPosition {
            nodes: self.nodes.len(),
            node_rank: rank_node_for(&organisation(), get_address(entry)),
        };
        let credits = &mut self.nodes[entry].credits;
        let at = Timestamp(now);
        if credits.spend_unconfirmed(&organisation(), &quota, mesh, &SETTINGS, at) {
            self.admitted.push(now);
        } else {
            self.refused += 1;
        }
    }

    /// A node that is asked for credit forwards the request to a keeper that precedes it, or grants credit.
    fn answer(&mut self, ask: Ask, now: u64) {
        let keeper = self.keepers[ask.rank];
        if now < self.nodes[keeper].down_until {
            return self.schedule(now + TIMEOUT_MICROS, Event::AskTimeout(ask, false));
        }
        for forward_rank in ask.forward_rank..ask.rank {
            let preceding = self.keepers[forward_rank];
            if !self.is_backed_off(keeper, preceding, now) {
                let ask = Ask {
                    forward_rank,
                    ..ask
                };
                let (message, timeout) =
                    (Event::AtPreceding(ask), Event::ForwardTimeout(ask, false));
                return self.send(keeper, preceding, message, timeout, now);
            }
        }
        let credits = self.grant(keeper, ask.wanted, now).credits;
        self.reply(
            Event::Answer(ask, credits),
            Event::AskTimeout(ask, true),
            now,
        );
    }

    fn apply(&mut self, entry: usize, credits: u32, now: u64) {
        let grant = CreditGrant {
            credits,
            retry_after_ms: 100,
        };
        let account = &mut self.nodes[entry].credits;
        match account.apply_grant(&organisation(), grant, Timestamp(now)) {
            CreditDecision::Spent => self.admitted.push(now),
            _ => self.refused += 1,
        }
    }

    fn is_backed_off(&self, from: usize, to: usize, now: u64) -> bool {
        let until = self.nodes[from].backoff.get(&to);
        until.is_some_and(|until| now < *until)
    }

    fn kill_first_keeper(&mut self, now: u64) {
        let back = now + self.rng.random_range(300_000..2 * SECOND_MICROS);
        let first = self.keepers[0];
        let cut_off = self.nodes[first].cut_off.clone();
        self.nodes[first] = Node::new(back, false);
        self.nodes[first].down_until = back;
        self.nodes[first].cut_off = cut_off;
    }

    /// Whether a node has noticed that it is cut off.
    fn is_isolated(&self, node: usize, now: u64) -> bool {
        let cut_off = &self.nodes[node].cut_off;
        !self.is_split && cut_off.contains(&now) && now - cut_off.start > MAX_PEER_SILENCE_MICROS
    }

    fn can_reach(&self, from: usize, to: usize, now: u64) -> bool {
        let is_cut_off = |node: usize| self.nodes[node].cut_off.contains(&now);
        let same_side = is_cut_off(from) == is_cut_off(to);
        let is_connected = same_side && (self.is_split || !is_cut_off(from));
        now >= self.nodes[to].down_until && (from == to || is_connected)
    }

    fn grant(&mut self, keeper: usize, wanted: u32, now: u64) -> CreditGrant {
        let quota = self.quota();
        let ranks_first = self.keepers.first() == Some(&keeper);
        let node = &mut self.nodes[keeper];
        let has_run_long = now > node.started + 5 * SECOND_MICROS;
        let tenure = if ranks_first && (has_run_long || node.first_start) {
            KeeperTenure::Established
        } else {
            KeeperTenure::Recent
        };
        let healed = Some(node.cut_off.end).filter(|end| (1..=now).contains(end));
        let restarted = (!node.first_start).then_some(node.started);
        let gap = healed.max(restarted).map(Timestamp);
        let is_unconfirmed = gap.is_some_and(|gap| {
            let now = Timestamp(now);
            node.keeper
                .needs_confirmation(&organisation(), gap, &SETTINGS, now)
        });
        if ranks_first && is_unconfirmed {
            self.confirm(keeper, tenure, now);
        }
        let demand = CreditDemand {
            wanted,
            is_late: false,
        };
        let kept = &mut self.nodes[keeper].keeper;
        kept.grant(
            &organisation(),
            quota,
            demand,
            tenure,
            &SETTINGS,
            Timestamp(now),
        )
    }

    /// Tells the other candidates that a node keeps the quota again.
    fn confirm(&mut self, keeper: usize, tenure: KeeperTenure, now: u64) {
        let mut tenure = tenure;
        let at = Timestamp(now);
        let others: Vec<usize> = self.keepers[1..].to_vec();
        for other in others {
            let loss = self.plan.loss;
            let is_lost = (0..2).all(|_| self.rng.random_bool(loss));
            if is_lost || !self.can_reach(keeper, other, now) {
                continue;
            }
            let node = &mut self.nodes[other];
            node.backoff.remove(&keeper);
            if node
                .keeper
                .has_granted(&organisation(), SETTINGS.window, at)
            {
                tenure = KeeperTenure::Recent;
            }
            node.keeper.record_other_keeper(&organisation(), at);
        }
        let quota = self.quota();
        let kept = &mut self.nodes[keeper].keeper;
        kept.confirm(&organisation(), quota, tenure, &SETTINGS, at);
    }

    pub fn draw_events(&mut self) {
        let total = f64::from(self.plan.rate * RUN_SECONDS) * self.plan.load;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number"
        )]
        let total = total as u32;
        let end = u64::from(RUN_SECONDS) * SECOND_MICROS;
        for number in 0..total {
            let in_burst = self.plan.burst && number % 3 == 0;
            let range = if in_burst {
                6_000_000..6_100_000
            } else {
                0..end
            };
            let (at, entry) = (self.rng.random_range(range), self.draw_entry());
            self.schedule(at, Event::Arrive(entry));
        }
        for _ in 0..self.plan.kills {
            let at = self.rng.random_range(SECOND_MICROS..end);
            self.schedule(at, Event::Kill);
        }
        for number in 0..self.plan.cut_off {
            let from = self.rng.random_range(SECOND_MICROS..end);
            let node = number * 3 % self.nodes.len();
            self.nodes[node].cut_off = from..from + 3 * SECOND_MICROS;
        }
    }

    pub fn draw_entry(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    pub fn run(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(event, now);
        }
    }
}
