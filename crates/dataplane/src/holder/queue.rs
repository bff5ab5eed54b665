//! The request queue of a holder: its length limit and order, the rejection of late requests, and the dispatch to
//! runners.

use super::{AdmissionRequest, Holder, HolderOutput, InFlight, QueuedRequest, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome, SocketAddress};
use common::identity::{RunnerId, Ticket};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::collections::VecDeque;
use std::time::Duration;

/// Lower bound of the queue limit.
const MIN_QUEUE_LENGTH: usize = 32;
/// Queue limit per slot that the function may have. It only bounds memory: requests that would not be sent in time are
/// rejected by their expected start.
const QUEUED_REQUESTS_PER_SLOT: usize = 16;
/// Lower bound of the service time in estimates, in seconds.
pub(super) const MIN_SERVICE_SECONDS: f64 = 0.001;
/// Added to the expected wait of a rejected request to determine when its caller may retry.
const RETRY_MARGIN: Duration = Duration::from_millis(100);
/// Minimum delay after which a rejected caller may retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u128 = 100;
/// Delay after which a caller may retry when the retry budget is spent.
const BUDGET_SPENT_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Delay after which a caller may retry when the queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Holder {
    /// Returns the number of concurrent requests that the ready runners accept now.
    fn ready_limit(&self, now: MonotonicTime) -> u32 {
        self.runners.ready().fold(0, |all, record| {
            all.saturating_add(record.current_limit(now))
        })
    }

    /// Returns the number of concurrent requests that the ready runners accept after their slow start.
    fn expected_ready_limit(&self, now: MonotonicTime) -> u32 {
        self.runners
            .ready()
            .map(|record| record.expected_limit(now).min(self.spec.slots.max(1)))
            .sum()
    }

    fn queue_limit(&self) -> usize {
        let max_slots = self.spec.slots as usize * self.spec.max_runners as usize;
        MIN_QUEUE_LENGTH.max(max_slots * QUEUED_REQUESTS_PER_SLOT)
    }

    /// Estimates when a request behind `ahead_count` others will be sent, from the requests in flight and the runners
    /// that are ready or starting up.
    pub(super) fn expected_start(&self, now: MonotonicTime, ahead_count: usize) -> MonotonicTime {
        let service_time = self.service_seconds();
        let sources = self.slot_sources(now, service_time);
        let queue_position = ahead_count as f64;
        let mut served = 0.0;
        let mut elapsed = sources[0].0;
        let mut slots = 0.0;
        for (ready_in, ready_slots) in sources {
            let served_by_then = served + (ready_in - elapsed) * slots / service_time;
            if slots > 0.0 && served_by_then >= queue_position - slots {
                break;
            }
            served = served_by_then;
            elapsed = ready_in;
            slots += ready_slots;
        }
        let remaining = (queue_position - slots + 1.0 - served).max(0.0);
        now + Duration::from_secs_f64(elapsed + remaining * service_time / slots.max(1.0))
    }

    /// Returns the smoothed service time in seconds; never zero.
    pub(super) fn service_seconds(&self) -> f64 {
        self.requests
            .service_time
            .as_secs_f64()
            .max(MIN_SERVICE_SECONDS)
    }

    /// Returns when slots become available, as pairs of seconds from now and number of slots, sorted by time; never
    /// empty.
    fn slot_sources(&self, now: MonotonicTime, service_time: f64) -> Vec<(f64, f64)> {
        let slots_per_runner = f64::from(self.spec.slots.max(1));
        let mut sources: Vec<(f64, f64)> = self
            .runners
            .starting()
            .map(|(_, record)| {
                let ready_in = (record.started_at + self.spec.startup)
                    .since(now)
                    .as_secs_f64();
                (ready_in, slots_per_runner)
            })
            .collect();
        let ready_limit = f64::from(self.ready_limit(now).max(self.expected_ready_limit(now)));
        let busy_count = self.requests.in_flight.len() as f64;
        if ready_limit > 0.0 {
            let free_in = if busy_count < ready_limit {
                0.0
            } else {
                service_time / 2.0
            };
            sources.push((free_in, ready_limit));
        } else if sources.is_empty() {
            sources.push((self.spec.startup.as_secs_f64(), slots_per_runner));
        }
        sources.sort_by(|one, other| one.0.total_cmp(&other.0));
        sources
    }

    /// Returns the index of the request to send next. Of the requests that may be sent, this is the oldest one of the
    /// lowest rank that can still meet its target, or else the oldest one of that rank.
    fn next_index(&self, now: MonotonicTime) -> Option<usize> {
        let may_send = |queued: &QueuedRequest| {
            !queued.request.is_recorded_once() || self.replication.is_available()
        };
        let queue = &self.requests.queue;
        let first_index = queue.iter().position(may_send)?;
        let rank = queue[first_index].request.rank;
        let same_rank = queue.iter().enumerate().skip(first_index);
        let timely = same_rank
            .take_while(|(_, queued)| queued.request.rank == rank)
            .find(|(_, queued)| {
                may_send(queued) && now + self.requests.service_time <= queued.target_deadline
            });
        Some(timely.map_or(first_index, |(index, _)| index))
    }

    /// Returns the earliest time at which a queued request has to be rejected unless it is sent before.
    pub(super) fn queue_due(&self) -> Option<MonotonicTime> {
        let half_service = self.requests.service_time / 2;
        self.requests
            .queue
            .iter()
            .map(|queued| {
                queued
                    .queue_deadline
                    .min(queued.request.deadline - half_service)
            })
            .min()
    }

    /// Returns why a request is rejected and the delay after which it may be retried, or `None` if it is admitted.
    pub(super) fn rejection_reason(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
    ) -> Option<(RequestFailureReason, Duration)> {
        if request.is_recorded_once()
            && let Some(once_wait) = self.replication.once_wait(now)
        {
            return Some((RequestFailureReason::OnceNotYetAdmitted, once_wait));
        }
        if request.is_retry && !self.has_retry_budget(now) {
            return Some((
                RequestFailureReason::RetryBudgetSpent,
                BUDGET_SPENT_RETRY_AFTER,
            ));
        }
        if self.requests.queue.len() >= self.queue_limit() {
            return Some((RequestFailureReason::QueueFull, QUEUE_FULL_RETRY_AFTER));
        }
        let start_at = self.expected_start(now, self.requests.queue_index(request.rank));
        let queue_wait_end = now + request.queue_timeout;
        let end_at = start_at + self.requests.service_time;
        if end_at > request.deadline || start_at > queue_wait_end {
            let wait_span = start_at.since(now) + RETRY_MARGIN;
            return Some((RequestFailureReason::DeadlineTooShort, wait_span));
        }
        None
    }

    /// Ends a request without a response. Its outcome is the failure of an earlier attempt if there is one, unknown if
    /// it may have run, and otherwise not run for the given reason.
    pub(super) fn fail_request(
        &mut self,
        now: MonotonicTime,
        queued: QueuedRequest,
        reason: RequestFailureReason,
        retry_after: Duration,
    ) {
        let outcome = match queued.failure {
            Some(failure) => failure,
            None if queued.may_have_run => RequestOutcome::Unknown {
                reason: RequestFailureReason::ResponseLost,
            },
            None => {
                self.requests.set_rejection_reason(reason);
                not_run(
                    reason,
                    retry_after.as_millis().max(MIN_RETRY_AFTER_MS) as u32,
                )
            }
        };
        self.end_request(now, queued.request, outcome);
    }

    /// Rejects the queued requests that can no longer be completed in time. Each is removed from the queue before it is
    /// rejected.
    pub(super) fn reject_late(&mut self, now: MonotonicTime) {
        let mut still_queued = VecDeque::new();
        for queued in std::mem::take(&mut self.requests.queue) {
            let start_at = self.expected_start(now, still_queued.len());
            if self.is_late(now, &queued, start_at) {
                let reason = if self.runners.is_empty() {
                    RequestFailureReason::NoRunnerAvailable
                } else {
                    RequestFailureReason::DeadlineTooShort
                };
                let retry_after = start_at.since(now) + RETRY_MARGIN;
                self.fail_request(now, queued, reason, retry_after);
            } else {
                still_queued.push_back(queued);
            }
        }
        self.requests.queue = still_queued;
        if !self.rules.enforces(Rule::RejectedNeverRuns) {
            self.reject_in_flight(now);
        }
    }

    fn is_late(&self, now: MonotonicTime, queued: &QueuedRequest, start_at: MonotonicTime) -> bool {
        now >= queued.queue_deadline
            || now + self.requests.service_time / 2 > queued.request.deadline
            || (self.ready_limit(now) == 0 && start_at > queued.queue_deadline)
    }

    /// Rejects requests that were already sent to a runner. Only reached when a test disables the rule that forbids
    /// this.
    fn reject_in_flight(&mut self, now: MonotonicTime) {
        let service_time = self.requests.service_time;
        let overdue_tickets: Vec<Ticket> = self
            .requests
            .in_flight
            .iter()
            .filter(|(_, in_flight)| now.since(in_flight.sent_at) > service_time)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue_tickets {
            if let Some(in_flight) = self.requests.in_flight.remove(&ticket) {
                self.fail_request(
                    now,
                    in_flight.queued,
                    RequestFailureReason::DeadlineTooShort,
                    Duration::ZERO,
                );
            }
        }
    }

    /// Sends queued requests to runners with a free slot.
    pub(super) fn dispatch(&mut self, now: MonotonicTime) {
        while !self.lifecycle.is_closed() {
            let Some(queued_index) = self.next_index(now) else {
                return;
            };
            let Some(runner) = self.runners.least_busy_free(now) else {
                return;
            };
            if self.dispatch_to(now, queued_index, runner).is_none() {
                return;
            }
        }
    }

    /// Assigns a queued request to a runner's slot, and sends it unless it has to be replicated first.
    fn dispatch_to(
        &mut self,
        now: MonotonicTime,
        queued_index: usize,
        runner: RunnerId,
    ) -> Option<()> {
        let record = self.runners.get_mut(runner)?;
        let address = record.address()?;
        let queued = self.requests.queue.remove(queued_index)?;
        record.occupy_slot(now, queued.request.ticket);
        let busy_count = record.busy_count();
        self.check_dispatch(&queued, runner, busy_count);
        let is_once = queued.request.is_recorded_once();
        let (ticket, attempt) = (queued.request.ticket, queued.attempt);
        self.requests.in_flight.insert(
            ticket,
            InFlight {
                queued,
                runner,
                sent_at: now,
            },
        );
        if !is_once || !self.replicate_before_send(now, ticket) {
            self.emit_send(ticket, runner, address, attempt);
        }
        Some(())
    }

    fn check_dispatch(&self, queued: &QueuedRequest, runner: RunnerId, busy_count: usize) {
        let slots = self.runners.max_slots().max(1) as usize;
        require(
            self.rules,
            Invariant::SlotsRespected,
            busy_count <= slots,
            || format!("{busy_count} requests at once on {runner}, which has {slots} slots"),
        );
        let may_send = !(queued.request.once && queued.may_have_run);
        require(self.rules, Invariant::OnceSentOnce, may_send, || {
            format!(
                "once-only request {} is sent again, to {runner}",
                queued.request.idempotency_key
            )
        });
    }

    pub(super) fn emit_send(
        &mut self,
        ticket: Ticket,
        runner: RunnerId,
        address: SocketAddress,
        attempt: u32,
    ) {
        self.requests.sent_to_runner.insert(ticket);
        self.outputs.push(HolderOutput::Send {
            ticket,
            runner,
            address,
            attempt,
        });
    }
}
