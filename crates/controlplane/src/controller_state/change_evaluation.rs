//! Evaluates a change against the newest committed document. Free of side effects.

use super::content::with_items;
use super::pending_changes::QueuedChange;
use super::{ChangeKind, OperationReply, Unavailable};
use crate::leader_state::LeaderState;
use common::identity::{Version, Zone};
use common::readers::{PathError, PathErrorReason};
use common::rules::{Rule, Rules};
use common::spec::{ChangeStatus, Document, Spec, SpecRecords};
use std::collections::BTreeSet;

/// The result of evaluating a change.
pub(super) enum EvaluationResult {
    /// The change was applied before. This is true under any leader, so it needs no confirmation by a majority.
    Applied {
        /// The version that the change produced.
        version: Version,
        /// The operators' number of that version, or zero if they gave none.
        number: u64,
    },
    /// The requested state is the current one. Valid only while no other leader has been elected.
    AlreadyInState,
    /// The change produces no document: it is rejected, or it is unknown whether it was applied before. Valid only
    /// while no other leader has been elected.
    Reply(OperationReply),
    /// The change produces this document.
    NewDocument(Box<Document>),
}

/// Evaluates changes against one committed document.
pub(super) struct ChangeEvaluator<'a> {
    /// The newest committed document, against which changes are evaluated.
    pub current_document: &'a Document,
    /// The leader state, which knows the zones of daemons and workers.
    pub leader_state: Option<&'a LeaderState>,
    /// The rules to enforce.
    pub rules: Rules,
}

