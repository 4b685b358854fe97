//! Check of the quota on what a simulated mesh has started at upstreams.

use crate::quota_mesh::simulation::{Mesh, SETTINGS};
use camphorturn::state::organisations::Quota;

impl Mesh {
    /// Asserts that no window has more requests than the quota and the tolerated excess permit: neither of those admitted in it, nor of
    /// those both sent and started in it.
    pub fn assert_bound(&mut self) {
        let quota = self.quota();
        self.assert_bound_from(0, &quota);
    }

    /// The same for windows that begin at `from` or later, while this quota was in force.
    pub fn assert_bound_from(&mut self, from: u64, quota: &Quota) {
        let bound = quota.permitted_within(SETTINGS.window) + SETTINGS.tolerated_excess(quota);
        let busiest = self.count_busiest(from).max(self.count_admitted(from));
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let within = busiest as f64;
        assert!(
            within <= bound,
            "{within} within a window, {bound}: {:?}",
            self.plan
        );
    }

    /// Most requests that were admitted within one window.
    fn count_admitted(&self, from: u64) -> usize {
        let window = u64::try_from(SETTINGS.window.as_micros()).expect("a short window");
        let mut admitted: Vec<u64> = self.starts.iter().map(|start| start.admitted).collect();
        admitted.sort_unstable();
        let openings = admitted.iter().enumerate();
        let counts = openings
            .filter(|(_, opening)| **opening >= from)
            .map(|(index, opening)| {
                admitted[index..].partition_point(|time| time - opening <= window)
            });
        counts.max().unwrap_or(0)
    }

    /// Most requests that were sent and started within one window. A request that was sent before a window and starts in it doesn't
    /// count; all of those start before the window's end, since none waits as long.
    pub fn count_busiest(&self, from: u64) -> usize {
        let window = u64::try_from(SETTINGS.window.as_micros()).expect("a short window");
        let mut arrived: Vec<u64> = self.starts.iter().map(|start| start.arrived).collect();
        let mut started: Vec<u64> = self.starts.iter().map(|start| start.started).collect();
        arrived.sort_unstable();
        started.sort_unstable();
        let openings = arrived.iter().filter(|opening| **opening >= from);
        let counts = openings.map(|opening| {
            let sent_before = arrived.partition_point(|time| time < opening);
            started.partition_point(|time| *time <= opening + window) - sent_before
        });
        counts.max().unwrap_or(0)
    }
}
