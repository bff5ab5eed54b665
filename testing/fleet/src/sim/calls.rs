//! Callers, and the check that they are served again after all faults are undone.

use super::event::CallerEvent;
use super::simulation::Simulation;
use common::identity::IdempotencyKey;
use dataplane::agent::FunctionRequest;
use std::time::Duration;

/// The longest time that an ordinary caller waits.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(3000);
/// How much longer patient callers wait, which makes their timeouts exceed the grace period of a graceful shutdown.
const PATIENCE: Duration = Duration::from_millis(6000);
/// The share of refusals after which a retrying caller sends the request again.
const RETRY_SHARE: f64 = 0.7;

impl Simulation {
    /// Counts a call if it is made after all faults were undone, to measure when the fleet serves again.
    pub(super) fn count_call_after_faults(&mut self, idempotency_key: &IdempotencyKey) {
        let faults_end_at = self.faults_end_at();
        if self.queue.now() < faults_end_at {
            return;
        }
        let after = self.queue.now().since(faults_end_at);
        self.answer_shares.record_call(after, idempotency_key);
    }

    /// Handles a refusal at a caller: while callers retry, it usually sends the request again soon, through a random
    /// ingress and marked as a retry.
    pub(super) fn handle_refusal(&mut self, request: &FunctionRequest) {
        if self.faults.are_callers_retrying(self.queue.now()) && self.rng.random_bool(RETRY_SHARE) {
            let retry_after = self.rng.within(Duration::ZERO, Duration::from_millis(40));
            self.queue.push(
                retry_after,
                CallerEvent::RetryRefused(request.route.clone()),
            );
        }
    }

    /// Chooses a daemon at random; none if it is frozen or does not accept requests.
    fn random_ingress(&mut self) -> Option<usize> {
        let index = self.rng.below(self.nodes.daemons().len() as u64) as usize;
        let daemon = self.nodes.daemon(index);
        let is_frozen = self.frozen.contains(daemon.node, self.queue.now());
        (daemon.is_accepting() && !is_frozen).then_some(index)
    }

    /// Sends a refused request again as a retry with a new idempotency key.
    pub(super) fn send_retry(&mut self, route_name: &str) {
        let idempotency_key = IdempotencyKey::from(format!("repeat-{}", self.numbers.next()));
        if let Some(index) = self.random_ingress() {
            self.call(
                index,
                idempotency_key,
                route_name,
                Duration::from_millis(2000),
                true,
            );
        }
    }

    /// Draws how long a caller waits, which is at least the given time.
    fn random_timeout(&mut self, shortest: Duration) -> Duration {
        let timeout = self.rng.within(shortest, LONGEST_TIMEOUT);
        if self.plan.patient_callers {
            timeout + PATIENCE
        } else {
            timeout
        }
    }

    /// Sends a request by this route with a new idempotency key.
    pub(super) fn send_call(&mut self, route_name: &'static str) {
        let idempotency_key = IdempotencyKey::from(format!("t{}", self.numbers.next()));
        let timeout = self.random_timeout(Duration::from_millis(1000));
        if let Some(index) = self.random_ingress() {
            self.call(index, idempotency_key, route_name, timeout, false);
        }
    }

    /// Sends a request by a random route, occasionally twice, and schedules the next one.
    pub(super) fn send_random_call(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.plan.rate);
        self.queue.push(gap, CallerEvent::Call);
        let number = self.numbers.next();
        let routes = [
            "f0", "f0", "f1", "f1", "f2", "f3", "f4", "f5", "canary", "canary",
        ];
        let route_name = routes[self.rng.below(routes.len() as u64) as usize];
        let timeout = self.random_timeout(Duration::from_millis(500));
        let is_duplicate = self.rng.random_bool(self.plan.duplicate_share);
        let duplicate_after = self.rng.within(Duration::ZERO, Duration::from_millis(2900));
        let Some(index) = self.random_ingress() else {
            return;
        };
        let idempotency_key = IdempotencyKey::from(format!("t{number}"));
        self.count_call_after_faults(&idempotency_key);
        if is_duplicate {
            self.checks.mark_duplicate(&idempotency_key);
            self.queue.push(
                duplicate_after,
                CallerEvent::DuplicateCall(idempotency_key.clone(), route_name),
            );
        }
        self.call(index, idempotency_key, route_name, timeout, false);
    }

    /// Sends a request again with the same idempotency key, through a random ingress. It may be refused, and a request
    /// that may run only once must not run twice.
    pub(super) fn send_duplicate_call(
        &mut self,
        idempotency_key: IdempotencyKey,
        route_name: &'static str,
    ) {
        if let Some(index) = self.random_ingress() {
            self.call(
                index,
                idempotency_key,
                route_name,
                Duration::from_millis(3000),
                false,
            );
        }
    }

    /// Checks that most calls are answered in each second from 12 s after all faults were undone.
    pub(super) fn check_recovery(&mut self) {
        for (second, share) in self.answer_shares.settled_seconds() {
            self.checks.check_recovered_second(
                self.queue.now(),
                second,
                share.calls,
                share.answers,
            );
        }
    }
}
