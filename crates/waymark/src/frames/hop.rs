use super::{Blob, Flag, Host, Many};
use crate::identity::{CorrelationId, FunctionKey, Serial, TransactionId};
use binrw::binrw;
use std::fmt;

/// Why a transaction was not run, or is unknown.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum HopReason {
    /// The asked daemon does not hold the function.
    NotHolder = 1,
    /// The inbox is full.
    InboxFull = 2,
    /// It could not be finished in its budget.
    BudgetTooShort = 3,
    /// The daemon has no member grant, or is leaving.
    NotServing = 4,
    /// No runner could be had.
    NoRunner = 5,
    /// The share of extra tries is used up.
    TriesSpent = 6,
    /// The runner itself refused, under seal.
    RunnerShed = 7,
    /// The spec no longer allows it.
    NotAllowed = 8,
    /// The same identity was refused before.
    ShedBefore = 9,
    /// The same identity is under way.
    UnderWay = 10,
    /// The runner's answer was lost, cut short or wrong.
    AnswerLost = 11,
    /// The holder fell silent.
    HolderSilent = 12,
    /// No leader or owner was found in time.
    NoOwner = 13,
    /// A new holder does not yet admit transactions that may run only once.
    OnceWait = 14,
    /// The same identity ran before and its answer is not kept.
    RanBefore = 15,
}

impl HopReason {
    /// The reason as callers read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotHolder => "not_holder",
            Self::InboxFull => "inbox_full",
            Self::BudgetTooShort => "budget_too_short",
            Self::NotServing => "not_serving",
            Self::NoRunner => "no_runner",
            Self::TriesSpent => "tries_spent",
            Self::RunnerShed => "runner_shed",
            Self::NotAllowed => "not_allowed",
            Self::ShedBefore => "shed_before",
            Self::UnderWay => "under_way",
            Self::AnswerLost => "answer_lost",
            Self::HolderSilent => "holder_silent",
            Self::NoOwner => "no_owner",
            Self::OnceWait => "once_wait",
            Self::RanBefore => "ran_before",
        }
    }
}

impl fmt::Display for HopReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// How a transaction ended.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum HopOutcome {
    /// The runner's whole sealed body.
    #[brw(magic = 1u8)]
    Answer {
        /// The runner's status.
        status: u16,
        /// The seal as the runner gave it.
        seal: Blob,
        /// The runner's name.
        runner: crate::identity::RunnerId,
        /// The body.
        body: Blob,
    },
    /// Nothing was sent to a runner, and nothing will be.
    #[brw(magic = 2u8)]
    NotRun {
        /// Why.
        reason: HopReason,
        /// When to come back.
        retry_ms: u32,
    },
    /// It may have run.
    #[brw(magic = 3u8)]
    Unknown {
        /// Why.
        reason: HopReason,
    },
}

/// What daemons say to each other about transactions.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum HopFrame {
    /// Passes a transaction on.
    #[brw(magic = 1u8)]
    Ask {
        /// Ties the answer to it.
        correlation: CorrelationId,
        /// The try's identity.
        transaction: TransactionId,
        /// The function.
        function: FunctionKey,
        /// The route's dense number is not stable between daemons, so its name travels.
        route: TransactionId,
        /// The spec the sender matched it with.
        serial: Serial,
        /// What is left of the budget, in milliseconds.
        budget_ms: u32,
        /// How many hops it has made.
        hops: u8,
        /// Whether the caller marked it a repeat.
        repeat: Flag,
        /// The caller's body.
        body: Blob,
    },
    /// Brings the outcome back.
    #[brw(magic = 2u8)]
    Done {
        /// The question it answers.
        correlation: CorrelationId,
        /// How it ended.
        outcome: HopOutcome,
        /// The function's holder, when the answering daemon knows it.
        holder: Many<Host>,
    },
}
