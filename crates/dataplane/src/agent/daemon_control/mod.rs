//! The control side of a daemon: what the leader, the holders and time have for its keeper, and what
//! follows from it in its agent. No I/O; the drivers carry out the [`DaemonOrder`]s it returns.

mod holdings;
mod keeper_orders;
mod orders;

pub use orders::DaemonOrder;

use super::{Agent, Held};
use crate::holder::HolderMessage;
use crate::keeper::Keeper;
use crate::liaison::{Liaison, LiaisonTiming};
use crate::owners::{WarmSeeker, WarmSight};
use common::chance::Chance;
use common::clock::Moment;
use common::events::{self, Event};
use common::frames::{Heartbeat, IdleFunction, Many, Place, StreamDown, StreamUp};
use common::identity::{FunctionKey, GrantSerial};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// A function not called for so long is reported to the leader as idle.
const IDLE_FROM: Duration = Duration::from_secs(3);
/// How often the leader is told of idle functions and refusals.
const SAY_EVERY: Duration = Duration::from_secs(1);

/// Feeds one daemon's keeper, and does in its agent what the keeper orders.
pub struct DaemonControl<W> {
    keeper: Keeper,
    say_at: Moment,
    warm: Option<WarmSeeker>,
    orders: Vec<DaemonOrder<W>>,
}

impl<W> DaemonControl<W> {
    /// The control side of a daemon that has just started.
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
        let regional = agent.regional_wishes(now);
        let wish = warm.next(
            now,
            &WarmSight {
                table: &table,
                own_member: &agent.own_host.member,
                hosts: &hosts,
                regions: &agent.regions,
                regional: &regional,
                owners: &owners,
                holds: &|function| holdings.contains_key(function),
            },
        );
        if let Some(function) = wish {
            let keeper_orders = self.keeper.acquire(now, function);
            self.obey(agent, now, keeper_orders);
        }
    }

    /// Something has changed that functions may want an owner for.
    pub fn warm_changed(&mut self, now: Moment) {
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

    /// A part of a long frame of the leader has come in.
    pub fn receiving(&mut self, now: Moment) {
        self.keeper.receiving(now);
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
        word: HolderMessage,
    ) -> Vec<DaemonOrder<W>> {
        match word {
            HolderMessage::Reserve => {
                let keeper_orders = self.keeper.reserve(function, grant);
                self.obey(agent, now, keeper_orders);
            }
            HolderMessage::News { runner, news } => {
                self.say(StreamUp::Runner { function, runner, news });
            }
            HolderMessage::StewardLost { lost } => {
                self.say(StreamUp::StewardLost { function, grant, lost });
            }
            HolderMessage::StewardWhole { steward } => {
                self.say(StreamUp::StewardWhole { function, grant, steward });
            }
            HolderMessage::Released { runners } => {
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
}
