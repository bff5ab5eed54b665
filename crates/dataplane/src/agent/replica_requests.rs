//! Requests to ledger replicas, the daemons that keep copies of others' ledgers, and this daemon's answers as one.

use super::{Agent, HeldFunction};
use crate::holder::{Holder, HolderOutput};
use crate::ledger::LedgerReplica;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Flag, Host, LedgerRecord, LengthPrefixed};
use common::rules::Rule;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

/// How long the response to [`ReplicaRequestKind::Collect`] is waited for.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the responses to all other kinds are waited for.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// What is requested from a ledger replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaRequestKind {
    /// The ledger of the function's previous holder.
    Collect,
    /// To store the records of the batch with this id.
    Record(u64),
    /// The ranges in which its copy differs.
    Compare,
}

/// A request to a ledger replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// The daemon that keeps the replica.
    pub replica: Host,
    /// The frame to send.
    pub body: DaemonMessage,
    /// What it requests, by which the reply is interpreted.
    pub request_kind: ReplicaRequestKind,
    /// How long the reply is waited for.
    pub timeout: Duration,
}

impl<W> HeldFunction<W> {
    /// The request to a ledger replica that a holder's output stands for; the output itself if it is another.
    pub fn replica_request(&self, output: HolderOutput) -> Result<ReplicaRequest, HolderOutput> {
        match output {
            HolderOutput::Collect { previous_lease } => Ok(ReplicaRequest {
                body: DaemonMessage::Collect {
                    function: self.function.clone(),
                    fencing_token: previous_lease.fencing_token,
                    incarnation: previous_lease.replica.incarnation,
                },
                replica: previous_lease.replica,
                request_kind: ReplicaRequestKind::Collect,
                timeout: COLLECT_TIMEOUT,
            }),
            HolderOutput::Record {
                batch_id,
                replica,
                records,
            } => Ok(ReplicaRequest {
                body: DaemonMessage::Record {
                    function: self.function.clone(),
                    fencing_token: self.fencing_token,
                    incarnation: replica.incarnation,
                    records: LengthPrefixed(records),
                },
                replica,
                request_kind: ReplicaRequestKind::Record(batch_id),
                timeout: RECORD_TIMEOUT,
            }),
            HolderOutput::Compare { replica, digests } => Ok(ReplicaRequest {
                body: DaemonMessage::Compare {
                    function: self.function.clone(),
                    fencing_token: self.fencing_token,
                    incarnation: replica.incarnation,
                    digests: LengthPrefixed(digests),
                },
                replica,
                request_kind: ReplicaRequestKind::Compare,
                timeout: RECORD_TIMEOUT,
            }),
            other => Err(other),
        }
    }
}

impl ReplicaRequestKind {
    /// Passes a replica's reply to the holder; none if no reply came in time.
    pub fn reply(
        self,
        holder: &mut Holder,
        now: MonotonicTime,
        reply: Option<DaemonMessage>,
    ) -> Vec<HolderOutput> {
        match (self, reply) {
            (Self::Collect, Some(DaemonMessage::Collected { complete, records })) if complete.0 => {
                holder.handle_collected_ledger(now, Some(records.0))
            }
            (Self::Collect, _) => holder.handle_collected_ledger(now, None),
            (Self::Record(batch_id), Some(DaemonMessage::Recorded { is_stored })) => {
                holder.handle_records_stored(now, batch_id, is_stored.0)
            }
            (Self::Record(batch_id), _) => holder.handle_records_stored(now, batch_id, false),
            (Self::Compare, Some(DaemonMessage::Differs { ranges })) => {
                holder.handle_compare_result(now, &ranges.0)
            }
            (Self::Compare, _) => Vec::new(),
        }
    }
}

impl<W> Agent<W> {
    /// Answers a request as another daemon's ledger replica; none if the frame is no such request.
    pub fn answer_replica_request(
        &self,
        now: MonotonicTime,
        replica_request: DaemonMessage,
    ) -> Option<DaemonMessage> {
        let is_unreplicated = !self.rules.enforces(Rule::LedgerReplicatedBeforeSend);
        let mut ledger_replica = self.lock_ledger_replica();
        match replica_request {
            DaemonMessage::Record { .. } if is_unreplicated => Some(recorded(true)),
            DaemonMessage::Record {
                function,
                fencing_token,
                incarnation,
                records,
            } => Some(recorded(ledger_replica.record(
                now,
                &function,
                fencing_token,
                incarnation,
                &records.0,
            ))),
            DaemonMessage::Collect {
                function,
                fencing_token,
                incarnation,
            } => {
                let copy = ledger_replica.collect(now, &function, fencing_token, incarnation);
                Some(collected(copy))
            }
            DaemonMessage::Compare {
                function,
                fencing_token,
                incarnation,
                digests,
            } => {
                let ranges =
                    ledger_replica.compare(now, &function, fencing_token, incarnation, &digests.0);
                Some(DaemonMessage::Differs {
                    ranges: LengthPrefixed(ranges),
                })
            }
            DaemonMessage::FunctionRequest { .. }
            | DaemonMessage::Completed { .. }
            | DaemonMessage::Recorded { .. }
            | DaemonMessage::Collected { .. }
            | DaemonMessage::Differs { .. } => None,
        }
    }

    /// How many records are stored as a replica of other daemons' ledgers.
    pub fn replica_entry_count(&self) -> usize {
        self.lock_ledger_replica().entry_count()
    }

    /// Drops the copies of ledgers that are no longer needed.
    pub(super) fn expire_ledger_replica(&self, now: MonotonicTime) {
        self.lock_ledger_replica().expire(now);
    }

    fn lock_ledger_replica(&self) -> MutexGuard<'_, LedgerReplica> {
        self.ledger_replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The reply to a request for a ledger; the replica has no complete copy of it if `copy` is none.
fn collected(copy: Option<Vec<LedgerRecord>>) -> DaemonMessage {
    DaemonMessage::Collected {
        complete: Flag(copy.is_some()),
        records: LengthPrefixed(copy.unwrap_or_default()),
    }
}

fn recorded(is_stored: bool) -> DaemonMessage {
    DaemonMessage::Recorded {
        is_stored: Flag(is_stored),
    }
}
