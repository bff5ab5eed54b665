//! The daemons of the simulated world.

mod holders;
mod orders;
mod requests;

use crate::sim::event::Event;
use crate::sim::network::Node;
use crate::sim::world::World;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::{Flag, Host};
use common::identity::{FunctionKey, Region, TransactionId, Zone};
use common::ring::Regions;
use dataplane::agent::{Agent, DaemonControl, DaemonOrder, Forwarding, InHand};
use dataplane::liaison::LiaisonTiming;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long an orderly stop may take, and what the platform waits before it kills.
pub(in crate::sim) const GRACE: Duration = Duration::from_millis(5600);

/// Where an outcome goes back to.
#[derive(Clone, Copy, Debug)]
pub(in crate::sim) enum Back {
    Caller,
    Hop { node: Node, life: u64, number: u64 },
}

struct Pending {
    way: Forwarding,
    back: Back,
    awaits: Awaits,
    wakes: u64,
    passed_to: Option<Host>,
    regional_tenths: u8,
    _in_hand: InHand,
}

/// What a transaction in a daemon's hands waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Awaits {
    Look,
    Outcome,
    Passed,
    Acquired,
}

/// One virtual daemon.
pub struct SimDaemon {
    /// Its node.
    pub node: Node,
    /// Counts its lives.
    pub life: u64,
    /// Its machine's clock, ahead of virtual time.
    pub clock_ahead: Duration,
    /// How many thousandths its machine's clock runs fast, or slow if negative.
    pub clock_drift: i64,
    /// Its body, while it is alive.
    pub body: Option<Box<Body>>,
}

/// What dies with a daemon's process.
pub struct Body {
    pub(in crate::sim) agent: Arc<Agent<u64>>,
    controller: DaemonControl<u64>,
    pendings: BTreeMap<u64, Pending>,
    acquires: BTreeMap<FunctionKey, Vec<u64>>,
    link: Option<u64>,
    stops_by: Option<Moment>,
    pub(in crate::sim) is_disturbed: bool,
}

/// The moment on a clock that is ahead and runs fast or slow by some thousandths.
pub(in crate::sim) fn local_moment(now: Moment, ahead: Duration, drift: i64) -> Moment {
    let passed = now.0 as i128;
    Moment((passed + passed * i128::from(drift) / 1000) as u64) + ahead
}

/// What a span on such a clock is in virtual time.
pub(in crate::sim) fn virtual_span(span: Duration, drift: i64) -> Duration {
    let nanos = span.as_nanos() as i128 * 1000 / (1000 + i128::from(drift));
    Duration::from_nanos(nanos as u64) + Duration::from_micros(1)
}

impl World {
    pub(in crate::sim) fn daemon_now(&self, place: usize) -> Moment {
        let daemon = &self.daemons[place];
        local_moment(self.now, daemon.clock_ahead, daemon.clock_drift)
    }

    pub(in crate::sim) fn zone(number: usize) -> Zone {
        format!("locality-{}", number % 3 + 1).into()
    }

    /// The first two zones lie in one region and the third in another, if the day has regions.
    fn regions(&self) -> Regions {
        let zones =
            (0..3).map(|number| (Self::zone(number), if number < 2 { "east" } else { "west" }));
        let named = zones.filter(|_| self.plan.regional);
        Regions::new(named.map(|(zone, region)| (zone, Region::from(region))).collect())
    }

    pub(in crate::sim) fn agent(&self, place: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[place].body.as_ref().map(|body| body.agent.clone())
    }

    pub(in crate::sim) fn wake_at(&mut self, place: usize, local_at: Moment, number: u64) {
        let span = local_at.since(self.daemon_now(place));
        let delay = virtual_span(span, self.daemons[place].clock_drift);
        let (node, life) = (self.daemons[place].node, self.daemons[place].life);
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        pending.wakes += 1;
        let wake = Event::Look(node, life, number, pending.wakes);
        self.push(delay, wake);
    }

