//! The replication of versions: the leader puts one forward, the others write it, a majority commits it. A
//! version travels as the change from the one before, and whole to whoever does not hold that.

use super::bootstrap::BOOTSTRAP_VERSION;
use super::{ConsensusNode, ConsensusOutput, ControllerAddress, PendingWriteKind, Role};
use common::clock::MonotonicTime;
use common::frames::{
    ByteString, ConsensusMessage, LengthPrefixed, SocketAddress, compress, decompress,
};
use common::identity::{ControllerId, DocumentVersion, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use std::collections::BTreeSet;
use std::fmt;

/// Why a change cannot be put forward.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProposeError {
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight.
    Busy,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotReady => "no ready leader here",
            Self::Busy => "another change is in flight",
        })
    }
}

impl std::error::Error for ProposeError {}

/// A version as it is sent: the change that leads to it, and the whole once somebody needs it.
#[derive(Clone, Debug)]
pub(super) struct EncodedVersion {
    document_version: DocumentVersion,
    delta: Option<EncodedDelta>,
    full_document: Option<ByteString>,
}

#[derive(Clone, Debug)]
struct EncodedDelta {
    base: DocumentVersion,
    delta: ByteString,
    digest: ByteString,
}

/// A version as a leader sent it, by what changes.
pub(super) struct VersionDelta<'a> {
    /// The leader's term.
    pub term: Term,
    /// The version that the change leads from.
    pub base: DocumentVersion,
    /// Where the version stands.
    pub document_version: DocumentVersion,
    /// The change, packed.
    pub delta: &'a ByteString,
    /// The digest of the changed document.
    pub digest: &'a ByteString,
}

impl EncodedVersion {
    fn new(document: &Document, base: Option<&Document>) -> Self {
        let delta = base.map(|base| EncodedDelta {
            base: base.document_version,
            delta: compress(&base.delta_to(document)),
            digest: document.digest().to_vec().into(),
        });
        Self {
            document_version: document.document_version,
            delta,
            full_document: None,
        }
    }

    fn full_document(&mut self, document: &Document) -> ByteString {
        self.full_document
            .get_or_insert_with(|| compress(&document.to_bytes()))
            .clone()
    }

    /// The frame for a controller that holds this version of the leader's, or is about to.
    fn frame_for(
        &mut self,
        held_version: DocumentVersion,
        term: Term,
        document: &Document,
    ) -> ConsensusMessage {
        let document_version = self.document_version;
        match &self.delta {
            Some(encoded) if encoded.base == held_version => ConsensusMessage::AcceptDelta {
                term,
                base: encoded.base,
                document_version,
                delta: encoded.delta.clone(),
                digest: encoded.digest.clone(),
            },
            _ => ConsensusMessage::AcceptFull {
                term,
                document_version,
                document: self.full_document(document),
            },
        }
    }
}

impl ConsensusNode {
    /// Puts the next version forward; from here on its outcome is accepted or unknown.
    pub fn propose(
        &mut self,
        now: MonotonicTime,
        mut document: Document,
    ) -> Result<Vec<ConsensusOutput>, ProposeError> {
        if !self.is_ready() {
            return Err(ProposeError::NotReady);
        }
        if self.proposed.is_some() {
            return Err(ProposeError::Busy);
        }
        document.document_version.term = self.term;
        self.start_proposal(now, document);
        Ok(std::mem::take(&mut self.outputs))
    }

    pub(super) fn start_proposal(&mut self, now: MonotonicTime, document: Document) {
        self.encoded_version = Some(EncodedVersion::new(&document, self.accepted.as_ref()));
        self.proposed = Some(document.clone());
        self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        for known_address in self.known_addresses() {
            let held_version = self
                .peers
                .get(&known_address)
                .map(|peer| peer.accepted.max(peer.last_sent_version));
            self.send_newest_version(now, known_address, held_version.unwrap_or_default());
        }
    }

