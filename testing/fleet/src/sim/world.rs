use super::checks::{Breach, Checks};
use super::controller::{SimController, SimDisk};
use super::daemon::{Back, SimDaemon};
use super::faults::SimFault;
use super::flaw::Flaw;
use super::network::{Network, Node, PLATFORM};
use super::operator::spec;
use super::orders::Operators;
use super::platform::{Asker, SimPlatform, SimRunner};
use super::runners::SimRun;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::{CoreFrame, Heartbeat, HopBody, Life, Place, StreamDown, StreamUp};
use common::identity::{
    ChangeId, ControllerId, FunctionKey, GrantSerial, LifeName, RunnerId, Serial, Stamp, Term,
    Ticket, TransactionId, WorkerName, Zone,
};
use common::rules::Rules;
use common::spec::{CoreMember, Document, FunctionSpec, read_spec};
use common::tongue::{BeginEnd, ListedRunner, ListedWorker, StopOrder};
use controlplane::controller_state::{ControllerInput, Operation, OperationReply, OperationTicket};
use controlplane::core::{Recalled, WriteJob, WriteResult};
use controlplane::leader_state::StreamId;
use dataplane::agent::{Ask, PassEnd, Topic};
use dataplane::holder::Tuning;
use dataplane::holder::{HolderWord, SendEnd};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

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
    /// The share of transactions whose identity is sent twice.
    pub twins: f64,
    /// The only faults of the day; all of them if none is named.
    pub focus: Vec<SimFault>,
    /// The longest time from one fault to the next.
    pub gap: Duration,
    /// How daemons run what they hold.
    pub tuning: Tuning,
    /// Whether functions that boot long are sought before they are called.
    pub seeks_warm: bool,
    /// The longest time from one order of operators to the next.
    pub order_gap: Duration,
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
            twins: 0.2,
            focus: Vec::new(),
            gap: Duration::from_millis(3500),
            tuning: Tuning::default(),
            seeks_warm: false,
            order_gap: Duration::from_millis(3000),
        }
    }

    /// The rules that the programs keep.
    pub fn rules(&self) -> Rules {
        self.flaw.rules()
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
    /// Of the transactions called from 12 s after everything was mended, the share answered.
    pub share_after: f64,
    /// How long after everything was mended at least half of all calls were answered for good.
    pub back_after: Duration,
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
            "{} breaches; after mending {:.0}% answered, back in {} ms; {}; checks: {}",
            self.breaches.len(),
            self.share_after * 100.0,
            self.back_after.as_millis(),
            counts.join(", "),
            looked.join(", ")
        )
    }
}

pub(super) struct Link {
    pub daemon: Node,
    pub daemon_life: u64,
    pub controller: Node,
    pub controller_life: u64,
    pub doomed: bool,
}

