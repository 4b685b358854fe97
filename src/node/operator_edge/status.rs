//! What a node tells of itself to operators' tools.

use crate::{
    coordination::retries::RetryBudget,
    node::{core::NodeCore, ownership_health::find_ownership_problem},
    protocol::operator_views::{
        BudgetStatus, ClassStatus, LogStatus, MemberCondition, MemberStatus, NodeStatus,
        UpstreamStatus,
    },
    state::{class::Class, membership::MemberState, names::ServiceName},
};
use std::time::Duration;

/// The node as it sees itself and the others.
pub fn build_status(core: &NodeCore) -> NodeStatus {
    let configuration = core.configuration();
    let now = core.timers.now();
    NodeStatus {
        node: Some(core.me.name.clone()),
        incarnation: core.me.incarnation,
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        uptime_ms: to_millis(Duration::from_micros(now.0)),
        service: Some(core.me.service.clone()),
        region: Some(core.me.region.clone()),
        availability_zone: Some(core.me.availability_zone.clone()),
        upstream: core.load_report(),
        stopping: core.stopping.get(),
        configuration_version: configuration.version,
        classes: list_classes(core),
        upstreams: list_upstreams(core),
        members: list_members(core),
        budgets: list_budgets(core),
        problems: list_problems(core),
        log: describe_log(core),
        events_recorded: core.recorder.count(),
        ..NodeStatus::default()
    }
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn list_classes(core: &NodeCore) -> Vec<ClassStatus> {
    let configuration = core.configuration();
    let services = &configuration.content.services;
    let classes = services.iter().flat_map(|service| {
        let name = &service.name;
        service.classes.iter().map(move |class| (name, class))
    });
    classes
        .map(|(service, class)| describe_class(core, service, class))
        .collect()
}

fn describe_class(core: &NodeCore, service: &ServiceName, class: &Class) -> ClassStatus {
    let mut status = ClassStatus {
        service: Some(service.clone()),
        class: Some(class.name.clone()),
        target_ms: class.target.latency_ms,
        target_share: class.target.share,
        ..ClassStatus::default()
    };
    let mut statistics = core.statistics.borrow_mut();
    let key = (service.clone(), class.name.clone());
    if let Some(class) = statistics.get_mut(&key) {
        let (counts, window) = class.window(core.timers.now());
        status.window_ms = to_millis(window);
        status.calls = counts.calls;
        status.answered = counts.answered;
        status.not_run = counts.not_run;
        status.unknown = counts.unknown;
        status.on_target = counts.on_target;
        status.retries = counts.retries;
        status.p50_micros = counts.times.value_at_quantile(0.5);
        status.p99_micros = counts.times.value_at_quantile(0.99);
        status.p999_micros = counts.times.value_at_quantile(0.999);
    }
    status
}

fn list_upstreams(core: &NodeCore) -> Vec<UpstreamStatus> {
    let routers = core.routers.borrow();
    let now = core.timers.now();
    let statuses = routers.iter().flat_map(|(service, router)| {
        let upstreams = router.snapshot(now).upstreams;
        upstreams
            .into_iter()
            .map(move |upstream| (service, upstream))
    });
    let views = statuses.map(|(service, upstream)| UpstreamStatus {
        upstream: Some(upstream.node),
        service: Some(service.clone()),
        age_ms: upstream.age_ms,
        outstanding: upstream.outstanding,
        avoided: upstream.avoided,
        ..UpstreamStatus::default()
    });
    views.collect()
}

fn list_members(core: &NodeCore) -> Vec<MemberStatus> {
    let membership = core.membership.borrow();
    let members = membership.members(core.timers.now());
    let views = members.map(|(member, state)| MemberStatus {
        node: Some(member.name.clone()),
        incarnation: member.incarnation,
        service: Some(member.service.clone()),
        availability_zone: Some(member.availability_zone.clone()),
        operator_address: Some(member.operator_address),
        condition: describe_state(state),
        ..MemberStatus::default()
    });
    views.collect()
}

fn describe_state(state: MemberState) -> MemberCondition {
    match state {
        MemberState::Joining | MemberState::Serving => MemberCondition::Alive,
        MemberState::Suspected => MemberCondition::Suspected,
        MemberState::Draining => MemberCondition::Leaving,
        MemberState::Dead => MemberCondition::Lost,
    }
}

fn describe_log(core: &NodeCore) -> LogStatus {
    let membership = core.membership.borrow();
    let knowledge = membership.log_knowledge(core.timers.now());
    LogStatus {
        reader: membership.is_log_reader(),
        offset: core.folded.borrow().next().0,
        age_ms: (knowledge.offset > 0).then(|| to_millis(knowledge.age)),
        failures: core.log_failures.get(),
    }
}

/// Probes and further attempts since the node's start, beside what the budgets allowed.
fn list_budgets(core: &NodeCore) -> Vec<BudgetStatus> {
    let now = core.timers.now();
    let routers = core.routers.borrow();
    let budgets = core.retry_budgets.borrow();
    let views = routers.iter().map(|(service, router)| {
        let measuring = router.snapshot(now).measuring;
        let retries = budgets
            .get(service)
            .map(RetryBudget::status)
            .unwrap_or_default();
        BudgetStatus {
            service: Some(service.clone()),
            window_ms: to_millis(Duration::from_micros(now.0)),
            probes: measuring.used.probes,
            probe_bytes: measuring.used.bytes,
            retries: retries.retries,
            ..BudgetStatus::default()
        }
    });
    views.collect()
}

/// What an operator should look at, the worst first.
fn list_problems(core: &NodeCore) -> Vec<String> {
    let mut problems = Vec::new();
    if core.configuration().version.0 == 0 {
        problems.push("no configuration is known: no call is carried".to_owned());
    }
    if !core.takes_work() {
        let condition = core.load_report().condition;
        problems.push(format!("the upstream takes no work: {condition:?}"));
    }
    problems.extend(find_ownership_problem(core));
    let failures = core.log_failures.get();
    if failures > 0 {
        problems.push(format!(
            "the platform's log can't be read: {failures} failures in a row"
        ));
    }
    problems
}
