use super::{Agent, Held};
use crate::holder::{GrantTerms, Holder, HolderOutput, HolderWord};
use crate::keeper::{Keeper, KeeperOrder};
use crate::liaison::{Liaison, LiaisonTiming};
use crate::owners::{WarmSeeker, WarmSight};
use common::chance::Chance;
use common::clock::Moment;
use common::events::{self, Event};
use common::frames::{
    AcquireResult, Heartbeat, IdleFunction, Many, Place, ReserveResult, RunnerNews, StreamDown,
    StreamUp,
};
use common::identity::{FunctionKey, GrantSerial, Serial};
use common::rules::Rule;
use common::spec::Table;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

const IDLE_FROM: Duration = Duration::from_secs(3);
const SAY_EVERY: Duration = Duration::from_secs(1);

/// What the controller orders; the agent is changed already.
pub enum DaemonOrder<W> {
    /// Open a stream there.
    Dial(Place),
    /// End the stream.
    Hangup,
    /// Say something on the stream, if it is open.
    Say(StreamUp),
    /// Send a heartbeat to these places.
    Beat(Heartbeat, Vec<Place>),
    /// Do what a holder orders.
    Holder(Arc<Held<W>>, Vec<HolderOutput>),
    /// Tell those who wait for an acquisition; none when it must be tried again.
    Acquired(FunctionKey, Option<AcquireResult>, Duration),
    /// Tell those who wait for acquisitions that the stream is lost.
    AcquiresLost,
    /// Something changed that a transaction may wait for.
    Changed,
    /// Write an event to the log.
    Tell(Event, String),
    /// A spec is in use.
    Installed(Serial),
    /// The member grant has ended.
    GrantEnded,
}

/// Feeds one daemon's keeper, and does in its agent what the keeper orders.
pub struct Controller<W> {
    keeper: Keeper,
    say_at: Moment,
    warm: Option<WarmSeeker>,
    orders: Vec<DaemonOrder<W>>,
}

impl<W> Controller<W> {
    /// The controller of a daemon that has just started.
    pub fn new(
        now: Moment,
        agent: &Agent<W>,
        timing: LiaisonTiming,
        door: Place,
        seeds: Vec<Place>,
        chance: Chance,
    ) -> Self {
        let own_host = agent.own_host.clone();
        let liaison = Liaison::new(now, timing, own_host.clone(), door, seeds, chance)
            .with_rules(agent.rules);
        let keeper = Keeper::new(liaison, own_host).with_rules(agent.rules);
        Self { keeper, say_at: now, warm: None, orders: Vec::new() }
    }

    /// The same with another pause between heartbeats.
    pub fn with_beat(mut self, beat_every: Duration) -> Self {
        self.keeper = self.keeper.with_beat(beat_every);
        self
    }

    /// The same, seeking owners for warm functions before they are called.
    pub fn with_warm(mut self, now: Moment) -> Self {
        self.warm = Some(WarmSeeker::new(now));
        self
    }

    /// When something is due, at the latest.
    pub fn next_due(&self, agent: &Agent<W>) -> Moment {
        let seeks = self.keeper.is_welcomed() && !agent.is_leaving();
        let warm = self.warm.as_ref().filter(|_| seeks);
        let warm_due = warm.map_or(self.say_at, WarmSeeker::next_due);
        let first_due = self.keeper.next_due().min(self.say_at).min(warm_due);
        let holdings = agent.holdings.load();
        let holders_due =
            holdings.values().filter_map(|held| held.with(|holder| holder.next_due()));
        holders_due.fold(first_due, Moment::min)
    }

    /// When the stream or a heartbeat is due.
    pub fn stream_due(&self) -> Moment {
        self.keeper.next_due()
    }

    /// Asks for warm functions that want an owner.
    fn seek_warm(&mut self, agent: &Agent<W>, now: Moment) {
        if !agent.is_serving(now) || agent.is_leaving() || !self.keeper.is_welcomed() {
            return;
        }
        let Some(warm) = &mut self.warm else { return };
        let (table, hosts) = (agent.table.load(), agent.hosts.load());
        let (owners, holdings) = (agent.owners.load(), agent.holdings.load());
        let wish = warm.next(
            now,
            &WarmSight {
                table: &table,
                own_member: &agent.own_host.member,
                hosts: &hosts,
                owners: &owners,
                holds: &|function| holdings.contains_key(function),
            },
        );
        if let Some(function) = wish {
            let keeper_orders = self.keeper.acquire(now, function);
            self.obey(agent, now, keeper_orders);
        }
    }

    fn warm_changed(&mut self, now: Moment) {
        if let Some(warm) = &mut self.warm {
            warm.changed(now);
        }
    }

