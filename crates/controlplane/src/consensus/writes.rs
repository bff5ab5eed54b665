//! Tracks the disk writes in flight.

use super::{ConsensusNode, ConsensusOutput, WriteJob, WriteResult};
use common::clock::MonotonicTime;
use common::identity::{ControllerId, Term, Ticket};
use common::spec::Document;
use std::collections::BTreeMap;

/// What a write in flight stores.
#[derive(Clone, Debug)]
pub(super) enum PendingWriteKind {
    /// Nothing new: a scrub reads the stored files again.
    Scrub,
    /// A vote.
    Vote { term: Term, candidate: ControllerId },
    /// A version of the document.
    Version(Box<Document>),
}

impl PendingWriteKind {
    /// Whether the write stores part of the node's state; a scrub does not.
    fn is_state_write(&self) -> bool {
        !matches!(self, Self::Scrub)
    }
}

#[derive(Clone, Debug)]
struct PendingWrite {
    started_at: MonotonicTime,
    kind: PendingWriteKind,
}

/// The writes in flight by ticket.
#[derive(Clone, Debug)]
pub(super) struct PendingWrites {
    by_ticket: BTreeMap<Ticket, PendingWrite>,
    last_ticket: Ticket,
}

impl PendingWrites {
    /// Creates the state in which no write is in flight.
    pub(super) fn new() -> Self {
        Self {
            by_ticket: BTreeMap::new(),
            last_ticket: Ticket(0),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty()
    }

    /// Whether part of the node's state is being written.
    pub(super) fn has_state_write(&self) -> bool {
        self.state_writes().next().is_some()
    }

    /// Whether a vote in this or a later term is being written.
    pub(super) fn has_vote_since(&self, term: Term) -> bool {
        self.by_ticket.values().any(|pending| {
            matches!(pending.kind, PendingWriteKind::Vote { term: pending_term, .. } if pending_term >= term)
        })
    }

    /// Returns the versions being written.
    pub(super) fn versions(&self) -> impl Iterator<Item = &Document> {
        self.by_ticket
            .values()
            .filter_map(|pending| match &pending.kind {
                PendingWriteKind::Version(document) => Some(&**document),
                PendingWriteKind::Vote { .. } | PendingWriteKind::Scrub => None,
            })
    }

    fn state_writes(&self) -> impl Iterator<Item = &PendingWrite> {
        self.by_ticket
            .values()
            .filter(|pending| pending.kind.is_state_write())
    }

    fn oldest_state_write_at(&self) -> Option<MonotonicTime> {
        self.state_writes().map(|pending| pending.started_at).min()
    }

    fn start(&mut self, now: MonotonicTime, kind: PendingWriteKind) -> Ticket {
        self.last_ticket = self.last_ticket.next();
        self.by_ticket.insert(
            self.last_ticket,
            PendingWrite {
                started_at: now,
                kind,
            },
        );
        self.last_ticket
    }

    fn complete(&mut self, ticket: Ticket) -> Option<PendingWriteKind> {
        self.by_ticket.remove(&ticket).map(|pending| pending.kind)
    }
}

impl ConsensusNode {
    /// Handles the completion of a write. A ticket that is not in flight is ignored.
    ///
    /// After a failed write the node steps down and waits for twice the longest election timeout, so
    /// that nodes with a working disk campaign first.
    pub fn handle_write_completed(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        result: WriteResult,
    ) -> Vec<ConsensusOutput> {
        if let Some(kind) = self.writes.complete(ticket) {
            match (kind, result) {
                (PendingWriteKind::Vote { term, candidate }, WriteResult::Synced) => {
                    self.handle_vote_written(now, term, candidate);
                }
                (PendingWriteKind::Version(document), WriteResult::Synced) => {
                    self.handle_version_written(now, *document);
                }
                (PendingWriteKind::Scrub, WriteResult::Synced) => {}
                (_, WriteResult::Failed) => {
                    self.step_down(now, self.hard_state.term);
                    self.timers.election_deadline =
                        now + self.options.timing.election_timeout_max * 2;
                }
            }
        }
        self.take_outputs()
    }

    pub(super) fn submit_write(&mut self, now: MonotonicTime, kind: PendingWriteKind) {
        let job = match &kind {
            PendingWriteKind::Vote { term, candidate } => WriteJob::Vote {
                term: *term,
                candidate: *candidate,
            },
            PendingWriteKind::Version(document) => WriteJob::Version((**document).clone()),
            PendingWriteKind::Scrub => WriteJob::Scrub(self.hard_state.accepted.clone()),
        };
        let ticket = self.writes.start(now, kind);
        self.outputs.push(ConsensusOutput::Write { ticket, job });
    }

    /// Whether a state write has been in flight for longer than the shortest election timeout. A leader
    /// with such a disk would delay every change.
    pub(super) fn is_disk_stalled(&self, now: MonotonicTime) -> bool {
        self.writes
            .oldest_state_write_at()
            .is_some_and(|started_at| {
                now.since(started_at) > self.options.timing.election_timeout_min
            })
    }
}
