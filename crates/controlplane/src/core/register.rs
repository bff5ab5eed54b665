use super::{Address, Core, CoreOutput, Role, Writing};
use common::clock::Moment;
use common::frames::{Blob, CoreBody, Many, Place};
use common::identity::{ControllerId, Serial, Stamp, Term};
use common::rules::Rule;
use common::spec::{CoreMember, Document};
use std::collections::BTreeSet;
use std::fmt;

const FOUNDING: Stamp = Stamp { term: Term(1), serial: Serial(1) };

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

/// Why a core cannot be founded.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FoundFault {
    /// There is a document here already.
    Founded,
    /// Not every seed has been heard with an empty disk.
    SeedsMissing,
    /// This controller keeps nothing.
    PassesOn,
}

impl fmt::Display for FoundFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Founded => "the core is founded already",
            Self::SeedsMissing => "not every seed has been heard with an empty disk",
            Self::PassesOn => "a controller without a data folder founds nothing",
        })
    }
}

impl std::error::Error for FoundFault {}

impl Core {
    /// Founds the core with the controllers at the seed addresses that keep something, all of them empty.
    pub fn found(&mut self, now: Moment) -> Result<Vec<CoreOutput>, FoundFault> {
        let (founders, _) = self.founders(now)?;
        self.order_write(now, Writing::Version(Box::new(Document::founding(founders))));
        Ok(std::mem::take(&mut self.outputs))
    }

    /// The founders as they would be now, and whether none of them remembers any term.
    fn founders(&self, now: Moment) -> Result<(Vec<CoreMember>, bool), FoundFault> {
        if self.passes_on {
            return Err(FoundFault::PassesOn);
        }
        if self.accepted.is_some() || !self.writings.is_empty() {
            return Err(FoundFault::Founded);
        }
        let mut founders =
            vec![CoreMember { id: self.id, place: self.address.place, zone: self.zone.clone() }];
        let mut is_first = self.term == Term(0)
            && self.voted.is_none()
            && self.distrusted == Stamp::default()
            && self.seeds.contains(&self.address.place);
        let seeds: BTreeSet<Place> = self.seeds.iter().copied().collect();
        for seed in seeds {
            if seed == self.address.place {
                continue;
            }
            let greeted_lately = self.others.get(&seed).and_then(|other| {
                let greeting = other.greeting.as_ref()?;
                let is_late = now.since(greeting.heard_at) < self.timing.hello_every * 4;
                is_late.then_some((other, greeting))
            });
            let Some((other, greeting)) = greeted_lately else {
                return Err(FoundFault::SeedsMissing);
            };
            if greeting.passes_on {
                continue;
            }
            if other.accepted != Stamp::default() {
                return Err(FoundFault::Founded);
            }
            is_first &= greeting.term == Term(0);
            let zone = other.zone.clone();
            founders.push(CoreMember { id: other.id, place: seed, zone });
        }
        Ok((founders, is_first))
    }

    /// At the first start of the whole system the seed with the smallest place founds, once it has
    /// heard every seed with an empty disk. Nobody else ever does, and a disk that is lost later
    /// does not know of the first start any more.
    pub(super) fn found_if_first(&mut self, now: Moment) {
        if !self.may_found || self.accepted.is_some() {
            return;
        }
        let Ok((founders, true)) = self.founders(now) else { return };
        let smallest_place = founders.iter().map(|founder| founder.place).min();
        if smallest_place == Some(self.address.place) {
            self.order_write(now, Writing::Version(Box::new(Document::founding(founders))));
        }
    }

    fn send_founding(&mut self) {
        let Some(document) = self.accepted.clone() else { return };
        let document_bytes = self.bytes_of(&document);
        for founder_place in self.voter_places() {
            self.send(founder_place, CoreBody::Found { document: document_bytes.clone() });
        }
    }

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
        self.proposed = Some(document.clone());
        self.order_write(now, Writing::Version(Box::new(document.clone())));
        let document_bytes = self.bytes_of(&document);
        for known_place in self.known_places() {
            if self.keeps_nothing(known_place) {
                continue;
            }
            if let Some(other) = self.others.get_mut(&known_place) {
                other.document_sent_at = now;
            }
            let body = CoreBody::Accept {
                term: self.term,
                stamp: document.stamp,
                document: document_bytes.clone(),
            };
            self.send(known_place, body);
        }
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
            let document = self.bytes_of(&document);
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

    pub(super) fn hear_found(&mut self, now: Moment, document_bytes: &[u8]) {
        if self.passes_on || self.accepted.is_some() || !self.writings.is_empty() {
            return;
        }
        let Ok(document) = Document::from_bytes(document_bytes) else { return };
        if document.core.iter().any(|voter| voter.id == self.id) {
            self.written_out = Some((document.stamp, Blob::from(document_bytes.to_vec())));
            self.order_write(now, Writing::Version(Box::new(document)));
        }
    }

    pub(super) fn hear_accept(
        &mut self,
        now: Moment,
        from: ControllerId,
        address: Address,
        term: Term,
        stamp: Stamp,
        document_bytes: &[u8],
    ) {
        if !self.hear_leader(now, from, address, term) {
            self.say_accepted(address.place);
            return;
        }
        if self.passes_on {
            return;
        }
        if stamp <= self.accepted_stamp() {
            self.say_accepted(address.place);
            return;
        }
        let is_being_written = self.writings.values().any(
            |since| matches!(&since.writing, Writing::Version(document) if document.stamp >= stamp),
        );
        if is_being_written {
            return;
        }
        match Document::from_bytes(document_bytes) {
            Ok(document) if document.stamp == stamp => {
                self.written_out = Some((stamp, Blob::from(document_bytes.to_vec())));
                let hasty = (!self.rules.keep(Rule::AcceptOnDisk)).then(|| document.clone());
                self.order_write(now, Writing::Version(Box::new(document)));
                if let Some(unwritten) = hasty {
                    self.version_written(now, unwritten);
                }
            }
            _ => {}
        }
    }

    fn say_accepted(&mut self, to: Place) {
        let body = CoreBody::Accepted { term: self.term, stamp: self.accepted_stamp() };
        self.send(to, body);
    }

    pub(super) fn version_written(&mut self, now: Moment, document: Document) {
        let written_stamp = document.stamp;
        self.term = self.term.max(written_stamp.term);
        if written_stamp > self.accepted_stamp() {
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
        if term > self.term {
            self.step_down(now, term);
            return;
        }
        if term < self.term || !self.is_leader() {
            return;
        }
        self.note_accepted(now, place, accepted);
        self.count_round(now, round, from);
        self.count_accepted(now);
        self.bring_level(now, place);
    }

    fn bring_level(&mut self, now: Moment, place: Place) {
        let newest_document = self.proposed.as_ref().or(self.accepted.as_ref());
        let Some(document) = newest_document.filter(|held| held.stamp.term == self.term) else {
            return;
        };
        let stamp = document.stamp;
        let Some(other) = self.others.get_mut(&place) else { return };
        let is_due =
            other.accepted < stamp && now.since(other.document_sent_at) >= self.timing.resend_after;
        let keeps_nothing = other.greeting.as_ref().is_some_and(|greeting| greeting.passes_on);
        if is_due && !keeps_nothing {
            other.document_sent_at = now;
            let document = document.clone();
            let document = self.bytes_of(&document);
            self.send(place, CoreBody::Accept { term: self.term, stamp, document });
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
