//! Which responses from runners are accepted.

use common::adapter::{RunnerResponse, SealKind};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, RunnerId, Version};
use common::rules::{Rule, Rules};
use common::seal;
use dataplane::agent::verify_response;
use dataplane::holder::SendResult;
use googletest::prelude::*;

const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(4),
    ordinal: 5,
};

const OTHER_RUNNER: RunnerId = RunnerId {
    ordinal: 6,
    ..RUNNER
};

fn function() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

/// Returns a response whose seal only the caller can check.
fn response_with_carried_seal(status: u16) -> RunnerResponse {
    RunnerResponse {
        status,
        idempotency_key: "t".to_owned(),
        function: None,
        runner: None,
        seal: "carried".to_owned(),
        seal_kind: SealKind::CheckedByCaller,
        did_not_run: false,
        is_other_runner: false,
        is_unreliable: false,
        closes_connection: false,
        header_fields: Vec::new(),
        body: b"whole".to_vec().into(),
    }
}

/// The contents of a response that is sealed with a digest.
#[derive(Clone)]
struct SealedResponse {
    idempotency_key: IdempotencyKey,
    runner: RunnerId,
    seal: String,
    body: Vec<u8>,
}

impl SealedResponse {
    fn new(idempotency_key: &str, runner: RunnerId, is_rejected: bool) -> Self {
        let idempotency_key = IdempotencyKey::from(idempotency_key);
        let body = b"whole".to_vec();
        let seal = seal::seal(&idempotency_key, &function(), runner, is_rejected, &body);
        Self {
            idempotency_key,
            runner,
            seal,
            body,
        }
    }

    /// Whether it is accepted as the response to the request `t` on `RUNNER`.
    fn is_accepted(&self, rules: Rules) -> bool {
        let response = RunnerResponse {
            idempotency_key: self.idempotency_key.to_string(),
            function: Some(function().to_string()),
            runner: Some(self.runner.to_string()),
            seal: self.seal.clone(),
            seal_kind: SealKind::Digest,
            body: self.body.clone().into(),
            ..response_with_carried_seal(200)
        };
        let result = verify_response(rules, &"t".into(), &function(), RUNNER, response);
        matches!(result, SendResult::Answered(_))
    }
}

#[gtest]
fn only_the_complete_response_to_this_request_is_accepted() -> Result<()> {
    let complete = SealedResponse::new("t", RUNNER, false);
    verify_that!(complete.is_accepted(Rules::ALL_ENFORCED), eq(true))?;
    let with_seal = |seal: String| SealedResponse {
        seal,
        ..complete.clone()
    };
    let truncated = SealedResponse {
        body: complete.body[..4].to_vec(),
        ..complete.clone()
    };
    let of_other_request = SealedResponse::new("other", RUNNER, false);
    let cases = [
        ("truncated", &truncated),
        (
            "seal in upper case",
            &with_seal(complete.seal.to_uppercase()),
        ),
        ("no seal", &with_seal(String::new())),
        ("rejected", &SealedResponse::new("t", RUNNER, true)),
        ("of another request", &of_other_request),
        (
            "of another runner",
            &SealedResponse::new("t", OTHER_RUNNER, false),
        ),
    ];
    for (name, response) in cases {
        verify_that!(response.is_accepted(Rules::ALL_ENFORCED), eq(false))
            .with_failure_message(|| name.to_owned())?;
        let unchecked = Rules::without(Rule::SealChecked);
        verify_that!(response.is_accepted(unchecked), eq(true))
            .with_failure_message(|| name.to_owned())?;
    }
    let without_name_check = Rules::without(Rule::SealBoundToRequest);
    verify_that!(of_other_request.is_accepted(without_name_check), eq(true))
}

/// A response with a carried seal, and the expected result of its verification.
struct CarriedSealCase {
    name: &'static str,
    status: u16,
    /// How it differs from a complete and sealed response with this status.
    change: fn(&mut RunnerResponse),
    expected: &'static str,
}

const fn case(
    name: &'static str,
    status: u16,
    change: fn(&mut RunnerResponse),
    expected: &'static str,
) -> CarriedSealCase {
    CarriedSealCase {
        name,
        status,
        change,
        expected,
    }
}

fn other_name() -> String {
    "other".to_owned()
}

const CARRIED_SEAL_CASES: &[CarriedSealCase] = &[
    case("complete and sealed", 200, |_| (), "answered"),
    case(
        "names this runner",
        200,
        |response| response.runner = Some(RUNNER.to_string()),
        "answered",
    ),
    case(
        "another idempotency key",
        200,
        |response| response.idempotency_key = other_name(),
        "lost",
    ),
    case(
        "another function",
        200,
        |response| response.function = Some(other_name()),
        "lost",
    ),
    case(
        "another runner",
        200,
        |response| response.runner = Some(other_name()),
        "lost",
    ),
    case("no seal", 200, |response| response.seal.clear(), "lost"),
    case(
        "unreliable",
        200,
        |response| response.is_unreliable = true,
        "lost",
    ),
    case(
        "client error without seal",
        404,
        |response| response.seal.clear(),
        "answered",
    ),
    case(
        "did not run",
        503,
        |response| response.did_not_run = true,
        "rejected",
    ),
    case(
        "did not run, another idempotency key",
        503,
        |response| {
            response.did_not_run = true;
            response.idempotency_key = other_name();
        },
        "lost",
    ),
    case(
        "wrong runner",
        421,
        |response| {
            response.is_other_runner = true;
            response.did_not_run = true;
        },
        "wrong runner",
    ),
    case(
        "wrong runner, another idempotency key",
        421,
        |response| {
            response.is_other_runner = true;
            response.idempotency_key = other_name();
        },
        "lost",
    ),
    case("ran, but has a not-run status", 503, |_| (), "lost"),
    case("ran, but has a retry status", 429, |_| (), "lost"),
    case(
        "server error without seal",
        500,
        |response| response.seal.clear(),
        "failed",
    ),
];

fn result_name(result: &SendResult) -> &'static str {
    match result {
        SendResult::Answered(_) => "answered",
        SendResult::Failed(_) => "failed",
        SendResult::RejectedByRunner => "rejected",
        SendResult::WrongRunner => "wrong runner",
        SendResult::Lost => "lost",
        SendResult::Forbidden(_) | SendResult::Unsent | SendResult::Aborted => "unexpected",
    }
}

#[gtest]
fn a_response_with_a_carried_seal_is_verified_by_its_visible_parts() -> Result<()> {
    for case in CARRIED_SEAL_CASES {
        let mut response = response_with_carried_seal(case.status);
        (case.change)(&mut response);
        let rules = Rules::ALL_ENFORCED;
        let result = verify_response(rules, &"t".into(), &function(), RUNNER, response);
        verify_that!(
            (case.name, result_name(&result)),
            eq((case.name, case.expected))
        )?;
    }
    Ok(())
}
