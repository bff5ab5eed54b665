//! The product's own way of speaking with callers and runners, and the three tongues that a daemon uses.

mod door;
mod runner;

pub use common::tongue::OwnPlatform;
pub use door::OwnDoor;
pub use runner::OwnRunner;

use common::frames::Place;
use common::tongue::{DoorTongue, PlatformTongue, RunnerTongue};
use std::sync::Arc;

/// The tongues of one daemon.
#[derive(Clone)]
pub struct DaemonAdapters {
    /// Towards callers.
    pub door: Arc<dyn DoorTongue>,
    /// Towards runners.
    pub runner: Arc<dyn RunnerTongue>,
    /// Towards the platform.
    pub platform: Arc<dyn PlatformTongue>,
}

impl DaemonAdapters {
    /// The product's own, with the platform at a place.
    pub fn own(platform: Place) -> Self {
        Self {
            door: Arc::new(OwnDoor),
            runner: Arc::new(OwnRunner),
            platform: Arc::new(OwnPlatform::new(platform)),
        }
    }
}
