//! Constructors of the events that the controller itself records.

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

/// `known_members` is the number of daemons that are known to hold leases, and `complete` is whether no others may.
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

/// `voters` are the addresses of the next voters, and `settled` is whether the proposal completes the change rather
/// than beginning it.
pub(super) fn quorum_reconfiguring(voters: Vec<SocketAddress>, settled: bool) -> EventRecord {
    let detail = EventDetail::QuorumReconfiguring { voters, settled };
    record(events::QUORUM_RECONFIGURING, detail)
}
