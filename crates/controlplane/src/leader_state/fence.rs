//! Fencing: the runners of a lost holder are orphaned or stopped before the function is leased again.

use super::function_leases::OrderAuthority;
use super::reservations::Reservation;
use super::{EventDetail, LeaderOutput, LeaderState};
use common::adapter::StopOrder;
use common::clock::MonotonicTime;
use common::events;
use common::frames::{KnownMember, LeaderToDaemon};
use common::identity::{FunctionKey, MemberName, RunnerId};
use common::rules::Rule;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time without contact after which a holder counts as lost, if the rule that session leases are waited out is lifted.
const UNSAFE_EXPIRY_AFTER: Duration = Duration::from_millis(400);

/// Interval until the next sweep if no member is left to sweep. A member that joins schedules one earlier.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Holder name in orders to stop a runner of a function that no daemon is known to have held.
const LEADER_AS_HOLDER: &str = "leader";

/// Interval between checks for expired orphans and unconfirmed stops.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// The functions whose leases are being fenced, and when to check for more.
pub(super) struct Fencing {
    functions: BTreeSet<FunctionKey>,
    pub check_due: bool,
    checked_at: MonotonicTime,
    /// The earliest end of a session lease whose end is not handled yet; until then no sweep is needed.
    next_sweep_at: MonotonicTime,
}

impl Fencing {
    /// Creates the state without fenced functions. The first check is due immediately.
    pub(super) fn new() -> Self {
        Self {
            functions: BTreeSet::new(),
            check_due: true,
            checked_at: MonotonicTime::ZERO,
            next_sweep_at: MonotonicTime::ZERO,
        }
    }

    /// Removes a function whose lease has ended.
    pub(super) fn finish(&mut self, function: &FunctionKey) {
        self.functions.remove(function);
    }

    /// Makes the next sweep due immediately, because a session lease has begun or may end earlier than expected.
    pub(super) fn schedule_sweep(&mut self) {
        self.next_sweep_at = MonotonicTime::ZERO;
    }
}

impl LeaderState {
    /// Ends the leases of lost holders. Their runners are orphaned or stopped by the platform, and no function is
    /// leased again before that.
    pub(super) fn progress_fencing(&mut self, now: MonotonicTime) {
        if !self.claims.is_reached {
            return;
        }
        self.sweep_expired_leases(now);
        let is_due = now.since(self.fencing.checked_at) >= CHECK_INTERVAL;
        if is_due {
            self.fencing.checked_at = now;
            self.stop_expired_orphans(now);
            self.retry_stops(now);
        }
        self.order_stops(now);
        if std::mem::take(&mut self.fencing.check_due) || is_due {
            self.clear_fenced(now);
        }
    }

    /// Fences the functions of members whose session leases have ended. Members are scanned only when a lease can have
    /// ended since the last scan, because the cost of an input must not grow with their number.
    fn sweep_expired_leases(&mut self, now: MonotonicTime) {
        let waits_out_leases = self.rules.enforces(Rule::LeaseExpiredBeforeRegrant);
        if waits_out_leases && now < self.fencing.next_sweep_at {
            return;
        }
        let lost_members: Vec<KnownMember> = self
            .members
            .iter()
            .filter(|(_, record)| {
                let is_early =
                    !waits_out_leases && now.since(record.last_contact_at) > UNSAFE_EXPIRY_AFTER;
                !record.is_expiry_handled && (now >= record.lease_expiry_bound || is_early)
            })
            .map(|(known_member, _)| known_member.clone())
            .collect();
        for lost_member in lost_members {
            if let Some(record) = self.members.get_mut(&lost_member) {
                record.is_expiry_handled = true;
                let lease_end = record.lease_expiry_bound;
                self.lease_records
                    .set_lost_lease_end(&lost_member, lease_end);
            }
            self.fence_all_held_by(now, &lost_member);
        }
        let unhandled = self
            .members
            .records()
            .filter(|record| !record.is_expiry_handled);
        let next_end = unhandled.map(|record| record.lease_expiry_bound).min();
        self.fencing.next_sweep_at = next_end.unwrap_or(now + IDLE_SWEEP_INTERVAL);
    }

