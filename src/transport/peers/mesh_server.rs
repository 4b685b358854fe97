//! Serves the requests of one proven node by handing them to the node's handler.

use crate::{
    events::stamp::CausalStamp,
    protocol::{
        call::CallAttempt,
        outcome::{AttemptResult, Outcome, UnknownCause},
    },
    state::{member::Member, ownership::EpochNumber},
    transport::peers::{
        codec::{
            read_attempt, read_attempt_id, read_gossip, read_handover, write_fault, write_gossip,
            write_handover_answer, write_load, write_result, write_settlement,
        },
        connections::Shared,
        counters::count,
        error::{DecodeError, RequestFault},
        mesh_capnp::{call_attempt, execute_reply, mesh},
    },
};
use std::rc::Rc;

pub struct MeshServer {
    shared: Rc<Shared>,
    from: Member,
}

impl MeshServer {
    /// A capability for the node `from`.
    pub fn new_client(shared: Rc<Shared>, from: Member) -> mesh::Client {
        capnp_rpc::new_client(Self { shared, from })
    }

    fn observe(&self, stamp: u64) {
        self.shared.handler.observe(CausalStamp(stamp));
    }

    fn stamp(&self) -> u64 {
        self.shared.handler.stamp().0
    }

    fn read(
        &self,
        reader: capnp::Result<call_attempt::Reader>,
    ) -> Result<CallAttempt, RequestFault> {
        let attempt = reader
            .map_err(DecodeError::from)
            .and_then(|reader| read_attempt(reader, self.shared.identity.body_limit));
        attempt.map_err(|error| self.fault(&error))
    }

    fn fault(&self, error: &DecodeError) -> RequestFault {
        count(&self.shared.counters.request_faults);
        tracing::debug!(%error, from = %self.from.name, "request refused");
        match error {
            DecodeError::TooLarge { .. } => RequestFault::TooLarge,
            DecodeError::Encoding(_) | DecodeError::Invalid(_) => RequestFault::Malformed,
        }
    }

    fn write(
        &self,
        result: Result<AttemptResult, RequestFault>,
        mut reply: execute_reply::Builder,
    ) {
        match result {
            Ok(result) => write_result(&self.bounded(result), reply.init_result()),
            Err(fault) => reply.set_fault(write_fault(fault)),
        }
    }

    /// An answer above the limit would break the connection at the receiver, and with it all calls
    /// of others that are under way on it.
    fn bounded(&self, mut result: AttemptResult) -> AttemptResult {
        if let Outcome::Answered(answer) = &result.outcome
            && answer.body.len() > self.shared.identity.body_limit
        {
            result.outcome = Outcome::Unknown(UnknownCause::BadAnswer);
        }
        result
    }
}

fn invalid(error: &DecodeError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

impl mesh::Server for MeshServer {
    async fn execute(
        self: Rc<Self>,
        params: mesh::ExecuteParams,
        mut results: mesh::ExecuteResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let attempt = self.read(request.get_attempt());
        drop(params);
        let result = match attempt {
            Ok(attempt) => Ok(self.shared.handler.execute(&self.from, attempt).await),
            Err(fault) => Err(fault),
        };
        results.get().set_stamp(self.stamp());
        self.write(result, results.get().init_reply());
        Ok(())
    }

    async fn execute_keyed(
        self: Rc<Self>,
        params: mesh::ExecuteKeyedParams,
        mut results: mesh::ExecuteKeyedResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let attempt = self.read(request.get_attempt());
        drop(params);
        let result = match attempt {
            Ok(attempt) => Ok(self.shared.handler.execute_keyed(&self.from, attempt).await),
            Err(fault) => Err(fault),
        };
        results.get().set_stamp(self.stamp());
        self.write(result, results.get().init_reply());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: mesh::CancelParams,
        mut results: mesh::CancelResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let id = read_attempt_id(request.get_attempt()?).map_err(|error| invalid(&error))?;
        let settlement = self.shared.handler.cancel(id).await;
        results.get().set_stamp(self.stamp());
        results.get().set_settlement(write_settlement(settlement));
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: mesh::SettleParams,
        mut results: mesh::SettleResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let id = read_attempt_id(request.get_attempt()?).map_err(|error| invalid(&error))?;
        let settlement = self.shared.handler.settle(id);
        results.get().set_stamp(self.stamp());
        results.get().set_settlement(write_settlement(settlement));
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: mesh::ProbeParams,
        mut results: mesh::ProbeResults,
    ) -> capnp::Result<()> {
        self.observe(params.get()?.get_stamp());
        let load = self.shared.handler.probe();
        results.get().set_stamp(self.stamp());
        write_load(load, results.get().init_load());
        Ok(())
    }

    async fn gossip(
        self: Rc<Self>,
        params: mesh::GossipParams,
        mut results: mesh::GossipResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let gossip = read_gossip(request.get_gossip()?).map_err(|error| {
            self.fault(&error);
            invalid(&error)
        })?;
        let answer = self.shared.handler.gossip(&self.from, gossip);
        results.get().set_stamp(self.stamp());
        write_gossip(&answer, results.get().init_gossip());
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: mesh::HandOverParams,
        mut results: mesh::HandOverResults,
    ) -> capnp::Result<()> {
        let limit = self.shared.identity.body_limit;
        let request = params.get()?;
        self.observe(request.get_stamp());
        let handover = read_handover(request.get_handover()?, limit).map_err(|error| {
            self.fault(&error);
            invalid(&error)
        })?;
        let answer = self.shared.handler.hand_over(&self.from, handover);
        results.get().set_stamp(self.stamp());
        results.get().set_answer(write_handover_answer(answer));
        Ok(())
    }

    async fn promise(
        self: Rc<Self>,
        params: mesh::PromiseParams,
        mut results: mesh::PromiseResults,
    ) -> capnp::Result<()> {
        let request = params.get()?;
        self.observe(request.get_stamp());
        let epoch = EpochNumber(request.get_epoch());
        let given = self.shared.handler.promise(&self.from, epoch);
        results.get().set_stamp(self.stamp());
        results.get().set_given(given);
        Ok(())
    }
}
