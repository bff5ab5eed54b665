//! The seal a runner puts on its answer: a digest that names the transaction, function and runner.

use crate::identity::{FunctionKey, IdempotencyKey, RunnerId};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Header with the try's identity.
pub const IDEMPOTENCY_KEY: &str = "rudder-transaction";
/// Header with the caller's budget in milliseconds.
pub const TIMEOUT: &str = "rudder-budget-ms";
/// Header by which a caller marks a repeat of an earlier try.
pub const REPEAT_OF: &str = "rudder-repeat-of";
/// Header with the outcome: `answer`, `not_run` or `unknown`.
pub const OUTCOME: &str = "rudder-outcome";
/// Header with the function's key.
pub const FUNCTION: &str = "rudder-function";
/// Header with the runner's name.
pub const RUNNER: &str = "rudder-runner";
/// Header with the function grant under which a runner is sent a transaction.
pub const FENCING_TOKEN: &str = "rudder-grant";
/// Header with the number of the send of one transaction, from one.
pub const ATTEMPT: &str = "rudder-attempt";
/// Header with the seal.
pub const SEAL: &str = "rudder-seal";
/// Header by which a runner says that it refused and did not run.
pub const REJECTED: &str = "rudder-shed";

/// Bytes as lower-case hexadecimal.
pub fn hex(given_bytes: &[u8]) -> String {
    given_bytes
        .iter()
        .fold(String::new(), |mut hex_text, byte| {
            let _ = write!(hex_text, "{byte:02x}");
            hex_text
        })
}

/// A SHA-256 digest.
pub fn digest(given_bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(given_bytes).into()
}

/// The seal of a body for one transaction, function and runner; a refusal is sealed as such.
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

/// The seal for names as they were written down.
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
