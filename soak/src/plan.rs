//! What is done when: drawn from a seed.

use crate::{
    foreign::{Damage, ForeignPlace},
    machine::ZONES,
};
use camphorturn_stand_ins::{store::StoreCondition, upstream::UpstreamAction};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Pause between two faults, at the least and at the most; faults last longer, so they overlap.
const PAUSES_MS: (u64, u64) = (100, 900);
/// How long a fault lasts.
const LASTS_MS: (u64, u64) = (200, 2_500);

/// Routes of a configuration that grows by many at once, and most of all those of a seed. The platform has grown by
/// 1,400 at once, and by 2,800 in all.
const GROWTH: (usize, usize) = (300, 1_400);
const MOST_ROUTES: usize = 4_200;
/// Pause between two changes of a series, and between two orders to one node: shorter than what they set off.
const SERIES_PAUSES_MS: (u64, u64) = (20, 700);
/// Bytes a second of a thin link, each way: 4 Mbit/s. The thinnest of the platform carry 10, among more nodes.
const THIN_LINK: u32 = 500_000;

/// Returns of the store from a copy of a seed.
const STORE_RETURNS: (usize, usize) = (0, 2);

/// Evacuations of a seed, and how long one lasts; longer than the bound in which it is in force.
const EVACUATIONS: (usize, usize) = (0, 3);
const EVACUATED_MS: (u64, u64) = (300, 9_000);
/// How long an upstream is cold.
pub const COLD_LASTS: Duration = Duration::from_secs(3);

/// Times that a request which crashes upstreams is sent.
const CRASHING_CALLS: (usize, usize) = (8, 24);

const ILLS: [IllLink; 4] = {
    use IllLink::{AnswersLost, Reset, Silent, Slow};
    [Slow, Reset, AnswersLost, Silent]
};
const ACTS: [UpstreamAction; 7] = [
    UpstreamAction::Fail,
    UpstreamAction::Shed,
    UpstreamAction::LoseAnswer,
    UpstreamAction::CutBody,
    UpstreamAction::ForeignId,
    UpstreamAction::Unsigned,
    UpstreamAction::AnswerTwice,
];
const PLACES: [ForeignPlace; 5] = [
    ForeignPlace::OwnRecord,
    ForeignPlace::OtherRecord,
    ForeignPlace::Configuration,
    ForeignPlace::OtherConfiguration,
    ForeignPlace::Heartbeat,
];

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This node is told to stop; it is started again after its end.
    Stop(usize),
    /// This node is killed and started again.
    Kill(usize),
    /// Every node is killed at the same moment, and started again.
    KillAll,
    /// This node stands still for a while.
    Freeze(usize),
    /// The settings file of a node changes, with or without a signal.
    Reload {
        /// The node.
        node: usize,
        /// Whether the process is told.
        told: bool,
    },
    /// The store treats all calls so for a while.
    Store(StoreCondition),
    /// The store forgets the records before the newest ones.
    StoreForgets,
    /// The store is away for a moment, and comes back from a copy of the time when this fault began.
    StoreReturns(StoreCondition),
    /// A node's link to the store is ill for a while.
    StoreLink {
        /// The node.
        node: usize,
        /// How.
        ill: IllLink,
    },
    /// A node's link to its upstream is ill for a while.
    UpstreamLink {
        /// The node.
        node: usize,
        /// How.
        ill: IllLink,
    },
    /// An upstream does something else with its next requests.
    Act {
        /// The node beside it.
        node: usize,
        /// What.
        act: UpstreamAction,
        /// How many requests.
        times: usize,
    },
    /// The upstream of this node leaves and comes back as another run at the same address.
    Leave(usize),
    /// The upstream of this node is replaced by another run without a word.
    Replace(usize),
    /// The operator publishes a configuration with one more route.
    Configure,
    /// The operator publishes a configuration with that many more routes.
    Grow(usize),
    /// The upstream of this node crashes, and starts again after a while under the identity that it had.
    Crash(usize),
    /// A caller asks for the same thing so many times, at one node after the other, which crashes each upstream that runs it.
    CrashingRequest(usize),
    /// The operator evacuates the availability zone of that number, and takes it back after a while.
    Evacuate(usize),
    /// The upstream of this node becomes cold during its run.
    TurnCold(usize),
    /// Somebody writes what does not belong in a place that has to do with this node.
    Foreign(usize, ForeignPlace, Damage),
}

