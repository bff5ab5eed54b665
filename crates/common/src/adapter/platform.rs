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

/// An order to start a runner. It may be repeated: a repeated order finds the same runner.
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
    /// Its average start-up time.
    pub startup: Duration,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// The daemon that issues the order.
    pub member: MemberName,
}

/// The outcome of an order to start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StartOutcome {
    /// The instance is starting, or has started.
    Started(Instance),
    /// The worker has no capacity, or is gone, draining or unknown.
    NoCapacity,
    /// The platform is overloaded; the order may be retried.
    Busy,
    /// There is no such function, or the order is invalid.
    Rejected,
    /// No valid response arrived; the order may have been carried out.
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
    /// Its instance, if known. An adapter that needs it can repeat the start order, whose response names the instance.
    pub instance: Option<InstanceId>,
    /// The daemon that issues the order, or on whose behalf the leader issues it.
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
    /// Its identity, if the platform stores it.
    pub runner: Option<RunnerId>,
    /// Its function's name.
    pub function: FunctionName,
    /// Its function with generation, if the platform stores it.
    pub key: Option<FunctionKey>,
    /// The worker on which it runs.
    pub worker: WorkerName,
    /// Whether it is about to be stopped.
    pub leaving: bool,
}

/// The platform's list of runners.
#[derive(Clone, Debug)]
pub struct RunnerList {
    /// The maximum age of the list when the platform was called.
    pub age: Duration,
    /// The runners.
    pub runners: Vec<ListedRunner>,
}

/// Calls the platform in one dialect of its API. Each implementation limits the time of its calls.
pub trait PlatformAdapter: Send + Sync {
    /// Starts a runner.
    fn start_runner(&self, order: StartOrder) -> PlatformCall<'_, StartOutcome>;

    /// Stops a runner. Returns true only if the runner has certainly ended and no order with its identity can start it
    /// again.
    fn stop_runner(&self, order: StopOrder) -> PlatformCall<'_, bool>;

    /// Lists the workers. Returns `None` if the list cannot be read.
    fn workers(&self) -> PlatformCall<'_, Option<Vec<ListedWorker>>>;

    /// Lists all runners. Returns `None` if the list cannot be read completely.
    fn runners(&self) -> PlatformCall<'_, Option<RunnerList>>;
}
