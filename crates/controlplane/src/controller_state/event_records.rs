//! The events that the controller itself records.

use crate::leader_state::{EventDetail, EventRecord};
use common::events::{self, Event};
use common::frames::SocketAddress;
use common::identity::{ControllerId, DocumentVersion, Term};

fn record(event: Event, detail: EventDetail) -> EventRecord {
    EventRecord { event, detail }
}

pub(super) fn disk_write_failed() -> EventRecord {
    record(events::DISK_WRITE_FAILED, EventDetail::NoFields {})
}

pub(super) fn disk_stalled() -> EventRecord {
    record(events::DISK_STALLED, EventDetail::NoFields {})
}

pub(super) fn election_started(term: Term) -> EventRecord {
    record(events::ELECTION_STARTED, EventDetail::Term { term })
}

/// `complete` says whether the `known_members` daemons are all that may hold a lease.
pub(super) fn leader_elected(
    term: Term,
    leader: ControllerId,
    known_members: usize,
    complete: bool,
) -> EventRecord {
    let detail = EventDetail::LeaderElected {
        term,
        controller: leader,
        controller_legacy_key: leader,
        last_known: known_members,
        complete,
    };
    record(events::LEADER_ELECTED, detail)
}

pub(super) fn leader_stepped_down(term: Term) -> EventRecord {
    record(events::LEADER_STEPPED_DOWN, EventDetail::Term { term })
}

pub(super) fn version_committed(committed: DocumentVersion) -> EventRecord {
    let detail = EventDetail::VersionCommitted {
        term: committed.term,
        version: committed.version,
    };
    record(events::VERSION_COMMITTED, detail)
}

/// The voters are at these addresses, once the change is settled.
pub(super) fn quorum_reconfiguring(voters: Vec<SocketAddress>, settled: bool) -> EventRecord {
    let detail = EventDetail::QuorumReconfiguring { voters, settled };
    record(events::QUORUM_RECONFIGURING, detail)
}