    /// Starts a daemon, in a new life.
    pub(in crate::sim) fn start_daemon(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let seed = self.chance.number();
        let own_place = self.daemon_place(place);
        let host = Host {
            member: format!("daemon-{place}").into(),
            incarnation: (self.chance.number() | 1).into(),
            zone: Self::zone(place),
            place: own_place,
            eligible: Flag(true),
            link_mbps: 0,
        };
        let agent = Agent::new(host, self.plan.rules())
            .with_tuning(self.plan.tuning)
            .with_regions(self.regions());
        let agent = Arc::new(agent);
        let controller = DaemonControl::new(
            local_now,
            &agent,
            LiaisonTiming::builder().build(),
            own_place,
            self.seeds(),
            Chance::seeded(seed),
        );
        let controller =
            if self.plan.seeks_warm { controller.with_warm(local_now) } else { controller };
        let daemon = &mut self.daemons[place];
        daemon.life += 1;
        daemon.body = Some(Box::new(Body {
            agent,
            controller,
            pendings: BTreeMap::new(),
            acquires: BTreeMap::new(),
            link: None,
            stops_by: None,
            is_disturbed: false,
        }));
        let tick = Event::Tick(self.daemons[place].node, self.daemons[place].life);
        self.push(Duration::from_millis(1), tick);
    }

    /// Kills a daemon; its callers learn nothing.
    pub(in crate::sim) fn kill_daemon(&mut self, place: usize) {
        self.daemons[place].body = None;
        self.daemons[place].life += 1;
        self.break_links(self.daemons[place].node);
    }

    /// Warns a daemon that it is to stop.
    pub(in crate::sim) fn warn_daemon(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let is_frozen = self.is_frozen(self.daemons[place].node);
        let Some(body) = &mut self.daemons[place].body else { return };
        if body.stops_by.is_some() {
            return;
        }
        body.stops_by = Some(local_now + GRACE);
        body.is_disturbed = is_frozen;
        self.with_controller(place, |controller, agent, now| controller.leave(agent, now));
    }

    pub(in crate::sim) fn is_leaving(&self, place: usize) -> bool {
        self.daemons[place].body.as_ref().is_some_and(|body| body.stops_by.is_some())
    }

    /// A daemon that was warned goes when nothing is left in its hands, or when its grace is over.
    pub(in crate::sim) fn leave_if_due(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let Some(body) = &self.daemons[place].body else { return };
        let Some(stops_by) = body.stops_by else { return };
        if local_now < stops_by && !body.agent.is_empty_handed() {
            return;
        }
        let in_hand: Vec<TransactionId> =
            body.pendings.values().map(|pending| pending.way.ask().transaction.clone()).collect();
        if !body.is_disturbed {
            self.checks.stops_in_order(self.now, place, &in_hand);
        }
        self.with_controller(place, |controller, agent, _| controller.left(agent));
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        if let Some(body) = &mut self.daemons[place].body {
            body.stops_by = Some(Moment(u64::MAX));
        }
        self.push(Duration::from_millis(60), Event::Gone(node, life));
    }

    pub(in crate::sim) fn is_daemon_serving(&self, place: usize) -> bool {
        let local_now = self.daemon_now(place);
        let body = self.daemons[place].body.as_ref();
        body.is_some_and(|body| local_now < body.agent.serving_until.get())
    }

    pub(in crate::sim) fn tick_daemon(&mut self, place: usize) {
        self.with_controller(place, |controller, agent, now| controller.tick(agent, now));
        if let Some(agent) = self.agent(place)
            && self.is_daemon_serving(place)
        {
            self.checks.serves(self.now, place, agent.table.load().serial());
        }
        self.leave_if_due(place);
    }

    pub(in crate::sim) fn with_controller(
        &mut self,
        place: usize,
        change: impl FnOnce(&mut DaemonControl<u64>, &Agent<u64>, Moment) -> Vec<DaemonOrder<u64>>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let agent = body.agent.clone();
        let orders = change(&mut body.controller, &agent, local_now);
        for order in orders {
            self.obey_daemon(place, order);
        }
    }

    pub(in crate::sim) fn heartbeat(
        &mut self,
        place: usize,
        heartbeat: &common::frames::Heartbeat,
    ) {
        let local_now = self.daemon_now(place);
        if let Some(body) = &mut self.daemons[place].body {
            body.controller.beat(local_now, heartbeat);
        }
    }

    pub(in crate::sim) fn link_lost(&mut self, place: usize, link: u64) {
        if self.is_current_link(place, link) {
            if let Some(body) = &mut self.daemons[place].body {
                body.link = None;
            }
            self.with_controller(place, |controller, agent, now| {
                controller.disconnected(agent, now)
            });
        }
    }

    pub(in crate::sim) fn is_current_link(&self, place: usize, link: u64) -> bool {
        self.daemons[place].body.as_ref().is_some_and(|body| body.link == Some(link))
    }
}
