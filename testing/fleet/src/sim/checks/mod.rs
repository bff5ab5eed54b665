//! What the simulator checks of each day, from what every process did.

mod control;

use common::clock::Moment;
use common::frames::{Blob, HopOutcome, HopReason, Life};
use common::identity::{
    ChangeId, FunctionKey, FunctionName, GrantSerial, LifeName, RunnerId, Serial, Term,
    TransactionId, WorkerName, Zone,
};
use common::seal;
use common::spec::Document;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// How long an older spec may still be used.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3000);
/// How long a draining worker may still get transactions.
const DRAINED_WITHIN: Duration = Duration::from_millis(3200);
/// How long an evacuated zone may still get transactions.
const EVACUATED_WITHIN: Duration = Duration::from_millis(5200);
/// The span over which extra tries are counted.
const TRIES_OVER: Duration = Duration::from_secs(10);
/// How much earlier than at its holder a first try may have reached a door.
const FIRST_BEFORE: Duration = Duration::from_secs(3);
/// The small allowance of extra tries.
const TRIES_ALLOWED: usize = 3;

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

/// What is known of one transaction from outside the daemons.
#[derive(Default)]
struct Seen {
    route: String,
    once: bool,
    repeat: bool,
    runs: u32,
    bodies: Vec<Vec<u8>>,
    refused: bool,
    is_twin: bool,
}

/// First and extra tries of one function, by moment.
#[derive(Default)]
struct Tries {
    firsts: VecDeque<Moment>,
    extras: VecDeque<Moment>,
}

/// A slow plain model of what is allowed, and everything that was seen.
#[derive(Default)]
pub struct Checks {
    /// What went wrong.
    pub breaches: Vec<Breach>,
    /// How often each kind of thing was looked at.
    pub looked: BTreeMap<&'static str, u64>,
    written: BTreeMap<Serial, Value>,
    committed: BTreeMap<Serial, CommittedVersion>,
    reigns: BTreeMap<Term, (Serial, Serial)>,
    accepted_on: BTreeMap<Serial, ChangeId>,
    seen: HashMap<TransactionId, Seen>,
    tries: BTreeMap<FunctionKey, Tries>,
    installed: HashMap<(usize, u64), Serial>,
    granted: BTreeSet<GrantSerial>,
    evacuated_since: BTreeMap<Zone, Moment>,
    control_doubt_at: Moment,
    served_late: BTreeSet<(usize, Serial)>,
    refused_under: HashSet<(GrantSerial, TransactionId)>,
    adopted_by: HashMap<LifeName, GrantSerial>,
    sent_by: HashMap<LifeName, (usize, GrantSerial)>,
    in_two_hands: HashSet<LifeName>,
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

    /// Counts that something was looked at.
    pub fn look(&mut self, kind: &'static str) {
        *self.looked.entry(kind).or_default() += 1;
    }

