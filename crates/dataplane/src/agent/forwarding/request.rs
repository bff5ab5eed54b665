//! A transaction as a daemon takes it on, from a caller or from another daemon.

use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, Region, Version};
use std::sync::Arc;
use std::time::Duration;

/// A transaction that seeks its holder.
#[derive(Clone, Debug)]
pub struct FunctionRequest {
    /// The try's identity.
    pub idempotency_key: IdempotencyKey,
    /// The function.
    pub function: FunctionKey,
    /// The route that matched it.
    pub route: String,
    /// The spec it was matched with.
    pub version: Version,
    /// When its budget ends.
    pub deadline: MonotonicTime,
    /// How many hops it has made.
    pub hops: u8,
    /// Whether it is a repeat: the caller's, or of one passed to a holder that fell silent.
    pub repeat: bool,
    /// Whether whoever passed it on would rather be told the holder.
    pub wants_referral: bool,
    /// The region of the daemon that took it from its caller; empty when it lies in none.
    pub region: Region,
    /// What the caller sent.
    pub payload: Arc<RequestPayload>,
}

impl FunctionRequest {
    /// An ask as another daemon passed it on; none when the frame is something else.
    pub fn from_frame(
        now: MonotonicTime,
        frame: DaemonMessage,
    ) -> Result<Self, Box<DaemonMessage>> {
        match frame {
            DaemonMessage::FunctionRequest {
                idempotency_key,
                function,
                route,
                version,
                timeout_ms,
                hops,
                repeat,
                wants_referral,
                region,
                payload,
            } => Ok(Self {
                idempotency_key,
                function,
                route: route.to_string(),
                version,
                deadline: now + Duration::from_millis(u64::from(timeout_ms)),
                hops,
                repeat: repeat.0,
                wants_referral: wants_referral.0,
                region,
                payload: Arc::new(payload),
            }),
            other => Err(Box::new(other)),
        }
    }
}
