use super::checks::{Breach, Checks};
use super::daemon::{Back, Question, Reply, SimAsk, SimDaemon};
use super::flaw::Flaw;
use super::network::{Network, Node, PLATFORM};
use super::operator::{SimChange, spec};
use super::platform::{Asker, SimPlatform, SimRunner};
use super::surveyor::{SimDisk, SimSurveyor};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use survey::core::{Recalled, WriteJob, WriteResult};
use survey::desk::{ListedRunner, ListedWorker, StreamId};
use survey::plane::{Operation, OperationReply, OperationTicket, PlaneInput};
use trail::holder::SendEnd;
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::frames::{CoreFrame, Heartbeat, HopOutcome, Host, Place, StreamDown, StreamUp};
use waymark::identity::{
    ChangeId, FunctionKey, GrantSerial, Incarnation, RunnerId, Serial, Stamp, SurveyorId, Term,
    Ticket, TransactionId, WorkerName,
};
use waymark::spec::{CoreMember, Document, FunctionSpec, read_spec};

/// What a simulated day is made of.
#[derive(Clone, Debug)]
pub struct SimPlan {
    /// The seed; it decides everything.
    pub seed: u64,
    /// How long faults are caused.
    pub lasts: Duration,
    /// How many daemons.
    pub daemons: usize,
    /// Transactions a second.
    pub rate: f64,
    /// Whether faults are caused at all.
    pub has_faults: bool,
    /// The rule broken on purpose.
    pub flaw: Flaw,
}

impl SimPlan {
    /// A day of half a minute with faults.
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            lasts: Duration::from_secs(30),
            daemons: 5,
            rate: 40.0,
            has_faults: true,
            flaw: Flaw::None,
        }
    }
}

/// How a simulated day ended.
pub struct SimEnd {
    /// What must never happen, and did.
    pub breaches: Vec<Breach>,
    /// Transactions and changes by how they ended.
    pub counts: BTreeMap<String, u64>,
    /// How often each check was made.
    pub looked: BTreeMap<&'static str, u64>,
    /// Of the transactions called after everything was mended, the share answered.
    pub share_after: f64,
    /// What happened, if it was traced.
    pub trace: Vec<String>,
}

impl fmt::Display for SimEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts: Vec<String> =
            self.counts.iter().map(|(label, count)| format!("{label} {count}")).collect();
        let looked: Vec<String> =
            self.looked.iter().map(|(label, count)| format!("{label} {count}")).collect();
        write!(
            out,
            "{} breaches; after mending {:.0}% answered; {}; checks: {}",
            self.breaches.len(),
            self.share_after * 100.0,
            counts.join(", "),
            looked.join(", ")
        )
    }
}

pub(super) struct Link {
    pub daemon: Node,
    pub daemon_life: u64,
    pub surveyor: Node,
    pub surveyor_life: u64,
    pub doomed: bool,
}

