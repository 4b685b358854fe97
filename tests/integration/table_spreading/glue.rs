//! What a node does between its decisions on a newer table, as `src/proxy/table_fetching.rs` has it.

use super::mesh::{Event, Mesh, Purpose, address, node_at};
use camphorturn::{
    coordination::{
        fanout::split_receivers,
        table_sources::{FetchStep, TableOffer},
    },
    protocol::hop::StateMessage,
    state::configuration::ConfigurationVersion,
};
use std::net::SocketAddr;

impl Mesh {
    pub fn offer(&mut self, node: usize, receivers: &[SocketAddr]) {
        let version = self.nodes[node].own;
        self.spread(node, address(node), version, receivers);
    }

    pub fn spread(
        &mut self,
        node: usize,
        from: SocketAddr,
        version: ConfigurationVersion,
        receivers: &[SocketAddr],
    ) {
        let message = StateMessage {
            offered_version: Some(version),
            sender: Some(from),
            ..StateMessage::default()
        };
        for part in split_receivers(receivers) {
            self.send_to_first(node, message.clone(), part);
        }
    }

    pub fn send_to_first(
        &mut self,
        node: usize,
        mut message: StateMessage,
        mut rest: Vec<SocketAddr>,
    ) {
        let Some(to) = rest.pop() else {
            return;
        };
        message.forward_to.clone_from(&rest);
        self.call(node, node_at(to), Purpose::Offer(Box::new(message), rest));
    }

    pub fn start_fetching(&mut self, node: usize) {
        if !self.nodes[node].fetching {
            self.nodes[node].fetching = true;
            self.fetch_on(node);
        }
    }

    pub fn fetch_on(&mut self, node: usize) {
        let now = self.timeline.now();
        let own = self.nodes[node].own;
        self.nodes[node].waits_until = None;
        self.pass_on_offers(node);
        match self.nodes[node].sources.plan_next_step(own, now) {
            FetchStep::FetchOffered(from, _) => {
                self.call(node, node_at(from), Purpose::Fetch(own));
            }
            FetchStep::FetchReported(from, _) => {
                let call = self.call(node, node_at(from), Purpose::Fetch(own));
                self.nodes[node].asks_heard = Some(call);
            }
            FetchStep::Wait(until) => {
                self.nodes[node].waits_until = Some(until);
                self.timeline.at(until, Event::Look(node, until));
            }
            FetchStep::Done => self.nodes[node].fetching = false,
        }
    }

    pub fn pass_on_offers(&mut self, node: usize) {
        let own = self.nodes[node].own;
        let offers = self.nodes[node].sources.take_forwardable_offers(own);
        for offer in offers {
            if offer.version <= own {
                self.offer(node, &offer.forward_to);
            } else {
                self.spread(node, offer.from, offer.version, &offer.forward_to);
            }
        }
    }

    pub fn accept_offer(&mut self, node: usize, offer: TableOffer) {
        let from = node_at(offer.from);
        self.nodes[node].known.insert(from, offer.version);
        self.nodes[node].sources.record_offer(offer);
        if let Some(call) = self.nodes[node].asks_heard.take() {
            self.cancel(call);
            self.fetch_on(node);
        } else if self.nodes[node].waits_until.is_some() {
            self.fetch_on(node);
        }
        self.start_fetching(node);
    }

    pub fn note_peer_version(&mut self, node: usize, from: usize, version: ConfigurationVersion) {
        let now = self.timeline.now();
        let known = &mut self.nodes[node];
        if known.is_dark() {
            return;
        }
        known.known.insert(from, version);
        if known
            .sources
            .record_report(address(from), version, known.own, now)
        {
            self.start_fetching(node);
        }
    }
}
