//! Which lines of the time line are shown.

use crate::log_reading::order::TimedLine;
use bpaf::Bpaf;

/// Filters of the time line; all given ones must match.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct LineSelection {
    /// Only lines about this request
    #[bpaf(argument("REQUEST"))]
    pub request: Option<String>,
    /// Only lines of this node, or about it
    #[bpaf(argument("NAME"))]
    pub about: Option<String>,
    /// Only lines about requests of this class
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Only lines with this number
    #[bpaf(argument("NUMBER"))]
    pub event: Option<u16>,
    /// Only failures, refusals and changes of what nodes believe
    pub telling: bool,
}

impl LineSelection {
    /// The lines that match, in the same order.
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