    /// A daemon is granted a function: every runner of it that is alive is among those it takes over.
    pub fn granted_with<'a>(
        &mut self,
        at: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        adopted: &[Life],
        alive: impl Iterator<Item = (&'a FunctionKey, &'a Life)>,
    ) {
        self.look("sole holder");
        self.looked
            .entry("adopted runner")
            .and_modify(|count| *count += adopted.len() as u64)
            .or_insert(0);
        for life in adopted {
            self.adopted_by.insert(life.name.clone(), grant);
        }
        for (alive_function, life) in alive {
            if alive_function == function && !adopted.contains(life) {
                let name = &life.name;
                let what = format!("{function} goes to grant {grant} while {name} is alive");
                self.breach(at, what);
                return;
            }
        }
    }

    /// A runner starts: every other one of its function that is alive is its grant's.
    pub fn starts_alone<'a>(
        &mut self,
        at: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        alive: impl Iterator<Item = (&'a RunnerId, &'a FunctionKey, &'a Life)>,
    ) {
        self.look("start beside others");
        for (runner, alive_function, life) in alive {
            let is_own = runner.grant == grant || self.adopted_by.get(&life.name) == Some(&grant);
            if alive_function == function && !is_own {
                let name = &life.name;
                let what = format!("{function} starts under {grant} while {name} is alive");
                self.breach(at, what);
                return;
            }
        }
    }

    /// Who holds which lives at one moment: each is in one living holder's hands at most.
    pub fn hands<'a>(
        &mut self,
        at: Moment,
        held_lives: impl Iterator<Item = (usize, GrantSerial, &'a LifeName)>,
    ) {
        self.look("hands");
        let mut seen: HashMap<&LifeName, (usize, GrantSerial)> = HashMap::new();
        for (daemon, grant, life) in held_lives {
            if let Some((other, other_grant)) = seen.insert(life, (daemon, grant))
                && self.in_two_hands.insert(life.clone())
            {
                let what = format!(
                    "{life} is in the hands of daemon {daemon} under {grant} and of daemon {other} \
                     under {other_grant}"
                );
                self.breach(at, what);
            }
        }
    }

    /// A holder sends to a life; gives back who sent there before under another grant.
    pub fn sends(
        &mut self,
        life: &LifeName,
        daemon: usize,
        grant: GrantSerial,
    ) -> Option<(usize, GrantSerial)> {
        self.look("send to a life");
        let before = self.sent_by.insert(life.clone(), (daemon, grant));
        before.filter(|before| *before != (daemon, grant))
    }

    /// A caller's transaction has reached a door and was led to a function.
    pub fn called(
        &mut self,
        at: Moment,
        function: &FunctionKey,
        transaction: &TransactionId,
        route: &str,
        once: bool,
        repeat: bool,
    ) {
        let seen = self.seen.entry(transaction.clone()).or_default();
        seen.route = route.to_owned();
        seen.once = once;
        seen.repeat = repeat;
        if !repeat {
            self.tries.entry(function.clone()).or_default().firsts.push_back(at);
        }
    }

    /// A newer spec leads a first try elsewhere before it has run.
    pub fn turned(&mut self, at: Moment, from: &FunctionKey, to: &FunctionKey) {
        if let Some(tries) = self.tries.get_mut(from) {
            tries.firsts.pop_back();
        }
        self.tries.entry(to.clone()).or_default().firsts.push_back(at);
    }

    /// The same identity will come again by another door.
    pub fn twin(&mut self, transaction: &TransactionId) {
        self.seen.entry(transaction.clone()).or_default().is_twin = true;
    }

    /// A run begins on a runner.
    pub fn runs(
        &mut self,
        at: Moment,
        transaction: &TransactionId,
        attempt: u32,
        function: &FunctionKey,
        grant: GrantSerial,
    ) {
        self.look("run");
        if self.refused_under.contains(&(grant, transaction.clone())) {
            self.breach(at, format!("{transaction} runs under {grant}, whose holder refused it"));
        }
        let seen = self.seen.entry(transaction.clone()).or_default();
        seen.runs += 1;
        let (run_count, once, refused) = (seen.runs, seen.once, seen.refused);
        let (route, is_extra) = (seen.route.clone(), attempt > 1 || seen.repeat);
        if once && run_count > 1 {
            self.breach(at, format!("once-transaction {transaction} ran {run_count} times"));
        }
        if refused {
            self.breach(at, format!("{transaction} ran after it was refused as not run"));
        }
        let versions: Vec<&CommittedVersion> = self.committed.values().collect();
        let is_allowed = versions.iter().enumerate().any(|(place, version)| {
            let until = versions.get(place + 1).map(|next| next.at + IN_FORCE_WITHIN);
            version.routes.get(&route) == Some(&function.name)
                && until.is_none_or(|until| at <= until)
        });
        if !is_allowed {
            self.breach(at, format!("{transaction} for {route} ran on {function}, not in force"));
        }
        if is_extra {
            self.extra_try(at, transaction, function);
        }
    }

    fn extra_try(&mut self, at: Moment, transaction: &TransactionId, function: &FunctionKey) {
        self.look("extra try");
        let tries = self.tries.entry(function.clone()).or_default();
        tries.extras.push_back(at);
        while tries.extras.front().is_some_and(|earlier| at.since(*earlier) > TRIES_OVER) {
            tries.extras.pop_front();
        }
        let first_span = TRIES_OVER + FIRST_BEFORE;
        while tries.firsts.front().is_some_and(|earlier| at.since(*earlier) > first_span) {
            tries.firsts.pop_front();
        }
        let (firsts, extras) = (tries.firsts.len(), tries.extras.len());
        if extras > firsts / 5 + TRIES_ALLOWED {
            let what = format!(
                "{transaction} is extra try {extras} of {function} to {firsts} first ones in ten seconds"
            );
            self.breach(at, what);
        }
    }

    /// A runner has so many transactions at once.
    pub fn bears(
        &mut self,
        at: Moment,
        runner: RunnerId,
        running_count: u32,
        slots: u32,
        answered: u32,
        ready_at: Moment,
    ) {
        self.look("slots and ramp");
        if running_count > slots || at < ready_at {
            self.breach(at, format!("{running_count} at once on {runner} of {slots} slots"));
        }
        if running_count > answered + 1 {
            let what = format!("{running_count} at once on {runner} after {answered} answers");
            self.breach(at, what);
        }
    }

    /// A runner refused under seal, and has not run.
    pub fn did_not_run(&mut self, transaction: &TransactionId) {
        if let Some(seen) = self.seen.get_mut(transaction) {
            seen.runs -= 1;
        }
    }

    /// The body that a runner makes for a transaction.
    pub fn body_of(&mut self, transaction: &TransactionId, runner: RunnerId) -> Vec<u8> {
        let seen = self.seen.entry(transaction.clone()).or_default();
        let made_body = format!("{transaction} by {runner}, {}", seen.bodies.len()).into_bytes();
        seen.bodies.push(made_body.clone());
        made_body
    }

    /// There is no leader that can see to drains and evacuations at this moment.
    pub fn doubts_control(&mut self, at: Moment) {
        self.control_doubt_at = at;
    }

    /// A transaction runs on a worker that may be drained.
    pub fn not_drained(&mut self, at: Moment, worker: &WorkerName, since: Option<Moment>) {
        let Some(since) = since else { return };
        self.look("run on a draining worker");
        let known_since = since.max(self.control_doubt_at);
        if at.since(known_since) > DRAINED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.breach(at, format!("{worker}, draining for {late_ms} ms, gets a transaction"));
        }
    }

    /// A transaction runs on a runner that may be about to leave.
    pub fn not_leaving(&mut self, at: Moment, runner: RunnerId, since: Option<Moment>) {
        let Some(since) = since else { return };
        self.look("run on a leaving runner");
        if at.since(since.max(self.control_doubt_at)) > DRAINED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.breach(at, format!("{runner}, leaving for {late_ms} ms, gets a transaction"));
        }
    }

    /// A transaction runs, or is sent, in a zone that may be evacuated.
    pub fn not_evacuated(&mut self, at: Moment, zone: &Zone) {
        let Some(since) = self.evacuated_since.get(zone).copied() else { return };
        self.look("run in an evacuated zone");
        let known_since = since.max(self.control_doubt_at);
        if at.since(known_since) > EVACUATED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.breach(at, format!("{zone}, evacuated for {late_ms} ms, gets a transaction"));
        }
    }

    /// Whether any zone is evacuated.
    pub fn has_evacuated(&self) -> bool {
        !self.evacuated_since.is_empty()
    }

    /// Whether a grant is seen for the first time.
    pub fn is_new_grant(&mut self, grant: GrantSerial) -> bool {
        self.granted.insert(grant)
    }

    /// A daemon serves with a spec.
    pub fn serves(&mut self, at: Moment, daemon: usize, serial: Serial) {
        self.look("serving daemon's spec");
        let due =
            self.committed.iter().rev().find(|(_, version)| at.since(version.at) > IN_FORCE_WITHIN);
        let due_serial = due.map(|(due_serial, _)| *due_serial).unwrap_or_default();
        if serial < due_serial && self.served_late.insert((daemon, due_serial)) {
            self.breach(at, format!("daemon {daemon} serves {serial}, {due_serial} being due"));
        }
    }

    /// A daemon that was stopped in order goes.
    pub fn stops_in_order(&mut self, at: Moment, daemon: usize, in_hand: &[TransactionId]) {
        self.look("orderly stop");
        if !in_hand.is_empty() {
            let names: Vec<&str> = in_hand.iter().map(TransactionId::as_str).collect();
            self.breach(at, format!("daemon {daemon} stops in order and drops {names:?}"));
        }
    }

    /// A holder has ended a transaction. What it refused must never run under its grant, whoever sends
    /// the identity again and through whatever door.
    pub fn holder_says(
        &mut self,
        grant: GrantSerial,
        transaction: &TransactionId,
        outcome: &HopOutcome,
    ) {
        if let HopOutcome::NotRun { reason, .. } = outcome
            && *reason != HopReason::NotHolder
        {
            self.look("refusal by a holder");
            self.refused_under.insert((grant, transaction.clone()));
        }
    }

    /// A caller was told that its transaction was not run. An identity that is sent twice may be
    /// refused by a door that is no holder and run through another; what holders refuse is held
    /// against them all the same.
    pub fn not_run(&mut self, at: Moment, transaction: &TransactionId) {
        self.look("not run");
        let seen = self.seen.entry(transaction.clone()).or_default();
        if seen.is_twin {
            return;
        }
        seen.refused = true;
        if seen.runs > 0 {
            self.breach(at, format!("{transaction} was refused as not run, and had run"));
        }
    }

    /// A caller got an answer: one that a runner made, for this transaction, to the last byte.
    pub fn answers(
        &mut self,
        at: Moment,
        transaction: &TransactionId,
        function: &FunctionKey,
        runner: RunnerId,
        given_seal: &[u8],
        body: &Blob,
    ) {
        self.look("answer");
        let is_made = self
            .seen
            .get(transaction)
            .is_some_and(|seen| seen.bodies.iter().any(|made| made[..] == body.0[..]));
        let right_seal = seal::seal(transaction, function, runner, false, &body.0);
        if !is_made || right_seal.as_bytes() != given_seal {
            self.breach(at, format!("{transaction} was answered with what no runner made for it"));
        }
    }

    /// How many calls of one second after the mending were answered.
    pub fn returned(&mut self, at: Moment, second: u64, calls: u64, answers: u64) {
        if calls < 10 {
            return;
        }
        self.look("second after the return");
        if answers * 2 < calls {
            let what = format!("mostly down {second} s after: {answers} of {calls} answered");
            self.breach(at, what);
        }
    }

    /// Whether a serial that daemons see was committed.
    pub fn is_committed(&self, serial: Serial) -> bool {
        self.committed.contains_key(&serial)
    }

    /// The newest committed serial.
    pub fn newest_serial(&self) -> Serial {
        self.committed.last_key_value().map(|(serial, _)| *serial).unwrap_or_default()
    }
}
