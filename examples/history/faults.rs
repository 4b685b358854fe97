//! Faults of a run: a seeded schedule, and carrying it out.

use super::{event::Happening, publishers::publish_at_once, recorder::Recorder};
use camphorturn::{
    local_mesh::{LocalMesh, LocalMeshError},
    timers::TimerService,
};
use camphorturn_stand_ins::{
    log_service::{AnswerLoss, LogCondition},
    upstream::{AnswerFault, Behaviour},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// Pause between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..900;
/// How long a fault lasts, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 200..2_500;
/// Most nodes that are down at once.
const DOWN_AT_ONCE: usize = 2;
/// Share of answers that an upstream cuts.
const CUT_SHARE: f64 = 0.5;
/// Factor on the service times of a slow upstream.
const SLOW_FACTOR: f64 = 40.0;
/// Attempts to start a node at an address that is still taken.
const START_ATTEMPTS: u32 = 50;
/// Pause between two of them.
const START_PAUSE: Duration = Duration::from_millis(100);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A node ends without telling anybody.
    Kill,
    /// A node stops as planned.
    Stop,
    /// An upstream ends connections half-way through its answers.
    CutHalfWay,
    /// An upstream ends connections before its answers.
    CutBefore,
    /// An upstream is slow.
    Slow,
    /// The log refuses everything.
    LogOutage,
    /// The log stores appends and loses the answers.
    LostAppendAnswers,
    /// Two operators publish at the same moment.
    PublishAtOnce,
}

const FAULTS: [Fault; 8] = [
    Fault::Kill,
    Fault::Stop,
    Fault::CutHalfWay,
    Fault::CutBefore,
    Fault::Slow,
    Fault::LogOutage,
    Fault::LostAppendAnswers,
    Fault::PublishAtOnce,
];

/// A fault's start or end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, since the start of the run.
    pub at: Duration,
    /// Whether the fault ends.
    pub ends: bool,
    /// The fault.
    pub fault: Fault,
    /// The node or upstream it hits.
    pub node: usize,
}

/// All steps of a run, in order. The same seed gives the same steps.
#[must_use]
pub fn plan_steps(seed: u64, span: Duration, nodes: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(GAP_MS));
        if at >= span {
            break;
        }
        let step = Step {
            at,
            ends: false,
            fault: FAULTS[rng.random_range(0..FAULTS.len())],
            node: rng.random_range(0..nodes),
        };
        let end = at + Duration::from_millis(rng.random_range(HOLD_MS));
        steps.push(step);
        steps.push(Step {
            at: end.min(span),
            ends: true,
            ..step
        });
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// What was done.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCounts {
    /// Faults that happened.
    pub faults: BTreeMap<Fault, u64>,
    /// How publications ended.
    pub publications: BTreeMap<&'static str, u64>,
}

/// Carries out steps on a mesh.
pub struct FaultRunner<'a> {
    /// The mesh.
    pub mesh: &'a mut LocalMesh,
    /// Where leaving and joining are recorded.
    pub recorder: &'a Recorder,
    /// The time.
    pub timers: &'a TimerService,
    /// What was done.
    pub counts: FaultCounts,
}

impl FaultRunner<'_> {
    /// Carries out all steps, then mends everything.
    ///
    /// # Errors
    /// If a node can't be started again.
    pub fn run(&mut self, steps: &[Step]) -> Result<(), LocalMeshError> {
        let began = self.timers.now();
        for step in steps {
            let passed = self.timers.now().since(began);
            let wait = step.at.saturating_sub(passed);
            let _ = self.timers.after(wait).recv();
            if step.ends {
                self.end(*step)?;
            } else {
                self.begin(*step);
            }
        }
        for node in 0..self.mesh.nodes.len() {
            self.start_again(node)?;
        }
        Ok(())
    }

    fn begin(&mut self, step: Step) {
        let happened = match step.fault {
            Fault::Kill | Fault::Stop => self.take_down(step),
            Fault::CutHalfWay => self.cut_answers(step.node, AnswerFault::CutHalfWay),
            Fault::CutBefore => self.cut_answers(step.node, AnswerFault::CutBefore),
            Fault::Slow => {
                self.change(step.node, |behaviour| behaviour.slow_factor = SLOW_FACTOR);
                true
            }
            Fault::LogOutage => {
                self.mesh.log.set_condition(LogCondition::Refusing);
                true
            }
            Fault::LostAppendAnswers => {
                let loss = AnswerLoss::ServerError;
                self.mesh.log.lose_append_answers(2, loss);
                true
            }
            Fault::PublishAtOnce => {
                for outcome in publish_at_once(&self.mesh.log, step.at) {
                    *self.counts.publications.entry(outcome).or_default() += 1;
                }
                true
            }
        };
        if happened {
            *self.counts.faults.entry(step.fault).or_default() += 1;
        }
    }

    fn end(&mut self, step: Step) -> Result<(), LocalMeshError> {
        match step.fault {
            Fault::Kill | Fault::Stop => self.start_again(step.node)?,
            Fault::CutHalfWay | Fault::CutBefore => {
                self.cut_answers(step.node, AnswerFault::None);
            }
            Fault::Slow => self.change(step.node, |behaviour| behaviour.slow_factor = 1.0),
            Fault::LogOutage => self.mesh.log.set_condition(LogCondition::Serving),
            Fault::LostAppendAnswers => {
                self.mesh
                    .log
                    .lose_append_answers(0, AnswerLoss::ServerError);
            }
            Fault::PublishAtOnce => {}
        }
        Ok(())
    }

    fn take_down(&mut self, step: Step) -> bool {
        let nodes = &self.mesh.nodes;
        let down = nodes.iter().filter(|local| local.node.is_none()).count();
        if nodes[step.node].node.is_none() || down >= DOWN_AT_ONCE {
            return false;
        }
        if step.fault == Fault::Kill {
            self.mesh.kill_node(step.node);
        } else {
            let upstream = self.mesh.nodes[step.node].upstream.name().to_owned();
            self.recorder.record(Happening::Leaving { upstream });
            self.mesh.stop_node(step.node);
        }
        true
    }

    /// Nothing if the node runs.
    fn start_again(&mut self, node: usize) -> Result<(), LocalMeshError> {
        if self.mesh.nodes[node].node.is_some() {
            return Ok(());
        }
        let upstream = self.mesh.nodes[node].upstream.name().to_owned();
        self.recorder.record(Happening::Joined { upstream });
        let mut attempt = 1;
        loop {
            let started = self.mesh.restart_node(node);
            if started.is_ok() || attempt == START_ATTEMPTS {
                return started;
            }
            attempt += 1;
            let _ = self.timers.after(START_PAUSE).recv();
        }
    }

    fn cut_answers(&self, node: usize, fault: AnswerFault) -> bool {
        self.change(node, |behaviour| {
            behaviour.answer_fault = fault;
            behaviour.answer_fault_share = CUT_SHARE;
        });
        true
    }

    fn change(&self, node: usize, change: impl FnOnce(&mut Behaviour)) {
        self.mesh.nodes[node].upstream.change_behaviour(change);
    }
}
