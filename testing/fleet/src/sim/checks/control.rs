//! What the simulated day checks of the control side: commits, orders, and versions at daemons.

use super::{Checks, CommittedVersion, content_of};
use common::clock::Moment;
use common::identity::{ChangeId, Serial};
use common::spec::{Document, SpecRecords, Table};

impl Checks {
    /// A leader committed a version.
    pub fn commits(&mut self, at: Moment, document: &Document) {
        self.look("commit");
        let serial = document.stamp.serial;
        let content = content_of(document);
        let term = document.stamp.term;
        if let Err(faults) = document.spec.check() {
            let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
            self.breach(at, format!("serial {serial} is committed and invalid at {paths:?}"));
        }
        let evacuated = &document.evacuated;
        self.evacuated_since.retain(|zone, _| evacuated.contains(zone));
        for zone in evacuated {
            self.evacuated_since.entry(zone.clone()).or_insert(at);
        }
        let reigns = self.reigns.clone();
        for (other_term, (first_serial, last_serial)) in reigns {
            let is_lost = (other_term < term && last_serial > serial)
                || (other_term > term && first_serial < serial);
            if is_lost {
                let what = format!(
                    "serial {serial} committed in term {term}, and {first_serial} to {last_serial} \
                     in term {other_term}: a commit was lost"
                );
                self.breach(at, what);
            }
        }
        let reign = self.reigns.entry(term).or_insert((serial, serial));
        *reign = (reign.0.min(serial), reign.1.max(serial));
        if let Some(known) = self.written.get(&serial) {
            if *known != content {
                self.breach(at, format!("serial {serial} was committed twice, with other content"));
            }
            return;
        }
        self.written.insert(serial, content.clone());
        if document.unseen > 0 {
            self.changes_nothing_seen(at, document);
            return;
        }
        let routes = Table::build(&document.view())
            .map(|table| {
                let spec = document.spec.to_value();
                let named = spec["routes"].as_object().into_iter().flatten();
                named
                    .filter_map(|(name, _)| {
                        let route = table.route_named(name)?;
                        Some((name.clone(), route.spec.function.clone()))
                    })
                    .collect()
            })
            .unwrap_or_default();
        self.committed.insert(serial, CommittedVersion { at, content, routes });
    }

    /// A version that only names daemons is to daemons what the last one was.
    fn changes_nothing_seen(&mut self, at: Moment, document: &Document) {
        let seen_serial = document.view_serial();
        let newest = self.committed.last_key_value();
        let is_same = newest.is_some_and(|(newest_serial, known)| {
            *newest_serial == seen_serial
                && document.spec == SpecRecords::from(known.content["spec"].clone())
        });
        if !is_same {
            let serial = document.stamp.serial;
            self.breach(at, format!("serial {serial} names daemons and changes what they see"));
        }
    }

    /// An operator was told that a change is accepted.
    pub fn accepts(&mut self, at: Moment, change: &ChangeId, base: Option<Serial>, serial: Serial) {
        self.look("accepted change");
        let is_there = self.committed.get(&serial).is_some_and(|known| {
            let noted = known.content["changes"].as_array().into_iter().flatten();
            noted.into_iter().any(|item| item["id"].as_str() == Some(change.as_str()))
        });
        if !is_there {
            self.breach(at, format!("{change} was accepted as {serial}, which does not hold it"));
        }
        if let Some(base) = base
            && let Some(other) = self.accepted_on.insert(base, change.clone())
            && other != *change
        {
            self.breach(at, format!("{other} and {change} were both accepted on {base}"));
        }
    }

    /// So many answers to operators were judged by their history.
    pub fn judges_operators(&mut self, judged_count: usize) {
        *self.looked.entry("operator's answer").or_default() += judged_count as u64;
    }

    /// An operator was told that a change is not accepted.
    pub fn refuses(&mut self, at: Moment, change: &ChangeId) {
        self.look("refused change");
        let holds_it = |known: &CommittedVersion| {
            let noted = known.content["changes"].as_array().into_iter().flatten();
            noted.into_iter().any(|item| item["id"].as_str() == Some(change.as_str()))
        };
        if self.committed.values().any(holds_it) {
            self.breach(at, format!("{change} was refused and is committed"));
        }
    }

    /// A daemon installed a spec.
    pub fn installs(&mut self, at: Moment, daemon: usize, life: u64, serial: Serial) {
        self.look("install");
        if !self.committed.contains_key(&serial) {
            self.breach(at, format!("daemon {daemon} installed {serial}, never committed"));
        }
        let before = self.installed.insert((daemon, life), serial);
        if before.is_some_and(|before| before > serial) {
            self.breach(at, format!("daemon {daemon} went back to {serial}"));
        }
    }
}