pub(super) enum Event {
    Tick(Node, u64),
    Poll(Node, u64),
    CoreFrame(Node, CoreFrame),
    ControllerGone(Node, Place),
    Durable(Node, u64, WriteJob),
    Written(Node, u64, Ticket, WriteResult),
    Lists(Node, u64, Vec<ListedWorker>, Moment, Vec<ListedRunner>),
    Dialed(u64),
    LinkUp(u64, StreamUp),
    LinkDown(u64, StreamDown),
    LinkLost(u64, Node),
    Beat(Node, Heartbeat),
    Look(Node, u64, u64, u64),
    AcquireTimedOut(Node, u64, u64),
    Hop(Node, u64, Back, HopBody),
    Passed(Node, u64, u64, PassEnd),
    Word(Node, u64, FunctionKey, GrantSerial, HolderWord),
    Gone(Node, u64),
    Start(Asker, FunctionKey, RunnerId, WorkerName, FunctionSpec),
    Started(Asker, FunctionKey, RunnerId, BeginEnd),
    Stop(Asker, FunctionKey, RunnerId, Option<LifeName>),
    Stopped(Asker, FunctionKey, RunnerId),
    LeaderStop(Asker, StopOrder),
    LeaderStopped(Asker, RunnerId),
    Probed(Asker, FunctionKey, RunnerId, bool),
    Settled(Asker, FunctionKey, RunnerId, Option<Vec<TransactionId>>),
    Run(Place, SimRun),
    RunDone(RunnerId, SimRun, u8),
    SendEnded(Asker, FunctionKey, Ticket, GrantSerial, SendEnd),
    StewardAsked(Node, Asker, u64, FunctionKey, GrantSerial, Topic, HopBody),
    StewardSaid(Asker, u64, FunctionKey, GrantSerial, Topic, Option<HopBody>),
    Operate(Node, OperationTicket, Operation),
    Withdraw(Node, OperationTicket),
    HangUp(OperationTicket),
    SendAgain(u64),
    ReadBack,
    Operated(OperationTicket, OperationReply),
    ListTick,
    Call,
    CallAgain(TransactionId, &'static str),
    Repeat(String),
    Change,
    Fault,
    Return(Node),
    Mend,
    Wake(Node),
    Behave,
    RestoreWorkers,
    RunnerLeft(RunnerId),
    WorkersReturn(Vec<ListedWorker>),
    Restore(Zone),
    Heal,
}

impl Event {
    fn is_from_operator(&self) -> bool {
        matches!(self, Self::Operate(..) | Self::Withdraw(..))
    }

    /// The node whose process must be awake for it, and in which life if that matters.
    fn target(&self) -> Option<(Node, Option<u64>)> {
        match self {
            Self::Tick(node, life)
            | Self::Poll(node, life)
            | Self::Written(node, life, ..)
            | Self::Lists(node, life, ..)
            | Self::Look(node, life, ..)
            | Self::AcquireTimedOut(node, life, _)
            | Self::Hop(node, life, ..)
            | Self::Word(node, life, ..)
            | Self::Gone(node, life)
            | Self::Passed(node, life, ..) => Some((*node, Some(*life))),
            Self::Started(asker, ..)
            | Self::Stopped(asker, ..)
            | Self::LeaderStopped(asker, _)
            | Self::Probed(asker, ..)
            | Self::Settled(asker, ..)
            | Self::StewardSaid(asker, ..)
            | Self::SendEnded(asker, ..) => Some((asker.node, Some(asker.life))),
            Self::CoreFrame(node, _)
            | Self::ControllerGone(node, _)
            | Self::Beat(node, _)
            | Self::StewardAsked(node, ..)
            | Self::Operate(node, ..)
            | Self::Withdraw(node, _) => Some((*node, None)),
            _ => None,
        }
    }
}

/// A whole virtual fleet.
pub struct World {
    pub(super) plan: SimPlan,
    pub(super) now: Moment,
    pub(super) chance: Chance,
    pub(super) controllers: Vec<SimController>,
    pub(super) daemons: Vec<SimDaemon>,
    pub(super) platform: SimPlatform,
    pub(super) network: Network,
    pub(super) links: HashMap<u64, Link>,
    pub(super) frozen: BTreeMap<Node, Moment>,
    deferred: BTreeMap<Node, Vec<Event>>,
    pub(super) checks: Checks,
    pub(super) unsynced: Vec<(usize, WriteJob)>,
    pub(super) operators: Operators,
    pub(super) next_number: u64,
    pub(super) mischief: f64,
    pub(super) impatient_until: Moment,
    pub(super) open_questions: BTreeSet<u64>,
    pub(super) is_tracing: bool,
    pub(super) trace: Vec<String>,
    counts: BTreeMap<String, u64>,
    queue: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    last_in_order: HashMap<(Node, Node), Moment>,
    is_healed: bool,
    moved_count: u8,
    late_calls: BTreeMap<TransactionId, usize>,
    late_shares: Vec<(u64, u64)>,
}

impl World {
    /// A founded core, daemons that have just started, and an empty platform.
    pub fn new(plan: SimPlan, is_tracing: bool) -> Self {
        let mut chance = Chance::seeded(plan.seed);
        let ids: Vec<ControllerId> = (0..3).map(|_| ControllerId(chance.number() | 1)).collect();
        let mut world = Self {
            now: Moment(1_000_000_000),
            chance,
            controllers: Vec::new(),
            daemons: Vec::new(),
            platform: SimPlatform::new(4, 1300),
            network: Network::default(),
            links: HashMap::new(),
            frozen: BTreeMap::new(),
            deferred: BTreeMap::new(),
            checks: Checks::default(),
            unsynced: Vec::new(),
            operators: Operators::default(),
            next_number: 0,
            mischief: 0.0,
            impatient_until: Moment::ZERO,
            open_questions: BTreeSet::new(),
            is_tracing,
            trace: Vec::new(),
            counts: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            last_in_order: HashMap::new(),
            is_healed: false,
            moved_count: 0,
            late_calls: BTreeMap::new(),
            late_shares: Vec::new(),
            plan,
        };
        world.found(&ids);
        for place in 0..world.plan.daemons {
            let clock_ahead = Duration::from_secs(world.chance.below(100_000));
            let clock_drift = world.some_drift();
            let node = Node(3 + place);
            world.daemons.push(SimDaemon { node, life: 0, clock_ahead, clock_drift, body: None });
            world.start_daemon(place);
        }
        world.push(Duration::ZERO, Event::ListTick);
        world.push(Duration::from_secs(3), Event::Call);
        world.schedule_change();
        world.schedule_reading();
        if world.plan.has_faults {
            world.push(Duration::from_secs(6), Event::Fault);
        }
        let lasts = world.plan.lasts;
        world.push(lasts, Event::Heal);
        world
    }

