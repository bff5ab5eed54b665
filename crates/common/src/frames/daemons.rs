//! Frames between daemons: forwarded requests, their outcomes and ledger replication.
//!
//! A ledger is the holder's record of a function's requests by idempotency key. Another daemon, the ledger replica, keeps
//! a copy of it, which the next holder collects.

use super::{ByteString, Flag, Host, LengthPrefixed};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, IdempotencyKey, Incarnation, Region, ShortString,
    Version,
};
use binrw::binrw;
use std::fmt;

/// Why a request was not run, or why its outcome is unknown.
///
/// The discriminants are the codes on the wire; callers see the texts of [`as_str`](Self::as_str).
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestFailureReason {
    /// The daemon does not hold the function.
    NotHolder = 1,
    /// The function's queue is full.
    QueueFull = 2,
    /// The request cannot be completed before its deadline.
    DeadlineTooShort = 3,
    /// The daemon has no session lease or is leaving.
    NotServing = 4,
    /// No runner was available.
    NoRunnerAvailable = 5,
    /// The retry budget is exhausted.
    RetryBudgetSpent = 6,
    /// The runner rejected the request, in a sealed response.
    RejectedByRunner = 7,
    /// The spec no longer allows the request.
    NotAllowed = 8,
    /// An earlier request with the same idempotency key was rejected.
    RejectedBefore = 9,
    /// A request with the same idempotency key is in progress.
    InProgress = 10,
    /// The runner's response was lost, truncated or invalid.
    ResponseLost = 11,
    /// The holder became unreachable.
    HolderUnreachable = 12,
    /// No leader or hash owner was found in time.
    NoOwner = 13,
    /// The holder is new and does not yet admit requests that may run only once.
    OnceNotYetAdmitted = 14,
    /// An earlier request with the same idempotency key ran, and its response is not stored.
    AlreadyRan = 15,
    /// No ledger replica could record a request that may run only once.
    LedgerUnreachable = 16,
}

impl RequestFailureReason {
    /// Returns the text of the reason that callers see.
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

/// The name of the header field that names the host that a request is for.
const HOST_HEADER: &str = "host";

/// A header field that is forwarded unchanged.
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
    /// The forwarded header fields, including `host`.
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

    /// Returns the value of the `host` header field; empty if there is none or it is not UTF-8.
    pub fn host(&self) -> &str {
        let host_field = self
            .header_fields
            .0
            .iter()
            .find(|field| field.name.as_str().eq_ignore_ascii_case(HOST_HEADER));
        host_field
            .and_then(|field| std::str::from_utf8(&field.value.0).ok())
            .unwrap_or("")
    }

    /// Returns the path of the target, without the query.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }
}

/// The outcome of a request.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RequestOutcome {
    /// A runner's complete response, with its seal.
    #[brw(magic = 1u8)]
    Response {
        /// The HTTP status.
        status: u16,
        /// The seal, as the runner sent it.
        seal: ByteString,
        /// The runner that responded.
        runner: crate::identity::RunnerId,
        /// The header fields that are forwarded to the caller.
        header_fields: LengthPrefixed<HeaderField>,
        /// The body.
        body: ByteString,
    },
    /// No runner has run the request, and none will.
    #[brw(magic = 2u8)]
    NotRun {
        /// The reason.
        reason: RequestFailureReason,
        /// After how many milliseconds the caller should retry.
        retry_after_ms: u32,
    },
    /// The request may have run.
    #[brw(magic = 3u8)]
    Unknown {
        /// The reason.
        reason: RequestFailureReason,
    },
}

/// The state that a ledger records for a request that may run only once.
#[binrw]
#[brw(big)]
#[brw(repr = u8)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LedgerRecordState {
    /// The request may be sent to a runner from now on.
    Recorded = 1,
    /// The request ran, and its response was valid.
    Answered = 2,
    /// The request may have run.
    Unknown = 3,
    /// The request was rejected and must never run.
    Rejected = 4,
}

/// An entry of a ledger.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LedgerRecord {
    /// The request's idempotency key.
    pub idempotency_key: IdempotencyKey,
    /// The recorded state of the request.
    pub state: LedgerRecordState,
    /// How many more milliseconds the entry must be kept.
    pub remaining_ms: u32,
}