    /// The seeds have changed.
    pub fn set_seeds(&mut self, seeds: Vec<Place>) {
        self.keeper.set_seeds(seeds);
    }

    fn done(&mut self) -> Vec<DaemonOrder<W>> {
        std::mem::take(&mut self.orders)
    }

    /// Lets time pass.
    pub fn tick(&mut self, agent: &Agent<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.tick(now);
        self.obey(agent, now, keeper_orders);
        for held in agent.holdings.load_full().values() {
            self.apply(held, |holder| holder.tick(now));
        }
        let closing: Vec<Arc<Held<W>>> = {
            let mut closing = agent.closing.lock().unwrap_or_else(PoisonError::into_inner);
            closing.retain(|held| !held.with(|holder| holder.is_over(now)));
            closing.clone()
        };
        for held in closing {
            self.apply(&held, |holder| holder.tick(now));
        }
        self.seek_warm(agent, now);
        if now >= self.say_at {
            self.say_at = now + SAY_EVERY;
            self.say_load(agent, now);
            agent.replica.lock().unwrap_or_else(PoisonError::into_inner).expire(now);
        }
        self.done()
    }

    fn say_load(&mut self, agent: &Agent<W>, now: Moment) {
        let mut idle_functions = Vec::new();
        for held in agent.holdings.load_full().values() {
            let function = held.function.clone();
            let (idle_span, sheds) = held.with(|holder| (holder.idle(now), holder.take_sheds()));
            if let Some(idle_span) = idle_span.filter(|span| *span > IDLE_FROM) {
                let idle_ms = idle_span.as_millis().min(u128::from(u32::MAX)) as u32;
                idle_functions.push(IdleFunction { function: function.clone(), idle_ms });
            }
            if let Some((count, reason)) = sheds {
                self.say(StreamUp::Sheds { function, count, reason });
            }
        }
        self.say(StreamUp::Idle { functions: Many(idle_functions) });
    }

    /// The dialed stream is open.
    pub fn connected(&mut self, agent: &Agent<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.connected(now);
        self.obey(agent, now, keeper_orders);
        self.done()
    }

    /// The stream failed or ended.
    pub fn disconnected(&mut self, agent: &Agent<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.disconnected(now);
        self.obey(agent, now, keeper_orders);
        self.done()
    }

