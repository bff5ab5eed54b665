//! Callers, and how soon they are served again after all faults are undone.

use super::event::Event;
use super::simulation::Simulation;
use common::identity::IdempotencyKey;
use dataplane::agent::FunctionRequest;
use std::time::Duration;

impl Simulation {
    /// Counts a call made after all faults were undone, by half second.
    pub(super) fn count_late_call(&mut self, idempotency_key: &IdempotencyKey) {
        let faults_end_at = self.faults_end_at();
        if self.queue.now() < faults_end_at {
            return;
        }
        let half_second = (self.queue.now().since(faults_end_at).as_millis() / 500) as usize;
        if half_second < 34 {
            if self.shares_after_healing.len() <= half_second {
                self.shares_after_healing.resize(half_second + 1, (0, 0));
            }
            self.shares_after_healing[half_second].0 += 1;
            self.calls_after_healing
                .insert(idempotency_key.clone(), half_second);
        }
    }

    pub(super) fn note_answered(&mut self, idempotency_key: &IdempotencyKey) {
        if let Some(half_second) = self.calls_after_healing.remove(idempotency_key) {
            self.shares_after_healing[half_second].1 += 1;
        }
    }

    /// Handles a refusal at a caller: while callers retry, it soon repeats the request through another ingress, marked
    /// as a retry.
    pub(super) fn note_refused(&mut self, request: &FunctionRequest) {
        if self.queue.now() < self.retrying_until && self.rng.random_bool(0.7) {
            let wait_span = self.rng.within(Duration::ZERO, Duration::from_millis(40));
            self.queue
                .push(wait_span, Event::Repeat(request.route.clone()));
        }
    }

    fn random_ingress(&mut self) -> Option<usize> {
        let index = self.rng.below(self.nodes.daemons().len() as u64) as usize;
        let daemon = self.nodes.daemon(index);
        let is_frozen = self.frozen.contains(daemon.node, self.queue.now());
        (daemon.is_accepting() && !is_frozen).then_some(index)
    }

    pub(super) fn repeat_call(&mut self, route_name: &str) {
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

    pub(super) fn send_call(&mut self, route_name: &'static str) {
        let idempotency_key = IdempotencyKey::from(format!("t{}", self.numbers.next()));
        let timeout = self
            .rng
            .within(Duration::from_millis(1000), Duration::from_millis(3000));
        if let Some(index) = self.random_ingress() {
            self.call(index, idempotency_key, route_name, timeout, false);
        }
    }

    pub(super) fn send_random_call(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.plan.rate);
        self.queue.push(gap, Event::Call);
        let number = self.numbers.next();
        let routes = [
            "f0", "f0", "f1", "f1", "f2", "f3", "f4", "f5", "canary", "canary",
        ];
        let route_name = routes[self.rng.below(routes.len() as u64) as usize];
        let timeout = self
            .rng
            .within(Duration::from_millis(500), Duration::from_millis(3000));
        let is_duplicate = self.rng.random_bool(self.plan.duplicate_share);
        let duplicate_after = self.rng.within(Duration::ZERO, Duration::from_millis(2900));
        let Some(index) = self.random_ingress() else {
            return;
        };
        let idempotency_key = IdempotencyKey::from(format!("t{number}"));
        self.count_late_call(&idempotency_key);
        if is_duplicate {
            self.checks.mark_duplicate(&idempotency_key);
            self.queue.push(
                duplicate_after,
                Event::DuplicateCall(idempotency_key.clone(), route_name),
            );
        }
        self.call(index, idempotency_key, route_name, timeout, false);
    }

    /// Sends a request with the same idempotency key through another ingress: it may be refused, and must not run twice.
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
        let seconds_after_healing: Vec<(u64, u64)> = self
            .shares_after_healing
            .chunks(2)
            .skip(12)
            .map(|halves| {
                halves
                    .iter()
                    .fold((0, 0), |sum, half| (sum.0 + half.0, sum.1 + half.1))
            })
            .collect();
        for (second, (calls, answers)) in seconds_after_healing.into_iter().enumerate() {
            self.checks.check_recovered_second(
                self.queue.now(),
                12 + second as u64,
                calls,
                answers,
            );
        }
    }

    /// The share of calls answered from 12 s after all faults were undone, and the time after which at least half of the
    /// calls in each half second were answered.
    pub(super) fn recovery_figures(&self) -> (f64, Duration) {
        let settled = self.shares_after_healing.iter().skip(24);
        let (calls, answers) = settled.fold((0, 0), |sum, half_second| {
            (sum.0 + half_second.0, sum.1 + half_second.1)
        });
        let is_down = |half_second: &(u64, u64)| half_second.1 * 2 < half_second.0;
        let last_down = self.shares_after_healing.iter().rposition(is_down);
        let recovered_after =
            Duration::from_millis(500) * last_down.map_or(0, |last| last as u32 + 1);
        (answers as f64 / calls.max(1) as f64, recovered_after)
    }
}
