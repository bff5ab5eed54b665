//! The seal a runner puts on its answer: a digest that names the transaction, function and runner.

use crate::identity::{FunctionKey, RunnerId, TransactionId};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Header with the try's identity.
pub const TRANSACTION: &str = "rudder-transaction";
/// Header with the caller's budget in milliseconds.
pub const BUDGET: &str = "rudder-budget-ms";
/// Header by which a caller marks a repeat of an earlier try.
pub const REPEAT_OF: &str = "rudder-repeat-of";
/// Header with the outcome: `answer`, `not_run` or `unknown`.
pub const OUTCOME: &str = "rudder-outcome";
/// Header with the function's key.
pub const FUNCTION: &str = "rudder-function";
/// Header with the runner's name.
pub const RUNNER: &str = "rudder-runner";
/// Header with the function grant under which a runner is sent a transaction.
pub const GRANT: &str = "rudder-grant";
/// Header with the number of the send of one transaction, from one.
pub const ATTEMPT: &str = "rudder-attempt";
/// Header with the seal.
pub const SEAL: &str = "rudder-seal";
/// Header by which a runner says that it refused and did not run.
pub const SHED: &str = "rudder-shed";

/// Bytes as lower-case hexadecimal.
pub fn hex(given_bytes: &[u8]) -> String {
    given_bytes.iter().fold(String::new(), |mut hex_text, byte| {
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
    transaction: &TransactionId,
    function: &FunctionKey,
    runner: RunnerId,
    shed: bool,
    body: &[u8],
) -> String {
    let (transaction, function, runner) =
        (transaction.as_str(), function.to_string(), runner.to_string());
    seal_of_names(transaction, &function, &runner, shed, body)
}

/// The seal for names as they were written down.
pub fn seal_of_names(
    transaction: &str,
    function: &str,
    runner: &str,
    shed: bool,
    body: &[u8],
) -> String {
    let mut running_digest = Sha256::new();
    running_digest.update(format!(
        "{transaction}\n{function}\n{runner}\n{}\n{}\n",
        if shed { "shed" } else { "run" },
        body.len()
    ));
    running_digest.update(body);
    hex(&running_digest.finalize())
}
