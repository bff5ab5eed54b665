//! Applies the cluster view's outputs to the agent.

use super::{Agent, DaemonControl, DaemonControlOutput};
use crate::cluster_view::{ClusterViewOutput, FunctionCommand};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{AcquireResult, Host};
use common::identity::{FencingToken, FunctionKey, RunnerId, Term};
use common::rules::Rule;
use std::time::Duration;

impl<W> DaemonControl<W> {
    pub(super) fn apply_view_outputs(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        view_outputs: Vec<ClusterViewOutput>,
    ) {
        for output in view_outputs {
            self.apply_view_output(agent, now, output);
        }
    }

    fn apply_view_output(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        output: ClusterViewOutput,
    ) {
        match output {
            ClusterViewOutput::Dial(address) => {
                self.outputs.push(DaemonControlOutput::Dial(address))
            }
            ClusterViewOutput::Hangup => self.outputs.push(DaemonControlOutput::Hangup),
            ClusterViewOutput::SendFrame(frame) => self.send_frame(frame),
            ClusterViewOutput::HeartbeatDatagram(heartbeat, addresses) => {
                self.outputs
                    .push(DaemonControlOutput::HeartbeatDatagram(heartbeat, addresses));
            }
            ClusterViewOutput::Welcomed(term) => self.handle_welcome(agent, now, term),
            ClusterViewOutput::StreamLost(lost_reservations) => {
                self.handle_stream_lost(agent, now, lost_reservations)
            }
            ClusterViewOutput::ServeUntil(lease_end) => self.serve_until(agent, now, lease_end),
            ClusterViewOutput::CloseAll => self.close_all(agent, now),
            ClusterViewOutput::Install(table) => self.install(agent, now, table),
            ClusterViewOutput::InstallFailed(version, error) => {
                let detail = format!("version {version}: {error}");
                self.log_event(events::SPEC_INSTALL_FAILED, detail);
            }
            ClusterViewOutput::Hosts(alive_hosts) => self.set_hosts(agent, now, alive_hosts),
            ClusterViewOutput::LeaseGranted(terms) => self.handle_lease_granted(agent, now, terms),
            ClusterViewOutput::Acquired {
                function,
                result,
                round_trip,
            } => self.handle_acquire_result(agent, function, result, round_trip),
            ClusterViewOutput::Reserved {
                function,
                fencing_token,
                result,
            } => self.handle_reserve_result(agent, now, function, fencing_token, &result),
            ClusterViewOutput::Command(function, command) => {
                self.apply_command(agent, now, &function, command)
            }
        }
    }

    /// Applies a command from the leader to a held function. A command for a lease that is not held is ignored.
    fn apply_command(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: &FunctionKey,
        command: FunctionCommand,
    ) {
        match command {
            FunctionCommand::ReclaimIdle(fencing_token) => {
                self.apply_if_held(agent, function, fencing_token, |holder| {
                    holder.stop_if_unused(now)
                });
            }
            FunctionCommand::ReplicaAssigned(fencing_token, replica) => {
                self.apply_if_held(agent, function, fencing_token, |holder| {
                    holder.handle_replica_assigned(now, replica)
                });
            }
            FunctionCommand::Revoke(fencing_token) => {
                self.handle_revoke(agent, now, function, fencing_token)
            }
            FunctionCommand::RunnerUnlisted(runner) => {
                self.apply_if_held(agent, function, runner.fencing_token, |holder| {
                    holder.handle_runner_gone(now, runner)
                });
            }
            FunctionCommand::Drain(runner) => self.handle_drain(agent, now, function, runner),
            FunctionCommand::HandOver(fencing_token) => {
                self.begin_release(agent, now, function, fencing_token)
            }
        }
    }

    fn set_hosts(&mut self, agent: &Agent<W>, now: MonotonicTime, alive_hosts: Vec<Host>) {
        agent.set_live_hosts(alive_hosts);
        self.recheck_warm_functions(now);
        self.outputs.push(DaemonControlOutput::Changed);
    }

    fn handle_welcome(&mut self, agent: &Agent<W>, now: MonotonicTime, term: Term) {
        agent.set_has_leader(true);
        self.log_event(events::STREAM_OPENED, format!("leader of term {term}"));
        self.send_claims(agent, now);
        self.outputs.push(DaemonControlOutput::Changed);
    }

    fn handle_stream_lost(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        lost_reservations: Vec<(FunctionKey, FencingToken)>,
    ) {
        agent.set_has_leader(false);
        self.log_event(events::STREAM_LOST, String::new());
        self.outputs.push(DaemonControlOutput::AcquisitionsLost);
        for (function, fencing_token) in lost_reservations {
            if let Some(held) = agent.held_under_lease(&function, fencing_token) {
                held.with(|holder| holder.handle_reserve_failure(now));
            }
        }
    }

    fn serve_until(&mut self, agent: &Agent<W>, now: MonotonicTime, lease_end: MonotonicTime) {
        if !agent.is_serving(now) {
            self.recheck_warm_functions(now);
            self.log_event(
                events::SERVING_STARTED,
                format!("version {}", self.cluster_view.version()),
            );
            self.outputs.push(DaemonControlOutput::Changed);
        }
        agent.set_session_lease_end(lease_end);
    }

    fn handle_acquire_result(
        &mut self,
        agent: &Agent<W>,
        function: FunctionKey,
        result: Option<AcquireResult>,
        round_trip: Duration,
    ) {
        if let Some(AcquireResult::HeldBy { host }) = &result {
            agent.cache_owner(&function, host);
        }
        let is_settled = !matches!(result, None | Some(AcquireResult::RetryLater { .. }));
        self.outputs.push(DaemonControlOutput::Acquired {
            function,
            result,
            round_trip,
        });
        if is_settled {
            self.outputs.push(DaemonControlOutput::Changed);
        }
    }

    fn handle_revoke(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) {
        if let Some(held) = agent.held_under_lease(function, fencing_token) {
            self.remove(agent, function);
            self.close(agent, now, &held);
            self.report_orphaned_runners(&held);
        }
    }

    fn handle_drain(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: &FunctionKey,
        runner: RunnerId,
    ) {
        if agent.rules.enforces(Rule::DrainObeyed) {
            self.apply_if_held(agent, function, runner.fencing_token, |holder| {
                holder.drain_runner(now, runner)
            });
        }
    }

    fn begin_release(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) {
        if agent.rules.enforces(Rule::EvacuationObeyed) {
            self.log_event(events::HANDOVER_STARTED, function.to_string());
            self.apply_if_held(agent, function, fencing_token, |holder| {
                holder.begin_release(now)
            });
        }
    }
}
