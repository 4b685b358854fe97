//! The requests themselves, over an open connection.
//!
//! NB: from the moment that a request is handed to the RPC system, a failure is
//! [`PeerError::Lost`]; before, it is [`PeerError::NotSent`]. There is no await between the check
//! that the connection is open and the handing over.

use crate::{
    coordination::{
        keyed_calls::HeldAnswer,
        ownership::handover::{HandoverAnswer, SlotHandover},
    },
    events::stamp::CausalStamp,
    protocol::{
        attempt::AttemptId,
        call::CallAttempt,
        gossip::Gossip,
        load_report::LoadReport,
        outcome::{AttemptResult, Settlement},
    },
    state::ownership::EpochNumber,
    transport::peers::{
        PeerHandler,
        codec::{
            read_fault, read_gossip, read_handover_answer, read_load, read_result, read_settlement,
            write_attempt, write_attempt_id, write_gossip, write_handover,
        },
        connection::Connection,
        error::{DecodeError, NotSentReason, PeerError},
        mesh_capnp::{call_attempt, execute_reply},
    },
};
use std::time::Duration;

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        Self::Lost(error.to_string())
    }
}

impl From<capnp::NotInSchema> for PeerError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Lost(error.to_string())
    }
}

impl From<DecodeError> for PeerError {
    fn from(error: DecodeError) -> Self {
        Self::Lost(error.to_string())
    }
}

pub async fn execute(
    connection: &Connection,
    handler: &dyn PeerHandler,
    attempt: &CallAttempt,
    time_left: Duration,
    body_limit: usize,
) -> Result<AttemptResult, PeerError> {
    let mut req = connection.mesh.execute_request();
    req.get().set_stamp(handler.stamp().0);
    write_with_time_left(attempt, time_left, req.get().init_attempt());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    read_reply(answer.get_reply()?, body_limit)
}

pub async fn execute_keyed(
    connection: &Connection,
    handler: &dyn PeerHandler,
    attempt: &CallAttempt,
    time_left: Duration,
    body_limit: usize,
) -> Result<AttemptResult, PeerError> {
    let mut req = connection.mesh.execute_keyed_request();
    req.get().set_stamp(handler.stamp().0);
    write_with_time_left(attempt, time_left, req.get().init_attempt());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    read_reply(answer.get_reply()?, body_limit)
}

pub async fn cancel(
    connection: &Connection,
    handler: &dyn PeerHandler,
    id: AttemptId,
) -> Result<Settlement, PeerError> {
    let mut req = connection.mesh.cancel_request();
    req.get().set_stamp(handler.stamp().0);
    write_attempt_id(id, req.get().init_attempt());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(read_settlement(answer.get_settlement()?))
}

pub async fn settle(
    connection: &Connection,
    handler: &dyn PeerHandler,
    id: AttemptId,
) -> Result<Settlement, PeerError> {
    let mut req = connection.mesh.settle_request();
    req.get().set_stamp(handler.stamp().0);
    write_attempt_id(id, req.get().init_attempt());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(read_settlement(answer.get_settlement()?))
}

pub async fn probe(
    connection: &Connection,
    handler: &dyn PeerHandler,
) -> Result<LoadReport, PeerError> {
    let mut req = connection.mesh.probe_request();
    req.get().set_stamp(handler.stamp().0);
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(read_load(answer.get_load()?)?)
}

pub async fn gossip(
    connection: &Connection,
    handler: &dyn PeerHandler,
    gossip: &Gossip,
) -> Result<Gossip, PeerError> {
    let mut req = connection.mesh.gossip_request();
    req.get().set_stamp(handler.stamp().0);
    write_gossip(gossip, req.get().init_gossip());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(read_gossip(answer.get_gossip()?)?)
}

pub async fn hand_over(
    connection: &Connection,
    handler: &dyn PeerHandler,
    handover: &SlotHandover<HeldAnswer>,
) -> Result<HandoverAnswer, PeerError> {
    let mut req = connection.mesh.hand_over_request();
    req.get().set_stamp(handler.stamp().0);
    write_handover(handover, req.get().init_handover());
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(read_handover_answer(answer.get_answer()?))
}

pub async fn promise(
    connection: &Connection,
    handler: &dyn PeerHandler,
    epoch: EpochNumber,
) -> Result<bool, PeerError> {
    let mut req = connection.mesh.promise_request();
    req.get().set_stamp(handler.stamp().0);
    req.get().set_epoch(epoch.0);
    let response = req.send().promise.await?;
    let answer = response.get()?;
    handler.observe(CausalStamp(answer.get_stamp()));
    Ok(answer.get_given())
}

fn write_with_time_left(
    attempt: &CallAttempt,
    time_left: Duration,
    mut builder: call_attempt::Builder,
) {
    write_attempt(attempt, builder.reborrow());
    let micros = u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX);
    builder.set_time_left_micros(micros);
}

fn read_reply(reply: execute_reply::Reader, body_limit: usize) -> Result<AttemptResult, PeerError> {
    match reply.which()? {
        execute_reply::Which::Result(result) => Ok(read_result(result?, body_limit)?),
        execute_reply::Which::Fault(fault) => {
            let fault = NotSentReason::Fault(read_fault(fault?));
            Err(PeerError::NotSent(fault))
        }
    }
}
