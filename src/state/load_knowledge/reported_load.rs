//! The last load report, aged and reduced by what is known better.

use crate::{protocol::load_report::LoadReport, state::moment::Moment};
use std::time::Duration;

/// Time over which the calls in a report are taken to have ended.
const FADE: Duration = Duration::from_millis(100);

/// The last report of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    last: Option<(LoadReport, Moment)>,
    others: f64,
}

impl ReportedLoad {
    /// Takes a report that came while `own` calls were outstanding.
    pub fn take(&mut self, report: LoadReport, own: u32, now: Moment) {
        let total = f64::from(report.running) + f64::from(report.queued);
        self.others = (total - f64::from(own)).max(0.0);
        self.last = Some((report, now));
    }

    /// Calls of other nodes still expected at the upstream.
    #[must_use]
    pub fn others(&self, now: Moment) -> f64 {
        self.last.map_or(0.0, |(_, at)| {
            self.others * (-now.since(at).as_secs_f64() / FADE.as_secs_f64()).exp()
        })
    }

    /// The report and when it came.
    #[must_use]
    pub fn last(&self) -> Option<(LoadReport, Moment)> {
        self.last
    }
}
