//! The inbox of a holder: how long it may grow, who goes first, who is refused, what is sent next.

use super::runners::Phase;
use super::{AdmissionRequest, Holder, HolderOutput, InFlight, QueuedRequest, not_run};
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome, SocketAddress};
use common::identity::{RunnerId, Ticket};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

const MIN_QUEUE_LENGTH: usize = 32;
/// The inbox takes what all the runners that a function may have would run in so many turns. It bounds the memory
/// only: what would not be sent in time is refused by the time that it would have to wait.
const QUEUED_REQUESTS_PER_SLOT: usize = 16;

impl Holder {
    fn ready_limit(&self, now: MonotonicTime) -> u32 {
        let ready_runners = self
            .runners
            .values()
            .filter(|record| record.phase == Phase::Ready);
        ready_runners.fold(0, |all, record| {
            all.saturating_add(record.current_limit(now))
        })
    }

    fn expected_ready_limit(&self, now: MonotonicTime) -> u32 {
        let ready_runners = self
            .runners
            .values()
            .filter(|record| record.phase == Phase::Ready);
        ready_runners
            .map(|record| record.expected_limit(now).min(self.spec.slots.max(1)))
            .sum()
    }

    fn queue_limit(&self) -> usize {
        let max_slots = self.spec.slots as usize * self.spec.max_runners as usize;
        MIN_QUEUE_LENGTH.max(max_slots * QUEUED_REQUESTS_PER_SLOT)
    }

