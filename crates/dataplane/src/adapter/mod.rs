//! The native HTTP protocols for callers and runners, and the set of adapters that a daemon uses.
//!
//! The traits are defined in [`common::adapter`]; a platform can provide its own implementations.

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
    /// The protocol for callers.
    pub ingress: Arc<dyn IngressCodec>,
    /// The protocol for runners.
    pub runner: Arc<dyn RunnerCodec>,
    /// The interface to the platform.
    pub platform: Arc<dyn PlatformAdapter>,
}

impl DaemonAdapters {
    /// Creates the native adapters, with the platform at the given address.
    pub fn native(platform: SocketAddress) -> Self {
        Self {
            ingress: Arc::new(NativeIngressCodec),
            runner: Arc::new(NativeRunnerCodec),
            platform: Arc::new(NativePlatform::new(platform)),
        }
    }
}