/// A frame from one daemon to another: a request or the response to one.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub struct DaemonFrame {
    /// Matches a response to its request on this connection. Chosen by the sender of the request.
    pub correlation: CorrelationId,
    /// The message.
    pub body: DaemonMessage,
}

/// The messages between daemons.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum DaemonMessage {
    /// Forwards a request to the function's holder or hash owner. Answered by `Completed`.
    #[brw(magic = 1u8)]
    FunctionRequest {
        /// The request's idempotency key.
        idempotency_key: IdempotencyKey,
        /// The function.
        function: FunctionKey,
        /// The route's name. An index would be valid only within one process.
        route: ShortString,
        /// The version of the spec in which the sender looked up the route.
        version: Version,
        /// The time left until the request's deadline, in milliseconds.
        time_limit_ms: u32,
        /// How many times the request has been forwarded.
        hops: u8,
        /// Whether the request is a repeat: the caller marked it as one, or it is sent again because a holder became
        /// unreachable.
        repeat: Flag,
        /// Whether the receiver, if it is not the holder, should name the holder instead of forwarding the request.
        wants_referral: Flag,
        /// The region of the daemon that received the request from its caller; empty if that daemon is in no region.
        region: Region,
        /// The caller's request.
        payload: RequestPayload,
    },
    /// Answers `FunctionRequest` with the outcome.
    #[brw(magic = 2u8)]
    Completed {
        /// The outcome.
        outcome: RequestOutcome,
        /// The function's holder, if the answering daemon knows it. Empty with a response if the answering daemon is
        /// itself the holder.
        holder: LengthPrefixed<Host>,
        /// In how many tenths of a second callers of the requesting region will be served under a regional key; zero if
        /// they will not be.
        regional_delay_deciseconds: u8,
    },
    /// From a holder to its ledger replica: records entries before their requests are sent to runners. Answered by
    /// `Recorded`.
    #[brw(magic = 3u8)]
    Record {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
        /// The incarnation of the replica that has the copy. Later incarnations have lost it.
        incarnation: Incarnation,
        /// The entries.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// Answers `Record`.
    #[brw(magic = 4u8)]
    Recorded {
        /// Whether the entries are stored. They are not if the replica is another incarnation, or if a later holder has
        /// already collected the copy.
        is_stored: Flag,
    },
    /// From a new holder to an earlier holder's ledger replica: requests the copy of the ledger. Answered by
    /// `Collected`.
    #[brw(magic = 5u8)]
    Collect {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the earlier lease.
        fencing_token: FencingToken,
        /// The incarnation of the replica that has the copy. Later incarnations have lost it.
        incarnation: Incarnation,
    },
    /// Answers `Collect` with the replica's copy.
    #[brw(magic = 6u8)]
    Collected {
        /// Whether the copy is complete: the replica is the requested incarnation.
        complete: Flag,
        /// The entries.
        records: LengthPrefixed<LedgerRecord>,
    },
    /// From a holder to its ledger replica: compares the holder's ledger with the copy. Answered by `Differs`.
    #[brw(magic = 7u8)]
    Compare {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
        /// The incarnation of the replica that has the copy. Later incarnations have lost it.
        incarnation: Incarnation,
        /// A digest of the entries in each range of idempotency keys.
        digests: LengthPrefixed<u64>,
    },
    /// Answers `Compare` with the ranges that differ.
    #[brw(magic = 8u8)]
    Differs {
        /// The positions of the ranges in the list of digests.
        ranges: LengthPrefixed<u8>,
    },
}

/// A notice from a daemon about a request that it has forwarded to another daemon.
///
/// A notice is sent as a [`DaemonMessage::Completed`] in the direction of the request, with the request's correlation
/// number. Older versions of the daemon expect `Completed` only as an answer and ignore the notice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequesterNotice {
    /// The requester cannot wait any longer for a runner. A request that no runner has received yet must end as not
    /// run. The requester still waits for the outcome.
    Withdrawn,
    /// The requester has abandoned the request and ignores its outcome.
    Abandoned,
}

impl RequesterNotice {
    /// Returns the message that carries this notice.
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
            regional_delay_deciseconds: 0,
        }
    }

    /// Returns the notice in a message from a requester, if the message is one.
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