    /// The leader says something.
    pub fn heard(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        frame: StreamDown,
    ) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.heard(now, frame);
        self.obey(agent, now, keeper_orders);
        self.done()
    }

    /// A heartbeat came in; false when it is a stranger's.
    pub fn beat(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        self.keeper.beat(now, heartbeat)
    }

    /// A transaction needs a function's owner.
    pub fn acquire(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        function: FunctionKey,
    ) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.acquire(now, function);
        self.obey(agent, now, keeper_orders);
        self.done()
    }

    /// A holder has something for the leader.
    pub fn told(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        function: FunctionKey,
        grant: GrantSerial,
        word: HolderWord,
    ) -> Vec<DaemonOrder<W>> {
        match word {
            HolderWord::Reserve => {
                let keeper_orders = self.keeper.reserve(function, grant);
                self.obey(agent, now, keeper_orders);
            }
            HolderWord::News { runner, news } => {
                self.say(StreamUp::Runner { function, runner, news });
            }
            HolderWord::StewardLost { lost } => {
                self.say(StreamUp::StewardLost { function, grant, lost });
            }
            HolderWord::StewardWhole { steward } => {
                self.say(StreamUp::StewardWhole { function, grant, steward });
            }
            HolderWord::Released { runners } => {
                if agent.held(&function, grant).is_some() {
                    self.remove(agent, &function);
                    self.say(StreamUp::Release { function, grant, runners: Many(runners) });
                }
            }
        }
        self.done()
    }

    /// The daemon is to stop in order: it takes on nothing, finishes what it holds, and gives it back.
    pub fn leave(&mut self, agent: &Agent<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        agent.begin_leaving();
        let keeper_orders = self.keeper.leave(now);
        self.obey(agent, now, keeper_orders);
        for held in agent.holdings.load_full().values() {
            self.tell(events::HANDING_OVER, held.function.to_string());
            self.apply(held, |holder| holder.hand_over(now));
        }
        self.done()
    }

    /// The daemon is gone in a moment: it serves no more, and the leader need not wait for its grant.
    pub fn left(&mut self, agent: &Agent<W>) -> Vec<DaemonOrder<W>> {
        agent.serving_until.set(Moment::ZERO);
        self.say(StreamUp::Leaving);
        self.done()
    }

    fn say(&mut self, frame: StreamUp) {
        self.orders.push(DaemonOrder::Say(frame));
    }

    fn tell(&mut self, event: Event, detail: String) {
        self.orders.push(DaemonOrder::Tell(event, detail));
    }

    fn apply(
        &mut self,
        held: &Arc<Held<W>>,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        let outputs = held.with(change);
        if !outputs.is_empty() {
            self.orders.push(DaemonOrder::Holder(held.clone(), outputs));
        }
    }

    fn apply_known(
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

    fn obey(&mut self, agent: &Agent<W>, now: Moment, keeper_orders: Vec<KeeperOrder>) {
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
            KeeperOrder::Welcomed(term) => {
                agent.set_led(true);
                self.tell(events::STREAM_OPEN, format!("leader of term {term}"));
                self.send_claims(agent, now);
                self.orders.push(DaemonOrder::Changed);
            }
            KeeperOrder::StreamLost(lost_reserves) => {
                agent.set_led(false);
                self.tell(events::STREAM_LOST, String::new());
                self.orders.push(DaemonOrder::AcquiresLost);
                for (function, grant) in lost_reserves {
                    if let Some(held) = agent.held(&function, grant) {
                        held.with(|holder| holder.reserve_lost(now));
                    }
                }
            }
            KeeperOrder::ServeUntil(grant_end) => {
                if !agent.is_serving(now) {
                    self.warm_changed(now);
                    self.tell(events::SERVING, format!("serial {}", self.keeper.serial()));
                    self.orders.push(DaemonOrder::Changed);
                }
                agent.serving_until.set(grant_end);
            }
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
                if let Some(AcquireResult::Owner { host }) = &result {
                    agent.learn_owner(&function, host);
                }
                let is_final = !matches!(result, None | Some(AcquireResult::Later { .. }));
                self.orders.push(DaemonOrder::Acquired(function, result, round_trip));
                if is_final {
                    self.orders.push(DaemonOrder::Changed);
                }
            }
            KeeperOrder::Reserved { function, grant, result } => {
                self.reserved(agent, now, function, grant, &result);
            }
            KeeperOrder::Revoke(function, grant) => {
                if let Some(held) = agent.held(&function, grant) {
                    self.remove(agent, &function);
                    self.close(agent, now, &held);
                    self.say_left(&held);
                }
            }
            KeeperOrder::Vanished(function, runner) => {
                self.apply_known(agent, &function, runner.grant, |holder| {
                    holder.vanished(now, runner)
                });
            }
            KeeperOrder::Drain(function, runner) => {
                if agent.rules.keep(Rule::DrainObeyed) {
                    self.apply_known(agent, &function, runner.grant, |holder| {
                        holder.drain(now, runner)
                    });
                }
            }
            KeeperOrder::HandOver(function, grant) => {
                if agent.rules.keep(Rule::EvacuationObeyed) {
                    self.tell(events::HANDING_OVER, function.to_string());
                    self.apply_known(agent, &function, grant, |holder| holder.hand_over(now));
                }
            }
        }
    }

    fn send_claims(&mut self, agent: &Agent<W>, now: Moment) {
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

    fn give_up_all(&mut self, agent: &Agent<W>, now: Moment) {
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

    fn install(&mut self, agent: &Agent<W>, now: Moment, table: Arc<Table>) {
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
                    let is_warm = index.is_some_and(|index| table.is_warm(index));
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

    fn granted(&mut self, agent: &Agent<W>, now: Moment, terms: GrantTerms) {
        let (function, grant) = (terms.function.clone(), terms.grant);
        let held_grant = agent.holdings.load().get(&function).map(|held| held.grant);
        if held_grant >= Some(grant) {
            return;
        }
        let mut holder =
            Holder::new(now, terms).with_rules(agent.rules).with_tuning(now, agent.tuning);
        let table = agent.table.load();
        holder.set_warm(table.index_of(&function).is_some_and(|index| table.is_warm(index)));
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

    fn reserved(
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
    fn say_left(&mut self, held: &Arc<Held<W>>) {
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

    fn close(&mut self, agent: &Agent<W>, now: Moment, held: &Arc<Held<W>>) {
        agent.closing.lock().unwrap_or_else(PoisonError::into_inner).push(held.clone());
        self.apply(held, |holder| holder.close(now));
    }

    fn remove(&mut self, agent: &Agent<W>, function: &FunctionKey) {
        agent.holdings.rcu(|holdings| {
            let mut changed_holdings = BTreeMap::clone(holdings);
            changed_holdings.remove(function);
            changed_holdings
        });
        self.orders.push(DaemonOrder::Changed);
    }
}
