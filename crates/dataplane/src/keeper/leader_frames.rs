//! What the leader says on the stream: specs, lists of daemons, answers, orders about functions.

use super::{Keeper, KeeperOrder};
use common::clock::Moment;
use common::frames::{StreamDown, StreamUp, unpack};
use common::identity::Serial;
use common::invariants::{Invariant, require};
use common::rules::Rule;
use common::spec::{DocumentFault, Table, View};
use std::sync::Arc;

impl Keeper {
    pub(super) fn hear(&mut self, now: Moment, frame: StreamDown) {
        match frame {
            StreamDown::Spec { serial, document } => {
                let text = unpack(&document).unwrap_or_default();
                self.install(now, serial, View::from_bytes(&text));
            }
            StreamDown::Change { base, serial, patch, digest } => match &self.view {
                Some(view) if view.serial == base => {
                    match view.changed(&unpack(&patch).unwrap_or_default(), &digest.0) {
                        Ok(changed_view) => self.install(now, serial, Ok(changed_view)),
                        Err(_) => self.orders.push(KeeperOrder::Say(StreamUp::Whole)),
                    }
                }
                Some(view) if view.serial >= serial => {}
                _ => self.orders.push(KeeperOrder::Say(StreamUp::Whole)),
            },
            StreamDown::Hosts { number, hosts, silent } => {
                self.watch.listed(now, number, hosts.0, silent.0);
                self.look_at_hosts(now);
            }
            StreamDown::HostsChanged { number, put, removed, silent } => {
                let fits = self.watch.list_changed(now, number, put.0, removed.0, silent.0);
                if fits {
                    self.look_at_hosts(now);
                } else {
                    self.orders.push(KeeperOrder::Say(StreamUp::WholeHosts));
                }
            }
            StreamDown::Acquired { correlation, function, result } => {
                self.acquired(now, correlation, function, result);
            }
            StreamDown::Reserved { correlation, function, result } => {
                self.reserved(correlation, function, result);
            }
            StreamDown::Revoke { function, grant } => {
                self.orders.push(KeeperOrder::Revoke(function, grant));
            }
            StreamDown::Drain { function, runner } => {
                self.orders.push(KeeperOrder::Drain(function, runner));
            }
            StreamDown::Vanished { function, runner } => {
                self.orders.push(KeeperOrder::Vanished(function, runner));
            }
            StreamDown::HandOver { function, grant } => {
                self.orders.push(KeeperOrder::HandOver(function, grant));
            }
            StreamDown::GiveWay { function, grant } => {
                self.orders.push(KeeperOrder::GiveWay(function, grant));
            }
            StreamDown::Steward { function, grant, steward } => {
                let named = steward.0.into_iter().next();
                self.orders.push(KeeperOrder::Steward(function, grant, named));
            }
            StreamDown::Elsewhere { .. }
            | StreamDown::Welcome { .. }
            | StreamDown::Renewed { .. } => {}
        }
    }

    fn install(&mut self, now: Moment, serial: Serial, read_view: Result<View, DocumentFault>) {
        let is_older = self.view.as_ref().is_some_and(|view| view.serial >= serial);
        if is_older && self.rules.keep(Rule::SerialOnlyUp) {
            return;
        }
        let installed = self.view.as_ref().map(|view| view.serial);
        let is_newer = installed.is_none_or(|installed| installed <= serial);
        require(self.rules, Invariant::SpecNeverOlder, is_newer, || {
            format!("{serial} is installed over {installed:?}")
        });
        match read_view
            .and_then(|view| Table::build_after(&self.table, &view).map(|table| (view, table)))
        {
            Ok((view, table)) => {
                self.table = Arc::new(table);
                let core = view.core.clone();
                self.view = Some(view);
                self.orders.push(KeeperOrder::Install(self.table.clone()));
                let outputs = self.liaison.installed(serial, &core);
                self.obey(now, outputs);
            }
            Err(fault) => self.orders.push(KeeperOrder::InstallFailed(serial, fault)),
        }
    }
}
