//! The checks of the control plane: commits, operators' changes, and the versions that daemons install.

use super::{CommittedVersion, SafetyChecks, content_of};
use common::clock::MonotonicTime;
use common::identity::{ChangeId, DocumentVersion, FunctionName, Version};
use common::spec::{Document, RoutingTable, SpecRecords};
use std::collections::BTreeMap;

impl SafetyChecks {
    /// Checks and records that a leader committed a version.
    pub fn check_committed(&mut self, at: MonotonicTime, document: &Document) {
        self.count_check("commit");
        self.check_valid_spec(at, document);
        self.record_evacuated_zones(at, document);
        self.check_no_commit_lost(at, document);
        let version = document.document_version.version;
        let content = content_of(document);
        if let Some(known) = self.committed_content.get(&version) {
            if *known != content {
                self.report_violation(
                    at,
                    format!("version {version} was committed twice with different content"),
                );
            }
            return;
        }
        self.committed_content.insert(version, content.clone());
        if document.hidden_versions > 0 {
            self.check_visible_unchanged(at, document);
            return;
        }
        let committed_version = CommittedVersion {
            at,
            content,
            routes: function_of_each_route(document),
        };
        self.committed.insert(version, committed_version);
    }

    fn check_valid_spec(&mut self, at: MonotonicTime, document: &Document) {
        let version = document.document_version.version;
        if let Err(errors) = document.spec.check() {
            let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
            self.report_violation(
                at,
                format!("version {version} is committed and invalid at {paths:?}"),
            );
        }
    }

    fn record_evacuated_zones(&mut self, at: MonotonicTime, document: &Document) {
        let evacuated = &document.evacuated;
        self.evacuated_since
            .retain(|zone, _| evacuated.contains(zone));
        for zone in evacuated {
            self.evacuated_since.entry(zone.clone()).or_insert(at);
        }
    }

    /// Checks that versions increase with terms. Otherwise a later leader did not know a commit of an earlier one.
    fn check_no_commit_lost(&mut self, at: MonotonicTime, document: &Document) {
        let DocumentVersion { term, version } = document.document_version;
        let term_versions = self.term_versions.clone();
        for (other_term, (first_version, last_version)) in term_versions {
            let is_lost = (other_term < term && last_version > version)
                || (other_term > term && first_version < version);
            if is_lost {
                let what = format!(
                    "version {version} committed in term {term}, and {first_version} to {last_version} \
                     in term {other_term}: a commit was lost"
                );
                self.report_violation(at, what);
            }
        }
        let version_range = self.term_versions.entry(term).or_insert((version, version));
        *version_range = (version_range.0.min(version), version_range.1.max(version));
    }

    /// Checks that a version that only changes the list of daemons looks the same to daemons as the previous one.
    fn check_visible_unchanged(&mut self, at: MonotonicTime, document: &Document) {
        let visible_version = document.view_version();
        let newest = self.committed.last_key_value();
        let is_same = newest.is_some_and(|(newest_version, known)| {
            *newest_version == visible_version
                && document.spec == SpecRecords::from(known.content["spec"].clone())
        });
        if !is_same {
            let version = document.document_version.version;
            self.report_violation(
                at,
                format!("version {version} names daemons and changes what they see"),
            );
        }
    }

    /// Checks that an accepted change is in its version, and that no other change was accepted on the same base.
    pub fn check_accepted(
        &mut self,
        at: MonotonicTime,
        change: &ChangeId,
        base: Option<Version>,
        version: Version,
    ) {
        self.count_check("accepted change");
        let is_in_version = self.committed.get(&version).is_some_and(|known| {
            let recorded = known.content["changes"].as_array().into_iter().flatten();
            recorded
                .into_iter()
                .any(|item| item["id"].as_str() == Some(change.as_str()))
        });
        if !is_in_version {
            self.report_violation(
                at,
                format!("{change} was accepted as {version}, which does not contain it"),
            );
        }
        if let Some(base) = base
            && let Some(other) = self.accepted_by_base.insert(base, change.clone())
            && other != *change
        {
            self.report_violation(
                at,
                format!("{other} and {change} were both accepted on {base}"),
            );
        }
    }

    /// Counts the replies to operators that were checked against their history.
    pub fn count_operator_answers(&mut self, checked_count: usize) {
        *self.checked.entry("operator's answer").or_default() += checked_count as u64;
    }

    /// Checks that a refused change was not committed.
    pub fn check_change_refused(&mut self, at: MonotonicTime, change: &ChangeId) {
        self.count_check("refused change");
        let contains_change = |known: &CommittedVersion| {
            let recorded = known.content["changes"].as_array().into_iter().flatten();
            recorded
                .into_iter()
                .any(|item| item["id"].as_str() == Some(change.as_str()))
        };
        if self.committed.values().any(contains_change) {
            self.report_violation(at, format!("{change} was refused and is committed"));
        }
    }

    /// Checks that a daemon installs a committed spec, and none that is older than its installed one.
    pub fn check_installed(
        &mut self,
        at: MonotonicTime,
        daemon: usize,
        incarnation: u64,
        version: Version,
    ) {
        self.count_check("install");
        if !self.committed.contains_key(&version) {
            self.report_violation(
                at,
                format!("daemon {daemon} installed {version}, which was never committed"),
            );
        }
        let previous = self.installed.insert((daemon, incarnation), version);
        if previous.is_some_and(|previous| previous > version) {
            self.report_violation(at, format!("daemon {daemon} went back to {version}"));
        }
    }
}

/// Returns the name of the function that each route of a version leads to.
fn function_of_each_route(document: &Document) -> BTreeMap<String, FunctionName> {
    let Ok(table) = RoutingTable::build(&document.view()) else {
        return BTreeMap::new();
    };
    let spec = document.spec.to_value();
    let named_routes = spec["routes"].as_object().into_iter().flatten();
    named_routes
        .filter_map(|(name, _)| {
            let route = table.route_named(name)?;
            Some((name.clone(), route.spec.function.clone()))
        })
        .collect()
}