pub(super) enum Event {
    Tick(Node, u64),
    Poll(Node, u64),
    CoreFrame(Node, CoreFrame),
    Durable(Node, u64, WriteJob),
    Written(Node, u64, Ticket, WriteResult),
    Lists(Node, u64, Vec<ListedWorker>, Moment, Vec<ListedRunner>),
    Dialed(u64),
    LinkUp(u64, StreamUp),
    LinkDown(u64, StreamDown),
    LinkLost(u64, Node),
    Beat(Node, Heartbeat),
    Look(Node, u64, u64),
    Ask(Node, u64, Back, SimAsk),
    AskDone(Node, u64, u64, HopOutcome, Option<Host>),
    AskFailed(Node, u64, u64, bool),
    Start(Asker, FunctionKey, RunnerId, WorkerName, FunctionSpec),
    Started(Asker, FunctionKey, RunnerId, bool),
    Stop(Asker, FunctionKey, RunnerId),
    Stopped(Asker, FunctionKey, RunnerId),
    LeaderStop(Asker, RunnerId),
    LeaderStopped(Asker, RunnerId),
    Probed(Asker, FunctionKey, RunnerId, bool),
    Settled(Asker, FunctionKey, RunnerId, Option<Vec<TransactionId>>),
    Run(Asker, FunctionKey, Ticket, RunnerId, SimAsk),
    RunDone(RunnerId, TransactionId, Asker, FunctionKey, Ticket),
    SendEnded(Asker, FunctionKey, Ticket, GrantSerial, SendEnd),
    StewardAsked(Node, Asker, FunctionKey, GrantSerial, Incarnation, Question),
    StewardSaid(Asker, FunctionKey, GrantSerial, Reply),
    Operate(Node, OperationTicket, Operation),
    Operated(OperationTicket, OperationReply),
    ListTick,
    Call,
    CallAgain(TransactionId, &'static str),
    Change,
    Fault,
    Return(Node),
    Mend,
    Behave,
    Heal,
}

impl Event {
    /// The node whose process must be awake for it, and in which life if that matters.
    fn target(&self) -> Option<(Node, Option<u64>)> {
        match self {
            Self::Tick(node, life)
            | Self::Poll(node, life)
            | Self::Written(node, life, ..)
            | Self::Lists(node, life, ..)
            | Self::Look(node, life, _)
            | Self::Ask(node, life, ..)
            | Self::AskDone(node, life, ..)
            | Self::AskFailed(node, life, ..) => Some((*node, Some(*life))),
            Self::Started(asker, ..)
            | Self::Stopped(asker, ..)
            | Self::LeaderStopped(asker, _)
            | Self::Probed(asker, ..)
            | Self::Settled(asker, ..)
            | Self::StewardSaid(asker, ..)
            | Self::SendEnded(asker, ..) => Some((asker.node, Some(asker.life))),
            Self::CoreFrame(node, _)
            | Self::Beat(node, _)
            | Self::StewardAsked(node, ..)
            | Self::Operate(node, ..) => Some((*node, None)),
            _ => None,
        }
    }
}

/// A whole virtual fleet.
pub struct World {
    pub(super) plan: SimPlan,
    pub(super) now: Moment,
    pub(super) chance: Chance,
    pub(super) surveyors: Vec<SimSurveyor>,
    pub(super) daemons: Vec<SimDaemon>,
    pub(super) platform: SimPlatform,
    pub(super) network: Network,
    pub(super) links: HashMap<u64, Link>,
    pub(super) frozen: BTreeMap<Node, Moment>,
    pub(super) checks: Checks,
    pub(super) unsynced: Vec<(usize, WriteJob)>,
    pub(super) changes: HashMap<OperationTicket, SimChange>,
    pub(super) refused_changes: Vec<ChangeId>,
    pub(super) next_number: u64,
    pub(super) mischief: f64,
    pub(super) is_tracing: bool,
    pub(super) trace: Vec<String>,
    counts: BTreeMap<String, u64>,
    queue: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    last_in_order: HashMap<(Node, Node), Moment>,
    is_healed: bool,
    calls_after: u64,
    pub(super) answers_after: u64,
    pub(super) late_calls: BTreeSet<TransactionId>,
}

impl World {
    /// A founded core, daemons that have just started, and an empty platform.
    pub fn new(plan: SimPlan, is_tracing: bool) -> Self {
        let mut chance = Chance::seeded(plan.seed);
        let ids: Vec<SurveyorId> = (0..3).map(|_| SurveyorId(chance.number() | 1)).collect();
        let mut world = Self {
            now: Moment(1_000_000_000),
            chance,
            surveyors: Vec::new(),
            daemons: Vec::new(),
            platform: SimPlatform::new(4, 1300),
            network: Network::default(),
            links: HashMap::new(),
            frozen: BTreeMap::new(),
            checks: Checks::default(),
            unsynced: Vec::new(),
            changes: HashMap::new(),
            refused_changes: Vec::new(),
            next_number: 0,
            mischief: 0.0,
            is_tracing,
            trace: Vec::new(),
            counts: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            last_in_order: HashMap::new(),
            is_healed: false,
            calls_after: 0,
            answers_after: 0,
            late_calls: BTreeSet::new(),
            plan,
        };
        world.found(&ids);
        for place in 0..world.plan.daemons {
            let clock_ahead = Duration::from_secs(world.chance.below(100_000));
            let node = Node(3 + place);
            world.daemons.push(SimDaemon { node, life: 0, clock_ahead, body: None });
            world.start_daemon(place);
        }
        world.push(Duration::ZERO, Event::ListTick);
        world.push(Duration::from_secs(3), Event::Call);
        world.schedule_change();
        if world.plan.has_faults {
            world.push(Duration::from_secs(6), Event::Fault);
        }
        let lasts = world.plan.lasts;
        world.push(lasts, Event::Heal);
        world
    }

