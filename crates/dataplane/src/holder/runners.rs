//! One runner of a holder: its lifecycle phase, its slots, and its timed checks.

use super::{AdmissionRequest, Holder, HolderOutput};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Flag, Instance, LengthPrefixed, SocketAddress};
use common::identity::{IdempotencyKey, RunnerId, Ticket, WorkerName};
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum interval between two readiness probes of a runner.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// How long a lost response occupies its slot if runners cannot list the requests that they are running.
const LOST_RESPONSE_SLOT_RETENTION: Duration = Duration::from_millis(400);
/// How long a runner that rejected a request is limited to the number of requests that it had at that time.
const THROTTLE_DURATION: Duration = Duration::from_millis(200);
/// Interval at which a runner with lost responses lists the requests that it is running. A lost response occupies its
/// slot for at least this time, whatever the runner lists.
const RUNNING_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the order to stop a runner is repeated until the platform confirms it.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Delay before a start order that the platform did not carry out, or did not answer, is repeated.
const START_RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long the platform may take to report the instance of a runner that it was ordered to start. A runner has this
/// time and three start-up times to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a lost response may stay unresolved before its runner counts as hung and is stopped.
const UNRESOLVED_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of consecutive lost responses after which a runner is stopped immediately.
const MAX_CONSECUTIVE_LOSSES: u32 = 5;
/// Number of consecutive lost responses after which a runner is replaced.
const REPLACE_AFTER_LOSSES: u32 = 2;

/// The phase of a runner's lifecycle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Phase {
    /// The platform was ordered to start it.
    StartRequested,
    /// It has been started and is not yet ready.
    StartingUp,
    /// It accepts requests.
    Ready,
    /// It accepts no more requests and completes those that it has.
    Draining,
    /// The platform was ordered to stop it.
    Stopping,
    /// It is left running for the next holder.
    Orphaned,
}

/// A lost response: the runner may still be running the request.
struct UnresolvedSend {
    idempotency_key: IdempotencyKey,
    since: MonotonicTime,
    until: MonotonicTime,
}

/// The action that is due for a runner.
enum DueAction {
    Nothing,
    RepeatStart,
    Probe(SocketAddress),
    ListRunning(SocketAddress),
    Stop,
    RepeatStop,
}

/// A temporary, lower limit on the concurrent requests of a runner.
#[derive(Clone, Copy)]
struct Throttle {
    until: MonotonicTime,
    limit: u32,
}

/// One runner of a holder.
pub(super) struct RunnerRecord {
    /// The worker that it runs on.
    pub worker: WorkerName,
    /// The memory reserved for it, in megabytes.
    pub memory_mb: u32,
    /// The phase of its lifecycle.
    pub phase: Phase,
    /// Its instance, once the platform has reported it.
    pub instance: Option<Instance>,
    /// When its start was ordered.
    pub started_at: MonotonicTime,
    /// When it entered its phase.
    pub phase_since: MonotonicTime,
    /// When a request last started or ended on it.
    pub last_used_at: MonotonicTime,
    /// The number of concurrent requests that it was started with.
    pub slots: u32,
    /// The current limit on its concurrent requests, which grows from 1 to `slots` (slow start).
    pub limit: u32,
    /// Whether a readiness probe is in progress.
    pub probe_pending: bool,
    /// When it was marked to be replaced: it is drained as soon as another runner is ready.
    pub replace_since: Option<MonotonicTime>,
    /// Its requests, by ticket rather than idempotency key: two requests with the same key occupy two slots.
    running: BTreeSet<Ticket>,
    unresolved: Vec<UnresolvedSend>,
    /// The temporary limit after the runner rejected a request.
    throttle: Option<Throttle>,
    consecutive_losses: u32,
    next_check_at: MonotonicTime,
    start_retry_at: Option<MonotonicTime>,
}

