//! Replication of the ledger to another daemon, and collection of the previous holder's ledger.

use super::{Holder, HolderMessage, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{Host, LedgerRecord, PreviousLease, RequestFailureReason, RequestOutcome};
use common::identity::{IdempotencyKey, Ticket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between two comparisons of the ledger with its replica.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the replacement of a lost replica is requested again.
const REPLICA_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// A batch of records that is being sent to a replica.
struct ReplicationBatch {
    replica: Host,
    /// The requests that are sent to their runners once the records are stored.
    tickets: Vec<Ticket>,
    is_full_copy: bool,
}

/// The state of the replica's copy of the ledger.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ReplicaCopy {
    Incomplete,
    /// A full copy is in progress.
    Copying,
    Complete,
}

/// The replication state of a holder's ledger.
pub(super) struct Replication {
    pub(super) replica: Option<Host>,
    copy: ReplicaCopy,
    /// The previous lease, while its ledger is being collected.
    collecting_from: Option<PreviousLease>,
    /// The time from which once-only requests are admitted without a collected ledger.
    once_allowed_from: MonotonicTime,
    /// When the leader was last asked to replace an unresponsive replica, while the replacement is outstanding.
    replacement_requested_at: Option<MonotonicTime>,
    batches: BTreeMap<u64, ReplicationBatch>,
    next_batch_id: u64,
    compare_at: MonotonicTime,
}

impl Replication {
    /// Creates the state for a granted lease. A zero `once_wait` means that there is no earlier ledger, so that an
    /// empty replica is already complete.
    pub(super) fn new(
        now: MonotonicTime,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
        once_wait: Duration,
    ) -> Self {
        let copy = if once_wait.is_zero() {
            ReplicaCopy::Complete
        } else {
            ReplicaCopy::Incomplete
        };
        Self {
            replica,
            copy,
            collecting_from: previous_lease,
            once_allowed_from: now + once_wait,
            replacement_requested_at: None,
            batches: BTreeMap::new(),
            next_batch_id: 1,
            compare_at: now + COMPARE_INTERVAL,
        }
    }

    /// Admits once-only requests immediately, without the earlier ledger. Only for runs that show what the collection
    /// prevents.
    pub(super) fn skip_collection(&mut self) {
        self.once_allowed_from = MonotonicTime::ZERO;
        self.collecting_from = None;
    }

    /// Whether the previous holder's ledger is being collected.
    pub(super) fn is_collecting(&self) -> bool {
        self.collecting_from.is_some()
    }

    /// Whether the replica's copy is complete.
    pub(super) fn is_complete(&self) -> bool {
        self.copy == ReplicaCopy::Complete
    }

    /// Whether once-only requests can be sent now: no ledger is being collected, and no replica is being replaced.
    pub(super) fn is_available(&self) -> bool {
        !self.is_collecting() && self.replacement_requested_at.is_none()
    }

    /// Returns how much longer once-only requests are rejected because the earlier ledger is missing, or `None` if they
    /// are admitted. While the ledger is being collected they are admitted and wait in the queue.
    pub(super) fn once_wait(&self, now: MonotonicTime) -> Option<Duration> {
        (!self.is_collecting() && now < self.once_allowed_from)
            .then(|| self.once_allowed_from.since(now))
    }

    fn open_batch(&mut self, replica: Host, tickets: Vec<Ticket>, is_full_copy: bool) -> u64 {
        let batch_id = self.next_batch_id;
        self.next_batch_id += 1;
        self.batches.insert(
            batch_id,
            ReplicationBatch {
                replica,
                tickets,
                is_full_copy,
            },
        );
        batch_id
    }

    /// Replaces the replica with the one that the leader has assigned, if any.
    fn assign(&mut self, replica: Option<Host>) {
        self.replacement_requested_at = None;
        self.copy = ReplicaCopy::Incomplete;
        self.replica = replica;
    }

    /// Ends a full copy; the copy is incomplete until the caller reports it as complete.
    fn end_full_copy(&mut self) {
        if self.copy == ReplicaCopy::Copying {
            self.copy = ReplicaCopy::Incomplete;
        }
    }

    /// Marks the replica as incomplete and as to be replaced. A full copy in progress continues.
    fn record_replica_lost(&mut self, now: MonotonicTime) {
        self.replacement_requested_at = Some(now);
        if self.copy == ReplicaCopy::Complete {
            self.copy = ReplicaCopy::Incomplete;
        }
    }

    /// Returns the replica if its replacement has to be requested again.
    fn overdue_replacement(&self, now: MonotonicTime) -> Option<&Host> {
        let requested_at = self.replacement_requested_at?;
        let is_overdue = now.since(requested_at) > REPLICA_REQUEST_INTERVAL;
        self.replica.as_ref().filter(|_| is_overdue)
    }
}

impl Holder {
    /// Starts the holder: collects the previous ledger and requests the first runners.
    pub fn start(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        if let Some(previous_lease) = self.replication.collecting_from.clone() {
            self.outputs.push(HolderOutput::Collect { previous_lease });
        }
        self.scale(now);
        self.take_outputs()
    }

    /// Has the replica store the record of a once-only request. Returns false if there is no replica, so that the
    /// request may be sent immediately.
    pub(super) fn replicate_before_send(&mut self, now: MonotonicTime, ticket: Ticket) -> bool {
        let Some(replica) = self.replication.replica.clone() else {
            return false;
        };
        let Some(in_flight) = self.requests.in_flight.get(&ticket) else {
            return false;
        };
        let Some(record) = self
            .ledger
            .record_of(now, &in_flight.queued.request.idempotency_key)
        else {
            return false;
        };
        self.emit_records(replica, vec![ticket], false, vec![record]);
        true
    }

    fn emit_records(
        &mut self,
        replica: Host,
        tickets: Vec<Ticket>,
        is_full_copy: bool,
        records: Vec<LedgerRecord>,
    ) {
        let batch_id = self
            .replication
            .open_batch(replica.clone(), tickets, is_full_copy);
        self.outputs.push(HolderOutput::Record {
            batch_id,
            replica,
            records,
        });
    }

    /// Handles the result of storing a batch of records on the replica.
    pub fn handle_records_stored(
        &mut self,
        now: MonotonicTime,
        batch_id: u64,
        is_stored: bool,
    ) -> Vec<HolderOutput> {
        let Some(batch) = self.replication.batches.remove(&batch_id) else {
            return Vec::new();
        };
        let is_current = self.replication.replica.as_ref() == Some(&batch.replica);
        if batch.is_full_copy {
            self.replication.end_full_copy();
        }
        if is_stored && is_current {
            if batch.is_full_copy {
                self.report_replica_complete(&batch.replica);
            }
            for ticket in batch.tickets {
                self.send_recorded(now, ticket);
            }
        } else {
            if is_current && self.replication.replacement_requested_at.is_none() {
                self.replication.record_replica_lost(now);
                self.report_replica_lost(&batch.replica);
            }
            for ticket in batch.tickets {
                self.cancel_send(now, ticket);
            }
        }
        self.dispatch(now);
        self.finish_release(now);
        self.take_outputs()
    }

    fn report_replica_complete(&mut self, replica: &Host) {
        self.replication.copy = ReplicaCopy::Complete;
        self.report(HolderMessage::ReplicaComplete {
            replica: replica.member.clone(),
        });
    }

    fn report_replica_lost(&mut self, replica: &Host) {
        self.report(HolderMessage::ReplicaLost {
            lost: replica.member.clone(),
        });
    }

    /// Sends a request whose record the replica has stored.
    fn send_recorded(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(in_flight) = self.requests.in_flight.get(&ticket) else {
            return;
        };
        let (runner, attempt) = (in_flight.runner, in_flight.queued.attempt);
        let address = self.runners.address_of(runner);
        match address.filter(|_| !self.lifecycle.is_closed()) {
            Some(address) => self.emit_send(ticket, runner, address, attempt),
            None => self.cancel_send(now, ticket),
        }
    }

    /// Releases the slot of a request that was not sent to its runner, and queues the request again.
    fn cancel_send(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(in_flight) = self.requests.in_flight.remove(&ticket) else {
            return;
        };
        if let Some(record) = self.runners.get_mut(in_flight.runner) {
            let request = &in_flight.queued.request;
            record.release_slot(now, request, true);
        }
        self.requeue(now, in_flight.queued);
    }

    /// Handles the previous holder's ledger; `records` is `None` if it could not be collected.
    pub fn handle_collected_ledger(
        &mut self,
        now: MonotonicTime,
        records: Option<Vec<LedgerRecord>>,
    ) -> Vec<HolderOutput> {
        if self.replication.collecting_from.take().is_none() {
            return Vec::new();
        }
        if let Some(records) = records {
            self.replication.once_allowed_from = now;
            self.resolve_known(now, &records);
            for record in &records {
                self.ledger.import_record(now, record);
            }
        } else {
            self.reject_queued_once(now);
        }
        self.dispatch(now);
        self.take_outputs()
    }

    /// Ends the queued once-only requests that the previous lease's ledger lists: they ran or may have run.
    fn resolve_known(&mut self, now: MonotonicTime, records: &[LedgerRecord]) {
        let is_known =
            |key: &IdempotencyKey| records.iter().any(|record| record.idempotency_key == *key);
        for queued in std::mem::take(&mut self.requests.queue) {
            if queued.request.is_recorded_once() && is_known(&queued.request.idempotency_key) {
                let outcome = RequestOutcome::Unknown {
                    reason: RequestFailureReason::AlreadyRan,
                };
                self.end_request(now, queued.request, outcome);
            } else {
                self.requests.queue.push_back(queued);
            }
        }
    }

    /// Rejects the queued once-only requests, unless they are by now admitted without the earlier ledger.
    fn reject_queued_once(&mut self, now: MonotonicTime) {
        let Some(retry_after) = self.replication.once_wait(now) else {
            return;
        };
        for queued in std::mem::take(&mut self.requests.queue) {
            if queued.request.is_recorded_once() {
                self.fail_request(
                    now,
                    queued,
                    RequestFailureReason::OnceNotYetAdmitted,
                    retry_after,
                );
            } else {
                self.requests.queue.push_back(queued);
            }
        }
    }

    /// Handles the leader's assignment of another replica, or of none.
    pub fn handle_replica_assigned(
        &mut self,
        now: MonotonicTime,
        replica: Option<Host>,
    ) -> Vec<HolderOutput> {
        self.replication.assign(replica);
        self.maintain_replica(now);
        self.dispatch(now);
        self.take_outputs()
    }

    /// Sends the records of the ranges in which the replica's copy differs.
    pub fn handle_compare_result(
        &mut self,
        now: MonotonicTime,
        ranges: &[u8],
    ) -> Vec<HolderOutput> {
        if !ranges.is_empty()
            && let Some(replica) = self.replication.replica.clone()
        {
            let records = self.ledger.records_in(now, ranges);
            self.emit_records(replica, Vec::new(), false, records);
        }
        self.take_outputs()
    }

    /// Brings the replica up to date, and compares it at regular intervals.
    pub(super) fn maintain_replica(&mut self, now: MonotonicTime) {
        if !self.lifecycle.holds_lease() {
            return;
        }
        if let Some(replica) = self.replication.overdue_replacement(now) {
            let lost = replica.member.clone();
            self.replication.replacement_requested_at = Some(now);
            self.report(HolderMessage::ReplicaLost { lost });
        }
        if !self.replication.is_available() {
            return;
        }
        let Some(replica) = self.replication.replica.clone() else {
            return;
        };
        if self.replication.copy == ReplicaCopy::Incomplete
            && now >= self.replication.once_allowed_from
        {
            self.copy_to_replica(now, &replica);
        }
        if now >= self.replication.compare_at
            && self.replication.is_complete()
            && self.ledger.has_once_records()
        {
            self.replication.compare_at = now + COMPARE_INTERVAL;
            let digests = self.ledger.digests(now);
            self.outputs
                .push(HolderOutput::Compare { replica, digests });
        }
    }

    fn copy_to_replica(&mut self, now: MonotonicTime, replica: &Host) {
        let records = self.ledger.once_records(now);
        if records.is_empty() {
            self.report_replica_complete(replica);
        } else {
            self.replication.copy = ReplicaCopy::Copying;
            self.emit_records(replica.clone(), Vec::new(), true, records);
        }
    }
}
