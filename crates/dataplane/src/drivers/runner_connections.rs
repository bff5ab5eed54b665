//! The connections to runners: the streams tracked by the [pool](crate::pool), and the exchanges on them.

use super::connector::Connector;
use super::metered_stream::{MeteredStream, WriteMeter, WritePermit};
use crate::pool::{Checkout, ConnectionId, ConnectionPool};
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::http::{CallError, CallResponse, is_merged_response};
use common::identity::RunnerId;
use common::rules::{Rule, Rules};
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{Connection, SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long a connection to a runner may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why no connection could be checked out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CheckoutError {
    /// The runner cannot be reached.
    Unreachable,
    /// The maximum number of connections to the runner is open.
    Full,
}

/// The result of a request on a connection.
pub enum ExchangeResult {
    /// A complete response was received.
    Answered(CallResponse),
    /// No byte of the request was written, nor will be.
    NotSent,
    /// Part of the request may have been written, and no complete response was received.
    Lost(CallError),
}

/// A connection's entry in the pool. It is reserved before the connection is opened, and removed on drop.
struct PoolReservation {
    connections: Weak<RunnerConnections>,
    runner: RunnerId,
    id: ConnectionId,
}

impl Drop for PoolReservation {
    fn drop(&mut self) {
        if let Some(connections) = self.connections.upgrade() {
            connections
                .lock()
                .pool
                .remove_connection(self.runner, self.id);
        }
    }
}

/// A connection to a runner. Dropping it closes the connection and cancels its driver task.
pub struct RunnerConnection {
    reservation: PoolReservation,
    rules: Rules,
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<WriteMeter>,
    driver_task: JoinHandle<()>,
    is_reused: bool,
}

impl Drop for RunnerConnection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}

impl RunnerConnection {
    /// Whether the connection has been idle in the pool, during which the runner may have closed it.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Waits until the connection can accept a request. Returns false if it has ended or does not become ready in time.
    pub async fn wait_until_ready(&mut self, timeout: Duration) -> bool {
        let waiting = tokio::time::timeout(timeout, self.sender.ready());
        matches!(waiting.await, Ok(Ok(())))
    }

    /// Sends a request and receives the complete response. The permit is checked right before the first byte is
    /// written, because the process may have been suspended since the request was passed to this method.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        permit: WritePermit,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> ExchangeResult {
        let written_before = self.meter.written();
        self.meter.set_permit(permit);
        let exchanged =
            tokio::time::timeout(timeout, self.exchange_once(request, max_body_bytes)).await;
        match exchanged.unwrap_or(Err(CallError::Timeout)) {
            Ok(response) => ExchangeResult::Answered(response),
            Err(error) => {
                self.close().await;
                let is_unwritten = self.meter.written() == written_before;
                if is_unwritten || !self.rules.enforces(Rule::PartialWriteCountsAsSent) {
                    ExchangeResult::NotSent
                } else {
                    ExchangeResult::Lost(error)
                }
            }
        }
    }

    async fn exchange_once(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<CallResponse, CallError> {
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(CallError::Lost)?;
        if is_merged_response(response.headers(), response.extensions())
            && self.rules.enforces(Rule::MergedHeadRejected)
        {
            return Err(CallError::MergedResponses);
        }
        CallResponse::receive(response, max_body_bytes).await
    }

    /// Closes the connection. Cancels and joins the driver task, so that nothing is written after this method returns.
    async fn close(&mut self) {
        self.driver_task.abort();
        let _ = (&mut self.driver_task).await;
    }
}

/// An HTTP connection whose driver task has not been started yet.
struct OpenedStream {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    meter: Arc<WriteMeter>,
}

#[derive(Default)]
struct RunnerConnectionsInner {
    pool: ConnectionPool,
    idle: HashMap<ConnectionId, RunnerConnection>,
}

/// The connections to runners.
pub struct RunnerConnections {
    connector: Arc<dyn Connector>,
    rules: Rules,
    inner: Mutex<RunnerConnectionsInner>,
}

