//! What a holder orders, and the ends of its sends.

use common::frames::{
    ClaimRunner, HopOutcome, HopReason, Host, LedgerNote, Place, Prior, RunnerNews,
};
use common::identity::{LifeName, MemberName, RunnerId, Ticket, WorkerName};
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
        place: Place,
        /// The number of this send.
        attempt: u32,
    },
    /// A transaction has ended.
    End {
        /// Which transaction.
        ticket: Ticket,
        /// How.
        outcome: HopOutcome,
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
        place: Place,
    },
    /// Ask a runner what it is running.
    Settle {
        /// Which one.
        runner: RunnerId,
        /// Where it listens.
        place: Place,
    },
    /// Have the platform stop a runner.
    Stop {
        /// Which one.
        runner: RunnerId,
        /// Where it runs.
        worker: WorkerName,
        /// Its life; none while the platform has not told it.
        life: Option<LifeName>,
    },
    /// Collect an earlier holder's ledger.
    Collect {
        /// Where.
        prior: Prior,
    },
    /// Have the steward note lines, and say whether it did.
    Note {
        /// Names the round.
        round: u64,
        /// The steward.
        steward: Host,
        /// The lines.
        notes: Vec<LedgerNote>,
    },
    /// Compare the ledger with the steward's copy.
    Compare {
        /// The steward.
        steward: Host,
        /// A digest for each range.
        digests: Vec<u64>,
    },
    /// Tell the leader.
    Tell(HolderMessage),
}

/// What a holder has for the leader.
#[derive(Clone, Debug)]
pub enum HolderMessage {
    /// It wants one more runner.
    Reserve,
    /// What became of a runner.
    News {
        /// Which one.
        runner: RunnerId,
        /// What became of it.
        news: RunnerNews,
    },
    /// It wants another steward.
    StewardLost {
        /// The one that does not answer.
        lost: MemberName,
    },
    /// The steward's copy is whole.
    StewardWhole {
        /// The steward.
        steward: MemberName,
    },
    /// Everything is finished: the grant goes back.
    Released {
        /// The runners left as they stand.
        runners: Vec<ClaimRunner>,
    },
}

/// How a send to a runner ended.
#[derive(Clone, Debug)]
pub enum SendEnd {
    /// The runner's whole sealed body.
    Answered(HopOutcome),
    /// The runner's own failure, after it ran.
    Failed(HopOutcome),
    /// The runner refused, and did not run it.
    ShedByRunner,
    /// Another runner is at the address, and did not run it.
    OtherRunner,
    /// Nothing was sent: the member grant has ended, or the spec no longer allows it.
    Barred(HopReason),
    /// Surely nothing was sent: the runner could not be reached.
    Unsent,
    /// Something was sent, and no good answer came.
    Lost,
}

impl SendEnd {
    /// How a send failed, in a word; nothing if it brought an answer.
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::Answered(_) => None,
            Self::Failed(_) => Some("failed at its runner"),
            Self::ShedByRunner => Some("refused by its runner"),
            Self::OtherRunner => Some("met another runner"),
            Self::Barred(reason) => Some(reason.as_str()),
            Self::Unsent => Some("reached no runner"),
            Self::Lost => Some("lost its answer"),
        }
    }
}