/// How a link is ill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IllLink {
    /// Pieces wait.
    Slow,
    /// Connections are reset once.
    Reset,
    /// Answers are lost.
    AnswersLost,
    /// Nothing passes.
    Silent,
}

/// A fault with its time and how long it lasts, where it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time since the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

/// The faults of a seed, in the order of their times. One series of changes at least is among them.
#[must_use]
pub fn draw_faults(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut draw = Draw {
        random: StdRng::seed_from_u64(seed),
        nodes,
        routes_left: MOST_ROUTES,
        faults: Vec::new(),
    };
    let first = draw.random.random_range(Duration::ZERO..span / 2);
    draw.add_changes(first);
    let mut at = Duration::ZERO;
    while at < span {
        match draw.random.random_range(0..16) {
            0 => draw.add_changes(at),
            1 => draw.add_orders(at),
            _ => {
                let fault = draw_fault(&mut draw.random, nodes);
                draw.add(at, fault);
            }
        }
        at += draw_span(&mut draw.random, PAUSES_MS);
    }
    draw.faults.extend(draw_crashing_request(seed, span));
    draw.faults.extend(draw_evacuations(seed, span));
    draw.faults.extend(draw_cold_upstreams(seed, span, nodes));
    draw.faults.extend(draw_store_returns(seed, span));
    draw.faults.sort_by_key(|fault| fault.at);
    draw.faults
}

/// Drawn apart from the other faults, so that those of a seed stay as they were.
fn draw_crashing_request(seed: u64, span: Duration) -> Option<PlannedFault> {
    let mut random = StdRng::seed_from_u64(!seed);
    let fault = PlannedFault {
        at: random.random_range(Duration::ZERO..span / 2),
        lasts: span / 2,
        fault: Fault::CrashingRequest(random.random_range(CRASHING_CALLS.0..=CRASHING_CALLS.1)),
    };
    (random.random_range(0..3) > 0).then_some(fault)
}

/// Drawn apart as well. They may overlap, and be of the same zone.
fn draw_evacuations(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16));
    let count = random.random_range(EVACUATIONS.0..=EVACUATIONS.1);
    let draw = |_| PlannedFault {
        at: random.random_range(Duration::ZERO..span),
        lasts: draw_span(&mut random, EVACUATED_MS),
        fault: Fault::Evacuate(random.random_range(0..ZONES.len())),
    };
    (0..count).map(draw).collect()
}

/// Drawn apart as well.
fn draw_cold_upstreams(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32));
    let count = random.random_range(0..=nodes);
    let draw = |_| PlannedFault {
        at: random.random_range(Duration::ZERO..span),
        lasts: COLD_LASTS,
        fault: Fault::TurnCold(random.random_range(0..nodes)),
    };
    (0..count).map(draw).collect()
}

/// Drawn apart as well.
fn draw_store_returns(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(48));
    let count = random.random_range(STORE_RETURNS.0..=STORE_RETURNS.1);
    let draw = |_| PlannedFault {
        at: random.random_range(Duration::ZERO..span),
        lasts: draw_span(&mut random, LASTS_MS),
        fault: Fault::StoreReturns(pick(
            &mut random,
            &[StoreCondition::Reset, StoreCondition::Silent],
        )),
    };
    (0..count).map(draw).collect()
}

/// Bytes a second between nodes; none if nothing bounds them. Half of the seeds have thin links.
#[must_use]
pub fn draw_link_rate(seed: u64) -> Option<u32> {
    seed.is_multiple_of(2).then_some(THIN_LINK)
}

