use super::flaw::Flaw;
use super::network::{Node, PLATFORM};
use super::platform::{Asker, runner_place};
use super::world::{Event, World};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use trail::holder::{Entry, GrantTerms, Holder, HolderOutput, SendEnd, not_run};
use trail::keeper::{Keeper, KeeperOrder};
use trail::ledger::Keepsake;
use trail::liaison::{Liaison, LiaisonTiming};
use trail::owners::{MOST_HOPS, Sight, Step, is_valid, next_step};
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::frames::{
    AcquireResult, Flag, HopOutcome, HopReason, Host, IdleFunction, LedgerNote, Many,
    ReserveResult, RunnerNews, StreamUp,
};
use waymark::identity::{FunctionKey, GrantSerial, Incarnation, RunnerId, Ticket, TransactionId};
use waymark::spec::Table;

const LOOK_AGAIN: Duration = Duration::from_millis(40);
const HOP_COST: Duration = Duration::from_millis(10);

/// A transaction on its way.
#[derive(Clone, Debug)]
pub struct SimAsk {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The function.
    pub function: FunctionKey,
    /// The route.
    pub route: String,
    /// Whether it may run only once.
    pub once: bool,
    /// What is left of its budget.
    pub budget: Duration,
    /// How many hops it has made.
    pub hops: u8,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Back {
    Caller,
    Hop { node: Node, life: u64, number: u64 },
}

/// What a holder asks a steward.
pub(super) enum Question {
    Collect(GrantSerial),
    Note(u64, Vec<LedgerNote>),
    Compare(Vec<u64>),
}

/// What a steward says, or silence.
pub(super) enum Reply {
    Collected(Option<Vec<LedgerNote>>),
    Noted(u64, bool),
    Differs(Vec<u8>),
}

struct Pending {
    ask: SimAsk,
    back: Back,
    budget_end: Moment,
    give_up_at: Moment,
    is_looking: bool,
}

struct SimTask {
    pending: u64,
    ask: SimAsk,
}

struct Held {
    holder: Holder,
    tasks: BTreeMap<Ticket, SimTask>,
}

/// One virtual daemon.
pub struct SimDaemon {
    /// Its node.
    pub node: Node,
    /// Counts its lives.
    pub life: u64,
    /// Its machine's clock, ahead of virtual time.
    pub clock_ahead: Duration,
    /// Its body, while it is alive.
    pub body: Option<Box<Body>>,
}

/// What dies with a daemon's process.
pub struct Body {
    host: Host,
    keeper: Keeper,
    holdings: BTreeMap<FunctionKey, Held>,
    closing: Vec<Held>,
    owners: BTreeMap<FunctionKey, Host>,
    table: Arc<Table>,
    hosts: Vec<Host>,
    pendings: BTreeMap<u64, Pending>,
    waiters: BTreeMap<FunctionKey, Vec<u64>>,
    keepsake: Keepsake,
    idle_said_at: Moment,
    link: Option<u64>,
}

impl Body {
    fn held(&mut self, function: &FunctionKey, grant: GrantSerial) -> Option<&mut Held> {
        let is_it =
            |held: &&mut Held| held.holder.function() == function && held.holder.grant() == grant;
        let in_use = self.holdings.get_mut(function).filter(is_it);
        match in_use {
            Some(held) => Some(held),
            None => self
                .closing
                .iter_mut()
                .find(|held| held.holder.function() == function && held.holder.grant() == grant),
        }
    }
}

impl World {
    pub(super) fn daemon_now(&self, place: usize) -> Moment {
        self.now + self.daemons[place].clock_ahead
    }