    fn found(&mut self, ids: &[ControllerId]) {
        let places = self.seeds();
        for (number, id) in ids.iter().enumerate() {
            let core = ids
                .iter()
                .zip(&places)
                .enumerate()
                .map(|(other_number, (other, place))| CoreMember {
                    id: *other,
                    place: *place,
                    zone: Self::zone(other_number),
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
            let clock_ahead = Duration::from_secs(self.chance.below(100_000));
            let clock_drift = self.some_drift();
            self.controllers.push(SimController {
                node: Node(number),
                life: 0,
                place: places[number],
                clock_ahead,
                clock_drift,
                controller_state: None,
                disk: SimDisk {
                    durable,
                    stalled_until: Moment::ZERO,
                    failing_until: Moment::ZERO,
                    previous: None,
                },
            });
            self.start_controller(number);
        }
    }

    /// Rates of clocks that differ by nearly a tenth at most, between any two machines.
    fn some_drift(&mut self) -> i64 {
        self.chance.below(91) as i64 - 45
    }

    /// The three seed addresses: where the first controllers stood.
    pub(super) fn seeds(&self) -> Vec<Place> {
        (1..=3).map(Self::controller_place).collect()
    }

    fn controller_place(last: u8) -> Place {
        Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, last), 1))
    }

    /// A controller's machine is replaced by one at a new address.
    pub(super) fn move_controller(&mut self, place: usize) {
        self.moved_count += 1;
        self.controllers[place].place = Self::controller_place(10 + self.moved_count);
    }

