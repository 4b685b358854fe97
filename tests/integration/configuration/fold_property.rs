//! Any interleaving of publications, duplicates, snapshots, retention, restarts and help from
//! peers gives every reader the state that folding the whole log gives.

use super::memory_log::{MemoryLog, id, publish};
use bolero::TypeGenerator;
use camphorturn::{
    coordination::log_reader::{LogReader, ReaderPace, SnapshotRules},
    protocol::platform_log::PlatformLog,
    state::{
        configuration::ConfigurationVersion,
        log_record::{LogRecord, LogRecordKind, Snapshot, decode_record},
        moment::Moment,
        published::{FoldedState, LogEntry},
    },
};

const READERS: u8 = 3;
const UNKNOWN_RECORD: &str = r#"{"format": 1, "id": "00000000-0000-0000-0000-000000000001",
    "kind": "pause", "content": {}}"#;

#[derive(Clone, Debug, TypeGenerator)]
enum Operation {
    /// Publish on the version that a reader sees, minus some versions.
    Publish { reader: u8, behind: u8, latency: u8 },
    /// Store a copy of the n-th publication.
    Repeat { number: u8 },
    /// A record that this version can't read.
    Unknown,
    /// A reader stores its state of this moment; it may lag behind.
    Snapshot { reader: u8 },
    /// The log forgets this many of its oldest records.
    Forget { count: u8 },
    /// A reader reads one page.
    Read { reader: u8 },
    /// A reader loses all it knows.
    Restart { reader: u8 },
    /// A reader gives its state to another.
    Help { from: u8, to: u8 },
}

struct World {
    log: MemoryLog,
    readers: Vec<LogReader>,
    versions: Vec<ConfigurationVersion>,
    /// State after each number of records.
    expected: Vec<FoldedState>,
    publications: Vec<LogRecord>,
    first_retained: u64,
}

fn new_reader() -> LogReader {
    LogReader::new(ReaderPace::default(), SnapshotRules::default())
}

impl World {
    fn new() -> Self {
        Self {
            log: MemoryLog::default(),
            readers: (0..READERS).map(|_| new_reader()).collect(),
            versions: vec![ConfigurationVersion(0); usize::from(READERS)],
            expected: vec![FoldedState::default()],
            publications: Vec::new(),
            first_retained: 0,
        }
    }

    fn store_text(&mut self, text: &str) {
        let offset = self.log.append(text).expect("a log in memory");
        let mut state = self.expected.last().expect("a first state").clone();
        state.apply(LogEntry {
            offset,
            time_ms: offset.0,
            record: decode_record(text),
        });
        self.expected.push(state);
    }

    fn store(&mut self, record: &LogRecord) {
        let text = camphorturn::state::log_record::encode_record(record).expect("text");
        self.store_text(&text);
    }

    fn step(&mut self, operation: &Operation) {
        let place = |reader: u8| usize::from(reader % READERS);
        match *operation {
            Operation::Publish {
                reader,
                behind,
                latency,
            } => {
                let version = self.readers[place(reader)].state().version();
                let base = version.0.saturating_sub(u64::from(behind % 3));
                let number = self.publications.len() as u128;
                let record = publish(number, base, u32::from(latency));
                self.store(&record);
                self.publications.push(record);
            }
            Operation::Repeat { number } => {
                let count = self.publications.len();
                if let Some(place) = usize::from(number).checked_rem(count) {
                    let record = self.publications[place].clone();
                    self.store(&record);
                }
            }
            Operation::Unknown => self.store_text(UNKNOWN_RECORD),
            Operation::Snapshot { reader } => {
                let state = FoldedState::clone(self.readers[place(reader)].state());
                self.store_snapshot(state);
            }
            Operation::Forget { count } => {
                let next = self.log.next().0;
                self.first_retained = next.min(self.first_retained + u64::from(count % 8));
                self.log.forget_before(self.first_retained);
            }
            Operation::Read { reader } => self.read(place(reader)),
            Operation::Restart { reader } => {
                self.readers[place(reader)] = new_reader();
                self.versions[place(reader)] = ConfigurationVersion(0);
            }
            Operation::Help { from, to } => {
                let state = FoldedState::clone(self.readers[place(from)].state());
                self.readers[place(to)].adopt(state);
            }
        }
    }

    fn store_snapshot(&mut self, state: FoldedState) {
        self.store(&LogRecord {
            id: id(9_999),
            kind: LogRecordKind::Snapshot(Box::new(Snapshot { state })),
        });
    }

    /// Once a snapshot joins what is retained, every reader reaches the end of the log.
    fn check_all_catch_up(&mut self) {
        let last = self.expected.last().expect("a first state").clone();
        self.store_snapshot(last);
        let reads = 2 * self.expected.len() + 4;
        for place in 0..usize::from(READERS) {
            for _ in 0..reads {
                self.read(place);
            }
            let state = self.readers[place].state();
            assert_eq!(Some(&**state), self.expected.last());
        }
    }

    fn read(&mut self, place: usize) {
        let reader = &mut self.readers[place];
        let order = reader.next_read();
        match self.log.read(order.from, order.limit.min(3)) {
            Ok(page) => reader.take_page(Moment(0), page),
            Err(error) => reader.take_failure(error),
        };
    }

    fn check(&mut self) {
        for (reader, least) in self.readers.iter().zip(&mut self.versions) {
            let state = reader.state();
            let next = usize::try_from(state.next().0).expect("a small log");
            assert_eq!(**state, self.expected[next]);
            assert!(state.version() >= *least);
            *least = state.version();
        }
    }
}

#[test]
fn log_reader_equals_the_whole_fold() {
    bolero::check!()
        .with_type::<Vec<Operation>>()
        .for_each(|operations| {
            let mut world = World::new();
            for operation in operations {
                world.step(operation);
                world.check();
            }
            world.check_all_catch_up();
        });
}