impl RunnerRecord {
    /// Creates the record of a runner that the platform is ordered to start.
    pub(super) fn starting(
        now: MonotonicTime,
        worker: WorkerName,
        memory_mb: u32,
        slots: u32,
    ) -> Self {
        Self {
            worker,
            memory_mb,
            phase: Phase::StartRequested,
            instance: None,
            started_at: now,
            phase_since: now,
            last_used_at: now,
            slots,
            limit: 1,
            probe_pending: false,
            replace_since: None,
            running: BTreeSet::new(),
            unresolved: Vec::new(),
            throttle: None,
            consecutive_losses: 0,
            next_check_at: now,
            start_retry_at: None,
        }
    }

    /// Creates the record of a runner adopted from an earlier holder, or returns `None` if its instance is not known.
    /// The earlier holder's requests may still be running there, so its limit starts at half of its slots.
    pub(super) fn adopted(now: MonotonicTime, listed: ClaimedRunner, slots: u32) -> Option<Self> {
        let instance = listed.instance.0.into_iter().next()?;
        let mut record = Self::starting(now, listed.worker, listed.memory_mb, slots);
        record.phase = Phase::Ready;
        record.instance = Some(instance);
        record.limit = (slots / 2).max(1);
        Some(record)
    }

    /// Returns the address that it listens on, if its instance is known.
    pub(super) fn address(&self) -> Option<SocketAddress> {
        self.instance.as_ref().map(|instance| instance.address)
    }

    /// Schedules a retry of a start order that the platform did not carry out or did not answer.
    pub(super) fn schedule_start_retry(&mut self, now: MonotonicTime) {
        self.start_retry_at = Some(now + START_RETRY_DELAY);
    }

    /// Whether it can be left running for the next holder: it is ready and healthy, or already orphaned.
    pub(super) fn may_be_orphaned(&self) -> bool {
        let is_healthy = self.consecutive_losses < 2;
        self.phase == Phase::Orphaned || (self.is_usable() && self.instance.is_some() && is_healthy)
    }

    /// Returns the order to stop it.
    fn stop_output(&self, runner: RunnerId) -> HolderOutput {
        HolderOutput::Stop {
            runner,
            worker: self.worker.clone(),
            instance: self.instance.as_ref().map(|instance| instance.name.clone()),
        }
    }

    /// Converts it to the form in which it is reported to the leader.
    pub(super) fn to_claim(&self, runner: RunnerId) -> ClaimedRunner {
        ClaimedRunner {
            runner,
            worker: self.worker.clone(),
            memory_mb: self.memory_mb,
            instance: LengthPrefixed(self.instance.iter().cloned().collect()),
            is_adoptable: Flag(self.may_be_orphaned()),
        }
    }

    /// Returns the number of slots in use, including those of lost responses.
    pub(super) fn busy_count(&self) -> usize {
        self.running.len() + self.unresolved.len()
    }

    /// Whether it was ordered to start and is not ready yet.
    pub(super) fn is_starting(&self) -> bool {
        matches!(self.phase, Phase::StartRequested | Phase::StartingUp)
    }

    /// Whether it is ready or starting, and not to be replaced.
    pub(super) fn is_starting_or_ready(&self) -> bool {
        (self.is_starting() || self.phase == Phase::Ready) && self.replace_since.is_none()
    }

    /// Whether it is ready and not to be replaced.
    pub(super) fn is_usable(&self) -> bool {
        self.phase == Phase::Ready && self.replace_since.is_none()
    }

    /// Returns the current limit on its concurrent requests.
    pub(super) fn current_limit(&self, now: MonotonicTime) -> u32 {
        self.throttled(now, self.limit)
    }

    /// Returns the limit on its concurrent requests after its slow start, which takes only a few responses.
    pub(super) fn expected_limit(&self, now: MonotonicTime) -> u32 {
        self.throttled(now, self.slots)
    }

    fn throttled(&self, now: MonotonicTime, limit: u32) -> u32 {
        match self.throttle {
            Some(throttle) if now < throttle.until => limit.min(throttle.limit),
            _ => limit,
        }
    }

    /// Whether it accepts one more request.
    pub(super) fn has_free_slot(&self, now: MonotonicTime) -> bool {
        self.phase == Phase::Ready && self.busy_count() < self.current_limit(now) as usize
    }

