//! What the controller replies to operators. These types hold values; adapters turn them into a status and a body.

use super::history::EventEntry;
use crate::consensus::{BootstrapError, MembershipError, PeerStatus, ProposeError};
use crate::leader_state::LeaderReport;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, MemberName, Term, Version, Zone};
use common::readers::PathError;
use common::spec::Document;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Why an operator gets no definite result.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unavailable {
    /// No leader is known.
    NoLeader,
    /// The leader has not been confirmed by a majority lately.
    NoQuorum,
    /// There is no document yet.
    NoDocument,
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight.
    Busy,
    /// The change may have been applied so long ago that no record of it is left.
    Forgotten,
    /// The leader cannot be reached; nothing was sent to it.
    LeaderUnreachable,
    /// The request was sent to the leader, which did not respond.
    LeaderLost,
    /// The request cannot be forwarded.
    BadRequest,
    /// This process is stopping.
    Stopping,
}

impl Unavailable {
    /// The reason as it stands in response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLeader => "no_leader",
            Self::NoQuorum => "no_quorum",
            Self::NoDocument => "no_document",
            Self::NotReady => "no ready leader here",
            Self::Busy => "another change is in flight",
            Self::Forgotten => "forgotten",
            Self::LeaderUnreachable => "leader_unreachable",
            Self::LeaderLost => "leader_lost",
            Self::BadRequest => "bad_request",
            Self::Stopping => "stopping",
        }
    }
}

impl From<ProposeError> for Unavailable {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotReady => Self::NotReady,
            ProposeError::Busy => Self::Busy,
        }
    }
}

/// Why the control quorum was not bootstrapped or changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum QuorumChangeError {
    /// The quorum cannot be bootstrapped here.
    #[error(transparent)]
    Bootstrap(#[from] BootstrapError),
    /// The voter cannot be replaced.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// What is known of a change that this controller has no committed record of.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnrecordedChange {
    /// It may be applied yet, or its record may have been forgotten.
    Unknown,
    /// It has not been applied.
    NotAccepted,
}

impl UnrecordedChange {
    /// The state as it stands in response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::NotAccepted => "not_accepted",
        }
    }
}

/// The control quorum as this controller sees it.
#[derive(Clone, Debug)]
pub struct QuorumStatus {
    /// This controller.
    pub id: ControllerId,
    /// Its term.
    pub term: Term,
    /// Whether it leads.
    pub is_leader: bool,
    /// Whether it leads and has committed under its term.
    pub is_ready: bool,
    /// Whether, as leader, it knows the daemons well enough to hand out leases.
    pub is_open: bool,
    /// Where operators reach the leader, if one is known.
    pub leader: Option<SocketAddress>,
    /// The newest version on its disk.
    pub accepted: Option<DocumentVersion>,
    /// The newest version known to be committed.
    pub committed: DocumentVersion,
    /// The other controllers.
    pub peers: Vec<PeerStatus>,
}

/// How far a version came at one daemon; spans since the version's trace began.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberProgress {
    /// Until it was pushed down the daemon's stream.
    pub pushed_after: Option<Duration>,
    /// Until the daemon acknowledged that it is installed.
    pub installed_after: Option<Duration>,
}

/// One daemon in the trace of a version.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct MemberTraceReport {
    /// How far the version came; absent for a daemon that only lags.
    pub progress: Option<MemberProgress>,
    /// Why it does not have the version, if it does not.
    pub lagging: Option<&'static str>,
}

/// The trace of one version under one term; spans since it began.
#[derive(Clone, Debug)]
pub struct VersionTraceReport {
    /// The term of the leader that traced it.
    pub term: Term,
    /// Whether this controller still leads under that term.
    pub is_leading_now: bool,
    /// Whether an operator's change accepted here made the version; otherwise it was inherited.
    pub is_own_change: bool,
    /// Until it was committed.
    pub committed_after: Option<Duration>,
    /// Until it was in force, or replaced, at every daemon that serves.
    pub in_force_after: Option<Duration>,
    /// Until now.
    pub age: Duration,
    /// The daemons.
    pub members: BTreeMap<MemberName, MemberTraceReport>,
}

/// What this controller knows of the propagation of one version.
#[derive(Clone, Debug)]
pub struct TraceReport {
    /// The version asked for, or the newest; none if nothing was traced here.
    pub version: Option<Version>,
    /// This controller.
    pub controller: ControllerId,
    /// One trace for each term in which the version was traced; none if it is unknown.
    pub traces: Vec<VersionTraceReport>,
}

/// The reply to an operator.
#[derive(Clone, Debug)]
pub enum OperationReply {
    /// The metrics have been updated; the driver that holds them writes the page.
    MetricsUpdated,
    /// The control quorum.
    Quorum(Box<QuorumStatus>),
    /// The propagation of one version.
    Trace(TraceReport),
    /// Events, oldest first.
    Events(Vec<EventEntry>),
    /// A list of the leader's.
    LeaderReport(LeaderReport),
    /// Bootstrapping the control quorum has begun.
    Bootstrapping,
    /// Replacing a voter has begun.
    ReplacingVoter {
        /// The version that names the new voters.
        version: Version,
    },
    /// The control quorum stays as it is.
    QuorumChangeRejected(QuorumChangeError),
    /// There is no committed record of a change here.
    ChangeUnrecorded {
        /// The change's name.
        change: ChangeId,
        /// What is known of it.
        state: UnrecordedChange,
    },
    /// The newest spec.
    Spec {
        /// The document that holds it.
        document: Box<Document>,
        /// The newest version that is in force everywhere.
        in_force: Version,
    },
    /// A change is on the disks of a majority.
    Accepted {
        /// Its name.
        change: ChangeId,
        /// The version it made.
        version: Version,
        /// The operators' number; zero if they gave none.
        number: u64,
        /// Whether it is in force everywhere.
        in_force: bool,
    },
    /// The current spec is not the one that a change is built on; nothing was written.
    Stale {
        /// The change's name.
        change: ChangeId,
        /// The current version.
        version: Version,
        /// The operators' current number.
        number: u64,
    },
    /// A change is invalid; nothing was written.
    Invalid(Vec<PathError>),
    /// There is no such zone; nothing was written.
    UnknownZone {
        /// The zone that was named.
        zone: Zone,
        /// Those that are known.
        known: BTreeSet<Zone>,
    },
    /// No zone would be left; nothing was written.
    LastZone,
    /// A change did not happen and will not.
    NotAccepted {
        /// Why.
        reason: Unavailable,
        /// Its name, if it is known here.
        change: Option<ChangeId>,
    },
    /// A change may have happened, or may yet.
    Unknown {
        /// Why.
        reason: Unavailable,
        /// Its name, if it is known here.
        change: Option<ChangeId>,
    },
    /// A question cannot be answered now.
    TemporarilyUnavailable(Unavailable),
    /// The leader replies; the address is the one at which it serves operators.
    Redirect(SocketAddress),
}
