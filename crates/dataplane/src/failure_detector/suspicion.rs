//! Suspicions: daemons that have fallen silent, what others say of it, and how it is refuted.

use common::clock::MonotonicTime;
use common::frames::{Heartbeat, MemberIncarnation, SocketAddress, Suspicion};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often a watcher's word that it misses somebody is told: by itself, and once by each who hears it.
pub const MAX_RELAYS: u8 = 2;

/// The most suspicions in one heartbeat, so that it stays one datagram.
pub(super) const MAX_SUSPICIONS: usize = 16;

/// What a watch orders.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FailureDetectorOutput {
    /// Send a heartbeat to these places.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// Tell the leader that this daemon is missed.
    MemberSuspected(MemberIncarnation),
    /// Tell the leader that it is heard.
    MemberRecovered(MemberIncarnation),
}

struct SuspicionRecord {
    last_heard_at: MonotonicTime,
    remaining_relays: u8,
}

/// Whom others miss, as their heartbeats said lately.
#[derive(Default)]
pub(super) struct PeerSuspicions {
    records: BTreeMap<MemberIncarnation, SuspicionRecord>,
}

impl PeerSuspicions {
    /// Takes another's word.
    pub fn received(&mut self, now: MonotonicTime, suspicion: &Suspicion) {
        let remaining_relays = suspicion.remaining_relays.min(MAX_RELAYS).saturating_sub(1);
        self.records
            .entry(suspicion.instance.clone())
            .and_modify(|record| {
                record.last_heard_at = now;
                record.remaining_relays = record.remaining_relays.max(remaining_relays);
            })
            .or_insert(SuspicionRecord {
                last_heard_at: now,
                remaining_relays,
            });
    }

    /// Forgets it: its heartbeat has come in.
    pub fn forget(&mut self, instance: &MemberIncarnation) {
        self.records.remove(instance);
    }

    /// Forgets what nobody has said for so long.
    pub fn expire(&mut self, now: MonotonicTime, span: Duration) {
        self.records
            .retain(|_, record| now.since(record.last_heard_at) < span);
    }

    /// Whether somebody misses it.
    pub fn contains(&self, instance: &MemberIncarnation) -> bool {
        self.records.contains_key(instance)
    }

    /// What is passed on.
    pub fn forwarded(&self) -> impl Iterator<Item = Suspicion> {
        self.records
            .iter()
            .filter(|(_, record)| record.remaining_relays > 0)
            .map(|(instance, record)| Suspicion {
                instance: instance.clone(),
                remaining_relays: record.remaining_relays,
            })
    }
}
