//! Frames between daemons: transactions passed on, their outcomes, and ledger copies.

use super::{ByteString, Flag, Host, LengthPrefixed};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, IdempotencyKey, Incarnation, Region, ShortString,
    Version,
};
use binrw::binrw;
use std::fmt;

/// Why a transaction was not run, or is unknown.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestFailureReason {
    /// The asked daemon does not hold the function.
    NotHolder = 1,
    /// The inbox is full.
    QueueFull = 2,
    /// It could not be finished in its budget.
    DeadlineTooShort = 3,
    /// The daemon has no member grant, or is leaving.
    NotServing = 4,
    /// No runner could be had.
    NoRunnerAvailable = 5,
    /// The share of extra tries is used up.
    RetryBudgetSpent = 6,
    /// The runner itself refused, under seal.
    RejectedByRunner = 7,
    /// The spec no longer allows it.
    NotAllowed = 8,
    /// The same identity was refused before.
    RejectedBefore = 9,
    /// The same identity is under way.
    InProgress = 10,
    /// The runner's answer was lost, cut short or wrong.
    ResponseLost = 11,
    /// The holder fell silent.
    HolderUnreachable = 12,
    /// No leader or owner was found in time.
    NoOwner = 13,
    /// A new holder does not yet admit transactions that may run only once.
    OnceNotYetAdmitted = 14,
    /// The same identity ran before and its answer is not kept.
    AlreadyRan = 15,
    /// Nobody could be had to note a transaction that may run only once.
    LedgerUnreachable = 16,
}

impl RequestFailureReason {
    /// The reason as callers read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotHolder => "not_holder",
            Self::QueueFull => "inbox_full",
            Self::DeadlineTooShort => "budget_too_short",
            Self::NotServing => "not_serving",
            Self::NoRunnerAvailable => "no_runner",
            Self::RetryBudgetSpent => "tries_spent",
            Self::RejectedByRunner => "runner_shed",
            Self::NotAllowed => "not_allowed",
            Self::RejectedBefore => "shed_before",
            Self::InProgress => "under_way",
            Self::ResponseLost => "answer_lost",
            Self::HolderUnreachable => "holder_silent",
            Self::NoOwner => "no_owner",
            Self::OnceNotYetAdmitted => "once_wait",
            Self::AlreadyRan => "ran_before",
            Self::LedgerUnreachable => "ledger_silent",
        }
    }
}

impl fmt::Display for RequestFailureReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// One header line that is passed on as it came.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeaderField {
    /// Its name.
    pub name: ShortString,
    /// Its value.
    pub value: ByteString,
}

/// What a caller sent, as a runner is to get it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RequestPayload {
    /// The method.
    pub method: ShortString,
    /// Path and query, untouched.
    pub target: ShortString,
    /// The header lines that are passed on, `host` among them.
    pub header_fields: LengthPrefixed<HeaderField>,
    /// The body.
    pub body: ByteString,
}

impl RequestPayload {
    /// A parcel that is nothing but a body.
    pub fn from_body(body: bytes::Bytes) -> Self {
        Self {
            method: ShortString::from("POST"),
            target: ShortString::from("/"),
            header_fields: LengthPrefixed(Vec::new()),
            body: ByteString(body),
        }
    }
}

/// How a transaction ended.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RequestOutcome {
    /// The runner's whole sealed body.
    #[brw(magic = 1u8)]
    Response {
        /// The runner's status.
        status: u16,
        /// The seal as the runner gave it.
        seal: ByteString,
        /// The runner's name.
        runner: crate::identity::RunnerId,
        /// Header lines that go on to the caller.
        header_fields: LengthPrefixed<HeaderField>,
        /// The body.
        body: ByteString,
    },
    /// Nothing was sent to a runner, and nothing will be.
    #[brw(magic = 2u8)]
    NotRun {
        /// Why.
        reason: RequestFailureReason,
        /// When to come back.
        retry_after_ms: u32,
    },
    /// It may have run.
    #[brw(magic = 3u8)]
    Unknown {
        /// Why.
        reason: RequestFailureReason,
    },
}

/// What is known of a once-transaction in a ledger.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LedgerRecordState {
    /// It may be sent to a runner from now on.
    Recorded = 1,
    /// It ran, and was answered.
    Answered = 2,
    /// It may have run.
    Unknown = 3,
    /// It was refused, and must never run.
    Rejected = 4,
}

/// One line of a ledger.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LedgerRecord {
    /// The try's identity.
    pub idempotency_key: IdempotencyKey,
    /// What is known of it.
    pub state: LedgerRecordState,
    /// How long it is worth keeping, in milliseconds.
    pub remaining_ms: u32,
}

/// What daemons say to each other: a question or its answer, tied by a number.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct DaemonFrame {
    /// Ties an answer to its question.
    pub correlation: CorrelationId,
    /// What is said.
    pub body: DaemonMessage,
}

/// The parts of the daemons' talk.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum DaemonMessage {
    /// Passes a transaction on.
    #[brw(magic = 1u8)]
    FunctionRequest {
        /// The try's identity.
        idempotency_key: IdempotencyKey,
        /// The function.
        function: FunctionKey,
        /// The route's name; dense numbers are not the same in every process.
        route: ShortString,
        /// The spec the sender matched it with.
        version: Version,
        /// What is left of the budget, in milliseconds.
        timeout_ms: u32,
        /// How many hops it has made.
        hops: u8,
        /// Whether it is a repeat: the caller's, or of one passed to a holder that fell silent.
        repeat: Flag,
        /// Whether the sender would rather be told the holder than have it passed on.
        wants_referral: Flag,
        /// The region of the daemon that took it from its caller; empty when it lies in none.
        region: Region,
        /// What the caller sent.
        payload: RequestPayload,
    },
    /// Brings the outcome back.
    #[brw(magic = 2u8)]
    Completed {
        /// How it ended.
        outcome: RequestOutcome,
        /// The function's holder, when the answering daemon knows it; with an answer, nobody is named
        /// when it is that daemon itself.
        holder: LengthPrefixed<Host>,
        /// In how many tenths of a second the callers of the asking region are served under a key of their own; zero
        /// when they are not.
        regional_tenths: u8,
    },
    /// A holder has its steward note once-transactions.
    #[brw(magic = 3u8)]
    Record {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
        /// The steward's life that is meant.
        incarnation: Incarnation,
        /// The lines.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// Whether the lines are noted.
    #[brw(magic = 4u8)]
    Recorded {
        /// Yes, or no: another life, or a successor has collected.
        is_stored: Flag,
    },
    /// A successor collects what a steward noted for an earlier grant.
    #[brw(magic = 5u8)]
    Collect {
        /// The function.
        function: FunctionKey,
        /// The earlier grant.
        fencing_token: FencingToken,
        /// The steward's life that is meant.
        incarnation: Incarnation,
    },
    /// The steward's whole copy.
    #[brw(magic = 6u8)]
    Collected {
        /// Whether it is whole: the steward is in the life that is meant.
        complete: Flag,
        /// The lines.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// A holder compares its ledger with its steward's copy.
    #[brw(magic = 7u8)]
    Compare {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
        /// The steward's life that is meant.
        incarnation: Incarnation,
        /// A digest for each range of identities.
        digests: LengthPrefixed<u64>,
    },
    /// The ranges that differ.
    #[brw(magic = 8u8)]
    Differs {
        /// Their numbers.
        ranges: LengthPrefixed<u8>,
    },
}
