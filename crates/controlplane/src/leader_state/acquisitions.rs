//! Requests for function leases. Each request stays pending until the leader can name the holder or grant the lease.

use super::{EventDetail, LeaderState, LeaseRecord, StreamId};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{AcquireResult, KnownMember, LeaderToDaemon, LengthPrefixed};
use common::identity::{CorrelationId, FunctionKey};
use common::invariants::{Invariant, require};
use common::rules::Rule;
use std::time::Duration;

/// A holder that has not renewed its session lease for this long is not named. The requester waits until the holder
/// renews it or has lost the function.
const STALE_HOLDER_AFTER: Duration = Duration::from_millis(1000);
/// Usual time that the platform takes to stop a lost holder's runners.
const EXPECTED_FENCING_TIME: Duration = Duration::from_millis(100);
/// Usual time after an election by which all live members have claimed.
const EXPECTED_CLAIMS_TIME: Duration = Duration::from_millis(700);
/// Interval between checks of the pending requests when nothing has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a request stays pending. After that, the member retries.
const ACQUISITION_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum expected wait that is announced to the requester.
const MIN_ANNOUNCED_WAIT: Duration = Duration::from_millis(200);

/// A member's request for a function lease, or for the name of its holder.
pub(super) struct PendingAcquisition {
    pub stream: StreamId,
    pub correlation: CorrelationId,
    pub function: FunctionKey,
    pub requested_at: MonotonicTime,
    /// Whether the expected wait was announced to the requester.
    pub delay_announced: bool,
}

impl PendingAcquisition {
    /// Creates a request that has just arrived.
    pub(super) fn new(
        now: MonotonicTime,
        stream: StreamId,
        correlation: CorrelationId,
        function: FunctionKey,
    ) -> Self {
        Self {
            stream,
            correlation,
            function,
            requested_at: now,
            delay_announced: false,
        }
    }
}

/// The requests that have not been answered finally.
pub(super) struct Acquisitions {
    pending: Vec<PendingAcquisition>,
    pub check_due: bool,
    checked_at: MonotonicTime,
}

impl Acquisitions {
    /// Creates an empty list whose first check is due immediately.
    pub(super) fn new() -> Self {
        Self {
            pending: Vec::new(),
            check_due: true,
            checked_at: MonotonicTime::ZERO,
        }
    }

    /// Adds a new request, or one that stays pending.
    pub(super) fn add(&mut self, acquisition: PendingAcquisition) {
        self.pending.push(acquisition);
    }

    /// Drops the requests of a stream that has ended.
    pub(super) fn forget(&mut self, stream: StreamId) {
        self.pending
            .retain(|acquisition| acquisition.stream != stream);
    }

    /// Takes all requests if something that an answer may depend on has changed, or if the check interval has passed.
    fn take_due(&mut self, now: MonotonicTime) -> Vec<PendingAcquisition> {
        let is_due = now.since(self.checked_at) >= CHECK_INTERVAL;
        if !is_due && !std::mem::take(&mut self.check_due) {
            return Vec::new();
        }
        self.check_due = false;
        self.checked_at = now;
        std::mem::take(&mut self.pending)
    }
}

impl LeaderState {
    /// Answers the requests that can be answered now.
    pub(super) fn reply_to_acquisitions(&mut self, now: MonotonicTime) {
        for acquisition in self.acquisitions.take_due(now) {
            match self.decide_acquisition(now, &acquisition) {
                Some(result) => {
                    let (stream, correlation) = (acquisition.stream, acquisition.correlation);
                    self.send_acquired(stream, correlation, acquisition.function, result);
                }
                None => self.keep_pending(now, acquisition),
            }
        }
    }

    fn send_acquired(
        &mut self,
        stream: StreamId,
        correlation: CorrelationId,
        function: FunctionKey,
        result: AcquireResult,
    ) {
        let frame = LeaderToDaemon::Acquired {
            correlation,
            function,
            result,
        };
        self.send_frame(stream, frame);
    }

