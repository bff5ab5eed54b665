//! A request at its ingress daemon, the one that received it from the caller: what becomes known about it while it is
//! processed, and the metrics and log line written when it ends.

use crate::drivers::State;
use common::adapter::CallerResponse;
use common::clock::MonotonicTime;
use common::events;
use common::http::HttpResponse;
use common::identity::{IdempotencyKey, MemberName};
use std::fmt;
use std::time::Duration;

/// Requests that end later than this after their deadline are counted as overdue.
const OVERDUE_GRACE: Duration = Duration::from_millis(250);

/// The outcome label for requests whose caller disconnected before they ended.
const ABANDONED_OUTCOME: &str = "left";

/// A request at its ingress daemon. If dropped without [`IngressRequest::finish`], it is counted as abandoned.
pub(crate) struct IngressRequest<'a> {
    state: &'a State,
    /// When the head of the request was read.
    pub started_at: MonotonicTime,
    /// The idempotency key, once parsed.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The name of the route, once matched.
    pub route: Option<String>,
    /// The deadline by the shorter of the caller's and the route's time-out, once both are known.
    pub deadline: Option<MonotonicTime>,
    /// The holder of the function, if known.
    pub holder: Option<MemberName>,
    is_finished: bool,
}

impl<'a> IngressRequest<'a> {
    /// Starts tracking a request whose head has just been read.
    pub(crate) fn new(state: &'a State) -> Self {
        Self {
            state,
            started_at: MonotonicTime::now(),
            idempotency_key: None,
            route: None,
            deadline: None,
            holder: None,
            is_finished: false,
        }
    }

    /// Counts the outcome, logs the request unless it ended with a runner's response, and encodes the response.
    pub(crate) fn finish(mut self, caller_response: CallerResponse) -> HttpResponse {
        self.is_finished = true;
        let now = MonotonicTime::now();
        let (outcome, reason) = match &caller_response {
            CallerResponse::Response { .. } => ("answer", ""),
            CallerResponse::NotRun { reason, .. } => ("not_run", *reason),
            CallerResponse::Unknown { reason, .. } => ("unknown", reason.as_str()),
        };
        self.count(now, outcome, reason);
        if self
            .deadline
            .is_some_and(|deadline| now > deadline + OVERDUE_GRACE)
        {
            self.state.metrics.callers.overdue_requests.inc();
        }
        if !matches!(caller_response, CallerResponse::Response { .. }) {
            let detail = format_args!("{self} {outcome} {reason}");
            self.state.request_log.write(events::REQUEST_FAILED, detail);
        }
        self.state
            .adapters
            .ingress
            .write_response(self.idempotency_key.as_ref(), caller_response)
    }

    fn count(&self, now: MonotonicTime, outcome: &str, reason: &str) {
        let metrics = &self.state.metrics;
        metrics
            .callers
            .request_outcomes
            .with_label_values(&[outcome, reason])
            .inc();
        let elapsed = now.since(self.started_at).as_secs_f64();
        metrics
            .callers
            .request_seconds
            .with_label_values(&[outcome])
            .observe(elapsed);
    }
}

impl fmt::Display for IngressRequest<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let idempotency_key = self
            .idempotency_key
            .as_ref()
            .map_or("-", |known| known.as_str());
        let route = self.route.as_deref().unwrap_or("-");
        let holder = self.holder.as_ref().map_or("-", |known| known.as_str());
        let elapsed_ms = MonotonicTime::now().since(self.started_at).as_millis();
        write!(
            out,
            "{idempotency_key} route {route} holder {holder} after {elapsed_ms} ms"
        )
    }
}

impl Drop for IngressRequest<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.count(MonotonicTime::now(), ABANDONED_OUTCOME, "");
        }
    }
}
