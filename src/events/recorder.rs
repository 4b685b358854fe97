//! Keeps the latest events of a node in bounded memory and writes them to the log.

use crate::{
    events::{
        event::Event,
        reasons::Severity,
        stamp::{CausalClock, CausalStamp},
        view::{EventPage, EventQuery, EventView},
    },
    protocol::attempt::CallId,
    state::{member::Incarnation, moment::Moment, names::NodeName},
    timers::TimerService,
};
use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

/// Steps of calls that are kept unless the settings say otherwise.
pub const DEFAULT_CALL_EVENTS: usize = 32_768;
/// Other events that are kept unless the settings say otherwise.
pub const DEFAULT_OTHER_EVENTS: usize = 4_096;

/// The wall clock is read again after this time; in between it is reckoned from the last reading,
/// which saves a reading of the system's clock for each event.
const WALL_CLOCK_PERIOD: Duration = Duration::from_millis(100);

/// How many events are kept.
///
/// Steps of calls have a ring of their own: there are thousands of them for each other event, and
/// in one ring they would push out within a minute what an operator looks for hours later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSizes {
    /// Steps of calls.
    pub calls: usize,
    /// All other events.
    pub others: usize,
}

impl Default for RingSizes {
    fn default() -> Self {
        Self {
            calls: DEFAULT_CALL_EVENTS,
            others: DEFAULT_OTHER_EVENTS,
        }
    }
}

struct RecordedEvent {
    sequence: u64,
    stamp: CausalStamp,
    moment: Moment,
    wall_millis: u64,
    call: Option<CallId>,
    event: Event,
}

struct Ring {
    events: VecDeque<RecordedEvent>,
    size: usize,
    /// Sequence of the last event that was pushed out.
    dropped_to: u64,
    /// Events pushed out so far.
    dropped: u64,
}

impl Ring {
    fn new(size: usize) -> Self {
        Self {
            events: VecDeque::with_capacity(size),
            size,
            dropped_to: 0,
            dropped: 0,
        }
    }

    fn push(&mut self, recorded: RecordedEvent) {
        if self.events.len() >= self.size
            && let Some(oldest) = self.events.pop_front()
        {
            self.dropped_to = oldest.sequence;
            self.dropped += 1;
        }
        if self.size > 0 {
            self.events.push_back(recorded);
        }
    }

    fn after(&self, sequence: u64) -> impl Iterator<Item = &RecordedEvent> {
        let start = self
            .events
            .partition_point(|event| event.sequence <= sequence);
        self.events.range(start..)
    }
}

/// A reading of the wall clock.
#[derive(Clone, Copy, Debug)]
struct WallReading {
    at: Moment,
    millis: u64,
}

impl WallReading {
    fn read(timers: &TimerService) -> Self {
        Self {
            at: timers.now(),
            millis: timers.wall_millis(),
        }
    }

    fn reckon(self, now: Moment) -> u64 {
        let passed = now.since(self.at).as_millis();
        self.millis + u64::try_from(passed).unwrap_or(u64::MAX)
    }
}

struct Recording {
    node: NodeName,
    incarnation: Incarnation,
    timers: TimerService,
    wall: WallReading,
    clock: CausalClock,
    sequence: u64,
    calls: Ring,
    others: Ring,
}

/// Handle to the record of one node's events; clones share it. Lives on the event-loop thread.
#[derive(Clone)]
pub struct EventRecorder {
    recording: Rc<RefCell<Recording>>,
}

impl EventRecorder {
    /// An empty record for one run of a node.
    #[must_use]
    pub fn new(
        node: NodeName,
        incarnation: Incarnation,
        timers: TimerService,
        sizes: RingSizes,
    ) -> Self {
        let recording = Recording {
            node,
            incarnation,
            wall: WallReading::read(&timers),
            timers,
            clock: CausalClock::default(),
            sequence: 0,
            calls: Ring::new(sizes.calls),
            others: Ring::new(sizes.others),
        };
        Self {
            recording: Rc::new(RefCell::new(recording)),
        }
    }

