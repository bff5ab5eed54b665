//! Simulated disks of controllers, and the writes that have not reached them.

use common::clock::MonotonicTime;
use common::identity::{ControllerId, DocumentVersion};
use common::spec::Document;
use controlplane::consensus::{PersistedState, WriteJob};

/// A simulated disk.
pub(crate) struct SimDisk {
    /// The content that survives a crash.
    pub durable: PersistedState,
    /// Until when writes stall.
    pub stalled_until: MonotonicTime,
    /// Until when writes fail.
    pub failing_until: MonotonicTime,
    /// The version before the newest one.
    previous: Option<Document>,
}

impl SimDisk {
    /// A disk that works, with this content.
    pub(super) fn holding(durable: PersistedState) -> Self {
        Self {
            durable,
            stalled_until: MonotonicTime::ZERO,
            failing_until: MonotonicTime::ZERO,
            previous: None,
        }
    }

    /// Whether the newest version that it holds is not older than what its controller may have acknowledged.
    pub(super) fn holds_what_it_acknowledged(&self) -> bool {
        let held_version = self
            .durable
            .accepted
            .as_ref()
            .map(|held| held.document_version);
        held_version.unwrap_or_default() >= self.durable.unreadable_version
    }

    /// Replaces the disk by an empty one of a new controller.
    pub(super) fn wipe(&mut self, fresh_id: ControllerId) {
        self.durable = PersistedState {
            id: fresh_id,
            voted_for: None,
            accepted: None,
            unreadable_version: DocumentVersion::default(),
        };
        self.previous = None;
    }

    /// Corrupts the newest version: it is set aside at the next start, and the controller remembers what it may have
    /// acknowledged.
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

    /// Completes a write and makes it durable.
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

/// The writes that controllers began and that have not reached their disks.
#[derive(Default)]
pub(super) struct UnsyncedWrites {
    writes: Vec<UnsyncedWrite>,
}

/// A write that has not reached its disk.
pub(super) struct UnsyncedWrite {
    /// The index of the controller that wrote.
    pub controller: usize,
    /// What it wrote.
    pub job: WriteJob,
}

impl UnsyncedWrites {
    /// Adds a write.
    pub(super) fn push(&mut self, write: UnsyncedWrite) {
        self.writes.push(write);
    }

    /// Removes a write that has reached its disk.
    pub(super) fn complete(&mut self, controller: usize, job: &WriteJob) {
        self.writes
            .retain(|write| write.controller != controller || !is_same(&write.job, job));
    }

    /// Removes and returns the writes of all controllers.
    pub(super) fn take(&mut self) -> Vec<UnsyncedWrite> {
        std::mem::take(&mut self.writes)
    }
}

fn is_same(left: &WriteJob, right: &WriteJob) -> bool {
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
