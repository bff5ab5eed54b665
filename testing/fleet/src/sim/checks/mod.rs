//! The safety checks of a simulation, which observe all processes at once.

mod control;

use common::clock::MonotonicTime;
use common::frames::{ByteString, Instance, RequestFailureReason, RequestOutcome};
use common::identity::{
    ChangeId, FencingToken, FunctionKey, FunctionName, IdempotencyKey, InstanceId, RunnerId, Term,
    Version, WorkerName, Zone,
};
use common::seal;
use common::spec::Document;
use dataplane::agent::HolderRequest;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::fmt;
use std::time::Duration;

/// How long after the commit of a newer spec an older one may still be used.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(3000);
/// How long a draining worker, or a runner that is leaving, may still get requests.
const DRAINED_WITHIN: Duration = Duration::from_millis(3200);
/// How long an evacuated zone may still get requests.
const EVACUATED_WITHIN: Duration = Duration::from_millis(5200);
/// The window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// How much earlier than its lease holder a first attempt may have reached an ingress.
const FIRST_ATTEMPT_SLACK: Duration = Duration::from_secs(3);
/// The number of retries in a window that are allowed regardless of the number of first attempts.
const ALWAYS_ALLOWED_RETRIES: usize = 3;
/// The number of first attempts in a window that allow one more retry.
const FIRST_ATTEMPTS_PER_RETRY: usize = 5;
/// Seconds with fewer calls than this are not checked for recovery.
const MIN_CALLS_PER_CHECKED_SECOND: u64 = 10;

/// A violation of a safety property.
#[derive(Clone, Debug)]
pub struct SafetyViolation {
    /// The virtual time.
    pub at: MonotonicTime,
    /// The description.
    pub what: String,
}

impl fmt::Display for SafetyViolation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "at {}: {}", self.at, self.what)
    }
}

/// A committed version that changes what daemons see.
struct CommittedVersion {
    at: MonotonicTime,
    content: Value,
    /// The function of each route, by the name of the route.
    routes: BTreeMap<String, FunctionName>,
}

/// What was observed of a request outside the daemons.
#[derive(Default)]
struct RequestRecord {
    route: String,
    once: bool,
    /// Whether its caller marked it as a retry of a refused request.
    is_caller_retry: bool,
    runs: u32,
    /// The bodies of the runners' answers to it.
    bodies: Vec<Vec<u8>>,
    refused: bool,
    /// Whether its idempotency key is sent twice.
    is_duplicate: bool,
}

/// The times of recent first attempts and retries of a function.
#[derive(Default)]
struct AttemptWindow {
    first_attempts: VecDeque<MonotonicTime>,
    retries: VecDeque<MonotonicTime>,
}

/// A simple model of the allowed behaviour, with the observations that it is checked against.
#[derive(Default)]
pub struct SafetyChecks {
    /// The violations that were found.
    pub violations: Vec<SafetyViolation>,
    /// The number of cases of each check.
    pub checked: BTreeMap<&'static str, u64>,
    /// The content of all committed versions.
    committed_content: BTreeMap<Version, Value>,
    /// The committed versions that change what daemons see.
    committed: BTreeMap<Version, CommittedVersion>,
    /// The lowest and the highest version that was committed in each term.
    term_versions: BTreeMap<Term, (Version, Version)>,
    /// The change that was accepted on each base version.
    accepted_by_base: BTreeMap<Version, ChangeId>,
    requests: HashMap<IdempotencyKey, RequestRecord>,
    attempts: BTreeMap<FunctionKey, AttemptWindow>,
    /// The last version that each incarnation of a daemon installed.
    installed: HashMap<(usize, u64), Version>,
    /// All leases that have been granted.
    granted: BTreeSet<FencingToken>,
    evacuated_since: BTreeMap<Zone, MonotonicTime>,
    /// When it was last recorded that no leader can handle drains and evacuations.
    control_outage_at: MonotonicTime,
    /// The reported cases of a daemon that serves with a version older than the given one, which was due.
    served_late: BTreeSet<(usize, Version)>,
    /// The requests that were refused under each lease.
    refused_under: HashSet<(FencingToken, IdempotencyKey)>,
    /// The last lease under which each adopted runner instance was adopted.
    adopted_by: HashMap<InstanceId, (FunctionKey, FencingToken)>,
    /// The daemon and the lease that last sent to each runner instance.
    sent_by: HashMap<InstanceId, (usize, FencingToken)>,
    /// The instances that were already reported as used by two lease holders.
    shared_instances: HashSet<InstanceId>,
}

