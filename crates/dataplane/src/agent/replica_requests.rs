//! Requests to ledger replicas, the daemons that keep copies of other daemons' ledgers, and this daemon's replies as a
//! replica.

use super::{Agent, HeldFunction};
use crate::holder::{Holder, HolderOutput};
use crate::ledger::LedgerReplica;
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Flag, Host, LedgerRecord, LengthPrefixed};
use common::rules::Rule;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

/// How long to wait for the reply to [`ReplicaRequestKind::Collect`].
const COLLECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long to wait for the replies to all other kinds.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// What is requested from a ledger replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaRequestKind {
    /// The ledger of the function's previous holder.
    Collect,
    /// Storage of the records in the batch with this id.
    Record(u64),
    /// The ranges in which the replica's copy differs.
    Compare,
}

/// A request to a ledger replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// The daemon that keeps the replica.
    pub replica: Host,
    /// The message to send, the body of a frame.
    pub body: DaemonMessage,
    /// The kind of request, which determines how the reply is interpreted.
    pub request_kind: ReplicaRequestKind,
    /// How long to wait for the reply.
    pub timeout: Duration,
}

impl<W> HeldFunction<W> {
    /// Converts a holder's output to the request to a ledger replica that it asks for; returns the output if it asks
    /// for something else.
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
    /// Passes a replica's reply to the holder; `None` if no reply arrived in time.
    pub fn handle_reply(
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
    /// Handles a request to this daemon as a ledger replica, and returns the reply; `None` if the message is not such a
    /// request.
    pub fn handle_replica_request(
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

    /// Returns the number of records stored as a replica of other daemons' ledgers.
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

/// Returns the reply to a request for a ledger. `copy` is `None` if the replica has no complete copy of it.
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
