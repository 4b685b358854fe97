//! Check of the quota on what a simulated mesh has admitted.

use crate::quota_mesh::simulation::{Mesh, SETTINGS};

impl Mesh {
    /// Asserts that no window has more requests than the quota and the tolerated excess permit.
    pub fn assert_bound(&mut self) {
        self.admitted.sort_unstable();
        let quota = self.quota();
        let bound = quota.permitted_within(SETTINGS.window) + SETTINGS.tolerated_excess(&quota);
        let window = u64::try_from(SETTINGS.window.as_micros()).expect("a short window");
        let counts = self.admitted.iter().enumerate().map(|(index, from)| {
            self.admitted[index..].partition_point(|time| time - from <= window)
        });
        let busiest = counts.max().unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let within = busiest as f64;
        assert!(
            within <= bound,
            "{within} within a window, {bound}: {:?}",
            self.plan
        );
    }
}
