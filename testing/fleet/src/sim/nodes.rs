//! The controllers and daemons of a simulated fleet, and read-only queries on them.
//!
//! These types depend on the network, but on neither the event queue nor the checks.

use super::addresses;
use super::controller::SimController;
use super::daemon::SimDaemon;
use super::network::{Node, PLATFORM};
use common::frames::SocketAddress;
use common::spec::Document;
use dataplane::agent::Agent;
use std::sync::Arc;

/// The highest last byte of the original controllers' addresses; replacement controllers get higher ones.
const LAST_ORIGINAL_ADDRESS: u8 = 10;

/// The controllers and daemons.
#[derive(Default)]
pub(super) struct Nodes {
    controllers: Vec<SimController>,
    daemons: Vec<SimDaemon>,
    replaced_count: u8,
}

impl Nodes {
    /// Adds a controller with the next index.
    pub(super) fn add_controller(&mut self, controller: SimController) {
        self.controllers.push(controller);
    }

    /// Adds a daemon with the next index.
    pub(super) fn add_daemon(&mut self, daemon: SimDaemon) {
        self.daemons.push(daemon);
    }

    /// Returns the controller with this index.
    pub(super) fn controller(&self, index: usize) -> &SimController {
        &self.controllers[index]
    }

    /// Returns a mutable reference to the controller with this index.
    pub(super) fn controller_mut(&mut self, index: usize) -> &mut SimController {
        &mut self.controllers[index]
    }

    /// Returns all controllers, ordered by index.
    pub(super) fn controllers(&self) -> &[SimController] {
        &self.controllers
    }

    /// Returns mutable references to all controllers, ordered by index.
    pub(super) fn controllers_mut(&mut self) -> &mut [SimController] {
        &mut self.controllers
    }

    /// Returns the daemon with this index.
    pub(super) fn daemon(&self, index: usize) -> &SimDaemon {
        &self.daemons[index]
    }

    /// Returns a mutable reference to the daemon with this index.
    pub(super) fn daemon_mut(&mut self, index: usize) -> &mut SimDaemon {
        &mut self.daemons[index]
    }

    /// Returns all daemons, ordered by index.
    pub(super) fn daemons(&self) -> &[SimDaemon] {
        &self.daemons
    }

    /// Returns the agent of a daemon; none if its process is not running.
    pub(super) fn agent(&self, daemon: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[daemon].agent()
    }

    /// Returns all nodes: controllers, daemons and the platform.
    pub(super) fn all(&self) -> Vec<Node> {
        let controllers = (0..self.controllers.len()).map(Node);
        controllers.chain(self.daemons_and_platform()).collect()
    }

    /// Returns the nodes with which a leader communicates, other than controllers: the daemons and the platform.
    pub(super) fn daemons_and_platform(&self) -> impl Iterator<Item = Node> {
        let daemons = (0..self.daemons.len()).map(Node::of_daemon);
        daemons.chain([PLATFORM])
    }

    /// Returns the node that currently has this address.
    pub(super) fn node_at(&self, address: SocketAddress) -> Option<Node> {
        if let Some(index) = addresses::daemon_index_at(address) {
            return (index < self.daemons.len()).then(|| Node::of_daemon(index));
        }
        self.controllers
            .iter()
            .position(|controller| controller.address == address)
            .map(Node)
    }

    /// Whether the process of a node runs, and in the given incarnation if one is given. The platform always runs.
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

    /// Returns the index of the first controller that considers itself the leader.
    pub(super) fn leading_controller(&self) -> Option<usize> {
        self.controllers.iter().position(SimController::is_leader)
    }

    /// Returns the indexes of the running voters other than the leader, by the leader's newest accepted document.
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

    /// Returns the newest document that the first ready leader has accepted.
    pub(super) fn ready_leader_document(&self) -> Option<&Document> {
        let ready_leader = self.controllers.iter().find_map(|controller| {
            let state = controller.controller_state.as_ref()?;
            state.consensus().is_ready().then(|| state.consensus())
        });
        ready_leader.and_then(|consensus| consensus.accepted())
    }

    /// Whether a disk may be lost now. The deployments tolerate one loss at a time, so every controller must run as a
    /// voter with a disk that has lost nothing, and no change of the quorum may be pending.
    pub(super) fn may_lose_disk(&self) -> bool {
        let Some(document) = self.ready_leader_document() else {
            return false;
        };
        let is_intact_voter = |controller: &SimController| {
            controller.is_running()
                && controller.is_one_of(&document.voters)
                && controller.disk.holds_acknowledged_version()
        };
        document.previous_voters.is_empty() && self.controllers.iter().all(is_intact_voter)
    }

    /// Gives a controller a new address, as if its machine had been replaced.
    pub(super) fn move_controller(&mut self, index: usize) {
        self.replaced_count += 1;
        self.controllers[index].address =
            addresses::controller_address(LAST_ORIGINAL_ADDRESS + self.replaced_count);
    }
}
