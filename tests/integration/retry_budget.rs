//! Retry budgets: number of requests that all nodes together send to second upstreams, including the calls made by retried
//! requests.

use bolero::{TypeGenerator, check};
use camphorturn::{
    coordination::{
        calls_per_execution::{CallsPerExecution, ExecutionStart},
        retry_budget::{RetryBudget, RetryBudgetSettings, RetryBudgetShare},
    },
    state::{
        names::{ClassName, ServiceName},
        timestamp::Timestamp,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    slack: 62.0,
    window: Duration::from_secs(10),
};
const LONG_UPTIME: Duration = Duration::from_hours(1);

fn share(nodes: usize, uptime: Duration) -> RetryBudgetShare {
    RetryBudgetShare {
        settings: SETTINGS,
        nodes,
        uptime,
    }
}

fn to_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few steps"))
}

/// Failure: all nodes together send more retries than operators allow. All nodes spend their parts in full at the same time, and
/// the parts add up to more than the whole budget.
#[test]
fn try_spend_by_all_nodes() {
    check!()
        .with_type::<Vec<(u8, bool, u16)>>()
        .for_each(|steps| {
            const NODES: usize = 5;
            let mut nodes = vec![RetryBudget::default(); NODES];
            let mut granted_at: Vec<Timestamp> = Vec::new();
            let mut requested_at: Vec<Timestamp> = Vec::new();
            let mut now = Timestamp(0);
            for (node, is_retry, span) in steps {
                now = now + Duration::from_millis(u64::from(*span) % 2_000);
                let node = &mut nodes[usize::from(*node) % NODES];
                if *is_retry {
                    let granted = node.try_spend(now, share(NODES, LONG_UPTIME), 1.0);
                    granted_at.extend(granted.then_some(now));
                } else {
                    node.count_request(now, SETTINGS);
                    requested_at.push(now);
                }
                let within = |at: &&Timestamp| now.since(**at) <= SETTINGS.window;
                let retries = granted_at.iter().filter(within).count();
                let requests = requested_at.iter().filter(within).count();
                let allowed = 0.2 * to_float(requests) + SETTINGS.slack;
                assert!(to_float(retries) <= allowed);
            }
        });
}

/// Failure: the slack is spent twice within one window. All nodes spend it and are killed and restarted, and the new processes
/// count their parts of the slack as unspent.
#[test]
fn try_spend_slack_after_restart() {
    const NODES: usize = 12;
    let mut spent = 0.0;
    for uptime in [LONG_UPTIME, Duration::from_secs(1)] {
        for _ in 0..NODES {
            let mut budget = RetryBudget::default();
            while budget.try_spend(Timestamp(0), share(NODES, uptime), 1.0) {
                spent += 1.0;
            }
        }
    }
    assert!(spent <= SETTINGS.slack, "{spent}");
}

#[test]
fn estimate_max_calls_at_least_actual_calls() {
    let (history, irrigate) = (ClassName::from("history"), ServiceName::from("irrigate"));
    let mut calls = CallsPerExecution::default();
    let mut now = Timestamp(0);
    for _ in 0..50 {
        let start = calls.record_start(&history, now);
        for _ in 0..2 {
            calls.record_request(&irrigate, now);
        }
        calls.record_end(&history, &start);
        now = now + Duration::from_millis(40);
    }
    // Clients of the VM call the same service.
    calls.record_request(&irrigate, now);
    let bound = calls.estimate_max_calls(&history, now);
    let [(service, amount)] = bound.as_slice() else {
        panic!("{bound:?}");
    };
    assert_eq!(*service, irrigate);
    assert!((1.99..2.2).contains(amount), "{amount}");
}

#[test]
fn estimate_max_calls_unknown_class() {
    let calls = CallsPerExecution::default();
    assert!(
        calls
            .estimate_max_calls(&"new".into(), Timestamp(0))
            .is_empty()
    );
}