/// Returns the content of a document without its term, because a later leader may commit the version again in its own.
fn content_of(document: &Document) -> Value {
    let mut document_without_term = document.clone();
    document_without_term.document_version.term = Term(0);
    serde_json::from_slice(&document_without_term.to_bytes()).unwrap_or(Value::Null)
}

impl SafetyChecks {
    /// Adds a violation.
    pub fn report_violation(&mut self, at: MonotonicTime, what: String) {
        self.violations.push(SafetyViolation { at, what });
    }

    /// Counts a case of a check.
    pub fn count_check(&mut self, kind: &'static str) {
        *self.checked.entry(kind).or_default() += 1;
    }

    /// Checks that a new lease holder adopts all running runners of the function.
    pub fn check_granted_lease<'a>(
        &mut self,
        at: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
        adopted: &[Instance],
        alive: impl Iterator<Item = (&'a FunctionKey, &'a Instance)>,
    ) {
        self.count_check("sole holder");
        self.checked
            .entry("adopted runner")
            .and_modify(|count| *count += adopted.len() as u64)
            .or_insert(0);
        for instance in adopted {
            let lease = (function.clone(), fencing_token);
            self.adopted_by.insert(instance.name.clone(), lease);
        }
        for (alive_function, instance) in alive {
            if self.current_key(alive_function, instance) == function && !adopted.contains(instance)
            {
                let name = &instance.name;
                let what =
                    format!("{function} is granted under {fencing_token} while {name} is alive");
                self.report_violation(at, what);
                return;
            }
        }
    }

    /// Returns the key under which a runner is held: that of the lease that last adopted it, or else the one under
    /// which it was started. The holder for all regions adopts runners whose key the platform does not report.
    fn current_key<'a>(
        &'a self,
        started_under: &'a FunctionKey,
        instance: &Instance,
    ) -> &'a FunctionKey {
        self.adopted_by
            .get(&instance.name)
            .map_or(started_under, |(function, _)| function)
    }

    /// Checks, when a runner starts, that all other running runners of the function belong to the same lease.
    pub fn check_sole_start<'a>(
        &mut self,
        at: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
        alive: impl Iterator<Item = (&'a RunnerId, &'a FunctionKey, &'a Instance)>,
    ) {
        self.count_check("start beside others");
        for (runner, alive_function, instance) in alive {
            let is_own = runner.fencing_token == fencing_token
                || self
                    .adopted_by
                    .get(&instance.name)
                    .is_some_and(|(_, adopted_under)| *adopted_under == fencing_token);
            if self.current_key(alive_function, instance) == function && !is_own {
                let name = &instance.name;
                let what = format!("{function} starts under {fencing_token} while {name} is alive");
                self.report_violation(at, what);
                return;
            }
        }
    }

    /// Checks that each runner instance is used by at most one running lease holder.
    pub fn check_owners<'a>(
        &mut self,
        at: MonotonicTime,
        held_instances: impl Iterator<Item = (usize, FencingToken, &'a InstanceId)>,
    ) {
        self.count_check("hands");
        let mut users: HashMap<&InstanceId, (usize, FencingToken)> = HashMap::new();
        for (daemon, fencing_token, instance) in held_instances {
            if let Some((other, other_lease)) = users.insert(instance, (daemon, fencing_token))
                && self.shared_instances.insert(instance.clone())
            {
                let what = format!(
                    "{instance} is in the hands of daemon {daemon} under {fencing_token} and of daemon {other} \
                     under {other_lease}"
                );
                self.report_violation(at, what);
            }
        }
    }

    /// Records that a lease holder sends to a runner instance; returns the previous sender if it was another daemon or
    /// sent under another lease.
    pub fn record_send(
        &mut self,
        instance: &InstanceId,
        daemon: usize,
        fencing_token: FencingToken,
    ) -> Option<(usize, FencingToken)> {
        self.count_check("send to a life");
        let before = self
            .sent_by
            .insert(instance.clone(), (daemon, fencing_token));
        before.filter(|before| *before != (daemon, fencing_token))
    }

    /// Records that a request reached an ingress and was routed to a function.
    pub fn record_call(
        &mut self,
        at: MonotonicTime,
        function: &FunctionKey,
        idempotency_key: &IdempotencyKey,
        route: &str,
        once: bool,
        is_caller_retry: bool,
    ) {
        let request_record = self.requests.entry(idempotency_key.clone()).or_default();
        request_record.route = route.to_owned();
        request_record.once = once;
        request_record.is_caller_retry = is_caller_retry;
        if !is_caller_retry {
            self.attempts
                .entry(function.clone())
                .or_default()
                .first_attempts
                .push_back(at);
        }
    }

    /// Records that a newer spec routes a first attempt to another function before it has run.
    pub fn move_first_attempt(&mut self, at: MonotonicTime, from: &FunctionKey, to: &FunctionKey) {
        if let Some(attempts) = self.attempts.get_mut(from) {
            attempts.first_attempts.pop_back();
        }
        self.attempts
            .entry(to.clone())
            .or_default()
            .first_attempts
            .push_back(at);
    }

    /// Records that the same idempotency key will be sent again, usually through another ingress.
    pub fn mark_duplicate(&mut self, idempotency_key: &IdempotencyKey) {
        self.requests
            .entry(idempotency_key.clone())
            .or_default()
            .is_duplicate = true;
    }

    /// Checks the start of a run on a runner.
    pub fn check_run(
        &mut self,
        at: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        attempt: u32,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) {
        self.count_check("run");
        if self
            .refused_under
            .contains(&(fencing_token, idempotency_key.clone()))
        {
            self.report_violation(
                at,
                format!("{idempotency_key} runs under {fencing_token}, whose holder refused it"),
            );
        }
        let request_record = self.requests.entry(idempotency_key.clone()).or_default();
        request_record.runs += 1;
        let (run_count, once, refused) = (
            request_record.runs,
            request_record.once,
            request_record.refused,
        );
        let (route, is_retry) = (
            request_record.route.clone(),
            attempt > 1 || request_record.is_caller_retry,
        );
        if once && run_count > 1 {
            self.report_violation(
                at,
                format!("once request {idempotency_key} ran {run_count} times"),
            );
        }
        if refused {
            self.report_violation(
                at,
                format!("{idempotency_key} ran after it was refused as not run"),
            );
        }
        if !self.is_in_force(at, &route, function) {
            self.report_violation(
                at,
                format!("{idempotency_key} for {route} ran on {function}, not in force"),
            );
        }
        if is_retry {
            self.check_retry(at, idempotency_key, function);
        }
    }

    /// Whether a route leads to a function in some version that a daemon may still use.
    fn is_in_force(&self, at: MonotonicTime, route: &str, function: &FunctionKey) -> bool {
        let versions: Vec<&CommittedVersion> = self.committed.values().collect();
        versions.iter().enumerate().any(|(index, version)| {
            let until = versions
                .get(index + 1)
                .map(|next| next.at + IN_FORCE_WITHIN);
            version.routes.get(route) == Some(&function.name)
                && until.is_none_or(|until| at <= until)
        })
    }

    fn check_retry(
        &mut self,
        at: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        function: &FunctionKey,
    ) {
        self.count_check("extra try");
        let attempts = self.attempts.entry(function.clone()).or_default();
        attempts.retries.push_back(at);
        while attempts
            .retries
            .front()
            .is_some_and(|earlier| at.since(*earlier) > RETRY_WINDOW)
        {
            attempts.retries.pop_front();
        }
        let first_attempt_window = RETRY_WINDOW + FIRST_ATTEMPT_SLACK;
        while attempts
            .first_attempts
            .front()
            .is_some_and(|earlier| at.since(*earlier) > first_attempt_window)
        {
            attempts.first_attempts.pop_front();
        }
        let (first_attempts, retries) = (attempts.first_attempts.len(), attempts.retries.len());
        if retries > first_attempts / FIRST_ATTEMPTS_PER_RETRY + ALWAYS_ALLOWED_RETRIES {
            let what = format!(
                "{idempotency_key} is extra try {retries} of {function} to {first_attempts} first attempts in 10 s"
            );
            self.report_violation(at, what);
        }
    }

    /// Checks the number of concurrent requests on a runner: none before it is ready, at most its slots, and at most
    /// one more than the number of its answers so far, for the slow start.
    pub fn check_slots(
        &mut self,
        at: MonotonicTime,
        runner: RunnerId,
        running_count: u32,
        slots: u32,
        answered: u32,
        ready_at: MonotonicTime,
    ) {
        self.count_check("slots and ramp");
        if running_count > slots || at < ready_at {
            self.report_violation(
                at,
                format!("{running_count} at once on {runner} of {slots} slots"),
            );
        }
        if running_count > answered + 1 {
            let what = format!("{running_count} at once on {runner} after {answered} answers");
            self.report_violation(at, what);
        }
    }

    /// Records that a runner refused a request in a sealed response without running it.
    pub fn record_not_run(&mut self, idempotency_key: &IdempotencyKey) {
        if let Some(request_record) = self.requests.get_mut(idempotency_key) {
            request_record.runs -= 1;
        }
    }

    /// Creates and records a unique body for a runner's answer to a request.
    pub fn make_body(&mut self, idempotency_key: &IdempotencyKey, runner: RunnerId) -> Vec<u8> {
        let request_record = self.requests.entry(idempotency_key.clone()).or_default();
        let made_body = format!(
            "{idempotency_key} by {runner}, {}",
            request_record.bodies.len()
        )
        .into_bytes();
        request_record.bodies.push(made_body.clone());
        made_body
    }

    /// Records that no leader can currently handle drains and evacuations.
    pub fn record_control_outage(&mut self, at: MonotonicTime) {
        self.control_outage_at = at;
    }

    /// Checks that a run is not on a worker that has been draining for too long.
    pub fn check_not_draining(
        &mut self,
        at: MonotonicTime,
        worker: &WorkerName,
        since: Option<MonotonicTime>,
    ) {
        let Some(since) = since else { return };
        self.count_check("run on a draining worker");
        let known_since = since.max(self.control_outage_at);
        if at.since(known_since) > DRAINED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.report_violation(
                at,
                format!("{worker}, draining for {late_ms} ms, gets a request"),
            );
        }
    }

    /// Checks that a run is not on a runner that announced too long ago that it is leaving.
    pub fn check_not_leaving(
        &mut self,
        at: MonotonicTime,
        runner: RunnerId,
        since: Option<MonotonicTime>,
    ) {
        let Some(since) = since else { return };
        self.count_check("run on a leaving runner");
        if at.since(since.max(self.control_outage_at)) > DRAINED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.report_violation(
                at,
                format!("{runner}, leaving for {late_ms} ms, gets a request"),
            );
        }
    }

    /// Checks that a run or a send is not in a zone that has been evacuated for too long.
    pub fn check_not_evacuated(&mut self, at: MonotonicTime, zone: &Zone) {
        let Some(since) = self.evacuated_since.get(zone).copied() else {
            return;
        };
        self.count_check("run in an evacuated zone");
        let known_since = since.max(self.control_outage_at);
        if at.since(known_since) > EVACUATED_WITHIN {
            let late_ms = at.since(since).as_millis();
            self.report_violation(
                at,
                format!("{zone}, evacuated for {late_ms} ms, gets a request"),
            );
        }
    }

    /// Whether any zone is evacuated.
    pub fn has_evacuated_zone(&self) -> bool {
        !self.evacuated_since.is_empty()
    }

    /// Records a lease and returns whether it is new.
    pub fn record_lease(&mut self, fencing_token: FencingToken) -> bool {
        self.granted.insert(fencing_token)
    }

    /// Checks that the spec that a daemon serves with is not too old.
    pub fn check_served_version(&mut self, at: MonotonicTime, daemon: usize, version: Version) {
        self.count_check("serving daemon's spec");
        let due = self
            .committed
            .iter()
            .rev()
            .find(|(_, version)| at.since(version.at) > IN_FORCE_WITHIN);
        let due_version = due.map(|(due_version, _)| *due_version).unwrap_or_default();
        if version < due_version && self.served_late.insert((daemon, due_version)) {
            self.report_violation(
                at,
                format!("daemon {daemon} serves {version} after {due_version} was due"),
            );
        }
    }

    /// Checks that a daemon that was stopped gracefully exits without requests in flight.
    pub fn check_graceful_shutdown(
        &mut self,
        at: MonotonicTime,
        daemon: usize,
        in_flight: &[IdempotencyKey],
    ) {
        self.count_check("orderly stop");
        if !in_flight.is_empty() {
            let names: Vec<&str> = in_flight.iter().map(IdempotencyKey::as_str).collect();
            self.report_violation(
                at,
                format!("daemon {daemon} stops in order and drops {names:?}"),
            );
        }
    }

    /// Checks a request that a stopping daemon ends as unknown just before it exits: it must have started to run.
    pub fn check_not_left_waiting(
        &mut self,
        at: MonotonicTime,
        daemon: usize,
        idempotency_key: &IdempotencyKey,
    ) {
        self.count_check("left at a stop");
        let has_run = self
            .requests
            .get(idempotency_key)
            .is_some_and(|request_record| request_record.runs > 0);
        if !has_run {
            let what = format!("daemon {daemon} stops and leaves {idempotency_key} waiting");
            self.report_violation(at, what);
        }
    }

    /// Records the outcome of a request at its lease holder. A refused request must never run under the same lease,
    /// even if its idempotency key is sent again through another ingress. Keys that the holder does not record are
    /// left out: callers do not send them again, but the daemon may retry them at the holder before it replies to the
    /// caller, whose reply is checked by [`Self::check_not_run`].
    pub fn record_holder_outcome(
        &mut self,
        fencing_token: FencingToken,
        request: &HolderRequest,
        outcome: &RequestOutcome,
    ) {
        if let RequestOutcome::NotRun { reason, .. } = outcome
            && *reason != RequestFailureReason::NotHolder
            && request.recorded
        {
            self.count_check("refusal by a holder");
            self.refused_under
                .insert((fencing_token, request.idempotency_key.clone()));
        }
    }

    /// Checks a refusal at a caller: the request must not have run. This is not checked for a key that is sent twice,
    /// which may be refused at one ingress and run through another; refusals by lease holders are checked even then.
    pub fn check_not_run(&mut self, at: MonotonicTime, idempotency_key: &IdempotencyKey) {
        self.count_check("not run");
        let request_record = self.requests.entry(idempotency_key.clone()).or_default();
        if request_record.is_duplicate {
            return;
        }
        request_record.refused = true;
        if request_record.runs > 0 {
            self.report_violation(
                at,
                format!("{idempotency_key} was refused as not run, and had run"),
            );
        }
    }

    /// Checks an answer at a caller: it must be the complete answer of a runner to this request.
    pub fn check_answer(
        &mut self,
        at: MonotonicTime,
        idempotency_key: &IdempotencyKey,
        function: &FunctionKey,
        runner: RunnerId,
        actual_seal: &[u8],
        body: &ByteString,
    ) {
        self.count_check("answer");
        let is_made = self
            .requests
            .get(idempotency_key)
            .is_some_and(|request_record| {
                request_record
                    .bodies
                    .iter()
                    .any(|made| made[..] == body.0[..])
            });
        let expected_seal = seal::seal(idempotency_key, function, runner, false, &body.0);
        if !is_made || expected_seal.as_bytes() != actual_seal {
            self.report_violation(
                at,
                format!(
                    "{idempotency_key} was answered with a body or seal that no runner made for it"
                ),
            );
        }
    }

    /// Checks that at least half of the calls of one second after all faults were undone were answered.
    pub fn check_recovered_second(
        &mut self,
        at: MonotonicTime,
        second: u64,
        calls: u64,
        answers: u64,
    ) {
        if calls < MIN_CALLS_PER_CHECKED_SECOND {
            return;
        }
        self.count_check("second after the return");
        if answers * 2 < calls {
            let what = format!(
                "mostly down {second} s after the faults ended: {answers} of {calls} answered"
            );
            self.report_violation(at, what);
        }
    }

    /// Whether a version that changes what daemons see was committed.
    pub fn is_committed(&self, version: Version) -> bool {
        self.committed.contains_key(&version)
    }

    /// Returns the newest committed version that changes what daemons see.
    pub fn newest_version(&self) -> Version {
        self.committed
            .last_key_value()
            .map(|(version, _)| *version)
            .unwrap_or_default()
    }
}
