//! Which events of the time line are shown.

use crate::{
    events::{event::Event, reasons::Severity, view::EventView},
    protocol::attempt::CallId,
    state::names::NodeName,
};
use bpaf::Bpaf;
use std::{collections::HashSet, str::FromStr};
use uuid::Uuid;

/// Filters of the time line; all given ones must match.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct EventSelection {
    /// Only steps of this call
    #[bpaf(argument("CALL_ID"))]
    pub call: Option<Uuid>,
    /// Only events at this upstream's node or naming it
    #[bpaf(argument("NAME"))]
    pub upstream: Option<String>,
    /// Only calls and events of this class
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Only events of this configuration version
    #[bpaf(long("configuration"), argument("VERSION"))]
    pub version: Option<u64>,
    /// Only events that matter this much: debug, info, warning or error [default: info, or debug
    /// with a call, class or upstream]
    #[bpaf(argument("SEVERITY"))]
    pub severity: Option<Severity>,
}

/// The text names no severity.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("a severity is debug, info, warning or error")]
pub struct UnknownSeverity;

impl FromStr for Severity {
    type Err = UnknownSeverity;

    fn from_str(text: &str) -> Result<Self, UnknownSeverity> {
        Self::from_name(text).ok_or(UnknownSeverity)
    }
}

impl EventSelection {
    /// The call that is asked for.
    #[must_use]
    pub fn call_id(&self) -> Option<CallId> {
        self.call.map(CallId)
    }

    /// The least severity that is shown. Steps of calls are of the lowest one.
    #[must_use]
    pub fn least_severity(&self) -> Severity {
        let about_calls = self.call.is_some() || self.class.is_some() || self.upstream.is_some();
        let default = if about_calls {
            Severity::Debug
        } else {
            Severity::Info
        };
        self.severity.unwrap_or(default)
    }

    /// The events that match, in the same order.
    ///
    /// Most steps of a call do not name its class: first the calls of the class are found, then all
    /// their steps are kept.
    #[must_use]
    pub fn select(&self, events: Vec<EventView>) -> Vec<EventView> {
        let calls = self.find_calls_of_class(&events);
        events
            .into_iter()
            .filter(|event| self.matches(event, &calls))
            .collect()
    }

    fn find_calls_of_class(&self, events: &[EventView]) -> HashSet<CallId> {
        events
            .iter()
            .filter(|event| self.names_class(event))
            .filter_map(|event| event.call)
            .collect()
    }

    fn names_class(&self, view: &EventView) -> bool {
        let class = view.event.as_ref().and_then(Event::class);
        class.is_some_and(|class| Some(class.as_str()) == self.class.as_deref())
    }

    fn matches(&self, event: &EventView, calls: &HashSet<CallId>) -> bool {
        event.severity >= self.least_severity()
            && (self.call.is_none() || event.call == self.call_id())
            && self.matches_upstream(event)
            && self.matches_class(event, calls)
            && self.matches_version(event)
    }

    fn matches_upstream(&self, view: &EventView) -> bool {
        let Some(wanted) = &self.upstream else {
            return true;
        };
        let named = view.event.as_ref().and_then(Event::upstream);
        view.node.as_str() == wanted || named.map(NodeName::as_str) == Some(wanted)
    }

    fn matches_class(&self, event: &EventView, calls: &HashSet<CallId>) -> bool {
        self.class.is_none()
            || self.names_class(event)
            || event.call.is_some_and(|call| calls.contains(&call))
    }

    fn matches_version(&self, view: &EventView) -> bool {
        let version = view.event.as_ref().and_then(Event::version);
        self.version.is_none() || version.map(|version| version.0) == self.version
    }
}
