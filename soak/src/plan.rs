//! What is done when: drawn from a seed.

use camphorturn_stand_ins::{store::StoreCondition, upstream::UpstreamAct};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Pause between two faults, at the least and at the most; faults last longer, so they overlap.
const PAUSES_MS: (u64, u64) = (100, 900);
/// How long a fault lasts.
const LASTS_MS: (u64, u64) = (200, 2_500);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is told to stop; it is started again after its end.
    Stop {
        /// The node.
        node: usize,
    },
    /// A node is killed and started again.
    Kill {
        /// The node.
        node: usize,
    },
    /// Every node is killed at the same moment, and started again.
    KillAll,
    /// A node stands still for a while.
    Freeze {
        /// The node.
        node: usize,
    },
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
        act: UpstreamAct,
        /// How many requests.
        times: usize,
    },
    /// An upstream leaves and comes back as another run at the same address.
    Leave {
        /// The node beside it.
        node: usize,
    },
    /// An upstream is replaced by another run without a word.
    Replace {
        /// The node beside it.
        node: usize,
    },
    /// The operator publishes a configuration with one more route.
    Configure,
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

/// The faults of a seed, in the order of their times.
#[must_use]
pub fn draw_faults(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    while at < span {
        faults.push(PlannedFault {
            at,
            lasts: draw_span(&mut random, LASTS_MS),
            fault: draw_fault(&mut random, nodes),
        });
        at += draw_span(&mut random, PAUSES_MS);
    }
    faults
}

fn draw_span(random: &mut impl Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(random.random_range(least..=most))
}

fn draw_fault(random: &mut impl Rng, nodes: usize) -> Fault {
    let node = random.random_range(0..nodes);
    match random.random_range(0..100) {
        0..15 => Fault::Stop { node },
        15..27 => Fault::Kill { node },
        27..29 => Fault::KillAll,
        29..39 => Fault::Freeze { node },
        39..43 => Fault::Reload {
            node,
            told: random.random_range(0..2) == 0,
        },
        43..53 => Fault::Store(draw_condition(random)),
        53..56 => Fault::StoreForgets,
        56..63 => Fault::StoreLink {
            node,
            ill: draw_ill(random),
        },
        63..71 => Fault::UpstreamLink {
            node,
            ill: draw_ill(random),
        },
        71..82 => Fault::Act {
            node,
            act: draw_act(random),
            times: random.random_range(1..20),
        },
        82..88 => Fault::Leave { node },
        88..92 => Fault::Replace { node },
        _ => Fault::Configure,
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

fn draw_ill(random: &mut impl Rng) -> IllLink {
    match random.random_range(0..4) {
        0 => IllLink::Slow,
        1 => IllLink::Reset,
        2 => IllLink::AnswersLost,
        _ => IllLink::Silent,
    }
}

fn draw_act(random: &mut impl Rng) -> UpstreamAct {
    match random.random_range(0..7) {
        0 => UpstreamAct::Fail,
        1 => UpstreamAct::Shed,
        2 => UpstreamAct::LoseAnswer,
        3 => UpstreamAct::CutBody,
        4 => UpstreamAct::ForeignId,
        5 => UpstreamAct::Unsigned,
        _ => UpstreamAct::AnswerTwice,
    }
}
