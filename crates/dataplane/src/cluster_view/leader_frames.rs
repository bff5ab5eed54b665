//! Handles the leader's frames: specs, host lists, responses to requests, and commands for held functions.

use super::{ClusterView, ClusterViewOutput, FunctionCommand};
use common::clock::MonotonicTime;
use common::frames::{ByteString, DaemonToLeader, LeaderToDaemon, decompress};
use common::identity::Version;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::{DaemonView, DocumentError, RoutingTable};
use std::sync::Arc;

impl ClusterView {
    pub(super) fn handle_session_frame(&mut self, now: MonotonicTime, frame: LeaderToDaemon) {
        match frame {
            LeaderToDaemon::Spec { version, document } => {
                // Text that cannot be decompressed is reported as a document that cannot be parsed.
                let text = decompress(&document).unwrap_or_default();
                self.install(now, version, DaemonView::from_bytes(&text));
            }
            LeaderToDaemon::SpecDelta {
                base,
                version,
                delta,
                digest,
            } => self.apply_spec_delta(now, base, version, &delta, &digest),
            LeaderToDaemon::Hosts {
                number,
                hosts,
                suspected,
            } => {
                self.failure_detector
                    .set_host_list(now, number, hosts.0, suspected.0);
                self.refresh_hosts(now);
            }
            LeaderToDaemon::HostsDelta {
                number,
                put,
                removed,
                suspected,
            } => {
                let is_applied = self.failure_detector.update_host_list(
                    now,
                    number,
                    put.0,
                    removed.0,
                    suspected.0,
                );
                self.handle_host_delta_result(now, is_applied);
            }
            LeaderToDaemon::Acquired {
                correlation,
                function,
                result,
            } => self.handle_acquire_result(now, correlation, function, result),
            LeaderToDaemon::Reserved {
                correlation,
                function,
                result,
            } => self.handle_reserve_result(correlation, function, result),
            command => self.outputs.extend(function_command(command)),
        }
    }

    /// Applies a delta to the installed spec; requests the complete spec if the delta does not apply to it.
    fn apply_spec_delta(
        &mut self,
        now: MonotonicTime,
        base: Version,
        version: Version,
        delta: &ByteString,
        digest: &ByteString,
    ) {
        let changed_view = match &self.view {
            Some(view) if view.version == base => {
                view.apply_delta(&decompress(delta).unwrap_or_default(), &digest.0)
            }
            Some(view) if view.version >= version => return,
            _ => return self.request_full_spec(),
        };
        match changed_view {
            Ok(changed_view) => self.install(now, version, Ok(changed_view)),
            Err(_) => self.request_full_spec(),
        }
    }

    fn request_full_spec(&mut self) {
        self.outputs.push(ClusterViewOutput::SendFrame(
            DaemonToLeader::FullSpecRequest,
        ));
    }

    /// Refreshes the live hosts after a delta of the host list was applied; requests the complete list if it was not.
    fn handle_host_delta_result(&mut self, now: MonotonicTime, is_applied: bool) {
        if is_applied {
            self.refresh_hosts(now);
        } else {
            self.outputs.push(ClusterViewOutput::SendFrame(
                DaemonToLeader::FullHostListRequest,
            ));
        }
    }

    /// Builds the routing table of a spec and reports it for installation, unless this version or a newer one is
    /// already installed.
    fn install(
        &mut self,
        now: MonotonicTime,
        version: Version,
        parsed_view: Result<DaemonView, DocumentError>,
    ) {
        let is_already_installed = self
            .view
            .as_ref()
            .is_some_and(|view| view.version >= version);
        if is_already_installed && self.rules.enforces(Rule::VersionNeverDecreases) {
            return;
        }
        let installed = self.view.as_ref().map(|view| view.version);
        let is_not_older = installed.is_none_or(|installed| installed <= version);
        require(self.rules, Invariant::SpecNeverOlder, is_not_older, || {
            format!("{version} is installed over {installed:?}")
        });
        match parsed_view.and_then(|view| {
            RoutingTable::build_after(&self.table, &view).map(|table| (view, table))
        }) {
            Ok((view, table)) => {
                self.table = Arc::new(table);
                let voters = view.voters.clone();
                self.view = Some(view);
                self.outputs
                    .push(ClusterViewOutput::Install(self.table.clone()));
                let outputs = self.control_session.record_installed(version, &voters);
                self.apply_session_outputs(now, outputs);
            }
            Err(error) => self
                .outputs
                .push(ClusterViewOutput::InstallFailed(version, error)),
        }
    }
}

/// Returns the command for a held function in a frame from the leader; `None` for any other frame.
fn function_command(frame: LeaderToDaemon) -> Option<ClusterViewOutput> {
    let (function, command) = match frame {
        LeaderToDaemon::Revoke {
            function,
            fencing_token,
        } => (function, FunctionCommand::Revoke(fencing_token)),
        LeaderToDaemon::Drain { function, runner } => (function, FunctionCommand::Drain(runner)),
        LeaderToDaemon::RunnerUnlisted { function, runner } => {
            (function, FunctionCommand::RunnerUnlisted(runner))
        }
        LeaderToDaemon::HandOver {
            function,
            fencing_token,
        } => (function, FunctionCommand::HandOver(fencing_token)),
        LeaderToDaemon::ReclaimIdle {
            function,
            fencing_token,
        } => (function, FunctionCommand::ReclaimIdle(fencing_token)),
        LeaderToDaemon::ReplicaAssigned {
            function,
            fencing_token,
            replica,
        } => {
            let new_replica = replica.0.into_iter().next();
            (
                function,
                FunctionCommand::ReplicaAssigned(fencing_token, new_replica),
            )
        }
        LeaderToDaemon::Redirect { .. }
        | LeaderToDaemon::Welcome { .. }
        | LeaderToDaemon::Renewed { .. }
        | LeaderToDaemon::Spec { .. }
        | LeaderToDaemon::SpecDelta { .. }
        | LeaderToDaemon::Hosts { .. }
        | LeaderToDaemon::HostsDelta { .. }
        | LeaderToDaemon::Acquired { .. }
        | LeaderToDaemon::Reserved { .. } => return None,
    };
    Some(ClusterViewOutput::Command(function, command))
}
