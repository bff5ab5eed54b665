use super::events::{EventFields, LeaseFields, LeaseGrantedFields, RejectionsFields, RunnerFields};
use super::{LeaderState, LeaseRecord, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{
    AcquireResult, ClaimedRunner, KnownMember, LeaderToDaemon, LengthPrefixed, PreviousLease,
    RequestFailureReason, RunnerStatus,
};
use common::identity::{CorrelationId, FencingToken, FunctionKey, RunnerId};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::collections::BTreeMap;
use std::time::Duration;

/// A holder that has not renewed its member grant for so long is not named as an owner: the asker
/// waits until it is heard again, or has lost the function.
const STALE_HOLDER_AFTER: Duration = Duration::from_millis(1000);

/// How long the platform takes to stop a lost holder's runners, as a rule.
const EXPECTED_FENCING_TIME: Duration = Duration::from_millis(100);
/// How long after an election daemons that are alive have claimed, as a rule.
const EXPECTED_CLAIMS_TIME: Duration = Duration::from_millis(700);
/// Open questions are looked at again so often although nothing has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a question is kept open.
const ACQUISITION_TIMEOUT: Duration = Duration::from_secs(6);
/// A shorter wait is waited out with the question open.
const MIN_ANNOUNCED_WAIT: Duration = Duration::from_millis(200);

/// A member's request for a function lease, or for the name of its holder.
pub(super) struct PendingAcquisition {
    pub stream: StreamId,
    pub correlation: CorrelationId,
    pub function: FunctionKey,
    pub requested_at: MonotonicTime,
    pub delay_announced: bool,
}

/// The requests that have no final answer yet.
pub(super) struct Acquisitions {
    pending: Vec<PendingAcquisition>,
    pub check_due: bool,
    checked_at: MonotonicTime,
}

impl Acquisitions {
    pub fn new() -> Self {
        Self {
            pending: Vec::new(),
            check_due: true,
            checked_at: MonotonicTime::ZERO,
        }
    }

    pub fn add(&mut self, acquisition: PendingAcquisition) {
        self.pending.push(acquisition);
    }

    /// Drops the requests of a stream that has ended.
    pub fn forget(&mut self, stream: StreamId) {
        self.pending
            .retain(|acquisition| acquisition.stream != stream);
    }

    /// All requests, if something has changed that an answer may depend on or the interval is over.
    fn take_due(&mut self, now: MonotonicTime) -> Vec<PendingAcquisition> {
        let is_due = now.since(self.checked_at) >= CHECK_INTERVAL;
        if !is_due && !std::mem::take(&mut self.check_due) {
            return Vec::new();
        }
        self.check_due = false;
        self.checked_at = now;
        std::mem::take(&mut self.pending)
    }
}

/// When functions may again get requests that must not run twice: while a request of an earlier holder may
/// still be under way, such a request waits or is answered from the earlier holder's replica.
#[derive(Default)]
pub(super) struct OnceDelays {
    allowed_from: BTreeMap<FunctionKey, MonotonicTime>,
    previous_leases: BTreeMap<FunctionKey, PreviousLease>,
}

impl OnceDelays {
    /// A lease has ended; `previous_lease` is there if its replica has the complete ledger.
    fn lease_ended(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        allowed_from: MonotonicTime,
        previous_lease: Option<PreviousLease>,
    ) {
        match previous_lease {
            Some(previous_lease) => self
                .previous_leases
                .insert(function.clone(), previous_lease),
            None => self.previous_leases.remove(function),
        };
        self.allowed_from.insert(function.clone(), allowed_from);
        self.allowed_from
            .retain(|_, retained_until| *retained_until > now);
        let allowed_from = &self.allowed_from;
        self.previous_leases
            .retain(|remaining, _| allowed_from.contains_key(remaining));
    }
}

impl LeaderState {
    /// Answers each acquisition that can be answered: grants to the asker when nobody holds, and says
    /// how long it will be if that is known.
    pub(super) fn answer_acquisitions(&mut self, now: MonotonicTime) {
        for acquisition in self.acquisitions.take_due(now) {
            let Some(result) = self.decide_acquisition(now, &acquisition) else {
                self.keep_pending(now, acquisition);
                continue;
            };
            let PendingAcquisition {
                stream,
                correlation,
                function,
                ..
            } = acquisition;
            self.send_frame(
                stream,
                LeaderToDaemon::Acquired {
                    correlation,
                    function,
                    result,
                },
            );
        }
    }

    /// Keeps a question open, and says once how long it will be.
    fn keep_pending(&mut self, now: MonotonicTime, mut acquisition: PendingAcquisition) {
        if now.since(acquisition.requested_at) >= ACQUISITION_TIMEOUT {
            return;
        }
        if !acquisition.delay_announced
            && let Some(result) = self.estimate_wait(now, &acquisition)
        {
            acquisition.delay_announced = true;
            let (correlation, function) = (acquisition.correlation, acquisition.function.clone());
            self.send_frame(
                acquisition.stream,
                LeaderToDaemon::Acquired {
                    correlation,
                    function,
                    result,
                },
            );
        }
        self.acquisitions.add(acquisition);
    }

    /// When a function that cannot be granted now could be: when the member grant of a holder whose
    /// stream is lost has ended, or when a claims quorum that lacks a daemon has waited for it. A
    /// holder that is merely silent may be back any moment, and nothing is foretold.
    fn estimate_wait(
        &self,
        now: MonotonicTime,
        acquisition: &PendingAcquisition,
    ) -> Option<AcquireResult> {
        let due_at = if self.claims.is_open {
            let entry = self.lease_records.get(&acquisition.function)?;
            if entry.fencing_since.is_some() || entry.handing_over {
                return None;
            }
            let holder_record = self.members.records.get(&entry.holder)?;
            if holder_record.stream.is_some() {
                return None;
            }
            holder_record.lease_expiry_bound + EXPECTED_FENCING_TIME
        } else if now.since(self.elected_at) > EXPECTED_CLAIMS_TIME
            && !self.lease_records.contains(&acquisition.function)
        {
            self.elected_at
                + self.timing.claims_wait
                + self.timing.start_settle
                + EXPECTED_FENCING_TIME
        } else {
            return None;
        };
        let wait_span = due_at.since(now);
        (wait_span > MIN_ANNOUNCED_WAIT).then_some(AcquireResult::RetryLater {
            wait_ms: wait_span.as_millis() as u32,
        })
    }

    /// Names the owner, also while the claims quorum is waited for; grants only when that stands.
    fn decide_acquisition(
        &mut self,
        now: MonotonicTime,
        acquisition: &PendingAcquisition,
    ) -> Option<AcquireResult> {
        let requester = self.members.streams.get(&acquisition.stream).cloned()?;
        if let Some(entry) = self.lease_records.get(&acquisition.function) {
            if entry.fencing_since.is_some() || entry.handing_over {
                return None;
            }
            let holder_record = self.members.records.get(&entry.holder)?;
            if entry.holder == requester {
                if !self.claims.is_open {
                    return None;
                }
                return Some(AcquireResult::Granted {
                    fencing_token: entry.fencing_token,
                    once_wait_ms: 0,
                    replica: LengthPrefixed(entry.replica.iter().cloned().collect()),
                    previous_lease: LengthPrefixed(Vec::new()),
                    adopted: LengthPrefixed(Vec::new()),
                });
            }
            let is_answerable = holder_record.stream.is_some()
                && now < holder_record.lease_expires_at
                && now.since(holder_record.last_heard_at) < STALE_HOLDER_AFTER
                && holder_record.is_self_eligible;
            return is_answerable.then(|| AcquireResult::Owner {
                host: holder_record.host.clone(),
            });
        }
        if !self.claims.is_open {
            return None;
        }
        let has_runners = self
            .reservations
            .all_of(&acquisition.function)
            .any(|(_, reservation)| !reservation.is_orphaned());
        if has_runners && self.rules.enforces(Rule::FenceBeforeRegrant) {
            return None;
        }
        if self
            .configuration
            .table
            .function_of(&acquisition.function)
            .is_none()
        {
            let installed = self
                .members
                .records
                .get(&requester)
                .map(|record| record.installed);
            let newest = self
                .configuration
                .document
                .as_ref()
                .map(|document| document.view_version());
            return (installed <= newest).then_some(AcquireResult::Rejected);
        }
        if !self
            .members
            .records
            .get(&requester)
            .is_some_and(|record| record.host.eligible.0)
        {
            return Some(AcquireResult::Rejected);
        }
        if !self.is_serving(&requester, now) || self.waits_for_wide_link_requester(now, acquisition)
        {
            return None;
        }
        if !self.check_orphans(&acquisition.function) {
            return None;
        }
        if self.may_have_unlisted(&acquisition.function) {
            return None;
        }
        if acquisition.function.is_regional() && !self.check_unknown_keys(&acquisition.function) {
            return None;
        }
        self.check_claims_quorum(now, &acquisition.function);
        let fencing_token = self.next_fencing_token();
        let is_recorded = self.is_recorded(&acquisition.function);
        let once_allowed_from = self
            .once_delays
            .allowed_from
            .get(&acquisition.function)
            .copied()
            .unwrap_or_default();
        let once_safe_from = once_allowed_from.max(self.once_safe_from(&acquisition.function));
        let once_wait = if is_recorded {
            once_safe_from.since(now)
        } else {
            Duration::ZERO
        };
        let adopted = self.adopt_orphans(&acquisition.function, fencing_token);
        let fields = LeaseGrantedFields {
            function: &acquisition.function,
            member: &requester.member,
            fencing_token,
            once_wait_ms: once_wait.as_millis() as u64,
            adopted: adopted.len(),
        };
        self.record_event(events::LEASE_GRANTED, fields);
        let replica = if is_recorded {
            self.choose_replica(now, &acquisition.function, &requester, None)
        } else {
            None
        };
        let previous_lease = self
            .once_delays
            .previous_leases
            .get(&acquisition.function)
            .filter(|_| !once_wait.is_zero())
            .cloned();
        let entry = LeaseRecord {
            holder: requester,
            fencing_token,
            fencing_since: None,
            lost_lease_end: None,
            handing_over: false,
            replica: replica.clone(),
            complete: once_wait.is_zero(),
        };
        self.lease_records
            .insert(acquisition.function.clone(), entry);
        Some(AcquireResult::Granted {
            fencing_token,
            once_wait_ms: once_wait.as_millis() as u32,
            replica: LengthPrefixed(replica.into_iter().collect()),
            previous_lease: LengthPrefixed(previous_lease.into_iter().collect()),
            adopted: LengthPrefixed(adopted),
        })
    }

    /// Nobody who may hold the function under an earlier leader is left out: the old leases have all ended, or all
    /// that were waited for have claimed.
    fn check_claims_quorum(&self, now: MonotonicTime, function: &FunctionKey) {
        let has_waited = now >= self.elected_at + self.timing.claims_wait;
        let is_awaited = self.claims.all_claimed || has_waited || self.claims.inherits_no_functions;
        require(
            self.rules,
            Invariant::GrantedAfterClaims,
            is_awaited,
            || format!("{function} is granted before the claims quorum stands"),
        );
    }

    /// Whether a function's once-transactions are noted elsewhere and waited for.
    fn is_recorded(&self, function: &FunctionKey) -> bool {
        self.configuration
            .table
            .index_of(function)
            .is_none_or(|index| self.configuration.table.is_recorded(index))
    }

    /// A function whose ledger has come to be wanted gets a steward.
    pub(super) fn assign_replicas(&mut self, now: MonotonicTime) {
        if !std::mem::take(&mut self.replica_assignment_due) {
            return;
        }
        let functions_without_replica: Vec<(FunctionKey, FencingToken, KnownMember)> = self
            .lease_records
            .iter()
            .filter(|(_, entry)| entry.replica.is_none() && entry.fencing_since.is_none())
            .filter(|(function, _)| self.is_recorded(function))
            .map(|(function, entry)| (function.clone(), entry.fencing_token, entry.holder.clone()))
            .collect();
        for (function, fencing_token, holder) in functions_without_replica {
            let stream = self
                .members
                .records
                .get(&holder)
                .and_then(|record| record.stream);
            let replica = self.choose_replica(now, &function, &holder, None);
            let (Some(stream), Some(replica)) = (stream, replica) else {
                continue;
            };
            if let Some(entry) = self.lease_records.get_mut(&function) {
                entry.replica = Some(replica.clone());
                entry.complete = false;
            }
            let replica = LengthPrefixed(vec![replica]);
            self.send_frame(
                stream,
                LeaderToDaemon::ReplicaAssigned {
                    function,
                    fencing_token,
                    replica,
                },
            );
        }
    }

    /// Whether every runner left of a function can still be taken over; one that cannot is stopped
    /// first.
    fn check_orphans(&mut self, function: &FunctionKey) -> bool {
        let unadoptable_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| reservation.is_orphaned())
            .filter(|(_, reservation)| {
                !reservation.is_adoptable()
                    || (self.workers.are_listed && !self.is_worker_usable(&reservation.worker))
            })
            .map(|(runner, _)| runner)
            .collect();
        for unadoptable_runner in &unadoptable_runners {
            self.reservations.want_stop(*unadoptable_runner);
        }
        unadoptable_runners.is_empty() || !self.rules.enforces(Rule::FenceBeforeRegrant)
    }

    /// Whether no runner is left of a function that may be an earlier one of this key. Under which key a runner was
    /// started the platform may not tell, so it stands among those for all regions; before a region's key is
    /// granted such runners are stopped.
    fn check_unknown_keys(&mut self, function: &FunctionKey) -> bool {
        let unknown_runners = self.reservations.with_unknown_key(function);
        let orphaned_runners = unknown_runners.iter().filter(|runner| {
            self.reservations
                .get(**runner)
                .is_some_and(|reservation| reservation.is_orphaned())
        });
        for orphaned_runner in orphaned_runners.copied().collect::<Vec<RunnerId>>() {
            self.reservations.want_stop(orphaned_runner);
        }
        unknown_runners.is_empty() || !self.rules.enforces(Rule::FenceBeforeRegrant)
    }

    /// The runners left of a function go to its next holder, under new names.
    fn adopt_orphans(
        &mut self,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Vec<ClaimedRunner> {
        let orphaned_runners: Vec<RunnerId> = self
            .reservations
            .all_of(function)
            .filter(|(_, reservation)| reservation.is_orphaned())
            .map(|(runner, _)| runner)
            .collect();
        let is_once = self.rules.enforces(Rule::InstanceAdoptedOnce);
        let mut adopted = Vec::new();
        for orphaned_runner in orphaned_runners {
            let runner = RunnerId {
                fencing_token,
                ordinal: self.next_fencing_token().0,
            };
            if is_once {
                self.reservations.adopt(orphaned_runner, runner);
            } else {
                self.reservations
                    .adopt_without_transfer(orphaned_runner, runner);
            }
            if let Some(reservation) = self.reservations.get(runner) {
                adopted.push(reservation.as_claim(runner));
            }
        }
        adopted
    }

    /// A holder gives a function back, and says which runners it leaves; one that holds it no more says
    /// what it still had.
    pub(super) fn handle_release(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        function: FunctionKey,
        fencing_token: FencingToken,
        runners: LengthPrefixed<ClaimedRunner>,
    ) {
        let Some(releaser) = self.members.streams.get(&stream).cloned() else {
            return;
        };
        let is_holder = self
            .lease_records
            .get(&function)
            .is_some_and(|entry| entry.holder == releaser && entry.fencing_token == fencing_token);
        self.accept_released_runners(now, function.clone(), runners.0);
        if !is_holder {
            return;
        }
        self.begin_fencing(now, &function);
        let fields = LeaseFields {
            function: &function,
            member: &releaser.member,
            fencing_token,
        };
        self.record_event(events::LEASE_RELEASED, fields);
    }

    pub(super) fn end_lease(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        lease_expires_at: MonotonicTime,
    ) {
        self.fencing.finish(function);
        self.acquisitions.check_due = true;
        let ended_lease = self.lease_records.remove(function);
        let lease_end = ended_lease.as_ref().and_then(|entry| entry.lost_lease_end);
        let has_lease_ended = lease_end.is_none_or(|lease_end| now >= lease_end);
        require(
            self.rules,
            Invariant::GrantedAfterLease,
            has_lease_ended,
            || format!("{function} is free for the next grant before its holder's lease has ended"),
        );
        let previous_lease = ended_lease
            .filter(|entry| entry.complete)
            .and_then(|entry| {
                let fencing_token = entry.fencing_token;
                entry.replica.map(|replica| PreviousLease {
                    replica,
                    fencing_token,
                })
            });
        let allowed_from = lease_expires_at + self.longest_delay();
        self.once_delays
            .lease_ended(now, function, allowed_from, previous_lease);
    }

    pub(super) fn handle_runner_status(
        &mut self,
        now: MonotonicTime,
        function: &FunctionKey,
        runner: RunnerId,
        runner_status: RunnerStatus,
    ) {
        let current_name = self.reservations.current_name(runner);
        let Some(reservation) = self.reservations.get(current_name) else {
            return;
        };
        if reservation.function != *function {
            return;
        }
        match runner_status {
            RunnerStatus::Ready => {
                let fields = RunnerFields {
                    function,
                    runner: current_name,
                    worker: &reservation.worker,
                };
                let event_record = fields.record(events::RUNNER_READY);
                self.reservations
                    .update(current_name, |reservation| reservation.ready = true);
                self.push_event(event_record);
            }
            RunnerStatus::Gone if current_name != runner => self.runner_vanished(current_name),
            RunnerStatus::Gone => {
                if reservation.instance.is_none() && !reservation.stop_wanted {
                    self.workers
                        .start_refused_at
                        .insert(reservation.worker.clone(), now);
                }
                self.runner_stopped(runner);
            }
            RunnerStatus::Started { instance } => {
                let owner = self.reservations.runner_with_instance(&instance.name);
                if owner.is_none_or(|owner| owner == current_name) {
                    self.reservations.note_started(current_name, instance, now);
                }
            }
        }
    }

    pub(super) fn handle_rejections(
        &mut self,
        stream: StreamId,
        function: FunctionKey,
        count: u32,
        reason: RequestFailureReason,
    ) {
        let Some(known_member) = self.members.streams.get(&stream) else {
            return;
        };
        let fields = RejectionsFields {
            function: &function,
            member: &known_member.member,
            count,
            reason,
        };
        let event_record = fields.record(events::REQUESTS_REJECTED);
        self.push_event(event_record);
    }
}
