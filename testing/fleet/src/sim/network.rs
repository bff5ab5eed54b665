use common::rng::SeededRng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Names a node: controllers first, then daemons, the platform last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Node(pub usize);

/// The node of the first daemon: there are fewer controllers than this.
const FIRST_DAEMON: usize = 30;

impl Node {
    /// The node of a daemon.
    pub fn of_daemon(index: usize) -> Self {
        Self(FIRST_DAEMON + index)
    }

    /// Whether it is a controller's.
    pub fn is_controller(self) -> bool {
        self.0 < FIRST_DAEMON
    }

    /// Which daemon's it is.
    pub fn daemon_index(self) -> usize {
        self.0 - FIRST_DAEMON
    }
}

/// The platform's node.
pub const PLATFORM: Node = Node(1000);

/// Who cannot reach whom, and how long messages take.
#[derive(Default)]
pub struct Network {
    blocked: BTreeSet<(Node, Node)>,
}

impl Network {
    /// Cuts one direction.
    pub fn block(&mut self, from: Node, to: Node) {
        self.blocked.insert((from, to));
    }

    /// Mends everything.
    pub fn clear_partitions(&mut self) {
        self.blocked.clear();
    }

    /// Whether a message gets through.
    pub fn reaches(&self, from: Node, to: Node) -> bool {
        !self.blocked.contains(&(from, to))
    }

    /// How long a message takes: mostly short, now and then long.
    pub fn delay(&self, rng: &mut SeededRng) -> Duration {
        if rng.random_bool(0.01) {
            rng.within(Duration::from_millis(5), Duration::from_millis(150))
        } else {
            rng.within(Duration::from_micros(100), Duration::from_millis(3))
        }
    }
}
