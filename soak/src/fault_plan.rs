//! The faults of a seed: what is injected, when, and for how long.

use crate::{
    corruption::{Corruption, CorruptionTarget},
    vm::ZONES,
};
use camphorturn_stand_ins::{store::StoreCondition, upstream::UpstreamAction};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Shortest and longest time between the starts of two faults. Faults usually last longer, so they overlap.
const START_INTERVAL_MS: (u64, u64) = (100, 900);
/// Shortest and longest duration of a fault.
const DURATION_MS: (u64, u64) = (200, 2_500);

/// Fewest and most routes that one large change adds, and the most routes that the large changes of a seed add together.
/// The platform's configuration has grown by 1,400 routes at once, and by 2,800 in all.
const ADDED_ROUTES: (usize, usize) = (300, 1_400);
const MAX_ADDED_ROUTES: usize = 4_200;
/// Shortest and longest pause between two changes of a series, and between two faults of one node in a series. The
/// effects of one last longer than the pause.
const SERIES_PAUSE_MS: (u64, u64) = (20, 700);
/// Bandwidth of a limited link in bytes per second, each way: 4 Mbit/s. The platform's lowest bandwidth is 10 Mbit/s, which
/// more nodes share than a soak has.
const LOW_BANDWIDTH_BYTES_PER_SECOND: u32 = 500_000;

/// Fewest and most restores of the store from a backup, per seed.
const STORE_RESTORES: (usize, usize) = (0, 2);

/// Fewest and most evacuations per seed, and the shortest and longest duration of one. The longest exceeds the time within
/// which an evacuation must be in force.
const EVACUATIONS: (usize, usize) = (0, 3);
const EVACUATION_MS: (u64, u64) = (300, 9_000);
/// Duration of an upstream's warm-up; the configuration's `warmup_s`.
pub const WARMUP_DURATION: Duration = Duration::from_secs(3);

/// Fewest and most failures of upstreams whose health checks pass, per seed, and the shortest and longest duration of one.
const UPSTREAM_FAILURES: (usize, usize) = (0, 3);
const UPSTREAM_FAILURE_MS: (u64, u64) = (1_000, 5_000);
/// What such an upstream does, with which share of its requests in percent: errors, connections closed without an answer, no
/// answer at all.
const UPSTREAM_FAILURE_KINDS: [(UpstreamAction, u8); 4] = [
    (UpstreamAction::Fail, 65),
    (UpstreamAction::Fail, 100),
    (UpstreamAction::LoseAnswer, 65),
    (UpstreamAction::Hold, 100),
];

/// One in this many seeds has a partition, and its shortest and longest duration.
const PARTITION_ONE_IN: u64 = 4;
const PARTITION_MS: (u64, u64) = (1_000, 5_000);

/// Fewest and most times that a request which crashes upstreams is sent.
const CRASHING_REQUESTS: (usize, usize) = (8, 24);

const LINK_FAULTS: [LinkFault; 4] = {
    use LinkFault::{AnswersLost, Reset, Silent, Slow};
    [Slow, Reset, AnswersLost, Silent]
};
const UPSTREAM_ACTIONS: [UpstreamAction; 7] = [
    UpstreamAction::Fail,
    UpstreamAction::Shed,
    UpstreamAction::LoseAnswer,
    UpstreamAction::CutBody,
    UpstreamAction::ForeignId,
    UpstreamAction::Unsigned,
    UpstreamAction::AnswerTwice,
];
const CORRUPTION_TARGETS: [CorruptionTarget; 5] = [
    CorruptionTarget::OwnRecord,
    CorruptionTarget::OtherRecord,
    CorruptionTarget::Configuration,
    CorruptionTarget::OtherConfiguration,
    CorruptionTarget::Heartbeat,
];

