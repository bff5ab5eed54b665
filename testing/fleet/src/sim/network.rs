//! The simulated network between nodes.

use common::rng::SeededRng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of a node: controllers come first, then daemons, and the platform is last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(crate) struct Node(pub usize);

/// The node of the first daemon: there are fewer controllers than this.
const FIRST_DAEMON: usize = 30;

impl Node {
    /// The node of a daemon.
    pub(crate) fn of_daemon(index: usize) -> Self {
        Self(FIRST_DAEMON + index)
    }

    /// Whether this is a controller.
    pub(crate) fn is_controller(self) -> bool {
        self.0 < FIRST_DAEMON
    }

    /// The index of the daemon.
    pub(crate) fn daemon_index(self) -> usize {
        self.0 - FIRST_DAEMON
    }
}

/// The platform's node.
pub(crate) const PLATFORM: Node = Node(1000);

/// The process that sent a request, to which the reply is returned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Requester {
    /// The node.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: u64,
}

/// The blocked directions and the delays of messages.
#[derive(Default)]
pub(crate) struct Network {
    blocked: BTreeSet<(Node, Node)>,
}

impl Network {
    /// Blocks one direction.
    pub(crate) fn block(&mut self, from: Node, to: Node) {
        self.blocked.insert((from, to));
    }

    /// Unblocks all directions.
    pub(crate) fn clear_partitions(&mut self) {
        self.blocked.clear();
    }

    /// Whether messages in this direction are delivered.
    pub(crate) fn reaches(&self, from: Node, to: Node) -> bool {
        !self.blocked.contains(&(from, to))
    }

    /// Draws the delay of a message: usually short, occasionally long.
    pub(crate) fn delay(&self, rng: &mut SeededRng) -> Duration {
        if rng.random_bool(0.01) {
            rng.within(Duration::from_millis(5), Duration::from_millis(150))
        } else {
            rng.within(Duration::from_micros(100), Duration::from_millis(3))
        }
    }
}

impl Requester {
    /// The process that handles a reply to it.
    pub(crate) fn target(self) -> (Node, Option<u64>) {
        (self.node, Some(self.incarnation))
    }
}