impl RunnerConnections {
    /// Creates an empty set of connections.
    pub fn new(connector: Arc<dyn Connector>, rules: Rules) -> Self {
        Self {
            connector,
            rules,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunnerConnectionsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks out an idle connection, or opens a new one.
    ///
    /// # Errors
    /// [`CheckoutError`] if the runner cannot be reached within the time-out, or `max_connections` are open.
    pub async fn checkout(
        self: &Arc<Self>,
        runner: RunnerId,
        address: SocketAddress,
        max_connections: u32,
        timeout: Duration,
    ) -> Result<RunnerConnection, CheckoutError> {
        let checkout = {
            let mut inner = self.lock();
            let checkout = inner
                .pool
                .checkout(MonotonicTime::now(), runner, max_connections);
            if let Checkout::Reused(id) = checkout
                && let Some(connection) = inner.idle.remove(&id)
            {
                return Ok(connection);
            }
            checkout
        };
        self.open(runner, address, checkout, timeout).await
    }

    /// Opens a new connection even if others are idle.
    ///
    /// # Errors
    /// The same as for [`Self::checkout`].
    pub async fn checkout_new(
        self: &Arc<Self>,
        runner: RunnerId,
        address: SocketAddress,
        max_connections: u32,
        timeout: Duration,
    ) -> Result<RunnerConnection, CheckoutError> {
        let checkout = self.lock().pool.checkout_new(runner, max_connections);
        self.open(runner, address, checkout, timeout).await
    }

    async fn open(
        self: &Arc<Self>,
        runner: RunnerId,
        address: SocketAddress,
        checkout: Checkout,
        timeout: Duration,
    ) -> Result<RunnerConnection, CheckoutError> {
        let id = match checkout {
            Checkout::Open(id) | Checkout::Reused(id) => id,
            Checkout::Full => return Err(CheckoutError::Full),
        };
        let reservation = PoolReservation {
            connections: Arc::downgrade(self),
            runner,
            id,
        };
        let opening = self.open_stream(address);
        let opened = tokio::time::timeout(timeout.min(CONNECT_TIMEOUT), opening).await;
        let OpenedStream {
            sender,
            connection,
            meter,
        } = opened.ok().flatten().ok_or(CheckoutError::Unreachable)?;
        let connections = reservation.connections.clone();
        // Cancelled when the `RunnerConnection` is dropped. Otherwise the task ends with the HTTP connection, and
        // removes it from the pool.
        let driver_task = tokio::spawn(async move {
            let _ = connection.await;
            if let Some(connections) = connections.upgrade() {
                connections.handle_connection_ended(runner, id);
            }
        });
        Ok(RunnerConnection {
            reservation,
            rules: self.rules,
            sender,
            meter,
            driver_task,
            is_reused: false,
        })
    }

    async fn open_stream(&self, address: SocketAddress) -> Option<OpenedStream> {
        let stream = self.connector.connect_to_runner(address).await.ok()?;
        let (stream, meter) = MeteredStream::new(stream);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        Some(OpenedStream {
            sender,
            connection,
            meter,
        })
    }

    fn handle_connection_ended(&self, runner: RunnerId, id: ConnectionId) {
        let ended_connection = {
            let mut inner = self.lock();
            inner.pool.remove_connection(runner, id);
            inner.idle.remove(&id)
        };
        drop(ended_connection);
    }

    /// Returns an unused connection, or one that has received a complete, valid response, to the pool. `keep_alive` is
    /// the runner's time-out for idle connections, if it has sent one.
    pub fn check_in(&self, mut connection: RunnerConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let surplus_connection = {
            let mut inner = self.lock();
            let now = MonotonicTime::now();
            let (runner, id) = (connection.reservation.runner, connection.reservation.id);
            if inner.pool.check_in(now, runner, id, keep_alive) {
                connection.is_reused = true;
                inner.idle.insert(id, connection);
                None
            } else {
                Some(connection)
            }
        };
        drop(surplus_connection);
    }

    /// Closes the connections whose idle time has expired.
    pub fn remove_expired(&self) {
        self.close(|pool| pool.remove_expired(MonotonicTime::now()));
    }

    /// Closes the idle connections to a runner.
    pub fn remove_idle(&self, runner: RunnerId) {
        self.close(|pool| pool.remove_idle(runner));
    }

    fn close(&self, choose: impl FnOnce(&mut ConnectionPool) -> Vec<ConnectionId>) {
        let closed_connections: Vec<RunnerConnection> = {
            let mut inner = self.lock();
            let closed_ids = choose(&mut inner.pool);
            closed_ids
                .iter()
                .filter_map(|id| inner.idle.remove(id))
                .collect()
        };
        drop(closed_connections);
    }
}
