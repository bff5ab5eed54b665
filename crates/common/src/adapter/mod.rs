//! The interfaces to callers, runners and the platform.
//!
//! An implementation translates to and from the names and formats of one dialect. All decisions are made in the control
//! plane and the data plane.

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
