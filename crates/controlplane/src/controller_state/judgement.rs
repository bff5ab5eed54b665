//! What one order of an operator comes to under the newest committed document.

use super::changes::QueuedChange;
use super::content::with_items;
use super::{ChangeKind, ControllerState, OperationReply, Unavailable};
use common::identity::{Serial, Zone};
use common::readers::{FaultReason, PathFault};
use common::rules::Rule;
use common::spec::{ChangeFate, Document, Spec, SpecRecords};
use std::collections::BTreeSet;

/// What an order comes to.
pub(super) enum Judgement {
    /// It is in the history: that stays true whoever leads, and needs no proof.
    Taken {
        /// The version that it made.
        serial: Serial,
        /// The operators' number of that version.
        number: u64,
    },
    /// The state is as it asks for; true while nobody overtook this leader.
    SoAlready,
    /// It is refused, or has no clear answer; true while nobody overtook this leader.
    Answered(OperationReply),
    /// It makes this document.
    Next(Box<Document>),
}

impl ControllerState {
    /// Judges an order by the newest committed document.
    pub(super) fn judge_change(
        &self,
        current_document: &Document,
        asked: &QueuedChange,
    ) -> Judgement {
        match self.fate(current_document, asked) {
            ChangeFate::Taken(serial) => {
                let number = asked.numbering.map_or(0, |given| given.number);
                return Judgement::Taken { serial, number };
            }
            ChangeFate::Forgotten => {
                let change = Some(asked.change.clone());
                let reason = Unavailable::Forgotten;
                return Judgement::Answered(OperationReply::Unknown { reason, change });
            }
            ChangeFate::NotTaken => {}
        }
        let current_serial = current_document.view_serial();
        let current_number = current_document.number;
        let is_stale = asked.base.is_some_and(|base| base != current_serial)
            || asked.numbering.is_some_and(|given| given.base_number != current_number);
        if is_stale && self.rules.keep(Rule::StaleBaseRefused) {
            return Judgement::Answered(OperationReply::Stale {
                change: asked.change.clone(),
                serial: current_serial,
                number: current_number,
            });
        }
        if !asked.is_named && self.is_so_already(current_document, &asked.kind) {
            return Judgement::SoAlready;
        }
        match self.next_document(current_document, asked) {
            Ok(next_document) => Judgement::Next(Box::new(next_document)),
            Err(reply) => Judgement::Answered(reply),
        }
    }

    /// Whether an order was taken already. Those of a number are known by number and content, the
    /// others by their names; of both only so many are remembered.
    fn fate(&self, current_document: &Document, asked: &QueuedChange) -> ChangeFate {
        if !self.rules.keep(Rule::TakenKnown) {
            return ChangeFate::NotTaken;
        }
        if let Some(numbering) = asked.numbering {
            let taken = &current_document.taken;
            if !self.rules.keep(Rule::NumberTakenOnce)
                && let Some(serial) = taken.serial_at(numbering.number)
            {
                return ChangeFate::Taken(serial);
            }
            return taken.fate(numbering.number, &asked.change);
        }
        current_document.fate_of_named(asked.base, &asked.change)
    }

    fn is_so_already(&self, current_document: &Document, kind: &ChangeKind) -> bool {
        match kind {
            ChangeKind::Evacuate { zone, .. } => current_document.evacuated.contains(zone),
            ChangeKind::Restore { zone } => !current_document.evacuated.contains(zone),
            _ => false,
        }
    }

    fn next_document(
        &self,
        current_document: &Document,
        asked: &QueuedChange,
    ) -> Result<Document, OperationReply> {
        let is_number_low =
            asked.numbering.is_some_and(|given| given.number <= current_document.number);
        if is_number_low && self.rules.keep(Rule::InvalidRefused) {
            let reason = FaultReason::Form(format!("is not above {}", current_document.number));
            let fault = PathFault { path: "number".to_owned(), reason };
            return Err(OperationReply::Invalid(vec![fault]));
        }
        let number = asked.numbering.map_or(current_document.number, |given| given.number);
        let with_spec = |new_spec: SpecRecords| {
            let checked_spec = match new_spec.check() {
                Ok(checked_spec) => checked_spec,
                Err(faults) if self.rules.keep(Rule::InvalidRefused) => {
                    return Err(OperationReply::Invalid(faults));
                }
                Err(_) => Spec::default(),
            };
            let change = asked.change.clone();
            let next_document = current_document.with_spec(new_spec, &checked_spec, change);
            Ok(if asked.numbering.is_some() {
                next_document.numbered(number)
            } else {
                next_document
            })
        };
        match &asked.kind {
            ChangeKind::Whole(new_spec) => with_spec(new_spec.succeeding(&current_document.spec)),
            ChangeKind::Patch(merge_patch) => {
                let mut new_spec = current_document.spec.to_value();
                json_patch::merge(&mut new_spec, merge_patch);
                with_spec(SpecRecords::new(new_spec).succeeding(&current_document.spec))
            }
            ChangeKind::Items(items) => with_spec(with_items(&current_document.spec, items)),
            ChangeKind::Evacuate { zone, force } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !force {
                    return Err(OperationReply::NoZone { zone: zone.clone(), known: known_zones });
                }
                let left_count = known_zones
                    .iter()
                    .filter(|known| *known != zone && !current_document.evacuated.contains(*known))
                    .count();
                if left_count == 0 && !force {
                    return Err(OperationReply::LastZone);
                }
                Ok(current_document.with_zone(zone.clone(), true, asked.change.clone()))
            }
            ChangeKind::Restore { zone } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !current_document.evacuated.contains(zone) {
                    return Err(OperationReply::NoZone { zone: zone.clone(), known: known_zones });
                }
                Ok(current_document.with_zone(zone.clone(), false, asked.change.clone()))
            }
        }
    }

    fn known_zones(&self) -> BTreeSet<Zone> {
        self.leader_state
            .as_ref()
            .map(|leader_state| leader_state.known_zones())
            .unwrap_or_default()
    }
}
