//! The outputs of a holder, and the results of sends to runners.

use common::frames::{
    ClaimedRunner, Host, LedgerRecord, PreviousLease, RequestFailureReason, RequestOutcome,
    RunnerStatus, SocketAddress,
};
use common::identity::{InstanceId, MemberName, RunnerId, Ticket, WorkerName};
use common::spec::FunctionSpec;

/// An action that the caller of a [`Holder`](super::Holder) has to carry out.
#[derive(Clone, Debug)]
pub enum HolderOutput {
    /// Send a request to a runner, after a final check of lease and spec.
    Send {
        /// The request.
        ticket: Ticket,
        /// The runner.
        runner: RunnerId,
        /// The address that the runner listens on.
        address: SocketAddress,
        /// The number of this attempt, from 1.
        attempt: u32,
    },
    /// Return the outcome of a request to its caller.
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
        /// The spec of the function.
        spec: FunctionSpec,
    },
    /// Probe a runner that is starting up for readiness.
    Probe {
        /// The runner.
        runner: RunnerId,
        /// The address that the runner listens on.
        address: SocketAddress,
    },
    /// Have a runner list the requests that it is running.
    ListRunning {
        /// The runner.
        runner: RunnerId,
        /// The address that the runner listens on.
        address: SocketAddress,
    },
    /// Have the platform stop a runner.
    Stop {
        /// The runner.
        runner: RunnerId,
        /// The worker it runs on.
        worker: WorkerName,
        /// Its instance, or `None` if the platform has not reported it yet.
        instance: Option<InstanceId>,
    },
    /// Collect the ledger of an earlier lease.
    Collect {
        /// The earlier lease.
        previous_lease: PreviousLease,
    },
    /// Have the replica store records, and report the result to
    /// [`Holder::handle_records_stored`](super::Holder::handle_records_stored).
    Record {
        /// Identifies the batch.
        batch_id: u64,
        /// The daemon that stores the replica.
        replica: Host,
        /// The records.
        records: Vec<LedgerRecord>,
    },
    /// Compare the ledger with the replica.
    Compare {
        /// The daemon that stores the replica.
        replica: Host,
        /// The digests of the ledger, one per range.
        digests: Vec<u64>,
    },
    /// Send a message to the leader.
    Report(HolderMessage),
}

/// A message of a holder to the leader.
#[derive(Clone, Debug)]
pub enum HolderMessage {
    /// Requests the reservation of memory on a worker for one more runner.
    Reserve,
    /// Reports a change of a runner's status.
    RunnerStatus {
        /// The runner.
        runner: RunnerId,
        /// Its new status.
        runner_status: RunnerStatus,
    },
    /// Requests another replica in place of an unresponsive one.
    ReplicaLost {
        /// The daemon that does not respond.
        lost: MemberName,
    },
    /// Reports that the replica is complete.
    ReplicaComplete {
        /// The daemon that stores it.
        replica: MemberName,
    },
    /// Returns the lease after all work is finished.
    Released {
        /// The orphaned runners, which are left running.
        runners: Vec<ClaimedRunner>,
    },
}

/// The result of a send to a runner.
#[derive(Clone, Debug)]
pub enum SendResult {
    /// The runner returned a complete, sealed response.
    Answered(RequestOutcome),
    /// The function ran on the runner and failed.
    Failed(RequestOutcome),
    /// The runner rejected the request and did not run it.
    RejectedByRunner,
    /// Another runner answered at the address and did not run the request.
    WrongRunner,
    /// Nothing was sent: the session lease has ended, or the spec no longer allows the request.
    Forbidden(RequestFailureReason),
    /// Nothing was sent: the runner could not be reached.
    Unsent,
    /// The request may have been sent, but no valid response was received.
    Lost,
    /// The caller disconnected, and the send was aborted; the request may have been sent.
    Aborted,
}

impl SendResult {
    /// Returns a short description of the failure for the log, or `None` if the request was answered.
    pub fn failure_text(&self) -> Option<&'static str> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some("failed on the runner"),
            Self::RejectedByRunner => Some("was rejected by the runner"),
            Self::WrongRunner => Some("was answered by another runner"),
            Self::Forbidden(reason) => Some(reason.as_str()),
            Self::Unsent => Some("could not reach the runner"),
            Self::Lost => Some("lost its response"),
            Self::Aborted => Some("was aborted: the caller disconnected"),
        }
    }
}
