//! The interface to the platform, which starts, stops and lists runners.

use crate::frames::Instance;
use crate::identity::{
    FencingToken, FunctionKey, FunctionName, InstanceId, MemberName, RunnerId, WorkerName, Zone,
};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A call in progress.
pub type PlatformCall<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An order to start a runner. It may be repeated: the same order again finds the same runner.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The runner's identity, which is the order's idempotency key.
    pub runner: RunnerId,
    /// The function that it runs.
    pub function: FunctionKey,
    /// The worker on which it is to run.
    pub worker: WorkerName,
    /// Its memory in megabytes.
    pub memory_mb: u32,
    /// How long it takes to start on average.
    pub startup: Duration,
    /// How many requests it may run at once.
    pub slots: u32,
    /// The daemon that gives the order.
    pub member: MemberName,
}

/// The outcome of an order to start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StartOutcome {
    /// The instance is starting, or has started.
    Started(Instance),
    /// The worker has no capacity, or is gone, draining or unknown.
    NoCapacity,
    /// The platform has too many calls; the order may be retried.
    Busy,
    /// There is no such function, or the order is invalid.
    Rejected,
    /// There was no valid answer; the order may have been carried out.
    Lost,
}

/// An order to stop a runner.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// The runner's identity.
    pub runner: RunnerId,
    /// The function that it runs.
    pub function: FunctionKey,
    /// The worker on which it runs.
    pub worker: WorkerName,
    /// Its instance. Without one, an adapter repeats the start to learn it, and then stops that.
    pub instance: Option<InstanceId>,
    /// The daemon that gives the order, or in whose name the leader gives it.
    pub member: MemberName,
    /// The fencing token of the lease under which that daemon holds the function, or held it last.
    pub fencing_token: FencingToken,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// Its name.
    pub worker: WorkerName,
    /// Its zone.
    pub zone: Zone,
    /// Its total memory in megabytes.
    pub memory_mb: u32,
    /// Whether it is draining.
    pub draining: bool,
}

/// A runner as the platform lists it.
#[derive(Clone, Debug)]
pub struct ListedRunner {
    /// Its instance.
    pub instance: Instance,
    /// Its identity, where the platform stores it.
    pub runner: Option<RunnerId>,
    /// Its function's name.
    pub function: FunctionName,
    /// Its function with generation, where the platform stores it.
    pub key: Option<FunctionKey>,
    /// The worker on which it runs.
    pub worker: WorkerName,
    /// Whether it is about to end.
    pub leaving: bool,
}

/// The platform's list of runners.
#[derive(Clone, Debug)]
pub struct RunnerList {
    /// The greatest age of its content when the platform was called.
    pub age: Duration,
    /// The runners.
    pub runners: Vec<ListedRunner>,
}

/// Calls the platform in one dialect of its API. Every call has a time-out of its own.
pub trait PlatformAdapter: Send + Sync {
    /// Starts a runner.
    fn start_runner(&self, order: StartOrder) -> PlatformCall<'_, StartOutcome>;

    /// Stops a runner; true if the runner has certainly ended and no order under its identity will start it again.
    fn stop_runner(&self, order: StopOrder) -> PlatformCall<'_, bool>;

    /// Lists the workers; none if the list cannot be read now.
    fn workers(&self) -> PlatformCall<'_, Option<Vec<ListedWorker>>>;

    /// Lists all runners; none if the list cannot be read completely now.
    fn runners(&self) -> PlatformCall<'_, Option<RunnerList>>;
}
