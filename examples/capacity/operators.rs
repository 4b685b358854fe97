//! What one node holds and sends for operators' tools.

use crate::{memory::resident_bytes, samples::new_member};
use camphorturn::{
    events::{
        event::Event,
        recorder::{DEFAULT_CALL_EVENTS, DEFAULT_OTHER_EVENTS, EventRecorder, RingSizes},
    },
    protocol::operator_views::{MemberStatus, NodeStatus},
    state::{member::Incarnation, names::NodeName},
    timers::TimerService,
};
use serde::Serialize;

/// Cost of a look at one node that knows so many members.
#[derive(Debug, Serialize)]
pub struct OperatorCost {
    members: usize,
    /// Bytes of the answer to `/status`, with members only.
    status_bytes: usize,
}

/// Measures for so many members.
pub fn measure(members: usize) -> OperatorCost {
    let status = NodeStatus {
        members: (0..members).map(new_member_status).collect(),
        ..NodeStatus::default()
    };
    OperatorCost {
        members,
        status_bytes: serde_json::to_vec(&status).expect("plain content").len(),
    }
}

fn new_member_status(number: usize) -> MemberStatus {
    let member = new_member(number);
    MemberStatus {
        node: Some(member.name),
        incarnation: member.incarnation,
        service: Some(member.service),
        availability_zone: Some(member.availability_zone),
        operator_address: Some(member.operator_address),
        ..MemberStatus::default()
    }
}

/// Growth of the process by the full rings of events of one node.
pub fn measure_rings() -> u64 {
    let before = resident_bytes();
    let recorder = EventRecorder::new(
        NodeName::from("node"),
        Incarnation(1),
        TimerService::fake(),
        RingSizes::default(),
    );
    for _ in 0..DEFAULT_CALL_EVENTS {
        recorder.record(
            Event::SettleAsked {
                attempt: 0,
                upstream: NodeName::from("b"),
            },
            None,
        );
    }
    for _ in 0..DEFAULT_OTHER_EVENTS {
        recorder.record(Event::ReaderStarted {}, None);
    }
    resident_bytes().saturating_sub(before)
}
