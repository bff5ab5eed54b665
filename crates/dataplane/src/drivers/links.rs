use super::connector::Connector;
use super::metered::{Meter, MeteredStream, SendPermit};
use crate::pool::{Draw, LinkNumber, Pool};
use bytes::Bytes;
use common::clock::Moment;
use common::frames::Place;
use common::http::{CallFault, Called, is_merged};
use common::identity::RunnerId;
use common::rules::{Rule, Rules};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::task::JoinHandle;

const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

/// Why there is no connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkFault {
    /// The runner cannot be reached.
    Unreachable,
    /// It takes no more connections.
    Full,
}

/// How a request on a connection ended.
pub enum Exchanged {
    /// With a whole answer.
    Answered(Called),
    /// No byte of the request was written, and none will be.
    Untaken,
    /// Something may have been written, and no whole answer came.
    Lost(CallFault),
}

/// A connection's place in the pool, from before it is opened; it is given up when this is dropped.
struct PoolSlot {
    owner: Weak<RunnerLinks>,
    runner: RunnerId,
    number: LinkNumber,
}

impl Drop for PoolSlot {
    fn drop(&mut self) {
        if let Some(owner) = self.owner.upgrade() {
            owner.lock().pool.drop_link(self.runner, self.number);
        }
    }
}

/// One connection; it is closed when it is dropped.
pub struct RunnerLink {
    slot: PoolSlot,
    rules: Rules,
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    driving: JoinHandle<()>,
    is_kept: bool,
}

impl Drop for RunnerLink {
    fn drop(&mut self) {
        self.driving.abort();
    }
}

impl RunnerLink {
    /// Whether it has carried a transaction, or waited for one.
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Waits until the connection can take a request; false when it is gone.
    pub async fn is_usable(&mut self, patience: Duration) -> bool {
        let waiting = tokio::time::timeout(patience, self.sender.ready());
        matches!(waiting.await, Ok(Ok(())))
    }

    /// Sends a request and takes the whole answer. The permit is asked right before the first byte is
    /// written: the process may have stood still since the request was handed over.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        permit: SendPermit,
        patience: Duration,
        largest_body: usize,
    ) -> Exchanged {
        let written_before = self.meter.written();
        self.meter.require(permit);
        let asked = tokio::time::timeout(patience, self.ask(request, largest_body)).await;
        match asked.unwrap_or(Err(CallFault::Timeout)) {
            Ok(called) => Exchanged::Answered(called),
            Err(fault) => {
                self.close().await;
                let is_untouched = self.meter.written() == written_before;
                if is_untouched || !self.rules.keep(Rule::WrittenIsSent) {
                    Exchanged::Untaken
                } else {
                    Exchanged::Lost(fault)
                }
            }
        }
    }

    async fn ask(
        &mut self,
        request: Request<Full<Bytes>>,
        largest_body: usize,
    ) -> Result<Called, CallFault> {
        let response = self.sender.send_request(request).await.map_err(CallFault::Lost)?;
        let (head, body) = response.into_parts();
        if is_merged(&head.headers, &head.extensions) && self.rules.keep(Rule::HeadUnmixed) {
            return Err(CallFault::Merged);
        }
        let collected_body = Limited::new(body, largest_body).collect().await;
        let body = collected_body.map_err(|fault| CallFault::Body(fault.to_string()))?;
        Ok(Called { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    /// Ends the connection; nothing is written on it any more when this has come back.
    async fn close(&mut self) {
        self.driving.abort();
        let _ = (&mut self.driving).await;
    }
}

#[derive(Default)]
struct Inner {
    pool: Pool,
    idle: HashMap<LinkNumber, RunnerLink>,
}

/// The connections to runners.
pub struct RunnerLinks {
    connector: Arc<dyn Connector>,
    rules: Rules,
    inner: Mutex<Inner>,
}

impl RunnerLinks {
    /// No connections yet.
    pub fn new(connector: Arc<dyn Connector>, rules: Rules) -> Self {
        Self { connector, rules, inner: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection, or a new one.
    pub async fn draw(
        self: &Arc<Self>,
        runner: RunnerId,
        place: Place,
        most: u32,
        patience: Duration,
    ) -> Result<RunnerLink, LinkFault> {
        let draw = {
            let mut inner = self.lock();
            let draw = inner.pool.draw(Moment::now(), runner, most);
            if let Draw::Kept(number) = draw
                && let Some(link) = inner.idle.remove(&number)
            {
                return Ok(link);
            }
            draw
        };
        self.open(runner, place, draw, patience).await
    }

    /// A new connection, whatever is kept.
    pub async fn draw_new(
        self: &Arc<Self>,
        runner: RunnerId,
        place: Place,
        most: u32,
        patience: Duration,
    ) -> Result<RunnerLink, LinkFault> {
        let draw = self.lock().pool.draw_new(runner, most);
        self.open(runner, place, draw, patience).await
    }

    async fn open(
        self: &Arc<Self>,
        runner: RunnerId,
        place: Place,
        draw: Draw,
        patience: Duration,
    ) -> Result<RunnerLink, LinkFault> {
        let number = match draw {
            Draw::Open(number) | Draw::Kept(number) => number,
            Draw::Full => return Err(LinkFault::Full),
        };
        let slot = PoolSlot { owner: Arc::downgrade(self), runner, number };
        let connecting = async {
            let (stream, meter) = MeteredStream::new(self.connector.to_runner(place).await.ok()?);
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            Some((sender, connection, meter))
        };
        let opened = tokio::time::timeout(patience.min(CONNECT_PATIENCE), connecting).await;
        let opened = opened.ok().flatten();
        let (sender, connection, meter) = opened.ok_or(LinkFault::Unreachable)?;
        let owner = slot.owner.clone();
        let driving = tokio::spawn(async move {
            let _ = connection.await;
            if let Some(owner) = owner.upgrade() {
                owner.ended(runner, number);
            }
        });
        let rules = self.rules;
        Ok(RunnerLink { slot, rules, sender, meter, driving, is_kept: false })
    }

    fn ended(&self, runner: RunnerId, number: LinkNumber) {
        let ended_link = {
            let mut inner = self.lock();
            inner.pool.drop_link(runner, number);
            inner.idle.remove(&number)
        };
        drop(ended_link);
    }

    /// Keeps a connection whose answer came whole and was believed.
    pub fn keep(&self, mut link: RunnerLink, kept_for: Option<Duration>) {
        if link.sender.is_closed() {
            return;
        }
        let refused_link = {
            let mut inner = self.lock();
            let now = Moment::now();
            let (runner, number) = (link.slot.runner, link.slot.number);
            if inner.pool.give_back(now, runner, number, kept_for) {
                link.is_kept = true;
                inner.idle.insert(number, link);
                None
            } else {
                Some(link)
            }
        };
        drop(refused_link);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        self.close(|pool| pool.sweep(Moment::now()));
    }

    /// Closes the idle connections to a runner.
    pub fn forget(&self, runner: RunnerId) {
        self.close(|pool| pool.forget(runner));
    }

    fn close(&self, choose: impl FnOnce(&mut Pool) -> Vec<LinkNumber>) {
        let closed_links: Vec<RunnerLink> = {
            let mut inner = self.lock();
            let closed_numbers = choose(&mut inner.pool);
            closed_numbers.iter().filter_map(|number| inner.idle.remove(number)).collect()
        };
        drop(closed_links);
    }
}
