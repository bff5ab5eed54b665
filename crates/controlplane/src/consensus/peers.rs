//! The other controllers: their addresses, the versions on their disks, and the exchange of hellos.

use super::bootstrap::BOOTSTRAP_VERSION;
use super::state::Contact;
use super::{ConsensusNode, ControllerAddress};
use common::clock::MonotonicTime;
use common::frames::{ConsensusMessage, Flag, LengthPrefixed, SocketAddress, compress};
use common::identity::{ControllerId, DocumentVersion, Term, Zone};
use std::collections::{BTreeMap, BTreeSet};

/// The maximal number of controllers for which the time of the last frame is kept; the one that has
/// been silent longest is dropped first.
const MAX_TRACKED_CONTROLLERS: usize = 64;

/// The state of another controller, as shown to operators.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PeerStatus {
    /// Its identity.
    pub id: ControllerId,
    /// Its addresses.
    pub controller_address: ControllerAddress,
    /// The newest version known to be on its disk.
    pub accepted: DocumentVersion,
    /// Whether it is a voter in the newest version on this node's disk.
    pub is_voter: bool,
    /// Milliseconds since its last frame.
    pub silent_ms: u64,
}

/// What this node knows about another controller.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub id: ControllerId,
    pub controller_address: ControllerAddress,
    pub zone: Zone,
    /// The newest version known to be on its disk (Raft's match index).
    pub accepted: DocumentVersion,
    /// Since when its disk has lagged behind the committed version without accepting a newer one.
    pub behind_since: Option<MonotonicTime>,
    pub last_received_at: MonotonicTime,
    /// When a version was last sent to it.
    pub document_sent_at: MonotonicTime,
    /// The version last sent to it.
    pub last_sent_version: DocumentVersion,
    /// When a frame of this controller first arrived from its address.
    pub present_since: MonotonicTime,
    pub last_hello: Option<LastHello>,
}

impl Peer {
    fn new(now: MonotonicTime, contact: Contact, zone: Zone) -> Self {
        Self {
            id: contact.id,
            controller_address: contact.controller_address,
            zone,
            accepted: DocumentVersion::default(),
            behind_since: None,
            last_received_at: now,
            document_sent_at: MonotonicTime::ZERO,
            last_sent_version: DocumentVersion::default(),
            present_since: now,
            last_hello: None,
        }
    }

    /// Records the version on the peer's disk, given the newest committed one.
    fn record_accepted(
        &mut self,
        now: MonotonicTime,
        accepted: DocumentVersion,
        committed: DocumentVersion,
    ) {
        let has_advanced = accepted > self.accepted;
        self.accepted = accepted;
        if accepted >= committed {
            self.behind_since = None;
        } else if has_advanced || self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }
}

/// A hello as received.
#[derive(Clone, Copy)]
pub(super) struct Hello {
    /// The newest accepted version of the sender; zero if its disk is empty.
    pub accepted: DocumentVersion,
    pub term: Term,
    /// Whether the sender has no data directory, so that it never votes.
    pub is_diskless: bool,
}

/// The last hello of a controller.
#[derive(Clone, Debug)]
pub(super) struct LastHello {
    pub received_at: MonotonicTime,
    pub term: Term,
    pub diskless: bool,
}

/// The other controllers known to a node.
#[derive(Clone, Debug)]
pub(super) struct PeerTable {
    /// The controller whose frame last arrived from each address.
    pub by_address: BTreeMap<SocketAddress, Peer>,
    /// When the last frame of each controller arrived, from any address.
    pub last_received: BTreeMap<ControllerId, MonotonicTime>,
    /// The configured addresses.
    pub seeds: Vec<SocketAddress>,
    /// The addresses of the leader and the voters that another controller reported to this node while
    /// it was not a voter.
    pub hinted_addresses: BTreeSet<SocketAddress>,
}

impl PeerTable {
    /// Creates a table that holds only the seed addresses.
    pub(super) fn new(seeds: Vec<SocketAddress>) -> Self {
        Self {
            by_address: BTreeMap::new(),
            last_received: BTreeMap::new(),
            seeds,
            hinted_addresses: BTreeSet::new(),
        }
    }

