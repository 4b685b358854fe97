//! Requests and faults that are drawn from a plan.

use crate::quota_mesh::simulation::{Event, Mesh, RUN_SECONDS, SECOND_MICROS};
use rand::RngExt;

impl Mesh {
    pub fn draw_events(&mut self) {
        self.draw_requests();
        self.draw_faults();
    }

    fn draw_requests(&mut self) {
        let total = f64::from(self.plan.rate * RUN_SECONDS) * self.plan.load;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number"
        )]
        let total = total as u32;
        for number in 0..total {
            let in_burst = self.plan.burst && number % 3 == 0;
            let range = if in_burst {
                6_000_000..6_100_000
            } else {
                0..u64::from(RUN_SECONDS) * SECOND_MICROS
            };
            let (at, entry) = (self.rng.random_range(range), self.draw_entry());
            self.schedule(at, Event::Arrive(entry));
        }
    }

    fn draw_faults(&mut self) {
        let end = u64::from(RUN_SECONDS) * SECOND_MICROS;
        for number in 0..usize::from(self.plan.kills) {
            let at = self.rng.random_range(SECOND_MICROS..end);
            self.schedule(at, Event::Kill(number));
        }
        for number in 0..self.plan.cut_off {
            let from = self.rng.random_range(SECOND_MICROS..end);
            let node = number * 3 % self.nodes.len();
            self.nodes[node].cut_off = from..from + 3 * SECOND_MICROS;
        }
        for number in 0..usize::from(self.plan.stalls) {
            let from = self.rng.random_range(SECOND_MICROS..end);
            let keeper = self.keepers[number % self.keepers.len()];
            self.nodes[keeper].stalled = from..from + 2 * SECOND_MICROS;
        }
        for number in 0..usize::from(self.plan.changes) {
            let (joined, gone) = (self.rng.random_range(0..end), self.rng.random_range(0..end));
            self.join(joined);
            self.remove_keeper(number, gone);
        }
    }

    /// Sends requests at even intervals through random nodes, `load` times the quota, over `seconds`.
    pub fn send_evenly(&mut self, load: f64, seconds: u32) {
        let rate = f64::from(self.plan.rate) * load;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small positive numbers"
        )]
        let (total, interval) = (
            (rate * f64::from(seconds)) as u64,
            (1_000_000.0 / rate) as u64 + 1,
        );
        for number in 0..total {
            let entry = self.draw_entry();
            self.schedule(number * interval, Event::Arrive(entry));
        }
    }
}
