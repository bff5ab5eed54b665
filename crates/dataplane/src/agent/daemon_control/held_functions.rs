//! The life cycle of the functions that a daemon holds: grant, claim from a new leader, release and close.

use super::{Agent, DaemonControl, DaemonControlOutput, HeldFunction, HeldFunctions};
use crate::holder::{Holder, HolderOutput, LeaseTerms};
use common::clock::MonotonicTime;
use common::events;
use common::frames::{ClaimedRunner, DaemonToLeader, LengthPrefixed, ReserveResult, RunnerStatus};
use common::identity::{FencingToken, FunctionKey};
use common::rules::Rule;
use common::spec::RoutingTable;
use std::sync::Arc;

impl<W> DaemonControl<W> {
    /// Applies a change to a held function's holder, and queues the resulting outputs for the drivers.
    pub(super) fn apply(
        &mut self,
        held: &Arc<HeldFunction<W>>,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        let outputs = held.with(change);
        if !outputs.is_empty() {
            self.outputs
                .push(DaemonControlOutput::Holder(held.clone(), outputs));
        }
    }

    /// Applies a change to a holder if the function is held under this fencing token.
    pub(super) fn apply_if_held(
        &mut self,
        agent: &Agent<W>,
        function: &FunctionKey,
        fencing_token: FencingToken,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        if let Some(held) = agent.held_under_lease(function, fencing_token) {
            self.apply(&held, change);
        }
    }

    /// Claims all held functions from the leader, and reports the runners of those that are closing.
    pub(super) fn send_claims(&mut self, agent: &Agent<W>, now: MonotonicTime) {
        let held_functions = agent.held_functions();
        let closing = agent.lock_closing().clone();
        if self.cluster_view.is_welcomed() {
            for held in &closing {
                held.with(|holder| holder.record_orphans_reported());
            }
        }
        let claims = held_functions
            .values()
            .chain(&closing)
            .map(|held| held.with(|holder| holder.claim()))
            .collect();
        let view_outputs = self.cluster_view.send_claims(claims);
        self.apply_view_outputs(agent, now, view_outputs);
    }

    /// Closes every held function, after the session lease has ended.
    pub(super) fn close_all(&mut self, agent: &Agent<W>, now: MonotonicTime) {
        if !agent.rules.enforces(Rule::ServesUnderSessionLease) {
            return;
        }
        let closed = agent.replace_held_functions(HeldFunctions::new());
        self.log_event(
            events::SESSION_LEASE_ENDED,
            format!("{} functions given up", closed.len()),
        );
        self.outputs.push(DaemonControlOutput::LeaseEnded);
        for held in closed.values() {
            self.close(agent, now, held);
        }
        agent.owners.clear();
        self.send_claims(agent, now);
        self.outputs.push(DaemonControlOutput::Changed);
    }

    /// Installs a new routing table, and releases the functions that it no longer contains.
    pub(super) fn install(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        table: Arc<RoutingTable>,
    ) {
        agent.set_routing_table(table.clone());
        self.recheck_warm_functions(now);
        let detail = format!(
            "version {}, {} routes",
            table.version(),
            table.route_count()
        );
        self.log_event(events::SPEC_INSTALLED, detail);
        self.outputs
            .push(DaemonControlOutput::Installed(table.version()));
        for held in agent.held_functions().values() {
            match table.function_of(&held.function) {
                Some(entry) => {
                    let newest_spec = (*entry.spec).clone();
                    let index = table.index_of(&held.function);
                    let is_prewarmed = !held.function.is_regional()
                        && index.is_some_and(|index| table.is_prewarmed(index));
                    held.with(|holder| {
                        holder.update_spec(newest_spec);
                        holder.set_prewarmed(is_prewarmed);
                    });
                }
                None => self.apply(held, |holder| holder.begin_release(now)),
            }
        }
        self.outputs.push(DaemonControlOutput::Changed);
    }

    /// Starts holding a function whose lease was granted, unless it is already held under this lease or a newer one.
    pub(super) fn handle_lease_granted(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        terms: LeaseTerms,
    ) {
        let (function, fencing_token) = (terms.function.clone(), terms.fencing_token);
        let held_fencing_token = agent
            .held_function(&function)
            .map(|held| held.fencing_token);
        if held_fencing_token >= Some(fencing_token) {
            return;
        }
        let mut holder = Holder::new(now, terms)
            .with_rules(agent.rules)
            .with_tuning(now, agent.tuning);
        let table = agent.routing_table();
        let index = table
            .index_of(&function)
            .filter(|_| !function.is_regional());
        holder.set_prewarmed(index.is_some_and(|index| table.is_prewarmed(index)));
        let held = Arc::new(HeldFunction::new(holder));
        let displaced = agent.held_function(&function);
        agent.insert_held_function(&held);
        if let Some(displaced) = displaced {
            self.close(agent, now, &displaced);
            self.report_orphaned_runners(&displaced);
        }
        agent.cache_owner(&function, &agent.own_host);
        self.log_event(
            events::LEASE_GRANTED,
            format!("{function} under {fencing_token}"),
        );
        self.apply(&held, |holder| holder.start(now));
        self.outputs.push(DaemonControlOutput::Changed);
    }

    /// Passes the result of a reservation to the function's holder. If the function is no longer held, a reserved
    /// runner is returned to the leader.
    pub(super) fn handle_reserve_result(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        function: FunctionKey,
        fencing_token: FencingToken,
        result: &ReserveResult,
    ) {
        match (agent.held_under_lease(&function, fencing_token), result) {
            (Some(held), _) => {
                self.apply(&held, |holder| holder.handle_reserve_result(now, result))
            }
            (None, ReserveResult::Reserved { runner, .. }) => {
                let runner_status = RunnerStatus::Gone;
                self.send_frame(DaemonToLeader::RunnerUpdate {
                    function,
                    runner: *runner,
                    runner_status,
                });
            }
            _ => {}
        }
    }

    /// Releases a closed function's lease, and reports its orphaned runners, which are left running for the next
    /// holder.
    pub(super) fn report_orphaned_runners(&mut self, held: &Arc<HeldFunction<W>>) {
        if !self.cluster_view.is_welcomed() {
            return;
        }
        let runners = held.with(|holder| {
            holder.record_orphans_reported();
            holder.orphaned_runners()
        });
        self.send_release(held.function.clone(), held.fencing_token, runners);
    }

    /// Sends the release of a function's lease, with the runners that are left running for the next holder.
    pub(super) fn send_release(
        &mut self,
        function: FunctionKey,
        fencing_token: FencingToken,
        runners: Vec<ClaimedRunner>,
    ) {
        self.send_frame(DaemonToLeader::Release {
            function,
            fencing_token,
            runners: LengthPrefixed(runners),
        });
    }

    /// Closes a function that is no longer held, and keeps it in the list of closing functions until its holder is
    /// finished.
    pub(super) fn close(
        &mut self,
        agent: &Agent<W>,
        now: MonotonicTime,
        held: &Arc<HeldFunction<W>>,
    ) {
        agent.lock_closing().push(held.clone());
        self.apply(held, |holder| holder.close(now));
    }

    /// Removes a function from the held functions.
    pub(super) fn remove(&mut self, agent: &Agent<W>, function: &FunctionKey) {
        agent.remove_held_function(function);
        self.outputs.push(DaemonControlOutput::Changed);
    }
}
