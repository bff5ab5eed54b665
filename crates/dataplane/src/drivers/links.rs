use super::connector::Connector;
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
use tokio::task::AbortHandle;

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
    /// The connection was gone before any of the request was written.
    Untaken,
    /// Something may have been written, and no whole answer came.
    Lost(CallFault),
}

/// One connection; it is closed when it is dropped.
pub struct RunnerLink {
    owner: Weak<RunnerLinks>,
    rules: Rules,
    runner: RunnerId,
    number: LinkNumber,
    sender: SendRequest<Full<Bytes>>,
    driving: AbortHandle,
    is_kept: bool,
}

impl Drop for RunnerLink {
    fn drop(&mut self) {
        self.driving.abort();
        if let Some(owner) = self.owner.upgrade() {
            owner.lock().pool.drop_link(self.runner, self.number);
        }
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

    /// Sends a request and takes the whole answer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        patience: Duration,
        largest_body: usize,
    ) -> Exchanged {
        let rules = self.rules;
        let asking = async {
            let response = match self.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut fault) => {
                    return match fault.take_message() {
                        Some(_) => Exchanged::Untaken,
                        None => Exchanged::Lost(CallFault::Lost(fault.into_error())),
                    };
                }
            };
            let (head, body) = response.into_parts();
            if is_merged(&head.headers, &head.extensions) && rules.keep(Rule::HeadUnmixed) {
                return Exchanged::Lost(CallFault::Merged);
            }
            match Limited::new(body, largest_body).collect().await {
                Ok(body) => Exchanged::Answered(Called {
                    status: head.status,
                    headers: head.headers,
                    body: body.to_bytes(),
                }),
                Err(fault) => Exchanged::Lost(CallFault::Body(fault.to_string())),
            }
        };
        let asked = tokio::time::timeout(patience, asking).await;
        asked.unwrap_or(Exchanged::Lost(CallFault::Timeout))
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
        match draw {
            Draw::Open(number) | Draw::Kept(number) => {
                self.open(runner, place, number, patience).await
            }
            Draw::Full => Err(LinkFault::Full),
        }
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
        match draw {
            Draw::Open(number) | Draw::Kept(number) => {
                self.open(runner, place, number, patience).await
            }
            Draw::Full => Err(LinkFault::Full),
        }
    }

    async fn open(
        self: &Arc<Self>,
        runner: RunnerId,
        place: Place,
        number: LinkNumber,
        patience: Duration,
    ) -> Result<RunnerLink, LinkFault> {
        let connecting = async {
            let stream = self.connector.to_runner(place).await.ok()?;
            handshake(TokioIo::new(stream)).await.ok()
        };
        let opened = tokio::time::timeout(patience.min(CONNECT_PATIENCE), connecting).await;
        let Some((sender, connection)) = opened.ok().flatten() else {
            self.lock().pool.drop_link(runner, number);
            return Err(LinkFault::Unreachable);
        };
        let owner = Arc::downgrade(self);
        let ending_owner = owner.clone();
        let driving = tokio::spawn(async move {
            let _ = connection.await;
            if let Some(owner) = ending_owner.upgrade() {
                owner.ended(runner, number);
            }
        });
        let driving = driving.abort_handle();
        let rules = self.rules;
        Ok(RunnerLink { owner, rules, runner, number, sender, driving, is_kept: false })
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
            if inner.pool.give_back(now, link.runner, link.number, kept_for) {
                link.is_kept = true;
                inner.idle.insert(link.number, link);
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
