//! Links of a simulated mesh, in virtual time.
//!
//! Each node has one full-duplex link. A node sends in segments, and alternates between the segments of concurrent transfers. At
//! the link of the receiver, segments are queued in the order of arrival.

use camphorturn::state::timestamp::Timestamp;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Bytes that a link sends of one transfer before it continues with the next.
const SEGMENT_BYTES: usize = 8 * 1024;
/// One-way delay between two nodes of a zone.
const DELAY_WITHIN_ZONE: Duration = Duration::from_micros(250);
/// One-way delay between nodes of two zones.
const DELAY_BETWEEN_ZONES: Duration = Duration::from_millis(1);

/// Events in the order of virtual time; events of the same time are in the order in which they were added.
#[derive(Debug)]
pub struct Timeline<E> {
    now: Timestamp,
    last_number: u64,
    due: BTreeMap<(Timestamp, u64), E>,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self {
            now: Timestamp(0),
            last_number: 0,
            due: BTreeMap::new(),
        }
    }
}

impl<E> Timeline<E> {
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    pub fn at(&mut self, timestamp: Timestamp, event: E) {
        self.last_number += 1;
        self.due.insert((timestamp, self.last_number), event);
    }

    pub fn after(&mut self, pause: Duration, event: E) {
        self.at(self.now + pause, event);
    }

    /// Removes the next event that is due up to `end`, and advances the time to it.
    pub fn next_until(&mut self, end: Timestamp) -> Option<E> {
        let first = self.due.first_entry()?;
        let (timestamp, _) = *first.key();
        if timestamp > end {
            return None;
        }
        self.now = timestamp;
        Some(first.remove())
    }
}

/// One direction of one step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// The caller opens a connection.
    Open,
    /// The callee has accepted the connection.
    Opened,
    /// The caller sends its request.
    Request,
    /// The callee answers.
    Answer,
}

#[derive(Clone, Debug)]
pub struct Transfer {
    pub call: usize,
    pub leg: Leg,
    pub from: usize,
    pub to: usize,
    pub bytes: usize,
}

#[derive(Clone, Copy, Debug)]
pub enum NetworkEvent {
    /// The link of a node has sent a segment and is free for the next.
    LinkFree(usize),
    /// A segment of a transfer has arrived at the receiver's link. Holds the transfer and the bytes.
    SegmentArrived(usize, usize),
    /// The receiver has read a segment of a transfer. Holds the transfer and the bytes.
    SegmentReceived(usize, usize),
}

#[derive(Debug)]
struct ActiveTransfer {
    transfer: Transfer,
    unsent_bytes: usize,
    unreceived_bytes: usize,
}

#[derive(Debug)]
struct Link {
    zone: usize,
    bits_per_second: u64,
    outbound: VecDeque<usize>,
    is_sending: bool,
    inbound_free_at: Timestamp,
    is_disconnected: bool,
    bytes_in: usize,
    bytes_out: usize,
}

impl Link {
    fn transmission_time(&self, bytes: usize) -> Duration {
        let micros = bytes as u64 * 8 * 1_000_000 / self.bits_per_second;
        Duration::from_micros(micros)
    }
}

#[derive(Debug, Default)]
pub struct Network {
    links: Vec<Link>,
    transfers: Vec<ActiveTransfer>,
}

impl Network {
    pub fn add_link(&mut self, zone: usize, bits_per_second: u64) {
        self.links.push(Link {
            zone,
            bits_per_second,
            outbound: VecDeque::new(),
            is_sending: false,
            inbound_free_at: Timestamp(0),
            is_disconnected: false,
            bytes_in: 0,
            bytes_out: 0,
        });
    }

    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if self.links[from].zone == self.links[to].zone {
            DELAY_WITHIN_ZONE
        } else {
            DELAY_BETWEEN_ZONES
        }
    }

    /// The call that a transfer belongs to, and its leg.
    pub fn find_call(&self, transfer: usize) -> (usize, Leg) {
        let transfer = &self.transfers[transfer].transfer;
        (transfer.call, transfer.leg)
    }

    /// Disconnects a node: it sends nothing any more.
    pub fn disconnect(&mut self, node: usize) {
        self.links[node].is_disconnected = true;
        self.links[node].outbound.clear();
    }

    /// Drops the segments of a call that its two nodes have not sent yet.
    pub fn drop_unsent_segments(&mut self, call: usize, nodes: [usize; 2]) {
        for node in nodes {
            let transfers = &self.transfers;
            let is_of_other_call = |number: &usize| transfers[*number].transfer.call != call;
            self.links[node].outbound.retain(is_of_other_call);
        }
    }

    pub fn bytes_in(&self, node: usize) -> usize {
        self.links[node].bytes_in
    }

    pub fn bytes_out(&self, node: usize) -> usize {
        self.links[node].bytes_out
    }

    pub fn send<E: From<NetworkEvent>>(&mut self, timeline: &mut Timeline<E>, transfer: Transfer) {
        let (number, from, bytes) = (self.transfers.len(), transfer.from, transfer.bytes);
        self.transfers.push(ActiveTransfer {
            transfer,
            unsent_bytes: bytes,
            unreceived_bytes: bytes,
        });
        let link = &mut self.links[from];
        if link.is_disconnected {
            return;
        }
        link.outbound.push_back(number);
        if !link.is_sending {
            self.send_segment(timeline, from);
        }
    }

    /// Handles an event. Returns the transfer that it completes, if any.
    pub fn handle_event<E: From<NetworkEvent>>(
        &mut self,
        timeline: &mut Timeline<E>,
        event: NetworkEvent,
    ) -> Option<Transfer> {
        match event {
            NetworkEvent::LinkFree(node) => self.send_segment(timeline, node),
            NetworkEvent::SegmentArrived(number, bytes) => {
                let link = &mut self.links[self.transfers[number].transfer.to];
                let start = link.inbound_free_at.max(timeline.now());
                link.inbound_free_at = start + link.transmission_time(bytes);
                let received = NetworkEvent::SegmentReceived(number, bytes);
                timeline.at(link.inbound_free_at, received.into());
            }
            NetworkEvent::SegmentReceived(number, bytes) => {
                let active = &mut self.transfers[number];
                active.unreceived_bytes -= bytes;
                self.links[active.transfer.to].bytes_in += bytes;
                if active.unreceived_bytes == 0 {
                    return Some(active.transfer.clone());
                }
            }
        }
        None
    }

    fn send_segment<E: From<NetworkEvent>>(&mut self, timeline: &mut Timeline<E>, node: usize) {
        let link = &mut self.links[node];
        let Some(number) = link.outbound.pop_front() else {
            link.is_sending = false;
            return;
        };
        link.is_sending = true;
        let active = &mut self.transfers[number];
        let bytes = active.unsent_bytes.min(SEGMENT_BYTES);
        active.unsent_bytes -= bytes;
        if active.unsent_bytes > 0 {
            link.outbound.push_back(number);
        }
        link.bytes_out += bytes;
        let sent = timeline.now() + link.transmission_time(bytes);
        let to = active.transfer.to;
        timeline.at(sent, NetworkEvent::LinkFree(node).into());
        let arrival = sent + self.delay(node, to);
        timeline.at(arrival, NetworkEvent::SegmentArrived(number, bytes).into());
    }
}
