//! Replay of a load through placement, slot search and the slot queues of several upstreams, in virtual time. A message takes no
//! time.

use camphorturn::{
    coordination::{
        call_admission::{CallAdmission, UpstreamLoad},
        placement::order_candidates,
        slot_queue::{SlotAction, SlotDecision, SlotNumber, SlotQueue, SlotRequest},
        slot_search::{Refusal, SearchStep, SearchTime, SlotSearch},
    },
    state::{
        incarnation_id::IncarnationId,
        known_node::{KnownNode, NodeLoad, NodeRecord, StoredRecord},
        names::ClassName,
        request_rate::{LimitReport, RequestRate},
        timestamp::Timestamp,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Load and times of one class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub priority: u16,
    /// Requests per second to all upstreams.
    pub rate: f64,
    pub work: Duration,
    pub target: Duration,
    pub deadline: Duration,
    /// Share of the executions that fail because calls are rejected.
    pub failed_share: f64,
}

/// Upstreams and load of a replay.
#[derive(Clone, Debug)]
pub struct Setup {
    pub upstreams: usize,
    pub slots: usize,
    /// Requests per second that each upstream names as its limit.
    pub request_limit: Option<RequestRate>,
    pub classes: Vec<Class>,
    /// Factor of the rates in each phase, and its length.
    pub phases: Vec<(f64, Duration)>,
    /// Whether queues refuse early, and `Retry-After` comes from the queue.
    pub refuses_early: bool,
    /// Whether refused clients return after `Retry-After`, until their deadline.
    pub clients_return: bool,
    /// Whether requests whose calls will be rejected are refused.
    pub admits_by_calls: bool,
    /// Share of the calls that the called service accepts.
    pub accepted_share: f64,
    pub seed: u64,
}

/// How the requests of one class ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassOutcome {
    pub on_time: u32,
    pub late: u32,
    /// Time from the arrival at an entry node to each refusal.
    pub refused_after: Vec<Duration>,
    /// Requests that were not served before their deadline, whatever the number of refusals.
    pub not_served: u32,
    /// Executions that failed after their work; they aren't served either.
    pub failed: u32,
}

impl ClassOutcome {
    /// Number of requests answered before their deadline.
    pub fn served(&self) -> u32 {
        self.on_time + self.late
    }

    /// Number of refusals that came within `limit`.
    pub fn refused_sooner_than(&self, limit: Duration) -> usize {
        let soon = self.refused_after.iter().filter(|after| **after <= limit);
        soon.count()
    }

    /// Adds the counts of another replay.
    pub fn add(&mut self, other: Self) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.not_served += other.not_served;
        self.failed += other.failed;
        self.refused_after.extend(other.refused_after);
    }

    /// Counts for the output of a test.
    pub fn describe(&self) -> String {
        format!(
            "on time {}, late {}, failed {}, not served {}, refusals {}, within 50 ms {}",
            self.on_time,
            self.late,
            self.failed,
            self.not_served,
            self.refused_after.len(),
            self.refused_sooner_than(Duration::from_millis(50)),
        )
    }
}

struct Request {
    class: usize,
    entry: usize,
    /// Arrival of the client's first attempt.
    first_arrived: Timestamp,
    /// Arrival of the current attempt.
    arrived: Timestamp,
    search: SlotSearch,
}

/// The state of a replay.
pub struct Replay {
    setup: Setup,
    queues: Vec<SlotQueue>,
    admissions: Vec<CallAdmission>,
    /// What the entry node beside each upstream knows of all nodes.
    known: Vec<Vec<KnownNode>>,
    random: StdRng,
    requests: HashMap<(usize, SlotNumber), Request>,
    ends: BinaryHeap<Reverse<(Timestamp, usize, u64)>>,
    /// Refused clients that return: time, number, class, entry node, first arrival.
    returns: BinaryHeap<Reverse<(Timestamp, usize, usize, Timestamp)>>,
    outcomes: Vec<ClassOutcome>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(node).expect("few nodes")))
}

fn class_name(class: usize) -> ClassName {
    format!("class-{class}").as_str().into()
}

fn known_node(node: usize, slots: usize) -> KnownNode {
    KnownNode::new(StoredRecord {
        revision: 1,
        record: NodeRecord {
            name: format!("n{node}").as_str().into(),
            address: address(node),
            service: "desk".into(),
            availability_zone: "a".into(),
            incarnation: IncarnationId {
                instance: format!("i{node}"),
                started_ms: None,
            },
            slots: u16::try_from(slots).expect("few slots"),
            leaving: false,
            operator_address: None,
        },
    })
}

