//! A daemon's client of the control plane. It passes stream events, the holders' messages and timer ticks to the
//! [cluster view](crate::cluster_view), and applies that view's outputs to the [`Agent`]. It performs no I/O: the
//! drivers carry out the [`DaemonControlOutput`]s.
//!
//! * `held_functions`: the life cycle of the held functions.
//! * `outputs`: the actions for the drivers.
//! * `view_outputs`: application of the cluster view's outputs.

mod held_functions;
mod outputs;
mod view_outputs;

pub use outputs::DaemonControlOutput;

use super::{Agent, HeldFunction, HeldFunctions};
use crate::cluster_view::ClusterView;
use crate::control_session::{ControlSession, ControlSessionTiming};
use crate::holder::HolderMessage;
use crate::owners::{WarmAcquirer, WarmContext};
use common::clock::MonotonicTime;
use common::events::{self, Event};
use common::frames::{
    DaemonToLeader, Heartbeat, IdleFunction, LeaderToDaemon, LengthPrefixed, SocketAddress,
};
use common::identity::{FencingToken, FunctionKey};
use common::rng::SeededRng;
use std::sync::Arc;
use std::time::Duration;

/// How long a function is without requests before it is reported to the leader as idle.
const IDLE_REPORT_AFTER: Duration = Duration::from_secs(3);
/// Interval between reports of idle functions and rejected requests.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Drives one daemon's cluster view, and applies its outputs to the daemon's agent.
pub struct DaemonControl<W> {
    cluster_view: ClusterView,
    report_at: MonotonicTime,
    warm_acquirer: Option<WarmAcquirer>,
    outputs: Vec<DaemonControlOutput<W>>,
}

impl<W> DaemonControl<W> {
    /// Creates the control plane client of a daemon that has just started.
    pub fn new(
        now: MonotonicTime,
        agent: &Agent<W>,
        timing: ControlSessionTiming,
        ingress: SocketAddress,
        seeds: Vec<SocketAddress>,
        rng: SeededRng,
    ) -> Self {
        let own_host = agent.own_host.clone();
        let control_session =
            ControlSession::new(now, timing, own_host.clone(), ingress, seeds, rng)
                .with_rules(agent.rules);
        let cluster_view = ClusterView::new(control_session, own_host).with_rules(agent.rules);
        Self {
            cluster_view,
            report_at: now,
            warm_acquirer: None,
            outputs: Vec::new(),
        }
    }

