//! The bootstrap of the control quorum: the first version of the document, which names the controllers at
//! the seed addresses as the voters.
//!
//! A quorum is bootstrapped once, when the disks of all seeds are empty: on an operator's command, or
//! without one at the system's first start. A second bootstrap would lose what the first quorum has
//! committed.

use super::peers::{Peer, PeerGreeting};
use super::writes::PendingWriteKind;
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::{ByteString, ConsensusMessage, SocketAddress, compress, decompress};
use common::identity::{DocumentVersion, Term, Version};
use common::spec::{Document, Voter};
use std::collections::BTreeSet;

/// The document version that a bootstrap creates.
pub(super) const BOOTSTRAP_VERSION: DocumentVersion = DocumentVersion {
    term: Term(1),
    version: Version(1),
};

/// Why the control quorum cannot be bootstrapped.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This node or a seed has a document already, or is about to write one.
    #[error("the core is founded already")]
    AlreadyBootstrapped,
    /// Not every seed has lately reported an empty disk.
    #[error("not every seed has been heard with an empty disk")]
    SeedsMissing,
    /// This controller has no data directory.
    #[error("a controller without a data folder founds nothing")]
    NoDataDirectory,
}

/// The quorum that a bootstrap would create.
struct InitialQuorum {
    voters: Vec<Voter>,
    /// Whether none of the voters has ever taken part in a term.
    is_first_start: bool,
}

impl ConsensusNode {
    /// Bootstraps the control quorum with the controllers at the seed addresses that have a data
    /// directory. All of their disks must be empty.
    ///
    /// # Errors
    ///
    /// See [`BootstrapError`]; nothing is written then.
    pub fn bootstrap(
        &mut self,
        now: MonotonicTime,
    ) -> Result<Vec<ConsensusOutput>, BootstrapError> {
        let initial = self.initial_quorum(now)?;
        self.write_bootstrap_document(now, initial.voters);
        Ok(self.take_outputs())
    }

    /// At the system's first start, the seed with the smallest address bootstraps, once every seed has
    /// reported an empty disk. No other node ever does, and a disk that is lost later no longer knows
    /// of the first start.
    pub(super) fn bootstrap_on_first_start(&mut self, now: MonotonicTime) {
        if !self.options.may_bootstrap || self.hard_state.accepted.is_some() {
            return;
        }
        let Ok(initial) = self.initial_quorum(now) else {
            return;
        };
        let smallest_address = initial.voters.iter().map(|voter| voter.address).min();
        if initial.is_first_start && smallest_address == Some(self.local.controller_address.address)
        {
            self.write_bootstrap_document(now, initial.voters);
        }
    }

    fn write_bootstrap_document(&mut self, now: MonotonicTime, voters: Vec<Voter>) {
        let document = Box::new(Document::initial(voters));
        self.submit_write(now, PendingWriteKind::Version(document));
    }

    /// The quorum that a bootstrap would create now.
    fn initial_quorum(&self, now: MonotonicTime) -> Result<InitialQuorum, BootstrapError> {
        if self.local.diskless {
            return Err(BootstrapError::NoDataDirectory);
        }
        if self.hard_state.accepted.is_some() || !self.writes.is_empty() {
            return Err(BootstrapError::AlreadyBootstrapped);
        }
        let own_address = self.local.controller_address.address;
        let mut initial = InitialQuorum {
            voters: vec![Voter {
                id: self.local.id,
                address: own_address,
                zone: self.local.zone.clone(),
            }],
            is_first_start: self.is_untouched() && self.peers.seeds.contains(&own_address),
        };
        let seeds: BTreeSet<SocketAddress> = self.peers.seeds.iter().copied().collect();
        for seed in seeds {
            if seed == own_address {
                continue;
            }
            let (peer, greeting) = self
                .recent_greeting(now, seed)
                .ok_or(BootstrapError::SeedsMissing)?;
            if greeting.diskless {
                continue;
            }
            if peer.accepted != DocumentVersion::default() {
                return Err(BootstrapError::AlreadyBootstrapped);
            }
            initial.is_first_start &= greeting.term == Term(0);
            initial.voters.push(Voter {
                id: peer.id,
                address: seed,
                zone: peer.zone.clone(),
            });
        }
        Ok(initial)
    }

    /// Whether this node has never taken part in a term.
    fn is_untouched(&self) -> bool {
        self.hard_state.term == Term(0)
            && self.hard_state.voted_for.is_none()
            && self.hard_state.unreadable_version == DocumentVersion::default()
    }

    /// The controller at a seed address and its hello, if that was received within the last four
    /// hello intervals.
    fn recent_greeting(
        &self,
        now: MonotonicTime,
        seed: SocketAddress,
    ) -> Option<(&Peer, &PeerGreeting)> {
        let peer = self.peers.by_address.get(&seed)?;
        let greeting = peer.greeting.as_ref()?;
        let is_recent = now.since(greeting.last_heard_at) < self.options.timing.hello_interval * 4;
        is_recent.then_some((peer, greeting))
    }

    /// Sends the first version, which has just been written here, to the other voters it names.
    pub(super) fn send_bootstrap_document(&mut self) {
        let Some(document) = self.hard_state.accepted.clone() else {
            return;
        };
        let packed_document = compress(&document.to_bytes());
        for initial_voter_address in self.voter_addresses() {
            self.send(
                initial_voter_address,
                ConsensusMessage::Bootstrap {
                    document: packed_document.clone(),
                },
            );
        }
    }

    /// Writes the first version, if it names this node and the disk is empty.
    pub(super) fn handle_bootstrap(&mut self, now: MonotonicTime, document: &ByteString) {
        if self.local.diskless || self.hard_state.accepted.is_some() || !self.writes.is_empty() {
            return;
        }
        let Ok(document_bytes) = decompress(document) else {
            return;
        };
        let Ok(document) = Document::from_bytes(&document_bytes) else {
            return;
        };
        if document
            .voters
            .iter()
            .any(|voter| voter.id == self.local.id)
        {
            self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        }
    }
}