/// Random deployment: clients call service 0, and the executions of each service call the next one.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Deployment {
    seed: u64,
    nodes_per_service: u8,
    depth: u8,
    calls: [u8; 3],
    requests_per_second: u16,
    /// Percentage of first attempts that fail and are retried.
    failing_percent: u8,
}

struct Node {
    service: usize,
    budgets: HashMap<usize, RetryBudget>,
    calls: CallsPerExecution,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        entry: usize,
        service: usize,
        is_retry: bool,
    },
    ExecutionEnds {
        node: usize,
        fails: bool,
        entry: usize,
        is_first_attempt: bool,
        execution: usize,
    },
}

struct Model {
    deployment: Deployment,
    random: StdRng,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    executions: Vec<ExecutionStart>,
    /// Times of all requests by service, and of those caused by a retry.
    requests: Vec<Vec<Timestamp>>,
    retry_arrivals: Vec<Vec<Timestamp>>,
}

impl Model {
    fn new(deployment: Deployment) -> Self {
        let depth = usize::from(deployment.depth % 3) + 1;
        let nodes_per_service = usize::from(deployment.nodes_per_service % 5) + 1;
        let nodes = (0..depth * nodes_per_service).map(|number| Node {
            service: number / nodes_per_service,
            budgets: HashMap::new(),
            calls: CallsPerExecution::default(),
        });
        Self {
            deployment,
            random: StdRng::seed_from_u64(deployment.seed),
            nodes: nodes.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            executions: Vec::new(),
            requests: vec![Vec::new(); depth],
            retry_arrivals: vec![Vec::new(); depth],
        }
    }

    fn service_name(service: usize) -> ServiceName {
        format!("s{service}").as_str().into()
    }

    fn class_name(service: usize) -> ClassName {
        format!("c{service}").as_str().into()
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((millis, self.sequence, event)));
    }

    fn run(&mut self, seconds: u64) {
        let rate = u64::from(self.deployment.requests_per_second % 300) + 5;
        for number in 0..rate * seconds {
            let entry = self.random.random_range(0..self.nodes.len());
            let at = number * 1_000 / rate;
            let request = Event::Request {
                entry,
                service: 0,
                is_retry: false,
            };
            self.schedule(at, request);
        }
        while let Some(Reverse((millis, _, event))) = self.events.pop() {
            self.apply(millis, event);
        }
    }

    fn apply(&mut self, millis: u64, event: Event) {
        let now = Timestamp(0) + Duration::from_millis(millis);
        match event {
            Event::Request {
                entry,
                service,
                is_retry,
            } => {
                let node = &mut self.nodes[entry];
                node.calls.record_request(&Self::service_name(service), now);
                let budget = node.budgets.entry(service).or_default();
                budget.count_request(now, SETTINGS);
                self.requests[service].push(now);
                if is_retry {
                    self.retry_arrivals[service].push(now);
                }
                self.start(millis, entry, service, true);
            }
            Event::ExecutionEnds {
                node,
                fails,
                entry,
                is_first_attempt,
                execution,
            } => {
                let start = std::mem::take(&mut self.executions[execution]);
                let service = self.nodes[node].service;
                let class = Self::class_name(service);
                self.nodes[node].calls.record_end(&class, &start);
                if fails && is_first_attempt && self.spend_retry(entry, service, now) {
                    self.start(millis, entry, service, false);
                }
            }
        }
    }

    fn spend_retry(&mut self, entry: usize, service: usize, now: Timestamp) -> bool {
        let uptime = now.since(Timestamp(0));
        let nodes = self.nodes.len();
        let budget = self.nodes[entry].budgets.entry(service).or_default();
        budget.try_spend(now, share(nodes, uptime), 1.0)
    }

    /// Starts an execution at a random node of the service; a retry only if the budgets of that node permit its calls.
    fn start(&mut self, millis: u64, entry: usize, service: usize, is_first_attempt: bool) {
        let now = Timestamp(0) + Duration::from_millis(millis);
        let nodes_per_service = self.nodes.len() / self.requests.len();
        let node = service * nodes_per_service + self.random.random_range(0..nodes_per_service);
        let class = Self::class_name(service);
        if !is_first_attempt {
            for (called, amount) in self.nodes[node].calls.estimate_max_calls(&class, now) {
                let called: usize = called.as_str()[1..].parse().expect("a number");
                let (nodes, uptime) = (self.nodes.len(), now.since(Timestamp(0)));
                let budget = self.nodes[node].budgets.entry(called).or_default();
                if !budget.try_spend(now, share(nodes, uptime), amount) {
                    let entry = self.nodes[entry].budgets.entry(service);
                    entry.or_default().refund(1);
                    return;
                }
            }
            self.retry_arrivals[service].push(now);
        }
        self.executions
            .push(self.nodes[node].calls.record_start(&class, now));
        let duration = self.random.random_range(20..150);
        if service + 1 < self.requests.len() {
            for _ in 0..self.deployment.calls[service] % 4 {
                let at = millis + self.random.random_range(1..duration);
                let call = Event::Request {
                    entry: node,
                    service: service + 1,
                    is_retry: !is_first_attempt,
                };
                self.schedule(at, call);
            }
        }
        let fails = self.random.random_range(0..100) < self.deployment.failing_percent % 101;
        let end = Event::ExecutionEnds {
            node,
            fails,
            entry,
            is_first_attempt,
            execution: self.executions.len() - 1,
        };
        self.schedule(millis + duration, end);
    }

    /// Maximum used share of the allowed retries over all windows and services.
    fn max_used_share(&self) -> f64 {
        let services = self.requests.iter().zip(&self.retry_arrivals);
        services
            .map(|(requests, retries)| find_max_used_share(requests, retries))
            .fold(0.0, f64::max)
    }
}

