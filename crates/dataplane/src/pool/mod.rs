//! The pool of connections to runners, without I/O: decides which idle connection is reused and which are closed.

use common::clock::MonotonicTime;
use common::identity::RunnerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time for which an idle connection is retained.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// How long before the runner's keep-alive timeout a connection is dropped. Closer to the timeout, the runner might
/// close it while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Identifies a connection within this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(pub u64);

/// The result of a checkout: the connection that a request is sent on, if any.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Checkout {
    /// An idle connection.
    Reused(ConnectionId),
    /// A new connection, which the caller has to open.
    Open(ConnectionId),
    /// No connection: the runner's connection limit is reached.
    Full,
}

struct PooledConnection {
    id: ConnectionId,
    /// When it may no longer be reused; `None` while it is checked out.
    idle_until: Option<MonotonicTime>,
}

/// The connections to runners. Each carries one request at a time.
#[derive(Default)]
pub struct ConnectionPool {
    connections: BTreeMap<RunnerId, Vec<PooledConnection>>,
    last_id: u64,
}

impl ConnectionPool {
    /// Checks out a connection for one request: the most recently used idle one, or a new one if the runner has fewer
    /// than `max_connections`.
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

    /// Checks out a new connection even if others are idle. Used after an idle connection was found closed, since the
    /// others are then probably closed as well.
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

    /// Returns a connection to the pool after a complete, valid response. Returns false if the caller has to drop it
    /// nevertheless. `keep_alive` is the runner's timeout for idle connections, if it sent one.
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

    /// Removes a connection that was closed or must not be reused.
    pub fn remove_connection(&mut self, runner: RunnerId, id: ConnectionId) {
        if let Some(connections) = self.connections.get_mut(&runner) {
            connections.retain(|connection| connection.id != id);
            if connections.is_empty() {
                self.connections.remove(&runner);
            }
        }
    }

    /// Removes the connections whose idle time has expired, and returns their ids.
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

    /// Removes the idle connections to a runner that is being stopped, and returns their ids. Connections in use are
    /// removed when their requests end.
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

    /// Returns the number of connections to a runner.
    pub fn count(&self, runner: RunnerId) -> usize {
        self.connections.get(&runner).map_or(0, Vec::len)
    }
}