/// One fault. A `usize` without a name is the number of the VM, unless the variant says otherwise. Reports print the names of
/// variants and fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The node gets SIGTERM, and is restarted after its process has ended.
    Stop(usize),
    /// The node is killed and restarted.
    Kill(usize),
    /// All nodes are killed at once and restarted.
    KillAll,
    /// The node's process is suspended (SIGSTOP) for the fault's duration.
    Freeze(usize),
    /// The node's settings file changes.
    Reload {
        /// Number of the VM.
        node: usize,
        /// Whether the process gets SIGHUP, which makes it read the file.
        told: bool,
    },
    /// The store has this condition for the fault's duration.
    Store(StoreCondition),
    /// The store compacts its topics: older offsets can't be read any more.
    StoreForgets,
    /// The store is restored from a backup that was taken when this fault started. Just before, it has this condition for a
    /// short time.
    StoreReturns(StoreCondition),
    /// The node's link to the store is faulty for the fault's duration.
    StoreLink {
        /// Number of the VM.
        node: usize,
        /// How the link fails.
        ill: LinkFault,
    },
    /// The node's link to its upstream is faulty for the fault's duration.
    UpstreamLink {
        /// Number of the VM.
        node: usize,
        /// How the link fails.
        ill: LinkFault,
    },
    /// The upstream does not answer its next requests as usual.
    Act {
        /// Number of the VM.
        node: usize,
        /// What the upstream does with them.
        act: UpstreamAction,
        /// Number of requests.
        times: usize,
    },
    /// The upstream does this with a share of its requests for the fault's duration, while its health checks pass.
    Fail {
        /// Number of the VM.
        node: usize,
        /// What the upstream does with them.
        act: UpstreamAction,
        /// Share of the requests.
        percent: u8,
    },
    /// No node reaches another one for the fault's duration: connections are accepted and nothing is forwarded.
    Partition,
    /// The upstream announces that it is draining; then another incarnation takes its address.
    Leave(usize),
    /// Another incarnation takes the upstream's address, without an announcement.
    Replace(usize),
    /// The operator publishes a configuration with one more route.
    Configure,
    /// The operator publishes a configuration with this number of additional routes.
    Grow(usize),
    /// The upstream crashes, and restarts under the same instance id after the fault's duration.
    Crash(usize),
    /// A caller sends the same request this number of times, to one node after the other. It crashes every upstream that
    /// executes it.
    CrashingRequest(usize),
    /// The operator evacuates the availability zone with this number, and restores it after the fault's duration.
    Evacuate(usize),
    /// The upstream starts a warm-up without a restart.
    TurnCold(usize),
    /// A faulty writer replaces a document that concerns the node with a malformed one.
    Foreign(usize, CorruptionTarget, Corruption),
}

/// How a link fails. Reports print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Every chunk is delayed.
    Slow,
    /// All connections are closed once.
    Reset,
    /// Requests pass, answers are dropped.
    AnswersLost,
    /// Nothing is forwarded, and connections stay open.
    Silent,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// Time since the seed's first fault may start.
    pub start: Duration,
    /// How long the fault lasts. Faults that happen at an instant ignore it.
    pub duration: Duration,
    /// What is injected.
    pub fault: Fault,
}

/// Draws the faults of a seed, ordered by their start. They contain at least one series of configuration changes. Faults
/// start within `span`, except the last ones of a series.
#[must_use]
pub fn draw_faults(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut draw = FaultDraw {
        rng: StdRng::seed_from_u64(seed),
        nodes,
        routes_left: MAX_ADDED_ROUTES,
        faults: Vec::new(),
    };
    let first_change = draw.rng.random_range(Duration::ZERO..span / 2);
    draw.add_configuration_changes(first_change);
    let mut start = Duration::ZERO;
    while start < span {
        match draw.rng.random_range(0..16) {
            0 => draw.add_configuration_changes(start),
            1 => draw.add_node_faults(start),
            _ => {
                let fault = draw_fault(&mut draw.rng, nodes);
                draw.add(start, fault);
            }
        }
        start += draw_duration(&mut draw.rng, START_INTERVAL_MS);
    }
    draw.faults.extend(draw_crashing_request(seed, span));
    draw.faults.extend(draw_evacuations(seed, span));
    draw.faults.extend(draw_warmups(seed, span, nodes));
    draw.faults.extend(draw_store_restores(seed, span));
    draw.faults
        .extend(draw_upstream_failures(seed, span, nodes));
    draw.faults.extend(draw_partition(seed, span));
    draw.faults.sort_by_key(|fault| fault.start);
    draw.faults
}

