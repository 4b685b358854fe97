//! Explores what nodes believe of upstreams and versions, over a store and other nodes that answer late,
//! in any order, or not at all, with restarts in between.
//!
//! The states are small: one upstream with two runs, its node, one other node, two versions of the
//! configuration. The code explored is that of the node: [`LocalUpstream`] and [`Directory`]. Breadth
//! first, so that a broken invariant comes with its shortest sequence of steps.

use camphorturn::{
    coordination::local_upstream::{Announcement, LocalUpstream},
    proxy::directory::Directory,
    state::{
        configuration::ConfigurationVersion,
        incarnation_id::IncarnationId,
        routing_table::{ClientLimits, RoutingTable},
    },
};
use pathfinding::prelude::bfs;
use std::time::Duration;

/// Most announcements that are under way at once, and most in all.
const UNDER_WAY: usize = 2;
const ANNOUNCEMENTS: u8 = 5;
/// Most restarts of the node beside the upstream.
const RESTARTS: u8 = 2;

/// What is under way from the upstream to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Beat {
    run: u8,
    sequence: u8,
    leaving: bool,
}

/// A rule taken out, to show that the model finds what it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A run that has left stays left.
    LeavingStays,
    /// A restarted node asks the upstream before it takes the store's word.
    Confirmation,
    /// An older version is ignored.
    VersionOrder,
    /// Runs under one identity are told apart by their starts.
    Born,
}

/// How the two runs of the upstream name themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Naming {
    /// Each has an identity of its own.
    Apart,
    /// The second starts under the identity of the first, and its sequence starts anew.
    Again,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    naming: Naming,
    /// The run of the upstream that is up, and whether it has begun to leave.
    run: u8,
    leaving: bool,
    sequence: u8,
    sent: u8,
    beats: Vec<Beat>,
    /// What its node took in since its start, in order.
    taken: Vec<Beat>,
    /// The run that its node took over from the store at its start.
    recalled: Option<u8>,
    /// What the store holds of the node: run and leaving.
    stored: Option<(u8, bool)>,
    restarts: u8,
    /// Runs whose leaving was acknowledged.
    acknowledged: Vec<u8>,
    /// Versions in the order in which they reached the other node, and the newest published one.
    versions: Vec<u8>,
    published: u8,
}

impl World {
    fn start(naming: Naming) -> Self {
        Self {
            naming,
            run: 1,
            leaving: false,
            sequence: 0,
            sent: 0,
            beats: Vec::new(),
            taken: Vec::new(),
            recalled: None,
            stored: None,
            restarts: 0,
            acknowledged: Vec::new(),
            versions: Vec::new(),
            published: 1,
        }
    }

    /// The run that the node would send work to, by the node's own code.
    fn serving(&self, without: Without) -> Option<u8> {
        let mut own = LocalUpstream::default();
        if let Some(run) = self.recalled {
            own.apply_announcement(self.announcement(run, 0, false, without));
        }
        for beat in &self.taken {
            let forgets = without == Without::LeavingStays && !beat.leaving;
            if forgets {
                own = LocalUpstream::default();
            }
            own.apply_announcement(self.announcement(
                beat.run,
                beat.sequence,
                beat.leaving,
                without,
            ));
        }
        let serving = own.serving()?;
        let first = match self.naming {
            Naming::Apart => serving.identity.instance == "1",
            Naming::Again => serving.identity.started_ms != Some(2),
        };
        Some(if first { 1 } else { 2 })
    }

    fn announcement(&self, run: u8, sequence: u8, leaving: bool, without: Without) -> Announcement {
        let instance = match self.naming {
            Naming::Apart => run.to_string(),
            Naming::Again => "1".to_owned(),
        };
        Announcement {
            incarnation: IncarnationId {
                instance,
                started_ms: (without != Without::Born).then_some(u64::from(run)),
            },
            service: "desk".into(),
            slots: 6,
            leaving,
            warmup_left: Duration::ZERO,
            sequence: u64::from(sequence),
        }
    }

    /// The second run has told its node that it works, nothing says that it leaves, and it gets no work. Where identities
    /// differ, the node asks the upstream which one it is; that question is not part of the model.
    fn loses_second_run(&self, without: Without) -> bool {
        if self.naming == Naming::Apart {
            return false;
        }
        let told = |leaving: bool| {
            let mut beats = self.taken.iter();
            beats.any(|beat| beat.run == 2 && beat.leaving == leaving)
        };
        told(false) && !told(true) && self.serving(without) != Some(2)
    }

    /// Work that is sent to another run than the one that is up gets 421 and does no harm.
    fn breaks_leaving(&self, without: Without) -> bool {
        let serving = self.serving(without);
        serving.is_some_and(|run| run == self.run && self.acknowledged.contains(&run))
    }

