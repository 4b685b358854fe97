//! Messages with state between the nodes of a modelled mesh, as `src/proxy/state_messages.rs` has them.

use super::{
    mesh::{Call, Dark, Event, Mesh, Purpose, address},
    network::{Leg, Transfer},
};
use camphorturn::{coordination::table_sources::TableOffer, protocol::hop::StateMessage};
use std::time::Duration;

/// Time to open a connection, as in a node.
const OPENING: Duration = Duration::from_millis(250);
/// Longest time until an answer begins and between two pieces of it, as in a node.
const ANSWERING: Duration = Duration::from_secs(1);
/// Bytes of an opening, each way.
const OPENING_BYTES: usize = 60;
/// Bytes of the head of a message and of its packets.
const HEAD_BYTES: usize = 200;
/// Assumed work of a node with a tenth of a core on a message.
const WORK: Duration = Duration::from_millis(1);
/// Assumed work on each byte of a table: one end writes it, the other reads and applies it.
const WORK_PER_BYTE: Duration = Duration::from_nanos(600);

impl Mesh {
    pub fn call(&mut self, from: usize, to: usize, purpose: Purpose) -> usize {
        let call = self.calls.len();
        self.calls.push(Call {
            from,
            to,
            purpose,
            opened: false,
            ended: false,
            progress: self.timeline.now(),
            is_again: false,
            answer: None,
        });
        self.timeline.after(OPENING, Event::OpeningDue(call));
        self.timeline.after(ANSWERING, Event::AnswerDue(call));
        self.send(call, Leg::Open, OPENING_BYTES);
        call
    }

    /// Notes that a piece of an answer has come.
    pub fn note_piece(&mut self, transfer: usize) {
        let (call, leg) = self.network.part_of(transfer);
        if leg == Leg::Answer {
            self.calls[call].progress = self.timeline.now();
        }
    }

    /// Gives a call up if nothing has come of its answer for too long.
    pub fn look_for_answer(&mut self, number: usize) {
        let due = self.calls[number].progress + ANSWERING;
        if due > self.timeline.now() {
            self.timeline.at(due, Event::AnswerDue(number));
        } else {
            self.give_up(number);
        }
    }

    /// Ends a call whose answer is no longer wanted.
    pub fn cancel(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.ended = true;
        let ends = [call.from, call.to];
        self.network.abandon(number, ends);
    }

    pub fn send(&mut self, call: usize, leg: Leg, bytes: usize) {
        let (asking, asked) = (self.calls[call].from, self.calls[call].to);
        let (from, to) = match leg {
            Leg::Open | Leg::Question => (asking, asked),
            Leg::Opened | Leg::Answer => (asked, asking),
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

    pub fn take_leg(&mut self, transfer: &Transfer) {
        let number = transfer.call;
        let call = &mut self.calls[number];
        if call.ended || self.nodes[call.from].is_dark() {
            return;
        }
        match transfer.leg {
            Leg::Open if self.nodes[call.to].dark == Some(Dark::Unreachable) => {}
            // A mute node's link carries nothing of a table; its system still opens connections.
            Leg::Open if self.nodes[call.to].is_dark() => call.opened = true,
            Leg::Open => self.send(number, Leg::Opened, OPENING_BYTES),
            Leg::Opened => {
                call.opened = true;
                call.progress = self.timeline.now();
                let bytes = question_bytes(call);
                self.send(number, Leg::Question, bytes);
            }
            Leg::Question => self.timeline.after(WORK, Event::Handled(number)),
            Leg::Answer => self.take_answer(number),
        }
    }

    /// The node that was called has taken in the message, and answers.
    pub fn answer(&mut self, number: usize) {
        let to = self.calls[number].to;
        if self.nodes[to].is_dark() {
            return;
        }
        let mut bytes = 0;
        match self.calls[number].purpose.clone() {
            Purpose::Offer(message, forward_to) => {
                let (Some(version), Some(from)) = (message.offered_version, message.sender) else {
                    unreachable!("an offer tells version and node");
                };
                self.accept_offer(
                    to,
                    TableOffer {
                        from,
                        version,
                        forward_to,
                    },
                );
                bytes = self.told_bytes(to);
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
                bytes = self.told_bytes(to);
                self.calls[number].answer = Some((self.nodes[to].own, 0));
            }
            Purpose::Fetch(wanted) => {
                let has = self.nodes[to].own;
                if let Some(size) = self.tables.size_of_change(wanted, has) {
                    bytes = size;
                    self.calls[number].answer = Some((has, size));
                }
            }
        }
        self.send(number, Leg::Answer, HEAD_BYTES + bytes);
    }

    /// Bytes of the answer to an offer: the version that the node has.
    fn told_bytes(&self, node: usize) -> usize {
        let told = StateMessage {
            offered_version: Some(self.nodes[node].own),
            ..StateMessage::default()
        };
        serde_json::to_vec(&told).map_or(0, |body| body.len())
    }

    pub fn take_answer(&mut self, number: usize) {
        let call = &mut self.calls[number];
        call.ended = true;
        if let (Purpose::DirectOffer(_), Some((has, _))) = (&call.purpose, call.answer) {
            self.nodes[call.from].known.insert(call.to, has);
        }
        if let Purpose::Fetch(_) = call.purpose {
            if self.nodes[call.from].asks_heard == Some(number) {
                self.nodes[call.from].asks_heard = None;
            }
            let bytes = call.answer.map_or(0, |(_, bytes)| bytes);
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            let work = WORK + WORK_PER_BYTE * bytes;
            self.timeline.after(work, Event::Fetched(number));
        }
    }

    pub fn take_fetched(&mut self, number: usize) {
        let (node, answer) = (self.calls[number].from, self.calls[number].answer);
        if self.nodes[node].is_dark() {
            return;
        }
        if let Some((version, _)) = answer {
            self.nodes[node].copies += 1;
            let (own, call) = (self.nodes[node].own, &self.calls[number]);
            let Purpose::Fetch(base) = call.purpose else {
                unreachable!("only a question brings a table");
            };
            if version > own && base != own {
                if !call.is_again {
                    let again = self.call(node, call.to, Purpose::Fetch(own));
                    self.calls[again].is_again = true;
                    return;
                }
            } else if self.apply_table(node, version) {
                self.look_at_zone(node, false);
            }
        }
        self.fetch_on(node);
    }

    pub fn give_up(&mut self, number: usize) {
        let call = &mut self.calls[number];
        if call.ended || self.nodes[call.from].is_dark() {
            return;
        }
        call.ended = true;
        let (from, to, purpose) = (call.from, call.to, call.purpose.clone());
        self.network.abandon(number, [from, to]);
        match purpose {
            Purpose::Offer(message, rest) => self.send_to_first(from, *message, rest),
            Purpose::DirectOffer(_) => {}
            Purpose::Fetch(_) => {
                self.nodes[from].asks_heard = None;
                self.nodes[from].failed += 1;
                self.fetch_on(from);
            }
        }
    }
}

fn question_bytes(call: &Call) -> usize {
    let message = match &call.purpose {
        Purpose::Offer(message, _) => (**message).clone(),
        Purpose::DirectOffer(version) => StateMessage {
            offered_version: Some(*version),
            sender: Some(address(call.from)),
            ..StateMessage::default()
        },
        Purpose::Fetch(own) => StateMessage {
            changes_since: Some(*own),
            sender: Some(address(call.from)),
            ..StateMessage::default()
        },
    };
    HEAD_BYTES + serde_json::to_vec(&message).map_or(0, |body| body.len())
}
