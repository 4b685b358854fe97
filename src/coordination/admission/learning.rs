//! What the end of a call tells of the upstream.

use crate::{
    coordination::admission::{Admission, End, EndKind, running::RunningCall},
    state::moment::Moment,
};

/// Share of a new end in the error rate.
const ERROR_WEIGHT: f64 = 1.0 / 32.0;

impl Admission {
    pub(super) fn learn(&mut self, call: &RunningCall, end: End, full: bool, now: Moment) {
        let running = u16::try_from(self.running.len()).unwrap_or(u16::MAX);
        let Some(class) = self.classes.iter_mut().find(|c| c.name == call.class) else {
            return;
        };
        let mut failed = true;
        match end.kind {
            EndKind::Answered {
                server_error: false,
            } => {
                failed = false;
                class.service.observe(end.took, now);
                let on_target = now.since(call.offered) <= class.target;
                class.ends.count_answer(on_target, now);
                self.limit.observe(class.service.slowness(), full, now);
            }
            EndKind::Answered { server_error: true } | EndKind::Cut => {
                class.service.observe_at_least(end.took, now);
            }
            EndKind::TimedOut | EndKind::Cancelled => {
                failed = end.kind == EndKind::TimedOut;
                class.service.observe_at_least(end.took, now);
                self.limit.observe_lost(class.service.slowness(), now);
            }
            EndKind::Shed => {
                failed = false;
                self.limit.observe_shed(running, now);
            }
            EndKind::NotSent => {}
        }
        self.error_rate += (f64::from(u8::from(failed)) - self.error_rate) * ERROR_WEIGHT;
    }
}
