//! The replication of versions: the leader puts one forward, the others write it, a majority commits it. A
//! version travels as the change from the one before, and whole to whoever does not hold that.

use super::founding::FOUNDING;
use super::{Address, Core, CoreOutput, Role, Writing};
use common::clock::Moment;
use common::frames::{Blob, CoreBody, Many, Place, pack, unpack};
use common::identity::{ControllerId, Stamp, Term};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::Document;
use std::collections::BTreeSet;
use std::fmt;

/// Why a change cannot be put forward.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProposeFault {
    /// This controller does not lead, or has not yet committed under its term.
    NotReady,
    /// Another change is in flight.
    Busy,
}

impl fmt::Display for ProposeFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotReady => "no ready leader here",
            Self::Busy => "another change is in flight",
        })
    }
}

impl std::error::Error for ProposeFault {}

/// A version as it is sent: the change that leads to it, and the whole once somebody needs it.
#[derive(Clone, Debug)]
pub(super) struct SentVersion {
    stamp: Stamp,
    change: Option<SentChange>,
    whole: Option<Blob>,
}

#[derive(Clone, Debug)]
struct SentChange {
    base: Stamp,
    change: Blob,
    digest: Blob,
}

/// A version as a leader sent it, by what changes.
pub(super) struct ChangedVersion<'a> {
    /// The leader's term.
    pub term: Term,
    /// The version that the change leads from.
    pub base: Stamp,
    /// Where the version stands.
    pub stamp: Stamp,
    /// The change, packed.
    pub change: &'a Blob,
    /// The digest of the changed document.
    pub digest: &'a Blob,
}

impl SentVersion {
    fn new(document: &Document, base: Option<&Document>) -> Self {
        let change = base.map(|base| SentChange {
            base: base.stamp,
            change: pack(&base.change_to(document)),
            digest: document.digest().to_vec().into(),
        });
        Self { stamp: document.stamp, change, whole: None }
    }

    fn whole(&mut self, document: &Document) -> Blob {
        self.whole.get_or_insert_with(|| pack(&document.to_bytes())).clone()
    }

    /// The frame for a controller that holds this version of the leader's, or is about to.
    fn frame_for(&mut self, held: Stamp, term: Term, document: &Document) -> CoreBody {
        let stamp = self.stamp;
        match &self.change {
            Some(sent) if sent.base == held => CoreBody::AcceptChange {
                term,
                base: sent.base,
                stamp,
                change: sent.change.clone(),
                digest: sent.digest.clone(),
            },
            _ => CoreBody::Accept { term, stamp, document: self.whole(document) },
        }
    }
}

impl Core {
    /// Puts the next version forward; from here on its outcome is accepted or unknown.
    pub fn propose(
        &mut self,
        now: Moment,
        mut document: Document,
    ) -> Result<Vec<CoreOutput>, ProposeFault> {
        if !self.is_ready() {
            return Err(ProposeFault::NotReady);
        }
        if self.proposed.is_some() {
            return Err(ProposeFault::Busy);
        }
        document.stamp.term = self.term;
        self.put_forward(now, document);
        Ok(std::mem::take(&mut self.outputs))
    }

    pub(super) fn put_forward(&mut self, now: Moment, document: Document) {
        self.sent_version = Some(SentVersion::new(&document, self.accepted.as_ref()));
        self.proposed = Some(document.clone());
        self.order_write(now, Writing::Version(Box::new(document)));
        for known_place in self.known_places() {
            let held = self.others.get(&known_place).map(|other| other.accepted.max(other.sent));
            self.send_newest(now, known_place, held.unwrap_or_default());
        }
    }

