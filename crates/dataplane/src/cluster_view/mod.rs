//! One daemon's view of the cluster: the leader, the spec, the live members, and the leases granted to the daemon.
//!
//! [`ClusterView`] combines the [control session](crate::control_session) and the
//! [failure detector](crate::failure_detector), interprets the leader's frames and sends requests to it. It performs
//! no I/O: its methods return [`ClusterViewOutput`]s that the caller carries out.
//!
//! * `leader_frames`: handling of the leader's frames.
//! * `leader_requests`: requests to the leader, and its responses.

mod leader_frames;
mod leader_requests;
mod outputs;

pub use outputs::{ClusterViewOutput, FunctionCommand};

use crate::control_session::{ControlSession, ControlSessionOutput};
use crate::failure_detector::{FailureDetector, FailureDetectorOutput};
use common::clock::MonotonicTime;
use common::frames::{Claim, DaemonToLeader, Heartbeat, Host, LeaderToDaemon, SocketAddress};
use common::identity::{CorrelationId, FencingToken, FunctionKey, Version};
use common::rules::Rules;
use common::spec::{DaemonView, RoutingTable};
use leader_requests::PendingAcquisition;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One daemon's knowledge of the cluster.
pub struct ClusterView {
    control_session: ControlSession,
    failure_detector: FailureDetector,
    view: Option<DaemonView>,
    table: Arc<RoutingTable>,
    alive_hosts: Vec<Host>,
    /// Requests for function leases without a final response from the leader.
    pending_acquisitions: BTreeMap<CorrelationId, PendingAcquisition>,
    /// Requests to reserve a runner, without a response from the leader: the function and the fencing token of its
    /// lease.
    pending_reservations: BTreeMap<CorrelationId, (FunctionKey, FencingToken)>,
    /// Requests up to this correlation id were sent before the session lease ended: a lease granted in response to them
    /// is void.
    void_through: CorrelationId,
    /// Leases that were released on this stream: the leader may grant them again before it has handled the release.
    released_leases: BTreeMap<FunctionKey, FencingToken>,
    is_leaving: bool,
    rules: Rules,
    outputs: Vec<ClusterViewOutput>,
}

impl ClusterView {
    /// Creates a view without a leader, a spec or members.
    pub fn new(control_session: ControlSession, own_host: Host) -> Self {
        Self {
            control_session,
            failure_detector: FailureDetector::new(own_host),
            view: None,
            table: Arc::new(RoutingTable::empty()),
            alive_hosts: Vec::new(),
            pending_acquisitions: BTreeMap::new(),
            pending_reservations: BTreeMap::new(),
            void_through: CorrelationId(0),
            released_leases: BTreeMap::new(),
            is_leaving: false,
            rules: Rules::ALL_ENFORCED,
            outputs: Vec::new(),
        }
    }

