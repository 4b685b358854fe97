//! State messages between the nodes of the simulated mesh. They follow `src/proxy/state_messages.rs`.

use super::{
    mesh::{Call, Event, Mesh, Outage, Purpose, address},
    network::{Leg, Transfer},
};
use camphorturn::{coordination::table_sources::TableOffer, protocol::hop::StateMessage};
use std::time::Duration;

/// Timeout for opening a connection, the same as in a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time until an answer begins and between two chunks of it, the same as in a node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes in each direction to open a connection.
const CONNECT_BYTES: usize = 60;
/// Bytes of the headers of a message and of its packets.
const HEAD_BYTES: usize = 200;
/// Assumed time to process a message on a node with a tenth of a core.
const CPU_TIME_PER_MESSAGE: Duration = Duration::from_millis(1);
/// Assumed time per byte of a table: the sender writes it, the receiver reads and applies it.
const CPU_TIME_PER_TABLE_BYTE: Duration = Duration::from_nanos(600);

impl Mesh {
    pub fn call(&mut self, from: usize, to: usize, purpose: Purpose) -> usize {
        let call = self.calls.len();
        self.calls.push(Call {
            from,
            to,
            purpose,
            is_connected: false,
            is_ended: false,
            last_progress: self.timeline.now(),
            is_second_fetch: false,
            answer: None,
        });
        self.timeline
            .after(CONNECT_TIMEOUT, Event::ConnectTimeout(call));
        self.timeline
            .after(ANSWER_TIMEOUT, Event::AnswerTimeout(call));
        self.send(call, Leg::Open, CONNECT_BYTES);
        call
    }

    /// Records that a part of an answer has arrived.
    pub fn record_progress(&mut self, transfer: usize) {
        let (call, leg) = self.network.find_call(transfer);
        if leg == Leg::Answer {
            self.calls[call].last_progress = self.timeline.now();
        }
    }

    /// Fails a call if no part of its answer has arrived within the timeout.
    pub fn check_answer_timeout(&mut self, number: usize) {
        let due = self.calls[number].last_progress + ANSWER_TIMEOUT;
        if due > self.timeline.now() {
            self.timeline.at(due, Event::AnswerTimeout(number));
        } else {
            self.fail_call(number);
        }
    }

    /// Cancels a call whose answer is no longer needed.
    pub fn cancel(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.is_ended = true;
        let nodes = [call.from, call.to];
        self.network.drop_unsent_segments(number, nodes);
    }

    pub fn send(&mut self, call: usize, leg: Leg, bytes: usize) {
        let (origin, target) = (self.calls[call].from, self.calls[call].to);
        let (from, to) = match leg {
            Leg::Open | Leg::Request => (origin, target),
            Leg::Opened | Leg::Answer => (target, origin),
        };
        let transfer = Transfer {
            call,
            leg,
            from,
            to,
            bytes,
        };
        self.network.send(&mut self.timeline, transfer);
    }

    pub fn handle_leg(&mut self, transfer: &Transfer) {
        let number = transfer.call;
        let call = &mut self.calls[number];
        if call.is_ended || self.nodes[call.from].is_down() {
            return;
        }
        match transfer.leg {
            Leg::Open if self.nodes[call.to].outage == Some(Outage::Unreachable) => {}
            // The operating system of an unresponsive node still accepts connections.
            Leg::Open if self.nodes[call.to].is_down() => call.is_connected = true,
            Leg::Open => self.send(number, Leg::Opened, CONNECT_BYTES),
            Leg::Opened => {
                call.is_connected = true;
                call.last_progress = self.timeline.now();
                let bytes = count_request_bytes(call);
                self.send(number, Leg::Request, bytes);
            }
            Leg::Request => self
                .timeline
                .after(CPU_TIME_PER_MESSAGE, Event::RequestHandled(number)),
            Leg::Answer => self.handle_answer(number),
        }
    }

