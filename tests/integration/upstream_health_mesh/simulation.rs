//! Upstreams and entry nodes in virtual time. Each event is an arrival or the end of an execution.

use camphorturn::{
    coordination::{
        placement::order_candidates,
        slot_search::{Refusal, SearchStep, SearchTime, SlotSearch},
        upstream_health::{
            Admission, EndEffect, EvidenceKind, ExecutionEnd, ExecutionNumber, ExecutionStart,
            HealthChange, HealthState, PeerReport, TrialNumber, UpstreamHealth,
            UpstreamHealthSettings,
        },
    },
    state::{
        failure_rate::FailureRate,
        incarnation_id::IncarnationId,
        known_node::{KnownNode, NodeLoad, NodeRecord, StoredRecord},
        timestamp::Timestamp,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

pub const UPSTREAMS: usize = 57;
const ENTRY_NODES: usize = 71;
pub const ZONES: usize = 4;
/// Slots that a node uses of its upstream.
const LIMIT: usize = 14;
const REQUESTS_PER_SECOND: f64 = 570.0;
const TARGET: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(4_500);
/// Time that an error takes.
const ERROR_TIME: Duration = Duration::from_millis(2);
/// Upstreams that one request may be sent to.
const MAX_ATTEMPTS: usize = 2;
/// How often a search may begin again after refusals by nodes of ejected upstreams, as at an entry node.
const MAX_RESTARTS: u32 = 2;
/// When the fault begins and ends, and when the run ends.
const FAULT: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(16));
const END: Duration = Duration::from_secs(36);
/// Share of requests that fail in quiet times.
const USUAL_FAILURES: f64 = 0.004;

/// What is wrong with an upstream during the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// It fails this share of its requests.
    Fails(f64),
    /// It answers no request.
    Silent,
    /// It takes 8 times as long as usual.
    Slow,
}

pub struct Upstream {
    fault: Fault,
    pub health: UpstreamHealth,
    rate: FailureRate,
    running: usize,
}

struct Execution {
    upstream: usize,
    entry: usize,
    idempotent: bool,
    attempts: usize,
    search: SlotSearch,
    number: ExecutionNumber,
    sent: Timestamp,
    arrived: Timestamp,
    kind: EvidenceKind,
}

#[derive(Default)]
pub struct Counts {
    pub failed: usize,
    /// Executions without an answer within the latency target.
    pub silent: usize,
    pub refused: usize,
    pub lost: usize,
    pub ejected: BTreeMap<usize, usize>,
    /// Largest number of upstreams that were ejected at the same time.
    pub most_ejected: usize,
}

pub struct Mesh {
    is_enabled: bool,
    rng: StdRng,
    pub upstreams: Vec<Upstream>,
    /// By entry node, the known nodes. The first nodes have the upstreams.
    known: Vec<BTreeMap<SocketAddr, KnownNode>>,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// By number of the event; `None` for an arrival.
    pending: BTreeMap<u64, Option<Execution>>,
    next_event: u64,
    start: Timestamp,
    pub now: Timestamp,
    pub counts: Counts,
}

