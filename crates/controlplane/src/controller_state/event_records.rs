//! The events that the controller itself records, with the details that operators read.

use crate::leader_state::EventRecord;
use common::events::{self, Event};
use common::frames::SocketAddress;
use common::identity::{ControllerId, DocumentVersion, Term};
use serde_json::{Value, json};

fn record(event: Event, detail: Value) -> EventRecord {
    EventRecord { event, detail }
}

pub(super) fn disk_write_failed() -> EventRecord {
    record(events::DISK_WRITE_FAILED, json!({}))
}

pub(super) fn disk_stalled() -> EventRecord {
    record(events::DISK_STALLED, json!({}))
}

pub(super) fn election_started(term: Term) -> EventRecord {
    record(events::ELECTION_STARTED, json!({"term": term.0}))
}

/// `complete` says whether the `known_members` daemons are all that may hold a lease.
pub(super) fn leader_elected(
    term: Term,
    leader: ControllerId,
    known_members: usize,
    complete: bool,
) -> EventRecord {
    let detail = json!({
        "term": term.0,
        "controller": format!("{:x}", leader.0),
        "surveyor": format!("{:x}", leader.0),
        "last_known": known_members,
        "whole": complete,
    });
    record(events::LEADER_ELECTED, detail)
}

pub(super) fn leader_stepped_down(term: Term) -> EventRecord {
    record(events::LEADER_STEPPED_DOWN, json!({"term": term.0}))
}

pub(super) fn version_committed(committed: DocumentVersion) -> EventRecord {
    let detail = json!({"term": committed.term.0, "serial": committed.version.0});
    record(events::VERSION_COMMITTED, detail)
}

/// The voters are at these addresses, once the change is settled.
pub(super) fn quorum_reconfiguring(voters: &[SocketAddress], settled: bool) -> EventRecord {
    let addresses: Vec<String> = voters.iter().map(SocketAddress::to_string).collect();
    let detail = json!({"core": addresses, "settled": settled});
    record(events::QUORUM_RECONFIGURING, detail)
}
