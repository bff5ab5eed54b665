//! The other controllers, as one controller knows them: where they stand, what their disks hold, and who of
//! them is greeted.

use super::{ConsensusNode, ControllerAddress};
use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, SocketAddress};
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use std::collections::BTreeSet;

/// So many controllers are remembered as heard.
const MAX_HEARD_CONTROLLERS: usize = 64;

/// Another controller as this one knows it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
    pub zone: Zone,
    pub accepted: DocumentVersion,
    pub behind_since: Option<MonotonicTime>,
    pub last_heard_at: MonotonicTime,
    /// When a version was last sent to it, and which.
    pub document_sent_at: MonotonicTime,
    pub last_sent_version: DocumentVersion,
    pub present_since: MonotonicTime,
    pub greeting: Option<PeerGreeting>,
}

/// What another controller last said in greeting.
#[derive(Clone, Debug)]
pub(super) struct PeerGreeting {
    pub last_heard_at: MonotonicTime,
    pub term: Term,
    pub diskless: bool,
}

impl ConsensusNode {
    /// The other controllers heard lately, and whether each is a member of the core.
    pub fn peers(
        &self,
        now: MonotonicTime,
    ) -> Vec<(ControllerId, ControllerAddress, DocumentVersion, bool, u64)> {
        self.peers
            .values()
            .map(|peer| {
                let since_last_heard_ms = now.since(peer.last_heard_at).as_millis() as u64;
                (
                    peer.id,
                    peer.controller_address,
                    peer.accepted,
                    self.is_voter(peer.id),
                    since_last_heard_ms,
                )
            })
            .collect()
    }

    pub(super) fn record_peer(
        &mut self,
        now: MonotonicTime,
        id: ControllerId,
        controller_address: ControllerAddress,
        zone: Zone,
    ) {
        self.last_heard.insert(id, now);
        if self.last_heard.len() > MAX_HEARD_CONTROLLERS
            && let Some(longest_unheard) = self
                .last_heard
                .iter()
                .min_by_key(|(_, last_heard_at)| **last_heard_at)
                .map(|(id, _)| *id)
        {
            self.last_heard.remove(&longest_unheard);
        }
        let peer = self
            .peers
            .entry(controller_address.address)
            .or_insert(Peer {
                id,
                controller_address,
                zone: zone.clone(),
                accepted: DocumentVersion::default(),
                behind_since: None,
                last_heard_at: now,
                document_sent_at: MonotonicTime::ZERO,
                last_sent_version: DocumentVersion::default(),
                present_since: now,
                greeting: None,
            });
        if peer.id != id {
            peer.accepted = DocumentVersion::default();
            peer.behind_since = None;
            peer.document_sent_at = MonotonicTime::ZERO;
            peer.last_sent_version = DocumentVersion::default();
            peer.present_since = now;
            peer.greeting = None;
        }
        peer.id = id;
        peer.controller_address = controller_address;
        peer.zone = zone;
        peer.last_heard_at = now;
    }

    /// Where those stand whose votes count, now or while a membership change is not settled.
    pub(super) fn voter_addresses(&self) -> BTreeSet<SocketAddress> {
        let documents = self.accepted.iter().chain(&self.proposed);
        let voters =
            documents.flat_map(|document| document.voters.iter().chain(&document.previous_voters));
        let mut voter_addresses: BTreeSet<SocketAddress> =
            voters.map(|voter| voter.address).collect();
        voter_addresses.remove(&self.controller_address.address);
        voter_addresses
    }

    pub(super) fn hello_addresses(&self) -> BTreeSet<SocketAddress> {
        let mut hello_addresses = self.voter_addresses();
        hello_addresses.extend(self.seeds.iter().copied());
        hello_addresses.extend(self.hinted_addresses.iter().copied());
        hello_addresses.remove(&self.controller_address.address);
        hello_addresses
    }

    pub(super) fn known_addresses(&self) -> BTreeSet<SocketAddress> {
        let mut known_addresses = self.hello_addresses();
        known_addresses.extend(self.peers.keys().copied());
        known_addresses.remove(&self.controller_address.address);
        known_addresses
    }

    pub(super) fn is_diskless(&self, address: SocketAddress) -> bool {
        let greeting = self
            .peers
            .get(&address)
            .and_then(|peer| peer.greeting.as_ref());
        greeting.is_some_and(|greeting| greeting.diskless)
    }

    pub(super) fn forget_stale_peers(&mut self, now: MonotonicTime) {
        let retained_addresses = self.hello_addresses();
        let retention = self.timing.unreachable_voter_timeout * 4;
        self.peers.retain(|address, peer| {
            retained_addresses.contains(address) || now.since(peer.last_heard_at) < retention
        });
    }

    pub(super) fn send_hellos(&mut self) {
        let hello = ConsensusMessage::Hello {
            accepted: self.accepted_document_version(),
            term: self.term,
            diskless: Flag(self.diskless),
        };
        for hello_address in self.hello_addresses() {
            self.send(hello_address, hello.clone());
        }
    }
}
