//! The copy of the ledger that another daemon, the steward, keeps; and the ledger of an earlier holder.

use super::runners::RunnerRecord;
use super::{Holder, HolderMessage, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{Host, LedgerRecord, PreviousLease, RequestFailureReason, RequestOutcome};
use common::identity::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
const REPLICA_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

struct ReplicationBatch {
    replica: Host,
    tickets: Vec<Ticket>,
    is_full_copy: bool,
}

/// Who keeps the copy of a holder's ledger, and how far it is.
pub struct Replication {
    pub(super) replica: Option<Host>,
    pub(super) complete: bool,
    previous_lease: Option<PreviousLease>,
    collecting: bool,
    replacement_requested_at: Option<MonotonicTime>,
    is_copying_all: bool,
    batches: BTreeMap<u64, ReplicationBatch>,
    next_batch_id: u64,
    compare_at: MonotonicTime,
}

impl Replication {
    /// The replication as the leader granted it; whole at once when there is nothing to be copied.
    pub fn new(
        now: MonotonicTime,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
        complete: bool,
    ) -> Self {
        Self {
            replica,
            complete,
            collecting: previous_lease.is_some(),
            previous_lease,
            replacement_requested_at: None,
            is_copying_all: false,
            batches: BTreeMap::new(),
            next_batch_id: 1,
            compare_at: now + COMPARE_INTERVAL,
        }
    }

    /// Forgets that an earlier ledger was to be collected.
    pub(super) fn skip_collection(&mut self) {
        self.collecting = false;
        self.previous_lease = None;
    }

    /// Whether an earlier holder's ledger is being collected.
    pub fn is_collecting(&self) -> bool {
        self.collecting
    }

    /// Whether a once-transaction can be noted now, or needs not be.
    pub fn is_available(&self) -> bool {
        !self.collecting && self.replacement_requested_at.is_none()
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
}

impl Holder {
    /// What is due as soon as the function is granted.
    pub fn begin(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        if let Some(previous_lease) = self.replication.previous_lease.clone() {
            self.outputs.push(HolderOutput::Collect { previous_lease });
        }
        self.scale(now);
        std::mem::take(&mut self.outputs)
    }

    /// Notes a once-transaction with the steward; without one it may be sent at once.
    pub(super) fn replicate_before_send(&mut self, now: MonotonicTime, ticket: Ticket) -> bool {
        let Some(replica) = self.replication.replica.clone() else {
            return false;
        };
        let Some(in_flight) = self.in_flight.get(&ticket) else {
            return false;
        };
        let Some(record) = self
            .ledger
            .record_of(now, &in_flight.queued.request.idempotency_key)
        else {
            return false;
        };
        let batch_id = self
            .replication
            .open_batch(replica.clone(), vec![ticket], false);
        self.outputs.push(HolderOutput::Record {
            batch_id,
            replica,
            records: vec![record],
        });
        true
    }

    /// The steward has noted a round, or has not.
    pub fn recorded(
        &mut self,
        now: MonotonicTime,
        batch_id: u64,
        is_stored: bool,
    ) -> Vec<HolderOutput> {
        let Some(batch) = self.replication.batches.remove(&batch_id) else {
            return Vec::new();
        };
        let is_present = self.replication.replica.as_ref() == Some(&batch.replica);
        if batch.is_full_copy {
            self.replication.is_copying_all = false;
        }
        if is_stored && is_present {
            if batch.is_full_copy {
                self.report_replica_complete(&batch.replica);
            }
            for ticket in batch.tickets {
                self.send_recorded(now, ticket);
            }
        } else {
            if is_present && self.replication.replacement_requested_at.is_none() {
                self.replication.replacement_requested_at = Some(now);
                self.replication.complete = false;
                let lost = batch.replica.member.clone();
                self.outputs
                    .push(HolderOutput::Report(HolderMessage::ReplicaLost { lost }));
            }
            for ticket in batch.tickets {
                self.cancel_send(now, ticket);
            }
        }
        self.dispatch(now);
        self.finish_release(now);
        std::mem::take(&mut self.outputs)
    }

    fn report_replica_complete(&mut self, replica: &Host) {
        self.replication.complete = true;
        self.outputs
            .push(HolderOutput::Report(HolderMessage::ReplicaComplete {
                replica: replica.member.clone(),
            }));
    }

    fn send_recorded(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(in_flight) = self.in_flight.get(&ticket) else {
            return;
        };
        let (runner, attempt) = (in_flight.runner, in_flight.queued.attempt);
        let address = self.runners.get(&runner).and_then(RunnerRecord::address);
        match address.filter(|_| !self.closed) {
            Some(address) => {
                self.emit_send(ticket, runner, address, attempt);
            }
            None => self.cancel_send(now, ticket),
        }
    }

    fn cancel_send(&mut self, now: MonotonicTime, ticket: Ticket) {
        let Some(in_flight) = self.in_flight.remove(&ticket) else {
            return;
        };
        if let Some(record) = self.runners.get_mut(&in_flight.runner) {
            let request = &in_flight.queued.request;
            record.release_slot(now, &request.idempotency_key, request.deadline, true);
        }
        self.requeue(now, in_flight.queued);
    }

    /// An earlier holder's ledger has been collected, or could not be.
    pub fn collected(
        &mut self,
        now: MonotonicTime,
        records: Option<Vec<LedgerRecord>>,
    ) -> Vec<HolderOutput> {
        if !std::mem::take(&mut self.replication.collecting) {
            return Vec::new();
        }
        if let Some(records) = records {
            self.once_allowed_from = now;
            self.resolve_known(now, &records);
            for record in &records {
                self.ledger.import_record(now, record);
            }
        } else {
            self.reject_queued_once(now);
        }
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// Those that wait here and ran, or may have run, at the earlier holder must not run again.
    fn resolve_known(&mut self, now: MonotonicTime, records: &[LedgerRecord]) {
        let is_known = |name: &common::identity::IdempotencyKey| {
            records.iter().any(|record| record.idempotency_key == *name)
        };
        let all_queued = std::mem::take(&mut self.queue);
        for queued in all_queued {
            if queued.request.is_recorded_once() && is_known(&queued.request.idempotency_key) {
                let outcome = RequestOutcome::Unknown {
                    reason: RequestFailureReason::AlreadyRan,
                };
                self.end(now, queued.request, outcome);
            } else {
                self.queue.push_back(queued);
            }
        }
    }

    fn reject_queued_once(&mut self, now: MonotonicTime) {
        let retry_after = self.once_allowed_from.since(now);
        if retry_after.is_zero() {
            return;
        }
        let all_queued = std::mem::take(&mut self.queue);
        for queued in all_queued {
            if queued.request.is_recorded_once() {
                self.fail_request(
                    now,
                    queued,
                    RequestFailureReason::OnceNotYetAdmitted,
                    retry_after,
                );
            } else {
                self.queue.push_back(queued);
            }
        }
    }

    /// The leader has named another steward, or nobody.
    pub fn replica_assigned(
        &mut self,
        now: MonotonicTime,
        replica: Option<Host>,
    ) -> Vec<HolderOutput> {
        self.replication.replacement_requested_at = None;
        self.replication.complete = false;
        self.replication.is_copying_all = false;
        self.replication.replica = replica;
        self.maintain_replica(now);
        self.dispatch(now);
        std::mem::take(&mut self.outputs)
    }

    /// The ranges in which the steward's copy differs.
    pub fn compared(&mut self, now: MonotonicTime, ranges: &[u8]) -> Vec<HolderOutput> {
        if let Some(replica) = self
            .replication
            .replica
            .clone()
            .filter(|_| !ranges.is_empty())
        {
            let records = self.ledger.records_in(now, ranges);
            let batch_id = self
                .replication
                .open_batch(replica.clone(), Vec::new(), false);
            self.outputs.push(HolderOutput::Record {
                batch_id,
                replica,
                records,
            });
        }
        std::mem::take(&mut self.outputs)
    }

    /// Brings the steward's copy level, and keeps it so.
    pub(super) fn maintain_replica(&mut self, now: MonotonicTime) {
        if self.closed || self.released {
            return;
        }
        if let Some(replacement_requested_at) = self.replication.replacement_requested_at
            && now.since(replacement_requested_at) > REPLICA_REQUEST_INTERVAL
            && let Some(replica) = &self.replication.replica
        {
            self.replication.replacement_requested_at = Some(now);
            let lost = replica.member.clone();
            self.outputs
                .push(HolderOutput::Report(HolderMessage::ReplicaLost { lost }));
        }
        let Some(replica) = self
            .replication
            .replica
            .clone()
            .filter(|_| self.replication.is_available())
        else {
            return;
        };
        if !self.replication.complete
            && !self.replication.is_copying_all
            && now >= self.once_allowed_from
        {
            let records = self.ledger.once_records(now);
            if records.is_empty() {
                self.report_replica_complete(&replica);
            } else {
                self.replication.is_copying_all = true;
                let batch_id = self
                    .replication
                    .open_batch(replica.clone(), Vec::new(), true);
                self.outputs.push(HolderOutput::Record {
                    batch_id,
                    replica: replica.clone(),
                    records,
                });
            }
        }
        if now >= self.replication.compare_at
            && self.replication.complete
            && self.ledger.has_once_records()
        {
            self.replication.compare_at = now + COMPARE_INTERVAL;
            let digests = self.ledger.digests(now);
            self.outputs
                .push(HolderOutput::Compare { replica, digests });
        }
    }
}