    /// Fences every function of a member whose session lease is over.
    pub(super) fn fence_all_held_by(&mut self, now: MonotonicTime, holder: &KnownMember) {
        let held_functions: Vec<FunctionKey> = self
            .lease_records
            .all_of(holder)
            .filter(|(_, entry)| entry.fencing_since.is_none())
            .map(|(function, _)| function.clone())
            .collect();
        for held_function in held_functions {
            self.begin_fencing(now, &held_function);
            let Some(entry) = self.lease_records.get(&held_function) else {
                continue;
            };
            let detail = EventDetail::Lease {
                function: held_function,
                member: entry.holder.member.clone(),
                fencing_token: entry.fencing_token,
            };
            self.record_event(events::FENCING_STARTED, detail);
        }
    }

    /// Begins to fence the lease of a holder that has lost the function: each of its runners is orphaned or stopped.
    pub(super) fn begin_fencing(&mut self, now: MonotonicTime, function: &FunctionKey) {
        let Some(entry) = self.lease_records.get_mut(function) else {
            return;
        };
        if entry.fencing_since.is_some() {
            return;
        }
        entry.fencing_since = Some(now);
        let fencing_token = entry.fencing_token;
        self.fencing.functions.insert(function.clone());
        self.acquisitions.check_due = true;
        self.fencing.check_due = true;
        let held_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .filter(|(runner, reservation)| {
                runner.fencing_token == fencing_token && !reservation.is_orphaned()
            })
            .map(|(runner, _)| runner)
            .collect();
        for held_runner in held_runners {
            self.orphan_or_stop(now, held_runner);
        }
    }

    /// Orphans a runner without a holder if the next holder can adopt it, and otherwise stops it.
    pub(super) fn orphan_or_stop(&mut self, now: MonotonicTime, runner: RunnerId) {
        let Some(reservation) = self.reservations.get(runner) else {
            return;
        };
        let is_wanted = self
            .configuration
            .table
            .function_of(&reservation.function)
            .is_some();
        let is_on_usable_worker =
            !self.workers.are_listed() || self.is_worker_usable(&reservation.worker);
        if reservation.is_adoptable() && is_wanted && is_on_usable_worker {
            let detail = EventDetail::Runner {
                function: reservation.function.clone(),
                runner,
                worker: reservation.worker.clone(),
            };
            self.reservations.mark_orphaned(runner, now);
            self.record_event(events::RUNNER_ORPHANED, detail);
        } else {
            self.reservations.mark_stopping(runner);
        }
    }

    /// Stops orphaned runners that were not adopted in time.
    fn stop_expired_orphans(&mut self, now: MonotonicTime) {
        let orphan_timeout = self.timing.orphan_timeout;
        let reached_at = self.claims.reached_at;
        let expired_orphans: Vec<RunnerId> = self
            .reservations
            .orphaned()
            .iter()
            .copied()
            .filter(|runner| {
                let orphaned_since = self
                    .reservations
                    .get(*runner)
                    .and_then(Reservation::orphaned_since);
                orphaned_since
                    .is_none_or(|since| now.since(since.max(reached_at)) >= orphan_timeout)
            })
            .collect();
        for expired_orphan in expired_orphans {
            self.reservations.mark_stopping(expired_orphan);
        }
    }

    /// Repeats stop orders that were not confirmed in time.
    fn retry_stops(&mut self, now: MonotonicTime) {
        let stop_retry_after = self.timing.stop_retry_after;
        let overdue_runners: Vec<RunnerId> = self
            .reservations
            .stopping()
            .iter()
            .copied()
            .filter(|runner| {
                let requested_at = self
                    .reservations
                    .get(*runner)
                    .and_then(Reservation::stop_ordered_at);
                requested_at.is_some_and(|requested_at| now.since(requested_at) >= stop_retry_after)
            })
            .collect();
        for overdue_runner in overdue_runners {
            self.reservations.mark_stopping(overdue_runner);
        }
    }

