//! The outputs of a holder, and the results of its sends.

use common::frames::{
    ClaimedRunner, Host, LedgerRecord, PreviousLease, RequestFailureReason, RequestOutcome,
    RunnerStatus, SocketAddress,
};
use common::identity::{InstanceId, MemberName, RunnerId, Ticket, WorkerName};
use common::spec::FunctionSpec;

/// An order of a holder, to be carried out by its driver.
#[derive(Clone, Debug)]
pub enum HolderOutput {
    /// Send a request to a runner, after a last check of lease and spec.
    Send {
        /// The request.
        ticket: Ticket,
        /// The runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
        /// The number of this attempt, from 1.
        attempt: u32,
    },
    /// A request has ended.
    End {
        /// The request.
        ticket: Ticket,
        /// Its outcome.
        outcome: RequestOutcome,
    },
    /// Have the platform start a runner.
    Start {
        /// The runner.
        runner: RunnerId,
        /// The worker to start it on.
        worker: WorkerName,
        /// The spec it is started by.
        spec: FunctionSpec,
    },
    /// Probe a runner that is starting up for readiness.
    Probe {
        /// The runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
    },
    /// Have a runner list the requests that it is running.
    ListRunning {
        /// The runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
    },
    /// Have the platform stop a runner.
    Stop {
        /// The runner.
        runner: RunnerId,
        /// The worker it runs on.
        worker: WorkerName,
        /// Its instance; none while the platform has not reported it.
        instance: Option<InstanceId>,
    },
    /// Collect the ledger of an earlier lease.
    Collect {
        /// The earlier lease.
        previous_lease: PreviousLease,
    },
    /// Have the replica store records, and report the result to [`Holder::handle_records_stored`](super::Holder::handle_records_stored).
    Record {
        /// Identifies the batch.
        batch_id: u64,
        /// The daemon that keeps the replica.
        replica: Host,
        /// The records.
        records: Vec<LedgerRecord>,
    },
    /// Compare the ledger with the replica.
    Compare {
        /// The daemon that keeps the replica.
        replica: Host,
        /// The digests of the ledger, one for each range.
        digests: Vec<u64>,
    },
    /// Send a message to the leader.
    Report(HolderMessage),
}

/// A message of a holder to the leader.
#[derive(Clone, Debug)]
pub enum HolderMessage {
    /// Requests the reservation of one more runner.
    Reserve,
    /// Reports a change of a runner's status.
    RunnerStatus {
        /// The runner.
        runner: RunnerId,
        /// Its new status.
        runner_status: RunnerStatus,
    },
    /// Requests another replica.
    ReplicaLost {
        /// The daemon that does not respond.
        lost: MemberName,
    },
    /// The replica is complete.
    ReplicaComplete {
        /// The daemon that keeps it.
        replica: MemberName,
    },
    /// All work is finished: the lease is given back.
    Released {
        /// The orphaned runners, still running.
        runners: Vec<ClaimedRunner>,
    },
}

/// The result of a send to a runner.
#[derive(Clone, Debug)]
pub enum SendResult {
    /// The runner returned a complete, sealed response.
    Answered(RequestOutcome),
    /// The function ran on the runner, and failed.
    Failed(RequestOutcome),
    /// The runner rejected the request and did not run it.
    RejectedByRunner,
    /// Another runner answered at the address and did not run the request.
    WrongRunner,
    /// Nothing was sent: the session lease has ended, or the spec no longer allows the request.
    Forbidden(RequestFailureReason),
    /// Certainly nothing was sent: the runner could not be reached.
    Unsent,
    /// Something may have been sent, and no valid response came.
    Lost,
    /// The caller left, and the send was broken off; something may have been sent.
    Aborted,
}

impl SendResult {
    /// A short text for the log on how a send failed; none if it was answered.
    pub fn failure_text(&self) -> Option<&'static str> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some("failed at its runner"),
            Self::RejectedByRunner => Some("refused by its runner"),
            Self::WrongRunner => Some("met another runner"),
            Self::Forbidden(reason) => Some(reason.as_str()),
            Self::Unsent => Some("reached no runner"),
            Self::Lost => Some("lost its answer"),
            Self::Aborted => Some("was left by its caller"),
        }
    }
}
