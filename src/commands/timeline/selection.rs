//! Filters for the lines of a timeline.

use crate::log_reading::order::TimedLine;
use bpaf::Bpaf;

/// Filters for the lines of a timeline. A line must match all that are given.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct LineSelection {
    /// Only lines about this request
    #[bpaf(argument("REQUEST"))]
    pub request: Option<String>,
    /// Only lines that this node wrote, or that are about it
    #[bpaf(argument("NAME"))]
    pub about: Option<String>,
    /// Only lines about requests of this class
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Only lines with this event number
    #[bpaf(argument("NUMBER"))]
    pub event: Option<u16>,
    /// Only important lines: failures, refusals and state changes of nodes
    pub telling: bool,
}

impl LineSelection {
    /// Returns the lines that match, in the same order.
    #[must_use]
    pub fn select(&self, lines: Vec<TimedLine>) -> Vec<TimedLine> {
        lines
            .into_iter()
            .filter(|timed| self.matches(timed))
            .collect()
    }

    fn matches(&self, timed: &TimedLine) -> bool {
        let line = &timed.line;
        let is_request = |wanted: &String| line.request() == Some(wanted);
        let is_class = |wanted: &String| line.text("class") == wanted;
        let is_about =
            |wanted: &String| line.node.as_str() == wanted || line.text("known") == wanted;
        self.request.as_ref().is_none_or(is_request)
            && self.class.as_ref().is_none_or(is_class)
            && self.about.as_ref().is_none_or(is_about)
            && self.event.is_none_or(|number| line.number == number)
            && (!self.telling || line.important)
    }
}