    /// Sets the heartbeat interval.
    pub fn with_heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.cluster_view = self
            .cluster_view
            .with_heartbeat_interval(heartbeat_interval);
        self
    }

    /// Enables the acquisition of warm functions before they are called.
    pub fn with_warm(mut self, now: MonotonicTime) -> Self {
        self.warm_acquirer = Some(WarmAcquirer::new(now));
        self
    }

    /// Returns when [`DaemonControl::tick`] is due next.
    pub fn next_due(&self, agent: &Agent<W>) -> MonotonicTime {
        let may_acquire = self.cluster_view.is_welcomed() && !agent.is_leaving();
        let warm_acquirer = self.warm_acquirer.as_ref().filter(|_| may_acquire);
        let warm_due = warm_acquirer.map_or(self.report_at, WarmAcquirer::next_due);
        let first_due = self
            .cluster_view
            .next_due()
            .min(self.report_at)
            .min(warm_due);
        let held_functions = agent.held_functions.load();
        let holders_due = held_functions
            .values()
            .filter_map(|held| held.with(|holder| holder.next_due()));
        holders_due.fold(first_due, MonotonicTime::min)
    }

    /// Returns when the control session or the failure detector is due next.
    pub fn stream_due(&self) -> MonotonicTime {
        self.cluster_view.next_due()
    }

    /// Requests the next warm function that needs a holder.
    fn acquire_warm_functions(&mut self, agent: &Agent<W>, now: MonotonicTime) {
        if !agent.is_serving(now) || agent.is_leaving() || !self.cluster_view.is_welcomed() {
            return;
        }
        let Some(warm_acquirer) = &mut self.warm_acquirer else {
            return;
        };
        let (table, hosts) = (agent.routing_table(), agent.live_hosts());
        let (owners, held_functions) = (agent.owners.load(), agent.held_functions.load());
        let regional = agent.regional_keys_wanted(now);
        let wanted = warm_acquirer.next(
            now,
            &WarmContext {
                table: &table,
                own_member: &agent.own_host.member,
                hosts: &hosts,
                regions: &agent.regional_keys.regions,
                regional_keys: &regional,
                owners: &owners,
                holds: &|function| held_functions.contains_key(function),
            },
        );
        if let Some(function) = wanted {
            let view_outputs = self.cluster_view.request_lease(now, function);
            self.apply_view_outputs(agent, now, view_outputs);
        }
    }

    /// Rechecks which warm functions need a holder, after a change of the state that determines it.
    pub fn recheck_warm_functions(&mut self, now: MonotonicTime) {
        if let Some(warm_acquirer) = &mut self.warm_acquirer {
            warm_acquirer.schedule_scan(now);
        }
    }

    /// Replaces the controllers' seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddress>) {
        self.cluster_view.set_seeds(seeds);
    }

    fn take_outputs(&mut self) -> Vec<DaemonControlOutput<W>> {
        std::mem::take(&mut self.outputs)
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, agent: &Agent<W>, now: MonotonicTime) -> Vec<DaemonControlOutput<W>> {
        let view_outputs = self.cluster_view.tick(now);
        self.apply_view_outputs(agent, now, view_outputs);
        for held in agent.held_functions().values() {
            self.apply(held, |holder| holder.tick(now));
        }
        let closing: Vec<Arc<HeldFunction<W>>> = {
            let mut closing = agent.lock_closing();
            closing.retain(|held| !held.with(|holder| holder.is_finished(now)));
            closing.clone()
        };
        for held in closing {
            self.apply(&held, |holder| holder.tick(now));
        }
        self.acquire_warm_functions(agent, now);
        if now >= self.report_at {
            self.report_at = now + REPORT_INTERVAL;
            self.report_load(agent, now);
            agent.expire_ledger_replica(now);
        }
        self.take_outputs()
    }

    /// Reports idle functions and rejected requests to the leader.
    fn report_load(&mut self, agent: &Agent<W>, now: MonotonicTime) {
        let mut idle_functions = Vec::new();
        for held in agent.held_functions().values() {
            let function = held.function.clone();
            let (idle_span, rejections) =
                held.with(|holder| (holder.idle_time(now), holder.take_rejections()));
            if let Some(idle_span) = idle_span.filter(|span| *span > IDLE_REPORT_AFTER) {
                let idle_ms = idle_span.as_millis().min(u128::from(u32::MAX)) as u32;
                idle_functions.push(IdleFunction {
                    function: function.clone(),
                    idle_ms,
                });
            }
            if let Some((count, reason)) = rejections {
                self.send_frame(DaemonToLeader::Rejections {
                    function,
                    count,
                    reason,
                });
            }
        }
        self.send_frame(DaemonToLeader::Idle {
            functions: LengthPrefixed(idle_functions),
        });
    }

    /// Handles the establishment of the dialed stream.
    pub fn handle_connected(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
    ) -> Vec<DaemonControlOutput<W>> {
        let view_outputs = self.cluster_view.handle_connected(now);
        self.apply_view_outputs(agent, now, view_outputs);
        self.take_outputs()
    }

    /// Handles the arrival of a part of a long frame from the leader.
    pub fn handle_frame_part(&mut self, now: MonotonicTime) {
        self.cluster_view.handle_frame_part(now);
    }

    /// Handles a stream that failed or was closed by the other side.
    pub fn handle_disconnected(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
    ) -> Vec<DaemonControlOutput<W>> {
        let view_outputs = self.cluster_view.handle_disconnected(now);
        self.apply_view_outputs(agent, now, view_outputs);
        self.take_outputs()
    }

    /// Handles a frame from the leader.
    pub fn handle_frame(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        frame: LeaderToDaemon,
    ) -> Vec<DaemonControlOutput<W>> {
        let view_outputs = self.cluster_view.handle_frame(now, frame);
        self.apply_view_outputs(agent, now, view_outputs);
        self.take_outputs()
    }

    /// Handles a heartbeat. Returns false if its sender is not a listed member.
    pub fn handle_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> bool {
        self.cluster_view.handle_heartbeat(now, heartbeat)
    }

    /// Requests a function's lease, or its current owner, from the leader.
    pub fn request_lease(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: FunctionKey,
    ) -> Vec<DaemonControlOutput<W>> {
        let view_outputs = self.cluster_view.request_lease(now, function);
        self.apply_view_outputs(agent, now, view_outputs);
        self.take_outputs()
    }

    /// Sends a holder's message to the leader.
    pub fn handle_holder_message(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: FunctionKey,
        fencing_token: FencingToken,
        message: HolderMessage,
    ) -> Vec<DaemonControlOutput<W>> {
        match message {
            HolderMessage::Reserve => {
                let view_outputs = self
                    .cluster_view
                    .request_reservation(function, fencing_token);
                self.apply_view_outputs(agent, now, view_outputs);
            }
            HolderMessage::RunnerStatus {
                runner,
                runner_status,
            } => {
                self.send_frame(DaemonToLeader::RunnerUpdate {
                    function,
                    runner,
                    runner_status,
                });
            }
            HolderMessage::ReplicaLost { lost } => {
                self.send_frame(DaemonToLeader::ReplicaLost {
                    function,
                    fencing_token,
                    lost,
                });
            }
            HolderMessage::ReplicaComplete { replica } => {
                self.send_frame(DaemonToLeader::ReplicaComplete {
                    function,
                    fencing_token,
                    replica,
                });
            }
            HolderMessage::Released { runners } => {
                if agent.held_under_lease(&function, fencing_token).is_some() {
                    self.remove(agent, &function);
                    self.send_release(function, fencing_token, runners);
                }
            }
        }
        self.take_outputs()
    }

    /// Starts a graceful shutdown: the daemon accepts no further functions, and finishes and releases those that it
    /// holds.
    pub fn leave(&mut self, agent: &Agent<W>, now: MonotonicTime) -> Vec<DaemonControlOutput<W>> {
        agent.begin_leaving();
        let view_outputs = self.cluster_view.leave(now);
        self.apply_view_outputs(agent, now, view_outputs);
        for held in agent.held_functions().values() {
            self.log_event(events::HANDOVER_STARTED, held.function.to_string());
            self.apply(held, |holder| holder.begin_release(now));
        }
        self.take_outputs()
    }

    /// Gives up the session lease before the process exits, and tells the leader not to wait for its end.
    pub fn finish_leaving(&mut self, agent: &Agent<W>) -> Vec<DaemonControlOutput<W>> {
        agent.set_session_lease_end(MonotonicTime::ZERO);
        self.send_frame(DaemonToLeader::Leaving);
        self.take_outputs()
    }

    fn send_frame(&mut self, frame: DaemonToLeader) {
        self.outputs.push(DaemonControlOutput::SendFrame(frame));
    }

    fn log_event(&mut self, event: Event, detail: String) {
        self.outputs
            .push(DaemonControlOutput::LogEvent(event, detail));
    }
}
