//! The simulated disks of controllers, and the writes that are not yet durable.

use common::clock::MonotonicTime;
use common::identity::{ControllerId, DocumentVersion};
use common::spec::Document;
use controlplane::consensus::{PersistedState, WriteJob};

/// A simulated disk.
pub(crate) struct SimDisk {
    /// The content that survives a crash.
    pub durable: PersistedState,
    /// The time until which writes stall.
    pub stalled_until: MonotonicTime,
    /// The time until which writes fail.
    pub failing_until: MonotonicTime,
    /// The version that was accepted before the newest one.
    previous: Option<Document>,
}

impl SimDisk {
    /// Creates a disk without faults that holds this content.
    pub(super) fn new(durable: PersistedState) -> Self {
        Self {
            durable,
            stalled_until: MonotonicTime::ZERO,
            failing_until: MonotonicTime::ZERO,
            previous: None,
        }
    }

    /// Whether the newest readable version is at least as new as any that the controller may have acknowledged.
    pub(super) fn holds_acknowledged_version(&self) -> bool {
        let held_version = self
            .durable
            .accepted
            .as_ref()
            .map(|held| held.document_version);
        held_version.unwrap_or_default() >= self.durable.unreadable_version
    }

    /// Replaces the content by the empty disk of a controller with a new identity.
    pub(super) fn wipe(&mut self, fresh_id: ControllerId) {
        self.durable = PersistedState {
            id: fresh_id,
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        };
        self.previous = None;
    }

    /// Corrupts the newest version, as the controller finds it at its next start: the previous version is the newest
    /// readable one, and the version that it may have acknowledged is remembered as unreadable.
    pub(super) fn corrupt_newest_version(&mut self) {
        let damaged = self.durable.accepted.take();
        self.durable.unreadable_version =
            damaged.map_or(DocumentVersion::default(), |held| held.document_version);
        self.durable.accepted = self.previous.take();
    }

    /// Ends all stalls and failures.
    pub(super) fn clear_faults(&mut self) {
        self.stalled_until = MonotonicTime::ZERO;
        self.failing_until = MonotonicTime::ZERO;
    }

    /// Applies a write to the durable content.
    pub(crate) fn store(&mut self, job: &WriteJob) {
        match job {
            WriteJob::Vote { term, candidate } => {
                if self
                    .durable
                    .voted_for
                    .is_none_or(|(voted_for, _)| voted_for < *term)
                {
                    self.durable.voted_for = Some((*term, *candidate));
                }
            }
            WriteJob::Scrub(_) => {}
            WriteJob::Version(document) => {
                let is_newer = self
                    .durable
                    .accepted
                    .as_ref()
                    .is_none_or(|held| held.document_version < document.document_version);
                if is_newer {
                    self.previous = self.durable.accepted.replace(document.clone());
                    if self.durable.unreadable_version <= document.document_version {
                        self.durable.unreadable_version = DocumentVersion::default();
                    }
                }
            }
        }
    }
}

/// The writes that controllers have begun and that are not yet durable.
#[derive(Default)]
pub(super) struct UnsyncedWrites {
    writes: Vec<UnsyncedWrite>,
}

/// A write that is not yet durable.
pub(super) struct UnsyncedWrite {
    /// The index of the controller that began the write.
    pub controller: usize,
    /// What is written.
    pub job: WriteJob,
}

impl UnsyncedWrites {
    /// Adds a write.
    pub(super) fn push(&mut self, write: UnsyncedWrite) {
        self.writes.push(write);
    }

    /// Removes a write that has become durable.
    pub(super) fn complete(&mut self, controller: usize, job: &WriteJob) {
        self.writes
            .retain(|write| write.controller != controller || !is_same_write(&write.job, job));
    }

    /// Removes and returns the writes of all controllers.
    pub(super) fn take(&mut self) -> Vec<UnsyncedWrite> {
        std::mem::take(&mut self.writes)
    }
}

fn is_same_write(left: &WriteJob, right: &WriteJob) -> bool {
    match (left, right) {
        (
            WriteJob::Vote {
                term: left_term, ..
            },
            WriteJob::Vote {
                term: right_term, ..
            },
        ) => left_term == right_term,
        (WriteJob::Version(left_document), WriteJob::Version(right_document)) => {
            left_document.document_version == right_document.document_version
        }
        (WriteJob::Scrub(_), WriteJob::Scrub(_)) => true,
        _ => false,
    }
}