    fn breaks_version(&self, without: Without) -> bool {
        let mut directory = Directory::default();
        let mut highest = 0;
        for version in &self.versions {
            if without == Without::VersionOrder {
                directory = Directory::default();
            }
            directory.apply_table(table(*version));
            if directory.version().0 < highest {
                return true;
            }
            highest = directory.version().0;
        }
        false
    }

    fn steps(&self, without: Without) -> Vec<Self> {
        let mut next = Vec::new();
        self.step_upstream(&mut next);
        self.step_beats(&mut next);
        self.step_restart(without, &mut next);
        self.step_versions(&mut next);
        next
    }

    fn step_upstream(&self, next: &mut Vec<Self>) {
        if self.beats.len() < UNDER_WAY && self.sent < ANNOUNCEMENTS {
            let mut world = self.clone();
            world.sequence += 1;
            world.sent += 1;
            world.beats.push(Beat {
                run: self.run,
                sequence: world.sequence,
                leaving: self.leaving,
            });
            next.push(world);
        }
        if !self.leaving {
            let mut world = self.clone();
            world.leaving = true;
            next.push(world);
        } else if self.run == 1 {
            let mut world = self.clone();
            world.run = 2;
            world.leaving = false;
            world.sequence = 0;
            next.push(world);
        }
    }

    /// Any announcement under way arrives next, with and without the store taking the record.
    fn step_beats(&self, next: &mut Vec<Self>) {
        for index in 0..self.beats.len() {
            let mut world = self.clone();
            let beat = world.beats.remove(index);
            world.taken.push(beat);
            if beat.leaving {
                world.acknowledged.push(beat.run);
            }
            next.push(world.clone());
            world.stored = Some((beat.run, beat.leaving));
            next.push(world);
        }
    }

    /// The node forgets all and begins with what the store holds of it.
    fn step_restart(&self, without: Without, next: &mut Vec<Self>) {
        if self.restarts == RESTARTS {
            return;
        }
        let mut world = self.clone();
        world.restarts += 1;
        world.taken.clear();
        // Announcements from before a start are lost with the connections of the former process.
        world.beats.clear();
        let confirmed =
            |run: u8| without == Without::Confirmation || (run == self.run && !self.leaving);
        world.recalled = match self.stored {
            Some((run, false)) if confirmed(run) => Some(run),
            _ => None,
        };
        next.push(world);
    }

    /// Versions reach the other node by the store or by nodes, in any order.
    fn step_versions(&self, next: &mut Vec<Self>) {
        if self.versions.len() < 3 {
            for version in 1..=self.published {
                let mut world = self.clone();
                world.versions.push(version);
                next.push(world);
            }
        }
        if self.published < 2 {
            let mut world = self.clone();
            world.published += 1;
            next.push(world);
        }
    }
}

fn table(version: u8) -> RoutingTable {
    RoutingTable {
        version: ConfigurationVersion(u64::from(version)),
        routes: Vec::new(),
        services: Vec::new(),
        limits: ClientLimits::default(),
    }
}

/// The shortest way to a state that breaks an invariant.
fn find_violation(naming: Naming, without: Without) -> Option<Vec<World>> {
    bfs(
        &World::start(naming),
        |world| world.steps(without),
        |world| {
            world.breaks_leaving(without)
                || world.breaks_version(without)
                || world.loses_second_run(without)
        },
    )
}

#[test]
fn explore_no_violation() {
    let found = find_violation(Naming::Apart, Without::Nothing);
    assert!(found.is_none(), "{:#?}", found.unwrap_or_default());
}

#[test]
fn explore_same_identity() {
    let found = find_violation(Naming::Again, Without::Nothing);
    assert!(found.is_none(), "{:#?}", found.unwrap_or_default());
}

/// Symptom: an upstream that starts again under its identity never gets work. Cause: its announcements count as late ones
/// of the run before.
#[test]
fn explore_without_born() {
    assert!(find_violation(Naming::Again, Without::Born).is_some());
}

/// Symptom: work goes to an upstream whose leaving was acknowledged. Sequence: an announcement from
/// before arrives after the leaving. Cause: the last that arrives counts.
#[test]
fn explore_without_leaving_stays() {
    assert!(find_violation(Naming::Apart, Without::LeavingStays).is_some());
}

/// Symptom: the same after a restart. Sequence: the leaving was acknowledged while the store was away,
/// the node is restarted and finds the record from before. Cause: the record is taken at its word.
#[test]
fn explore_without_confirmation() {
    assert!(find_violation(Naming::Apart, Without::Confirmation).is_some());
}

/// Symptom: a node goes back to an older configuration. Sequence: a newer version reaches it by another
/// node, then the older one by the store. Cause: the last that arrives counts.
#[test]
fn explore_without_version_order() {
    assert!(find_violation(Naming::Apart, Without::VersionOrder).is_some());
}