    /// Keeps an event and writes it to the log at its severity.
    pub fn record(&self, event: Event, call: Option<CallId>) {
        let mut recording = self.recording.borrow_mut();
        let recording = &mut *recording;
        write_log(&recording.node, &event, call);
        let moment = recording.timers.now();
        let wall_millis = recording.reckon_wall(moment);
        recording.sequence += 1;
        let ring = if event.is_call_step() {
            &mut recording.calls
        } else {
            &mut recording.others
        };
        ring.push(RecordedEvent {
            sequence: recording.sequence,
            stamp: recording.clock.advance(wall_millis),
            moment,
            wall_millis,
            call,
            event,
        });
    }

    /// The stamp to send with a message to another node.
    #[must_use]
    pub fn stamp(&self) -> CausalStamp {
        self.recording.borrow().clock.current()
    }

    /// Takes over the stamp that came with a message from another node.
    pub fn observe(&self, stamp: CausalStamp) {
        let mut recording = self.recording.borrow_mut();
        let moment = recording.timers.now();
        let wall_millis = recording.reckon_wall(moment);
        recording.clock.observe(stamp, wall_millis);
    }

    /// Events recorded so far, kept or not.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.recording.borrow().sequence
    }

    /// The events that are still kept and match.
    #[must_use]
    pub fn find(&self, query: &EventQuery) -> EventPage {
        let recording = self.recording.borrow();
        let mut found: Vec<&RecordedEvent> = recording
            .calls
            .after(query.since)
            .chain(recording.others.after(query.since))
            .filter(|recorded| query.call.is_none() || recorded.call == query.call)
            .filter(|recorded| recorded.event.severity() >= query.severity)
            .collect();
        found.sort_unstable_by_key(|recorded| recorded.sequence);
        let more = found.len() > query.limit;
        found.truncate(query.limit);
        let last = found.last().map_or(query.since, |last| last.sequence);
        EventPage {
            node: Some(recording.node.clone()),
            incarnation: recording.incarnation,
            next: if more { last } else { recording.sequence },
            dropped: recording.count_dropped(query.since),
            more,
            events: found.iter().map(|found| recording.view(found)).collect(),
        }
    }
}

impl Recording {
    fn reckon_wall(&mut self, now: Moment) -> u64 {
        if now.since(self.wall.at) >= WALL_CLOCK_PERIOD {
            self.wall = WallReading::read(&self.timers);
        }
        self.wall.reckon(now)
    }

    fn count_dropped(&self, since: u64) -> u64 {
        [&self.calls, &self.others]
            .iter()
            .map(|ring| ring.dropped.min(ring.dropped_to.saturating_sub(since)))
            .sum()
    }

    fn view(&self, recorded: &RecordedEvent) -> EventView {
        EventView {
            node: self.node.clone(),
            incarnation: self.incarnation,
            sequence: recorded.sequence,
            stamp: recorded.stamp,
            moment: recorded.moment,
            wall_millis: recorded.wall_millis,
            number: recorded.event.number(),
            severity: recorded.event.severity(),
            call: recorded.call,
            message: recorded.event.to_string(),
            event: Some(recorded.event.clone()),
        }
    }
}

/// Writes an event to the log. The level of a log line is fixed where it is written.
fn write_log(node: &NodeName, event: &Event, call: Option<CallId>) {
    macro_rules! line {
        ($write:ident) => {
            match call {
                Some(call) => {
                    tracing::$write!(number = event.number(), %node, %call, "{event}");
                }
                None => tracing::$write!(number = event.number(), %node, "{event}"),
            }
        };
    }
    match event.severity() {
        Severity::Debug => line!(debug),
        Severity::Info => line!(info),
        Severity::Warning => line!(warn),
        Severity::Error => line!(error),
    }
}
