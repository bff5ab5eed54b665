//! The controller's replies to operators. Adapters convert these values into an HTTP status and a body.

use super::history::EventEntry;
use crate::consensus::{BootstrapError, MembershipError, PeerStatus, ProposeError};
use crate::leader_state::LeaderReport;
use common::frames::SocketAddress;
use common::identity::{ChangeId, ControllerId, DocumentVersion, MemberName, Term, Version, Zone};
use common::readers::PathError;
use common::spec::Document;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The reason why an operation has no definite result.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unavailable {
    /// No leader is known.
    NoLeader,
    /// No majority has confirmed the leader recently.
    NoQuorum,
    /// There is no document yet.
    NoDocument,
    /// This controller is not the leader, or has not committed anything in its term yet.
    NotReady,
    /// Another proposal is in flight.
    Busy,
    /// The change may have been applied so long ago that its record has been discarded.
    Forgotten,
    /// The leader cannot be reached; nothing was sent to it.
    LeaderUnreachable,
    /// The request was sent to the leader, but no response was received.
    LeaderLost,
    /// The request cannot be forwarded because it is malformed.
    BadRequest,
    /// This process is stopping.
    Stopping,
}

impl Unavailable {
    /// Returns the reason as it appears in response bodies.
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

/// The reason why the control quorum was not bootstrapped or changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum QuorumChangeError {
    /// The quorum cannot be bootstrapped here.
    #[error(transparent)]
    Bootstrap(#[from] BootstrapError),
    /// The voter cannot be replaced.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// The state of a change of which this controller has no committed record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnrecordedChange {
    /// The change may still be applied, or its record may have been discarded.
    Unknown,
    /// The change has not been applied.
    NotAccepted,
}

impl UnrecordedChange {
    /// Returns the state as it appears in response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::NotAccepted => "not_accepted",
        }
    }
}

/// The status of the control quorum as this controller sees it.
#[derive(Clone, Debug)]
pub struct QuorumStatus {
    /// The ID of this controller.
    pub id: ControllerId,
    /// The current term of this controller.
    pub term: Term,
    /// Whether this controller is the leader.
    pub is_leader: bool,
    /// Whether this controller is the leader and has committed in its term.
    pub is_ready: bool,
    /// Whether this controller is the leader and its claims quorum is reached, so that it grants leases.
    pub is_open: bool,
    /// The address at which the leader serves operators, if a leader is known.
    pub leader: Option<SocketAddress>,
    /// The newest version on this controller's disk.
    pub accepted: Option<DocumentVersion>,
    /// The newest version known to be committed.
    pub committed: DocumentVersion,
    /// The other controllers.
    pub peers: Vec<PeerStatus>,
}

/// The progress of a version at one daemon, as durations since the start of the version's trace.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberProgress {
    /// Until the version was pushed to the daemon's stream.
    pub pushed_after: Option<Duration>,
    /// Until the daemon acknowledged the installation.
    pub installed_after: Option<Duration>,
}

/// One daemon in the trace of a version.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct MemberTraceReport {
    /// The progress of the version. Absent if the trace recorded none.
    pub progress: Option<MemberProgress>,
    /// The reason why the daemon does not have the version, if it does not.
    pub lagging: Option<&'static str>,
}

/// The trace of one version in one term, with durations since the start of the trace.
#[derive(Clone, Debug)]
pub struct VersionTraceReport {
    /// The term of the leader that traced it.
    pub term: Term,
    /// Whether this controller is still the leader in that term.
    pub is_leading_now: bool,
    /// Whether the version was produced by an operator's change accepted here, and not inherited from an earlier
    /// leader.
    pub is_own_change: bool,
    /// Until the version was committed.
    pub committed_after: Option<Duration>,
    /// Until the version was in force, or superseded, at every serving daemon.
    pub in_force_after: Option<Duration>,
    /// Until now.
    pub age: Duration,
    /// The traces by daemon.
    pub members: BTreeMap<MemberName, MemberTraceReport>,
}

/// What this controller knows about the propagation of one version.
#[derive(Clone, Debug)]
pub struct TraceReport {
    /// The requested version, or the newest one. Absent if the newest was requested and nothing was traced here.
    pub version: Option<Version>,
    /// The ID of this controller.
    pub controller: ControllerId,
    /// One trace for each term in which the version was traced. Empty if the version was not traced here.
    pub traces: Vec<VersionTraceReport>,
}

/// The reply to an operation.
#[derive(Clone, Debug)]
pub enum OperationReply {
    /// The metrics have been updated. The driver renders the metrics page.
    MetricsUpdated,
    /// The status of the control quorum.
    Quorum(Box<QuorumStatus>),
    /// The propagation of one version.
    Trace(TraceReport),
    /// Events, oldest first.
    Events(Vec<EventEntry>),
    /// A list that the leader reports.
    LeaderReport(LeaderReport),
    /// The bootstrap of the control quorum has started.
    Bootstrapping,
    /// The replacement of a voter has started.
    ReplacingVoter {
        /// The version that names the new voters.
        version: Version,
    },
    /// The control quorum was not changed.
    QuorumChangeRejected(QuorumChangeError),
    /// This controller has no committed record of the change.
    ChangeUnrecorded {
        /// The change's ID.
        change: ChangeId,
        /// What is known about the change.
        state: UnrecordedChange,
    },
    /// The newest spec.
    Spec {
        /// The document that contains the spec.
        document: Box<Document>,
        /// The newest version that is in force everywhere.
        in_force: Version,
    },
    /// The change is on the disks of a majority.
    Accepted {
        /// The change's ID.
        change: ChangeId,
        /// The version that the change produced.
        version: Version,
        /// The operators' number of that version, or zero if they gave none.
        number: u64,
        /// Whether the version is in force everywhere.
        in_force: bool,
    },
    /// The change is not based on the current spec. Nothing was written.
    Stale {
        /// The change's ID.
        change: ChangeId,
        /// The current version.
        version: Version,
        /// The operators' current number.
        number: u64,
    },
    /// The change is invalid. Nothing was written.
    Invalid(Vec<PathError>),
    /// The zone does not exist. Nothing was written.
    UnknownZone {
        /// The zone in the request.
        zone: Zone,
        /// The known zones.
        known: BTreeSet<Zone>,
    },
    /// The change would leave no zone in use. Nothing was written.
    LastZone,
    /// The operation has not been carried out and will not be.
    NotAccepted {
        /// The reason.
        reason: Unavailable,
        /// The change's ID, if it is known here.
        change: Option<ChangeId>,
    },
    /// The operation may have been carried out, or may still be.
    Unknown {
        /// The reason.
        reason: Unavailable,
        /// The change's ID, if it is known here.
        change: Option<ChangeId>,
    },
    /// A read cannot be answered at the moment.
    TemporarilyUnavailable(Unavailable),
    /// The request must be sent to the leader, which serves operators at this address.
    Redirect(SocketAddress),
}
