//! The simulated network between nodes.

use common::rng::SeededRng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of a node: controllers come first, then daemons, and the platform is last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub(crate) struct Node(pub usize);

/// The number of the first daemon's node. There must be at most this many controllers.
const FIRST_DAEMON: usize = 30;

impl Node {
    /// Returns the node of the daemon with this index.
    pub(crate) fn of_daemon(index: usize) -> Self {
        Self(FIRST_DAEMON + index)
    }

    /// Whether the node is a controller.
    pub(crate) fn is_controller(self) -> bool {
        self.0 < FIRST_DAEMON
    }

    /// Returns the index of the daemon at this node.
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

/// Which directions between nodes are blocked, and how long messages are delayed.
#[derive(Default)]
pub(crate) struct Network {
    blocked: BTreeSet<(Node, Node)>,
}

impl Network {
    /// Blocks messages in one direction.
    pub(crate) fn block(&mut self, from: Node, to: Node) {
        self.blocked.insert((from, to));
    }

    /// Unblocks messages in all directions.
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
    /// Returns the process that handles the reply.
    pub(crate) fn target(self) -> (Node, Option<u64>) {
        (self.node, Some(self.incarnation))
    }
}
