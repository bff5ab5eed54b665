//! Requests to the leader for function leases and for the reservation of runners, and its responses.

use super::{ClusterView, ClusterViewOutput};
use crate::holder::LeaseTerms;
use common::clock::MonotonicTime;
use common::frames::{AcquireResult, DaemonToLeader, ReserveResult, RunnerStatus};
use common::identity::{CorrelationId, FencingToken, FunctionKey};
use common::rules::Rule;
use std::time::Duration;

/// How long to wait for the response to an acquisition.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request for a function lease that has no final response yet.
pub(super) struct PendingAcquisition {
    function: FunctionKey,
    requested_at: MonotonicTime,
    /// When the leader expects to grant the lease, if it has announced a wait.
    expected_at: Option<MonotonicTime>,
}

impl ClusterView {
    /// Requests a function lease from the leader. While a wait announced by the leader for this function is pending, no
    /// further request is sent, and the remaining wait is reported instead.
    pub fn request_lease(
        &mut self,
        now: MonotonicTime,
        function: FunctionKey,
    ) -> Vec<ClusterViewOutput> {
        let pending_expected_at = self
            .pending_acquisitions
            .values()
            .find(|pending| pending.function == function)
            .and_then(|pending| pending.expected_at);
        if let Some(expected_at) = pending_expected_at {
            let wait_ms = expected_at.since(now).as_millis() as u32;
            let result = AcquireResult::RetryLater { wait_ms };
            self.report_acquired(function, Some(result), Duration::ZERO);
        } else if self.control_session.is_welcomed() {
            self.send_acquire(now, function);
        } else {
            self.report_acquired(function, None, Duration::ZERO);
        }
        self.take_outputs()
    }

    fn send_acquire(&mut self, now: MonotonicTime, function: FunctionKey) {
        let correlation = self.control_session.next_correlation();
        let pending = PendingAcquisition {
            function: function.clone(),
            requested_at: now,
            expected_at: None,
        };
        self.pending_acquisitions.insert(correlation, pending);
        self.outputs
            .push(ClusterViewOutput::SendFrame(DaemonToLeader::Acquire {
                correlation,
                function,
            }));
    }

    fn report_acquired(
        &mut self,
        function: FunctionKey,
        result: Option<AcquireResult>,
        round_trip: Duration,
    ) {
        self.outputs.push(ClusterViewOutput::Acquired {
            function,
            result,
            round_trip,
        });
    }

    /// Requests the leader to reserve memory on a worker for one more runner of a held function. The response names the
    /// worker and the new runner's id.
    pub fn request_reservation(
        &mut self,
        function: FunctionKey,
        fencing_token: FencingToken,
    ) -> Vec<ClusterViewOutput> {
        if self.control_session.is_welcomed() {
            let correlation = self.control_session.next_correlation();
            self.pending_reservations
                .insert(correlation, (function.clone(), fencing_token));
            let frame = DaemonToLeader::Reserve {
                correlation,
                function,
                fencing_token,
            };
            self.outputs.push(ClusterViewOutput::SendFrame(frame));
        } else {
            let result = ReserveResult::Rejected;
            self.outputs.push(ClusterViewOutput::Reserved {
                function,
                fencing_token,
                result,
            });
        }
        self.take_outputs()
    }

    /// Handles the leader's response to an acquisition.
    pub(super) fn handle_acquire_result(
        &mut self,
        now: MonotonicTime,
        correlation: CorrelationId,
        function: FunctionKey,
        result: AcquireResult,
    ) {
        if let AcquireResult::RetryLater { wait_ms } = &result
            && let Some(pending) = self.pending_acquisitions.get_mut(&correlation)
        {
            pending.expected_at = Some(now + Duration::from_millis(u64::from(*wait_ms)));
            let round_trip = now.since(pending.requested_at);
            self.report_acquired(function, Some(result), round_trip);
            return;
        }
        let round_trip = self
            .pending_acquisitions
            .remove(&correlation)
            .map_or(Duration::ZERO, |pending| now.since(pending.requested_at));
        let result = match result {
            AcquireResult::Granted { .. } if self.is_released(&function, &result) => None,
            AcquireResult::Granted { .. } => {
                self.accept_lease(now, correlation, &function, &result);
                Some(result)
            }
            _ => Some(result),
        };
        self.report_acquired(function, result, round_trip);
    }