    /// Records that a frame of a controller arrived. If another controller was known at its address,
    /// this one replaces it, and everything known about the other's disk is dropped.
    pub(super) fn record(&mut self, now: MonotonicTime, contact: Contact, zone: Zone) {
        self.record_last_received(now, contact.id);
        let peer = self
            .by_address
            .entry(contact.controller_address.address)
            .or_insert_with(|| Peer::new(now, contact, zone.clone()));
        if peer.id != contact.id {
            *peer = Peer::new(now, contact, zone);
            return;
        }
        peer.controller_address = contact.controller_address;
        peer.zone = zone;
        peer.last_received_at = now;
    }

    fn record_last_received(&mut self, now: MonotonicTime, id: ControllerId) {
        self.last_received.insert(id, now);
        if self.last_received.len() <= MAX_TRACKED_CONTROLLERS {
            return;
        }
        let silent_longest = self
            .last_received
            .iter()
            .min_by_key(|(_, last_received_at)| **last_received_at)
            .map(|(id, _)| *id);
        if let Some(silent_longest) = silent_longest {
            self.last_received.remove(&silent_longest);
        }
    }

    /// Records the hello of the controller at this address.
    pub(super) fn record_hello(
        &mut self,
        now: MonotonicTime,
        address: SocketAddress,
        term: Term,
        diskless: bool,
    ) {
        if let Some(peer) = self.by_address.get_mut(&address) {
            peer.last_hello = Some(LastHello {
                received_at: now,
                term,
                diskless,
            });
        }
    }

    /// Returns an address from which frames of this controller arrive.
    pub(super) fn address_of(&self, id: ControllerId) -> Option<SocketAddress> {
        self.by_address
            .values()
            .find(|peer| peer.id == id)
            .map(|peer| peer.controller_address.address)
    }

    /// Whether the controller at this address has reported that it has no data directory.
    pub(super) fn is_diskless(&self, address: SocketAddress) -> bool {
        let last_hello = self
            .by_address
            .get(&address)
            .and_then(|peer| peer.last_hello.as_ref());
        last_hello.is_some_and(|last_hello| last_hello.diskless)
    }
}

impl ConsensusNode {
    /// Returns the other controllers from which frames arrived recently, ordered by address.
    pub fn peers(&self, now: MonotonicTime) -> Vec<PeerStatus> {
        self.peers
            .by_address
            .values()
            .map(|peer| PeerStatus {
                id: peer.id,
                controller_address: peer.controller_address,
                accepted: peer.accepted,
                is_voter: self.is_voter(peer.id),
                silent_ms: now.since(peer.last_received_at).as_millis() as u64,
            })
            .collect()
    }

    /// Returns the addresses of the other controllers whose votes count: the voters of the accepted and
    /// the proposed version, and their previous voters while a membership change is in progress.
    pub(super) fn voter_addresses(&self) -> BTreeSet<SocketAddress> {
        let documents = self.hard_state.accepted.iter().chain(&self.proposed);
        let voters =
            documents.flat_map(|document| document.voters.iter().chain(&document.previous_voters));
        let mut voter_addresses: BTreeSet<SocketAddress> =
            voters.map(|voter| voter.address).collect();
        voter_addresses.remove(&self.local.controller_address.address);
        voter_addresses
    }

    /// Returns the addresses to which this node sends hellos: voters, seeds and hinted addresses.
    fn hello_addresses(&self) -> BTreeSet<SocketAddress> {
        let mut hello_addresses = self.voter_addresses();
        hello_addresses.extend(self.peers.seeds.iter().copied());
        hello_addresses.extend(self.peers.hinted_addresses.iter().copied());
        hello_addresses.remove(&self.local.controller_address.address);
        hello_addresses
    }

