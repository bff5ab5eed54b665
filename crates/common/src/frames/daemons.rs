//! Frames between daemons: forwarded requests, their outcomes, and the replication of ledgers.

use super::{ByteString, Flag, Host, LengthPrefixed};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, IdempotencyKey, Incarnation, Region, ShortString,
    Version,
};
use binrw::binrw;
use std::fmt;

/// Why a request was not run, or why its outcome is unknown.
///
/// The numbers are those of the wire; the texts of [`as_str`](Self::as_str) are what callers read.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestFailureReason {
    /// The daemon does not hold the function.
    NotHolder = 1,
    /// The queue is full.
    QueueFull = 2,
    /// It could not be finished before its deadline.
    DeadlineTooShort = 3,
    /// The daemon has no session lease, or is leaving.
    NotServing = 4,
    /// No runner was available.
    NoRunnerAvailable = 5,
    /// The retry budget is used up.
    RetryBudgetSpent = 6,
    /// The runner itself rejected it, under seal.
    RejectedByRunner = 7,
    /// The spec no longer allows it.
    NotAllowed = 8,
    /// A request with the same idempotency key was rejected before.
    RejectedBefore = 9,
    /// A request with the same idempotency key is in progress.
    InProgress = 10,
    /// The runner's response was lost, cut short or invalid.
    ResponseLost = 11,
    /// The holder became unreachable.
    HolderUnreachable = 12,
    /// No leader or hash owner was found in time.
    NoOwner = 13,
    /// A new holder does not yet admit requests that may run only once.
    OnceNotYetAdmitted = 14,
    /// A request with the same idempotency key ran before, and its response is not stored.
    AlreadyRan = 15,
    /// No ledger replica could record a request that may run only once.
    LedgerUnreachable = 16,
}

impl RequestFailureReason {
    /// Returns the reason as callers read it.
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

/// One header field that is forwarded unchanged.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeaderField {
    /// The field's name.
    pub name: ShortString,
    /// The field's value.
    pub value: ByteString,
}

/// A caller's request as it is forwarded to a runner.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RequestPayload {
    /// The method.
    pub method: ShortString,
    /// The path and query, unchanged.
    pub target: ShortString,
    /// The header fields that are forwarded, `host` among them.
    pub header_fields: LengthPrefixed<HeaderField>,
    /// The body.
    pub body: ByteString,
}

impl RequestPayload {
    /// Creates a POST request to `/` with a body and no header fields.
    pub fn from_body(body: bytes::Bytes) -> Self {
        Self {
            method: ShortString::from("POST"),
            target: ShortString::from("/"),
            header_fields: LengthPrefixed(Vec::new()),
            body: ByteString(body),
        }
    }
}

/// How a request ended.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RequestOutcome {
    /// The runner's complete response, with its seal.
    #[brw(magic = 1u8)]
    Response {
        /// The HTTP status.
        status: u16,
        /// The seal as the runner sent it.
        seal: ByteString,
        /// The runner.
        runner: crate::identity::RunnerId,
        /// The header fields that are forwarded to the caller.
        header_fields: LengthPrefixed<HeaderField>,
        /// The body.
        body: ByteString,
    },
    /// It was not run by any runner, and will not be.
    #[brw(magic = 2u8)]
    NotRun {
        /// Why.
        reason: RequestFailureReason,
        /// After how many milliseconds a retry is worthwhile.
        retry_after_ms: u32,
    },
    /// It may have run.
    #[brw(magic = 3u8)]
    Unknown {
        /// Why.
        reason: RequestFailureReason,
    },
}

/// What a ledger records of a request that may run only once.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LedgerRecordState {
    /// It may be sent to a runner from now on.
    Recorded = 1,
    /// It ran, and its response was valid.
    Answered = 2,
    /// It may have run.
    Unknown = 3,
    /// It was rejected, and must never run.
    Rejected = 4,
}

/// One entry of a ledger.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LedgerRecord {
    /// The request's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// What is recorded of it.
    pub state: LedgerRecordState,
    /// How many milliseconds the entry has still to be kept.
    pub remaining_ms: u32,
}

/// A frame from one daemon to another: a request or the response to one.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct DaemonFrame {
    /// Ties a response to its request on this connection; the side that sends the request chooses it.
    pub correlation: CorrelationId,
    /// The message.
    pub body: DaemonMessage,
}