    /// Starts a daemon, in a new life.
    pub(super) fn start_daemon(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let seed = self.chance.number();
        let own_place = self.daemon_place(place);
        let seeds = self.surveyor_places();
        let host = Host {
            member: format!("daemon-{place}").into(),
            incarnation: (self.chance.number() | 1).into(),
            locality: format!("locality-{}", place % 3 + 1).into(),
            place: own_place,
            eligible: Flag(true),
        };
        let liaison = Liaison::new(
            local_now,
            LiaisonTiming::builder().build(),
            host.clone(),
            own_place,
            seeds,
            Chance::seeded(seed),
        );
        let daemon = &mut self.daemons[place];
        daemon.life += 1;
        daemon.body = Some(Box::new(Body {
            keeper: Keeper::new(liaison, host.clone()),
            keepsake: Keepsake::new(host.incarnation),
            idle_said_at: local_now,
            host,
            holdings: BTreeMap::new(),
            closing: Vec::new(),
            owners: BTreeMap::new(),
            table: Arc::new(Table::empty()),
            hosts: Vec::new(),
            pendings: BTreeMap::new(),
            waiters: BTreeMap::new(),
            link: None,
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

    pub(super) fn is_daemon_serving(&self, place: usize) -> bool {
        let local_now = self.daemon_now(place);
        let body = self.daemons[place].body.as_ref();
        body.is_some_and(|body| local_now < body.keeper.grant_end())
    }

    pub(super) fn tick_daemon(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let orders = body.keeper.tick(local_now);
        self.obey_keeper(place, orders);
        let Some(body) = &mut self.daemons[place].body else { return };
        let all_held: Vec<(FunctionKey, GrantSerial)> = body
            .holdings
            .values()
            .chain(&body.closing)
            .map(|held| (held.holder.function().clone(), held.holder.grant()))
            .collect();
        for (function, grant) in all_held {
            self.apply(place, &function, grant, |holder, now| holder.tick(now));
        }
        self.say_idle(place);
        if let Some(body) = &mut self.daemons[place].body {
            body.closing.retain(|held| !held.holder.is_over());
            body.keepsake.expire(local_now);
        }
    }

    fn say_idle(&mut self, place: usize) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        if local_now < body.idle_said_at + Duration::from_secs(1) || !body.keeper.is_welcomed() {
            return;
        }
        body.idle_said_at = local_now;
        let functions = body
            .holdings
            .iter()
            .filter_map(|(function, held)| {
                let idle_ms = held.holder.idle(local_now)?.as_millis() as u32;
                (idle_ms > 500).then(|| IdleFunction { function: function.clone(), idle_ms })
            })
            .collect();
        self.say(place, StreamUp::Idle { functions: Many(functions) });
    }

    pub(super) fn with_keeper(
        &mut self,
        place: usize,
        change: impl FnOnce(&mut Keeper, Moment) -> Vec<KeeperOrder>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let orders = change(&mut body.keeper, local_now);
        self.obey_keeper(place, orders);
    }

    pub(super) fn heartbeat(&mut self, place: usize, heartbeat: &waymark::frames::Heartbeat) {
        let local_now = self.daemon_now(place);
        if let Some(body) = &mut self.daemons[place].body {
            body.keeper.beat(local_now, heartbeat);
        }
    }

    pub(super) fn link_lost(&mut self, place: usize, link: u64) {
        let is_current =
            self.daemons[place].body.as_ref().is_some_and(|body| body.link == Some(link));
        if is_current {
            if let Some(body) = &mut self.daemons[place].body {
                body.link = None;
            }
            self.with_keeper(place, |keeper, now| keeper.disconnected(now));
        }
    }

    pub(super) fn is_current_link(&self, place: usize, link: u64) -> bool {
        self.daemons[place].body.as_ref().is_some_and(|body| body.link == Some(link))
    }

    fn obey_keeper(&mut self, place: usize, orders: Vec<KeeperOrder>) {
        for order in orders {
            self.obey_one(place, order);
        }
    }

    fn obey_one(&mut self, place: usize, order: KeeperOrder) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        match order {
            KeeperOrder::Dial(to) => {
                let link = self.dial(node, life, to);
                if let Some(body) = &mut self.daemons[place].body {
                    body.link = Some(link);
                }
            }
            KeeperOrder::Hangup => {
                let link = self.daemons[place].body.as_mut().and_then(|body| body.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            KeeperOrder::Say(frame) => self.say(place, frame),
            KeeperOrder::Beat(heartbeat, to_places) => {
                for to in to_places {
                    let Some(to_node) = self.node_at(to) else { continue };
                    self.counted("heartbeats");
                    if self.network.reaches(node, to_node) && !self.chance.happens(0.01) {
                        let delay = self.network.delay(&mut self.chance);
                        self.push(delay, Event::Beat(to_node, heartbeat.clone()));
                    }
                }
            }
            KeeperOrder::Welcomed(_) => self.send_claims(place),
            KeeperOrder::StreamLost(lost_reserves) => {
                let local_now = self.daemon_now(place);
                let Some(body) = &mut self.daemons[place].body else { return };
                let waiters = std::mem::take(&mut body.waiters);
                for (function, grant) in lost_reserves {
                    if let Some(held) = body.held(&function, grant) {
                        held.holder.reserve_lost(local_now);
                    }
                }
                for number in waiters.into_values().flatten() {
                    self.push(LOOK_AGAIN, Event::Look(node, life, number));
                }
            }
            KeeperOrder::ServeUntil(_) | KeeperOrder::InstallFailed(..) => {}
            KeeperOrder::GiveUpAll => self.give_up_all(place),
            KeeperOrder::Install(table) => self.install(place, table),
            KeeperOrder::Hosts(hosts) => {
                if let Some(body) = &mut self.daemons[place].body {
                    body.hosts = hosts;
                }
            }
            KeeperOrder::Grant(terms) => self.granted(place, terms),
            KeeperOrder::GiveWay(function, grant) => {
                self.apply(place, &function, grant, |holder, now| holder.give_way(now));
            }
            KeeperOrder::Steward(function, grant, steward) => {
                self.apply(place, &function, grant, |holder, now| {
                    holder.steward_named(now, steward)
                });
            }
            KeeperOrder::Acquired { function, result, .. } => {
                self.acquired(place, &function, result);
            }
            KeeperOrder::Reserved { function, grant, result } => {
                self.reserved(place, function, grant, &result);
            }
            KeeperOrder::Revoke(function, grant) => self.close(place, &function, grant),
            KeeperOrder::Drain(function, runner) => {
                self.apply(place, &function, runner.grant, |holder, now| holder.drain(now, runner));
            }
            KeeperOrder::HandOver(function, grant) => {
                self.apply(place, &function, grant, |holder, now| holder.hand_over(now));
            }
        }
    }

    fn say(&mut self, place: usize, frame: StreamUp) {
        let Some(body) = &self.daemons[place].body else { return };
        let Some(link) = body.link else { return };
        let from = self.daemons[place].node;
        let Some(to) = self.links.get(&link).map(|link| link.surveyor) else { return };
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

    fn send_claims(&mut self, place: usize) {
        let Some(body) = &mut self.daemons[place].body else { return };
        let claims =
            body.holdings.values().chain(&body.closing).map(|held| held.holder.claim()).collect();
        let orders = body.keeper.claims(claims);
        self.obey_keeper(place, orders);
    }

    fn give_up_all(&mut self, place: usize) {
        if self.plan.flaw == Flaw::GrantIgnored {
            return;
        }
        let Some(body) = &mut self.daemons[place].body else { return };
        body.owners.clear();
        let all_held: Vec<(FunctionKey, GrantSerial)> = body
            .holdings
            .values()
            .map(|held| (held.holder.function().clone(), held.holder.grant()))
            .collect();
        for (function, grant) in all_held {
            self.close(place, &function, grant);
        }
        self.send_claims(place);
    }

    fn close(&mut self, place: usize, function: &FunctionKey, grant: GrantSerial) {
        let Some(body) = &mut self.daemons[place].body else { return };
        let is_it = body.holdings.get(function).is_some_and(|held| held.holder.grant() == grant);
        if !is_it {
            return;
        }
        if let Some(held) = body.holdings.remove(function) {
            body.closing.push(held);
        }
        self.apply(place, function, grant, |holder, now| holder.close(now));
    }

    fn install(&mut self, place: usize, table: Arc<Table>) {
        let life = self.daemons[place].life;
        self.checks.installs(self.now, place, life, table.serial());
        let Some(body) = &mut self.daemons[place].body else { return };
        body.table = table.clone();
        let mut gone = Vec::new();
        for (function, held) in &mut body.holdings {
            match table.function_of(function) {
                Some(entry) => held.holder.respec(entry.spec.clone()),
                None => gone.push((function.clone(), held.holder.grant())),
            }
        }
        for (function, grant) in gone {
            self.apply(place, &function, grant, |holder, now| holder.hand_over(now));
        }
    }

    fn granted(&mut self, place: usize, terms: GrantTerms) {
        let local_now = self.daemon_now(place);
        let (function, grant) = (terms.function.clone(), terms.grant);
        let alive = self.platform.runners.iter().map(|(runner, held)| (runner, &held.function));
        self.checks.holds_alone(self.now, &function, grant, alive);
        self.check_other_holders(place, &function);
        let Some(body) = &mut self.daemons[place].body else { return };
        let is_known =
            body.holdings.get(&function).is_some_and(|held| held.holder.grant() == grant);
        if is_known {
            return;
        }
        let holder = Holder::new(local_now, terms);
        body.owners.insert(function.clone(), body.host.clone());
        body.holdings.insert(function.clone(), Held { holder, tasks: BTreeMap::new() });
        self.apply(place, &function, grant, |holder, now| holder.begin(now));
    }

    fn check_other_holders(&mut self, place: usize, function: &FunctionKey) {
        for other in (0..self.daemons.len()).filter(|other| *other != place) {
            let is_serving = self.is_daemon_serving(other);
            let holds = self.daemons[other].body.as_ref().is_some_and(|body| {
                body.holdings.get(function).is_some_and(|held| held.holder.is_claimable())
            });
            if is_serving && holds {
                let what =
                    format!("daemon {place} is granted {function}, which daemon {other} holds");
                self.checks.breach(self.now, what);
            }
        }
    }

    fn acquired(&mut self, place: usize, function: &FunctionKey, result: Option<AcquireResult>) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let answer = match &result {
            Some(AcquireResult::Granted { .. }) => "acquired: granted",
            Some(AcquireResult::Owner { .. }) => "acquired: owner",
            Some(AcquireResult::Shed) => "acquired: shed",
            None => "acquired: nothing",
        };
        self.counted(answer);
        let Some(body) = &mut self.daemons[place].body else { return };
        let mut is_far = false;
        let mut is_lost = false;
        if let Some(AcquireResult::Owner { host }) = &result {
            is_far = host.member != body.host.member;
            is_lost = !is_valid(host, &body.hosts);
            body.owners.insert(function.clone(), host.clone());
        }
        let waiters = body.waiters.remove(function).unwrap_or_default();
        let far_waiters: BTreeSet<u64> = waiters
            .iter()
            .copied()
            .filter(|number| {
                let hops = body.pendings.get(number).map_or(0, |pending| pending.ask.hops);
                is_far && hops >= MOST_HOPS
            })
            .collect();
        for number in waiters {
            if far_waiters.contains(&number) {
                self.end(place, number, not_run(HopReason::NotHolder, 50), None);
            } else {
                let is_answered = result.is_some() && !is_lost;
                let wait_span = if is_answered { Duration::from_micros(10) } else { LOOK_AGAIN };
                self.push(wait_span, Event::Look(node, life, number));
            }
        }
    }

    fn reserved(
        &mut self,
        place: usize,
        function: FunctionKey,
        grant: GrantSerial,
        result: &ReserveResult,
    ) {
        let is_held = self.daemons[place].body.as_mut().is_some_and(|body| {
            body.holdings.get(&function).is_some_and(|held| held.holder.grant() == grant)
        });
        if is_held {
            self.apply(place, &function, grant, |holder, now| holder.reserved(now, result));
        } else if let ReserveResult::Reserved { runner, .. } = result {
            let news = RunnerNews::Gone;
            self.say(place, StreamUp::Runner { function, runner: *runner, news });
        }
    }

    pub(super) fn apply(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        change: impl FnOnce(&mut Holder, Moment) -> Vec<HolderOutput>,
    ) {
        let local_now = self.daemon_now(place);
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(held) = body.held(function, grant) else { return };
        let outputs = change(&mut held.holder, local_now);
        for output in outputs {
            self.obey_holder(place, function, grant, output);
        }
    }

    fn obey_holder(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        output: HolderOutput,
    ) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let function = function.clone();
        match output {
            HolderOutput::Send { ticket, runner, .. } => {
                self.send_to_runner(place, &function, grant, ticket, runner);
            }
            HolderOutput::End { ticket, outcome } => {
                let Some(body) = &mut self.daemons[place].body else { return };
                let task = body.held(&function, grant).and_then(|held| held.tasks.remove(&ticket));
                if let Some(task) = task {
                    self.served(place, task.pending, outcome);
                }
            }
            HolderOutput::Reserve => {
                self.with_keeper(place, |keeper, _| keeper.reserve(function, grant));
            }
            HolderOutput::Start { runner, worker } => {
                let Some(body) = &self.daemons[place].body else { return };
                let spec = body.table.function_of(&function).map(|entry| entry.spec.clone());
                let may_start =
                    self.is_daemon_serving(place) || self.plan.flaw == Flaw::GrantIgnored;
                match spec {
                    Some(spec) if may_start && self.network.reaches(asker.node, PLATFORM) => {
                        let delay = self.long_delay();
                        self.push(delay, Event::Start(asker, function, runner, worker, spec));
                    }
                    _ => {
                        let delay = Duration::from_millis(500);
                        self.push(delay, Event::Started(asker, function, runner, false));
                    }
                }
            }
            HolderOutput::Probe { runner, .. } => {
                let is_ready = self
                    .platform
                    .runners
                    .get(&runner)
                    .is_some_and(|held| self.now >= held.ready_at);
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Probed(asker, function, runner, is_ready));
            }
            HolderOutput::Settle { runner, .. } => {
                let running = self
                    .platform
                    .runners
                    .get(&runner)
                    .map(|held| held.running.iter().cloned().collect());
                let delay = self.network.delay(&mut self.chance);
                self.push(delay, Event::Settled(asker, function, runner, running));
            }
            HolderOutput::Stop { runner } => {
                if self.network.reaches(asker.node, PLATFORM) {
                    let delay = self.network.delay(&mut self.chance);
                    self.push(delay, Event::Stop(asker, function, runner));
                }
            }
            HolderOutput::News { runner, news } => {
                self.say(place, StreamUp::Runner { function, runner, news });
            }
            HolderOutput::Collect { prior } => {
                let question = Question::Collect(prior.grant);
                self.ask_steward(place, &prior.steward, asker, function, grant, question);
            }
            HolderOutput::Note { round, steward, notes } => {
                let question = Question::Note(round, notes);
                self.ask_steward(place, &steward, asker, function, grant, question);
            }
            HolderOutput::Compare { steward, digests } => {
                let question = Question::Compare(digests);
                self.ask_steward(place, &steward, asker, function, grant, question);
            }
            HolderOutput::StewardLost { lost } => {
                self.say(place, StreamUp::StewardLost { function, grant, lost });
            }
            HolderOutput::StewardWhole { steward } => {
                self.say(place, StreamUp::StewardWhole { function, grant, steward });
            }
            HolderOutput::Released => {
                let Some(body) = &mut self.daemons[place].body else { return };
                if body.holdings.get(&function).is_some_and(|held| held.holder.grant() == grant) {
                    body.holdings.remove(&function);
                    self.say(place, StreamUp::Release { function, grant });
                }
            }
        }
    }

    fn ask_steward(
        &mut self,
        place: usize,
        steward: &Host,
        asker: Asker,
        function: FunctionKey,
        grant: GrantSerial,
        question: Question,
    ) {
        let node = self.daemons[place].node;
        let Some(to_node) = self.node_at(steward.place) else { return };
        let lost = match &question {
            Question::Collect(_) => Reply::Collected(None),
            Question::Note(round, _) => Reply::Noted(*round, false),
            Question::Compare(_) => Reply::Differs(Vec::new()),
        };
        let patience = Duration::from_millis(300);
        self.push(patience, Event::StewardSaid(asker, function.clone(), grant, lost));
        if self.network.reaches(node, to_node) {
            let delay = self.network.delay(&mut self.chance);
            let incarnation = steward.incarnation;
            self.push(
                delay,
                Event::StewardAsked(to_node, asker, function, grant, incarnation, question),
            );
        }
    }

    pub(super) fn steward_asked(
        &mut self,
        place: usize,
        asker: Asker,
        function: FunctionKey,
        grant: GrantSerial,
        incarnation: Incarnation,
        question: Question,
    ) {
        let local_now = self.daemon_now(place);
        let node = self.daemons[place].node;
        let Some(body) = &mut self.daemons[place].body else { return };
        let keepsake = &mut body.keepsake;
        let forgets = self.plan.flaw == Flaw::LedgerForgotten;
        let reply = match question {
            Question::Collect(prior_grant) => {
                Reply::Collected(keepsake.collect(local_now, &function, prior_grant, incarnation))
            }
            Question::Note(round, _) if forgets => Reply::Noted(round, true),
            Question::Note(round, notes) => {
                Reply::Noted(round, keepsake.note(local_now, &function, grant, incarnation, &notes))
            }
            Question::Compare(digests) => {
                Reply::Differs(keepsake.compare(local_now, &function, grant, incarnation, &digests))
            }
        };
        if self.network.reaches(node, asker.node) {
            let delay = self.network.delay(&mut self.chance);
            self.push(delay, Event::StewardSaid(asker, function, grant, reply));
        }
    }

    pub(super) fn steward_said(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        reply: Reply,
    ) {
        self.apply(place, function, grant, |holder, now| match reply {
            Reply::Collected(notes) => holder.collected(now, notes),
            Reply::Noted(round, is_kept) => holder.noted(now, round, is_kept),
            Reply::Differs(ranges) => holder.compared(now, &ranges),
        });
    }

    fn long_delay(&mut self) -> Duration {
        if self.chance.happens(0.02) {
            self.chance.within(Duration::from_millis(10), Duration::from_millis(400))
        } else {
            self.network.delay(&mut self.chance)
        }
    }

    fn send_to_runner(
        &mut self,
        place: usize,
        function: &FunctionKey,
        grant: GrantSerial,
        ticket: Ticket,
        runner: RunnerId,
    ) {
        let asker = Asker { node: self.daemons[place].node, life: self.daemons[place].life };
        let may_serve = self.is_daemon_serving(place) || self.plan.flaw == Flaw::GrantIgnored;
        let Some(body) = &mut self.daemons[place].body else { return };
        let table = body.table.clone();
        let ask = body
            .held(function, grant)
            .and_then(|held| held.tasks.get(&ticket))
            .map(|task| task.ask.clone());
        let barred = match &ask {
            None => Some(HopReason::NotServing),
            Some(ask) => {
                let is_allowed = table
                    .route_named(&ask.route)
                    .is_some_and(|route| table.function(route.function).key == *function);
                if !is_allowed {
                    Some(HopReason::NotAllowed)
                } else if !may_serve {
                    Some(HopReason::NotServing)
                } else {
                    None
                }
            }
        };
        match (barred, ask) {
            (None, Some(ask)) => {
                if !self.is_daemon_serving(place) {
                    let what = format!(
                        "daemon {place} sends {} outside its member grant",
                        ask.transaction
                    );
                    self.checks.breach(self.now, what);
                }
                let delay = self.long_delay();
                self.push(delay, Event::Run(asker, function.clone(), ticket, runner, ask));
            }
            (reason, _) => {
                let end = SendEnd::Barred(reason.unwrap_or(HopReason::NotServing));
                let delay = Duration::from_micros(1);
                self.push(delay, Event::SendEnded(asker, function.clone(), ticket, grant, end));
            }
        }
    }

    /// A caller's transaction reaches a daemon's door.
    pub(super) fn call(
        &mut self,
        place: usize,
        transaction: TransactionId,
        route_name: &str,
        budget: Duration,
    ) {
        let is_serving = self.is_daemon_serving(place);
        let Some(body) = &self.daemons[place].body else { return };
        let table = body.table.clone();
        let Some(route) = table.route_named(route_name).filter(|_| is_serving) else {
            self.checks.not_run(self.now, &transaction);
            self.counted("not_run");
            return;
        };
        let ask = SimAsk {
            transaction,
            function: table.function(route.function).key.clone(),
            route: route_name.to_owned(),
            once: route.spec.once,
            budget: budget.min(route.spec.budget),
            hops: 0,
        };
        self.take_ask(place, ask, Back::Caller);
    }

    pub(super) fn take_ask(&mut self, place: usize, ask: SimAsk, back: Back) {
        let local_now = self.daemon_now(place);
        let is_serving = self.is_daemon_serving(place);
        self.next_number += 1;
        let number = self.next_number;
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &mut self.daemons[place].body else { return };
        let budget_end = local_now + ask.budget;
        let patience = body
            .table
            .route_named(&ask.route)
            .filter(|route| body.table.function(route.function).key == ask.function)
            .map(|route| route.spec.patience);
        let give_up_at = budget_end.min(local_now + patience.unwrap_or(LOOK_AGAIN).max(LOOK_AGAIN));
        body.pendings
            .insert(number, Pending { ask, back, budget_end, give_up_at, is_looking: true });
        if !is_serving {
            self.end(place, number, not_run(HopReason::NotServing, 1000), None);
        } else if patience.is_none() {
            self.end(place, number, not_run(HopReason::NotAllowed, 500), None);
        } else {
            self.push(Duration::from_micros(1), Event::Look(node, life, number));
        }
    }

    /// One look for the holder.
    pub(super) fn look(&mut self, place: usize, number: u64) {
        let local_now = self.daemon_now(place);
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get(&number).filter(|pending| pending.is_looking) else {
            return;
        };
        if local_now >= pending.give_up_at {
            self.end(place, number, not_run(HopReason::NoOwner, 1000), None);
            return;
        }
        let ask = pending.ask.clone();
        let budget_end = pending.budget_end;
        let is_allowed = body
            .table
            .route_named(&ask.route)
            .is_some_and(|route| body.table.function(route.function).key == ask.function);
        if !is_allowed {
            self.end(place, number, not_run(HopReason::NotAllowed, 500), None);
            return;
        }
        let step = next_step(&Sight {
            function: &ask.function,
            own_member: &body.host.member,
            holds: body.holdings.contains_key(&ask.function),
            cached_owner: body.owners.get(&ask.function),
            hosts: &body.hosts,
            hops: ask.hops,
        });
        let is_passed_on = matches!(step, Step::Serve | Step::Forward(_));
        if let Some(pending) = body.pendings.get_mut(&number) {
            pending.is_looking = !is_passed_on;
        }
        match step {
            Step::Serve => self.serve(place, number, ask, budget_end),
            Step::Forward(host) => {
                let left = budget_end.since(local_now).saturating_sub(HOP_COST);
                let forwarded = SimAsk { budget: left, hops: ask.hops + 1, ..ask };
                self.forward(place, number, &host, forwarded, budget_end);
            }
            Step::Acquire => {
                let waiters = body.waiters.entry(ask.function.clone()).or_default();
                waiters.push(number);
                let is_first = waiters.len() == 1;
                let give_up_in = body.pendings[&number].give_up_at.since(local_now);
                self.push(give_up_in, Event::Look(node, life, number));
                if is_first {
                    self.with_keeper(place, |keeper, now| keeper.acquire(now, ask.function));
                }
            }
            Step::NotHolder => self.end(place, number, not_run(HopReason::NotHolder, 50), None),
            Step::Nobody => self.push(LOOK_AGAIN, Event::Look(node, life, number)),
        }
    }

    fn serve(&mut self, place: usize, number: u64, ask: SimAsk, budget_end: Moment) {
        if !self.is_daemon_serving(place) {
            self.end(place, number, not_run(HopReason::NotServing, 1000), None);
            return;
        }
        self.next_number += 1;
        let ticket = Ticket(self.next_number);
        let function = ask.function.clone();
        let Some(body) = &mut self.daemons[place].body else { return };
        let patience =
            body.table.route_named(&ask.route).map_or(LOOK_AGAIN, |route| route.spec.patience);
        let Some(held) = body.holdings.get_mut(&function) else { return };
        let grant = held.holder.grant();
        let entry = Entry {
            ticket,
            transaction: ask.transaction.clone(),
            once: ask.once,
            repeat: false,
            budget_end,
            patience,
        };
        held.tasks.insert(ticket, SimTask { pending: number, ask });
        let mut at_once = None;
        self.apply(place, &function, grant, |holder, now| {
            let (outcome, outputs) = holder.grant_entry(now, entry);
            at_once = outcome;
            outputs
        });
        if let Some(outcome) = at_once {
            let Some(body) = &mut self.daemons[place].body else { return };
            if let Some(held) = body.held(&function, grant) {
                held.tasks.remove(&ticket);
            }
            self.served(place, number, outcome);
        }
    }

    fn served(&mut self, place: usize, number: u64, outcome: HopOutcome) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &mut self.daemons[place].body else { return };
        let own_host = body.host.clone();
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        let is_leaving = matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotHolder, .. });
        if is_leaving && pending.ask.hops == 0 {
            pending.is_looking = true;
            self.push(LOOK_AGAIN, Event::Look(node, life, number));
            return;
        }
        let holder = (!is_leaving).then_some(own_host);
        self.end(place, number, outcome, holder);
    }

