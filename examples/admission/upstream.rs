//! One simulated upstream with slots, in simulated time, offered more or less than it can do.

use camphorturn::{
    coordination::admission::{Admission, AdmissionAction, AdmissionSettings, End, EndKind, Offer},
    protocol::{
        attempt::{AttemptId, CallId},
        load_report::UpstreamCondition,
    },
    state::{
        class::{Class, KeyRule, Target},
        concurrency::limit::LimitRule,
        moment::Moment,
        names::ClassName,
    },
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{collections::HashMap, time::Duration};
use uuid::Uuid;

const SLOTS: u16 = 6;
const RUN: Moment = Moment(60_000_000);
const DEADLINE: Duration = Duration::from_secs(1);
const SLOW_FACTOR: f64 = 10.0;
/// A refusal later than this after the offer counts as late.
const LATE: Duration = Duration::from_millis(5);

/// How the upstream slows down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Slowdown {
    None,
    /// Each call takes ten times as long, for 100 ms in every second.
    SpellsPerCall,
    /// All calls together get a tenth of the work done, for 100 ms in every second.
    SpellsShared,
    /// Each call takes ten times as long in the middle third of the run.
    LastingPerCall,
    /// All calls together get a tenth of the work done in the middle third of the run.
    LastingShared,
}

impl Slowdown {
    fn is_slow(self, now: Moment) -> bool {
        match self {
            Self::None => false,
            Self::SpellsPerCall | Self::SpellsShared => now.0 % 1_000_000 < 100_000,
            Self::LastingPerCall | Self::LastingShared => {
                now.0 >= RUN.0 / 3 && now.0 < RUN.0 / 3 * 2
            }
        }
    }

    /// Work done on each of `running` calls in a unit of time.
    fn rate(self, now: Moment, running: usize) -> f64 {
        if !self.is_slow(now) {
            return 1.0;
        }
        match self {
            Self::SpellsShared | Self::LastingShared => {
                (f64::from(SLOTS) / SLOW_FACTOR / float(running)).min(1.0)
            }
            _ => 1.0 / SLOW_FACTOR,
        }
    }
}

/// Figures of one class in one trial.
#[derive(Serialize)]
pub struct ClassFigures {
    pub name: &'static str,
    pub offered: u64,
    pub on_target_of_offered_percent: f64,
    pub on_target_of_answered_percent: f64,
    pub refused_percent: f64,
    pub timed_out: u64,
    pub p99_ms: f64,
}

/// Figures of one trial.
#[derive(Serialize)]
pub struct Trial {
    pub rule: LimitRule,
    pub scenario: String,
    pub load_percent: u32,
    /// Work of whole answers over what the slots do in the run when the upstream is well.
    pub goodput_percent: f64,
    /// Refusals more than 5 ms after the offer.
    pub late_refusals: u64,
    pub refusal_max_ms: f64,
    pub classes: Vec<ClassFigures>,
}

struct Work {
    name: &'static str,
    target_ms: u32,
    priority: u8,
    mean_micros: f64,
    share: f64,
}

const WORKS: [Work; 2] = [
    Work {
        name: "lookup",
        target_ms: 50,
        priority: 9,
        mean_micros: 5_000.0,
        share: 0.3,
    },
    Work {
        name: "booking",
        target_ms: 200,
        priority: 1,
        mean_micros: 20_000.0,
        share: 0.7,
    },
];

/// Runs all rules against all slow-downs at 70% and 120% load.
pub fn run_all(seed: u64) -> Vec<Trial> {
    let mut trials = Vec::new();
    for slowdown in [
        Slowdown::None,
        Slowdown::SpellsPerCall,
        Slowdown::SpellsShared,
        Slowdown::LastingPerCall,
        Slowdown::LastingShared,
    ] {
        for load_percent in [70, 120] {
            for rule in [LimitRule::Fixed, LimitRule::Aimd, LimitRule::Gradient] {
                trials.push(Simulation::new(rule, slowdown, seed).run(load_percent));
            }
        }
    }
    trials
}

struct SimulatedCall {
    work: usize,
    offered: Moment,
    started: Moment,
    needed: f64,
    left: f64,
}

#[derive(Default)]
struct Tally {
    offered: u64,
    answered: u64,
    on_target: u64,
    refused: u64,
    timed_out: u64,
}

struct Simulation {
    rule: LimitRule,
    slowdown: Slowdown,
    rng: StdRng,
    admission: Admission,
    now: Moment,
    running: HashMap<AttemptId, SimulatedCall>,
    waiting: HashMap<AttemptId, SimulatedCall>,
    tallies: [Tally; WORKS.len()],
    latencies: [Histogram<u64>; WORKS.len()],
    work_done: f64,
    late_refusals: u64,
    refusal_max: Duration,
}

/// Length of a step of simulated time.
const STEP: Duration = Duration::from_micros(50);

impl Simulation {
    fn new(rule: LimitRule, slowdown: Slowdown, seed: u64) -> Self {
        let mut admission = Admission::new(AdmissionSettings {
            slots: SLOTS,
            ramp: Duration::ZERO,
            rule,
            ..AdmissionSettings::default()
        });
        admission.set_classes(&WORKS.each_ref().map(class));
        admission.set_condition(UpstreamCondition::Serving, Moment(0));
        Self {
            rule,
            slowdown,
            rng: StdRng::seed_from_u64(seed),
            admission,
            now: Moment(0),
            running: HashMap::new(),
            waiting: HashMap::new(),
            tallies: Default::default(),
            latencies: std::array::from_fn(|_| {
                Histogram::new_with_max(10_000_000, 3).expect("bounds are in order")
            }),
            work_done: 0.0,
            late_refusals: 0,
            refusal_max: Duration::ZERO,
        }
    }