    /// Sends the newest version of this leader's to a controller that holds that one, or is about to.
    fn send_newest(&mut self, now: Moment, to: Place, held: Stamp) {
        if self.keeps_nothing(to) {
            return;
        }
        let newest = self.proposed.as_ref().or(self.accepted.as_ref());
        let Some(document) = newest.filter(|document| document.stamp.term == self.term) else {
            return;
        };
        let is_sent = |sent: &&mut SentVersion| sent.stamp == document.stamp;
        let body = match self.sent_version.as_mut().filter(is_sent) {
            Some(sent_version) => sent_version.frame_for(held, self.term, document),
            None => {
                let mut sent_version = SentVersion::new(document, None);
                let body = sent_version.frame_for(held, self.term, document);
                self.sent_version = Some(sent_version);
                body
            }
        };
        if let Some(other) = self.others.get_mut(&to) {
            other.document_sent_at = now;
            other.sent = document.stamp;
        }
        self.send(to, body);
    }

    pub(super) fn hear_hello(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        accepted: Stamp,
    ) {
        self.note_accepted(now, address.place, accepted);
        let founding_document =
            self.accepted.as_ref().filter(|document| document.stamp == FOUNDING).cloned();
        if let Some(document) = founding_document
            && accepted == Stamp::default()
            && self.is_voter(from)
        {
            let document = pack(&document.to_bytes());
            self.send(address.place, CoreBody::Found { document });
        }
        if !self.is_voter(from)
            && let Some((leader_id, leader_address)) = self.leader
            && leader_id != self.id
        {
            let mut named_places = self.voter_places();
            named_places.insert(leader_address.place);
            named_places.remove(&address.place);
            let places = Many(named_places.into_iter().collect());
            self.send(address.place, CoreBody::Named { places });
        }
        if self.is_leader() {
            self.bring_level(now, address.place);
        }
    }

    pub(super) fn hear_accept(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        term: Term,
        stamp: Stamp,
        document: &Blob,
    ) {
        if !self.takes_version(now, from, address, term, stamp) {
            return;
        }
        let Ok(document_bytes) = unpack(document) else { return };
        if let Ok(document) = Document::from_bytes(&document_bytes)
            && document.stamp == stamp
        {
            self.take_version(now, document);
        }
    }

    /// A change is applied to the version that it leads from, on this disk or on its way there. Whoever
    /// does not hold that one asks for the whole.
    pub(super) fn hear_accept_change(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        version: ChangedVersion<'_>,
    ) {
        let ChangedVersion { term, base, stamp, change, digest } = version;
        if !self.takes_version(now, from, address, term, stamp) {
            return;
        }
        let changed = self.changed_version(base, change, digest);
        match changed.filter(|document| document.stamp == stamp) {
            Some(document) => self.take_version(now, document),
            None => {
                let accepted = self.accepted_stamp();
                self.send(address.place, CoreBody::AskWhole { term: self.term, accepted });
            }
        }
    }

    /// Whether a version that a leader sent is to be written; says what is held already.
    fn takes_version(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        term: Term,
        stamp: Stamp,
    ) -> bool {
        if !self.hear_leader(now, from, address, term) {
            self.say_accepted(address.place);
            return false;
        }
        if self.passes_on {
            return false;
        }
        if stamp <= self.accepted_stamp() {
            self.say_accepted(address.place);
            return false;
        }
        !self.versions_being_written().any(|document| document.stamp >= stamp)
    }

    fn take_version(&mut self, now: Moment, document: Document) {
        let hasty = (!self.rules.keep(Rule::AcceptOnDisk)).then(|| document.clone());
        self.order_write(now, Writing::Version(Box::new(document)));
        if let Some(unwritten) = hasty {
            self.version_written(now, unwritten);
        }
    }

    pub(super) fn versions_being_written(&self) -> impl Iterator<Item = &Document> {
        self.writings.values().filter_map(|since| match &since.writing {
            Writing::Version(document) => Some(&**document),
            Writing::Vote { .. } | Writing::Scrub => None,
        })
    }

    fn changed_version(&self, base: Stamp, change: &Blob, digest: &Blob) -> Option<Document> {
        let change_bytes = unpack(change).ok()?;
        let mut held_versions = self.accepted.iter().chain(self.versions_being_written());
        if !self.rules.keep(Rule::ChangeOnItsBase) {
            return held_versions.next()?.changed_unproven(&change_bytes).ok();
        }
        let held = held_versions.find(|document| document.stamp == base)?;
        held.changed(&change_bytes, &digest.0).ok()
    }

