//! The callers of a synthetic fleet.

use crate::synthetic::catalogue;
use crate::synthetic::events::{Event, ReplyTarget};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::size::SyntheticSize;
use bytes::Bytes;
use common::frames::{HeaderField, LengthPrefixed, RequestPayload};
use common::identity::IdempotencyKey;
use dataplane::agent::{AttemptLimits, FunctionRequest};
use std::sync::Arc;
use std::time::Duration;

/// The number of functions per second that are called for the first time.
const FIRST_CALLS_PER_SECOND: u64 = 1000;
const MIN_FIRST_CALLS_SPAN: Duration = Duration::from_millis(500);
const FIRST_CALLS_INTERVAL: Duration = Duration::from_millis(10);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);
/// The host of all requests; the routes match them by their paths alone.
const CALLERS_HOST: &str = "callers";
const REQUEST_BODY: &[u8] = &[b'q'; 256];
/// The share of calls that are restricted to the busiest twentieth of the functions.
const BUSY_SHARE: f64 = 0.9;

/// Returns the time span in which every function is called for the first time.
pub(in crate::synthetic) fn first_calls_span(size: &SyntheticSize) -> Duration {
    MIN_FIRST_CALLS_SPAN.max(Duration::from_millis(
        size.held as u64 * 1000 / FIRST_CALLS_PER_SECOND,
    ))
}

/// Returns a caller's POST request to a path.
fn payload(path: &str) -> RequestPayload {
    RequestPayload {
        target: path.into(),
        header_fields: LengthPrefixed(vec![HeaderField {
            name: "host".into(),
            value: CALLERS_HOST.as_bytes().to_vec().into(),
        }]),
        ..RequestPayload::from_body(Bytes::from_static(REQUEST_BODY))
    }
}

impl SyntheticFleet {
    /// Calls the next functions for the first time, each through a random ingress, until all have been called.
    pub(in crate::synthetic) fn send_first_calls(&mut self) {
        if self.next_first_call == 0 {
            self.record.join_nanos = self.meter.leader_nanos;
        }
        let batch_count = (first_calls_span(&self.size).as_millis()
            / FIRST_CALLS_INTERVAL.as_millis())
        .max(1) as usize;
        let batch_size = self.size.held.div_ceil(batch_count);
        let until = (self.next_first_call + batch_size).min(self.size.held);
        for function in self.next_first_call..until {
            self.call(function);
        }
        self.next_first_call = until;
        if self.next_first_call < self.size.held {
            self.push(FIRST_CALLS_INTERVAL, Event::FirstCalls);
        }
    }

    /// Calls a random function through a random ingress.
    pub(in crate::synthetic) fn send_random_call(&mut self) {
        let rate = self.size.calls as f64 * self.size.daemons as f64;
        if rate <= 0.0 {
            return;
        }
        self.push(Duration::from_secs_f64(1.0 / rate), Event::Call);
        let functions = self.size.held as u64;
        let busiest_count = (functions / 20).max(1);
        let bound = if self.rng.random_bool(BUSY_SHARE) {
            busiest_count
        } else {
            functions
        };
        let function = self.rng.below(bound) as usize;
        self.call(function);
    }

    fn call(&mut self, function: usize) {
        let daemon = self.rng.below(self.size.daemons as u64) as usize;
        let number = self.next_number();
        let now = self.now;
        let Some(agent) = self.agent(daemon) else {
            return;
        };
        let route_name = catalogue::function_name(function);
        let path = format!("/{route_name}/{number}");
        let idempotency_key = IdempotencyKey::from(format!("transaction-{number:012}"));
        self.record.called += 1;
        let (matched, _) = self.meter.measure_step(Role::Ingress, Work::Calls, || {
            let table = agent.routing_table_snapshot();
            let found = table.route(&hyper::Method::POST, CALLERS_HOST, &path, &idempotency_key)?;
            let limits = AttemptLimits::of_route(&found.route.spec);
            Some((found.function.key.clone(), table.version(), limits))
        });
        let Some((key, version, limits)) = matched.filter(|_| agent.is_serving(now)) else {
            self.record.not_run += 1;
            return;
        };
        let request = FunctionRequest {
            idempotency_key,
            function: key,
            route: route_name,
            version,
            limits,
            deadline: now + REQUEST_TIMEOUT,
            hops: 0,
            wants_referral: true,
            region: "".into(),
            is_retry: false,
            payload: Arc::new(payload(&path)),
        };
        self.accept_request(daemon, request, ReplyTarget::Caller);
    }
}