    fn run(mut self, load_percent: u32) -> Trial {
        let load = f64::from(load_percent) / 100.0;
        let mut next: [Moment; WORKS.len()] = [Moment(0); WORKS.len()];
        let mut number = 0;
        while self.now < RUN {
            self.now = self.now + STEP;
            self.advance_upstream();
            for (i, work) in WORKS.iter().enumerate() {
                while next[i] <= self.now {
                    let mean_gap = work.mean_micros / (load * work.share * f64::from(SLOTS));
                    let gap = self.draw(mean_gap);
                    next[i] = next[i] + Duration::from_secs_f64(gap / 1e6);
                    number += 1;
                    self.offer(number, i);
                }
            }
            if self
                .admission
                .next_expiry()
                .is_some_and(|due| due <= self.now)
            {
                let actions = self.admission.expire(self.now);
                self.carry_out(&actions);
            }
        }
        self.sum_up(load_percent)
    }

    fn draw(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn offer(&mut self, number: u128, work: usize) {
        let id = AttemptId {
            call: CallId(Uuid::from_u128(number)),
            number: 0,
        };
        let needed = self.draw(WORKS[work].mean_micros);
        let call = SimulatedCall {
            work,
            offered: self.now,
            started: self.now,
            needed,
            left: needed,
        };
        self.tallies[work].offered += 1;
        let name = ClassName::from(WORKS[work].name);
        match self.admission.offer(id, &name, DEADLINE, self.now) {
            Offer::Run => {
                self.running.insert(id, call);
            }
            Offer::Queued => {
                self.waiting.insert(id, call);
            }
            Offer::Refused(_) => self.tallies[work].refused += 1,
        }
    }

    fn advance_upstream(&mut self) {
        let rate = self.slowdown.rate(self.now, self.running.len());
        let done = rate * STEP.as_secs_f64() * 1e6;
        let mut ended = Vec::new();
        for (id, call) in &mut self.running {
            call.left -= done;
            if call.left <= 0.0 || self.now.since(call.offered) >= DEADLINE {
                ended.push(*id);
            }
        }
        ended.sort_unstable();
        for id in ended {
            self.end(id);
        }
    }

    fn end(&mut self, id: AttemptId) {
        let Some(call) = self.running.remove(&id) else {
            return;
        };
        let tally = &mut self.tallies[call.work];
        let total = self.now.since(call.offered);
        let kind = if call.left <= 0.0 {
            tally.answered += 1;
            let target = Duration::from_millis(u64::from(WORKS[call.work].target_ms));
            tally.on_target += u64::from(total <= target);
            self.work_done += call.needed;
            let micros = u64::try_from(total.as_micros()).unwrap_or(u64::MAX);
            self.latencies[call.work].saturating_record(micros);
            EndKind::Answered {
                server_error: false,
            }
        } else {
            tally.timed_out += 1;
            EndKind::TimedOut
        };
        let took = self.now.since(call.started);
        let actions = self.admission.finish(id, End { took, kind }, self.now);
        self.carry_out(&actions);
    }

    fn carry_out(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => {
                    let mut call = self.waiting.remove(id).expect("it waited");
                    call.started = self.now;
                    self.running.insert(*id, call);
                }
                AdmissionAction::Refuse(id, _) => {
                    let call = self.waiting.remove(id).expect("it waited");
                    let waited = self.now.since(call.offered);
                    self.tallies[call.work].refused += 1;
                    self.late_refusals += u64::from(waited > LATE);
                    self.refusal_max = self.refusal_max.max(waited);
                }
            }
        }
    }

    fn sum_up(self, load_percent: u32) -> Trial {
        let capacity = f64::from(SLOTS) * RUN.since(Moment(0)).as_secs_f64() * 1e6;
        let classes = WORKS.iter().enumerate().map(|(i, work)| {
            let tally = &self.tallies[i];
            ClassFigures {
                name: work.name,
                offered: tally.offered,
                on_target_of_offered_percent: percent(tally.on_target, tally.offered),
                on_target_of_answered_percent: percent(tally.on_target, tally.answered),
                refused_percent: percent(tally.refused, tally.offered),
                timed_out: tally.timed_out,
                p99_ms: millis(self.latencies[i].value_at_quantile(0.99)),
            }
        });
        Trial {
            rule: self.rule,
            scenario: format!("{:?}", self.slowdown),
            load_percent,
            goodput_percent: self.work_done / capacity * 100.0,
            late_refusals: self.late_refusals,
            refusal_max_ms: self.refusal_max.as_secs_f64() * 1e3,
            classes: classes.collect(),
        }
    }
}

fn class(work: &Work) -> Class {
    Class {
        name: ClassName::from(work.name),
        rules: Vec::new(),
        target: Target {
            latency_ms: work.target_ms,
            share: 0.99,
        },
        deadline_ms: 1000,
        priority: work.priority,
        idempotent: true,
        key: KeyRule::None,
        hedge: false,
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    let part = f64::from(u32::try_from(part).unwrap_or(u32::MAX));
    let whole = f64::from(u32::try_from(whole).unwrap_or(u32::MAX));
    part / whole.max(1.0) * 100.0
}

fn millis(micros: u64) -> f64 {
    f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1e3
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)).max(1.0)
}