    fn forward(&mut self, place: usize, number: u64, host: &Host, ask: SimAsk, budget_end: Moment) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let local_now = self.daemon_now(place);
        let wait_span = (budget_end + HOP_COST).since(local_now);
        let Some(to_node) = self.node_at(host.place) else { return };
        let is_dead = self.daemons[to_node.0 - 3].body.is_none();
        let delay = self.network.delay(&mut self.chance);
        if is_dead {
            self.push(delay, Event::AskFailed(node, life, number, false));
            return;
        }
        if !self.network.reaches(node, to_node) {
            let is_lost = self.chance.happens(0.5);
            let failed_after = if is_lost { wait_span } else { Duration::from_millis(400) };
            self.push(failed_after, Event::AskFailed(node, life, number, is_lost));
            return;
        }
        self.push(wait_span, Event::AskFailed(node, life, number, true));
        let back = Back::Hop { node, life, number };
        self.push(delay, Event::Ask(to_node, self.daemons[to_node.0 - 3].life, back, ask));
    }

    pub(super) fn ask_failed(&mut self, place: usize, number: u64, is_lost: bool) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        if pending.is_looking {
            return;
        }
        pending.is_looking = !is_lost;
        let function = pending.ask.function.clone();
        body.owners.remove(&function);
        if is_lost {
            let outcome = HopOutcome::Unknown { reason: HopReason::HolderSilent };
            self.end(place, number, outcome, None);
        } else {
            self.push(LOOK_AGAIN, Event::Look(node, life, number));
        }
    }

    pub(super) fn ask_done(
        &mut self,
        place: usize,
        number: u64,
        outcome: HopOutcome,
        holder: Option<Host>,
    ) {
        let node = self.daemons[place].node;
        let life = self.daemons[place].life;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.get_mut(&number) else { return };
        let function = pending.ask.function.clone();
        if matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotHolder, .. }) {
            body.owners.remove(&function);
            if pending.ask.hops > 0 {
                self.end(place, number, outcome, None);
            } else {
                pending.is_looking = true;
                self.push(LOOK_AGAIN, Event::Look(node, life, number));
            }
            return;
        }
        if let Some(holder) = &holder {
            body.owners.insert(function, holder.clone());
        }
        self.end(place, number, outcome, holder);
    }

    fn end(&mut self, place: usize, number: u64, outcome: HopOutcome, holder: Option<Host>) {
        let node = self.daemons[place].node;
        let Some(body) = &mut self.daemons[place].body else { return };
        let Some(pending) = body.pendings.remove(&number) else { return };
        match pending.back {
            Back::Caller => self.tell_caller(&pending.ask.transaction, &outcome),
            Back::Hop { node: back_node, life, number } => {
                if self.network.reaches(node, back_node) {
                    let delay = self.network.delay(&mut self.chance);
                    self.push(delay, Event::AskDone(back_node, life, number, outcome, holder));
                }
            }
        }
    }

    fn tell_caller(&mut self, transaction: &TransactionId, outcome: &HopOutcome) {
        match outcome {
            HopOutcome::Answer { .. } => {
                self.checks.answers(self.now, transaction);
                self.counted("answer");
                if self.late_calls.remove(transaction) {
                    self.answers_after += 1;
                }
            }
            HopOutcome::NotRun { reason, .. } => {
                self.checks.not_run(self.now, transaction);
                self.counted(reason.as_str());
            }
            HopOutcome::Unknown { .. } => self.counted("unknown"),
        }
    }

    pub(super) fn begin_run(
        &mut self,
        asker: Asker,
        function: FunctionKey,
        ticket: Ticket,
        runner: RunnerId,
        ask: &SimAsk,
    ) {
        let delay = self.network.delay(&mut self.chance);
        let grant = runner.grant;
        let Some(held) = self.platform.runners.get_mut(&runner) else {
            self.push(delay, Event::SendEnded(asker, function, ticket, grant, SendEnd::Unsent));
            return;
        };
        if self.is_tracing {
            let line = format!(
                "{} run {} on {runner} for daemon {}",
                self.now,
                ask.transaction,
                asker.node.0 - 3
            );
            self.trace.push(line);
        }
        held.running.insert(ask.transaction.clone());
        let running_count = held.running.len();
        if running_count > held.slots as usize || self.now < held.ready_at {
            let what = format!("{running_count} at once on {runner} of {} slots", held.slots);
            self.checks.breach(self.now, what);
        }
        self.checks.runs(self.now, &ask.transaction, ask.once, &ask.route, &function);
        let work = self.chance.within(Duration::from_millis(5), Duration::from_millis(60));
        let done = Event::RunDone(runner, ask.transaction.clone(), asker, function, ticket);
        self.push(work, done);
    }

    pub(super) fn run_done(
        &mut self,
        runner: RunnerId,
        transaction: &TransactionId,
        asker: Asker,
        function: FunctionKey,
        ticket: Ticket,
    ) {
        let is_alive = match self.platform.runners.get_mut(&runner) {
            Some(held) => held.running.remove(transaction),
            None => false,
        };
        let is_lost = !is_alive || self.chance.happens(self.mischief);
        let end = if is_lost {
            SendEnd::Lost
        } else {
            SendEnd::Answered(HopOutcome::Answer {
                status: 200,
                seal: Vec::new().into(),
                runner,
                body: Vec::new().into(),
            })
        };
        let delay = self.network.delay(&mut self.chance);
        self.push(delay, Event::SendEnded(asker, function, ticket, runner.grant, end));
    }

    pub(super) fn unused_place() -> waymark::frames::Place {
        runner_place()
    }
}
