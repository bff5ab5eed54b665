//! The product's native HTTP protocols towards callers and runners, and the set of adapters that a daemon uses.
//!
//! The traits are in [`common::adapter`]; a platform can bring its own implementations.

mod ingress;
mod runner;

pub use common::adapter::NativePlatform;
pub use ingress::NativeIngressCodec;
pub use runner::NativeRunnerCodec;

use common::adapter::{IngressCodec, PlatformAdapter, RunnerCodec};
use common::frames::SocketAddress;
use std::sync::Arc;

/// The adapters of one daemon.
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
    /// The native adapters, with the platform at this address.
    pub fn native(platform: SocketAddress) -> Self {
        Self {
            ingress: Arc::new(NativeIngressCodec),
            runner: Arc::new(NativeRunnerCodec),
            platform: Arc::new(NativePlatform::new(platform)),
        }
    }
}
