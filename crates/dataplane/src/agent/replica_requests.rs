//! Questions to stewards, the daemons that keep copies of others' ledgers, and answers as one.

use super::{Agent, HeldFunction};
use crate::holder::{Holder, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{DaemonMessage, Flag, Host, LengthPrefixed};
use common::rules::Rule;
use std::sync::PoisonError;
use std::time::Duration;

const COLLECT_TIMEOUT: Duration = Duration::from_millis(600);
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// What a question to a steward is about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaRequestKind {
    /// An earlier holder's ledger.
    Collect,
    /// Lines of this round to be noted.
    Record(u64),
    /// The ranges in which its copy differs.
    Compare,
}

/// A question to a steward.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    /// The steward.
    pub replica: Host,
    /// What is asked.
    pub body: DaemonMessage,
    /// What it is about.
    pub request_kind: ReplicaRequestKind,
    /// How long an answer is waited for.
    pub timeout: Duration,
}

impl<W> HeldFunction<W> {
    /// The question that a holder's order stands for, if it is one.
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
    /// Brings a steward's reply, or its silence, to the holder.
    pub fn reply(
        self,
        holder: &mut Holder,
        now: MonotonicTime,
        reply: Option<DaemonMessage>,
    ) -> Vec<HolderOutput> {
        match (self, reply) {
            (Self::Collect, Some(DaemonMessage::Collected { complete, records })) if complete.0 => {
                holder.collected(now, Some(records.0))
            }
            (Self::Collect, _) => holder.collected(now, None),
            (Self::Record(batch_id), Some(DaemonMessage::Recorded { is_stored })) => {
                holder.recorded(now, batch_id, is_stored.0)
            }
            (Self::Record(batch_id), _) => holder.recorded(now, batch_id, false),
            (Self::Compare, Some(DaemonMessage::Differs { ranges })) => {
                holder.compared(now, &ranges.0)
            }
            (Self::Compare, _) => Vec::new(),
        }
    }
}

impl<W> Agent<W> {
    /// What this daemon says as another one's steward; none to what is no question for a steward.
    pub fn answer_replica_request(
        &self,
        now: MonotonicTime,
        replica_request: DaemonMessage,
    ) -> Option<DaemonMessage> {
        let mut ledger_replica = self
            .ledger_replica
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match replica_request {
            DaemonMessage::Record { .. }
                if !self.rules.enforces(Rule::LedgerReplicatedBeforeSend) =>
            {
                Some(DaemonMessage::Recorded {
                    is_stored: Flag(true),
                })
            }
            DaemonMessage::Record {
                function,
                fencing_token,
                incarnation,
                records,
            } => {
                let is_stored =
                    ledger_replica.record(now, &function, fencing_token, incarnation, &records.0);
                Some(DaemonMessage::Recorded {
                    is_stored: Flag(is_stored),
                })
            }
            DaemonMessage::Collect {
                function,
                fencing_token,
                incarnation,
            } => {
                let copy = ledger_replica.collect(now, &function, fencing_token, incarnation);
                let complete = Flag(copy.is_some());
                Some(DaemonMessage::Collected {
                    complete,
                    records: LengthPrefixed(copy.unwrap_or_default()),
                })
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
}