    /// Throttles the runner after it rejected a request: for a short time it gets no more concurrent requests than it
    /// has now. Its other slots may be in use by requests of an earlier holder.
    pub(super) fn handle_rejection(&mut self, now: MonotonicTime) {
        self.throttle = Some(Throttle {
            until: now + THROTTLE_DURATION,
            limit: self.busy_count() as u32,
        });
    }

    /// Sets the time of its first readiness probe.
    pub(super) fn probe_after(&mut self, first_probe_at: MonotonicTime) {
        self.next_check_at = first_probe_at;
    }

    /// Occupies a slot for a request.
    pub(super) fn occupy_slot(&mut self, now: MonotonicTime, ticket: Ticket) {
        self.last_used_at = now;
        self.running.insert(ticket);
    }

    /// Frees a request's slot, or keeps it occupied if the runner may still be running the request (`is_resolved` is
    /// false).
    pub(super) fn release_slot(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        is_resolved: bool,
    ) {
        self.last_used_at = now;
        self.running.remove(&request.ticket);
        if is_resolved {
            self.consecutive_losses = 0;
        } else {
            self.consecutive_losses += 1;
            if self.consecutive_losses >= REPLACE_AFTER_LOSSES {
                self.replace_since.get_or_insert(now);
            }
            self.unresolved.push(UnresolvedSend {
                idempotency_key: request.idempotency_key.clone(),
                since: now,
                until: request.deadline.min(now + LOST_RESPONSE_SLOT_RETENTION),
            });
            self.next_check_at = now + RUNNING_LIST_INTERVAL;
        }
    }

    /// Raises the slow-start limit by one after a response, up to the number of slots that the runner was started with.
    pub(super) fn raise_limit(&mut self, slots: u32) {
        let upper_limit = self.slots.min(slots).max(1);
        self.limit = self.limit.saturating_add(1).min(upper_limit);
    }

    /// Frees the slots of lost responses whose requests the runner no longer lists.
    pub(super) fn resolve_not_running(&mut self, now: MonotonicTime, running: &[IdempotencyKey]) {
        self.probe_pending = false;
        self.unresolved.retain(|unresolved| {
            running.contains(&unresolved.idempotency_key)
                || now.since(unresolved.since) < RUNNING_LIST_INTERVAL
        });
    }
}

impl RunnerRecord {
    /// Starts draining: the runner accepts no more requests and completes those that it has.
    pub(super) fn begin_draining(&mut self, now: MonotonicTime) {
        self.phase = Phase::Draining;
        self.phase_since = now;
    }

    /// Returns the action that is due now, and schedules the next check.
    fn due_action(
        &mut self,
        now: MonotonicTime,
        startup_timeout: Duration,
        lists_running: bool,
    ) -> DueAction {
        if self.throttle.is_some_and(|throttle| now >= throttle.until) {
            self.throttle = None;
        }
        if !lists_running {
            self.expire_unresolved(now);
        }
        match self.phase {
            Phase::StartRequested => self.due_start_action(now),
            Phase::StartingUp => self.due_probe(now, startup_timeout),
            Phase::Draining if self.busy_count() == 0 => DueAction::Stop,
            Phase::Ready | Phase::Draining => self.due_unresolved_action(now, lists_running),
            Phase::Stopping if now >= self.next_check_at => {
                self.next_check_at = now + STOP_RETRY_INTERVAL;
                DueAction::RepeatStop
            }
            Phase::Stopping | Phase::Orphaned => DueAction::Nothing,
        }
    }

    fn due_start_action(&mut self, now: MonotonicTime) -> DueAction {
        if now.since(self.started_at) > START_TIMEOUT {
            DueAction::Stop
        } else if self.start_retry_at.is_some_and(|retry_at| now >= retry_at) {
            self.start_retry_at = None;
            DueAction::RepeatStart
        } else {
            DueAction::Nothing
        }
    }

    fn due_probe(&mut self, now: MonotonicTime, startup_timeout: Duration) -> DueAction {
        if now.since(self.started_at) > startup_timeout {
            return DueAction::Stop;
        }
        if now < self.next_check_at || self.probe_pending {
            return DueAction::Nothing;
        }
        self.next_check_at = now + PROBE_INTERVAL;
        self.probe_pending = true;
        self.address().map_or(DueAction::Nothing, DueAction::Probe)
    }