/// The messages between daemons.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum DaemonMessage {
    /// From a daemon to the function's holder or hash owner: forwards a request. Answered by `Completed`.
    #[brw(magic = 1u8)]
    FunctionRequest {
        /// The request's idempotency key.
        idempotency_key: IdempotencyKey,
        /// The function.
        function: FunctionKey,
        /// The route's name, since an index is valid within one process only.
        route: ShortString,
        /// The version of the spec that the sender matched it with.
        version: Version,
        /// The time left until the request's deadline, in milliseconds.
        time_limit_ms: u32,
        /// How many times it has been forwarded.
        hops: u8,
        /// Whether it is a repeat: marked so by the caller, or sent again because a holder became unreachable.
        repeat: Flag,
        /// Whether the receiver, if it is not the holder, should name the holder instead of forwarding the request.
        wants_referral: Flag,
        /// The region of the daemon that took the request from its caller; empty if that daemon is in none.
        region: Region,
        /// What the caller sent.
        payload: RequestPayload,
    },
    /// Answers `FunctionRequest` with the outcome.
    #[brw(magic = 2u8)]
    Completed {
        /// The outcome.
        outcome: RequestOutcome,
        /// The function's holder, if the answering daemon knows it. Beside a response, none means that the answering
        /// daemon is the holder.
        holder: LengthPrefixed<Host>,
        /// In how many tenths of a second callers of the requesting region will be served under a regional key; zero if
        /// they will not.
        regional_tenths: u8,
    },
    /// From a holder to its ledger replica: records entries before their requests are sent. Answered by `Recorded`.
    #[brw(magic = 3u8)]
    Record {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
        /// The replica's incarnation that is meant; another one has lost the copy.
        incarnation: Incarnation,
        /// The entries.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// Answers `Record`.
    #[brw(magic = 4u8)]
    Recorded {
        /// Whether the entries are stored. They are not if the replica has another incarnation, or a later holder has
        /// collected the copy.
        is_stored: Flag,
    },
    /// From a new holder to an earlier holder's ledger replica: requests the copy of that ledger. Answered by
    /// `Collected`.
    #[brw(magic = 5u8)]
    Collect {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the earlier lease.
        fencing_token: FencingToken,
        /// The replica's incarnation that is meant; another one has lost the copy.
        incarnation: Incarnation,
    },
    /// Answers `Collect` with the replica's copy.
    #[brw(magic = 6u8)]
    Collected {
        /// Whether the copy is complete: the replica has the incarnation that is meant.
        complete: Flag,
        /// The entries.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// From a holder to its ledger replica: compares the ledger with the copy. Answered by `Differs`.
    #[brw(magic = 7u8)]
    Compare {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
        /// The replica's incarnation that is meant; another one has lost the copy.
        incarnation: Incarnation,
        /// A digest for each range of idempotency keys.
        digests: LengthPrefixed<u64>,
    },
    /// Answers `Compare` with the ranges that differ.
    #[brw(magic = 8u8)]
    Differs {
        /// The positions of the ranges in the list of digests.
        ranges: LengthPrefixed<u8>,
    },
}

/// What a daemon tells another about a request that it has forwarded there.
///
/// A notice travels as a [`DaemonMessage::Completed`] in the direction of the request, under the request's correlation:
/// a daemon of earlier sources, which expects `Completed` only as an answer, passes over it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequesterNotice {
    /// The requester can wait no longer for a runner: if none has the request, it is to end as not run. Its outcome is
    /// still awaited.
    Withdrawn,
    /// The requester has given the request up, and reads no outcome of it.
    Abandoned,
}

impl RequesterNotice {
    /// The message that carries this notice.
    pub fn into_message(self) -> DaemonMessage {
        let outcome = match self {
            Self::Withdrawn => RequestOutcome::NotRun {
                reason: RequestFailureReason::NotServing,
                retry_after_ms: 0,
            },
            Self::Abandoned => RequestOutcome::Unknown {
                reason: RequestFailureReason::HolderUnreachable,
            },
        };
        DaemonMessage::Completed {
            outcome,
            holder: LengthPrefixed(Vec::new()),
            regional_tenths: 0,
        }
    }

    /// The notice that a message from a requester carries; none if it carries none.
    pub fn from_message(message: &DaemonMessage) -> Option<Self> {
        match message {
            DaemonMessage::Completed {
                outcome: RequestOutcome::NotRun { .. },
                ..
            } => Some(Self::Withdrawn),
            DaemonMessage::Completed {
                outcome: RequestOutcome::Unknown { .. },
                ..
            } => Some(Self::Abandoned),
            _ => None,
        }
    }
}