    /// Returns every address at which a controller may be: those to which this node sends hellos, and
    /// those from which frames arrived.
    pub(super) fn known_addresses(&self) -> BTreeSet<SocketAddress> {
        let mut known_addresses = self.hello_addresses();
        known_addresses.extend(self.peers.by_address.keys().copied());
        known_addresses.remove(&self.local.controller_address.address);
        known_addresses
    }

    /// Drops peers to which this node sends no hellos and that have been silent for four times the
    /// timeout after which a voter is replaced.
    pub(super) fn forget_stale_peers(&mut self, now: MonotonicTime) {
        let retained_addresses = self.hello_addresses();
        let retention = self.options.timing.unreachable_voter_timeout * 4;
        self.peers.by_address.retain(|address, peer| {
            retained_addresses.contains(address) || now.since(peer.last_received_at) < retention
        });
    }

    pub(super) fn send_hellos(&mut self) {
        let hello = ConsensusMessage::Hello {
            accepted: self.accepted_version(),
            term: self.hard_state.term,
            diskless: Flag(self.local.diskless),
        };
        for hello_address in self.hello_addresses() {
            self.send(hello_address, hello.clone());
        }
    }

    /// Records the state that another controller reports, and answers its hello. A leader does not
    /// answer a controller that is in a later term.
    pub(super) fn handle_hello(&mut self, now: MonotonicTime, sender: Contact, hello: Hello) {
        let sender_address = sender.controller_address.address;
        self.peers
            .record_hello(now, sender_address, hello.term, hello.is_diskless);
        if hello.term <= self.hard_state.term || !self.is_leader() {
            self.reply_to_hello(now, sender, hello.accepted);
        }
    }

    /// Sends the sender of a hello whatever it lacks: the first version, the voters' addresses, or the
    /// newest version.
    fn reply_to_hello(&mut self, now: MonotonicTime, sender: Contact, accepted: DocumentVersion) {
        let sender_address = sender.controller_address.address;
        self.record_accepted(now, sender_address, accepted);
        if accepted == DocumentVersion::default() && self.is_voter(sender.id) {
            self.resend_bootstrap_document(sender_address);
        }
        if !self.is_voter(sender.id) {
            self.send_voter_addresses(sender_address);
        }
        if self.is_leader() {
            self.catch_up_peer(now, sender_address);
        }
    }

    /// Stores the addresses of the leader and the voters as targets of hellos. A voter ignores them,
    /// because its own document lists the voters.
    pub(super) fn handle_voter_addresses(&mut self, addresses: Vec<SocketAddress>) {
        if !self.is_voter(self.local.id) {
            self.peers.hinted_addresses = addresses.into_iter().collect();
        }
    }

    /// Sends the first version to a voter whose disk is empty, unless this node has accepted a later
    /// one.
    fn resend_bootstrap_document(&mut self, to: SocketAddress) {
        let bootstrap_document = self
            .accepted()
            .filter(|document| document.document_version == BOOTSTRAP_VERSION);
        if let Some(document) = bootstrap_document {
            let document = compress(&document.to_bytes());
            self.send(to, ConsensusMessage::Bootstrap { document });
        }
    }

    /// Reports the addresses of the leader and the voters to a controller that does not vote. The
    /// leader itself does not, because its heartbeats reach every known controller.
    fn send_voter_addresses(&mut self, to: SocketAddress) {
        let other_leader = self
            .known_leader
            .current
            .filter(|leader| leader.id != self.local.id);
        let Some(leader) = other_leader else {
            return;
        };
        let mut hinted_addresses = self.voter_addresses();
        hinted_addresses.insert(leader.controller_address.address);
        hinted_addresses.remove(&to);
        let addresses = LengthPrefixed(hinted_addresses.into_iter().collect());
        self.send(to, ConsensusMessage::VoterAddresses { addresses });
    }

    /// Records the version on the disk of the controller at this address.
    pub(super) fn record_accepted(
        &mut self,
        now: MonotonicTime,
        address: SocketAddress,
        accepted: DocumentVersion,
    ) {
        let committed = self.committed;
        if let Some(peer) = self.peers.by_address.get_mut(&address) {
            peer.record_accepted(now, accepted, committed);
        }
    }
}