impl Replay {
    pub fn new(setup: Setup) -> Self {
        let start = Timestamp(0);
        let queues = (0..setup.upstreams).map(|_| {
            let mut queue = SlotQueue::new(setup.slots, start);
            queue.set_early_refusal(setup.refuses_early);
            if let Some(rate) = setup.request_limit {
                queue.record_limit_report(LimitReport::Named(rate), start, start);
            }
            queue
        });
        let node = |node| {
            let mut node = known_node(node, setup.slots);
            if let Some(rate) = setup.request_limit {
                node.request_limit
                    .record(LimitReport::Named(rate), start, start);
            }
            node
        };
        let known = (0..setup.upstreams).map(|_| (0..setup.upstreams).map(node).collect());
        Self {
            queues: queues.collect(),
            admissions: vec![CallAdmission::default(); setup.upstreams],
            known: known.collect(),
            random: StdRng::seed_from_u64(setup.seed),
            requests: HashMap::new(),
            ends: BinaryHeap::new(),
            returns: BinaryHeap::new(),
            outcomes: vec![ClassOutcome::default(); setup.classes.len()],
            setup,
        }
    }

    /// Plays the load and lets all requests end; returns the outcome of each class.
    pub fn play(mut self) -> Vec<ClassOutcome> {
        let mut arrivals: Vec<(Timestamp, usize)> = Vec::new();
        for (index, class) in self.setup.classes.clone().iter().enumerate() {
            let mut begin = Timestamp(0);
            for (factor, span) in self.setup.phases.clone() {
                let mut at = begin;
                loop {
                    let gap = -self.random.random_range(1e-9..1.0_f64).ln();
                    at = at + Duration::from_secs_f64(gap / (class.rate * factor));
                    if at.since(begin) >= span {
                        break;
                    }
                    arrivals.push((at, index));
                }
                begin = begin + span;
            }
        }
        arrivals.sort_unstable();
        for (at, class) in arrivals {
            self.run_until(at);
            let entry = self.random.random_range(0..self.setup.upstreams);
            self.begin(class, entry, at, at);
        }
        self.run_until(Timestamp(0) + Duration::from_secs(90));
        assert!(self.requests.is_empty(), "requests without an end");
        self.outcomes
    }

    fn run_until(&mut self, until: Timestamp) {
        let mut now = Timestamp(0);
        loop {
            let end = self.ends.peek().map(|Reverse((at, ..))| *at);
            let back = self.returns.peek().map(|Reverse((at, ..))| *at);
            let queues = self.queues.iter().enumerate();
            let expiry = queues
                .filter_map(|(node, queue)| Some((queue.next_expiry(now)?, node)))
                .min();
            let times = [end, back, expiry.map(|(at, _)| at)].into_iter().flatten();
            let Some(at) = times.min().filter(|at| *at <= until) else {
                return;
            };
            now = now.max(at);
            if end.is_some_and(|end| end <= at) {
                self.end_first(now);
            } else if back.is_some_and(|back| back <= at) {
                let Some(Reverse((_, class, entry, first))) = self.returns.pop() else {
                    return;
                };
                self.begin(class, entry, first, now);
            } else if let Some((_, node)) = expiry {
                let actions = self.queues[node].expire(now);
                self.apply(node, actions, now);
            }
        }
    }

    fn begin(&mut self, class: usize, entry: usize, first: Timestamp, now: Timestamp) {
        let random = &mut self.random;
        let candidates = order_candidates(
            self.known[entry].iter(),
            (&"desk".into(), &class_name(class)),
            &"a".into(),
            || random.random_range(0.0..1.0),
            now,
        );
        let target = self.setup.classes[class].target;
        let request = Request {
            class,
            entry,
            first_arrived: first,
            arrived: now,
            search: SlotSearch::begin(candidates, target, 1.0),
        };
        self.advance(request, now);
    }

    fn advance(&mut self, mut request: Request, now: Timestamp) {
        loop {
            let class = self.setup.classes[request.class];
            let elapsed = now.since(request.arrived);
            let deadline = request.first_arrived + class.deadline;
            let remaining = deadline.since(now);
            let (node, finish_within) =
                match request.search.find_next(SearchTime { elapsed, remaining }) {
                    SearchStep::TryNode(node) => (node, Duration::ZERO),
                    SearchStep::WaitAt {
                        node,
                        finish_within,
                    } => (node, finish_within),
                    SearchStep::GiveUp => return self.refuse(&request, now),
                };
            let index = usize::from(node.port());
            if self.refuses_calls(index, request.class, now) {
                continue;
            }
            let decision = self.queues[index].submit(
                &SlotRequest {
                    priority: class.priority,
                    organisation: None,
                    finish_within,
                    target_left: class.target.saturating_sub(elapsed),
                    time_left: remaining,
                    expected: class.work,
                },
                now,
            );
            self.record_load(request.entry, index, now);
            match decision {
                SlotDecision::Run(number) => {
                    self.requests.insert((index, number), request);
                    return self.start(index, number, now);
                }
                SlotDecision::Wait(number) => {
                    self.requests.insert((index, number), request);
                    let actions = self.queues[index].expire(now);
                    return self.apply(index, actions, now);
                }
                SlotDecision::Refuse { finish_in } => {
                    let known = &mut self.known[request.entry][index];
                    known.record_refusal(&class_name(request.class), finish_in, now);
                    request.search.record_refusal(Refusal {
                        node,
                        in_local_zone: true,
                        finish_in,
                    });
                }
            }
        }
    }

