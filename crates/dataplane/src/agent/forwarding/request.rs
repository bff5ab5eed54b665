//! A request as a daemon receives it, from a caller or from another daemon.

use super::AttemptLimits;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, RequestPayload};
use common::identity::{FunctionKey, IdempotencyKey, Region, Version};
use std::sync::Arc;
use std::time::Duration;

/// A request to be handled by the holder of its function.
#[derive(Clone, Debug)]
pub struct FunctionRequest {
    /// Its idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// The key of its function.
    pub function: FunctionKey,
    /// The name of the route that matched it, in the spec of `version` only.
    pub route: String,
    /// The version of the spec with which it was matched.
    pub version: Version,
    /// How often it may be sent, by the specs that have matched it; unlimited if another daemon has forwarded it.
    pub limits: AttemptLimits,
    /// When its caller stops waiting for it.
    pub deadline: MonotonicTime,
    /// How many times it was forwarded.
    pub hops: u8,
    /// Whether it is a retry, either by the caller or after a holder was lost with it.
    pub is_retry: bool,
    /// Whether the daemon that forwarded it wants to be referred to the holder rather than have it forwarded again.
    pub wants_referral: bool,
    /// The region of the ingress daemon, which received it from its caller; empty if that daemon is in no region.
    pub region: Region,
    /// The caller's method, target, header fields and body.
    pub payload: Arc<RequestPayload>,
}

impl FunctionRequest {
    /// Reads a request from another daemon's message, or returns the message if it is of another kind. The message
    /// carries the remaining time rather than the deadline, as the daemons' clocks differ.
    pub fn from_message(
        now: MonotonicTime,
        message: DaemonMessage,
    ) -> Result<Self, Box<DaemonMessage>> {
        match message {
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
                limits: AttemptLimits::UNLIMITED,
                deadline: now + Duration::from_millis(u64::from(time_limit_ms)),
                hops,
                is_retry: repeat.0,
                wants_referral: wants_referral.0,
                region,
                payload: Arc::new(payload),
            }),
            other => Err(Box::new(other)),
        }
    }
}
