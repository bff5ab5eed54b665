//! Replication of the document's versions.
//!
//! The leader proposes a version, the other controllers write it to disk, and it is committed once a
//! majority of its voters has it on disk. Controllers that do not vote also receive it, so that they can
//! become voters. A version is sent as a delta to controllers that have the previous version, and in
//! full to the others. A version that is not acknowledged is sent again when the receiver's next hello
//! or heartbeat response shows that it is missing.

use super::bootstrap::BOOTSTRAP_VERSION;
use super::state::Contact;
use super::writes::PendingWriteKind;
use super::{ConsensusNode, ConsensusOutput};
use common::clock::MonotonicTime;
use common::frames::{ByteString, ConsensusMessage, SocketAddress, compress, decompress};
use common::identity::{ControllerId, DocumentVersion, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use std::collections::BTreeSet;

/// Why a version cannot be proposed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ProposeError {
    /// This controller is not the leader, or has not yet committed a version in its term.
    #[error("no ready leader here")]
    NotReady,
    /// Another proposal is in flight.
    #[error("another change is in flight")]
    Busy,
}

/// A version encoded for sending: the delta from its base and, once a receiver needs it, the full
/// document.
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

/// A version received as a delta.
#[derive(Clone, Copy)]
pub(super) struct VersionDelta<'a> {
    /// The leader's term.
    pub term: Term,
    /// The version to which the delta applies.
    pub base: DocumentVersion,
    /// The version that results from the delta.
    pub document_version: DocumentVersion,
    /// The compressed delta.
    pub delta: &'a ByteString,
    /// The digest of the resulting document.
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

    /// Returns the message that brings a controller from `held_version`, which it has or was already
    /// sent, to this version.
    fn message_for(
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

/// The leader's side of replication.
impl ConsensusNode {
    /// Proposes the next version. Unless it is later reported as committed, its outcome is unknown.
    ///
    /// # Errors
    ///
    /// See [`ProposeError`]. On error nothing is proposed.
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
        document.document_version.term = self.hard_state.term;
        self.start_proposal(now, document);
        Ok(self.take_outputs())
    }

    /// Writes a proposal to this node's disk and sends it to all known controllers.
    pub(super) fn start_proposal(&mut self, now: MonotonicTime, document: Document) {
        self.encoded_version = Some(EncodedVersion::new(&document, self.accepted()));
        self.proposed = Some(document.clone());
        self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        for known_address in self.known_addresses() {
            let held_version = self
                .peers
                .by_address
                .get(&known_address)
                .map(|peer| peer.accepted.max(peer.last_sent_version));
            self.send_newest_version(now, known_address, held_version.unwrap_or_default());
        }
    }

    /// Sends this leader's newest version to a controller that has `held_version` or was already sent
    /// it. Nothing is sent to a controller without a data directory, or before this leader has proposed
    /// a version in its own term.
    fn send_newest_version(
        &mut self,
        now: MonotonicTime,
        to: SocketAddress,
        held_version: DocumentVersion,
    ) {
        if self.peers.is_diskless(to) {
            return;
        }
        let term = self.hard_state.term;
        let newest = self.proposed.as_ref().or(self.hard_state.accepted.as_ref());
        let Some(document) = newest.filter(|document| document.document_version.term == term)
        else {
            return;
        };
        let document_version = document.document_version;
        let encoded_version = match &mut self.encoded_version {
            Some(encoded) if encoded.document_version == document_version => encoded,
            other => other.insert(EncodedVersion::new(document, None)),
        };
        let message = encoded_version.message_for(held_version, term, document);
        if let Some(peer) = self.peers.by_address.get_mut(&to) {
            peer.document_sent_at = now;
            peer.last_sent_version = document_version;
        }
        self.send(to, message);
    }

    /// Sends the newest version to a peer that lacks it, unless a version was sent to it within the
    /// resend timeout.
    pub(super) fn catch_up_peer(&mut self, now: MonotonicTime, address: SocketAddress) {
        let Some(newest) = self.newest_document() else {
            return;
        };
        let Some(peer) = self.peers.by_address.get(&address) else {
            return;
        };
        let held_version = peer.accepted;
        let is_resend_due = now.since(peer.document_sent_at) >= self.options.timing.resend_timeout;
        if held_version < newest.document_version && is_resend_due {
            self.send_newest_version(now, address, held_version);
        }
    }

    /// Sends the newest version in full to a controller that lacks the base of a delta.
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

    pub(super) fn handle_accepted(
        &mut self,
        now: MonotonicTime,
        from: SocketAddress,
        term: Term,
        document_version: DocumentVersion,
    ) {
        if term > self.hard_state.term {
            self.step_down(now, term);
            return;
        }
        self.record_accepted(now, from, document_version);
        self.count_accepted(now);
    }

    /// Commits the proposal once it is on this leader's disk and on the disks of a majority.
    pub(super) fn count_accepted(&mut self, now: MonotonicTime) {
        if !self.is_leader() {
            return;
        }
        let Some(proposal) = &self.proposed else {
            return;
        };
        let document_version = proposal.document_version;
        if self.accepted_version() != document_version {
            return;
        }
        let mut accepted_by: BTreeSet<ControllerId> = self
            .peers
            .by_address
            .values()
            .filter(|peer| peer.accepted == document_version)
            .map(|peer| peer.id)
            .collect();
        accepted_by.insert(self.local.id);
        if !Self::is_majority_of(proposal, &accepted_by) {
            return;
        }
        self.committed = document_version;
        if let Some(committed_document) = self.proposed.take() {
            self.outputs
                .push(ConsensusOutput::Committed(committed_document));
        }
        self.step_down_if_removed(now);
        self.advance_membership_change(now);
    }
}

