//! The machines of the control side and the data plane, and what can be read from them without changing anything.
//!
//! They know the network, but neither the queue of events nor the checks.

use super::addresses;
use super::controller::SimController;
use super::daemon::SimDaemon;
use super::network::{Node, PLATFORM};
use common::frames::SocketAddress;
use common::spec::Document;
use dataplane::agent::Agent;
use std::sync::Arc;

/// Replaced controllers get addresses whose last bytes follow this one.
const LAST_ORIGINAL_ADDRESS: u8 = 10;

/// The controllers and daemons.
#[derive(Default)]
pub(super) struct Nodes {
    controllers: Vec<SimController>,
    daemons: Vec<SimDaemon>,
    replaced_count: u8,
}

impl Nodes {
    /// Adds a controller after the others.
    pub(super) fn add_controller(&mut self, controller: SimController) {
        self.controllers.push(controller);
    }

    /// Adds a daemon after the others.
    pub(super) fn add_daemon(&mut self, daemon: SimDaemon) {
        self.daemons.push(daemon);
    }

    /// The controller with this index.
    pub(super) fn controller(&self, index: usize) -> &SimController {
        &self.controllers[index]
    }

    /// The controller with this index, to change it.
    pub(super) fn controller_mut(&mut self, index: usize) -> &mut SimController {
        &mut self.controllers[index]
    }

    /// All controllers in order.
    pub(super) fn controllers(&self) -> &[SimController] {
        &self.controllers
    }

    /// All controllers in order, to change them.
    pub(super) fn controllers_mut(&mut self) -> &mut [SimController] {
        &mut self.controllers
    }

    /// The daemon with this index.
    pub(super) fn daemon(&self, index: usize) -> &SimDaemon {
        &self.daemons[index]
    }

    /// The daemon with this index, to change it.
    pub(super) fn daemon_mut(&mut self, index: usize) -> &mut SimDaemon {
        &mut self.daemons[index]
    }

    /// All daemons in order.
    pub(super) fn daemons(&self) -> &[SimDaemon] {
        &self.daemons
    }

    /// The agent of a daemon, while its process runs.
    pub(super) fn agent(&self, daemon: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[daemon].agent()
    }

    /// All nodes: controllers, daemons and the platform.
    pub(super) fn all(&self) -> Vec<Node> {
        let controllers = (0..self.controllers.len()).map(Node);
        controllers.chain(self.served_nodes()).collect()
    }

    /// The nodes that the control side serves: the daemons and the platform.
    pub(super) fn served_nodes(&self) -> impl Iterator<Item = Node> {
        let daemons = (0..self.daemons.len()).map(Node::of_daemon);
        daemons.chain([PLATFORM])
    }

    /// The node that currently has this address.
    pub(super) fn node_at(&self, address: SocketAddress) -> Option<Node> {
        if let Some(index) = addresses::daemon_index_at(address) {
            return (index < self.daemons.len()).then(|| Node::of_daemon(index));
        }
        self.controllers
            .iter()
            .position(|controller| controller.address == address)
            .map(Node)
    }

    /// Whether the process of a node runs, in the given incarnation if there is one. The platform always does.
    pub(super) fn is_alive(&self, node: Node, incarnation: Option<u64>) -> bool {
        if node == PLATFORM {
            return true;
        }
        let running_incarnation = if node.is_controller() {
            self.controllers[node.0].running_incarnation()
        } else {
            self.daemons[node.daemon_index()].running_incarnation()
        };
        running_incarnation.is_some()
            && (incarnation.is_none() || incarnation == running_incarnation)
    }

    /// The index of the first controller that believes to lead.
    pub(super) fn leading_controller(&self) -> Option<usize> {
        self.controllers.iter().position(SimController::is_leader)
    }

    /// The running voters that are not the leader.
    pub(super) fn followers(&self) -> Vec<usize> {
        let leading = self.leading_controller();
        let leader_document =
            leading.and_then(|index| self.controllers[index].accepted_by_process());
        let Some(document) = leader_document else {
            return Vec::new();
        };
        let is_follower = |index: &usize| {
            let controller = &self.controllers[*index];
            Some(*index) != leading
                && controller.is_running()
                && controller.is_one_of(&document.voters)
        };
        (0..self.controllers.len()).filter(is_follower).collect()
    }

    /// The newest document of the first leader that is ready.
    pub(super) fn ready_leader_document(&self) -> Option<&Document> {
        let ready_leader = self.controllers.iter().find_map(|controller| {
            let state = controller.controller_state.as_ref()?;
            state.consensus().is_ready().then(|| state.consensus())
        });
        ready_leader.and_then(|consensus| consensus.accepted())
    }

    /// Whether one more disk may be lost: only while every voter runs with the disk that the quorum knows and no change
    /// of the quorum is pending, since the deployments tolerate one loss at a time.
    pub(super) fn may_lose_disk(&self) -> bool {
        let Some(document) = self.ready_leader_document() else {
            return false;
        };
        let has_known_disk = |controller: &SimController| {
            controller.is_running()
                && controller.is_one_of(&document.voters)
                && controller.disk.holds_what_it_acknowledged()
        };
        document.previous_voters.is_empty() && self.controllers.iter().all(has_known_disk)
    }

    /// Replaces a controller's machine by one with a new address.
    pub(super) fn move_controller(&mut self, index: usize) {
        self.replaced_count += 1;
        self.controllers[index].address =
            addresses::controller_address(LAST_ORIGINAL_ADDRESS + self.replaced_count);
    }
}
