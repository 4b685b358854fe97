//! Links of a modelled mesh, in virtual time.
//!
//! Each node has one link, full duplex. What a node sends leaves in segments, those of several transfers in turn; at
//! the receiver's link the segments stand in line in the order of their coming.

use camphorturn::state::timestamp::Timestamp;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Bytes that a link carries of one transfer before it is the turn of the next.
const SEGMENT: usize = 8 * 1024;
/// Way between two nodes of a zone.
const DELAY_WITHIN: Duration = Duration::from_micros(250);
/// Way between nodes of two zones.
const DELAY_BETWEEN: Duration = Duration::from_millis(1);

/// What is due when.
#[derive(Debug)]
pub struct Timeline<E> {
    now: Timestamp,
    numbers: u64,
    due: BTreeMap<(Timestamp, u64), E>,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self {
            now: Timestamp(0),
            numbers: 0,
            due: BTreeMap::new(),
        }
    }
}

impl<E> Timeline<E> {
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    pub fn at(&mut self, timestamp: Timestamp, event: E) {
        self.numbers += 1;
        self.due.insert((timestamp, self.numbers), event);
    }

    pub fn after(&mut self, pause: Duration, event: E) {
        self.at(self.now + pause, event);
    }

    /// The next event up to a moment; time goes on to it.
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

/// A part of a call from node to node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    Open,
    Opened,
    Question,
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
    /// The link of a node is free for the next segment.
    Free(usize),
    /// A segment of a transfer has come to the receiver's link.
    Come(usize, usize),
    /// The receiver has a segment of a transfer.
    Received(usize, usize),
}

#[derive(Debug)]
struct UnderWay {
    transfer: Transfer,
    unsent: usize,
    missing: usize,
}

#[derive(Debug)]
struct Link {
    zone: usize,
    bits_per_second: u64,
    leaving: VecDeque<usize>,
    is_sending: bool,
    incoming_free: Timestamp,
    is_cut: bool,
    bytes_in: usize,
    bytes_out: usize,
}

impl Link {
    fn time_for(&self, bytes: usize) -> Duration {
        let micros = bytes as u64 * 8 * 1_000_000 / self.bits_per_second;
        Duration::from_micros(micros)
    }
}

#[derive(Debug, Default)]
pub struct Network {
    links: Vec<Link>,
    transfers: Vec<UnderWay>,
}

impl Network {
    pub fn add_link(&mut self, zone: usize, bits_per_second: u64) {
        self.links.push(Link {
            zone,
            bits_per_second,
            leaving: VecDeque::new(),
            is_sending: false,
            incoming_free: Timestamp(0),
            is_cut: false,
            bytes_in: 0,
            bytes_out: 0,
        });
    }

    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if self.links[from].zone == self.links[to].zone {
            DELAY_WITHIN
        } else {
            DELAY_BETWEEN
        }
    }

    /// The call of a transfer, and which part of it that is.
    pub fn part_of(&self, transfer: usize) -> (usize, Leg) {
        let transfer = &self.transfers[transfer].transfer;
        (transfer.call, transfer.leg)
    }

    /// Nothing leaves a node any more.
    pub fn cut(&mut self, node: usize) {
        self.links[node].is_cut = true;
        self.links[node].leaving.clear();
    }

    /// Gives up what is not sent yet of a call.
    pub fn abandon(&mut self, call: usize, ends: [usize; 2]) {
        for end in ends {
            let transfers = &self.transfers;
            let of_others = |number: &usize| transfers[*number].transfer.call != call;
            self.links[end].leaving.retain(of_others);
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
        self.transfers.push(UnderWay {
            transfer,
            unsent: bytes,
            missing: bytes,
        });
        let link = &mut self.links[from];
        if link.is_cut {
            return;
        }
        link.leaving.push_back(number);
        if !link.is_sending {
            self.send_segment(timeline, from);
        }
    }

    /// Goes on after an event; a transfer that is complete now.
    pub fn go_on<E: From<NetworkEvent>>(
        &mut self,
        timeline: &mut Timeline<E>,
        event: NetworkEvent,
    ) -> Option<Transfer> {
        match event {
            NetworkEvent::Free(node) => self.send_segment(timeline, node),
            NetworkEvent::Come(number, bytes) => {
                let link = &mut self.links[self.transfers[number].transfer.to];
                let begin = link.incoming_free.max(timeline.now());
                link.incoming_free = begin + link.time_for(bytes);
                let received = NetworkEvent::Received(number, bytes);
                timeline.at(link.incoming_free, received.into());
            }
            NetworkEvent::Received(number, bytes) => {
                let under_way = &mut self.transfers[number];
                under_way.missing -= bytes;
                self.links[under_way.transfer.to].bytes_in += bytes;
                if under_way.missing == 0 {
                    return Some(under_way.transfer.clone());
                }
            }
        }
        None
    }

    fn send_segment<E: From<NetworkEvent>>(&mut self, timeline: &mut Timeline<E>, node: usize) {
        let link = &mut self.links[node];
        let Some(number) = link.leaving.pop_front() else {
            link.is_sending = false;
            return;
        };
        link.is_sending = true;
        let under_way = &mut self.transfers[number];
        let bytes = under_way.unsent.min(SEGMENT);
        under_way.unsent -= bytes;
        if under_way.unsent > 0 {
            link.leaving.push_back(number);
        }
        link.bytes_out += bytes;
        let sent = timeline.now() + link.time_for(bytes);
        let to = under_way.transfer.to;
        timeline.at(sent, NetworkEvent::Free(node).into());
        let come = sent + self.delay(node, to);
        timeline.at(come, NetworkEvent::Come(number, bytes).into());
    }
}
