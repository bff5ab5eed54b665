//! Which kept connection to a runner is used, and which are dropped. No I/O.

use common::clock::MonotonicTime;
use common::identity::RunnerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest that a connection is kept without a transaction.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// A runner's own limit is not waited out: it may end the connection while a transaction is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Names a connection in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(pub u64);

/// Where a transaction goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Checkout {
    /// On a kept connection.
    Reused(ConnectionId),
    /// On a new one, which has to be opened.
    Open(ConnectionId),
    /// Nowhere: the runner takes no more connections.
    Full,
}

struct PooledConnection {
    id: ConnectionId,
    /// Until when it may be drawn; none while a transaction is on it.
    idle_until: Option<MonotonicTime>,
}

/// The connections to runners, one transaction at a time on each.
#[derive(Default)]
pub struct ConnectionPool {
    connections: BTreeMap<RunnerId, Vec<PooledConnection>>,
    last_id: u64,
}

impl ConnectionPool {
    /// A connection for one transaction: the kept one used last, or a new one while the runner takes more.
    pub fn checkout(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        max_connections: u32,
    ) -> Checkout {
        let connections = self.connections.entry(runner).or_default();
        let idle_connection = connections
            .iter_mut()
            .rev()
            .find(|connection| connection.idle_until.is_some_and(|until| now < until));
        if let Some(connection) = idle_connection {
            connection.idle_until = None;
            return Checkout::Reused(connection.id);
        }
        self.checkout_new(runner, max_connections)
    }

    /// A new connection, though others may be kept; those are none the better for one that just failed.
    pub fn checkout_new(&mut self, runner: RunnerId, max_connections: u32) -> Checkout {
        let connections = self.connections.entry(runner).or_default();
        if connections.len() >= max_connections as usize {
            return Checkout::Full;
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        connections.push(PooledConnection {
            id,
            idle_until: None,
        });
        Checkout::Open(id)
    }

    /// A believed answer came whole; false when the connection is to be dropped all the same. `kept_for`
    /// is how long the runner keeps it idle, if it says so.
    pub fn check_in(
        &mut self,
        now: MonotonicTime,
        runner: RunnerId,
        id: ConnectionId,
        keep_alive: Option<Duration>,
    ) -> bool {
        let runner_keep_alive = keep_alive.map(|span| span.saturating_sub(KEEP_ALIVE_MARGIN));
        let idle_span = runner_keep_alive.map_or(MAX_IDLE, |span| span.min(MAX_IDLE));
        if idle_span.is_zero() {
            self.remove_connection(runner, id);
            return false;
        }
        let Some(connections) = self.connections.get_mut(&runner) else {
            return false;
        };
        let Some(index) = connections
            .iter()
            .position(|connection| connection.id == id)
        else {
            return false;
        };
        let mut connection = connections.remove(index);
        connection.idle_until = Some(now + idle_span);
        connections.push(connection);
        true
    }

    /// A connection has ended, or brought what nobody asked for, or is not trusted any more.
    pub fn remove_connection(&mut self, runner: RunnerId, id: ConnectionId) {
        if let Some(connections) = self.connections.get_mut(&runner) {
            connections.retain(|connection| connection.id != id);
            if connections.is_empty() {
                self.connections.remove(&runner);
            }
        }
    }

    /// Drops what has been idle for too long.
    pub fn remove_expired(&mut self, now: MonotonicTime) -> Vec<ConnectionId> {
        let mut removed_ids = Vec::new();
        self.connections.retain(|_, connections| {
            connections.retain(|connection| {
                let is_retained = connection.idle_until.is_none_or(|until| now < until);
                if !is_retained {
                    removed_ids.push(connection.id);
                }
                is_retained
            });
            !connections.is_empty()
        });
        removed_ids
    }

    /// A runner is being stopped: its idle connections go, those in use when their transactions end.
    pub fn remove_idle(&mut self, runner: RunnerId) -> Vec<ConnectionId> {
        let Some(connections) = self.connections.get_mut(&runner) else {
            return Vec::new();
        };
        let idle_connections =
            connections.extract_if(.., |connection| connection.idle_until.is_some());
        let removed_ids = idle_connections.map(|connection| connection.id).collect();
        if connections.is_empty() {
            self.connections.remove(&runner);
        }
        removed_ids
    }

    /// How many connections there are to a runner.
    pub fn count(&self, runner: RunnerId) -> usize {
        self.connections.get(&runner).map_or(0, Vec::len)
    }
}