    /// Keeps a request pending until it times out, and announces the expected wait once if there is an estimate.
    fn keep_pending(&mut self, now: MonotonicTime, mut acquisition: PendingAcquisition) {
        if now.since(acquisition.requested_at) >= ACQUISITION_TIMEOUT {
            return;
        }
        if !acquisition.delay_announced
            && let Some(result) = self.estimate_wait(now, &acquisition.function)
        {
            acquisition.delay_announced = true;
            let (stream, correlation) = (acquisition.stream, acquisition.correlation);
            self.send_acquired(stream, correlation, acquisition.function.clone(), result);
        }
        self.acquisitions.add(acquisition);
    }

    /// Estimates how long a function cannot be leased. Returns `None` if there is no estimate or it is too short to be
    /// announced.
    fn estimate_wait(&self, now: MonotonicTime, function: &FunctionKey) -> Option<AcquireResult> {
        let wait_span = self.expected_free_at(now, function)?.since(now);
        (wait_span > MIN_ANNOUNCED_WAIT).then_some(AcquireResult::RetryLater {
            wait_ms: wait_span.as_millis() as u32,
        })
    }

    /// Returns when the function is expected to be free: when the session lease of a disconnected holder has ended, or
    /// when the claims quorum has waited out its missing members. There is no estimate for a holder that is connected
    /// but silent, since it may respond at any time.
    fn expected_free_at(
        &self,
        now: MonotonicTime,
        function: &FunctionKey,
    ) -> Option<MonotonicTime> {
        if self.claims.is_reached {
            let entry = self.lease_records.get(function)?;
            if entry.fencing_since.is_some() || entry.handing_over {
                return None;
            }
            let holder_record = self.members.get(&entry.holder)?;
            let is_cut_off = holder_record.stream.is_none();
            return is_cut_off.then(|| holder_record.lease_expiry_bound + EXPECTED_FENCING_TIME);
        }
        let lacks_claims = now.since(self.elected_at) > EXPECTED_CLAIMS_TIME
            && !self.lease_records.contains(function);
        let waited_until =
            self.elected_at + self.timing.claims_wait + self.timing.start_request_lag;
        lacks_claims.then(|| waited_until + EXPECTED_FENCING_TIME)
    }

    /// Decides a request. The holder is named even while the claims quorum is awaited, but a lease is granted only once
    /// it is reached. `None` leaves the request pending.
    fn decide_acquisition(
        &mut self,
        now: MonotonicTime,
        acquisition: &PendingAcquisition,
    ) -> Option<AcquireResult> {
        let requester = self.members.on_stream(acquisition.stream).cloned()?;
        let function = &acquisition.function;
        if let Some(entry) = self.lease_records.get(function) {
            return self.decide_held(now, entry, &requester);
        }
        if !self.claims.is_reached || self.waits_for_stops(function) {
            return None;
        }
        if self.configuration.table.function_of(function).is_none() {
            return self.decide_unknown_function(&requester);
        }
        let record = self.members.get(&requester);
        if !record.is_some_and(|record| record.host.eligible.0) {
            return Some(AcquireResult::Rejected);
        }
        self.may_grant(now, &requester, acquisition)
            .then(|| self.grant(now, requester, function))
    }

    /// Answers a request for a leased function: the holder itself gets its lease again, and others get the holder's
    /// address as long as the holder can be expected to respond.
    fn decide_held(
        &self,
        now: MonotonicTime,
        entry: &LeaseRecord,
        requester: &KnownMember,
    ) -> Option<AcquireResult> {
        if entry.fencing_since.is_some() || entry.handing_over {
            return None;
        }
        let holder_record = self.members.get(&entry.holder)?;
        if entry.holder == *requester {
            return self.claims.is_reached.then(|| AcquireResult::Granted {
                fencing_token: entry.fencing_token,
                once_wait_ms: 0,
                replica: LengthPrefixed(entry.replica.iter().cloned().collect()),
                previous_lease: LengthPrefixed(Vec::new()),
                adopted: LengthPrefixed(Vec::new()),
            });
        }
        let is_answerable = holder_record.stream.is_some()
            && now < holder_record.lease_expires_at
            && now.since(holder_record.last_contact_at) < STALE_HOLDER_AFTER
            && holder_record.is_self_eligible;
        is_answerable.then(|| AcquireResult::HeldBy {
            host: holder_record.host.clone(),
        })
    }

