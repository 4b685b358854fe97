//! The log format: one JSON object per line, with the time, the level and the fields of the event.

use std::fmt::{self, Write};
use tracing::{
    Event, Subscriber,
    field::{Field, Visit},
};
use tracing_subscriber::{
    fmt::{
        FmtContext, FormatEvent, FormatFields,
        format::Writer,
        time::{FormatTime, SystemTime},
    },
    registry::LookupSpan,
};

/// Event field that holds a JSON object as text; the object's members become members of the log line.
const OBJECT_FIELD: &str = "fields";

/// Formats each `tracing` event as a JSON object on a line of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonLines;

impl<S, N> FormatEvent<S, N> for JsonLines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _cx: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "{{\"time\":\"")?;
        SystemTime.format_time(&mut writer)?;
        let level = event.metadata().level();
        write!(writer, "\",\"level\":\"{level}\"")?;
        let mut visitor = MemberVisitor::default();
        event.record(&mut visitor);
        writeln!(writer, "{}}}", visitor.members)
    }
}

/// Collects the event's fields as members of a JSON object.
#[derive(Default)]
struct MemberVisitor {
    /// Encoded members, each with a comma before it.
    members: String,
}

impl MemberVisitor {
    fn push(&mut self, name: &str, value: &serde_json::Value) {
        // Writing to a `String` never fails.
        let _ = write!(self.members, ",\"{name}\":{value}");
    }
}

impl Visit for MemberVisitor {
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.push(field.name(), &value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.push(field.name(), &value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.push(field.name(), &value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() != OBJECT_FIELD {
            self.push(field.name(), &value.into());
            return;
        }
        let members = value.trim().strip_prefix('{');
        let members = members.and_then(|text| text.strip_suffix('}'));
        if let Some(members) = members.filter(|text| !text.is_empty()) {
            self.members.push(',');
            self.members.push_str(members);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field.name(), &format!("{value:?}").into());
    }
}