/// Maximum share over all windows. The allowed retries follow from the requests of the window itself, of the window that starts
/// half a window earlier, or of the one before it, whichever has the most requests.
fn find_max_used_share(requests: &[Timestamp], retry_arrivals: &[Timestamp]) -> f64 {
    let window = SETTINGS.window;
    let count = |from: Timestamp, times: &[Timestamp]| {
        let first = times.partition_point(|at| *at < from);
        let last = times.partition_point(|at| *at <= from + window);
        to_float(last - first)
    };
    let earlier =
        |at: Timestamp, by: Duration| Timestamp(0) + at.since(Timestamp(0)).saturating_sub(by);
    let used_share = |from: &Timestamp| {
        let spans = [*from, earlier(*from, window / 2), earlier(*from, window)];
        let max_requests = spans.map(|from| count(from, requests)).into_iter();
        let max_requests = max_requests.fold(0.0, f64::max);
        count(*from, retry_arrivals) / (SETTINGS.ratio * max_requests + SETTINGS.slack)
    };
    retry_arrivals.iter().map(used_share).fold(0.0, f64::max)
}

/// Failure: a service gets more retries than operators allow, though each node keeps to its part. Many requests of the calling
/// service fail and are retried, and each retried execution makes its calls again, which no node counts as retries.
#[test]
fn try_spend_with_calls_stays_within_budget() {
    check!()
        .with_type::<Deployment>()
        .with_iterations(150)
        .for_each(|deployment| {
            let mut model = Model::new(*deployment);
            model.run(25);
            let used_share = model.max_used_share();
            assert!(used_share <= 1.0, "{used_share} of the budget");
        });
}

/// Modelled on a deployment that exceeded the budget: executions of a service with 9 nodes make 1.4 calls to a service with 4
/// nodes, which refuses half of them. The retries stay within the budget and can use most of it.
#[test]
fn try_spend_uses_most_of_budget() {
    let deployment = Deployment {
        seed: 7,
        nodes_per_service: 3,
        depth: 1,
        calls: [1, 0, 0],
        requests_per_second: 280,
        failing_percent: 60,
    };
    let mut model = Model::new(deployment);
    model.run(40);
    let used_share = model.max_used_share();
    assert!((0.6..=1.0).contains(&used_share), "{used_share}");
}
