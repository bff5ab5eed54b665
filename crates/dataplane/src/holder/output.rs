//! What a holder orders, and the ends of its sends.

use common::frames::{
    ClaimedRunner, Host, LedgerRecord, PreviousLease, RequestFailureReason, RequestOutcome,
    RunnerStatus, SocketAddress,
};
use common::identity::{InstanceId, MemberName, RunnerId, Ticket, WorkerName};
use common::spec::FunctionSpec;

/// What a holder orders.
#[derive(Clone, Debug)]
pub enum HolderOutput {
    /// Send a transaction to a runner, after a last look at grant and spec.
    Send {
        /// Which transaction.
        ticket: Ticket,
        /// Which runner.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
        /// The number of this send.
        attempt: u32,
    },
    /// A transaction has ended.
    End {
        /// Which transaction.
        ticket: Ticket,
        /// How.
        outcome: RequestOutcome,
    },
    /// Have the platform start a runner.
    Start {
        /// Which one.
        runner: RunnerId,
        /// Where.
        worker: WorkerName,
        /// What it needs, and what it will be held to.
        spec: FunctionSpec,
    },
    /// Ask a booting runner whether it is ready.
    Probe {
        /// Which one.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
    },
    /// Ask a runner what it is running.
    ListRunning {
        /// Which one.
        runner: RunnerId,
        /// Where it listens.
        address: SocketAddress,
    },
    /// Have the platform stop a runner.
    Stop {
        /// Which one.
        runner: RunnerId,
        /// Where it runs.
        worker: WorkerName,
        /// Its life; none while the platform has not told it.
        instance: Option<InstanceId>,
    },
    /// Collect an earlier holder's ledger.
    Collect {
        /// Where.
        previous_lease: PreviousLease,
    },
    /// Have the steward note lines, and say whether it did.
    Record {
        /// Names the round.
        batch_id: u64,
        /// The steward.
        replica: Host,
        /// The lines.
        records: Vec<LedgerRecord>,
    },
    /// Compare the ledger with the steward's copy.
    Compare {
        /// The steward.
        replica: Host,
        /// A digest for each range.
        digests: Vec<u64>,
    },
    /// Tell the leader.
    Report(HolderMessage),
}

/// What a holder has for the leader.
#[derive(Clone, Debug)]
pub enum HolderMessage {
    /// It wants one more runner.
    Reserve,
    /// What became of a runner.
    RunnerStatus {
        /// Which one.
        runner: RunnerId,
        /// What became of it.
        runner_status: RunnerStatus,
    },
    /// It wants another steward.
    ReplicaLost {
        /// The one that does not answer.
        lost: MemberName,
    },
    /// The steward's copy is whole.
    ReplicaComplete {
        /// The steward.
        replica: MemberName,
    },
    /// Everything is finished: the grant goes back.
    Released {
        /// The runners left as they stand.
        runners: Vec<ClaimedRunner>,
    },
}

/// How a send to a runner ended.
#[derive(Clone, Debug)]
pub enum SendResult {
    /// The runner's whole sealed body.
    Answered(RequestOutcome),
    /// The runner's own failure, after it ran.
    Failed(RequestOutcome),
    /// The runner refused, and did not run it.
    RejectedByRunner,
    /// Another runner is at the address, and did not run it.
    WrongRunner,
    /// Nothing was sent: the member grant has ended, or the spec no longer allows it.
    Forbidden(RequestFailureReason),
    /// Surely nothing was sent: the runner could not be reached.
    Unsent,
    /// Something was sent, and no good answer came.
    Lost,
}

impl SendResult {
    /// How a send failed, in a word; nothing if it brought an answer.
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some("failed at its runner"),
            Self::RejectedByRunner => Some("refused by its runner"),
            Self::WrongRunner => Some("met another runner"),
            Self::Forbidden(reason) => Some(reason.as_str()),
            Self::Unsent => Some("reached no runner"),
            Self::Lost => Some("lost its answer"),
        }
    }
}
