//! What all nodes together say: problems, classes, versions. Pure.

use crate::{
    commands::mesh::{MeshSurvey, ReachedNode},
    protocol::{
        load_report::UpstreamCondition,
        operator_views::{ClassStatus, MemberCondition, share},
    },
    state::{
        configuration::ConfigurationVersion,
        names::{ClassName, ServiceName},
    },
};
use serde::Serialize;
use std::collections::BTreeMap;

/// The log is called old when nothing was read from it for this long, in milliseconds.
const OLD_LOG_MS: u64 = 30_000;

/// Kinds of problems, the worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// A class misses its target.
    TargetMissed,
    /// A node was not reached.
    NodeUnreached,
    /// An upstream is down.
    UpstreamDown,
    /// Keys of a service have no owner.
    NoOwner,
    /// Nodes apply different configurations.
    VersionsDiffer,
    /// The log has not been read for long.
    LogOld,
    /// A node does not hear another.
    MemberSuspected,
    /// A node reports it of itself.
    Reported,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// What kind.
    pub kind: ProblemKind,
    /// One line for people.
    pub message: String,
}

/// A class over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Counts of all nodes; times of the node where they are longest.
    ///
    /// NB: percentiles of several nodes can't be added up; the worst node's are an upper bound.
    #[serde(flatten)]
    pub status: ClassStatus,
    /// Calls a second.
    pub rate: f64,
}

/// How many nodes apply a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct VersionCount {
    /// The version.
    pub version: ConfigurationVersion,
    /// Nodes that apply it.
    pub nodes: usize,
}

/// The state of the mesh.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StatusReport {
    /// What is wrong, the worst first.
    pub problems: Vec<Problem>,
    /// Versions in force, the highest first.
    pub versions: Vec<VersionCount>,
    /// All classes, by name.
    pub classes: Vec<ClassSummary>,
}

/// Sums up what the nodes said.
#[must_use]
pub fn summarize(survey: &MeshSurvey) -> StatusReport {
    let classes = summarize_classes(&survey.reached);
    let versions = count_versions(&survey.reached);
    let mut problems = find_class_problems(&classes);
    problems.extend(find_version_problem(&versions));
    for node in &survey.unreached {
        if !node.leaving {
            let message = format!("{}: {}", node.label(), node.problem);
            problems.push(new_problem(ProblemKind::NodeUnreached, message));
        }
    }
    for node in &survey.reached {
        find_node_problems(node, &mut problems);
    }
    problems.sort();
    problems.dedup();
    StatusReport {
        problems,
        versions,
        classes,
    }
}

const fn new_problem(kind: ProblemKind, message: String) -> Problem {
    Problem { kind, message }
}

fn summarize_classes(nodes: &[ReachedNode]) -> Vec<ClassSummary> {
    type Key = (Option<ServiceName>, Option<ClassName>);
    let mut sums: BTreeMap<Key, ClassSummary> = BTreeMap::new();
    for class in nodes.iter().flat_map(|node| &node.status.classes) {
        let key = (class.service.clone(), class.class.clone());
        if let Some(sum) = sums.get_mut(&key) {
            add_class(sum, class);
        } else {
            let sum = ClassSummary {
                status: class.clone(),
                rate: rate(class),
            };
            sums.insert(key, sum);
        }
    }
    sums.into_values().collect()
}

fn rate(class: &ClassStatus) -> f64 {
    if class.window_ms == 0 {
        return 0.0;
    }
    share(class.calls * 1_000, class.window_ms)
}

fn add_class(sum: &mut ClassSummary, class: &ClassStatus) {
    sum.rate += rate(class);
    let status = &mut sum.status;
    status.calls += class.calls;
    status.answered += class.answered;
    status.not_run += class.not_run;
    status.unknown += class.unknown;
    status.on_target += class.on_target;
    status.retries += class.retries;
    status.p50_micros = status.p50_micros.max(class.p50_micros);
    status.p99_micros = status.p99_micros.max(class.p99_micros);
    status.p999_micros = status.p999_micros.max(class.p999_micros);
}

fn count_versions(nodes: &[ReachedNode]) -> Vec<VersionCount> {
    let mut counts: BTreeMap<ConfigurationVersion, usize> = BTreeMap::new();
    for node in nodes {
        *counts.entry(node.status.configuration_version).or_default() += 1;
    }
    let counts = counts.into_iter().rev();
    counts
        .map(|(version, nodes)| VersionCount { version, nodes })
        .collect()
}

fn find_class_problems(classes: &[ClassSummary]) -> Vec<Problem> {
    let missed = classes.iter().filter(|class| !class.status.meets_target());
    missed
        .map(|class| {
            let status = &class.status;
            let message = format!(
                "{} on target for {:.2}% of {} calls, wanted {:.2}% within {} ms",
                class.label(),
                status.on_target_share() * 100.0,
                status.calls,
                status.target_share * 100.0,
                status.target_ms,
            );
            new_problem(ProblemKind::TargetMissed, message)
        })
        .collect()
}

impl ClassSummary {
    /// Service and class.
    #[must_use]
    pub fn label(&self) -> String {
        let service = self
            .status
            .service
            .as_ref()
            .map_or("?", ServiceName::as_str);
        let class = self.status.class.as_ref().map_or("?", ClassName::as_str);
        format!("{service}/{class}")
    }
}

fn find_version_problem(versions: &[VersionCount]) -> Option<Problem> {
    let [highest, behind @ ..] = versions else {
        return None;
    };
    if behind.is_empty() {
        return None;
    }
    let behind: usize = behind.iter().map(|count| count.nodes).sum();
    let message = format!(
        "{behind} nodes do not apply version {} yet",
        highest.version.0
    );
    Some(new_problem(ProblemKind::VersionsDiffer, message))
}

fn find_node_problems(node: &ReachedNode, problems: &mut Vec<Problem>) {
    let (label, status) = (node.label(), &node.status);
    for reported in &status.problems {
        problems.push(new_problem(
            ProblemKind::Reported,
            format!("{label}: {reported}"),
        ));
    }
    if status.upstream.condition == UpstreamCondition::Down {
        problems.push(new_problem(
            ProblemKind::UpstreamDown,
            format!("{label}: upstream down"),
        ));
    }
    if let Some(age_ms) = status.log.age_ms.filter(|age_ms| *age_ms > OLD_LOG_MS) {
        let message = format!("{label}: log last read {} s ago", age_ms / 1_000);
        problems.push(new_problem(ProblemKind::LogOld, message));
    }
    for owner in status.owners.iter().filter(|owner| owner.owner.is_none()) {
        let service = owner.service.as_ref().map_or("?", ServiceName::as_str);
        let message = format!("{service}: part {} of the keys has no owner", owner.part);
        problems.push(new_problem(ProblemKind::NoOwner, message));
    }
    for member in &status.members {
        let doubted = matches!(
            member.condition,
            MemberCondition::Suspected | MemberCondition::Lost
        );
        if let Some(name) = member.node.as_ref().filter(|_| doubted) {
            let message = format!("{label} does not hear {name}");
            problems.push(new_problem(ProblemKind::MemberSuspected, message));
        }
    }
}