    /// The bound of the calls is the same for all classes, since a node can't tell which execution makes a call.
    fn refuses_calls(&mut self, node: usize, class: usize, now: Timestamp) -> bool {
        let load = UpstreamLoad {
            queued: self.queues[node].queued(),
            limit: self.queues[node].limit(),
        };
        let calls = [("called".into(), 1.4)];
        let admission = &mut self.admissions[node];
        self.setup.admits_by_calls
            && admission
                .decide(&class_name(class), &calls, load, now)
                .is_refused
    }

    /// Records the end of an execution, which made a call if it belongs to a class that fails at times.
    fn record_execution(&mut self, node: usize, class: usize, now: Timestamp) -> bool {
        let failed_share = self.setup.classes[class].failed_share;
        let has_failed = failed_share > 0.0 && self.random.random_bool(failed_share);
        if failed_share > 0.0 {
            let is_accepted = self.random.random_bool(self.setup.accepted_share);
            self.admissions[node].record_call(&"called".into(), is_accepted, now);
        }
        self.admissions[node].record_end(&class_name(class), has_failed, now);
        has_failed
    }

    fn record_load(&mut self, entry: usize, index: usize, now: Timestamp) {
        let queue = &self.queues[index];
        let count = |count| u16::try_from(count).unwrap_or(u16::MAX);
        let load = NodeLoad {
            running: count(queue.running()),
            queued: count(queue.queued()),
            limit: count(queue.limit()),
            slowdown_percent: 100,
            failed_percent: 0,
        };
        self.known[entry][index].load = Some((load, now));
    }

    fn start(&mut self, node: usize, number: SlotNumber, now: Timestamp) {
        let request = &self.requests[&(node, number)];
        self.admissions[node].record_start(&class_name(request.class), now);
        let work = self.setup.classes[request.class].work;
        let took = work.mul_f64(self.random.random_range(0.65..1.35));
        self.ends.push(Reverse((now + took, node, number.0)));
    }

    fn end_first(&mut self, now: Timestamp) {
        let Some(Reverse((_, node, number))) = self.ends.pop() else {
            return;
        };
        let number = SlotNumber(number);
        let request = self.requests.remove(&(node, number)).expect("it ran");
        let class = self.setup.classes[request.class];
        let took = now.since(request.first_arrived);
        let has_failed = self.record_execution(node, request.class, now);
        let outcome = &mut self.outcomes[request.class];
        if has_failed {
            outcome.failed += 1;
        } else if took <= class.target {
            outcome.on_time += 1;
        } else if took <= class.deadline {
            outcome.late += 1;
        } else {
            outcome.not_served += 1;
        }
        let actions = self.queues[node].finish(number, now);
        self.apply(node, actions, now);
    }

    fn apply(&mut self, node: usize, actions: Vec<SlotAction>, now: Timestamp) {
        for action in actions {
            match action {
                SlotAction::Start(number) => self.start(node, number, now),
                SlotAction::Expire(number) => {
                    let request = self.requests.remove(&(node, number)).expect("it waited");
                    self.advance(request, now);
                }
            }
        }
    }

    fn refuse(&mut self, request: &Request, now: Timestamp) {
        let outcome = &mut self.outcomes[request.class];
        outcome.refused_after.push(now.since(request.arrived));
        let class = self.setup.classes[request.class];
        let deadline = request.first_arrived + class.deadline;
        let after = if self.setup.refuses_early {
            let chance = self.random.random_range(0.0..1.0);
            request
                .search
                .find_spread_retry_after(deadline.since(now), chance)
        } else {
            request
                .search
                .find_retry_after(self.random.random_range(0.8..1.2))
        };
        let back = now + after;
        if self.setup.clients_return && back < deadline {
            self.returns.push(Reverse((
                back,
                request.class,
                request.entry,
                request.first_arrived,
            )));
        } else {
            outcome.not_served += 1;
        }
    }
}
