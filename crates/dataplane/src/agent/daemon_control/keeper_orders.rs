//! Carries out in the agent what the keeper orders.

use super::{Agent, DaemonControl, DaemonOrder};
use crate::keeper::KeeperOrder;
use common::clock::Moment;
use common::events;
use common::frames::AcquireResult;
use common::identity::{FunctionKey, GrantSerial, RunnerId, Term};
use common::rules::Rule;
use std::sync::Arc;
use std::time::Duration;

impl<W> DaemonControl<W> {
    pub(super) fn obey(&mut self, agent: &Agent<W>, now: Moment, keeper_orders: Vec<KeeperOrder>) {
        for order in keeper_orders {
            self.obey_one(agent, now, order);
        }
    }

    fn obey_one(&mut self, agent: &Agent<W>, now: Moment, order: KeeperOrder) {
        match order {
            KeeperOrder::Dial(place) => self.orders.push(DaemonOrder::Dial(place)),
            KeeperOrder::Hangup => self.orders.push(DaemonOrder::Hangup),
            KeeperOrder::Say(frame) => self.say(frame),
            KeeperOrder::Beat(heartbeat, places) => {
                self.orders.push(DaemonOrder::Beat(heartbeat, places));
            }
            KeeperOrder::Welcomed(term) => self.welcomed(agent, now, term),
            KeeperOrder::StreamLost(lost_reserves) => self.stream_lost(agent, now, lost_reserves),
            KeeperOrder::ServeUntil(grant_end) => self.serve_until(agent, now, grant_end),
            KeeperOrder::GiveUpAll => self.give_up_all(agent, now),
            KeeperOrder::Install(table) => self.install(agent, now, table),
            KeeperOrder::InstallFailed(serial, fault) => {
                self.tell(events::SPEC_FAILED, format!("serial {serial}: {fault}"));
            }
            KeeperOrder::Hosts(alive_hosts) => {
                agent.hosts.store(Arc::new(alive_hosts));
                self.warm_changed(now);
                self.orders.push(DaemonOrder::Changed);
            }
            KeeperOrder::Grant(terms) => self.granted(agent, now, terms),
            KeeperOrder::GiveWay(function, grant) => {
                self.apply_known(agent, &function, grant, |holder| holder.give_way(now));
            }
            KeeperOrder::Steward(function, grant, steward) => {
                self.apply_known(agent, &function, grant, |holder| {
                    holder.steward_named(now, steward)
                });
            }
            KeeperOrder::Acquired { function, result, round_trip } => {
                self.acquired(agent, function, result, round_trip);
            }
            KeeperOrder::Reserved { function, grant, result } => {
                self.reserved(agent, now, function, grant, &result);
            }
            KeeperOrder::Revoke(function, grant) => self.revoked(agent, now, &function, grant),
            KeeperOrder::Vanished(function, runner) => {
                self.apply_known(agent, &function, runner.grant, |holder| {
                    holder.vanished(now, runner)
                });
            }
            KeeperOrder::Drain(function, runner) => self.drain(agent, now, &function, runner),
            KeeperOrder::HandOver(function, grant) => self.hand_over(agent, now, &function, grant),
        }
    }

    fn welcomed(&mut self, agent: &Agent<W>, now: Moment, term: Term) {
        agent.set_led(true);
        self.tell(events::STREAM_OPEN, format!("leader of term {term}"));
        self.send_claims(agent, now);
        self.orders.push(DaemonOrder::Changed);
    }

    fn stream_lost(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        lost_reserves: Vec<(FunctionKey, GrantSerial)>,
    ) {
        agent.set_led(false);
        self.tell(events::STREAM_LOST, String::new());
        self.orders.push(DaemonOrder::AcquiresLost);
        for (function, grant) in lost_reserves {
            if let Some(held) = agent.held(&function, grant) {
                held.with(|holder| holder.reserve_lost(now));
            }
        }
    }

    fn serve_until(&mut self, agent: &Agent<W>, now: Moment, grant_end: Moment) {
        if !agent.is_serving(now) {
            self.warm_changed(now);
            self.tell(events::SERVING, format!("serial {}", self.keeper.serial()));
            self.orders.push(DaemonOrder::Changed);
        }
        agent.serving_until.set(grant_end);
    }

    fn acquired(
        &mut self,
        agent: &Agent<W>,
        function: FunctionKey,
        result: Option<AcquireResult>,
        round_trip: Duration,
    ) {
        if let Some(AcquireResult::Owner { host }) = &result {
            agent.learn_owner(&function, host);
        }
        let is_final = !matches!(result, None | Some(AcquireResult::Later { .. }));
        self.orders.push(DaemonOrder::Acquired(function, result, round_trip));
        if is_final {
            self.orders.push(DaemonOrder::Changed);
        }
    }

    fn revoked(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
    ) {
        if let Some(held) = agent.held(function, grant) {
            self.remove(agent, function);
            self.close(agent, now, &held);
            self.say_left(&held);
        }
    }

    fn drain(&mut self, agent: &Agent<W>, now: Moment, function: &FunctionKey, runner: RunnerId) {
        if agent.rules.keep(Rule::DrainObeyed) {
            self.apply_known(agent, function, runner.grant, |holder| holder.drain(now, runner));
        }
    }

    fn hand_over(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
    ) {
        if agent.rules.keep(Rule::EvacuationObeyed) {
            self.tell(events::HANDING_OVER, function.to_string());
            self.apply_known(agent, function, grant, |holder| holder.hand_over(now));
        }
    }
}
