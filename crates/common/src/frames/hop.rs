//! Frames between daemons: transactions passed on, their outcomes, and ledger copies.

use super::{Blob, Flag, Host, Many};
use crate::identity::{
    CorrelationId, FunctionKey, GrantSerial, Incarnation, Region, Serial, TransactionId, Wording,
};
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
    /// Nobody could be had to note a transaction that may run only once.
    LedgerSilent = 16,
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
            Self::LedgerSilent => "ledger_silent",
        }
    }
}

impl fmt::Display for HopReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// One header line that is passed on as it came.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeadLine {
    /// Its name.
    pub name: Wording,
    /// Its value.
    pub value: Blob,
}

/// What a caller sent, as a runner is to get it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Parcel {
    /// The method.
    pub method: Wording,
    /// Path and query, untouched.
    pub target: Wording,
    /// The header lines that are passed on, `host` among them.
    pub lines: Many<HeadLine>,
    /// The body.
    pub body: Blob,
}

impl Parcel {
    /// A parcel that is nothing but a body.
    pub fn of_body(body: bytes::Bytes) -> Self {
        Self {
            method: Wording::from("POST"),
            target: Wording::from("/"),
            lines: Many(Vec::new()),
            body: Blob(body),
        }
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
        /// Header lines that go on to the caller.
        lines: Many<HeadLine>,
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

/// What is known of a once-transaction in a ledger.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum NoteState {
    /// It may be sent to a runner from now on.
    Noted = 1,
    /// It ran, and was answered.
    Answered = 2,
    /// It may have run.
    Unknown = 3,
    /// It was refused, and must never run.
    Refused = 4,
}

/// One line of a ledger.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LedgerNote {
    /// The try's identity.
    pub transaction: TransactionId,
    /// What is known of it.
    pub state: NoteState,
    /// How long it is worth keeping, in milliseconds.
    pub left_ms: u32,
}

/// What daemons say to each other: a question or its answer, tied by a number.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct HopFrame {
    /// Ties an answer to its question.
    pub correlation: CorrelationId,
    /// What is said.
    pub body: HopBody,
}

/// The parts of the daemons' talk.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum HopBody {
    /// Passes a transaction on.
    #[brw(magic = 1u8)]
    Ask {
        /// The try's identity.
        transaction: TransactionId,
        /// The function.
        function: FunctionKey,
        /// The route's name; dense numbers are not the same in every process.
        route: TransactionId,
        /// The spec the sender matched it with.
        serial: Serial,
        /// What is left of the budget, in milliseconds.
        budget_ms: u32,
        /// How many hops it has made.
        hops: u8,
        /// Whether it is a repeat: the caller's, or of one passed to a holder that fell silent.
        repeat: Flag,
        /// Whether the sender would rather be told the holder than have it passed on.
        refer: Flag,
        /// The region of the daemon that took it from its caller; empty when it lies in none.
        region: Region,
        /// What the caller sent.
        parcel: Parcel,
    },
    /// Brings the outcome back.
    #[brw(magic = 2u8)]
    Done {
        /// How it ended.
        outcome: HopOutcome,
        /// The function's holder, when the answering daemon knows it; with an answer, nobody is named
        /// when it is that daemon itself.
        holder: Many<Host>,
        /// In how many tenths of a second the callers of the asking region are served under a key of their own; zero
        /// when they are not.
        regional_tenths: u8,
    },
    /// A holder has its steward note once-transactions.
    #[brw(magic = 3u8)]
    Note {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        grant: GrantSerial,
        /// The steward's life that is meant.
        incarnation: Incarnation,
        /// The lines.
        notes: Many<LedgerNote>,
    },
    /// Whether the lines are noted.
    #[brw(magic = 4u8)]
    Noted {
        /// Yes, or no: another life, or a successor has collected.
        kept: Flag,
    },
    /// A successor collects what a steward noted for an earlier grant.
    #[brw(magic = 5u8)]
    Collect {
        /// The function.
        function: FunctionKey,
        /// The earlier grant.
        grant: GrantSerial,
        /// The steward's life that is meant.
        incarnation: Incarnation,
    },
    /// The steward's whole copy.
    #[brw(magic = 6u8)]
    Collected {
        /// Whether it is whole: the steward is in the life that is meant.
        whole: Flag,
        /// The lines.
        notes: Many<LedgerNote>,
    },
    /// A holder compares its ledger with its steward's copy.
    #[brw(magic = 7u8)]
    Compare {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        grant: GrantSerial,
        /// The steward's life that is meant.
        incarnation: Incarnation,
        /// A digest for each range of identities.
        digests: Many<u64>,
    },
    /// The ranges that differ.
    #[brw(magic = 8u8)]
    Differs {
        /// Their numbers.
        ranges: Many<u8>,
    },
}
