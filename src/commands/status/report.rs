//! Summarizes the status of all nodes: problems, classes, versions. Pure functions without I/O.

use crate::{
    commands::mesh::{MeshSurvey, ReachedNode},
    protocol::operator_views::{ClassStatus, REQUIRED_ON_TARGET_SHARE, compute_share},
    state::{
        configuration::ConfigurationVersion,
        names::{AvailabilityZoneName, ClassName, NodeName},
    },
};
use serde::Serialize;
use std::collections::BTreeMap;

/// Kinds of problems, the most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// A class misses its latency target.
    TargetMissed,
    /// A node could not be reached.
    NodeUnreached,
    /// A node accepts no requests of clients.
    NotReady,
    /// A node knows no local upstream.
    UpstreamMissing,
    /// Nodes apply different configurations.
    VersionsDiffer,
    /// A node can't reach another node.
    PeerUnreachable,
}

/// One problem.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Description for people, in one line.
    pub message: String,
}

/// Status of a class over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Sums of the counts of all nodes, and the highest latency percentiles of any node.
    ///
    /// Percentiles of several nodes can't be combined; the highest of them are an upper limit.
    #[serde(flatten)]
    pub status: ClassStatus,
    /// Requests per second, averaged since the start of each node and summed over the nodes.
    pub rate: f64,
}

/// Number of nodes that apply a configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct VersionCount {
    /// Version number.
    pub version: ConfigurationVersion,
    /// Number of nodes that apply it.
    pub nodes: usize,
}

/// Summary of the mesh.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct StatusReport {
    /// Problems, the most severe first.
    pub problems: Vec<Problem>,
    /// Versions in force, the highest first.
    pub versions: Vec<VersionCount>,
    /// Evacuated availability zones, each with the number of nodes that know of the evacuation.
    pub evacuated: BTreeMap<AvailabilityZoneName, usize>,
    /// All classes, sorted by name.
    pub classes: Vec<ClassSummary>,
}

/// Summarizes the status that the nodes reported.
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
        evacuated: count_evacuated(&survey.reached),
        classes,
    }
}

const fn new_problem(kind: ProblemKind, message: String) -> Problem {
    Problem { kind, message }
}

fn summarize_classes(nodes: &[ReachedNode]) -> Vec<ClassSummary> {
    let mut sums: BTreeMap<Option<ClassName>, ClassSummary> = BTreeMap::new();
    for node in nodes {
        for class in &node.status.classes {
            let rate = compute_share(class.requests * 1_000, node.status.up_ms.max(1));
            if let Some(sum) = sums.get_mut(&class.class) {
                add_class(sum, class, rate);
            } else {
                let status = class.clone();
                sums.insert(class.class.clone(), ClassSummary { status, rate });
            }
        }
    }
    sums.into_values().collect()
}

fn add_class(sum: &mut ClassSummary, class: &ClassStatus, rate: f64) {
    sum.rate += rate;
    let status = &mut sum.status;
    status.requests += class.requests;
    status.answered += class.answered;
    status.on_target += class.on_target;
    status.refused += class.refused;
    status.unknown += class.unknown;
    status.p50_ms = status.p50_ms.max(class.p50_ms);
    status.p99_ms = status.p99_ms.max(class.p99_ms);
}

fn count_versions(nodes: &[ReachedNode]) -> Vec<VersionCount> {
    let mut counts: BTreeMap<ConfigurationVersion, usize> = BTreeMap::new();
    for node in nodes {
        *counts.entry(node.status.version).or_default() += 1;
    }
    let counts = counts.into_iter().rev();
    counts
        .map(|(version, nodes)| VersionCount { version, nodes })
        .collect()
}

fn count_evacuated(nodes: &[ReachedNode]) -> BTreeMap<AvailabilityZoneName, usize> {
    let mut counts = BTreeMap::new();
    for zone in nodes.iter().flat_map(|node| &node.status.evacuated_zones) {
        *counts.entry(zone.clone()).or_default() += 1;
    }
    counts
}

fn find_class_problems(classes: &[ClassSummary]) -> Vec<Problem> {
    let missed = classes.iter().filter(|class| !class.status.meets_target());
    missed
        .map(|class| {
            let status = &class.status;
            let message = format!(
                "{} on target for {:.2}% of {} requests, required {:.0}% within {} ms",
                class.label(),
                status.on_target_share() * 100.0,
                status.requests,
                REQUIRED_ON_TARGET_SHARE * 100.0,
                status.target_ms,
            );
            new_problem(ProblemKind::TargetMissed, message)
        })
        .collect()
}

impl ClassSummary {
    /// Name of the class; `?` for requests without one.
    #[must_use]
    pub fn label(&self) -> &str {
        self.status.class.as_ref().map_or("?", ClassName::as_str)
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
    let mut add = |kind, message| problems.push(new_problem(kind, message));
    if status.stopping {
        add(ProblemKind::NotReady, format!("{label} is stopping"));
    } else if !status.ready {
        add(
            ProblemKind::NotReady,
            format!("{label} has no configuration"),
        );
    }
    if status.upstream.is_none() {
        add(
            ProblemKind::UpstreamMissing,
            format!("{label}: its upstream has not announced itself"),
        );
    }
    for peer in status.peers.iter().filter(|peer| peer.failures > 0) {
        let name = peer.node.as_ref().map_or("?", NodeName::as_str);
        add(
            ProblemKind::PeerUnreachable,
            format!("{label} can't reach {name}"),
        );
    }
}
