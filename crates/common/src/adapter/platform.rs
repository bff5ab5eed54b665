//! What is asked of the platform: starts, stops and lists.

use crate::frames::Instance;
use crate::identity::{
    FunctionKey, FunctionName, InstanceId, MemberName, RunnerId, WorkerName, Zone,
};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A call under way.
pub type PlatformCall<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A runner to be started; the same order again finds the same runner.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The runner's own name with us, the start's key.
    pub runner: RunnerId,
    /// Its function.
    pub function: FunctionKey,
    /// Where it is to run.
    pub worker: WorkerName,
    /// The memory it needs.
    pub memory_mb: u32,
    /// How long it boots on average.
    pub startup: Duration,
    /// How many transactions it may run at once.
    pub slots: u32,
    /// Who orders it.
    pub member: MemberName,
}

/// How an order to start ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StartOutcome {
    /// It boots, or has booted.
    Started(Instance),
    /// The worker has no room, or is gone, draining or unknown.
    NoCapacity,
    /// The platform has too many calls; come back.
    Busy,
    /// There is no such function, or the order was wrong.
    Rejected,
    /// No answer; it may have been carried out.
    Lost,
}

/// A runner to be stopped.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// The runner's own name with us.
    pub runner: RunnerId,
    /// Its function.
    pub function: FunctionKey,
    /// Where it runs.
    pub worker: WorkerName,
    /// Its life; without one the start is repeated to learn it, and then stopped.
    pub instance: Option<InstanceId>,
    /// Who orders it.
    pub member: MemberName,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// Its name.
    pub worker: WorkerName,
    /// Its zone.
    pub zone: Zone,
    /// Its whole memory.
    pub memory_mb: u32,
    /// Whether it is being emptied.
    pub draining: bool,
}

/// A runner as the platform lists it.
#[derive(Clone, Debug)]
pub struct ListedRunner {
    /// Its life.
    pub instance: Instance,
    /// Our own name for it, where the platform keeps that.
    pub runner: Option<RunnerId>,
    /// Its function's name.
    pub function: FunctionName,
    /// Its function with generation, where the platform keeps that.
    pub key: Option<FunctionKey>,
    /// Where it runs.
    pub worker: WorkerName,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The platform's list of runners.
#[derive(Clone, Debug)]
pub struct RunnerList {
    /// How old its content was at most when the platform was asked for it.
    pub age: Duration,
    /// The runners.
    pub runners: Vec<ListedRunner>,
}

/// How the platform's HTTP is spoken.
pub trait PlatformAdapter: Send + Sync {
    /// Orders a start.
    fn start_runner(&self, order: StartOrder) -> PlatformCall<'_, StartOutcome>;

    /// Orders a stop; true when the runner has surely ended and its name never starts again.
    fn stop(&self, order: StopOrder) -> PlatformCall<'_, bool>;

    /// Lists the workers; none when it cannot be read now.
    fn workers(&self) -> PlatformCall<'_, Option<Vec<ListedWorker>>>;

    /// Lists all runners, page by page; none when it cannot be read whole now.
    fn runners(&self) -> PlatformCall<'_, Option<RunnerList>>;
}
