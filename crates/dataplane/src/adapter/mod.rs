//! The product's own way of speaking with callers and runners, and the three tongues that a daemon uses.

mod ingress;
mod runner;

pub use common::adapter::NativePlatform;
pub use ingress::NativeIngressCodec;
pub use runner::NativeRunnerCodec;

use common::adapter::{IngressCodec, PlatformAdapter, RunnerCodec};
use common::frames::SocketAddress;
use std::sync::Arc;

/// The tongues of one daemon.
#[derive(Clone)]
pub struct DaemonAdapters {
    /// Towards callers.
    pub ingress: Arc<dyn IngressCodec>,
    /// Towards runners.
    pub runner: Arc<dyn RunnerCodec>,
    /// Towards the platform.
    pub platform: Arc<dyn PlatformAdapter>,
}

impl DaemonAdapters {
    /// The product's own, with the platform at a place.
    pub fn native(platform: SocketAddress) -> Self {
        Self {
            ingress: Arc::new(NativeIngressCodec),
            runner: Arc::new(NativeRunnerCodec),
            platform: Arc::new(NativePlatform::new(platform)),
        }
    }
}
