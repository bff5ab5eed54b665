//! The other controllers, as one controller knows them: where they stand, what their disks hold, and who of
//! them is greeted.

use super::{Address, Core};
use common::clock::Moment;
use common::frames::{CoreBody, Flag, Place};
use common::identity::{ControllerId, Stamp, Term, Zone};
use std::collections::BTreeSet;

/// So many controllers are remembered as heard.
const MOST_HEARD: usize = 64;

/// Another controller as this one knows it.
#[derive(Clone, Debug)]
pub(super) struct Other {
    pub id: ControllerId,
    pub address: Address,
    pub zone: Zone,
    pub accepted: Stamp,
    pub behind_since: Option<Moment>,
    pub heard_at: Moment,
    /// When a version was last sent to it, and which.
    pub document_sent_at: Moment,
    pub sent: Stamp,
    pub since: Moment,
    pub greeting: Option<Greeting>,
}

/// What another controller last said in greeting.
#[derive(Clone, Debug)]
pub(super) struct Greeting {
    pub heard_at: Moment,
    pub term: Term,
    pub passes_on: bool,
}

impl Core {
    /// The other controllers heard lately, and whether each is a member of the core.
    pub fn others(&self, now: Moment) -> Vec<(ControllerId, Address, Stamp, bool, u64)> {
        self.others
            .values()
            .map(|other| {
                let silent_ms = now.since(other.heard_at).as_millis() as u64;
                (other.id, other.address, other.accepted, self.is_voter(other.id), silent_ms)
            })
            .collect()
    }

    pub(super) fn note_other(
        &mut self,
        now: Moment,
        id: ControllerId,
        address: Address,
        zone: Zone,
    ) {
        self.heard.insert(id, now);
        if self.heard.len() > MOST_HEARD
            && let Some(silent_longest) =
                self.heard.iter().min_by_key(|(_, heard_at)| **heard_at).map(|(id, _)| *id)
        {
            self.heard.remove(&silent_longest);
        }
        let other = self.others.entry(address.place).or_insert(Other {
            id,
            address,
            zone: zone.clone(),
            accepted: Stamp::default(),
            behind_since: None,
            heard_at: now,
            document_sent_at: Moment::ZERO,
            sent: Stamp::default(),
            since: now,
            greeting: None,
        });
        if other.id != id {
            other.accepted = Stamp::default();
            other.behind_since = None;
            other.document_sent_at = Moment::ZERO;
            other.sent = Stamp::default();
            other.since = now;
            other.greeting = None;
        }
        other.id = id;
        other.address = address;
        other.zone = zone;
        other.heard_at = now;
    }

    /// Where those stand whose votes count, now or while a membership change is not settled.
    pub(super) fn voter_places(&self) -> BTreeSet<Place> {
        let documents = self.accepted.iter().chain(&self.proposed);
        let voters = documents.flat_map(|document| document.core.iter().chain(&document.former));
        let mut voter_places: BTreeSet<Place> = voters.map(|voter| voter.place).collect();
        voter_places.remove(&self.address.place);
        voter_places
    }

    pub(super) fn greeted_places(&self) -> BTreeSet<Place> {
        let mut greeted_places = self.voter_places();
        greeted_places.extend(self.seeds.iter().copied());
        greeted_places.extend(self.hinted.iter().copied());
        greeted_places.remove(&self.address.place);
        greeted_places
    }

    pub(super) fn known_places(&self) -> BTreeSet<Place> {
        let mut known_places = self.greeted_places();
        known_places.extend(self.others.keys().copied());
        known_places.remove(&self.address.place);
        known_places
    }

    pub(super) fn keeps_nothing(&self, place: Place) -> bool {
        let greeting = self.others.get(&place).and_then(|other| other.greeting.as_ref());
        greeting.is_some_and(|greeting| greeting.passes_on)
    }

    pub(super) fn forget_others(&mut self, now: Moment) {
        let kept_places = self.greeted_places();
        let kept_span = self.timing.replace_after * 4;
        self.others.retain(|place, other| {
            kept_places.contains(place) || now.since(other.heard_at) < kept_span
        });
    }

    pub(super) fn greet_all(&mut self) {
        let hello = CoreBody::Hello {
            accepted: self.accepted_stamp(),
            term: self.term,
            passes_on: Flag(self.passes_on),
        };
        for greeted_place in self.greeted_places() {
            self.send(greeted_place, hello.clone());
        }
    }
}
