//! Bootstraps the control quorum: writes the first version of the document, whose voters are the
//! controllers at the seed addresses.
//!
//! The quorum is bootstrapped once, when the disks of all seeds are empty, either on an operator's
//! command or automatically at the first start of the system. A second bootstrap would lose everything
//! that the first quorum has committed.

use super::peers::{LastHello, Peer};
use super::writes::PendingWriteKind;
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::{ByteString, ConsensusMessage, SocketAddress, compress, decompress};
use common::identity::{DocumentVersion, Term, Version};
use common::spec::{Document, Voter};
use std::collections::BTreeSet;

/// The version of the document that a bootstrap creates.
pub(super) const BOOTSTRAP_VERSION: DocumentVersion = DocumentVersion {
    term: Term(1),
    version: Version(1),
};

/// Why the control quorum cannot be bootstrapped.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This node or a seed already has a document, or this node has a write in flight.
    #[error("the core is founded already")]
    AlreadyBootstrapped,
    /// Not every seed has recently reported an empty disk.
    #[error("not every seed has been heard with an empty disk")]
    SeedsMissing,
    /// This controller has no data directory.
    #[error("a controller without a data folder founds nothing")]
    NoDataDirectory,
}

/// The quorum that a bootstrap would create.
struct InitialQuorum {
    voters: Vec<Voter>,
    /// Whether none of the voters has ever entered a term and this node is itself a seed.
    is_first_start: bool,
}

impl ConsensusNode {
    /// Bootstraps the control quorum from this node and those controllers at the seed addresses that
    /// have a data directory. Their disks must all be empty.
    ///
    /// # Errors
    ///
    /// See [`BootstrapError`]. On error nothing is written.
    pub fn bootstrap(
        &mut self,
        now: MonotonicTime,
    ) -> Result<Vec<ConsensusOutput>, BootstrapError> {
        let initial = self.initial_quorum(now)?;
        self.write_bootstrap_document(now, initial.voters);
        Ok(self.take_outputs())
    }

    /// Bootstraps at the first start of the system, once every seed has reported an empty disk, if this
    /// node has the smallest address of the initial voters. No other node does so, and a node whose
    /// disk is lost later does not either, because the record of the first start is lost with the disk.
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

    /// Returns the quorum that a bootstrap would create now.
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
            is_first_start: self.has_no_history() && self.peers.seeds.contains(&own_address),
        };
        let seeds: BTreeSet<SocketAddress> = self.peers.seeds.iter().copied().collect();
        for seed in seeds {
            if seed == own_address {
                continue;
            }
            let (peer, last_hello) = self
                .recent_hello(now, seed)
                .ok_or(BootstrapError::SeedsMissing)?;
            if last_hello.diskless {
                continue;
            }
            if peer.accepted != DocumentVersion::default() {
                return Err(BootstrapError::AlreadyBootstrapped);
            }
            initial.is_first_start &= last_hello.term == Term(0);
            initial.voters.push(Voter {
                id: peer.id,
                address: seed,
                zone: peer.zone.clone(),
            });
        }
        Ok(initial)
    }

    /// Whether this node has never entered a term.
    fn has_no_history(&self) -> bool {
        self.hard_state.term == Term(0)
            && self.hard_state.voted_for.is_none()
            && self.hard_state.unreadable_version == DocumentVersion::default()
    }

    /// Returns the controller at a seed address and its last hello, if that was received within the
    /// last four hello intervals.
    fn recent_hello(&self, now: MonotonicTime, seed: SocketAddress) -> Option<(&Peer, &LastHello)> {
        let peer = self.peers.by_address.get(&seed)?;
        let last_hello = peer.last_hello.as_ref()?;
        let is_recent = now.since(last_hello.received_at) < self.options.timing.hello_interval * 4;
        is_recent.then_some((peer, last_hello))
    }

    /// Sends the first version, which was just written to this disk, to its other voters.
    pub(super) fn send_bootstrap_document(&mut self) {
        let Some(document) = self.hard_state.accepted.clone() else {
            return;
        };
        let compressed_document = compress(&document.to_bytes());
        for initial_voter_address in self.voter_addresses() {
            self.send(
                initial_voter_address,
                ConsensusMessage::Bootstrap {
                    document: compressed_document.clone(),
                },
            );
        }
    }

    /// Writes the first version if it lists this node as a voter and the disk is empty.
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