fn address(upstream: usize) -> SocketAddr {
    let last = u8::try_from(upstream).expect("a small number");
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn zone(node: usize) -> String {
    format!("z{}", node % ZONES)
}

fn build_known(upstream: usize) -> KnownNode {
    KnownNode::new(StoredRecord {
        revision: 1,
        record: NodeRecord {
            name: format!("n{upstream}").as_str().into(),
            address: address(upstream),
            service: "desk".into(),
            availability_zone: zone(upstream).as_str().into(),
            incarnation: IncarnationId {
                instance: format!("i-{upstream}"),
                started_ms: Some(1),
            },
            slots: 18,
            leaving: false,
            operator_address: None,
        },
    })
}

/// The entry node at a position (0 to 1) of the demand, which falls linearly from node to node, to a quarter.
fn pick_entry(position: f64) -> usize {
    let weights = (0..ENTRY_NODES).map(|node| {
        let node = u32::try_from(node).expect("a small number");
        let last = u32::try_from(ENTRY_NODES - 1).expect("a small number");
        4.0 - 3.0 * f64::from(node) / f64::from(last)
    });
    let mut left = position * weights.clone().sum::<f64>();
    weights
        .take_while(|weight| {
            left -= weight;
            left >= 0.0
        })
        .count()
        .min(ENTRY_NODES - 1)
}

impl Mesh {
    pub fn new(is_enabled: bool, seed: u64, faults: impl Fn(usize) -> Fault) -> Self {
        let start = Timestamp(1_000_000_000);
        let upstreams = (0..UPSTREAMS).map(|number| Upstream {
            fault: faults(number),
            health: UpstreamHealth::default(),
            rate: FailureRate::default(),
            running: 0,
        });
        let known = (0..UPSTREAMS).map(|number| (address(number), build_known(number)));
        Self {
            is_enabled,
            rng: StdRng::seed_from_u64(seed),
            upstreams: upstreams.collect(),
            known: vec![known.collect(); ENTRY_NODES],
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            start,
            now: start,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Option<Execution>) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + after, self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    pub fn run(mut self) -> Self {
        self.schedule(Duration::ZERO, None);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.start + END {
                break;
            }
            self.now = at;
            match self.pending.remove(&number).expect("an event") {
                None => self.arrive(),
                Some(execution) => self.end(execution),
            }
        }
        self
    }

    fn is_faulty_now(&self) -> bool {
        let elapsed = self.now.since(self.start);
        (FAULT.0..FAULT.1).contains(&elapsed)
    }

    fn arrive(&mut self) {
        // Demand is uneven: the first node gets four times as many requests as the last.
        let position: f64 = self.rng.random_range(0.0..1.0);
        let entry = pick_entry(position);
        let idempotent = self.rng.random_bool(0.7);
        let pause = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / REQUESTS_PER_SECOND;
        self.schedule(Duration::from_secs_f64(pause), None);
        let search = self.begin_search(entry);
        self.search(entry, idempotent, 0, search, self.now);
    }

    fn begin_search(&mut self, entry: usize) -> SlotSearch {
        let rng = &mut self.rng;
        let candidates = order_candidates(
            self.known[entry].values(),
            (&"desk".into(), &"look".into()),
            &zone(entry).as_str().into(),
            || rng.random_range(0.0..1.0),
            self.now,
        );
        SlotSearch::begin(candidates, TARGET, 2.0)
    }

    /// Asks nodes until one executes the request.
    fn search(
        &mut self,
        entry: usize,
        idempotent: bool,
        attempts: usize,
        mut search: SlotSearch,
        arrived: Timestamp,
    ) {
        let mut restarts = 0;
        let mut is_refused = false;
        loop {
            let elapsed = self.now.since(arrived);
            let step = search.find_next(SearchTime {
                elapsed,
                remaining: DEADLINE.saturating_sub(elapsed),
            });
            let (SearchStep::TryNode(node) | SearchStep::WaitAt { node, .. }) = step else {
                if is_refused && restarts < MAX_RESTARTS {
                    restarts += 1;
                    is_refused = false;
                    search = self.begin_search(entry);
                    continue;
                }
                self.counts.lost += 1;
                return;
            };
            let upstream = (0..UPSTREAMS)
                .find(|number| address(*number) == node)
                .expect("a known node");
            let admission = self.admit(upstream, idempotent);
            let is_full = self.upstreams[upstream].running >= LIMIT;
            let trial = match admission {
                Admission::Refuse { wait } => {
                    self.counts.refused += 1;
                    is_refused = true;
                    let load = self.load(upstream);
                    let known = self.known[entry].get_mut(&node).expect("a known node");
                    known.load = Some((load, self.now));
                    known.record_failing(wait, self.now);
                    search.continue_in_remote_zones();
                    continue;
                }
                Admission::Admit => None,
                Admission::Trial(trial) => Some(trial),
            };
            if is_full {
                if let Some(trial) = trial {
                    self.upstreams[upstream].health.cancel_trial(trial);
                }
                let load = self.load(upstream);
                let known = self.known[entry].get_mut(&node).expect("a known node");
                known.load = Some((load, self.now));
                search.record_refusal(Refusal {
                    node,
                    in_local_zone: zone(entry) == zone(upstream),
                    finish_in: TARGET,
                });
                continue;
            }
            self.execute(
                upstream, entry, idempotent, attempts, trial, search, arrived,
            );
            return;
        }
    }

    fn admit(&mut self, upstream: usize, idempotent: bool) -> Admission {
        if !self.is_enabled {
            return Admission::Admit;
        }
        self.judge(upstream);
        let state = &mut self.upstreams[upstream];
        state
            .health
            .admit(idempotent, (state.running, LIMIT), self.now)
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one request")]
    fn execute(
        &mut self,
        upstream: usize,
        entry: usize,
        idempotent: bool,
        attempts: usize,
        trial: Option<TrialNumber>,
        search: SlotSearch,
        arrived: Timestamp,
    ) {
        let (kind, took) = self.draw_result(upstream);
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        state.running += 1;
        let number = state.health.begin_execution(
            ExecutionStart {
                class: "look".into(),
                target: Some(TARGET),
                slowdown_percent: 100,
                trial,
            },
            now,
        );
        let known = self.known[entry]
            .get_mut(&address(upstream))
            .expect("a known node");
        known.record_sent_request(now);
        let execution = Execution {
            upstream,
            entry,
            idempotent,
            attempts: attempts + 1,
            search,
            number,
            sent: now,
            arrived,
            kind,
        };
        self.schedule(took, Some(execution));
    }

    fn draw_result(&mut self, upstream: usize) -> (EvidenceKind, Duration) {
        let fault = if self.is_faulty_now() {
            self.upstreams[upstream].fault
        } else {
            Fault::None
        };
        let share = match fault {
            Fault::Silent => return (EvidenceKind::NoAnswer, DEADLINE),
            Fault::Fails(share) => share,
            Fault::None | Fault::Slow => USUAL_FAILURES,
        };
        if self.rng.random_bool(share) {
            return (EvidenceKind::Failed, ERROR_TIME);
        }
        let took = TARGET.mul_f64(self.rng.random_range(0.15..0.55));
        let factor = if fault == Fault::Slow { 8 } else { 1 };
        (EvidenceKind::Answered, took * factor)
    }

    fn load(&self, upstream: usize) -> NodeLoad {
        let state = &self.upstreams[upstream];
        NodeLoad {
            running: u16::try_from(state.running).expect("a small number"),
            queued: 0,
            limit: 14,
            slowdown_percent: 100,
            failed_percent: state.rate.percent(),
        }
    }

    /// Counts overdue executions and judges, as the node of the upstream does before it admits a request and after each execution.
    fn judge(&mut self, upstream: usize) {
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        for _ in 0..state.health.count_overdue(100, now) {
            state.rate.observe(true);
        }
        if state.health.needs_reports_since(now).is_none() {
            return;
        }
        let others = self.known[upstream].values();
        let reports: Vec<_> = others
            .filter(|known| known.record.address != address(upstream))
            .filter_map(|known| {
                let (load, at) = known.load?;
                let is_ejected = known.is_ejected(now);
                Some(PeerReport {
                    load,
                    at,
                    is_ejected,
                })
            })
            .collect();
        let settings = UpstreamHealthSettings::default();
        let change = state
            .health
            .judge(settings, state.rate.percent(), &reports, now);
        if let Some(HealthChange::Ejected { .. }) = change {
            *self.counts.ejected.entry(upstream).or_default() += 1;
            let states = self.upstreams.iter().map(|state| state.health.state(now));
            let ejected = states
                .filter(|state| *state == HealthState::Ejected)
                .count();
            self.counts.most_ejected = self.counts.most_ejected.max(ejected);
        }
    }

    fn end(&mut self, execution: Execution) {
        let Execution {
            upstream, entry, ..
        } = execution;
        let end = ExecutionEnd::Ended(execution.kind);
        let state = &mut self.upstreams[upstream];
        state.running -= 1;
        let effect = state
            .health
            .end_execution(execution.number, end, 100, self.now);
        if let EndEffect::Evidence { failed } = effect {
            state.rate.observe(failed);
        }
        if self.is_enabled {
            self.judge(upstream);
        }
        let load = self.load(upstream);
        let known = self.known[entry]
            .get_mut(&address(upstream))
            .expect("a known node");
        known.record_response(self.now);
        known.record_ended_request();
        known.load = Some((load, self.now));
        known.record_accepted(execution.sent);
        match execution.kind {
            EvidenceKind::Answered if self.now.since(execution.sent) > TARGET => {
                self.counts.silent += 1;
            }
            EvidenceKind::Answered => {}
            EvidenceKind::NoAnswer => self.counts.silent += 1,
            _ => {
                self.counts.failed += 1;
                if execution.idempotent && execution.attempts < MAX_ATTEMPTS {
                    self.search(
                        entry,
                        true,
                        execution.attempts,
                        execution.search,
                        execution.arrived,
                    );
                }
            }
        }
    }
}