    /// Enforces only these rules, so that a test can show what a rule prevents.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Sets the heartbeat interval.
    pub fn with_heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.failure_detector = self
            .failure_detector
            .with_heartbeat_interval(heartbeat_interval);
        self
    }

    /// Returns when [`ClusterView::tick`] is due next.
    pub fn next_due(&self) -> MonotonicTime {
        self.control_session
            .next_due()
            .min(self.failure_detector.next_due())
    }

    /// Replaces the controllers' seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddress>) {
        self.control_session.set_seeds(seeds);
    }

    /// Returns when the session lease ends or ended; zero if none was granted.
    pub fn lease_end(&self) -> MonotonicTime {
        self.control_session.lease_end()
    }

    /// Returns the version of the installed spec.
    pub fn version(&self) -> Version {
        self.table.version()
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        self.control_session.is_welcomed()
    }

    fn take_outputs(&mut self) -> Vec<ClusterViewOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ClusterViewOutput> {
        let outputs = self.control_session.tick(now);
        self.apply_session_outputs(now, outputs);
        let detector_outputs = self.failure_detector.tick(now);
        self.apply_detector_outputs(detector_outputs);
        self.refresh_hosts(now);
        self.expire_late_acquisitions(now);
        self.take_outputs()
    }

    fn apply_detector_outputs(&mut self, outputs: Vec<FailureDetectorOutput>) {
        for output in outputs {
            let frame = match output {
                FailureDetectorOutput::HeartbeatDatagram(heartbeat, addresses) => {
                    self.outputs
                        .push(ClusterViewOutput::HeartbeatDatagram(heartbeat, addresses));
                    continue;
                }
                FailureDetectorOutput::MemberSuspected(incarnation) => {
                    DaemonToLeader::MemberSuspected { incarnation }
                }
                FailureDetectorOutput::MemberRecovered(incarnation) => {
                    DaemonToLeader::MemberRecovered { incarnation }
                }
            };
            if self.control_session.is_welcomed() {
                self.outputs.push(ClusterViewOutput::SendFrame(frame));
            }
        }
    }

    fn refresh_hosts(&mut self, now: MonotonicTime) {
        let alive_hosts = self.failure_detector.alive(now);
        if alive_hosts != self.alive_hosts {
            self.alive_hosts = alive_hosts;
            self.outputs
                .push(ClusterViewOutput::Hosts(self.alive_hosts.clone()));
        }
    }

    /// Handles the establishment of the dialed stream.
    pub fn handle_connected(&mut self, now: MonotonicTime) -> Vec<ClusterViewOutput> {
        let outputs = self.control_session.handle_connected(now);
        self.apply_session_outputs(now, outputs);
        self.take_outputs()
    }

    /// Handles the arrival of a part of a long frame from the leader.
    pub fn handle_frame_part(&mut self, now: MonotonicTime) {
        self.control_session.handle_frame_part(now);
    }

    /// Handles a stream that failed or was closed by the other side.
    pub fn handle_disconnected(&mut self, now: MonotonicTime) -> Vec<ClusterViewOutput> {
        let outputs = self.control_session.handle_disconnected(now);
        self.apply_session_outputs(now, outputs);
        self.take_outputs()
    }

    /// Handles a frame from the leader.
    pub fn handle_frame(
        &mut self,
        now: MonotonicTime,
        frame: LeaderToDaemon,
    ) -> Vec<ClusterViewOutput> {
        let outputs = self.control_session.handle_frame(now, frame);
        self.apply_session_outputs(now, outputs);
        self.take_outputs()
    }

    /// Handles a heartbeat. Returns false if its sender is not a listed member.
    pub fn handle_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> bool {
        self.failure_detector.handle_heartbeat(now, heartbeat)
    }

    /// Marks the daemon as leaving: it accepts no further leases.
    pub fn leave(&mut self, now: MonotonicTime) -> Vec<ClusterViewOutput> {
        self.is_leaving = true;
        let outputs = self.control_session.leave();
        self.apply_session_outputs(now, outputs);
        self.take_outputs()
    }

    /// Sends the claims of the held functions, if the leader has welcomed the stream.
    pub fn send_claims(&mut self, claims: Vec<Claim>) -> Vec<ClusterViewOutput> {
        if self.control_session.is_welcomed() {
            let frame = self.control_session.claims_frame(claims);
            self.outputs.push(ClusterViewOutput::SendFrame(frame));
        }
        self.take_outputs()
    }

    fn apply_session_outputs(&mut self, now: MonotonicTime, outputs: Vec<ControlSessionOutput>) {
        for output in outputs {
            match output {
                ControlSessionOutput::Dial(address) => {
                    self.outputs.push(ClusterViewOutput::Dial(address))
                }
                ControlSessionOutput::Hangup => self.outputs.push(ClusterViewOutput::Hangup),
                ControlSessionOutput::SendFrame(frame) => {
                    self.outputs.push(ClusterViewOutput::SendFrame(frame))
                }
                ControlSessionOutput::Welcomed => {
                    self.outputs
                        .push(ClusterViewOutput::Welcomed(self.control_session.term()));
                    for incarnation in self.failure_detector.locally_suspected() {
                        self.outputs.push(ClusterViewOutput::SendFrame(
                            DaemonToLeader::MemberSuspected { incarnation },
                        ));
                    }
                }
                ControlSessionOutput::Disconnected => {
                    self.pending_acquisitions.clear();
                    self.released_leases.clear();
                    let lost_reservations = std::mem::take(&mut self.pending_reservations)
                        .into_values()
                        .collect();
                    self.outputs
                        .push(ClusterViewOutput::StreamLost(lost_reservations));
                }
                ControlSessionOutput::GrantedUntil(lease_end) => {
                    self.outputs.push(ClusterViewOutput::ServeUntil(lease_end));
                }
                ControlSessionOutput::LeaseEnded => {
                    self.void_pending_acquisitions(now);
                    self.outputs.push(ClusterViewOutput::CloseAll);
                }
                ControlSessionOutput::Frame(frame) => self.handle_session_frame(now, frame),
            }
        }
    }
}