/// Draws the request that crashes upstreams, in two of three seeds. It uses a generator of its own, so that the other faults
/// of a seed do not depend on it.
fn draw_crashing_request(seed: u64, span: Duration) -> Option<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let fault = PlannedFault {
        start: rng.random_range(Duration::ZERO..span / 2),
        duration: span / 2,
        fault: Fault::CrashingRequest(rng.random_range(CRASHING_REQUESTS.0..=CRASHING_REQUESTS.1)),
    };
    (rng.random_range(0..3) > 0).then_some(fault)
}

/// Draws the evacuations, with a generator of their own. They may overlap and affect the same zone.
fn draw_evacuations(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let count = rng.random_range(EVACUATIONS.0..=EVACUATIONS.1);
    let draw = |_| PlannedFault {
        start: rng.random_range(Duration::ZERO..span),
        duration: draw_duration(&mut rng, EVACUATION_MS),
        fault: Fault::Evacuate(rng.random_range(0..ZONES.len())),
    };
    (0..count).map(draw).collect()
}

/// Draws the upstreams' warm-ups, with a generator of their own.
fn draw_warmups(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
    let count = rng.random_range(0..=nodes);
    let draw = |_| PlannedFault {
        start: rng.random_range(Duration::ZERO..span),
        duration: WARMUP_DURATION,
        fault: Fault::TurnCold(rng.random_range(0..nodes)),
    };
    (0..count).map(draw).collect()
}

/// Draws the restores of the store, with a generator of their own.
fn draw_store_restores(seed: u64, span: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(48));
    let count = rng.random_range(STORE_RESTORES.0..=STORE_RESTORES.1);
    let draw = |_| PlannedFault {
        start: rng.random_range(Duration::ZERO..span),
        duration: draw_duration(&mut rng, DURATION_MS),
        fault: Fault::StoreReturns(choose(
            &mut rng,
            &[StoreCondition::Reset, StoreCondition::Silent],
        )),
    };
    (0..count).map(draw).collect()
}

/// Whether the mesh is partitioned in a seed. Its nodes then have links in front of them.
#[must_use]
pub const fn has_partition(seed: u64) -> bool {
    seed.is_multiple_of(PARTITION_ONE_IN)
}

/// Draws the partition, with a generator of its own.
fn draw_partition(seed: u64, span: Duration) -> Option<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(24));
    let partition = PlannedFault {
        start: rng.random_range(Duration::ZERO..span),
        duration: draw_duration(&mut rng, PARTITION_MS),
        fault: Fault::Partition,
    };
    has_partition(seed).then_some(partition)
}

/// Draws the failures of upstreams whose health checks pass, with a generator of their own.
fn draw_upstream_failures(seed: u64, span: Duration, nodes: usize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(8));
    let count = rng.random_range(UPSTREAM_FAILURES.0..=UPSTREAM_FAILURES.1);
    let draw = |_| {
        let (act, percent) = choose(&mut rng, &UPSTREAM_FAILURE_KINDS);
        PlannedFault {
            start: rng.random_range(Duration::ZERO..span),
            duration: draw_duration(&mut rng, UPSTREAM_FAILURE_MS),
            fault: Fault::Fail {
                node: rng.random_range(0..nodes),
                act,
                percent,
            },
        }
    };
    (0..count).map(draw).collect()
}

/// Bandwidth between nodes in bytes per second; none if it is unlimited. Half of the seeds have limited links.
#[must_use]
pub fn draw_link_bandwidth(seed: u64) -> Option<u32> {
    seed.is_multiple_of(2)
        .then_some(LOW_BANDWIDTH_BYTES_PER_SECOND)
}

/// State while the faults of a seed are drawn.
struct FaultDraw {
    rng: StdRng,
    nodes: usize,
    /// Routes that large changes may still add.
    routes_left: usize,
    faults: Vec<PlannedFault>,
}

