//! The functions that a daemon holds: granted, claimed again, given up, closed.

use super::{Agent, DaemonControl, DaemonOrder, Held};
use crate::holder::{GrantTerms, Holder, HolderOutput};
use common::clock::Moment;
use common::events;
use common::frames::{Many, ReserveResult, RunnerNews, StreamUp};
use common::identity::{FunctionKey, GrantSerial};
use common::rules::Rule;
use common::spec::Table;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};

impl<W> DaemonControl<W> {
    pub(super) fn apply(
        &mut self,
        held: &Arc<Held<W>>,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        let outputs = held.with(change);
        if !outputs.is_empty() {
            self.orders.push(DaemonOrder::Holder(held.clone(), outputs));
        }
    }

    pub(super) fn apply_known(
        &mut self,
        agent: &Agent<W>,
        function: &FunctionKey,
        grant: GrantSerial,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        if let Some(held) = agent.held(function, grant) {
            self.apply(&held, change);
        }
    }

    pub(super) fn send_claims(&mut self, agent: &Agent<W>, now: Moment) {
        let holdings = agent.holdings.load_full();
        let closing: Vec<Arc<Held<W>>> =
            agent.closing.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if self.keeper.is_welcomed() {
            for held in &closing {
                held.with(|holder| holder.left_told());
            }
        }
        let claims = holdings
            .values()
            .chain(&closing)
            .map(|held| held.with(|holder| holder.claim()))
            .collect();
        let keeper_orders = self.keeper.claims(claims);
        self.obey(agent, now, keeper_orders);
    }

    pub(super) fn give_up_all(&mut self, agent: &Agent<W>, now: Moment) {
        if !agent.rules.keep(Rule::MemberGrant) {
            return;
        }
        let given_up = agent.holdings.swap(Arc::new(BTreeMap::new()));
        self.tell(events::GRANT_ENDED, format!("{} functions given up", given_up.len()));
        self.orders.push(DaemonOrder::GrantEnded);
        for held in given_up.values() {
            self.close(agent, now, held);
        }
        agent.owners.store(Arc::new(BTreeMap::new()));
        self.send_claims(agent, now);
        self.orders.push(DaemonOrder::Changed);
    }

    pub(super) fn install(&mut self, agent: &Agent<W>, now: Moment, table: Arc<Table>) {
        agent.table.store(table.clone());
        self.warm_changed(now);
        let detail = format!("serial {}, {} routes", table.serial(), table.route_count());
        self.tell(events::SPEC_INSTALLED, detail);
        self.orders.push(DaemonOrder::Installed(table.serial()));
        for held in agent.holdings.load_full().values() {
            match table.function_of(&held.function) {
                Some(entry) => {
                    let newest_spec = (*entry.spec).clone();
                    let index = table.index_of(&held.function);
                    let is_warm = !held.function.is_regional()
                        && index.is_some_and(|index| table.is_warm(index));
                    held.with(|holder| {
                        holder.respec(newest_spec);
                        holder.set_warm(is_warm);
                    });
                }
                None => self.apply(held, |holder| holder.hand_over(now)),
            }
        }
        self.orders.push(DaemonOrder::Changed);
    }

    pub(super) fn granted(&mut self, agent: &Agent<W>, now: Moment, terms: GrantTerms) {
        let (function, grant) = (terms.function.clone(), terms.grant);
        let held_grant = agent.holdings.load().get(&function).map(|held| held.grant);
        if held_grant >= Some(grant) {
            return;
        }
        let mut holder =
            Holder::new(now, terms).with_rules(agent.rules).with_tuning(now, agent.tuning);
        let table = agent.table.load();
        let index = table.index_of(&function).filter(|_| !function.is_regional());
        holder.set_warm(index.is_some_and(|index| table.is_warm(index)));
        let held = Arc::new(Held::new(holder));
        let displaced = agent.holdings.load().get(&function).cloned();
        agent.holdings.rcu(|holdings| {
            let mut changed_holdings = BTreeMap::clone(holdings);
            changed_holdings.insert(function.clone(), held.clone());
            changed_holdings
        });
        if let Some(displaced) = displaced {
            self.close(agent, now, &displaced);
            self.say_left(&displaced);
        }
        agent.learn_owner(&function, &agent.own_host);
        self.tell(events::GRANTED, format!("{function} under {grant}"));
        self.apply(&held, |holder| holder.begin(now));
        self.orders.push(DaemonOrder::Changed);
    }

    pub(super) fn reserved(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        function: FunctionKey,
        grant: GrantSerial,
        result: &ReserveResult,
    ) {
        match (agent.held(&function, grant), result) {
            (Some(held), _) => self.apply(&held, |holder| holder.reserved(now, result)),
            (None, ReserveResult::Reserved { runner, .. }) => {
                let news = RunnerNews::Gone;
                self.say(StreamUp::Runner { function, runner: *runner, news });
            }
            _ => {}
        }
    }

    /// Tells the leader what a function that was closed alone leaves behind.
    pub(super) fn say_left(&mut self, held: &Arc<Held<W>>) {
        if !self.keeper.is_welcomed() {
            return;
        }
        let runners = held.with(|holder| {
            holder.left_told();
            holder.left_runners()
        });
        let (function, grant) = (held.function.clone(), held.grant);
        self.say(StreamUp::Release { function, grant, runners: Many(runners) });
    }

    pub(super) fn close(&mut self, agent: &Agent<W>, now: Moment, held: &Arc<Held<W>>) {
        agent.closing.lock().unwrap_or_else(PoisonError::into_inner).push(held.clone());
        self.apply(held, |holder| holder.close(now));
    }

    pub(super) fn remove(&mut self, agent: &Agent<W>, function: &FunctionKey) {
        agent.holdings.rcu(|holdings| {
            let mut changed_holdings = BTreeMap::clone(holdings);
            changed_holdings.remove(function);
            changed_holdings
        });
        self.orders.push(DaemonOrder::Changed);
    }
}
