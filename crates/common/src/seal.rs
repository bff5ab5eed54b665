//! The seal of a runner's response, which binds it to its request, and the headers between daemons, callers and
//! runners.
//!
//! The seal is the SHA-256 digest, in hexadecimal, of the idempotency key, the function, the runner, whether the runner
//! rejected the request, the body's length and the body.

use crate::identity::{FunctionKey, IdempotencyKey, RunnerId};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "rudder-transaction";
/// Header with the caller's time-out in milliseconds.
pub const TIMEOUT_HEADER: &str = "rudder-budget-ms";
/// Header by which a caller marks a repeat of an earlier request.
pub const REPEAT_OF_HEADER: &str = "rudder-repeat-of";
/// Header with the outcome: `answer`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "rudder-outcome";
/// Header with the function's key.
pub const FUNCTION_HEADER: &str = "rudder-function";
/// Header with the runner's identity.
pub const RUNNER_HEADER: &str = "rudder-runner";
/// Header with the fencing token of the lease under which a runner is sent a request.
pub const FENCING_TOKEN_HEADER: &str = "rudder-grant";
/// Header with the number of the attempt to run one request, starting at one.
pub const ATTEMPT_HEADER: &str = "rudder-attempt";
/// Header with the seal.
pub const SEAL_HEADER: &str = "rudder-seal";
/// Header by which a runner reports that it rejected the request and did not run it.
pub const REJECTED_HEADER: &str = "rudder-shed";

/// Encodes bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex_text, byte| {
        let _ = write!(hex_text, "{byte:02x}");
        hex_text
    })
}

/// Computes the SHA-256 digest.
pub fn digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// Computes the seal of a body for one request, function and runner. A rejection has a different seal than a response.
pub fn seal(
    idempotency_key: &IdempotencyKey,
    function: &FunctionKey,
    runner: RunnerId,
    is_rejected: bool,
    body: &[u8],
) -> String {
    let (idempotency_key, function, runner) = (
        idempotency_key.as_str(),
        function.to_string(),
        runner.to_string(),
    );
    seal_of_texts(idempotency_key, &function, &runner, is_rejected, body)
}

/// Computes the seal from the text forms of the idempotency key, the function and the runner.
pub fn seal_of_texts(
    idempotency_key: &str,
    function: &str,
    runner: &str,
    is_rejected: bool,
    body: &[u8],
) -> String {
    let mut hasher = Sha256::new();
    hasher.update(format!(
        "{idempotency_key}\n{function}\n{runner}\n{}\n{}\n",
        if is_rejected { "shed" } else { "run" },
        body.len()
    ));
    hasher.update(body);
    hex(&hasher.finalize())
}
