//! Suspicions reported by other daemons, how far they are relayed, and how a heartbeat refutes them.

use common::clock::MonotonicTime;
use common::frames::{Heartbeat, MemberIncarnation, SocketAddress, Suspicion};
use std::collections::BTreeMap;
use std::time::Duration;

/// How many hops a suspicion travels: from the watcher that raises it, and once from each daemon that receives it.
pub const MAX_RELAYS: u8 = 2;

/// The maximum number of suspicions in one heartbeat, so that it fits in one datagram.
pub(super) const MAX_SUSPICIONS: usize = 16;

/// An action that a [`FailureDetector`](super::FailureDetector) requires.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FailureDetectorOutput {
    /// Send a heartbeat to these addresses.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// Report to the leader that the heartbeats of this incarnation of a watched member are missing.
    MemberSuspected(MemberIncarnation),
    /// Report to the leader that this suspected incarnation is alive: its heartbeats arrive here, or it is this daemon.
    MemberRecovered(MemberIncarnation),
}

/// The last suspicion received about one member.
struct SuspicionRecord {
    last_received_at: MonotonicTime,
    remaining_relays: u8,
}

/// The members that other daemons suspect, according to their recent heartbeats.
#[derive(Default)]
pub(super) struct PeerSuspicions {
    records: BTreeMap<MemberIncarnation, SuspicionRecord>,
}

impl PeerSuspicions {
    /// Records a suspicion that another daemon has sent.
    pub(crate) fn record(&mut self, now: MonotonicTime, suspicion: &Suspicion) {
        let remaining_relays = suspicion.remaining_relays.min(MAX_RELAYS).saturating_sub(1);
        self.records
            .entry(suspicion.suspect.clone())
            .and_modify(|record| {
                record.last_received_at = now;
                record.remaining_relays = record.remaining_relays.max(remaining_relays);
            })
            .or_insert(SuspicionRecord {
                last_received_at: now,
                remaining_relays,
            });
    }

    /// Drops the suspicion of a member whose heartbeat has arrived.
    pub(crate) fn forget(&mut self, incarnation: &MemberIncarnation) {
        self.records.remove(incarnation);
    }

    /// Drops suspicions that were not repeated for `max_age`.
    pub(crate) fn expire(&mut self, now: MonotonicTime, max_age: Duration) {
        self.records
            .retain(|_, record| now.since(record.last_received_at) < max_age);
    }

    /// Whether another daemon suspects this member.
    pub(crate) fn contains(&self, incarnation: &MemberIncarnation) -> bool {
        self.records.contains_key(incarnation)
    }

    /// Returns the suspicions to be relayed with this daemon's own heartbeat.
    pub(crate) fn relayable(&self) -> impl Iterator<Item = Suspicion> {
        self.records
            .iter()
            .filter(|(_, record)| record.remaining_relays > 0)
            .map(|(incarnation, record)| Suspicion {
                suspect: incarnation.clone(),
                remaining_relays: record.remaining_relays,
            })
    }
}