    /// Stops a runner whose lost responses stay unresolved for too long or that lost many in a row. Otherwise has it
    /// list the requests that it is running, if responses are unresolved.
    fn due_unresolved_action(&mut self, now: MonotonicTime, lists_running: bool) -> DueAction {
        let oldest_unresolved = self
            .unresolved
            .iter()
            .map(|unresolved| unresolved.since)
            .min();
        let is_hung = oldest_unresolved.is_some_and(|since| now.since(since) > UNRESOLVED_TIMEOUT);
        if is_hung || self.consecutive_losses >= MAX_CONSECUTIVE_LOSSES {
            return DueAction::Stop;
        }
        if !lists_running || oldest_unresolved.is_none() || now < self.next_check_at {
            return DueAction::Nothing;
        }
        self.next_check_at = now + RUNNING_LIST_INTERVAL;
        self.address()
            .map_or(DueAction::Nothing, DueAction::ListRunning)
    }

    /// Frees the slots of lost responses whose retention time is over.
    fn expire_unresolved(&mut self, now: MonotonicTime) {
        self.unresolved.retain(|unresolved| now < unresolved.until);
    }

    /// Returns the time of the next check, if it may be before the next regular tick.
    fn next_due(&self, lists_running: bool) -> Option<MonotonicTime> {
        let unresolved_until = self
            .unresolved
            .iter()
            .map(|unresolved| unresolved.until)
            .min()
            .filter(|_| !lists_running);
        let throttled_until = self.throttle.map(|throttle| throttle.until);
        let check_at = match self.phase {
            Phase::StartingUp if !self.probe_pending => Some(self.next_check_at),
            Phase::Draining if self.busy_count() == 0 => Some(self.phase_since),
            _ => None,
        };
        [unresolved_until, throttled_until, check_at]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Holder {
    /// Returns when [`Holder::tick`] is next needed, if that may be before the next regular tick.
    pub fn next_due(&self) -> Option<MonotonicTime> {
        let runners_due = self
            .runners
            .records()
            .filter_map(|record| record.next_due(self.tuning.lists_running))
            .min();
        [runners_due, self.queue_due()].into_iter().flatten().min()
    }

    /// Orders the platform to stop a runner, unless that was already ordered.
    pub(super) fn stop_runner(&mut self, now: MonotonicTime, runner: RunnerId) {
        let Some(record) = self.runners.get_mut(runner) else {
            return;
        };
        if record.phase != Phase::Stopping {
            record.phase = Phase::Stopping;
            record.phase_since = now;
            record.next_check_at = now + STOP_RETRY_INTERVAL;
            let output = record.stop_output(runner);
            self.outputs.push(output);
        }
    }

    /// Stops a runner that is gone or unreachable. Scaling starts another one if needed.
    pub(super) fn replace_failed_runner(&mut self, now: MonotonicTime, runner: RunnerId) {
        self.stop_runner(now, runner);
    }

    /// Carries out the due checks of all runners: start retries, readiness probes, lists of running requests, and
    /// stops.
    pub(super) fn check_runners(&mut self, now: MonotonicTime) {
        let startup_timeout = self.spec.startup * 3 + START_TIMEOUT;
        let mut stopped_runners: Vec<RunnerId> = Vec::new();
        for (runner, record) in self.runners.iter_mut() {
            match record.due_action(now, startup_timeout, self.tuning.lists_running) {
                DueAction::Nothing => {}
                DueAction::Stop => stopped_runners.push(runner),
                DueAction::RepeatStart => self.outputs.push(HolderOutput::Start {
                    runner,
                    worker: record.worker.clone(),
                    spec: self.spec.clone(),
                }),
                DueAction::RepeatStop => self.outputs.push(record.stop_output(runner)),
                DueAction::Probe(address) => {
                    self.outputs.push(HolderOutput::Probe { runner, address });
                }
                DueAction::ListRunning(address) => {
                    self.outputs
                        .push(HolderOutput::ListRunning { runner, address });
                }
            }
        }
        for runner in stopped_runners {
            self.stop_runner(now, runner);
        }
    }
}