    /// Whether an answer of this term is to this controller's lead; one of a later term ends it.
    fn leads_in(&mut self, now: Moment, term: Term) -> bool {
        if term > self.term {
            self.step_down(now, term);
        }
        term == self.term && self.is_leader()
    }

    /// Another controller lacks what a change leads from.
    pub(super) fn hear_ask_whole(&mut self, now: Moment, from: Place, term: Term, accepted: Stamp) {
        if !self.leads_in(now, term) {
            return;
        }
        self.note_accepted(now, from, accepted);
        self.send_newest(now, from, Stamp::default());
    }

    fn say_accepted(&mut self, to: Place) {
        let body = CoreBody::Accepted { term: self.term, stamp: self.accepted_stamp() };
        self.send(to, body);
    }

    pub(super) fn version_written(&mut self, now: Moment, document: Document) {
        let written_stamp = document.stamp;
        self.term = self.term.max(written_stamp.term);
        if written_stamp > self.accepted_stamp() {
            let committed = self.committed;
            let holds_commit = self.accepted_stamp() >= committed;
            let keeps_commit = !holds_commit || written_stamp.serial >= committed.serial;
            require(self.rules, Invariant::CommitNeverLost, keeps_commit, || {
                format!("{written_stamp} takes the place of {committed}, which is committed")
            });
            self.accepted = Some(document);
        }
        if written_stamp == FOUNDING {
            self.send_founding();
        }
        if self.is_leader() {
            self.count_accepted(now);
        } else if let Some((_, address)) = self.leader {
            self.say_accepted(address.place);
        }
    }

    pub(super) fn hear_accepted(&mut self, now: Moment, from: Place, term: Term, stamp: Stamp) {
        if term > self.term {
            self.step_down(now, term);
            return;
        }
        self.note_accepted(now, from, stamp);
        self.count_accepted(now);
    }

    pub(super) fn hear_round_reply(
        &mut self,
        now: Moment,
        from: ControllerId,
        place: Place,
        term: Term,
        round: u64,
        accepted: Stamp,
    ) {
        if !self.leads_in(now, term) {
            return;
        }
        self.note_accepted(now, place, accepted);
        self.count_round(now, round, from);
        self.count_accepted(now);
        self.bring_level(now, place);
    }

    fn bring_level(&mut self, now: Moment, place: Place) {
        let newest_document = self.proposed.as_ref().or(self.accepted.as_ref());
        let Some(stamp) = newest_document.map(|held| held.stamp) else { return };
        let Some(other) = self.others.get(&place) else { return };
        let held = other.accepted;
        if held < stamp && now.since(other.document_sent_at) >= self.timing.resend_after {
            self.send_newest(now, place, held);
        }
    }

    fn note_accepted(&mut self, now: Moment, place: Place, accepted: Stamp) {
        let committed = self.committed;
        let Some(other) = self.others.get_mut(&place) else { return };
        let has_moved = accepted > other.accepted;
        other.accepted = accepted;
        if accepted >= committed {
            other.behind_since = None;
        } else if has_moved || other.behind_since.is_none() {
            other.behind_since = Some(now);
        }
    }

    fn count_accepted(&mut self, now: Moment) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        let Some(document) = &self.proposed else { return };
        let mut written: BTreeSet<ControllerId> = self
            .others
            .values()
            .filter(|other| other.accepted == document.stamp)
            .map(|other| other.id)
            .collect();
        if self.accepted_stamp() != document.stamp {
            return;
        }
        written.insert(self.id);
        if Self::is_majority_of(document, &written) {
            self.committed = document.stamp;
            let committed_document = document.clone();
            self.proposed = None;
            self.outputs.push(CoreOutput::Committed(committed_document));
            self.leave_if_removed(now);
            self.progress_membership(now);
        }
    }
}