    fn order_stops(&mut self, now: MonotonicTime) {
        for due_runner in self.reservations.take_due_stops() {
            self.reservations.note_stop_ordered(due_runner, now);
            let Some(function) = self
                .reservations
                .get(due_runner)
                .map(|reservation| reservation.function.clone())
            else {
                continue;
            };
            let authority = self.stop_authority(&function);
            let Some(reservation) = self.reservations.get(due_runner) else {
                continue;
            };
            self.outputs.push(LeaderOutput::StopRunner(StopOrder {
                runner: due_runner,
                function: reservation.function.clone(),
                worker: reservation.worker.clone(),
                instance: reservation
                    .instance
                    .as_ref()
                    .map(|instance| instance.name.clone()),
                member: authority.member,
                fencing_token: authority.fencing_token,
            }));
        }
    }

    /// Returns the authority for stopping a runner of a function. The platform must see neither two holders under one
    /// fencing token nor a token lower than one that it has seen. A stop is therefore ordered under the function's
    /// current lease, else under its last one, and under a new token of the leader only if neither is known.
    fn stop_authority(&mut self, function: &FunctionKey) -> OrderAuthority {
        self.lease_records
            .order_authority(function)
            .unwrap_or_else(|| OrderAuthority {
                member: MemberName::from(LEADER_AS_HOLDER),
                fencing_token: self.next_fencing_token(),
            })
    }

    /// Ends each fenced lease whose runners are all orphaned or confirmed as stopped.
    fn clear_fenced(&mut self, now: MonotonicTime) {
        if self.fencing.functions.is_empty() {
            return;
        }
        let needs_stops = self.rules.enforces(Rule::FenceBeforeRegrant);
        let cleared_functions: Vec<(FunctionKey, MonotonicTime)> = self
            .fencing
            .functions
            .iter()
            .filter_map(|function| {
                let entry = self.lease_records.get(function)?;
                let has_unfinished_runners =
                    self.reservations
                        .all_of(function)
                        .any(|(runner, reservation)| {
                            runner.fencing_token == entry.fencing_token
                                && !reservation.is_orphaned()
                        });
                let is_complete = !has_unfinished_runners || !needs_stops;
                is_complete.then(|| (function.clone(), entry.fencing_since.unwrap_or(now)))
            })
            .collect();
        for (cleared_function, fencing_since) in cleared_functions {
            self.end_lease(now, &cleared_function, fencing_since);
            let detail = EventDetail::Function {
                function: cleared_function,
            };
            self.record_event(events::FENCING_FINISHED, detail);
        }
    }

    /// Handles the platform's confirmation that a runner has stopped and will never start.
    pub fn handle_runner_stopped(&mut self, runner: RunnerId) {
        let runner = self.reservations.current_name(runner);
        self.acquisitions.check_due = true;
        self.fencing.check_due = true;
        if let Some(reservation) = self.reservations.end(runner) {
            let detail = EventDetail::Runner {
                function: reservation.function,
                runner,
                worker: reservation.worker,
            };
            self.record_event(events::RUNNER_STOPPED, detail);
        }
    }

    /// Handles a runner that has ended without an order: its memory is freed and its holder is notified.
    pub(super) fn handle_runner_vanished(&mut self, runner: RunnerId) {
        let Some(reservation) = self.reservations.get(runner) else {
            return;
        };
        let function = reservation.function.clone();
        let detail = EventDetail::Runner {
            function: function.clone(),
            runner,
            worker: reservation.worker.clone(),
        };
        let stream = self
            .lease_records
            .get(&function)
            .filter(|entry| entry.fencing_token == runner.fencing_token)
            .and_then(|entry| self.members.stream_of(&entry.holder));
        self.reservations.end(runner);
        self.acquisitions.check_due = true;
        self.fencing.check_due = true;
        self.record_event(events::RUNNER_UNLISTED, detail);
        if let Some(stream) = stream {
            self.send_frame(stream, LeaderToDaemon::RunnerUnlisted { function, runner });
        }
    }
}
