//! The steps by which a node fetches a newer table. They follow `src/proxy/table_fetching.rs`.

use super::mesh::{Event, Mesh, Purpose, address, find_node};
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
        let version = self.nodes[node].own_version;
        self.forward_offer(node, address(node), version, receivers);
    }

    pub fn forward_offer(
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
        for subtree in split_receivers(receivers) {
            self.send_to_any(node, message.clone(), subtree);
        }
    }

    pub fn send_to_any(
        &mut self,
        node: usize,
        mut message: StateMessage,
        mut remaining: Vec<SocketAddr>,
    ) {
        let Some(to) = remaining.pop() else {
            return;
        };
        message.forward_to.clone_from(&remaining);
        self.call(
            node,
            find_node(to),
            Purpose::Offer(Box::new(message), remaining),
        );
    }

    pub fn start_fetching(&mut self, node: usize) {
        if !self.nodes[node].is_fetching {
            self.nodes[node].is_fetching = true;
            self.continue_fetching(node);
        }
    }

    pub fn continue_fetching(&mut self, node: usize) {
        let now = self.timeline.now();
        let own_version = self.nodes[node].own_version;
        self.nodes[node].wait_until = None;
        self.forward_offers(node);
        match self.nodes[node].sources.plan_next_step(own_version, now) {
            FetchStep::FetchOffered(from, _) => {
                self.call(node, find_node(from), Purpose::Fetch(own_version));
            }
            FetchStep::FetchReported(from, _) => {
                let call = self.call(node, find_node(from), Purpose::Fetch(own_version));
                self.nodes[node].reported_fetch = Some(call);
            }
            FetchStep::Wait(until) => {
                self.nodes[node].wait_until = Some(until);
                self.timeline.at(until, Event::FetchWaitEnded(node, until));
            }
            FetchStep::Done => self.nodes[node].is_fetching = false,
        }
    }

    pub fn forward_offers(&mut self, node: usize) {
        let own_version = self.nodes[node].own_version;
        let offers = self.nodes[node]
            .sources
            .take_forwardable_offers(own_version);
        for offer in offers {
            if offer.version <= own_version {
                self.offer(node, &offer.forward_to);
            } else {
                self.forward_offer(node, offer.from, offer.version, &offer.forward_to);
            }
        }
    }

    pub fn accept_offer(&mut self, node: usize, offer: TableOffer) {
        let from = find_node(offer.from);
        self.nodes[node].known_versions.insert(from, offer.version);
        self.nodes[node].sources.record_offer(offer);
        if let Some(call) = self.nodes[node].reported_fetch.take() {
            self.cancel(call);
            self.continue_fetching(node);
        } else if self.nodes[node].wait_until.is_some() {
            self.continue_fetching(node);
        }
        self.start_fetching(node);
    }

    pub fn record_peer_version(&mut self, node: usize, from: usize, version: ConfigurationVersion) {
        let now = self.timeline.now();
        let receiver = &mut self.nodes[node];
        if receiver.is_down() {
            return;
        }
        receiver.known_versions.insert(from, version);
        if receiver
            .sources
            .record_report(address(from), version, receiver.own_version, now)
        {
            self.start_fetching(node);
        }
    }
}
