//! Dispatches frames from members to their handlers.

use super::acquisitions::PendingAcquisition;
use super::members::{IncarnationHistory, MemberHello};
use super::{LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::frames::DaemonToLeader;

impl LeaderState {
    /// Handles a frame from a member.
    pub fn handle_frame(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        self.acquisitions.check_due = true;
        self.note_frame_received(now, stream);
        self.dispatch(now, stream, frame);
    }

    /// Calls the handler for a frame. The match is exhaustive, so that a kind of frame without a handler does not
    /// compile.
    fn dispatch(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        match frame {
            DaemonToLeader::Hello {
                host,
                ingress,
                version,
                age_ms,
                granted,
            } => {
                let hello = MemberHello {
                    host,
                    ingress,
                    version,
                    history: IncarnationHistory::new(now, age_ms, granted),
                };
                self.handle_hello(now, stream, hello);
            }
            DaemonToLeader::Claims { claims } => self.handle_claims(now, stream, claims.0),
            DaemonToLeader::Renew {
                correlation,
                version,
            } => self.handle_renew(now, stream, correlation, version),
            DaemonToLeader::Leaving => self.handle_leaving(now, stream),
            DaemonToLeader::Installed { version } => self.handle_installed(stream, version),
            DaemonToLeader::FullSpecRequest => self.push_full_document(stream),
            DaemonToLeader::Acquire {
                correlation,
                function,
            } => {
                let acquisition = PendingAcquisition::new(now, stream, correlation, function);
                self.acquisitions.add(acquisition);
            }
            DaemonToLeader::Release {
                function,
                fencing_token,
                runners,
            } => self.handle_release(now, stream, function, fencing_token, runners),
            DaemonToLeader::Rejections {
                function,
                count,
                reason,
            } => self.handle_rejections(stream, function, count, reason),
            DaemonToLeader::Idle { functions } => self.handle_idle(now, stream, functions.0),
            DaemonToLeader::ReplicaLost {
                function,
                fencing_token,
                lost,
            } => self.handle_replica_lost(now, stream, function, fencing_token, &lost),
            DaemonToLeader::ReplicaComplete {
                function,
                fencing_token,
                replica,
            } => self.handle_replica_complete(stream, &function, fencing_token, &replica),
            DaemonToLeader::Reserve {
                correlation,
                function,
                fencing_token,
            } => self.handle_reserve(now, stream, correlation, function, fencing_token),
            DaemonToLeader::RunnerUpdate {
                function,
                runner,
                runner_status,
            } => self.handle_runner_status(now, &function, runner, runner_status),
            DaemonToLeader::MemberSuspected { incarnation } => {
                self.handle_suspicion(stream, incarnation);
            }
            DaemonToLeader::MemberRecovered { incarnation } => {
                self.handle_suspicion_cleared(&incarnation);
            }
            DaemonToLeader::FullHostListRequest => self.handle_full_hosts_request(stream),
        }
    }
}
