//! What the leader says on the stream: specs, lists of daemons, answers, orders about functions.

use super::{ClusterView, ClusterViewOutput};
use common::clock::MonotonicTime;
use common::frames::{DaemonToLeader, LeaderToDaemon, decompress};
use common::identity::Version;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::{DaemonView, DocumentError, RoutingTable};
use std::sync::Arc;

impl ClusterView {
    pub(super) fn handle_frame(&mut self, now: MonotonicTime, frame: LeaderToDaemon) {
        match frame {
            LeaderToDaemon::Spec { version, document } => {
                let text = decompress(&document).unwrap_or_default();
                self.install(now, version, DaemonView::from_bytes(&text));
            }
            LeaderToDaemon::Change {
                base,
                version,
                patch,
                digest,
            } => match &self.view {
                Some(view) if view.version == base => {
                    match view.apply_delta(&decompress(&patch).unwrap_or_default(), &digest.0) {
                        Ok(changed_view) => self.install(now, version, Ok(changed_view)),
                        Err(_) => self.outputs.push(ClusterViewOutput::SendFrame(
                            DaemonToLeader::FullSpecRequest,
                        )),
                    }
                }
                Some(view) if view.version >= version => {}
                _ => self.outputs.push(ClusterViewOutput::SendFrame(
                    DaemonToLeader::FullSpecRequest,
                )),
            },
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
                if is_applied {
                    self.refresh_hosts(now);
                } else {
                    self.outputs.push(ClusterViewOutput::SendFrame(
                        DaemonToLeader::FullHostListRequest,
                    ));
                }
            }
            LeaderToDaemon::Acquired {
                correlation,
                function,
                result,
            } => {
                self.acquired(now, correlation, function, result);
            }
            LeaderToDaemon::Reserved {
                correlation,
                function,
                result,
            } => {
                self.reserved(correlation, function, result);
            }
            LeaderToDaemon::Revoke {
                function,
                fencing_token,
            } => {
                self.outputs
                    .push(ClusterViewOutput::Revoke(function, fencing_token));
            }
            LeaderToDaemon::Drain { function, runner } => {
                self.outputs
                    .push(ClusterViewOutput::Drain(function, runner));
            }
            LeaderToDaemon::RunnerUnlisted { function, runner } => {
                self.outputs
                    .push(ClusterViewOutput::RunnerUnlisted(function, runner));
            }
            LeaderToDaemon::HandOver {
                function,
                fencing_token,
            } => {
                self.outputs
                    .push(ClusterViewOutput::HandOver(function, fencing_token));
            }
            LeaderToDaemon::ReclaimIdle {
                function,
                fencing_token,
            } => {
                self.outputs
                    .push(ClusterViewOutput::ReclaimIdle(function, fencing_token));
            }
            LeaderToDaemon::ReplicaAssigned {
                function,
                fencing_token,
                replica,
            } => {
                let new_replica = replica.0.into_iter().next();
                self.outputs.push(ClusterViewOutput::ReplicaAssigned(
                    function,
                    fencing_token,
                    new_replica,
                ));
            }
            LeaderToDaemon::Redirect { .. }
            | LeaderToDaemon::Welcome { .. }
            | LeaderToDaemon::Renewed { .. } => {}
        }
    }

    fn install(
        &mut self,
        now: MonotonicTime,
        version: Version,
        parsed_view: Result<DaemonView, DocumentError>,
    ) {
        let is_older = self
            .view
            .as_ref()
            .is_some_and(|view| view.version >= version);
        if is_older && self.rules.enforces(Rule::VersionNeverDecreases) {
            return;
        }
        let installed = self.view.as_ref().map(|view| view.version);
        let is_newer = installed.is_none_or(|installed| installed <= version);
        require(self.rules, Invariant::SpecNeverOlder, is_newer, || {
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
                let outputs = self.control_session.installed(version, &voters);
                self.apply_session_outputs(now, outputs);
            }
            Err(error) => self
                .outputs
                .push(ClusterViewOutput::InstallFailed(version, error)),
        }
    }
}
