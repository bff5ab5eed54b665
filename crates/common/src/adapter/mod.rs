//! The seams behind which names and formats towards callers, runners and platform stand. A tongue only
//! translates; what is decided is decided in the planes.

mod ingress;
mod native;
mod platform;
mod runner;

pub use ingress::{CallerResponse, IngressCodec, NotRunKind};
pub use native::NativePlatform;
pub use platform::{
    ListedRunner, ListedWorker, PlatformAdapter, PlatformCall, RunnerList, StartOrder,
    StartOutcome, StopOrder,
};
pub use runner::{ReadinessProbe, RunnerCodec, RunnerRequest, RunnerResponse, SealKind};