    /// The called node applies the message and answers.
    pub fn answer(&mut self, number: usize) {
        let to = self.calls[number].to;
        if self.nodes[to].is_down() {
            return;
        }
        let mut bytes = 0;
        match self.calls[number].purpose.clone() {
            Purpose::Offer(message, forward_to) => {
                let (Some(version), Some(from)) = (message.offered_version, message.sender) else {
                    unreachable!("an offer has a version and a sender");
                };
                self.accept_offer(
                    to,
                    TableOffer {
                        from,
                        version,
                        forward_to,
                    },
                );
                bytes = self.count_version_answer_bytes(to);
            }
            Purpose::DirectOffer(version) => {
                let from = address(self.calls[number].from);
                let forward_to = Vec::new();
                self.accept_offer(
                    to,
                    TableOffer {
                        from,
                        version,
                        forward_to,
                    },
                );
                bytes = self.count_version_answer_bytes(to);
                self.calls[number].answer = Some((self.nodes[to].own_version, 0));
            }
            Purpose::Fetch(known_version) => {
                let peer_version = self.nodes[to].own_version;
                if let Some(size) = self.tables.size_of_change(known_version, peer_version) {
                    bytes = size;
                    self.calls[number].answer = Some((peer_version, size));
                }
            }
        }
        self.send(number, Leg::Answer, HEAD_BYTES + bytes);
    }

    /// Bytes of the answer to an offer, which holds the version of the answering node.
    fn count_version_answer_bytes(&self, node: usize) -> usize {
        let answer_message = StateMessage {
            offered_version: Some(self.nodes[node].own_version),
            ..StateMessage::default()
        };
        serde_json::to_vec(&answer_message).map_or(0, |body| body.len())
    }

    pub fn handle_answer(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.is_ended = true;
        if let (Purpose::DirectOffer(_), Some((peer_version, _))) = (&call.purpose, call.answer) {
            self.nodes[call.from]
                .known_versions
                .insert(call.to, peer_version);
        }
        if let Purpose::Fetch(_) = call.purpose {
            if self.nodes[call.from].reported_fetch == Some(number) {
                self.nodes[call.from].reported_fetch = None;
            }
            let bytes = call.answer.map_or(0, |(_, bytes)| bytes);
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            let work = CPU_TIME_PER_MESSAGE + CPU_TIME_PER_TABLE_BYTE * bytes;
            self.timeline.after(work, Event::AnswerApplied(number));
        }
    }

    pub fn apply_fetched(&mut self, number: usize) {
        let (node, answer) = (self.calls[number].from, self.calls[number].answer);
        if self.nodes[node].is_down() {
            return;
        }
        if let Some((version, _)) = answer {
            self.nodes[node].received_tables += 1;
            let (own_version, call) = (self.nodes[node].own_version, &self.calls[number]);
            let Purpose::Fetch(base) = call.purpose else {
                unreachable!("only a fetch returns a table");
            };
            if version > own_version && base != own_version {
                if !call.is_second_fetch {
                    let second_call = self.call(node, call.to, Purpose::Fetch(own_version));
                    self.calls[second_call].is_second_fetch = true;
                    return;
                }
            } else if self.apply_table(node, version) {
                self.offer_to_zone(node, false);
            }
        }
        self.continue_fetching(node);
    }

    pub fn fail_call(&mut self, number: usize) {
        let call = &mut self.calls[number];
        if call.is_ended || self.nodes[call.from].is_down() {
            return;
        }
        call.is_ended = true;
        let (from, to, purpose) = (call.from, call.to, call.purpose.clone());
        self.network.drop_unsent_segments(number, [from, to]);
        match purpose {
            Purpose::Offer(message, remaining) => self.send_to_any(from, *message, remaining),
            Purpose::DirectOffer(_) => {}
            Purpose::Fetch(_) => {
                self.nodes[from].reported_fetch = None;
                self.nodes[from].failed_fetches += 1;
                self.continue_fetching(from);
            }
        }
    }
}

fn count_request_bytes(call: &Call) -> usize {
    let message = match &call.purpose {
        Purpose::Offer(message, _) => (**message).clone(),
        Purpose::DirectOffer(version) => StateMessage {
            offered_version: Some(*version),
            sender: Some(address(call.from)),
            ..StateMessage::default()
        },
        Purpose::Fetch(own_version) => StateMessage {
            changes_since: Some(*own_version),
            sender: Some(address(call.from)),
            ..StateMessage::default()
        },
    };
    HEAD_BYTES + serde_json::to_vec(&message).map_or(0, |body| body.len())
}
