//! The links between daemons and controllers.

use super::network::Node;
use std::collections::HashMap;

/// Added to the number of a link, these give the nodes that stand for the link as a sender in
/// [`EventQueue::push_in_order`](super::event_queue::EventQueue::push_in_order): each direction of each link is a stream
/// of its own. The offsets are larger than the numbers of all nodes and links.
pub(super) const TO_CONTROLLER_STREAMS: usize = 1_000_000;
pub(super) const TO_DAEMON_STREAMS: usize = 2_000_000;

/// A link between a daemon and a controller, over which they exchange frames.
pub(super) struct Link {
    pub daemon: Node,
    pub daemon_incarnation: u64,
    pub controller: Node,
    pub controller_incarnation: u64,
    /// Whether it no longer carries frames; its ends may not have noticed yet.
    pub is_broken: bool,
}

/// All links by number, including closed and broken ones.
#[derive(Default)]
pub(super) struct Links {
    by_number: HashMap<u64, Link>,
}

impl Links {
    /// Adds a link.
    pub(super) fn insert(&mut self, number: u64, link: Link) {
        self.by_number.insert(number, link);
    }

    /// Returns the link with this number.
    pub(super) fn get(&self, number: u64) -> Option<&Link> {
        self.by_number.get(&number)
    }

    /// Returns the link with this number, if it still carries frames.
    pub(super) fn get_unbroken(&self, number: u64) -> Option<&Link> {
        self.get(number).filter(|link| !link.is_broken)
    }

    /// Marks a link as broken; returns its daemon and its controller if it was not broken before.
    pub(super) fn mark_broken(&mut self, number: u64) -> Option<(Node, Node)> {
        let link = self.by_number.get_mut(&number)?;
        let was_broken = std::mem::replace(&mut link.is_broken, true);
        (!was_broken).then_some((link.daemon, link.controller))
    }

    /// Returns the numbers of all links of a machine, in ascending order.
    pub(super) fn numbers_of(&self, node: Node) -> Vec<u64> {
        let is_end = |link: &Link| link.daemon == node || link.controller == node;
        let own_links = self.by_number.iter().filter(|(_, link)| is_end(link));
        let mut numbers: Vec<u64> = own_links.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}
