//! Fetching events of all nodes and putting them in causal order.

use crate::{
    commands::{
        mesh::{MeshSurvey, UnreachedNode, ask_all},
        timeline::selection::EventSelection,
    },
    events::view::{EventPage, EventQuery, EventView},
    state::member::Incarnation,
    transport::operators::client::{AskError, OperatorClient},
};
use std::{collections::HashMap, net::SocketAddr};

/// Events asked for at a time.
const PAGE_SIZE: usize = 5_000;

/// Where the next look at a node continues.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
}

/// What was read from one node in one look.
struct NodeEvents {
    cursor: Cursor,
    dropped: u64,
    events: Vec<EventView>,
}

/// Remembers how far each node was read.
pub struct Collector {
    client: OperatorClient,
    query: EventQuery,
    cursors: HashMap<SocketAddr, Cursor>,
    dropped: u64,
}

impl Collector {
    /// A collector that has read nothing yet.
    #[must_use]
    pub fn new(client: OperatorClient, selection: &EventSelection) -> Self {
        let query = EventQuery {
            since: 0,
            call: selection.call_id(),
            severity: selection.least_severity(),
            limit: PAGE_SIZE,
        };
        Self {
            client,
            query,
            cursors: HashMap::new(),
            dropped: 0,
        }
    }

    /// Events that nodes had dropped from memory before they were read, at most.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// All events since the last look, in causal order. Nodes that fail now join the unreached.
    pub fn collect(&mut self, survey: &mut MeshSurvey) -> Vec<EventView> {
        let addresses: Vec<SocketAddr> = survey.reached.iter().map(|node| node.address).collect();
        let answers = ask_all(&addresses, |address| self.read_node(address));
        let mut events = Vec::new();
        for (address, answer) in answers {
            match answer {
                Ok(read) => {
                    self.cursors.insert(address, read.cursor);
                    self.dropped += read.dropped;
                    events.extend(read.events);
                }
                Err(problem) => survey.unreached.push(UnreachedNode {
                    address,
                    node: None,
                    leaving: false,
                    problem: problem.to_string(),
                }),
            }
        }
        sort_causally(&mut events);
        events
    }

    fn read_node(&self, address: SocketAddr) -> Result<NodeEvents, AskError> {
        let cursor = self.cursors.get(&address).copied().unwrap_or_default();
        let mut page = self.read_page(address, cursor.next)?;
        if cursor.next > 0 && page.incarnation != cursor.incarnation {
            // Another run of the node counts from the beginning again.
            page = self.read_page(address, 0)?;
        }
        let mut read = NodeEvents {
            cursor,
            dropped: page.dropped,
            events: Vec::new(),
        };
        loop {
            read.cursor = Cursor {
                incarnation: page.incarnation,
                next: page.next,
            };
            read.events.append(&mut page.events);
            if !page.more {
                return Ok(read);
            }
            page = self.read_page(address, read.cursor.next)?;
        }
    }

    fn read_page(&self, address: SocketAddr, since: u64) -> Result<EventPage, AskError> {
        let query = EventQuery {
            since,
            ..self.query
        };
        self.client.fetch_events(address, &query)
    }
}

/// Puts causes before effects; events without a causal relation stand in a fixed order.
pub fn sort_causally(events: &mut [EventView]) {
    events.sort_by(|left, right| {
        (left.stamp, &left.node, left.incarnation, left.sequence).cmp(&(
            right.stamp,
            &right.node,
            right.incarnation,
            right.sequence,
        ))
    });
}
