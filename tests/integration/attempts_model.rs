//! Explores every order in which attempts, settlements and their repetitions may reach an executing
//! node, while calls end, time passes and the upstream drains. A message stays deliverable for good,
//! which covers loss, delay, reordering and duplicates at once.
//!
//! Invariant: of an attempt that was called "not run" or "never runs", nothing runs or ever ran; and
//! no attempt runs twice.

use camphorturn::{
    coordination::admission::{
        Admission, AdmissionAction, AdmissionSettings, Arrival, End, EndKind, Execution, Settled,
    },
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
    },
    state::{
        attempts::{AttemptBounds, Guard, Knowledge},
        class::{Class, KeyRule, Target},
        concurrency::limit::LimitRule,
        moment::Moment,
        names::ClassName,
    },
};
use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

const HORIZON: Duration = Duration::from_mins(1);
/// Past the time for which an attempt is kept, counted in horizons.
const LAST_TICK: u8 = 4;
const ATTEMPTS: usize = 4;
const ORIGIN: Duration = Duration::from_secs(1_700_000_000);

/// What the model remembers of one attempt beside the node's own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Fact {
    /// Tick of the last change at the node.
    changed: u8,
    /// Place in the order of arrival.
    order: u8,
    /// Times that the upstream was given it, without those that it refused itself.
    given: u8,
    at_upstream: bool,
    said_not_run: bool,
}

#[derive(Clone, Debug)]
struct Model {
    execution: Execution,
    tick: u8,
    draining: bool,
    arrivals: u8,
    facts: [Fact; ATTEMPTS],
    depth: u32,
}

/// What tells two states of the model apart.
#[derive(PartialEq, Eq, Hash)]
struct ModelKey {
    tick: u8,
    draining: bool,
    facts: [Fact; ATTEMPTS],
    known: [Knowledge; ATTEMPTS],
}

impl PartialEq for Model {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Model {}

impl Hash for Model {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl Model {
    fn new(capacity: usize, removed: Option<Guard>) -> Self {
        let settings = AdmissionSettings {
            slots: 1,
            queue_limit: 1,
            ramp: Duration::ZERO,
            rule: LimitRule::Fixed,
            ..AdmissionSettings::default()
        };
        let bounds = AttemptBounds {
            horizon: HORIZON,
            capacity,
        };
        let mut execution = Execution::new(Admission::new(settings), bounds, ORIGIN);
        if let Some(guard) = removed {
            execution = execution.without(guard);
        }
        execution.set_classes(&[class()]);
        execution.set_condition(UpstreamCondition::Serving, Moment::default());
        Self {
            execution,
            tick: 0,
            draining: false,
            arrivals: 0,
            facts: [Fact::default(); ATTEMPTS],
            depth: 0,
        }
    }

    fn key(&self) -> ModelKey {
        let now = self.now();
        let known = std::array::from_fn(|i| self.execution.look_up(attempt(i), now));
        ModelKey {
            tick: self.tick,
            draining: self.draining,
            facts: self.facts,
            known,
        }
    }

    fn now(&self) -> Moment {
        Moment::default() + HORIZON * u32::from(self.tick)
    }

    fn holds(&self) -> bool {
        let sound = |fact: &Fact| fact.given <= 1 && !(fact.said_not_run && fact.given > 0);
        self.facts.iter().all(sound)
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..ATTEMPTS {
            next.push(self.step(|model| model.arrive(i)));
            next.push(self.step(|model| model.settle(i)));
            if self.facts[i].at_upstream {
                let server_error = false;
                next.push(self.step(|model| model.end(i, EndKind::Answered { server_error })));
                next.push(self.step(|model| model.end(i, EndKind::Shed)));
            }
        }
        next.push(self.step(Self::toggle_draining));
        if self.tick < LAST_TICK {
            next.push(self.step(Self::pass_time));
        }
        next
    }

    fn step(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut model = self.clone();
        model.depth += 1;
        change(&mut model);
        model
    }

    fn arrive(&mut self, i: usize) {
        let class = ClassName::from("booking");
        let now = self.now();
        match self.execution.arrive(attempt(i), &class, HORIZON / 2, now) {
            Arrival::Run => self.give(i),
            Arrival::Queued => {
                self.arrivals += 1;
                self.facts[i].order = self.arrivals;
                self.facts[i].changed = self.tick;
            }
            Arrival::Refused(_) => self.facts[i].said_not_run = true,
            Arrival::Duplicate | Arrival::Forgotten => {}
        }
    }