struct Draw {
    random: StdRng,
    nodes: usize,
    routes_left: usize,
    faults: Vec<PlannedFault>,
}

impl Draw {
    fn add(&mut self, at: Duration, fault: Fault) {
        let lasts = draw_span(&mut self.random, LASTS_MS);
        self.faults.push(PlannedFault { at, lasts, fault });
    }

    /// Many routes at once, small changes right after them, and nodes that end or stand still meanwhile.
    fn add_changes(&mut self, begin: Duration) {
        let routes = self.random.random_range(GROWTH.0..=GROWTH.1);
        let routes = routes.min(self.routes_left);
        self.routes_left -= routes;
        if routes > 0 {
            self.add(begin, Fault::Grow(routes));
        }
        let mut at = begin;
        for _ in 0..self.random.random_range(1..=4) {
            at += draw_span(&mut self.random, SERIES_PAUSES_MS);
            self.add(at, Fault::Configure);
            if self.random.random_range(0..2) == 0 {
                let node = self.random.random_range(0..self.nodes);
                let order = draw_order(&mut self.random, node);
                let between = at + draw_span(&mut self.random, SERIES_PAUSES_MS);
                self.add(between, order);
            }
        }
    }

    /// Several orders to one node, each before the one before it has had its whole effect.
    fn add_orders(&mut self, begin: Duration) {
        let node = self.random.random_range(0..self.nodes);
        let mut at = begin;
        for _ in 0..self.random.random_range(2..=5) {
            let order = draw_order(&mut self.random, node);
            self.add(at, order);
            at += draw_span(&mut self.random, SERIES_PAUSES_MS);
        }
    }
}

fn draw_order(random: &mut impl Rng, node: usize) -> Fault {
    match random.random_range(0..7) {
        0..3 => Fault::Stop(node),
        3..5 => Fault::Kill(node),
        5 => Fault::Freeze(node),
        _ => Fault::Reload { node, told: true },
    }
}

fn draw_span(random: &mut impl Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(least..=most))
}

fn draw_fault(random: &mut impl Rng, nodes: usize) -> Fault {
    let node = random.random_range(0..nodes);
    match random.random_range(0..115) {
        0..15 => Fault::Stop(node),
        15..27 => Fault::Kill(node),
        27..29 => Fault::KillAll,
        29..39 => Fault::Freeze(node),
        39..43 => Fault::Reload {
            node,
            told: random.random_range(0..2) == 0,
        },
        43..53 => Fault::Store(draw_condition(random)),
        53..56 => Fault::StoreForgets,
        56..63 => Fault::StoreLink {
            node,
            ill: pick(random, &ILLS),
        },
        63..71 => Fault::UpstreamLink {
            node,
            ill: pick(random, &ILLS),
        },
        71..82 => Fault::Act {
            node,
            act: pick(random, &ACTS),
            times: random.random_range(1..20),
        },
        82..88 => Fault::Leave(node),
        88..92 => Fault::Replace(node),
        92..100 => Fault::Configure,
        100..107 => Fault::Crash(node),
        _ => Fault::Foreign(node, pick(random, &PLACES), draw_damage(random)),
    }
}

fn draw_damage(random: &mut impl Rng) -> Damage {
    let field = random.random_range(0..12);
    match random.random_range(0..3) {
        0 => Damage::Unreadable,
        1 => Damage::Missing(field),
        _ => Damage::OtherType(field),
    }
}

fn draw_condition(random: &mut impl Rng) -> StoreCondition {
    match random.random_range(0..6) {
        0 => StoreCondition::Busy,
        1 => StoreCondition::Reset,
        2 => StoreCondition::Silent,
        3 => StoreCondition::Slow(Duration::from_millis(300)),
        4 => StoreCondition::ActsLate(Duration::from_secs(1)),
        _ => StoreCondition::LosesAnswers,
    }
}

fn pick<T: Copy>(random: &mut impl Rng, from: &[T]) -> T {
    from[random.random_range(0..from.len())]
}
