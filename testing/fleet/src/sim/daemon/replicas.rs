//! Requests of lease holders to the daemons that hold replicas of their ledgers.

use crate::sim::event::DaemonEvent;
use crate::sim::network::{Node, Requester};
use crate::sim::simulation::Simulation;
use common::frames::DaemonMessage;
use common::identity::{FencingToken, FunctionKey};
use dataplane::agent::{HeldFunction, ReplicaRequest, ReplicaRequestKind};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A request to a replica without its content: who sent it, and for which lease.
#[derive(Clone)]
pub(in crate::sim) struct ReplicaExchange {
    /// The lease holder's process.
    pub requester: Requester,
    /// The number of the request.
    pub number: u64,
    /// The function whose ledger it is about.
    pub function: FunctionKey,
    /// The holder's fencing token.
    pub fencing_token: FencingToken,
    /// The kind of the request.
    pub request_kind: ReplicaRequestKind,
}

/// The numbers of the requests that wait for a reply or a timeout.
#[derive(Default)]
pub(in crate::sim) struct PendingReplicaRequests {
    numbers: BTreeSet<u64>,
}

impl PendingReplicaRequests {
    fn begin(&mut self, number: u64) {
        self.numbers.insert(number);
    }

    /// Ends a request and returns whether it was still pending.
    fn end(&mut self, number: u64) -> bool {
        self.numbers.remove(&number)
    }
}

impl Simulation {
    /// Sends a request to a replica; a timeout counts as a reply without content.
    pub(super) fn send_replica_request(
        &mut self,
        index: usize,
        held: &Arc<HeldFunction<u64>>,
        replica_request: ReplicaRequest,
    ) {
        let exchange = ReplicaExchange {
            requester: self.nodes.daemon(index).requester(),
            number: self.numbers.next(),
            function: held.function.clone(),
            fencing_token: held.fencing_token,
            request_kind: replica_request.request_kind,
        };
        self.replica_requests.begin(exchange.number);
        self.queue.push(
            replica_request.timeout,
            DaemonEvent::ReplicaReplied(exchange.clone(), None),
        );
        let Some(to_node) = self.nodes.node_at(replica_request.replica.address) else {
            return;
        };
        if self.network.reaches(exchange.requester.node, to_node) {
            let delay = self.network.delay(&mut self.rng);
            let requested = DaemonEvent::ReplicaRequested(to_node, exchange, replica_request.body);
            self.queue.push(delay, requested);
        }
    }

    /// Handles a request at a replica.
    pub(in crate::sim) fn handle_replica_request(
        &mut self,
        node: Node,
        exchange: ReplicaExchange,
        body: DaemonMessage,
    ) {
        let index = node.daemon_index();
        let local_now = self.daemon_now(index);
        let Some(agent) = self.nodes.agent(index) else {
            return;
        };
        let reply = agent.handle_replica_request(local_now, body);
        if self.network.reaches(node, exchange.requester.node) {
            let delay = self.network.delay(&mut self.rng);
            self.queue
                .push(delay, DaemonEvent::ReplicaReplied(exchange, reply));
        }
    }

    /// Handles the reply to a request, or its timeout, at the lease holder.
    pub(in crate::sim) fn handle_replica_reply(
        &mut self,
        exchange: ReplicaExchange,
        reply: Option<DaemonMessage>,
    ) {
        if !self.replica_requests.end(exchange.number) {
            return;
        }
        let index = exchange.requester.node.daemon_index();
        self.update_holder(
            index,
            &exchange.function,
            exchange.fencing_token,
            |holder, now| exchange.request_kind.handle_reply(holder, now, reply),
        );
    }
}