    fn settle(&mut self, i: usize) {
        match self.execution.settle(attempt(i), self.now()) {
            Settled::NeverRuns { .. } => self.facts[i].said_not_run = true,
            Settled::Ran { .. } | Settled::Unknown => {}
        }
    }

    fn end(&mut self, i: usize, kind: EndKind) {
        let took = Duration::from_millis(1);
        self.facts[i].at_upstream = false;
        if kind == EndKind::Shed {
            self.facts[i].given -= 1;
            self.facts[i].said_not_run = true;
        }
        let actions = self
            .execution
            .finish(attempt(i), End { took, kind }, self.now());
        self.carry_out(&actions);
    }

    fn toggle_draining(&mut self) {
        self.draining = !self.draining;
        let condition = if self.draining {
            UpstreamCondition::Draining
        } else {
            UpstreamCondition::Serving
        };
        let actions = self.execution.set_condition(condition, self.now());
        self.carry_out(&actions);
    }

    fn pass_time(&mut self) {
        self.tick += 1;
        let actions = self.execution.expire(self.now());
        self.carry_out(&actions);
    }

    fn carry_out(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.give(usize::from(id.number)),
                AdmissionAction::Refuse(id, _) => {
                    self.facts[usize::from(id.number)].said_not_run = true;
                }
            }
        }
    }

    fn give(&mut self, i: usize) {
        self.facts[i].given += 1;
        self.facts[i].at_upstream = true;
        self.facts[i].changed = self.tick;
    }
}

/// The first two are issued at the start, the next two a horizon later.
fn attempt(i: usize) -> AttemptId {
    let after = HORIZON * u32::try_from(i / 2).expect("few attempts");
    let millis = u64::try_from((ORIGIN + after).as_millis()).expect("of this age");
    let issued = uuid::Builder::from_unix_timestamp_millis(millis, &[0; 10]);
    AttemptId {
        call: CallId(issued.into_uuid()),
        number: u16::try_from(i).expect("few attempts"),
    }
}

fn class() -> Class {
    Class {
        name: ClassName::from("booking"),
        rules: Vec::new(),
        target: Target {
            latency_ms: 60_000,
            share: 0.99,
        },
        deadline_ms: 60_000,
        priority: 1,
        idempotent: false,
        key: KeyRule::None,
        hedge: false,
    }
}

fn finds_violation(capacity: usize, removed: Guard) -> bool {
    let start = Model::new(capacity, Some(removed));
    let path = bfs(&start, Model::successors, |model| !model.holds());
    if let Some(path) = &path {
        println!(
            "without {removed:?}: violated after {} steps",
            path.len() - 1
        );
    }
    path.is_some()
}

fn explore(capacity: usize) {
    let mut states = 0;
    let mut depth = 0;
    for model in bfs_reach(Model::new(capacity, None), Model::successors) {
        assert!(model.holds(), "{:?}", model.facts);
        states += 1;
        depth = model.depth;
    }
    println!("capacity {capacity}: {states} states, depth {depth}");
    assert!(states > 100, "the model stands still");
}

#[test]
fn not_run_is_true_in_every_order() {
    explore(usize::MAX);
}

#[test]
fn not_run_is_true_when_attempts_are_forgotten_early() {
    explore(1);
}

#[test]
fn remember_settled_taken_out_is_found() {
    assert!(finds_violation(usize::MAX, Guard::RememberSettled));
}

#[test]
fn remember_ended_taken_out_is_found() {
    assert!(finds_violation(usize::MAX, Guard::RememberEnded));
}

#[test]
fn remember_refused_taken_out_is_found() {
    assert!(finds_violation(usize::MAX, Guard::RememberRefused));
}

#[test]
fn horizon_taken_out_is_found() {
    assert!(finds_violation(usize::MAX, Guard::Horizon));
}

#[test]
fn floor_taken_out_is_found() {
    assert!(finds_violation(1, Guard::Floor));
}

#[test]
fn leave_queue_taken_out_is_found() {
    assert!(finds_violation(usize::MAX, Guard::LeaveQueue));
}
