use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::identity::{
    ChangeId, FunctionKey, FunctionName, GrantSerial, RunnerId, Serial, Term, TransactionId,
};
use waymark::spec::{Document, Table};

/// How long an older spec may still be used.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3000);

/// Something that must never happen has happened.
#[derive(Clone, Debug)]
pub struct Breach {
    /// When, in virtual time.
    pub at: Moment,
    /// What.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "at {}: {}", self.at, self.what)
    }
}

struct CommittedVersion {
    at: Moment,
    content: Value,
    routes: BTreeMap<String, FunctionName>,
}

/// A slow plain model of what is allowed, and everything that was seen.
#[derive(Default)]
pub struct Checks {
    /// What went wrong.
    pub breaches: Vec<Breach>,
    /// How often each kind of thing was looked at.
    pub looked: BTreeMap<&'static str, u64>,
    committed: BTreeMap<Serial, CommittedVersion>,
    reigns: BTreeMap<Term, (Serial, Serial)>,
    accepted_on: BTreeMap<Serial, ChangeId>,
    runs: HashMap<TransactionId, u32>,
    refused: BTreeSet<TransactionId>,
    installed: HashMap<(usize, u64), Serial>,
}

fn content_of(document: &Document) -> Value {
    let mut plain_document = document.clone();
    plain_document.stamp.term = Term(0);
    serde_json::from_slice(&plain_document.to_bytes()).unwrap_or(Value::Null)
}

impl Checks {
    /// Notes a breach.
    pub fn breach(&mut self, at: Moment, what: String) {
        self.breaches.push(Breach { at, what });
    }

    fn look(&mut self, kind: &'static str) {
        *self.looked.entry(kind).or_default() += 1;
    }

    /// A leader committed a version.
    pub fn commits(&mut self, at: Moment, document: &Document) {
        self.look("commit");
        let serial = document.stamp.serial;
        let content = content_of(document);
        let term = document.stamp.term;
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
        if let Some(known) = self.committed.get(&serial) {
            if known.content != content {
                self.breach(at, format!("serial {serial} was committed twice, with other content"));
            }
            return;
        }
        let routes = Table::build(&document.view())
            .map(|table| {
                let named = document.spec["routes"].as_object().into_iter().flatten();
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

    /// An operator was told that a change is accepted.
    pub fn accepts(&mut self, at: Moment, change: &ChangeId, base: Serial, serial: Serial) {
        self.look("accepted change");
        let is_there = self.committed.get(&serial).is_some_and(|known| {
            let noted = known.content["changes"].as_array().into_iter().flatten();
            noted.into_iter().any(|item| item["id"].as_str() == Some(change.as_str()))
        });
        if !is_there {
            self.breach(at, format!("{change} was accepted as {serial}, which does not hold it"));
        }
        if let Some(other) = self.accepted_on.insert(base, change.clone())
            && other != *change
        {
            self.breach(at, format!("{other} and {change} were both accepted on {base}"));
        }
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

    /// A runner starts, or a daemon is granted a function, while others may be alive.
    pub fn holds_alone<'a>(
        &mut self,
        at: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        alive: impl Iterator<Item = (&'a RunnerId, &'a FunctionKey)>,
    ) {
        self.look("sole holder");
        for (runner, alive_function) in alive {
            if alive_function == function && runner.grant != grant {
                let what = format!("{function} goes to grant {grant} while {runner} is alive");
                self.breach(at, what);
                return;
            }
        }
    }

    /// A run begins on a runner.
    pub fn runs(
        &mut self,
        at: Moment,
        transaction: &TransactionId,
        once: bool,
        route: &str,
        function: &FunctionKey,
    ) {
        self.look("run");
        let run_count = self.runs.entry(transaction.clone()).or_default();
        *run_count += 1;
        let run_count = *run_count;
        if once && run_count > 1 {
            self.breach(at, format!("once-transaction {transaction} ran {run_count} times"));
        }
        if self.refused.contains(transaction) {
            self.breach(at, format!("{transaction} ran after it was refused as not run"));
        }
        let versions: Vec<&CommittedVersion> = self.committed.values().collect();
        let is_allowed = versions.iter().enumerate().any(|(place, version)| {
            let until = versions.get(place + 1).map(|next| next.at + IN_FORCE_WITHIN);
            version.routes.get(route) == Some(&function.name)
                && until.is_none_or(|until| at <= until)
        });
        if !is_allowed {
            self.breach(at, format!("{transaction} for {route} ran on {function}, not in force"));
        }
    }

    /// A caller was told that its transaction was not run. An identity that is sent twice may be
    /// refused at one door and run by another; only its runs count.
    pub fn not_run(&mut self, at: Moment, transaction: &TransactionId) {
        self.look("not run");
        if transaction.as_str().starts_with("again-") {
            return;
        }
        self.refused.insert(transaction.clone());
        if self.runs.contains_key(transaction) {
            self.breach(at, format!("{transaction} was refused as not run, and had run"));
        }
    }

    /// A caller got an answer.
    pub fn answers(&mut self, at: Moment, transaction: &TransactionId) {
        self.look("answer");
        if !self.runs.contains_key(transaction) {
            self.breach(at, format!("{transaction} was answered and never ran"));
        }
    }

    /// The newest committed serial.
    pub fn newest_serial(&self) -> Serial {
        self.committed.last_key_value().map(|(serial, _)| *serial).unwrap_or_default()
    }
}