impl ChangeEvaluator<'_> {
    /// Evaluates a change.
    pub(super) fn evaluate(&self, queued: &QueuedChange) -> EvaluationResult {
        match self.status_of(queued) {
            ChangeStatus::Applied(version) => {
                let number = queued.request.numbering.map_or(0, |given| given.number);
                return EvaluationResult::Applied { version, number };
            }
            ChangeStatus::Forgotten => {
                let change = Some(queued.change.clone());
                let reason = Unavailable::Forgotten;
                return EvaluationResult::Reply(OperationReply::Unknown { reason, change });
            }
            ChangeStatus::NotApplied => {}
        }
        if self.is_stale(queued) && self.rules.enforces(Rule::StaleBaseRejected) {
            return EvaluationResult::Reply(OperationReply::Stale {
                change: queued.change.clone(),
                version: self.current_document.view_version(),
                number: self.current_document.number,
            });
        }
        if queued.request.change.is_none() && self.is_already_in_state(&queued.request.kind) {
            return EvaluationResult::AlreadyInState;
        }
        match self.next_document(queued) {
            Ok(next_document) => EvaluationResult::NewDocument(Box::new(next_document)),
            Err(reply) => EvaluationResult::Reply(reply),
        }
    }

    /// Returns whether a change has been applied before. A numbered change is identified by its number and content, any
    /// other change by its ID. Only a limited number of each are retained.
    fn status_of(&self, queued: &QueuedChange) -> ChangeStatus {
        if !self.rules.enforces(Rule::ResentChangeRecognized) {
            return ChangeStatus::NotApplied;
        }
        let Some(numbering) = queued.request.numbering else {
            return self
                .current_document
                .status_of_named(queued.request.base, &queued.change);
        };
        let applied_changes = &self.current_document.applied_changes;
        if !self.rules.enforces(Rule::ChangeNumberBoundToContent)
            && let Some(version) = applied_changes.version_at(numbering.number)
        {
            return ChangeStatus::Applied(version);
        }
        applied_changes.status_of(numbering.number, &queued.change)
    }

    fn is_stale(&self, queued: &QueuedChange) -> bool {
        let current_version = self.current_document.view_version();
        let current_number = self.current_document.number;
        queued
            .request
            .base
            .is_some_and(|base| base != current_version)
            || queued
                .request
                .numbering
                .is_some_and(|given| given.base_number != current_number)
    }

    fn is_already_in_state(&self, kind: &ChangeKind) -> bool {
        match kind {
            ChangeKind::Evacuate { zone, .. } => self.current_document.evacuated.contains(zone),
            ChangeKind::Restore { zone } => !self.current_document.evacuated.contains(zone),
            _ => false,
        }
    }

    fn next_document(&self, queued: &QueuedChange) -> Result<Document, OperationReply> {
        self.check_number(queued)?;
        let current_spec = &self.current_document.spec;
        match &queued.request.kind {
            ChangeKind::FullSpec(new_spec) => {
                self.with_spec(queued, new_spec.sharing_records_with(current_spec))
            }
            ChangeKind::Patch(merge_patch) => {
                let mut new_spec = current_spec.to_value();
                json_patch::merge(&mut new_spec, merge_patch);
                let new_spec = SpecRecords::new(new_spec).sharing_records_with(current_spec);
                self.with_spec(queued, new_spec)
            }
            ChangeKind::Items(items) => self.with_spec(queued, with_items(current_spec, items)),
            ChangeKind::Evacuate { zone, force } => self.with_zone_evacuated(queued, zone, *force),
            ChangeKind::Restore { zone } => self.with_zone_restored(queued, zone),
        }
    }

    /// Checks that the operator's number is higher than the current one.
    fn check_number(&self, queued: &QueuedChange) -> Result<(), OperationReply> {
        let current_number = self.current_document.number;
        let is_number_low = queued
            .request
            .numbering
            .is_some_and(|given| given.number <= current_number);
        if is_number_low && self.rules.enforces(Rule::InvalidChangeRejected) {
            let reason = PathErrorReason::Malformed(format!("is not above {current_number}"));
            let error = PathError {
                path: "number".to_owned(),
                reason,
            };
            return Err(OperationReply::Invalid(vec![error]));
        }
        Ok(())
    }

    fn with_spec(
        &self,
        queued: &QueuedChange,
        new_spec: SpecRecords,
    ) -> Result<Document, OperationReply> {
        let checked_spec = match new_spec.check() {
            Ok(checked_spec) => checked_spec,
            Err(errors) if self.rules.enforces(Rule::InvalidChangeRejected) => {
                return Err(OperationReply::Invalid(errors));
            }
            Err(_) => Spec::default(),
        };
        let change = queued.change.clone();
        let next_document = self
            .current_document
            .with_spec(new_spec, &checked_spec, change);
        Ok(match queued.request.numbering {
            Some(numbering) => next_document.numbered(numbering.number),
            None => next_document,
        })
    }

    fn with_zone_evacuated(
        &self,
        queued: &QueuedChange,
        zone: &Zone,
        force: bool,
    ) -> Result<Document, OperationReply> {
        let known_zones = self.known_zones();
        if !known_zones.contains(zone) && !force {
            return Err(OperationReply::UnknownZone {
                zone: zone.clone(),
                known: known_zones,
            });
        }
        let evacuated = &self.current_document.evacuated;
        let remaining_count = known_zones
            .iter()
            .filter(|known| *known != zone && !evacuated.contains(*known))
            .count();
        if remaining_count == 0 && !force {
            return Err(OperationReply::LastZone);
        }
        let change = queued.change.clone();
        Ok(self.current_document.with_zone(zone.clone(), true, change))
    }

    fn with_zone_restored(
        &self,
        queued: &QueuedChange,
        zone: &Zone,
    ) -> Result<Document, OperationReply> {
        let known_zones = self.known_zones();
        if !known_zones.contains(zone) && !self.current_document.evacuated.contains(zone) {
            return Err(OperationReply::UnknownZone {
                zone: zone.clone(),
                known: known_zones,
            });
        }
        let change = queued.change.clone();
        Ok(self.current_document.with_zone(zone.clone(), false, change))
    }

    fn known_zones(&self) -> BTreeSet<Zone> {
        self.leader_state
            .map(LeaderState::known_zones)
            .unwrap_or_default()
    }
}
