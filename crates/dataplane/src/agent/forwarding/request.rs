//! A request as a daemon receives it, from a caller or from another daemon.

use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, Region, Version};
use std::sync::Arc;
use std::time::Duration;

/// A request on its way to the holder of its function.
#[derive(Clone, Debug)]
pub struct FunctionRequest {
    /// Its idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// The key of its function.
    pub function: FunctionKey,
    /// The name of the route that matched it.
    pub route: String,
    /// The version of the spec by which it was matched.
    pub version: Version,
    /// When its caller gives it up.
    pub deadline: MonotonicTime,
    /// How many times it was forwarded.
    pub hops: u8,
    /// Whether it is a repeat: by the caller, or after a holder was lost with it.
    pub repeat: bool,
    /// Whether the daemon that forwarded it prefers a referral to the holder.
    pub wants_referral: bool,
    /// The region of the daemon that received it from its caller; empty if that is in none.
    pub region: Region,
    /// What the caller sent: method, target, header fields and body.
    pub payload: Arc<RequestPayload>,
}

impl FunctionRequest {
    /// The request in a frame from another daemon; the frame itself if it is of another kind. The frame carries the
    /// remaining time, as the daemons' clocks differ.
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
                time_limit_ms,
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
                deadline: now + Duration::from_millis(u64::from(time_limit_ms)),
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