    /// Sends the newest version of this leader's to a controller that holds that one, or is about to.
    fn send_newest_version(
        &mut self,
        now: MonotonicTime,
        to: SocketAddress,
        held_version: DocumentVersion,
    ) {
        if self.is_diskless(to) {
            return;
        }
        let newest = self.proposed.as_ref().or(self.accepted.as_ref());
        let Some(document) = newest.filter(|document| document.document_version.term == self.term)
        else {
            return;
        };
        let is_same_version =
            |encoded: &&mut EncodedVersion| encoded.document_version == document.document_version;
        let body = match self.encoded_version.as_mut().filter(is_same_version) {
            Some(encoded_version) => encoded_version.frame_for(held_version, self.term, document),
            None => {
                let mut encoded_version = EncodedVersion::new(document, None);
                let body = encoded_version.frame_for(held_version, self.term, document);
                self.encoded_version = Some(encoded_version);
                body
            }
        };
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.document_sent_at = now;
            peer.last_sent_version = document.document_version;
        }
        self.send(to, body);
    }

    pub(super) fn handle_hello(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        accepted: DocumentVersion,
    ) {
        self.record_accepted(now, controller_address.address, accepted);
        let bootstrap_document = self
            .accepted
            .as_ref()
            .filter(|document| document.document_version == BOOTSTRAP_VERSION)
            .cloned();
        if let Some(document) = bootstrap_document
            && accepted == DocumentVersion::default()
            && self.is_voter(from)
        {
            let document = compress(&document.to_bytes());
            self.send(
                controller_address.address,
                ConsensusMessage::Bootstrap { document },
            );
        }
        if !self.is_voter(from)
            && let Some((leader_id, leader_address)) = self.leader
            && leader_id != self.id
        {
            let mut hinted_addresses = self.voter_addresses();
            hinted_addresses.insert(leader_address.address);
            hinted_addresses.remove(&controller_address.address);
            let addresses = LengthPrefixed(hinted_addresses.into_iter().collect());
            self.send(
                controller_address.address,
                ConsensusMessage::VoterAddresses { addresses },
            );
        }
        if self.is_leader() {
            self.catch_up_peer(now, controller_address.address);
        }
    }

    pub(super) fn handle_accept(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        term: Term,
        document_version: DocumentVersion,
        document: &ByteString,
    ) {
        if !self.should_write_version(now, from, controller_address, term, document_version) {
            return;
        }
        let Ok(document_bytes) = decompress(document) else {
            return;
        };
        if let Ok(document) = Document::from_bytes(&document_bytes)
            && document.document_version == document_version
        {
            self.write_version(now, document);
        }
    }

    /// A change is applied to the version that it leads from, on this disk or on its way there. Whoever
    /// does not hold that one asks for the whole.
    pub(super) fn handle_accept_delta(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        version: VersionDelta<'_>,
    ) {
        let VersionDelta {
            term,
            base,
            document_version,
            delta,
            digest,
        } = version;
        if !self.should_write_version(now, from, controller_address, term, document_version) {
            return;
        }
        let changed = self.apply_delta(base, delta, digest);
        match changed.filter(|document| document.document_version == document_version) {
            Some(document) => self.write_version(now, document),
            None => {
                let accepted = self.accepted_document_version();
                self.send(
                    controller_address.address,
                    ConsensusMessage::SnapshotRequest {
                        term: self.term,
                        accepted,
                    },
                );
            }
        }
    }

    /// Whether a version that a leader sent is to be written; says what is held already.
    fn should_write_version(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        controller_address: ControllerAddress,
        term: Term,
        document_version: DocumentVersion,
    ) -> bool {
        if !self.observe_leader(now, from, controller_address, term) {
            self.send_accepted(controller_address.address);
            return false;
        }
        if self.diskless {
            return false;
        }
        if document_version <= self.accepted_document_version() {
            self.send_accepted(controller_address.address);
            return false;
        }
        !self
            .pending_versions()
            .any(|document| document.document_version >= document_version)
    }

    fn write_version(&mut self, now: MonotonicTime, document: Document) {
        let unsynced = (!self.rules.enforces(Rule::AcceptPersistedFirst)).then(|| document.clone());
        self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        if let Some(unwritten) = unsynced {
            self.version_written(now, unwritten);
        }
    }

    pub(super) fn pending_versions(&self) -> impl Iterator<Item = &Document> {
        self.pending_writes
            .values()
            .filter_map(|pending| match &pending.write {
                PendingWriteKind::Version(document) => Some(&**document),
                PendingWriteKind::Vote { .. } | PendingWriteKind::Scrub => None,
            })
    }

    fn apply_delta(
        &self,
        base: DocumentVersion,
        delta: &ByteString,
        digest: &ByteString,
    ) -> Option<Document> {
        let delta_bytes = decompress(delta).ok()?;
        let mut available_versions = self.accepted.iter().chain(self.pending_versions());
        if !self.rules.enforces(Rule::DeltaOnItsBase) {
            return available_versions
                .next()?
                .apply_delta_unverified(&delta_bytes)
                .ok();
        }
        let held_version = available_versions.find(|document| document.document_version == base)?;
        held_version.apply_delta(&delta_bytes, &digest.0).ok()
    }

    /// Whether an answer of this term is to this controller's lead; one of a later term ends it.
    fn is_leader_in_term(&mut self, now: MonotonicTime, term: Term) -> bool {
        if term > self.term {
            self.step_down(now, term);
        }
        term == self.term && self.is_leader()
    }

    /// Another controller lacks what a change leads from.
    pub(super) fn handle_snapshot_request(
        &mut self,
        now: MonotonicTime,
        from: SocketAddress,
        term: Term,
        accepted: DocumentVersion,
    ) {
        if !self.is_leader_in_term(now, term) {
            return;
        }
        self.record_accepted(now, from, accepted);
        self.send_newest_version(now, from, DocumentVersion::default());
    }

    fn send_accepted(&mut self, to: SocketAddress) {
        let body = ConsensusMessage::Accepted {
            term: self.term,
            document_version: self.accepted_document_version(),
        };
        self.send(to, body);
    }

    pub(super) fn version_written(&mut self, now: MonotonicTime, document: Document) {
        let written_document_version = document.document_version;
        self.term = self.term.max(written_document_version.term);
        if written_document_version > self.accepted_document_version() {
            let committed = self.committed;
            let had_commit = self.accepted_document_version() >= committed;
            let keeps_commit = !had_commit || written_document_version.version >= committed.version;
            require(self.rules, Invariant::CommitNeverLost, keeps_commit, || {
                format!(
                    "{written_document_version} takes the place of {committed}, which is committed"
                )
            });
            self.accepted = Some(document);
        }
        if written_document_version == BOOTSTRAP_VERSION {
            self.send_bootstrap_document();
        }
        if self.is_leader() {
            self.count_accepted(now);
        } else if let Some((_, controller_address)) = self.leader {
            self.send_accepted(controller_address.address);
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: MonotonicTime,
        from: SocketAddress,
        term: Term,
        document_version: DocumentVersion,
    ) {
        if term > self.term {
            self.step_down(now, term);
            return;
        }
        self.record_accepted(now, from, document_version);
        self.count_accepted(now);
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        now: MonotonicTime,
        from: ControllerId,
        address: SocketAddress,
        term: Term,
        round: u64,
        accepted: DocumentVersion,
    ) {
        if !self.is_leader_in_term(now, term) {
            return;
        }
        self.record_accepted(now, address, accepted);
        self.count_heartbeat_response(now, round, from);
        self.count_accepted(now);
        self.catch_up_peer(now, address);
    }

    fn catch_up_peer(&mut self, now: MonotonicTime, address: SocketAddress) {
        let newest_document = self.proposed.as_ref().or(self.accepted.as_ref());
        let Some(document_version) =
            newest_document.map(|held_version| held_version.document_version)
        else {
            return;
        };
        let Some(peer) = self.peers.get(&address) else {
            return;
        };
        let held_version = peer.accepted;
        if held_version < document_version
            && now.since(peer.document_sent_at) >= self.timing.resend_timeout
        {
            self.send_newest_version(now, address, held_version);
        }
    }

    fn record_accepted(
        &mut self,
        now: MonotonicTime,
        address: SocketAddress,
        accepted: DocumentVersion,
    ) {
        let committed = self.committed;
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let has_advanced = accepted > peer.accepted;
        peer.accepted = accepted;
        if accepted >= committed {
            peer.behind_since = None;
        } else if has_advanced || peer.behind_since.is_none() {
            peer.behind_since = Some(now);
        }
    }

    fn count_accepted(&mut self, now: MonotonicTime) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        let Some(document) = &self.proposed else {
            return;
        };
        let mut accepted_by: BTreeSet<ControllerId> = self
            .peers
            .values()
            .filter(|peer| peer.accepted == document.document_version)
            .map(|peer| peer.id)
            .collect();
        if self.accepted_document_version() != document.document_version {
            return;
        }
        accepted_by.insert(self.id);
        if Self::is_majority_of(document, &accepted_by) {
            self.committed = document.document_version;
            let committed_document = document.clone();
            self.proposed = None;
            self.outputs
                .push(ConsensusOutput::Committed(committed_document));
            self.step_down_if_removed(now);
            self.advance_membership_change(now);
        }
    }
}