    fn found(&mut self, ids: &[SurveyorId]) {
        let places = self.surveyor_places();
        for (number, id) in ids.iter().enumerate() {
            let core = ids
                .iter()
                .zip(&places)
                .map(|(other, place)| CoreMember {
                    id: *other,
                    place: *place,
                    locality: format!("locality-{}", place.0.ip().octets()[3]).into(),
                })
                .collect();
            let first_spec = spec(0);
            let checked_spec = read_spec(&first_spec).unwrap_or_default();
            let mut document = Document::founding(core).with_spec(
                first_spec,
                &checked_spec,
                ChangeId::from("founding"),
            );
            document.stamp = Stamp { term: Term(1), serial: Serial(2) };
            let durable = Recalled {
                id: *id,
                voted: None,
                accepted: Some(document),
                distrusted: Stamp::default(),
            };
            self.surveyors.push(SimSurveyor {
                node: Node(number),
                life: 0,
                clock_ahead: Duration::from_secs(self.chance.below(100_000)),
                plane: None,
                disk: SimDisk { durable, stalled_until: Moment::ZERO, failing_until: Moment::ZERO },
            });
            self.start_surveyor(number);
        }
    }

    pub(super) fn surveyor_places(&self) -> Vec<Place> {
        (1..=3).map(|last| Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 1))).collect()
    }

    pub(super) fn daemon_place(&self, place: usize) -> Place {
        Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, place as u8 + 1), 1))
    }

    pub(super) fn node_at(&self, place: Place) -> Option<Node> {
        let [_, _, group, last] = place.0.ip().octets();
        match group {
            0 if (1..=3).contains(&last) => Some(Node(last as usize - 1)),
            1 if last >= 1 && (last as usize) <= self.daemons.len() => {
                Some(Node(last as usize + 2))
            }
            _ => None,
        }
    }

    pub(super) fn push(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    pub(super) fn push_in_order(&mut self, key: (Node, Node), delay: Duration, event: Event) {
        let earliest = self.last_in_order.get(&key).copied().unwrap_or_default();
        let due_at = (self.now + delay).max(earliest + Duration::from_nanos(1));
        self.last_in_order.insert(key, due_at);
        self.push(due_at.since(self.now), event);
    }

    pub(super) fn counted(&mut self, label: &str) {
        self.counted_by(label, 1);
    }

    pub(super) fn counted_by(&mut self, label: &str, count: usize) {
        *self.counts.entry(label.to_owned()).or_default() += count as u64;
    }

    pub(super) fn dial(&mut self, daemon: Node, daemon_life: u64, to: Place) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let surveyor = self.node_at(to).unwrap_or(PLATFORM);
        let is_alive = surveyor.0 < 3 && self.surveyors[surveyor.0].plane.is_some();
        let surveyor_life = if is_alive { self.surveyors[surveyor.0].life } else { 0 };
        let reaches =
            self.network.reaches(daemon, surveyor) && self.network.reaches(surveyor, daemon);
        let link = Link { daemon, daemon_life, surveyor, surveyor_life, doomed: !reaches };
        self.links.insert(number, link);
        let delay = self.network.delay(&mut self.chance);
        if is_alive && reaches {
            self.push(delay, Event::Dialed(number));
        } else {
            let failed_after = if reaches { delay } else { Duration::from_millis(600) };
            self.push(failed_after, Event::LinkLost(number, daemon));
        }
        number
    }

    pub(super) fn doom_link(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else { return };
        if !link.doomed {
            link.doomed = true;
            let (daemon, surveyor) = (link.daemon, link.surveyor);
            let daemon_after = self.chance.within(Duration::from_secs(1), Duration::from_secs(4));
            let surveyor_after = self.chance.within(Duration::from_secs(1), Duration::from_secs(4));
            self.push(daemon_after, Event::LinkLost(number, daemon));
            self.push(surveyor_after, Event::LinkLost(number, surveyor));
        }
    }

    pub(super) fn close_link(&mut self, number: u64) {
        let Some(link) = self.links.get(&number) else { return };
        let (daemon, surveyor) = (link.daemon, link.surveyor);
        let delay = Duration::from_millis(4);
        self.push(delay, Event::LinkLost(number, daemon));
        self.push(delay, Event::LinkLost(number, surveyor));
    }

    pub(super) fn break_links(&mut self, node: Node) {
        let mut broken: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.daemon == node || link.surveyor == node)
            .map(|(number, _)| *number)
            .collect();
        broken.sort_unstable();
        for number in broken {
            self.close_link(number);
        }
    }

    /// Runs the day to its end.
    pub fn run(mut self) -> SimEnd {
        let end_at = self.now + self.plan.lasts + Duration::from_secs(20);
        while let Some(((due_at, number), event)) = self.queue.pop_first() {
            if due_at > end_at || self.checks.breaches.len() > 20 {
                break;
            }
            self.now = self.now.max(due_at);
            let target = event.target().or_else(|| self.link_target(&event));
            if let Some((node, life)) = target {
                if let Some(frozen_until) = self.frozen.get(&node).copied() {
                    if frozen_until > self.now {
                        self.queue.insert((frozen_until, number), event);
                        continue;
                    }
                    self.frozen.remove(&node);
                }
                if !self.is_living(node, life) {
                    continue;
                }
            }
            self.happen(event);
        }
        self.check_refused();
        let share_after = self.answers_after as f64 / self.calls_after.max(1) as f64;
        SimEnd {
            breaches: self.checks.breaches,
            counts: self.counts,
            looked: self.checks.looked,
            share_after,
            trace: self.trace,
        }
    }

    fn link_target(&self, event: &Event) -> Option<(Node, Option<u64>)> {
        match event {
            Event::Dialed(number) | Event::LinkDown(number, _) => {
                self.links.get(number).map(|link| (link.daemon, Some(link.daemon_life)))
            }
            Event::LinkUp(number, _) => {
                self.links.get(number).map(|link| (link.surveyor, Some(link.surveyor_life)))
            }
            Event::LinkLost(_, node) => Some((*node, None)),
            _ => None,
        }
    }

    fn is_living(&self, node: Node, life: Option<u64>) -> bool {
        if node.0 < 3 {
            let surveyor = &self.surveyors[node.0];
            surveyor.plane.is_some() && life.is_none_or(|life| life == surveyor.life)
        } else if node != PLATFORM {
            let daemon = &self.daemons[node.0 - 3];
            daemon.body.is_some() && life.is_none_or(|life| life == daemon.life)
        } else {
            true
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                self.push(Duration::from_millis(20), Event::Tick(node, life));
                if node.0 < 3 {
                    self.feed_surveyor(node.0, PlaneInput::Tick);
                } else {
                    self.tick_daemon(node.0 - 3);
                }
            }
            Event::Poll(node, _) => self.poll_platform(node.0),
            Event::CoreFrame(node, frame) => self.feed_surveyor(node.0, PlaneInput::Core(frame)),
            Event::Durable(node, life, job) => {
                if self.surveyors[node.0].life == life {
                    self.durable(node.0, &job);
                }
            }
            Event::Written(node, _, ticket, result) => {
                self.feed_surveyor(node.0, PlaneInput::Written(ticket, result));
            }
            Event::Lists(node, _, workers, content_at, runners) => {
                self.feed_surveyor(node.0, PlaneInput::Workers(workers));
                self.feed_surveyor(node.0, PlaneInput::Runners(content_at, runners));
            }
            Event::Dialed(number) => {
                if let Some(link) = self.links.get(&number)
                    && self.is_current_link(link.daemon.0 - 3, number)
                {
                    let place = link.daemon.0 - 3;
                    self.with_keeper(place, |keeper, now| keeper.connected(now));
                }
            }
            Event::LinkUp(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.surveyor.0;
                self.feed_surveyor(place, PlaneInput::Stream(StreamId(number), frame));
            }
            Event::LinkDown(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.daemon.0 - 3;
                if self.is_current_link(place, number) {
                    self.with_keeper(place, |keeper, now| keeper.heard(now, frame));
                }
            }
            Event::LinkLost(number, node) => {
                if node.0 < 3 {
                    self.feed_surveyor(node.0, PlaneInput::StreamLost(StreamId(number)));
                } else if node != PLATFORM {
                    self.link_lost(node.0 - 3, number);
                }
            }
            Event::Beat(node, heartbeat) => self.heartbeat(node.0 - 3, &heartbeat),
            Event::Look(node, _, number) => self.look(node.0 - 3, number),
            Event::Ask(node, _, back, ask) => self.take_ask(node.0 - 3, ask, back),
            Event::AskDone(node, _, number, outcome, holder) => {
                self.ask_done(node.0 - 3, number, outcome, holder);
            }
            Event::AskFailed(node, _, number, is_lost) => {
                self.ask_failed(node.0 - 3, number, is_lost);
            }
            Event::Run(asker, function, ticket, runner, ask) => {
                self.begin_run(asker, function, ticket, runner, &ask);
            }
            Event::RunDone(runner, transaction, asker, function, ticket) => {
                self.run_done(runner, &transaction, asker, function, ticket);
            }
            Event::SendEnded(asker, function, ticket, grant, end) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, grant, |holder, now| {
                    holder.sent_ended(now, ticket, end)
                });
            }
            Event::StewardAsked(node, asker, function, grant, incarnation, question) => {
                let place = node.0 - 3;
                self.steward_asked(place, asker, function, grant, incarnation, question);
            }
            Event::StewardSaid(asker, function, grant, reply) => {
                self.steward_said(asker.node.0 - 3, &function, grant, reply);
            }
            other => self.happen_outside(other),
        }
    }

    fn happen_outside(&mut self, event: Event) {
        match event {
            Event::Start(asker, function, runner, worker, spec) => {
                let alive = self.platform.runners.iter().map(|(name, held)| (name, &held.function));
                if !self.platform.ended.contains(&runner) {
                    self.checks.holds_alone(self.now, &function, runner.grant, alive);
                }
                let started = SimRunner {
                    function: function.clone(),
                    worker,
                    ready_at: self.now + spec.boot,
                    running: Default::default(),
                    slots: spec.slots,
                };
                let is_started = self.platform.start(runner, started);
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Started(asker, function, runner, is_started));
            }
            Event::Started(asker, function, runner, is_started) => {
                let place = asker.node.0 - 3;
                let runner_place = is_started.then(Self::unused_place);
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.started(now, runner, runner_place)
                });
            }
            Event::Stop(asker, function, runner) => {
                self.platform.stop(runner);
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Stopped(asker, function, runner));
            }
            Event::Stopped(asker, function, runner) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.stopped(now, runner)
                });
            }
            Event::LeaderStop(asker, runner) => {
                if self.plan.flaw != Flaw::FenceDropped {
                    self.platform.stop(runner);
                }
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::LeaderStopped(asker, runner));
            }
            Event::LeaderStopped(asker, runner) => {
                self.feed_surveyor(asker.node.0, PlaneInput::RunnerStopped(runner));
            }
            Event::Probed(asker, function, runner, is_ready) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.probed(now, runner, is_ready)
                });
            }
            Event::Settled(asker, function, runner, running) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.settled(now, runner, running)
                });
            }
            Event::Operate(node, ticket, operation) => {
                self.feed_surveyor(node.0, PlaneInput::Operate(ticket, operation));
            }
            Event::Operated(ticket, reply) => self.hear_operated(ticket, reply),
            Event::ListTick => {
                self.platform.take_list(self.now);
                self.push(Duration::from_millis(100), Event::ListTick);
            }
            Event::Call => self.call_some(),
            Event::CallAgain(transaction, route_name) => self.call_again(transaction, route_name),
            Event::Change => {
                self.send_change();
                if !self.is_healed {
                    self.schedule_change();
                }
            }
            Event::Fault if !self.is_healed => {
                self.cause_fault();
                self.schedule_fault();
            }
            Event::Return(node) => self.bring_back(node),
            Event::Mend => self.network.mend(),
            Event::Behave => self.mischief = 0.0,
            Event::Heal => {
                self.heal();
                self.is_healed = true;
            }
            _ => {}
        }
    }

    fn call_some(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.plan.rate);
        self.push(gap, Event::Call);
        self.next_number += 1;
        let transaction = TransactionId::from(format!("t{}", self.next_number));
        let place = self.chance.below(self.daemons.len() as u64) as usize;
        let routes = ["f0", "f0", "f1", "f1", "f2", "f3", "f4", "f5", "canary", "canary"];
        let route_name = routes[self.chance.below(routes.len() as u64) as usize];
        let budget = self.chance.within(Duration::from_millis(500), Duration::from_millis(3000));
        let node = self.daemons[place].node;
        let is_frozen = self.frozen.get(&node).is_some_and(|until| *until > self.now);
        if self.daemons[place].body.is_none() || is_frozen {
            return;
        }
        let heal_end = Moment(1_000_000_000) + self.plan.lasts + Duration::from_secs(12);
        if self.now >= heal_end {
            self.calls_after += 1;
            self.late_calls.insert(transaction.clone());
        }
        if self.chance.happens(0.2) {
            let wait_span = self.chance.within(Duration::ZERO, Duration::from_millis(2900));
            self.late_calls.remove(&transaction);
            let transaction = TransactionId::from(format!("again-{}", self.next_number));
            if self.now >= heal_end {
                self.late_calls.insert(transaction.clone());
            }
            self.push(wait_span, Event::CallAgain(transaction.clone(), route_name));
            self.call(place, transaction, route_name, budget);
            return;
        }
        self.call(place, transaction, route_name, budget);
    }

    /// The same identity comes again, by another door: it may be refused, and must not run twice.
    fn call_again(&mut self, transaction: TransactionId, route_name: &'static str) {
        let place = self.chance.below(self.daemons.len() as u64) as usize;
        let is_frozen =
            self.frozen.get(&self.daemons[place].node).is_some_and(|until| *until > self.now);
        if !is_frozen {
            self.call(place, transaction, route_name, Duration::from_millis(3000));
        }
    }
}
