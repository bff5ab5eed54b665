//! What one order of an operator comes to under the newest committed document.

use super::changes::QueuedChange;
use super::content::with_items;
use super::{ChangeKind, ControllerState, OperationReply, Unavailable};
use common::identity::{Version, Zone};
use common::readers::{PathError, PathErrorReason};
use common::rules::Rule;
use common::spec::{ChangeStatus, Document, Spec, SpecRecords};
use std::collections::BTreeSet;

/// What an order comes to.
pub(super) enum ProposalOutcome {
    /// It is in the history: that stays true whoever leads, and needs no proof.
    Applied {
        /// The version that it made.
        version: Version,
        /// The operators' number of that version.
        number: u64,
    },
    /// The state is as it asks for; true while nobody overtook this leader.
    AlreadyInState,
    /// It is refused, or has no clear answer; true while nobody overtook this leader.
    Answered(OperationReply),
    /// It makes this document.
    NewDocument(Box<Document>),
}

impl ControllerState {
    /// Judges an order by the newest committed document.
    pub(super) fn evaluate_change(
        &self,
        current_document: &Document,
        requested: &QueuedChange,
    ) -> ProposalOutcome {
        match self.status_of(current_document, requested) {
            ChangeStatus::Applied(version) => {
                let number = requested.numbering.map_or(0, |given| given.number);
                return ProposalOutcome::Applied { version, number };
            }
            ChangeStatus::Forgotten => {
                let change = Some(requested.change.clone());
                let reason = Unavailable::Forgotten;
                return ProposalOutcome::Answered(OperationReply::Unknown { reason, change });
            }
            ChangeStatus::NotApplied => {}
        }
        let current_version = current_document.view_version();
        let current_number = current_document.number;
        let is_stale = requested.base.is_some_and(|base| base != current_version)
            || requested
                .numbering
                .is_some_and(|given| given.base_number != current_number);
        if is_stale && self.rules.enforces(Rule::StaleBaseRejected) {
            return ProposalOutcome::Answered(OperationReply::Stale {
                change: requested.change.clone(),
                version: current_version,
                number: current_number,
            });
        }
        if !requested.is_named && self.is_already_in_state(current_document, &requested.kind) {
            return ProposalOutcome::AlreadyInState;
        }
        match self.next_document(current_document, requested) {
            Ok(next_document) => ProposalOutcome::NewDocument(Box::new(next_document)),
            Err(reply) => ProposalOutcome::Answered(reply),
        }
    }

    /// Whether an order was taken already. Those of a number are known by number and content, the
    /// others by their names; of both only so many are remembered.
    fn status_of(&self, current_document: &Document, requested: &QueuedChange) -> ChangeStatus {
        if !self.rules.enforces(Rule::ResentChangeRecognized) {
            return ChangeStatus::NotApplied;
        }
        if let Some(numbering) = requested.numbering {
            let applied_changes = &current_document.applied_changes;
            if !self.rules.enforces(Rule::ChangeNumberBoundToContent)
                && let Some(version) = applied_changes.version_at(numbering.number)
            {
                return ChangeStatus::Applied(version);
            }
            return applied_changes.status_of(numbering.number, &requested.change);
        }
        current_document.status_of_named(requested.base, &requested.change)
    }

    fn is_already_in_state(&self, current_document: &Document, kind: &ChangeKind) -> bool {
        match kind {
            ChangeKind::Evacuate { zone, .. } => current_document.evacuated.contains(zone),
            ChangeKind::Restore { zone } => !current_document.evacuated.contains(zone),
            _ => false,
        }
    }

    fn next_document(
        &self,
        current_document: &Document,
        requested: &QueuedChange,
    ) -> Result<Document, OperationReply> {
        let is_number_low = requested
            .numbering
            .is_some_and(|given| given.number <= current_document.number);
        if is_number_low && self.rules.enforces(Rule::InvalidChangeRejected) {
            let reason =
                PathErrorReason::Malformed(format!("is not above {}", current_document.number));
            let error = PathError {
                path: "number".to_owned(),
                reason,
            };
            return Err(OperationReply::Invalid(vec![error]));
        }
        let number = requested
            .numbering
            .map_or(current_document.number, |given| given.number);
        let with_spec = |new_spec: SpecRecords| {
            let checked_spec = match new_spec.check() {
                Ok(checked_spec) => checked_spec,
                Err(faults) if self.rules.enforces(Rule::InvalidChangeRejected) => {
                    return Err(OperationReply::Invalid(faults));
                }
                Err(_) => Spec::default(),
            };
            let change = requested.change.clone();
            let next_document = current_document.with_spec(new_spec, &checked_spec, change);
            Ok(if requested.numbering.is_some() {
                next_document.numbered(number)
            } else {
                next_document
            })
        };
        match &requested.kind {
            ChangeKind::FullSpec(new_spec) => {
                with_spec(new_spec.sharing_records_with(&current_document.spec))
            }
            ChangeKind::Patch(merge_patch) => {
                let mut new_spec = current_document.spec.to_value();
                json_patch::merge(&mut new_spec, merge_patch);
                with_spec(SpecRecords::new(new_spec).sharing_records_with(&current_document.spec))
            }
            ChangeKind::Items(items) => with_spec(with_items(&current_document.spec, items)),
            ChangeKind::Evacuate { zone, force } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !force {
                    return Err(OperationReply::NoZone {
                        zone: zone.clone(),
                        known: known_zones,
                    });
                }
                let remaining_count = known_zones
                    .iter()
                    .filter(|known| *known != zone && !current_document.evacuated.contains(*known))
                    .count();
                if remaining_count == 0 && !force {
                    return Err(OperationReply::LastZone);
                }
                Ok(current_document.with_zone(zone.clone(), true, requested.change.clone()))
            }
            ChangeKind::Restore { zone } => {
                let known_zones = self.known_zones();
                if !known_zones.contains(zone) && !current_document.evacuated.contains(zone) {
                    return Err(OperationReply::NoZone {
                        zone: zone.clone(),
                        known: known_zones,
                    });
                }
                Ok(current_document.with_zone(zone.clone(), false, requested.change.clone()))
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
