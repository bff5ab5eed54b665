use crate::drivers::State;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use waymark::frames::{HopOutcome, HopReason};
use waymark::http::{BodyFault, Served, full, json_response};
use waymark::identity::{FunctionKey, TransactionId};
use waymark::seal;

/// What a caller is told.
pub enum Said {
    /// The identity or budget is missing or malformed.
    BadHeader(&'static str),
    /// No route matches.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// The body broke off or came too slowly.
    BadBody,
    /// How the transaction ended.
    Outcome(FunctionKey, HopOutcome),
    /// It was refused before its function was known.
    Refused(HopReason, u32),
}

impl Said {
    /// Refused at the door, with a hint to come back soon.
    pub fn refused(reason: HopReason) -> Self {
        Self::Refused(reason, 1000)
    }
}

impl From<BodyFault> for Said {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLarge => Self::TooLarge,
            BodyFault::Broken | BodyFault::Slow => Self::BadBody,
        }
    }
}

fn put(response: &mut Served, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

fn not_run(status: StatusCode, reason: &str, retry_ms: Option<u32>) -> Served {
    let mut body = json!({"outcome": "not_run", "reason": reason});
    if let Some(retry_ms) = retry_ms {
        body["retry_after_ms"] = json!(retry_ms);
    }
    let mut response = json_response(status, &body);
    put(&mut response, seal::OUTCOME, "not_run");
    if let Some(retry_ms) = retry_ms {
        put_retry(&mut response, retry_ms);
    }
    response
}

fn put_retry(response: &mut Served, retry_ms: u32) {
    let seconds = retry_ms.div_ceil(1000).max(1).to_string();
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// When it makes sense to ask what became of a transaction, with its own identity, or to try another:
/// a silent holder is replaced when its grant has ended.
fn come_back_after(reason: HopReason) -> u32 {
    match reason {
        HopReason::HolderSilent => 3000,
        _ => 1000,
    }
}

fn refusal_status(reason: HopReason) -> StatusCode {
    match reason {
        HopReason::TriesSpent => StatusCode::TOO_MANY_REQUESTS,
        HopReason::NotAllowed => StatusCode::NOT_FOUND,
        HopReason::ShedBefore => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Makes the response, counts it, and always says which of the three outcomes it is.
pub fn say(state: &State, transaction: Option<&TransactionId>, said: Said) -> Served {
    let (outcome, reason) = match &said {
        Said::BadHeader(_) => ("not_run", "bad_header"),
        Said::NoRoute => ("not_run", "no_route"),
        Said::TooLarge => ("not_run", "body_too_large"),
        Said::BadBody => ("not_run", "bad_body"),
        Said::Refused(reason, _) => ("not_run", reason.as_str()),
        Said::Outcome(_, HopOutcome::Answer { .. }) => ("answer", ""),
        Said::Outcome(_, HopOutcome::NotRun { reason, .. }) => ("not_run", reason.as_str()),
        Said::Outcome(_, HopOutcome::Unknown { reason }) => ("unknown", reason.as_str()),
    };
    state.gauges.outcomes.with_label_values(&[outcome, reason]).inc();
    let mut response = match said {
        Said::BadHeader(name) => {
            let body = json!({"outcome": "not_run", "reason": reason, "header": name});
            let mut response = json_response(StatusCode::BAD_REQUEST, &body);
            put(&mut response, seal::OUTCOME, "not_run");
            response
        }
        Said::NoRoute => not_run(StatusCode::NOT_FOUND, reason, None),
        Said::TooLarge => not_run(StatusCode::PAYLOAD_TOO_LARGE, reason, None),
        Said::BadBody => not_run(StatusCode::BAD_REQUEST, reason, None),
        Said::Refused(reason, retry_ms) => {
            not_run(refusal_status(reason), reason.as_str(), Some(retry_ms))
        }
        Said::Outcome(_, HopOutcome::NotRun { reason, retry_ms }) => {
            not_run(refusal_status(reason), reason.as_str(), Some(retry_ms))
        }
        Said::Outcome(_, HopOutcome::Unknown { reason }) => {
            let retry_ms = come_back_after(reason);
            let mut body = json!({"outcome": "unknown", "reason": reason.as_str()});
            body["retry_after_ms"] = json!(retry_ms);
            let mut response = json_response(StatusCode::GATEWAY_TIMEOUT, &body);
            put(&mut response, seal::OUTCOME, "unknown");
            put_retry(&mut response, retry_ms);
            response
        }
        Said::Outcome(
            function,
            HopOutcome::Answer { status, seal: body_seal, runner, body, .. },
        ) => {
            let mut response = Response::new(full(body.0));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            put(&mut response, seal::OUTCOME, "answer");
            put(&mut response, seal::FUNCTION, &function.to_string());
            put(&mut response, seal::RUNNER, &runner.to_string());
            put(&mut response, seal::SEAL, std::str::from_utf8(&body_seal.0).unwrap_or(""));
            response
        }
    };
    if let Some(transaction) = transaction {
        put(&mut response, seal::TRANSACTION, transaction.as_str());
    }
    response
}
