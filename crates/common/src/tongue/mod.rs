//! The seams behind which names and formats towards callers, runners and platform stand. A tongue only
//! translates; what is decided is decided in the planes.

mod door;
mod own;
mod platform;
mod runner;

pub use door::{DoorTongue, NotRunKind, Said};
pub use own::OwnPlatform;
pub use platform::{
    BeginEnd, BeginOrder, Calling, ListedRunner, ListedWorker, PlatformTongue, RunnerList,
    StopOrder,
};
pub use runner::{ReadyBy, RunnerSaid, RunnerTongue, RunnerWords, SealKind};
