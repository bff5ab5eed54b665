//! The dispatch of frames from members.

use super::acquisitions::PendingAcquisition;
use super::members::{IncarnationHistory, MemberHello};
use super::{LeaderState, StreamId};
use common::clock::MonotonicTime;
use common::frames::DaemonToLeader;

impl LeaderState {
    /// Handles a frame from a member.
    pub fn receive(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        self.acquisitions.check_due = true;
        self.note_frame_received(now, stream);
        self.dispatch(now, stream, frame);
    }

    /// Hands a frame to the handlers of its concern. Each step but the last returns a frame that does not
    /// concern it, and the last step is exhaustive: a new kind of frame does not compile without a handler.
    fn dispatch(&mut self, now: MonotonicTime, stream: StreamId, frame: DaemonToLeader) {
        let Some(frame) = self.dispatch_session(now, stream, frame) else {
            return;
        };
        let Some(frame) = self.dispatch_configuration(stream, frame) else {
            return;
        };
        let Some(frame) = self.dispatch_function_lease(now, stream, frame) else {
            return;
        };
        let Some(frame) = self.dispatch_ledger_replica(now, stream, frame) else {
            return;
        };
        let Some(frame) = self.dispatch_runner(now, stream, frame) else {
            return;
        };
        self.dispatch_host_list(stream, frame);
    }

    /// A member's session with the leader: its begin, its lease and its end.
    fn dispatch_session(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        frame: DaemonToLeader,
    ) -> Option<DaemonToLeader> {
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
            other => return Some(other),
        }
        None
    }

    /// The configuration that a member has installed, or lacks.
    fn dispatch_configuration(
        &mut self,
        stream: StreamId,
        frame: DaemonToLeader,
    ) -> Option<DaemonToLeader> {
        match frame {
            DaemonToLeader::Installed { version } => self.handle_installed(stream, version),
            DaemonToLeader::FullSpecRequest => self.push_full_document(stream),
            other => return Some(other),
        }
        None
    }

    /// Function leases: wanted, given back, or without work.
    fn dispatch_function_lease(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        frame: DaemonToLeader,
    ) -> Option<DaemonToLeader> {
        match frame {
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
            other => return Some(other),
        }
        None
    }

    /// The replicas of holders' ledgers.
    fn dispatch_ledger_replica(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        frame: DaemonToLeader,
    ) -> Option<DaemonToLeader> {
        match frame {
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
            other => return Some(other),
        }
        None
    }

    /// The runners of a holder, and the memory for them.
    fn dispatch_runner(
        &mut self,
        now: MonotonicTime,
        stream: StreamId,
        frame: DaemonToLeader,
    ) -> Option<DaemonToLeader> {
        match frame {
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
            other => return Some(other),
        }
        None
    }

    /// Suspicions of other members, and the list of hosts. The other frames have been handled by now; they are
    /// listed so that the match stays exhaustive.
    fn dispatch_host_list(&mut self, stream: StreamId, frame: DaemonToLeader) {
        match frame {
            DaemonToLeader::MemberSuspected { incarnation } => {
                self.handle_suspicion(stream, incarnation);
            }
            DaemonToLeader::MemberRecovered { incarnation } => {
                self.handle_suspicion_cleared(&incarnation);
            }
            DaemonToLeader::FullHostListRequest => self.handle_full_hosts_request(stream),
            DaemonToLeader::Hello { .. }
            | DaemonToLeader::Claims { .. }
            | DaemonToLeader::Renew { .. }
            | DaemonToLeader::Leaving
            | DaemonToLeader::Installed { .. }
            | DaemonToLeader::FullSpecRequest
            | DaemonToLeader::Acquire { .. }
            | DaemonToLeader::Release { .. }
            | DaemonToLeader::Rejections { .. }
            | DaemonToLeader::Idle { .. }
            | DaemonToLeader::ReplicaLost { .. }
            | DaemonToLeader::ReplicaComplete { .. }
            | DaemonToLeader::Reserve { .. }
            | DaemonToLeader::RunnerUpdate { .. } => {}
        }
    }
}