    /// Whether runners of the function still have to stop before it can be leased again.
    fn waits_for_stops(&self, function: &FunctionKey) -> bool {
        let has_runners = self
            .reservations
            .all_of(function)
            .any(|(_, reservation)| !reservation.is_orphaned());
        has_runners && self.rules.enforces(Rule::FenceBeforeRegrant)
    }

    /// Rejects a function that the newest version does not contain, unless the requester has installed a version that
    /// is newer than this controller's.
    fn decide_unknown_function(&self, requester: &KnownMember) -> Option<AcquireResult> {
        let record = self.members.get(requester);
        let installed = record.map(|record| record.installed);
        let document = self.configuration.document.as_ref();
        let newest = document.map(|document| document.view_version());
        (installed <= newest).then_some(AcquireResult::Rejected)
    }

    /// Whether the lease can be granted now. Runners that prevent it are stopped.
    fn may_grant(
        &mut self,
        now: MonotonicTime,
        requester: &KnownMember,
        acquisition: &PendingAcquisition,
    ) -> bool {
        let function = &acquisition.function;
        self.is_serving(requester, now)
            && !self.waits_for_wide_link_requester(now, acquisition)
            && self.stop_unadoptable_orphans(function)
            && !self.may_have_unlisted_runners(function)
            && (!function.is_regional() || self.stop_orphans_with_unknown_key(function))
    }

    /// Grants the lease, with the function's orphaned runners and a replica for its ledger.
    fn grant(
        &mut self,
        now: MonotonicTime,
        requester: KnownMember,
        function: &FunctionKey,
    ) -> AcquireResult {
        self.require_claims_quorum(now, function);
        let fencing_token = self.next_fencing_token();
        let is_recorded = self.is_recorded(function);
        let once_wait = if is_recorded {
            self.once_wait(now, function)
        } else {
            Duration::ZERO
        };
        let adopted = self.adopt_orphans(function, fencing_token);
        let detail = EventDetail::LeaseGranted {
            function: function.clone(),
            member: requester.member.clone(),
            fencing_token,
            once_wait_ms: once_wait.as_millis() as u64,
            adopted: adopted.len(),
        };
        self.record_event(events::LEASE_GRANTED, detail);
        let replica = if is_recorded {
            self.choose_replica(now, function, &requester, None)
        } else {
            None
        };
        let previous_lease = self
            .once_delays
            .previous_lease(function)
            .filter(|_| !once_wait.is_zero())
            .cloned();
        let has_complete_ledger = once_wait.is_zero();
        let entry = LeaseRecord::new(
            requester,
            fencing_token,
            replica.clone(),
            has_complete_ledger,
        );
        self.lease_records.insert(function.clone(), entry);
        AcquireResult::Granted {
            fencing_token,
            once_wait_ms: once_wait.as_millis() as u32,
            replica: LengthPrefixed(replica.into_iter().collect()),
            previous_lease: LengthPrefixed(previous_lease.into_iter().collect()),
            adopted: LengthPrefixed(adopted),
        }
    }

    /// Checks the invariant that no lease is granted while one of an earlier leader may exist unclaimed: all of those
    /// have expired, or all members that may hold one have claimed.
    fn require_claims_quorum(&self, now: MonotonicTime, function: &FunctionKey) {
        let has_waited = now >= self.elected_at + self.timing.claims_wait;
        let is_awaited = self.claims.all_claimed || has_waited || self.claims.inherits_no_functions;
        require(
            self.rules,
            Invariant::GrantedAfterClaims,
            is_awaited,
            || format!("{function} was granted before the claims quorum was reached"),
        );
    }
}