impl FaultDraw {
    fn add(&mut self, start: Duration, fault: Fault) {
        let duration = draw_duration(&mut self.rng, DURATION_MS);
        self.faults.push(PlannedFault {
            start,
            duration,
            fault,
        });
    }

    /// Adds a change with many routes, small changes right after it, and faults of nodes between them.
    fn add_configuration_changes(&mut self, begin: Duration) {
        let routes = self.rng.random_range(ADDED_ROUTES.0..=ADDED_ROUTES.1);
        let routes = routes.min(self.routes_left);
        self.routes_left -= routes;
        if routes > 0 {
            self.add(begin, Fault::Grow(routes));
        }
        let mut start = begin;
        for _ in 0..self.rng.random_range(1..=4) {
            start += draw_duration(&mut self.rng, SERIES_PAUSE_MS);
            self.add(start, Fault::Configure);
            if self.rng.random_range(0..2) == 0 {
                let node = self.rng.random_range(0..self.nodes);
                let node_fault = draw_node_fault(&mut self.rng, node);
                let node_fault_start = start + draw_duration(&mut self.rng, SERIES_PAUSE_MS);
                self.add(node_fault_start, node_fault);
            }
        }
    }

    /// Adds several faults of one node, each before the effects of the one before have ended.
    fn add_node_faults(&mut self, begin: Duration) {
        let node = self.rng.random_range(0..self.nodes);
        let mut start = begin;
        for _ in 0..self.rng.random_range(2..=5) {
            let node_fault = draw_node_fault(&mut self.rng, node);
            self.add(start, node_fault);
            start += draw_duration(&mut self.rng, SERIES_PAUSE_MS);
        }
    }
}

fn draw_node_fault(rng: &mut impl Rng, node: usize) -> Fault {
    match rng.random_range(0..7) {
        0..3 => Fault::Stop(node),
        3..5 => Fault::Kill(node),
        5 => Fault::Freeze(node),
        _ => Fault::Reload { node, told: true },
    }
}

fn draw_duration(rng: &mut impl Rng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..=most))
}

fn draw_fault(rng: &mut impl Rng, nodes: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..115) {
        0..15 => Fault::Stop(node),
        15..27 => Fault::Kill(node),
        27..29 => Fault::KillAll,
        29..39 => Fault::Freeze(node),
        39..43 => Fault::Reload {
            node,
            told: rng.random_range(0..2) == 0,
        },
        43..53 => Fault::Store(draw_store_condition(rng)),
        53..56 => Fault::StoreForgets,
        56..63 => Fault::StoreLink {
            node,
            ill: choose(rng, &LINK_FAULTS),
        },
        63..71 => Fault::UpstreamLink {
            node,
            ill: choose(rng, &LINK_FAULTS),
        },
        71..82 => Fault::Act {
            node,
            act: choose(rng, &UPSTREAM_ACTIONS),
            times: rng.random_range(1..20),
        },
        82..88 => Fault::Leave(node),
        88..92 => Fault::Replace(node),
        92..100 => Fault::Configure,
        100..107 => Fault::Crash(node),
        _ => Fault::Foreign(node, choose(rng, &CORRUPTION_TARGETS), draw_corruption(rng)),
    }
}

fn draw_corruption(rng: &mut impl Rng) -> Corruption {
    let field = rng.random_range(0..12);
    match rng.random_range(0..3) {
        0 => Corruption::Unreadable,
        1 => Corruption::Missing(field),
        _ => Corruption::OtherType(field),
    }
}

fn draw_store_condition(rng: &mut impl Rng) -> StoreCondition {
    match rng.random_range(0..6) {
        0 => StoreCondition::Busy,
        1 => StoreCondition::Reset,
        2 => StoreCondition::Silent,
        3 => StoreCondition::Slow(Duration::from_millis(300)),
        4 => StoreCondition::ActsLate(Duration::from_secs(1)),
        _ => StoreCondition::LosesAnswers,
    }
}

fn choose<T: Copy>(rng: &mut impl Rng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}