/// The receiver's side of replication, and the functions that both sides use.
impl ConsensusNode {
    /// Handles a version sent in full.
    pub(super) fn handle_accept(
        &mut self,
        now: MonotonicTime,
        leader: Contact,
        term: Term,
        document_version: DocumentVersion,
        document: &ByteString,
    ) {
        if !self.should_write_version(now, leader, term, document_version) {
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

    /// Handles a version sent as a delta. Its base may be on disk or still being written; if this node
    /// does not have it, it requests the full document.
    pub(super) fn handle_accept_delta(
        &mut self,
        now: MonotonicTime,
        leader: Contact,
        version: VersionDelta<'_>,
    ) {
        let document_version = version.document_version;
        if !self.should_write_version(now, leader, version.term, document_version) {
            return;
        }
        let document = self
            .apply_delta(version)
            .filter(|document| document.document_version == document_version);
        match document {
            Some(document) => self.write_version(now, document),
            None => {
                let request = ConsensusMessage::SnapshotRequest {
                    term: self.hard_state.term,
                    accepted: self.accepted_version(),
                };
                self.send(leader.controller_address.address, request);
            }
        }
    }

    /// Whether to write a version received from a leader. If the version is not newer than the one on
    /// this disk, or the leader's term is over, the leader is sent the newest version number on this
    /// disk.
    fn should_write_version(
        &mut self,
        now: MonotonicTime,
        leader: Contact,
        term: Term,
        document_version: DocumentVersion,
    ) -> bool {
        let leader_address = leader.controller_address.address;
        if !self.observe_leader(now, leader, term) {
            self.send_accepted(leader_address);
            return false;
        }
        if self.local.diskless {
            return false;
        }
        if document_version <= self.accepted_version() {
            self.send_accepted(leader_address);
            return false;
        }
        !self
            .writes
            .versions()
            .any(|document| document.document_version >= document_version)
    }

    fn apply_delta(&self, version: VersionDelta<'_>) -> Option<Document> {
        let delta_bytes = decompress(version.delta).ok()?;
        let mut held_versions = self
            .hard_state
            .accepted
            .iter()
            .chain(self.writes.versions());
        if !self.options.enforces(Rule::DeltaOnItsBase) {
            return held_versions
                .next()?
                .apply_delta_unverified(&delta_bytes)
                .ok();
        }
        let base = held_versions.find(|document| document.document_version == version.base)?;
        base.apply_delta(&delta_bytes, &version.digest.0).ok()
    }

    fn write_version(&mut self, now: MonotonicTime, document: Document) {
        let unsynced =
            (!self.options.enforces(Rule::AcceptPersistedFirst)).then(|| document.clone());
        self.submit_write(now, PendingWriteKind::Version(Box::new(document)));
        if let Some(unsynced) = unsynced {
            self.handle_version_written(now, unsynced);
        }
    }

    /// Acknowledges a version that is now on disk or, on the leader, counts it towards the majority.
    pub(super) fn handle_version_written(&mut self, now: MonotonicTime, document: Document) {
        let written_version = document.document_version;
        self.hard_state.term = self.hard_state.term.max(written_version.term);
        if written_version > self.accepted_version() {
            self.check_commit_kept(written_version);
            self.hard_state.accepted = Some(document);
        }
        if written_version == BOOTSTRAP_VERSION {
            self.send_bootstrap_document();
        }
        if self.is_leader() {
            self.count_accepted(now);
        } else if let Some(leader) = self.known_leader.current {
            self.send_accepted(leader.controller_address.address);
        }
    }

    /// Checks that a committed version on this disk is not replaced by a version with a lower number.
    fn check_commit_kept(&self, written_version: DocumentVersion) {
        let committed = self.committed;
        let had_commit = self.accepted_version() >= committed;
        let keeps_commit = !had_commit || written_version.version >= committed.version;
        require(
            self.options.rules,
            Invariant::CommitNeverLost,
            keeps_commit,
            || format!("{written_version} replaces committed version {committed}"),
        );
    }

    fn send_accepted(&mut self, to: SocketAddress) {
        let body = ConsensusMessage::Accepted {
            term: self.hard_state.term,
            document_version: self.accepted_version(),
        };
        self.send(to, body);
    }
}