    /// When a transaction behind so many others would be sent to a runner, by what runs and boots.
    pub(super) fn expected_start(&self, now: MonotonicTime, ahead_count: usize) -> MonotonicTime {
        let service_time = self.service_time.as_secs_f64().max(0.001);
        let mut sources: Vec<(f64, f64)> = self
            .runners
            .values()
            .filter(|record| matches!(record.phase, Phase::StartRequested | Phase::StartingUp))
            .map(|record| {
                let ready_in = (record.started_at + self.spec.startup)
                    .since(now)
                    .as_secs_f64();
                (ready_in, f64::from(self.spec.slots.max(1)))
            })
            .collect();
        let ready_limit = f64::from(self.ready_limit(now).max(self.expected_ready_limit(now)));
        let busy_count = self.in_flight.len() as f64;
        if ready_limit > 0.0 {
            let free_in = if busy_count < ready_limit {
                0.0
            } else {
                service_time / 2.0
            };
            sources.push((free_in, ready_limit));
        } else if sources.is_empty() {
            sources.push((
                self.spec.startup.as_secs_f64(),
                f64::from(self.spec.slots.max(1)),
            ));
        }
        sources.sort_by(|one, other| one.0.total_cmp(&other.0));
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

    /// Where one of a rank goes: behind those of its own rank and of lower ones.
    pub(super) fn queue_index(&self, rank: u8) -> usize {
        self.queue
            .partition_point(|queued| queued.request.rank <= rank)
    }

    /// Which one goes next: of the first rank that may be sent, the oldest whose target can still be met,
    /// else the oldest.
    fn next_index(&self, now: MonotonicTime) -> Option<usize> {
        let may_send = |queued: &QueuedRequest| {
            !queued.request.is_recorded_once() || self.replication.is_available()
        };
        let first_index = self.queue.iter().position(may_send)?;
        let rank = self.queue[first_index].request.rank;
        let same_rank = self.queue.iter().enumerate().skip(first_index);
        let timely = same_rank
            .take_while(|(_, queued)| queued.request.rank == rank)
            .find(|(_, queued)| {
                may_send(queued) && now + self.service_time <= queued.target_deadline
            });
        Some(timely.map_or(first_index, |(address, _)| address))
    }

    /// When a transaction that waits is to be given up, if none goes to a runner before.
    pub(super) fn queue_due(&self) -> Option<MonotonicTime> {
        let half_service = self.service_time / 2;
        self.queue
            .iter()
            .map(|queued| {
                queued
                    .queue_deadline
                    .min(queued.request.deadline - half_service)
            })
            .min()
    }

    pub(super) fn rejection_reason(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
    ) -> Option<(RequestFailureReason, Duration)> {
        if request.is_recorded_once()
            && !self.replication.is_collecting()
            && now < self.once_allowed_from
        {
            return Some((
                RequestFailureReason::OnceNotYetAdmitted,
                self.once_allowed_from.since(now),
            ));
        }
        if request.repeat && !self.has_retry_budget(now) {
            return Some((
                RequestFailureReason::RetryBudgetSpent,
                Duration::from_secs(2),
            ));
        }
        if self.queue.len() >= self.queue_limit() {
            return Some((RequestFailureReason::QueueFull, Duration::from_secs(1)));
        }
        let start_at = self.expected_start(now, self.queue_index(request.rank));
        let queue_wait_end = now + request.queue_timeout;
        if start_at + self.service_time > request.deadline || start_at > queue_wait_end {
            let wait_span = start_at.since(now) + Duration::from_millis(100);
            return Some((RequestFailureReason::DeadlineTooShort, wait_span));
        }
        None
    }

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
                self.last_rejection_reason = reason;
                not_run(reason, retry_after.as_millis().max(100) as u32)
            }
        };
        self.end(now, queued.request, outcome);
    }

    /// Refuses at once what can no longer be finished; it leaves the inbox before it is refused.
    pub(super) fn reject_late(&mut self, now: MonotonicTime) {
        let mut still_queued = std::collections::VecDeque::new();
        for queued in std::mem::take(&mut self.queue) {
            let start_at = self.expected_start(now, still_queued.len());
            let is_late = now >= queued.queue_deadline
                || now + self.service_time / 2 > queued.request.deadline
                || (self.ready_limit(now) == 0 && start_at > queued.queue_deadline);
            if is_late {
                let has_runner = !self.runners.is_empty();
                let reason = if has_runner {
                    RequestFailureReason::DeadlineTooShort
                } else {
                    RequestFailureReason::NoRunnerAvailable
                };
                let retry_after = start_at.since(now) + Duration::from_millis(100);
                self.fail_request(now, queued, reason, retry_after);
            } else {
                still_queued.push_back(queued);
            }
        }
        self.queue = still_queued;
        if !self.rules.enforces(Rule::RejectedNeverRuns) {
            self.reject_in_flight(now);
        }
    }

    /// What must never be: a refusal of what a runner was given.
    fn reject_in_flight(&mut self, now: MonotonicTime) {
        let overdue_tickets: Vec<Ticket> = self
            .in_flight
            .iter()
            .filter(|(_, in_flight)| now.since(in_flight.sent_at) > self.service_time)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue_tickets {
            if let Some(in_flight) = self.in_flight.remove(&ticket) {
                self.fail_request(
                    now,
                    in_flight.queued,
                    RequestFailureReason::DeadlineTooShort,
                    Duration::ZERO,
                );
            }
        }
    }

    /// Sends what waits to runners with a free slot.
    pub(super) fn dispatch(&mut self, now: MonotonicTime) {
        while !self.closed {
            let Some(queued_index) = self.next_index(now) else {
                return;
            };
            let Some(runner) = self.free_runner(now) else {
                return;
            };
            let Some(queued) = self.queue.remove(queued_index) else {
                return;
            };
            let is_once = queued.request.is_recorded_once();
            let Some(record) = self.runners.get_mut(&runner) else {
                return;
            };
            let Some(address) = record.address() else {
                return;
            };
            record.occupy_slot(now, queued.request.idempotency_key.clone());
            let (busy_count, slots) = (record.busy_count(), self.max_slots.max(1) as usize);
            require(
                self.rules,
                Invariant::SlotsRespected,
                busy_count <= slots,
                || format!("{busy_count} at once on {runner} of {slots} slots"),
            );
            let ticket = queued.request.ticket;
            let attempt = queued.attempt;
            let may_send = !(queued.request.once && queued.may_have_run);
            require(self.rules, Invariant::OnceSentOnce, may_send, || {
                format!(
                    "{} is sent again to {runner}",
                    queued.request.idempotency_key
                )
            });
            self.in_flight.insert(
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
        }
    }

    pub(super) fn emit_send(
        &mut self,
        ticket: Ticket,
        runner: RunnerId,
        address: SocketAddress,
        attempt: u32,
    ) {
        self.sent_to_runner.insert(ticket);
        self.outputs.push(HolderOutput::Send {
            ticket,
            runner,
            address,
            attempt,
        });
    }

    fn free_runner(&self, now: MonotonicTime) -> Option<RunnerId> {
        self.runners
            .iter()
            .filter(|(_, record)| record.has_free_slot(now))
            .min_by_key(|(_, record)| record.busy_count())
            .map(|(runner, _)| *runner)
    }
}