    /// Whether a granted lease was already released: the leader grants it again in response to a request that crossed
    /// the release on the wire.
    fn is_released(&self, function: &FunctionKey, result: &AcquireResult) -> bool {
        let AcquireResult::Granted { fencing_token, .. } = result else {
            return false;
        };
        self.released_leases
            .get(function)
            .is_some_and(|released_token| fencing_token <= released_token)
    }

    /// Accepts a granted lease, or releases it at once if the function cannot be held.
    fn accept_lease(
        &mut self,
        now: MonotonicTime,
        correlation: CorrelationId,
        function: &FunctionKey,
        result: &AcquireResult,
    ) {
        let AcquireResult::Granted {
            fencing_token,
            once_wait_ms,
            replica,
            previous_lease,
            adopted,
        } = result
        else {
            return;
        };
        let spec = self
            .table
            .function_of(function)
            .map(|entry| (*entry.spec).clone());
        let output = match spec.filter(|_| self.may_hold(now, correlation)) {
            Some(spec) => ClusterViewOutput::LeaseGranted(LeaseTerms {
                function: function.clone(),
                fencing_token: *fencing_token,
                spec,
                once_wait: Duration::from_millis(u64::from(*once_wait_ms)),
                replica: replica.0.first().cloned(),
                previous_lease: previous_lease.0.first().cloned(),
                adopted: adopted.0.clone(),
            }),
            None => {
                self.released_leases
                    .insert(function.clone(), *fencing_token);
                ClusterViewOutput::SendFrame(DaemonToLeader::Release {
                    function: function.clone(),
                    fencing_token: *fencing_token,
                    runners: adopted.clone(),
                })
            }
        };
        self.outputs.push(output);
    }

    /// Whether a function whose lease was requested with this correlation id may be held.
    fn may_hold(&self, now: MonotonicTime, correlation: CorrelationId) -> bool {
        let is_void =
            correlation <= self.void_through && self.rules.enforces(Rule::StaleLeaseReturned);
        now < self.control_session.lease_end() && !self.is_leaving && !is_void
    }

    /// Handles the leader's response to a reservation. A runner that was reserved for an abandoned request is returned.
    pub(super) fn handle_reserve_result(
        &mut self,
        correlation: CorrelationId,
        function: FunctionKey,
        result: ReserveResult,
    ) {
        match (self.pending_reservations.remove(&correlation), &result) {
            (Some((_, fencing_token)), _) => {
                self.outputs.push(ClusterViewOutput::Reserved {
                    function,
                    fencing_token,
                    result,
                });
            }
            (None, ReserveResult::Reserved { runner, .. }) => {
                let runner_status = RunnerStatus::Gone;
                let frame = DaemonToLeader::RunnerUpdate {
                    function,
                    runner: *runner,
                    runner_status,
                };
                self.outputs.push(ClusterViewOutput::SendFrame(frame));
            }
            _ => {}
        }
    }

    /// Cancels all pending acquisitions after the session lease has ended. The daemon then sends claims without these
    /// functions, and the leader drops every lease that is not claimed, including one that is still in transit to this
    /// daemon. Such a lease must not be accepted.
    pub(super) fn void_pending_acquisitions(&mut self, now: MonotonicTime) {
        self.void_through = self.control_session.next_correlation();
        for pending in std::mem::take(&mut self.pending_acquisitions).into_values() {
            self.report_acquired(pending.function, None, now.since(pending.requested_at));
        }
    }

    /// Ends the acquisitions whose responses are overdue.
    pub(super) fn expire_late_acquisitions(&mut self, now: MonotonicTime) {
        let expired_correlations: Vec<CorrelationId> = self
            .pending_acquisitions
            .iter()
            .filter(|(_, pending)| {
                now.since(pending.expected_at.unwrap_or(pending.requested_at)) > ACQUIRE_TIMEOUT
            })
            .map(|(correlation, _)| *correlation)
            .collect();
        for expired_correlation in expired_correlations {
            if let Some(pending) = self.pending_acquisitions.remove(&expired_correlation) {
                self.report_acquired(pending.function, None, now.since(pending.requested_at));
            }
        }
    }
}
