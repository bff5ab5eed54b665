//! The founding of the control quorum: the first version, which names the controllers at the seeds.

use super::{ConsensusNode, ConsensusOutput, PendingWriteKind};
use common::clock::MonotonicTime;
use common::frames::{ByteString, ConsensusMessage, SocketAddress, compress, decompress};
use common::identity::{DocumentVersion, Term, Version};
use common::spec::{Document, Voter};
use std::collections::BTreeSet;
use std::fmt;

/// The stamp of the first version.
pub(super) const BOOTSTRAP_VERSION: DocumentVersion = DocumentVersion {
    term: Term(1),
    version: Version(1),
};

/// Why a core cannot be founded.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BootstrapError {
    /// There is a document here already.
    AlreadyBootstrapped,
    /// Not every seed has been heard with an empty disk.
    SeedsMissing,
    /// This controller keeps nothing.
    NoDataDirectory,
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::AlreadyBootstrapped => "the core is founded already",
            Self::SeedsMissing => "not every seed has been heard with an empty disk",
            Self::NoDataDirectory => "a controller without a data folder founds nothing",
        })
    }
}

impl std::error::Error for BootstrapError {}

impl ConsensusNode {
    /// Founds the core with the controllers at the seed addresses that keep something, all of them empty.
    pub fn bootstrap(
        &mut self,
        now: MonotonicTime,
    ) -> Result<Vec<ConsensusOutput>, BootstrapError> {
        let (initial_voters, _) = self.initial_voters(now)?;
        self.submit_write(
            now,
            PendingWriteKind::Version(Box::new(Document::founding(initial_voters))),
        );
        Ok(std::mem::take(&mut self.outputs))
    }

    /// The founders as they would be now, and whether none of them remembers any term.
    fn initial_voters(&self, now: MonotonicTime) -> Result<(Vec<Voter>, bool), BootstrapError> {
        if self.diskless {
            return Err(BootstrapError::NoDataDirectory);
        }
        if self.accepted.is_some() || !self.pending_writes.is_empty() {
            return Err(BootstrapError::AlreadyBootstrapped);
        }
        let mut initial_voters = vec![Voter {
            id: self.id,
            address: self.controller_address.address,
            zone: self.zone.clone(),
        }];
        let mut is_first_start = self.term == Term(0)
            && self.voted_for.is_none()
            && self.unreadable_version == DocumentVersion::default()
            && self.seeds.contains(&self.controller_address.address);
        let seeds: BTreeSet<SocketAddress> = self.seeds.iter().copied().collect();
        for seed in seeds {
            if seed == self.controller_address.address {
                continue;
            }
            let recent_greeting = self.peers.get(&seed).and_then(|peer| {
                let greeting = peer.greeting.as_ref()?;
                let is_recent = now.since(greeting.last_heard_at) < self.timing.hello_interval * 4;
                is_recent.then_some((peer, greeting))
            });
            let Some((peer, greeting)) = recent_greeting else {
                return Err(BootstrapError::SeedsMissing);
            };
            if greeting.diskless {
                continue;
            }
            if peer.accepted != DocumentVersion::default() {
                return Err(BootstrapError::AlreadyBootstrapped);
            }
            is_first_start &= greeting.term == Term(0);
            let zone = peer.zone.clone();
            initial_voters.push(Voter {
                id: peer.id,
                address: seed,
                zone,
            });
        }
        Ok((initial_voters, is_first_start))
    }

    /// At the first start of the whole system the seed with the smallest place founds, once it has
    /// heard every seed with an empty disk. Nobody else ever does, and a disk that is lost later
    /// does not know of the first start any more.
    pub(super) fn bootstrap_on_first_start(&mut self, now: MonotonicTime) {
        if !self.may_bootstrap || self.accepted.is_some() {
            return;
        }
        let Ok((initial_voters, true)) = self.initial_voters(now) else {
            return;
        };
        let smallest_address = initial_voters
            .iter()
            .map(|initial_voter| initial_voter.address)
            .min();
        if smallest_address == Some(self.controller_address.address) {
            self.submit_write(
                now,
                PendingWriteKind::Version(Box::new(Document::founding(initial_voters))),
            );
        }
    }

    pub(super) fn send_bootstrap_document(&mut self) {
        let Some(document) = self.accepted.clone() else {
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

    pub(super) fn handle_bootstrap(&mut self, now: MonotonicTime, document: &ByteString) {
        if self.diskless || self.accepted.is_some() || !self.pending_writes.is_empty() {
            return;
        }
        let Ok(document_bytes) = decompress(document) else {
            return;
        };
        let Ok(document) = Document::from_bytes(&document_bytes) else {
            return;
        };
        if document.voters.iter().any(|voter| voter.id == self.id) {
            self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        }
    }
}
