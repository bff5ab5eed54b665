use super::{Held, Lodge};
use crate::holder::{GrantTerms, Holder, HolderOutput, HolderWord};
use crate::keeper::{Keeper, KeeperOrder};
use crate::liaison::{Liaison, LiaisonTiming};
use crate::owners::{WarmSeeker, WarmSight};
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::events::{self, Event};
use waymark::frames::{
    AcquireResult, Heartbeat, IdleFunction, Many, Place, ReserveResult, RunnerNews, StreamDown,
    StreamUp,
};
use waymark::identity::{FunctionKey, GrantSerial, Serial};
use waymark::rules::Rule;
use waymark::spec::Table;

const IDLE_FROM: Duration = Duration::from_secs(3);
const SAY_EVERY: Duration = Duration::from_secs(1);

/// What the controller orders; the lodge is changed already.
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

/// Feeds one daemon's keeper, and does in its lodge what the keeper orders.
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
        lodge: &Lodge<W>,
        timing: LiaisonTiming,
        door: Place,
        seeds: Vec<Place>,
        chance: Chance,
    ) -> Self {
        let own_host = lodge.own_host.clone();
        let liaison = Liaison::new(now, timing, own_host.clone(), door, seeds, chance)
            .with_rules(lodge.rules);
        let keeper = Keeper::new(liaison, own_host).with_rules(lodge.rules);
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
    pub fn next_due(&self, lodge: &Lodge<W>) -> Moment {
        let seeks = self.keeper.is_welcomed() && !lodge.is_leaving();
        let warm = self.warm.as_ref().filter(|_| seeks);
        let warm_due = warm.map_or(self.say_at, WarmSeeker::next_due);
        let first_due = self.keeper.next_due().min(self.say_at).min(warm_due);
        let holdings = lodge.holdings.load();
        let holders_due =
            holdings.values().filter_map(|held| held.with(|holder| holder.next_due()));
        holders_due.fold(first_due, Moment::min)
    }

    /// When the stream or a heartbeat is due.
    pub fn stream_due(&self) -> Moment {
        self.keeper.next_due()
    }

    /// Asks for warm functions that want an owner.
    fn seek_warm(&mut self, lodge: &Lodge<W>, now: Moment) {
        if !lodge.is_serving(now) || lodge.is_leaving() || !self.keeper.is_welcomed() {
            return;
        }
        let Some(warm) = &mut self.warm else { return };
        let (table, hosts) = (lodge.table.load(), lodge.hosts.load());
        let (owners, holdings) = (lodge.owners.load(), lodge.holdings.load());
        let wish = warm.next(
            now,
            &WarmSight {
                table: &table,
                own_member: &lodge.own_host.member,
                hosts: &hosts,
                owners: &owners,
                holds: &|function| holdings.contains_key(function),
            },
        );
        if let Some(function) = wish {
            let keeper_orders = self.keeper.acquire(now, function);
            self.obey(lodge, now, keeper_orders);
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
    pub fn tick(&mut self, lodge: &Lodge<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.tick(now);
        self.obey(lodge, now, keeper_orders);
        for held in lodge.holdings.load_full().values() {
            self.apply(held, |holder| holder.tick(now));
        }
        let closing: Vec<Arc<Held<W>>> = {
            let mut closing = lodge.closing.lock().unwrap_or_else(PoisonError::into_inner);
            closing.retain(|held| !held.with(|holder| holder.is_over(now)));
            closing.clone()
        };
        for held in closing {
            self.apply(&held, |holder| holder.tick(now));
        }
        self.seek_warm(lodge, now);
        if now >= self.say_at {
            self.say_at = now + SAY_EVERY;
            self.say_busyness(lodge, now);
            lodge.keepsake.lock().unwrap_or_else(PoisonError::into_inner).expire(now);
        }
        self.done()
    }

    fn say_busyness(&mut self, lodge: &Lodge<W>, now: Moment) {
        let mut idle_functions = Vec::new();
        for held in lodge.holdings.load_full().values() {
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
    pub fn connected(&mut self, lodge: &Lodge<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.connected(now);
        self.obey(lodge, now, keeper_orders);
        self.done()
    }

    /// The stream failed or ended.
    pub fn disconnected(&mut self, lodge: &Lodge<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.disconnected(now);
        self.obey(lodge, now, keeper_orders);
        self.done()
    }

    /// The leader says something.
    pub fn heard(
        &mut self,
        lodge: &Lodge<W>,
        now: Moment,
        frame: StreamDown,
    ) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.heard(now, frame);
        self.obey(lodge, now, keeper_orders);
        self.done()
    }

    /// A heartbeat came in; false when it is a stranger's.
    pub fn beat(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        self.keeper.beat(now, heartbeat)
    }

    /// A transaction needs a function's owner.
    pub fn acquire(
        &mut self,
        lodge: &Lodge<W>,
        now: Moment,
        function: FunctionKey,
    ) -> Vec<DaemonOrder<W>> {
        let keeper_orders = self.keeper.acquire(now, function);
        self.obey(lodge, now, keeper_orders);
        self.done()
    }

    /// A holder has something for the leader.
    pub fn told(
        &mut self,
        lodge: &Lodge<W>,
        now: Moment,
        function: FunctionKey,
        grant: GrantSerial,
        word: HolderWord,
    ) -> Vec<DaemonOrder<W>> {
        match word {
            HolderWord::Reserve => {
                let keeper_orders = self.keeper.reserve(function, grant);
                self.obey(lodge, now, keeper_orders);
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
                if lodge.held(&function, grant).is_some() {
                    self.remove(lodge, &function);
                    self.say(StreamUp::Release { function, grant, runners: Many(runners) });
                }
            }
        }
        self.done()
    }

    /// The daemon is to stop in order: it takes on nothing, finishes what it holds, and gives it back.
    pub fn leave(&mut self, lodge: &Lodge<W>, now: Moment) -> Vec<DaemonOrder<W>> {
        lodge.begin_leaving();
        let keeper_orders = self.keeper.leave(now);
        self.obey(lodge, now, keeper_orders);
        for held in lodge.holdings.load_full().values() {
            self.tell(events::HANDING_OVER, held.function.to_string());
            self.apply(held, |holder| holder.hand_over(now));
        }
        self.done()
    }

    /// The daemon is gone in a moment: it serves no more, and the leader need not wait for its grant.
    pub fn left(&mut self, lodge: &Lodge<W>) -> Vec<DaemonOrder<W>> {
        lodge.serving_until.set(Moment::ZERO);
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
        lodge: &Lodge<W>,
        function: &FunctionKey,
        grant: GrantSerial,
        change: impl FnOnce(&mut Holder) -> Vec<HolderOutput>,
    ) {
        if let Some(held) = lodge.held(function, grant) {
            self.apply(&held, change);
        }
    }

    fn obey(&mut self, lodge: &Lodge<W>, now: Moment, keeper_orders: Vec<KeeperOrder>) {
        for order in keeper_orders {
            self.obey_one(lodge, now, order);
        }
    }

    fn obey_one(&mut self, lodge: &Lodge<W>, now: Moment, order: KeeperOrder) {
        match order {
            KeeperOrder::Dial(place) => self.orders.push(DaemonOrder::Dial(place)),
            KeeperOrder::Hangup => self.orders.push(DaemonOrder::Hangup),
            KeeperOrder::Say(frame) => self.say(frame),
            KeeperOrder::Beat(heartbeat, places) => {
                self.orders.push(DaemonOrder::Beat(heartbeat, places));
            }
            KeeperOrder::Welcomed(term) => {
                lodge.set_led(true);
                self.tell(events::STREAM_OPEN, format!("leader of term {term}"));
                self.send_claims(lodge, now);
                self.orders.push(DaemonOrder::Changed);
            }
            KeeperOrder::StreamLost(lost_reserves) => {
                lodge.set_led(false);
                self.tell(events::STREAM_LOST, String::new());
                self.orders.push(DaemonOrder::AcquiresLost);
                for (function, grant) in lost_reserves {
                    if let Some(held) = lodge.held(&function, grant) {
                        held.with(|holder| holder.reserve_lost(now));
                    }
                }
            }
            KeeperOrder::ServeUntil(grant_end) => {
                if !lodge.is_serving(now) {
                    self.warm_changed(now);
                    self.tell(events::SERVING, format!("serial {}", self.keeper.serial()));
                    self.orders.push(DaemonOrder::Changed);
                }
                lodge.serving_until.set(grant_end);
            }
            KeeperOrder::GiveUpAll => self.give_up_all(lodge, now),
            KeeperOrder::Install(table) => self.install(lodge, now, table),
            KeeperOrder::InstallFailed(serial, fault) => {
                self.tell(events::SPEC_FAILED, format!("serial {serial}: {fault}"));
            }
            KeeperOrder::Hosts(alive_hosts) => {
                lodge.hosts.store(Arc::new(alive_hosts));
                self.warm_changed(now);
                self.orders.push(DaemonOrder::Changed);
            }
            KeeperOrder::Grant(terms) => self.granted(lodge, now, terms),
            KeeperOrder::GiveWay(function, grant) => {
                self.apply_known(lodge, &function, grant, |holder| holder.give_way(now));
            }
            KeeperOrder::Steward(function, grant, steward) => {
                self.apply_known(lodge, &function, grant, |holder| {
                    holder.steward_named(now, steward)
                });
            }
            KeeperOrder::Acquired { function, result, round_trip } => {
                if let Some(AcquireResult::Owner { host }) = &result {
                    lodge.learn_owner(&function, host);
                }
                let is_final = !matches!(result, None | Some(AcquireResult::Later { .. }));
                self.orders.push(DaemonOrder::Acquired(function, result, round_trip));
                if is_final {
                    self.orders.push(DaemonOrder::Changed);
                }
            }
            KeeperOrder::Reserved { function, grant, result } => {
                self.reserved(lodge, now, function, grant, &result);
            }
            KeeperOrder::Revoke(function, grant) => {
                if let Some(held) = lodge.held(&function, grant) {
                    self.remove(lodge, &function);
                    self.close(lodge, now, &held);
                    self.say_left(&held);
                }
            }
            KeeperOrder::Vanished(function, runner) => {
                self.apply_known(lodge, &function, runner.grant, |holder| {
                    holder.vanished(now, runner)
                });
            }
            KeeperOrder::Drain(function, runner) => {
                if lodge.rules.keep(Rule::DrainObeyed) {
                    self.apply_known(lodge, &function, runner.grant, |holder| {
                        holder.drain(now, runner)
                    });
                }
            }
            KeeperOrder::HandOver(function, grant) => {
                if lodge.rules.keep(Rule::EvacuationObeyed) {
                    self.tell(events::HANDING_OVER, function.to_string());
                    self.apply_known(lodge, &function, grant, |holder| holder.hand_over(now));
                }
            }
        }
    }

    fn send_claims(&mut self, lodge: &Lodge<W>, now: Moment) {
        let holdings = lodge.holdings.load_full();
        let closing: Vec<Arc<Held<W>>> =
            lodge.closing.lock().unwrap_or_else(PoisonError::into_inner).clone();
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
        self.obey(lodge, now, keeper_orders);
    }

    fn give_up_all(&mut self, lodge: &Lodge<W>, now: Moment) {
        if !lodge.rules.keep(Rule::MemberGrant) {
            return;
        }
        let given_up = lodge.holdings.swap(Arc::new(BTreeMap::new()));
        self.tell(events::GRANT_ENDED, format!("{} functions given up", given_up.len()));
        self.orders.push(DaemonOrder::GrantEnded);
        for held in given_up.values() {
            self.close(lodge, now, held);
        }
        lodge.owners.store(Arc::new(BTreeMap::new()));
        self.send_claims(lodge, now);
        self.orders.push(DaemonOrder::Changed);
    }

    fn install(&mut self, lodge: &Lodge<W>, now: Moment, table: Arc<Table>) {
        lodge.table.store(table.clone());
        self.warm_changed(now);
        let detail = format!("serial {}, {} routes", table.serial(), table.route_count());
        self.tell(events::SPEC_INSTALLED, detail);
        self.orders.push(DaemonOrder::Installed(table.serial()));
        for held in lodge.holdings.load_full().values() {
            match table.function_of(&held.function) {
                Some(entry) => {
                    let newest_spec = entry.spec.clone();
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

    fn granted(&mut self, lodge: &Lodge<W>, now: Moment, terms: GrantTerms) {
        let (function, grant) = (terms.function.clone(), terms.grant);
        let held_grant = lodge.holdings.load().get(&function).map(|held| held.grant);
        if held_grant >= Some(grant) {
            return;
        }
        let mut holder =
            Holder::new(now, terms).with_rules(lodge.rules).with_tuning(now, lodge.tuning);
        let table = lodge.table.load();
        holder.set_warm(table.index_of(&function).is_some_and(|index| table.is_warm(index)));
        let held = Arc::new(Held::new(holder));
        let displaced = lodge.holdings.load().get(&function).cloned();
        lodge.holdings.rcu(|holdings| {
            let mut changed_holdings = BTreeMap::clone(holdings);
            changed_holdings.insert(function.clone(), held.clone());
            changed_holdings
        });
        if let Some(displaced) = displaced {
            self.close(lodge, now, &displaced);
            self.say_left(&displaced);
        }
        lodge.learn_owner(&function, &lodge.own_host);
        self.tell(events::GRANTED, format!("{function} under {grant}"));
        self.apply(&held, |holder| holder.begin(now));
        self.orders.push(DaemonOrder::Changed);
    }

    fn reserved(
        &mut self,
        lodge: &Lodge<W>,
        now: Moment,
        function: FunctionKey,
        grant: GrantSerial,
        result: &ReserveResult,
    ) {
        match (lodge.held(&function, grant), result) {
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

    fn close(&mut self, lodge: &Lodge<W>, now: Moment, held: &Arc<Held<W>>) {
        lodge.closing.lock().unwrap_or_else(PoisonError::into_inner).push(held.clone());
        self.apply(held, |holder| holder.close(now));
    }

    fn remove(&mut self, lodge: &Lodge<W>, function: &FunctionKey) {
        lodge.holdings.rcu(|holdings| {
            let mut changed_holdings = BTreeMap::clone(holdings);
            changed_holdings.remove(function);
            changed_holdings
        });
        self.orders.push(DaemonOrder::Changed);
    }
}
