//! Test support: a held function, requests to it, and the replies of the leader and the platform to its holder.

use crate::lease::FENCING_TOKEN;
use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::{Instance, LengthPrefixed, RequestOutcome, ReserveResult, SocketAddress};
use common::identity::{FunctionKey, RunnerId, Ticket, Version};
use dataplane::holder::{AdmissionRequest, Holder, HolderOutput};
use std::time::Duration;

/// Returns the key of the held function.
pub fn function_key() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

/// Returns the id of the runner with this ordinal number.
pub fn runner_id(ordinal: u64) -> RunnerId {
    RunnerId {
        fencing_token: FENCING_TOKEN,
        ordinal,
    }
}

/// Returns a repeatable request with a unique key, whose caller waits up to `timeout` for the response.
pub fn admission_request(number: u64, now: MonotonicTime, timeout: Duration) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(number),
        idempotency_key: format!("t{number}").as_str().into(),
        once: false,
        recorded: false,
        max_attempts: 2,
        is_retry: false,
        deadline: now + timeout,
        queue_timeout: timeout,
        target: timeout,
        rank: 0,
        region: None,
    }
}

/// Returns a runner's response without header fields and seal.
pub fn response(runner: RunnerId, status: u16, body: &[u8]) -> RequestOutcome {
    RequestOutcome::Response {
        header_fields: LengthPrefixed(Vec::new()),
        status,
        seal: Vec::new().into(),
        runner,
        body: body.to_vec().into(),
    }
}

/// Returns the leader's reply that memory is reserved for a runner.
pub fn reserved(runner: RunnerId, memory_mb: u32) -> ReserveResult {
    ReserveResult::Reserved {
        runner,
        worker: "w".into(),
        memory_mb,
    }
}

/// Reports to the holder that the platform has started the runner, and returns the holder's outputs.
pub fn report_started(
    holder: &mut Holder,
    now: MonotonicTime,
    runner: RunnerId,
) -> Vec<HolderOutput> {
    let instance = Instance {
        name: format!("life of {runner}").into(),
        address: SocketAddress::UNSPECIFIED,
    };
    holder.handle_start_outcome(now, runner, StartOutcome::Started(instance))
}
