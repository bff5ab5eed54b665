use super::event::Event;
use super::network::{Node, PLATFORM};
use super::platform::Asker;
use super::world::World;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::{AcquireResult, Flag, HopBody, HopOutcome, Host, Many, Parcel, StreamUp};
use common::identity::{FunctionKey, GrantSerial, Serial, TransactionId, Zone};
use common::tongue::BeginEnd;
use dataplane::agent::{
    Agent, Ask, DaemonControl, DaemonOrder, Forwarding, ForwardingStep, Held, InHand, PassEnd,
    Question, Task, Topic,
};
use dataplane::holder::{Holder, HolderOutput};
use dataplane::liaison::LiaisonTiming;
use dataplane::owners::is_valid;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long an orderly stop may take, and what the platform waits before it kills.
pub(super) const GRACE: Duration = Duration::from_millis(5600);

/// Where an outcome goes back to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Back {
    Caller,
    Hop { node: Node, life: u64, number: u64 },
}

struct Pending {
    way: Forwarding,
    back: Back,
    awaits: Awaits,
    wakes: u64,
    passed_to: Option<Host>,
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
    pub(super) agent: Arc<Agent<u64>>,
    controller: DaemonControl<u64>,
    pendings: BTreeMap<u64, Pending>,
    acquires: BTreeMap<FunctionKey, Vec<u64>>,
    link: Option<u64>,
    stops_by: Option<Moment>,
    pub(super) is_disturbed: bool,
}

/// The moment on a clock that is ahead and runs fast or slow by some thousandths.
pub(super) fn local_moment(now: Moment, ahead: Duration, drift: i64) -> Moment {
    let passed = now.0 as i128;
    Moment((passed + passed * i128::from(drift) / 1000) as u64) + ahead
}

/// What a span on such a clock is in virtual time.
pub(super) fn virtual_span(span: Duration, drift: i64) -> Duration {
    let nanos = span.as_nanos() as i128 * 1000 / (1000 + i128::from(drift));
    Duration::from_nanos(nanos as u64) + Duration::from_micros(1)
}

impl World {
    pub(super) fn daemon_now(&self, place: usize) -> Moment {
        let daemon = &self.daemons[place];
        local_moment(self.now, daemon.clock_ahead, daemon.clock_drift)
    }

    pub(super) fn zone(number: usize) -> Zone {
        format!("locality-{}", number % 3 + 1).into()
    }

    pub(super) fn agent(&self, place: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[place].body.as_ref().map(|body| body.agent.clone())
    }

