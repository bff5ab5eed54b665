//! The founding of the control quorum: the first version, which names the controllers at the seeds.

use super::{Core, CoreOutput, Writing};
use common::clock::Moment;
use common::frames::{Blob, CoreBody, Place, pack, unpack};
use common::identity::{Serial, Stamp, Term};
use common::spec::{CoreMember, Document};
use std::collections::BTreeSet;
use std::fmt;

/// The stamp of the first version.
pub(super) const FOUNDING: Stamp = Stamp { term: Term(1), serial: Serial(1) };

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

    pub(super) fn send_founding(&mut self) {
        let Some(document) = self.accepted.clone() else { return };
        let packed_document = pack(&document.to_bytes());
        for founder_place in self.voter_places() {
            self.send(founder_place, CoreBody::Found { document: packed_document.clone() });
        }
    }

    pub(super) fn hear_found(&mut self, now: Moment, document: &Blob) {
        if self.passes_on || self.accepted.is_some() || !self.writings.is_empty() {
            return;
        }
        let Ok(document_bytes) = unpack(document) else { return };
        let Ok(document) = Document::from_bytes(&document_bytes) else { return };
        if document.core.iter().any(|voter| voter.id == self.id) {
            self.order_write(now, Writing::Version(Box::new(document)));
        }
    }
}