    pub(super) fn daemon_place(&self, place: usize) -> Place {
        Place(SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, place as u8 + 1), 1))
    }

    pub(super) fn node_at(&self, place: Place) -> Option<Node> {
        let [_, _, group, last] = place.0.ip().octets();
        match group {
            0 => self.controllers.iter().position(|controller| controller.place == place).map(Node),
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
        let controller = self.node_at(to).unwrap_or(PLATFORM);
        let is_alive =
            controller.0 < 3 && self.controllers[controller.0].controller_state.is_some();
        let controller_life = if is_alive { self.controllers[controller.0].life } else { 0 };
        let reaches =
            self.network.reaches(daemon, controller) && self.network.reaches(controller, daemon);
        let link = Link { daemon, daemon_life, controller, controller_life, doomed: !reaches };
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
            let (daemon, controller) = (link.daemon, link.controller);
            let daemon_after = self.chance.within(Duration::from_secs(1), Duration::from_secs(4));
            let controller_after =
                self.chance.within(Duration::from_secs(1), Duration::from_secs(4));
            self.push(daemon_after, Event::LinkLost(number, daemon));
            self.push(controller_after, Event::LinkLost(number, controller));
        }
    }

    pub(super) fn close_link(&mut self, number: u64) {
        let Some(link) = self.links.get(&number) else { return };
        let (daemon, controller) = (link.daemon, link.controller);
        let delay = Duration::from_millis(4);
        self.push(delay, Event::LinkLost(number, daemon));
        self.push(delay, Event::LinkLost(number, controller));
    }

    pub(super) fn break_links(&mut self, node: Node) {
        let mut broken: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.daemon == node || link.controller == node)
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
        while let Some(((due_at, _), event)) = self.queue.pop_first() {
            if due_at > end_at || self.checks.breaches.len() > 20 {
                break;
            }
            self.now = self.now.max(due_at);
            let target = event.target().or_else(|| self.link_target(&event));
            if let Some((node, life)) = target {
                if self.is_frozen(node) {
                    self.deferred.entry(node).or_default().push(event);
                    continue;
                }
                if !self.is_living(node, life) {
                    continue;
                }
            }
            self.happen(event);
        }
        self.judge_operators();
        let (share_after, back_after) = self.return_to_service();
        self.check_return();
        SimEnd {
            breaches: self.checks.breaches,
            counts: self.counts,
            looked: self.checks.looked,
            share_after,
            back_after,
            trace: self.trace,
        }
    }

    /// From 12 s after the mending on, no second may have most calls unanswered.
    fn check_return(&mut self) {
        let late_seconds: Vec<(u64, u64)> = self
            .late_shares
            .chunks(2)
            .skip(12)
            .map(|halves| halves.iter().fold((0, 0), |sum, half| (sum.0 + half.0, sum.1 + half.1)))
            .collect();
        for (second, (calls, answers)) in late_seconds.into_iter().enumerate() {
            self.checks.returned(self.now, 12 + second as u64, calls, answers);
        }
    }

    /// The share answered from 12 s after the mending, and when at least half was answered for good.
    fn return_to_service(&self) -> (f64, Duration) {
        let settled = self.late_shares.iter().skip(24);
        let (calls, answers) =
            settled.fold((0, 0), |sum, half_second| (sum.0 + half_second.0, sum.1 + half_second.1));
        let is_down = |half_second: &(u64, u64)| half_second.1 * 2 < half_second.0;
        let last_down = self.late_shares.iter().rposition(is_down);
        let back_after = Duration::from_millis(500) * last_down.map_or(0, |last| last as u32 + 1);
        (answers as f64 / calls.max(1) as f64, back_after)
    }

    pub(super) fn is_frozen(&self, node: Node) -> bool {
        self.frozen.get(&node).is_some_and(|until| *until > self.now)
    }

    /// A frozen machine wakes: what came meanwhile is taken in the order in which it came, but for
    /// operators' connections, which may be read before all others.
    fn wake_machine(&mut self, node: Node) {
        if !self.is_frozen(node) {
            self.frozen.remove(&node);
            let deferred = self.deferred.remove(&node).unwrap_or_default();
            let is_read_first = self.chance.happens(0.8);
            let (first, others): (Vec<Event>, Vec<Event>) =
                deferred.into_iter().partition(|event| is_read_first && event.is_from_operator());
            for event in first.into_iter().chain(others) {
                self.push(Duration::ZERO, event);
            }
        }
    }

    /// Every frozen machine wakes.
    pub(super) fn wake_all(&mut self) {
        let frozen_nodes: Vec<Node> = std::mem::take(&mut self.frozen).into_keys().collect();
        for node in frozen_nodes {
            self.wake_machine(node);
        }
    }

    fn link_target(&self, event: &Event) -> Option<(Node, Option<u64>)> {
        match event {
            Event::Dialed(number) | Event::LinkDown(number, _) => {
                self.links.get(number).map(|link| (link.daemon, Some(link.daemon_life)))
            }
            Event::LinkUp(number, _) => {
                self.links.get(number).map(|link| (link.controller, Some(link.controller_life)))
            }
            Event::LinkLost(_, node) => Some((*node, None)),
            _ => None,
        }
    }

    fn is_living(&self, node: Node, life: Option<u64>) -> bool {
        if node.0 < 3 {
            let controller = &self.controllers[node.0];
            controller.controller_state.is_some() && life.is_none_or(|life| life == controller.life)
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
                    self.feed_controller(node.0, ControllerInput::Tick);
                } else {
                    self.tick_daemon(node.0 - 3);
                }
            }
            Event::Poll(node, _) => self.poll_platform(node.0),
            Event::CoreFrame(node, frame) => {
                self.feed_controller(node.0, ControllerInput::Core(frame))
            }
            Event::ControllerGone(node, place) => {
                self.feed_controller(node.0, ControllerInput::Gone(place));
            }
            Event::Durable(node, life, job) => {
                if self.controllers[node.0].life == life {
                    self.durable(node.0, &job);
                }
            }
            Event::Written(node, _, ticket, result) => {
                self.feed_controller(node.0, ControllerInput::Written(ticket, result));
            }
            Event::Lists(node, _, workers, content_at, runners) => {
                self.feed_controller(node.0, ControllerInput::Workers(workers));
                self.feed_controller(node.0, ControllerInput::Runners(content_at, runners));
            }
            Event::Dialed(number) => {
                if let Some(link) = self.links.get(&number)
                    && self.is_current_link(link.daemon.0 - 3, number)
                {
                    let place = link.daemon.0 - 3;
                    self.with_controller(place, |controller, agent, now| {
                        controller.connected(agent, now)
                    });
                }
            }
            Event::LinkUp(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.controller.0;
                self.feed_controller(place, ControllerInput::Stream(StreamId(number), frame));
            }
            Event::LinkDown(number, frame) => {
                let Some(link) = self.links.get(&number).filter(|link| !link.doomed) else {
                    return;
                };
                let place = link.daemon.0 - 3;
                if self.is_current_link(place, number) {
                    self.with_controller(place, |controller, agent, now| {
                        controller.heard(agent, now, frame)
                    });
                }
            }
            Event::LinkLost(number, node) => {
                if node.0 < 3 {
                    self.feed_controller(node.0, ControllerInput::StreamLost(StreamId(number)));
                } else if node != PLATFORM {
                    self.link_lost(node.0 - 3, number);
                }
            }
            Event::Beat(node, heartbeat) => self.heartbeat(node.0 - 3, &heartbeat),
            Event::Look(node, _, number, wake) => self.wake(node.0 - 3, number, wake),
            Event::AcquireTimedOut(node, _, number) => self.acquire_timed_out(node.0 - 3, number),
            Event::Hop(node, _, back, body) => self.hear_hop(node.0 - 3, back, body),
            Event::Passed(node, _, number, end) => self.passed(node.0 - 3, number, end),
            Event::Word(node, _, function, grant, word) => {
                self.with_controller(node.0 - 3, |controller, agent, now| {
                    controller.told(agent, now, function, grant, word)
                });
            }
            Event::Gone(node, _) => {
                self.kill_daemon(node.0 - 3);
                self.push(Duration::from_millis(700), Event::Return(node));
            }
            Event::Run(place, run) => self.begin_run(place, run),
            Event::RunDone(runner, run, spoils) => self.run_done(runner, run, spoils),
            Event::SendEnded(asker, function, ticket, grant, end) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, grant, |holder, now| {
                    holder.sent_ended(now, ticket, end)
                });
            }
            Event::StewardAsked(node, asker, number, function, grant, topic, body) => {
                let place = node.0 - 3;
                self.steward_asked(place, asker, number, function, grant, topic, body);
            }
            Event::StewardSaid(asker, number, function, grant, topic, reply) => {
                self.steward_said(asker.node.0 - 3, number, &function, grant, topic, reply);
            }
            other => self.happen_outside(other),
        }
    }

    fn happen_outside(&mut self, event: Event) {
        match event {
            Event::Start(asker, function, runner, worker, spec) => {
                self.start_runner(asker, function, runner, worker, &spec);
            }
            Event::Started(asker, function, runner, end) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.started(now, runner, end)
                });
            }
            Event::Stop(asker, function, runner, life) => {
                self.platform.stop_life(runner, life.as_ref());
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Stopped(asker, function, runner));
            }
            Event::Stopped(asker, function, runner) => {
                let place = asker.node.0 - 3;
                self.apply(place, &function, runner.grant, |holder, now| {
                    holder.stopped(now, runner)
                });
            }
            Event::LeaderStop(asker, order) => {
                let runner = order.runner;
                let flaw = self.plan.flaw;
                if !matches!(flaw, Flaw::StopsUnconfirmed | Flaw::StopsUnheard) {
                    self.platform.stop_life(runner, order.life.as_ref());
                }
                let delay = self.network.delay(&mut self.chance);
                if self.plan.flaw != Flaw::StopsUnheard {
                    self.push(delay, Event::LeaderStopped(asker, runner));
                }
            }
            Event::LeaderStopped(asker, runner) => {
                self.feed_controller(asker.node.0, ControllerInput::RunnerStopped(runner));
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
                self.feed_controller(node.0, ControllerInput::Operate(ticket, operation));
            }
            Event::Withdraw(node, ticket) => {
                self.feed_controller(node.0, ControllerInput::Withdrawn(ticket));
            }
            Event::HangUp(ticket) => self.hang_up(ticket),
            Event::SendAgain(wish) => self.send_wish(wish),
            Event::ReadBack => {
                self.read_back();
                self.schedule_reading();
            }
            Event::Operated(ticket, reply) => self.hear_operated(ticket, reply),
            Event::ListTick => {
                self.platform.take_list(self.now);
                self.check_hands();
                let is_late = self.platform.lag > Duration::from_millis(1000);
                if is_late || !self.is_control_whole() {
                    self.checks.doubts_control(self.now);
                }
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
            Event::Wake(node) => self.wake_machine(node),
            Event::Behave => {
                self.mischief = 0.0;
                self.platform.lag = Duration::from_millis(1000);
            }
            Event::RunnerLeft(runner) => self.platform.stop(runner),
            Event::RestoreWorkers => self.platform.restore(),
            Event::WorkersReturn(workers) => {
                self.platform.workers.extend(workers);
                self.platform.workers.sort_by(|left, right| left.worker.cmp(&right.worker));
            }
            Event::Restore(zone) => self.turn_zone(zone, false),
            Event::Repeat(route_name) => self.repeat(&route_name),
            Event::Heal => {
                self.heal();
                self.is_healed = true;
            }
            _ => {}
        }
    }

    /// An order to start reaches the platform; its answer may be lost, or the platform busy.
    fn start_runner(
        &mut self,
        asker: Asker,
        function: FunctionKey,
        runner: RunnerId,
        worker: WorkerName,
        spec: &FunctionSpec,
    ) {
        let is_busy = self.chance.happens(0.02);
        let is_answer_lost = self.chance.happens(0.02);
        let is_known =
            self.platform.ended.contains(&runner) || self.platform.runners.contains_key(&runner);
        let end = if is_busy {
            BeginEnd::Busy
        } else {
            if !is_known {
                let alive = self
                    .platform
                    .runners
                    .iter()
                    .map(|(key, held)| (key, &held.function, &held.life));
                self.checks.starts_alone(self.now, &function, runner.grant, alive);
            }
            let started = SimRunner {
                function: function.clone(),
                worker,
                life: Life { name: "".into(), place: Place::NOWHERE },
                ready_at: self.now + spec.boot,
                running: Default::default(),
                slots: spec.slots,
                answered: 0,
                last_sealed: None,
            };
            self.platform.start(runner, started)
        };
        let end = if is_answer_lost { BeginEnd::Lost } else { end };
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::Started(asker, function, runner, end));
    }

    /// Whether there is a leader that is awake and reaches the platform and every daemon.
    fn is_control_whole(&self) -> bool {
        let is_awake = |node: &Node| self.frozen.get(node).is_none_or(|until| *until <= self.now);
        self.controllers.iter().any(|controller| {
            controller.controller_state.as_ref().is_some_and(|controller_state| {
                controller_state.core().is_ready()
                    && controller_state
                        .leader_state()
                        .is_some_and(|leader_state| leader_state.is_open())
            }) && is_awake(&controller.node)
                && self.all_nodes().iter().skip(3).all(|node| {
                    self.network.reaches(controller.node, *node)
                        && self.network.reaches(*node, controller.node)
                })
        })
    }

    fn heal_moment(&self) -> Moment {
        Moment(1_000_000_000) + self.plan.lasts
    }

    /// Notes a call made after everything was mended, in its half second.
    fn note_late(&mut self, transaction: &TransactionId) {
        let heal_moment = self.heal_moment();
        if self.now < heal_moment {
            return;
        }
        let half_second = (self.now.since(heal_moment).as_millis() / 500) as usize;
        if half_second < 34 {
            if self.late_shares.len() <= half_second {
                self.late_shares.resize(half_second + 1, (0, 0));
            }
            self.late_shares[half_second].0 += 1;
            self.late_calls.insert(transaction.clone(), half_second);
        }
    }

    pub(super) fn answered(&mut self, transaction: &TransactionId) {
        if let Some(half_second) = self.late_calls.remove(transaction) {
            self.late_shares[half_second].1 += 1;
        }
    }

    /// A refused caller: an impatient one repeats at once, by another door, and says so.
    pub(super) fn refused(&mut self, ask: &Ask) {
        if self.now < self.impatient_until && self.chance.happens(0.7) {
            let wait_span = self.chance.within(Duration::ZERO, Duration::from_millis(40));
            self.push(wait_span, Event::Repeat(ask.route.clone()));
        }
    }

    fn some_door(&mut self) -> Option<usize> {
        let place = self.chance.below(self.daemons.len() as u64) as usize;
        let is_frozen = self.is_frozen(self.daemons[place].node);
        let is_open = self.daemons[place].body.is_some() && !self.is_leaving(place);
        (is_open && !is_frozen).then_some(place)
    }

    fn repeat(&mut self, route_name: &str) {
        self.next_number += 1;
        let transaction = TransactionId::from(format!("repeat-{}", self.next_number));
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, Duration::from_millis(2000), true);
        }
    }

    pub(super) fn call_one(&mut self, route_name: &'static str) {
        self.next_number += 1;
        let transaction = TransactionId::from(format!("t{}", self.next_number));
        let budget = self.chance.within(Duration::from_millis(1000), Duration::from_millis(3000));
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, budget, false);
        }
    }

    fn call_some(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.plan.rate);
        self.push(gap, Event::Call);
        self.next_number += 1;
        let routes = ["f0", "f0", "f1", "f1", "f2", "f3", "f4", "f5", "canary", "canary"];
        let route_name = routes[self.chance.below(routes.len() as u64) as usize];
        let budget = self.chance.within(Duration::from_millis(500), Duration::from_millis(3000));
        let is_twin = self.chance.happens(self.plan.twins);
        let twin_after = self.chance.within(Duration::ZERO, Duration::from_millis(2900));
        let Some(place) = self.some_door() else { return };
        let transaction = TransactionId::from(format!("t{}", self.next_number));
        self.note_late(&transaction);
        if is_twin {
            self.checks.twin(&transaction);
            self.push(twin_after, Event::CallAgain(transaction.clone(), route_name));
        }
        self.call(place, transaction, route_name, budget, false);
    }

    /// The same identity comes again, by another door: it may be refused, and must not run twice.
    fn call_again(&mut self, transaction: TransactionId, route_name: &'static str) {
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, Duration::from_millis(3000), false);
        }
    }
}