    fn wake_at(&mut self, place: usize, local_at: Moment, number: u64) {
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
    pub(super) fn start_daemon(&mut self, place: usize) {
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
        let agent = Arc::new(Agent::new(host, self.plan.rules()).with_tuning(self.plan.tuning));
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
    pub(super) fn kill_daemon(&mut self, place: usize) {
        self.daemons[place].body = None;
        self.daemons[place].life += 1;
        self.break_links(self.daemons[place].node);
    }

    /// Warns a daemon that it is to stop.
    pub(super) fn warn_daemon(&mut self, place: usize) {
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

    pub(super) fn is_leaving(&self, place: usize) -> bool {
        self.daemons[place].body.as_ref().is_some_and(|body| body.stops_by.is_some())
    }

    /// A daemon that was warned goes when nothing is left in its hands, or when its grace is over.
    fn leave_if_due(&mut self, place: usize) {
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

    pub(super) fn is_daemon_serving(&self, place: usize) -> bool {
        let local_now = self.daemon_now(place);
        let body = self.daemons[place].body.as_ref();
        body.is_some_and(|body| local_now < body.agent.serving_until.get())
    }

    pub(super) fn tick_daemon(&mut self, place: usize) {
        self.with_controller(place, |controller, agent, now| controller.tick(agent, now));
        if let Some(agent) = self.agent(place)
            && self.is_daemon_serving(place)
        {
            self.checks.serves(self.now, place, agent.table.load().serial());
        }
        self.leave_if_due(place);
    }

    pub(super) fn with_controller(
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

    pub(super) fn heartbeat(&mut self, place: usize, heartbeat: &common::frames::Heartbeat) {
        let local_now = self.daemon_now(place);
        if let Some(body) = &mut self.daemons[place].body {
            body.controller.beat(local_now, heartbeat);
        }
    }

    pub(super) fn link_lost(&mut self, place: usize, link: u64) {
        if self.is_current_link(place, link) {
            if let Some(body) = &mut self.daemons[place].body {
                body.link = None;
            }
            self.with_controller(place, |controller, agent, now| {
                controller.disconnected(agent, now)
            });
        }
    }

    pub(super) fn is_current_link(&self, place: usize, link: u64) -> bool {
        self.daemons[place].body.as_ref().is_some_and(|body| body.link == Some(link))
    }

    fn obey_daemon(&mut self, place: usize, order: DaemonOrder<u64>) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        match order {
            DaemonOrder::Dial(to) => {
                let link = self.dial(node, life, to);
                if let Some(body) = &mut self.daemons[place].body {
                    body.link = Some(link);
                }
            }
            DaemonOrder::Hangup => {
                let link = self.daemons[place].body.as_mut().and_then(|body| body.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonOrder::Say(frame) => self.say(place, frame),
            DaemonOrder::Beat(heartbeat, to_places) => {
                for to in to_places {
                    let Some(to_node) = self.node_at(to) else { continue };
                    self.counted("heartbeats");
                    let copies = if self.chance.happens(0.01) { 2 } else { 1 };
                    for _ in 0..copies {
                        if self.network.reaches(node, to_node) && !self.chance.happens(0.01) {
                            let delay = self.network.delay(&mut self.chance);
                            self.push(delay, Event::Beat(to_node, heartbeat.clone()));
                        }
                    }
                }
            }
            DaemonOrder::Holder(held, outputs) => self.drive(place, &held, outputs),
            DaemonOrder::Acquired(function, result, _) => {
                self.count_acquired(result.as_ref());
                self.acquired(place, &function, result);
            }
            DaemonOrder::AcquiresLost => {
                let Some(body) = &mut self.daemons[place].body else { return };
                let waiting = std::mem::take(&mut body.acquires);
                for function in waiting.into_keys() {
                    self.acquired(place, &function, None);
                }
            }
            DaemonOrder::Changed => self.look_all(place),
            DaemonOrder::Installed(serial) => self.check_install(place, serial),
            DaemonOrder::Tell(event, detail) => {
                if event == common::events::GRANTED {
                    self.check_granted(place);
                }
                if self.is_tracing {
                    let line = format!("{} daemon {place} {event} {detail}", self.now);
                    self.trace.push(line);
                }
            }
            DaemonOrder::GrantEnded => self.counted("grants ended"),
        }
    }

    fn check_install(&mut self, place: usize, serial: Serial) {
        let life = self.daemons[place].life;
        self.checks.installs(self.now, place, life, serial);
    }

    fn count_acquired(&mut self, result: Option<&AcquireResult>) {
        self.counted(match result {
            Some(AcquireResult::Granted { .. }) => "acquired: granted",
            Some(AcquireResult::Owner { .. }) => "acquired: owner",
            Some(AcquireResult::Later { .. }) => "acquired: later",
            Some(AcquireResult::Shed) => "acquired: shed",
            None => "acquired: nothing",
        });
    }

    fn say(&mut self, place: usize, frame: StreamUp) {
        let Some(body) = &self.daemons[place].body else { return };
        let Some(link) = body.link else { return };
        let from = self.daemons[place].node;
        let Some(to) = self.links.get(&link).map(|link| link.controller) else { return };
        if !self.network.reaches(from, to) {
            self.doom_link(link);
            return;
        }
        self.counted("frames up");
        if matches!(frame, StreamUp::Acquire { .. }) {
            self.counted("acquisitions");
        }
        let delay = self.network.delay(&mut self.chance);
        let key = (Node(1_000_000 + link as usize), to);
        self.push_in_order(key, delay, Event::LinkUp(link, frame));
    }

    /// Each life is in the hands of one living holder at most.
    pub(super) fn check_hands(&mut self) {
        let mut held_lives = Vec::new();
        for place in 0..self.daemons.len() {
            let Some(agent) = self.agent(place).filter(|_| self.is_daemon_serving(place)) else {
                continue;
            };
            for held in agent.holdings.load().values() {
                let lives = held
                    .with(|holder| if holder.is_claimable() { holder.lives() } else { Vec::new() });
                held_lives.extend(lives.into_iter().map(|life| (place, held.grant, life.name)));
            }
        }
        let listed = held_lives.iter().map(|(place, grant, life)| (*place, *grant, life));
        self.checks.hands(self.now, listed);
    }

    /// Whether a daemon serves a function under a grant.
    pub(super) fn is_live_holder(
        &self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
    ) -> bool {
        let held = self.agent(place).and_then(|agent| agent.held(function, grant));
        self.is_daemon_serving(place)
            && held.is_some_and(|held| held.with(|holder| holder.is_claimable()))
    }

    /// A function that has just been granted: nobody else may serve it, and every runner of it that is
    /// alive is among those taken over.
    fn check_granted(&mut self, place: usize) {
        let Some(agent) = self.agent(place) else { return };
        let holdings = agent.holdings.load_full();
        for held in holdings.values() {
            if !self.checks.is_new_grant(held.grant) {
                continue;
            }
            let adopted = held.with(|holder| holder.lives());
            let alive =
                self.platform.runners.values().map(|runner| (&runner.function, &runner.life));
            self.checks.granted_with(self.now, &held.function, held.grant, &adopted, alive);
            for other in (0..self.daemons.len()).filter(|other| *other != place) {
                let is_held = self.agent(other).is_some_and(|other_agent| {
                    other_agent
                        .holdings
                        .load()
                        .get(&held.function)
                        .is_some_and(|held| held.with(|holder| holder.is_claimable()))
                });
                if is_held && self.is_daemon_serving(other) {
                    let function = &held.function;
                    let what =
                        format!("daemon {place} is granted {function}, which daemon {other} holds");
                    self.checks.breach(self.now, what);
                }
            }
        }
    }

    fn acquired(&mut self, place: usize, function: &FunctionKey, result: Option<AcquireResult>) {
        let Some(body) = &mut self.daemons[place].body else { return };
        for number in body.acquires.remove(function).unwrap_or_default() {
            self.step(place, number, Awaits::Acquired, |way, agent, now| {
                way.acquired(agent, now, result.clone())
            });
        }
    }

    /// Changes a held function and does what its holder orders.
    pub(super) fn apply(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(held) = self.agent(place).and_then(|agent| agent.known(function, grant)) else {
            return;
        };
        let outputs = held.with(|holder| change(holder, local_now));
        self.drive(place, &held, outputs);
    }

    fn drive(&mut self, place: usize, held: &Arc<Held<u64>>, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match held.question(output) {
                Ok(question) => self.ask_steward(place, held, question),
                Err(order) => self.obey_holder(place, held, order),
            }
        }
    }

    fn obey_holder(&mut self, place: usize, held: &Arc<Held<u64>>, order: HolderOutput) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let function = held.function.clone();
        match order {
            HolderOutput::Send { ticket, runner, place: runner_place, attempt } => {
                self.send_to_runner(place, held, ticket, runner, runner_place, attempt);
            }
            HolderOutput::End { ticket, outcome } => {
                if let Some(task) = held.task(ticket) {
                    self.checks.holder_says(held.grant, &task.transaction, &outcome);
                }
                if let Some(number) = held.leave(ticket) {
                    self.step(place, number, Awaits::Outcome, |way, agent, now| {
                        way.served(agent, now, outcome)
                    });
                }
            }
            HolderOutput::Start { runner, worker, spec } => {
                let local_now = self.daemon_now(place);
                let may_start = self.agent(place).is_some_and(|agent| agent.is_serving(local_now));
                if may_start && self.network.reaches(asker.node, PLATFORM) {
                    let delay = self.long_delay();
                    self.push(delay, Event::Start(asker, function, runner, worker, spec));
                } else {
                    let delay = Duration::from_millis(500);
                    self.push(delay, Event::Started(asker, function, runner, BeginEnd::Lost));
                }
            }
            HolderOutput::Probe { runner, place: runner_place } => {
                let is_ready = self
                    .platform
                    .at(runner_place)
                    .is_some_and(|(there, held)| there == runner && self.now >= held.ready_at);
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Probed(asker, function, runner, is_ready));
            }
            HolderOutput::Settle { runner, place: runner_place } => {
                let face = held.face_of(runner);
                let running = self
                    .platform
                    .at(runner_place)
                    .filter(|(there, _)| *there == face)
                    .map(|(_, held)| held.running.keys().cloned().collect());
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Settled(asker, function, runner, running));
            }
            HolderOutput::Stop { runner, life, .. } => {
                if self.network.reaches(asker.node, PLATFORM) {
                    let delay = self.network.delay(&mut self.chance);
                    self.push(delay, Event::Stop(asker, function, runner, life));
                }
            }
            HolderOutput::Tell(word) => {
                let grant = held.grant;
                self.push(
                    Duration::from_micros(1),
                    Event::Word(asker.node, asker.life, function, grant, word),
                );
            }
            HolderOutput::Collect { .. }
            | HolderOutput::Note { .. }
            | HolderOutput::Compare { .. } => {}
        }
    }

    fn ask_steward(&mut self, place: usize, held: &Arc<Held<u64>>, question: Question) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let Question { steward, body, topic, patience } = question;
        let (function, grant) = (held.function.clone(), held.grant);
        self.next_number += 1;
        let number = self.next_number;
        self.open_questions.insert(number);
        self.push(
            patience,
            Event::StewardSaid(asker, number, function.clone(), grant, topic, None),
        );
        let Some(to_node) = self.node_at(steward.place) else { return };
        if self.network.reaches(asker.node, to_node) {
            let delay = self.network.delay(&mut self.chance);
            let asked = Event::StewardAsked(to_node, asker, number, function, grant, topic, body);
            self.push(delay, asked);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn steward_asked(
        &mut self,
        place: usize,
        asker: Asker,
        number: u64,
        function: FunctionKey,
        grant: GrantSerial,
        topic: Topic,
        body: HopBody,
    ) {
        let local_now = self.daemon_now(place);
        let node = self.daemons[place].node;
        let Some(agent) = self.agent(place) else { return };
        let reply = agent.answer_as_steward(local_now, body);
        if self.network.reaches(node, asker.node) {
            let delay = self.network.delay(&mut self.chance);
            self.push(delay, Event::StewardSaid(asker, number, function, grant, topic, reply));
        }
    }

    pub(super) fn steward_said(
        &mut self,
        place: usize,
        number: u64,
        function: &FunctionKey,
        grant: GrantSerial,
        topic: Topic,
        reply: Option<HopBody>,
    ) {
        if self.open_questions.remove(&number) {
            self.apply(place, function, grant, |holder, now| topic.reply(holder, now, reply));
        }
    }

    pub(super) fn long_delay(&mut self) -> Duration {
        if self.chance.happens(0.02) {
            self.chance.within(Duration::from_millis(10), Duration::from_millis(400))
        } else {
            self.network.delay(&mut self.chance)
        }
    }

    /// A caller's transaction reaches a daemon's door.
    pub(super) fn call(
        &mut self,
        place: usize,
        transaction: TransactionId,
        route_name: &str,
        budget: Duration,
        repeat: bool,
    ) {
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        let table = agent.table.load_full();
        let route = table
            .route_named(route_name)
            .filter(|_| agent.is_serving(local_now) && !agent.is_leaving());
        let Some(route) = route else {
            self.checks.not_run(self.now, &transaction);
            self.counted("not_run");
            return;
        };
        let function = table.function(route.function).key.clone();
        self.checks.called(self.now, &function, &transaction, route_name, route.spec.once, repeat);
        let ask = Ask {
            transaction,
            function,
            route: route_name.to_owned(),
            serial: table.serial(),
            budget_end: local_now + budget.min(route.spec.budget),
            hops: 0,
            repeat,
            refer: true,
            parcel: Arc::new(Parcel::of_body(Vec::new().into())),
        };
        self.take_ask(place, ask, Back::Caller);
    }

    /// Another daemon's frame.
    pub(super) fn hear_hop(&mut self, place: usize, back: Back, body: HopBody) {
        if let Ok(ask) = Ask::passed_on(self.daemon_now(place), body) {
            self.take_ask(place, ask, back);
        }
    }

    fn take_ask(&mut self, place: usize, ask: Ask, back: Back) {
        let local_now = self.daemon_now(place);
        self.next_number += 1;
        let number = self.next_number;
        let Some(body) = &mut self.daemons[place].body else { return };
        let in_hand = body.agent.take_in_hand();
        let way = Forwarding::new(local_now, ask);
        let pending = Pending {
            way,
            back,
            awaits: Awaits::Look,
            wakes: 0,
            passed_to: None,
            _in_hand: in_hand,
        };
        body.pendings.insert(number, pending);
        self.look(place, number);
    }

    /// The time of a wait is up, unless something else has come since.
    pub(super) fn wake(&mut self, place: usize, number: u64, wake: u64) {
        let is_due = self.daemons[place].body.as_ref().is_some_and(|body| {
            body.pendings.get(&number).is_some_and(|pending| pending.wakes == wake)
        });
        if is_due {
            self.look(place, number);
        }
    }

    /// One look where a transaction goes next, if it waits for one.
    fn look(&mut self, place: usize, number: u64) {
        self.step(place, number, Awaits::Look, |way, agent, now| way.look(agent, now));
    }

    /// A wait for the leader's answer has lasted as long as it may.
    pub(super) fn acquire_timed_out(&mut self, place: usize, number: u64) {
        self.step(place, number, Awaits::Acquired, |way, agent, now| way.look(agent, now));
    }

    fn look_all(&mut self, place: usize) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &self.daemons[place].body else { return };
        let looking: Vec<u64> = body
            .pendings
            .iter()
            .filter(|(_, pending)| pending.awaits == Awaits::Look)
            .map(|(number, _)| *number)
            .collect();
        self.end_passes_to_the_gone(place);
        for number in looking {
            let Some(body) = &mut self.daemons[place].body else { return };
            let Some(pending) = body.pendings.get_mut(&number) else { continue };
            pending.wakes += 1;
            let wake = Event::Look(node, life, number, pending.wakes);
            self.push(Duration::from_micros(2), wake);
        }
    }

    /// What was passed to a daemon that no longer counts as alive is not waited for; under a new number,
    /// so that what still comes back finds nobody.
    fn end_passes_to_the_gone(&mut self, place: usize) {
        let Some(body) = &mut self.daemons[place].body else { return };
        let hosts = body.agent.hosts.load_full();
        let is_to_gone = |pending: &Pending| {
            pending.awaits == Awaits::Passed
                && pending.passed_to.as_ref().is_some_and(|host| !is_valid(host, &hosts))
        };
        let lost: Vec<u64> = body
            .pendings
            .iter()
            .filter(|(_, pending)| is_to_gone(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.next_number += 1;
            let new_number = self.next_number;
            let Some(body) = &mut self.daemons[place].body else { return };
            let Some(pending) = body.pendings.remove(&number) else { continue };
            body.pendings.insert(new_number, pending);
            self.counted("passes to the gone");
            self.passed(place, new_number, PassEnd::Lost);
        }
    }

    fn step(
        &mut self,
        place: usize,
        number: u64,
        awaited: Awaits,
        change: impl FnOnce(&mut Forwarding, &Agent<u64>, Moment) -> ForwardingStep<u64>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        if pending.awaits != awaited {
            return;
        }
        let agent = body.agent.clone();
        let function_before = pending.way.ask().function.clone();
        let next_step = change(&mut pending.way, &agent, local_now);
        let function = pending.way.ask().function.clone();
        let is_first = !pending.way.ask().repeat;
        pending.awaits = match &next_step {
            ForwardingStep::Serve(..) => Awaits::Outcome,
            ForwardingStep::Pass { .. } => Awaits::Passed,
            ForwardingStep::Acquire { .. } => Awaits::Acquired,
            ForwardingStep::Wait { .. } | ForwardingStep::End(..) => Awaits::Look,
        };
        if function != function_before && is_first {
            self.checks.turned(self.now, &function_before, &function);
        }
        match next_step {
            ForwardingStep::Serve(held, task) => self.serve(place, number, &held, task),
            ForwardingStep::Pass { host, body, wait_until } => {
                pending.passed_to = Some(host.clone());
                self.pass(place, number, &host, body, wait_until);
            }
            ForwardingStep::Acquire { wait_until } => self.acquire(place, number, wait_until),
            ForwardingStep::Wait { wait_until } => self.wake_at(place, wait_until, number),
            ForwardingStep::End(outcome, holder) => self.end(place, number, outcome, holder),
        }
    }

    fn serve(&mut self, place: usize, number: u64, held: &Arc<Held<u64>>, task: Task) {
        let local_now = self.daemon_now(place);
        let Some(agent) = self.agent(place) else { return };
        let transaction = task.transaction.clone();
        let (at_once, outputs) = held.enter(local_now, agent.ticket(), task, number);
        if let Some((_, outcome)) = &at_once {
            self.checks.holder_says(held.grant, &transaction, outcome);
        }
        self.drive(place, held, outputs);
        if let Some((number, outcome)) = at_once {
            self.step(place, number, Awaits::Outcome, |way, agent, now| {
                way.served(agent, now, outcome)
            });
        }
    }

    fn acquire(&mut self, place: usize, number: u64, wait_until: Moment) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let span = wait_until.since(self.daemon_now(place));
        let delay = virtual_span(span, self.daemons[place].clock_drift);
        self.push(delay, Event::AcquireTimedOut(node, life, number));
        let Some(body) = &mut self.daemons[place].body else { return };
        let function = body.pendings[&number].way.ask().function.clone();
        let waiting = body.acquires.entry(function.clone()).or_default();
        waiting.push(number);
        if waiting.len() == 1 {
            self.with_controller(place, |controller, agent, now| {
                controller.acquire(agent, now, function)
            });
        }
    }

    fn pass(&mut self, place: usize, number: u64, host: &Host, body: HopBody, wait_until: Moment) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let wait_span = wait_until.since(self.daemon_now(place));
        let wait_span = virtual_span(wait_span, self.daemons[place].clock_drift);
        let Some(to_node) = self.node_at(host.place) else { return };
        let is_dead = self.daemons[to_node.daemon_place()].body.is_none();
        let delay = self.network.delay(&mut self.chance);
        if is_dead {
            self.push(delay, Event::Passed(node, life, number, PassEnd::Unsent));
            return;
        }
        if !self.network.reaches(node, to_node) {
            let is_lost = self.chance.happens(0.5);
            let (end, failed_after) = if is_lost {
                (PassEnd::Lost, wait_span)
            } else {
                (PassEnd::Unsent, Duration::from_millis(400))
            };
            self.push(failed_after, Event::Passed(node, life, number, end));
            return;
        }
        self.push(wait_span, Event::Passed(node, life, number, PassEnd::Lost));
        let back = Back::Hop { node, life, number };
        let to_life = self.daemons[to_node.daemon_place()].life;
        self.push(delay, Event::Hop(to_node, to_life, back, body));
    }

    pub(super) fn passed(&mut self, place: usize, number: u64, end: PassEnd) {
        self.step(place, number, Awaits::Passed, |way, agent, now| way.passed(agent, now, end));
    }

    fn end(&mut self, place: usize, number: u64, outcome: HopOutcome, holder: Option<Host>) {
        let node = self.daemons[place].node;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.remove(&number) else { return };
        match pending.back {
            Back::Caller => self.tell_caller(pending.way.ask(), &outcome),
            Back::Hop { node: back_node, life, number } => {
                let done = HopBody::Done { outcome, holder: Many(holder.into_iter().collect()) };
                if let HopBody::Done { outcome, holder } = done
                    && self.network.reaches(node, back_node)
                {
                    let delay = self.network.delay(&mut self.chance);
                    let end = PassEnd::Done(outcome, holder.0.into_iter().next());
                    self.push(delay, Event::Passed(back_node, life, number, end));
                }
            }
        }
    }

    fn tell_caller(&mut self, ask: &Ask, outcome: &HopOutcome) {
        let transaction = &ask.transaction;
        match outcome {
            HopOutcome::Answer { seal, runner, body, .. } => {
                self.checks.answers(self.now, transaction, &ask.function, *runner, &seal.0, body);
                self.counted("answer");
                self.answered(transaction);
            }
            HopOutcome::NotRun { reason, retry_ms } => {
                self.checks.not_run(self.now, transaction);
                self.counted(reason.as_str());
                if *retry_ms == 0 {
                    let what = format!("{transaction} is refused without a time to come back");
                    self.checks.breach(self.now, what);
                }
                self.refused(ask);
            }
            HopOutcome::Unknown { .. } => self.counted("unknown"),
        }
    }
}
