use super::{Agent, Held, Task};
use crate::holder::not_run;
use crate::owners::{MOST_HOPS, Sight, Step, is_valid, next_step};
use common::clock::Moment;
use common::frames::{AcquireResult, Flag, HopBody, HopOutcome, HopReason, Host, Parcel};
use common::identity::{FunctionKey, Serial, TransactionId};
use common::spec::Table;
use std::sync::Arc;
use std::time::Duration;

/// What is kept back of the budget for each hop, there and back, so that a refusal at the last moment
/// still arrives as one.
const HOP_COST: Duration = Duration::from_millis(25);
const SPEC_PATIENCE: Duration = Duration::from_millis(500);
/// How long a daemon waits for a newer spec when the holder has refused by another one than its own.
const DISPUTE_PATIENCE: Duration = Duration::from_millis(300);
const MOST_DISPUTES: u32 = 3;
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// A body no larger than this is rather sent twice than its answer brought by a detour.
const LARGEST_REFERRED: usize = 64 << 10;
/// What must be left of a budget so that a detour can be spared.
const REFERRAL_PATIENCE: Duration = Duration::from_millis(300);

/// A transaction that seeks its holder.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The function.
    pub function: FunctionKey,
    /// The route that matched it.
    pub route: String,
    /// The spec it was matched with.
    pub serial: Serial,
    /// When its budget ends.
    pub budget_end: Moment,
    /// How many hops it has made.
    pub hops: u8,
    /// Whether it is a repeat: the caller's, or of one passed to a holder that fell silent.
    pub repeat: bool,
    /// Whether whoever passed it on would rather be told the holder.
    pub refer: bool,
    /// What the caller sent.
    pub parcel: Arc<Parcel>,
}

impl Ask {
    /// An ask as another daemon passed it on; none when the frame is something else.
    pub fn passed_on(now: Moment, frame: HopBody) -> Result<Self, Box<HopBody>> {
        match frame {
            HopBody::Ask {
                transaction,
                function,
                route,
                serial,
                budget_ms,
                hops,
                repeat,
                refer,
                parcel,
            } => Ok(Self {
                transaction,
                function,
                route: route.to_string(),
                serial,
                budget_end: now + Duration::from_millis(u64::from(budget_ms)),
                hops,
                repeat: repeat.0,
                refer: refer.0,
                parcel: Arc::new(parcel),
            }),
            other => Err(Box::new(other)),
        }
    }
}

/// How a passed-on transaction came back.
#[derive(Clone, Debug)]
pub enum PassEnd {
    /// With an outcome, from a holder if that is known.
    Done(HopOutcome, Option<Host>),
    /// Surely nothing was sent.
    Unsent,
    /// Sent, and nothing came back.
    Lost,
}

/// What is to be done next for a transaction.
pub enum WayStep<W> {
    /// Take it in here, and come back with its outcome.
    Serve(Arc<Held<W>>, Task),
    /// Pass it to that daemon, and come back with how that ended, or when the time is up.
    Pass {
        /// The daemon.
        host: Host,
        /// What is said to it.
        body: HopBody,
        /// Until when its answer is waited for.
        wait_until: Moment,
    },
    /// Ask the leader for the function, and come back with its answer, or when the time is up.
    Acquire {
        /// Until when the answer is waited for.
        wait_until: Moment,
    },
    /// Look again when something has changed, or when the time is up.
    Wait {
        /// When to look again in any case.
        wait_until: Moment,
    },
    /// It has ended.
    End(HopOutcome, Option<Host>),
}

/// The way of one transaction to its holder: here, by the cache, by the hash owner, or by asking the
/// leader.
pub struct Way {
    ask: Ask,
    spec_by: Moment,
    give_up_at: Option<Moment>,
    ask_from: Moment,
    come_back: Option<Moment>,
    disputed_until: Option<Moment>,
    dispute_count: u32,
    lost_count: u32,
}

fn ended<W>(reason: HopReason, retry_span: Duration) -> WayStep<W> {
    WayStep::End(not_run(reason, retry_span.as_millis() as u32), None)
}

impl Way {
    /// A transaction at the start of its way through this daemon.
    pub fn new(now: Moment, ask: Ask) -> Self {
        Self {
            ask,
            spec_by: now + SPEC_PATIENCE,
            give_up_at: None,
            ask_from: now,
            come_back: None,
            disputed_until: None,
            dispute_count: 0,
            lost_count: 0,
        }
    }

    /// The transaction.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// After a holder fell silent with it nobody can say that it was not run.
    fn honest<W>(&self, step: WayStep<W>) -> WayStep<W> {
        match step {
            WayStep::End(HopOutcome::NotRun { .. }, holder) if self.lost_count > 0 => {
                WayStep::End(HopOutcome::Unknown { reason: HopReason::HolderSilent }, holder)
            }
            step => step,
        }
    }

    /// Looks where it goes next. A daemon without a member grant refuses at once, so that what lay in
    /// its sockets while it was frozen goes no further.
    pub fn look<W>(&mut self, agent: &Agent<W>, now: Moment) -> WayStep<W> {
        let step = self.next_step(agent, now);
        self.honest(step)
    }

    fn next_step<W>(&mut self, agent: &Agent<W>, now: Moment) -> WayStep<W> {
        if !agent.is_serving(now) {
            return ended(HopReason::NotServing, agent.serves_again_after());
        }
        let table = agent.table.load();
        if let Some(disputed_until) = self.disputed_until {
            if table.serial() <= self.ask.serial {
                return if now < disputed_until {
                    WayStep::Wait { wait_until: disputed_until }
                } else {
                    ended(HopReason::NotAllowed, Duration::from_millis(200))
                };
            }
            self.disputed_until = None;
        }
        if self.ask.hops == 0 {
            self.aim(&table);
        }
        let Some(route) = table
            .route_named(&self.ask.route)
            .filter(|_| table.allows(&self.ask.route, &self.ask.function))
        else {
            let is_behind = table.serial() < self.ask.serial && now < self.spec_by;
            return if is_behind {
                WayStep::Wait { wait_until: self.spec_by }
            } else {
                ended(HopReason::NotAllowed, Duration::from_millis(500))
            };
        };
        let patience = route.spec.patience;
        let give_up_at =
            *self.give_up_at.get_or_insert(self.ask.budget_end.min(now + patience.max(ASK_PAUSE)));
        if now >= give_up_at {
            return self.no_owner(now);
        }
        let held = agent.holdings.load().get(&self.ask.function).cloned();
        let step = {
            let owners = agent.owners.load();
            let hosts = agent.hosts.load();
            next_step(&Sight {
                function: &self.ask.function,
                own_member: &agent.own_host.member,
                holds: held.is_some(),
                cached_owner: owners.get(&self.ask.function),
                hosts: &hosts,
                hops: self.ask.hops,
            })
        };
        match step {
            Step::Serve => match held {
                Some(held) => {
                    let task = Task {
                        transaction: self.ask.transaction.clone(),
                        route: self.ask.route.clone(),
                        budget_end: self.ask.budget_end,
                        once: route.spec.once,
                        noted: route.spec.noted,
                        tries: route.spec.tries,
                        repeat: self.ask.repeat,
                        patience,
                        target: route.spec.target,
                        rank: route.spec.rank,
                        parcel: self.ask.parcel.clone(),
                    };
                    WayStep::Serve(held, task)
                }
                None => WayStep::Wait { wait_until: now },
            },
            Step::Forward(host) if self.may_refer(&agent.own_host, &host, now) => {
                WayStep::End(not_run(HopReason::NotHolder, 50), Some(host))
            }
            Step::Forward(host) => WayStep::Pass {
                host,
                body: self.passed_body(now),
                wait_until: self.ask.budget_end + HOP_COST,
            },
            Step::Acquire if now < self.ask_from => {
                WayStep::Wait { wait_until: self.ask_from.min(give_up_at) }
            }
            Step::Acquire => WayStep::Acquire { wait_until: give_up_at },
            Step::NotHolder => ended(HopReason::NotHolder, Duration::from_millis(50)),
            Step::Nobody => WayStep::Wait { wait_until: give_up_at },
        }
    }

    /// A hash owner that knows the holder names it rather than pass a transaction on, if that spares the
    /// answer a way between zones: the caller's daemon then goes there itself. Nothing was sent
    /// from here, so it is surely not run.
    fn may_refer(&self, own_host: &Host, holder: &Host, now: Moment) -> bool {
        self.ask.hops == 1
            && self.ask.refer
            && holder.zone != own_host.zone
            && self.ask.parcel.body.0.len() <= LARGEST_REFERRED
            && self.ask.budget_end.since(now) >= REFERRAL_PATIENCE
    }

    fn no_owner<W>(&self, now: Moment) -> WayStep<W> {
        let known_span = self.come_back.map(|come_back| come_back.since(now));
        ended(
            HopReason::NoOwner,
            known_span.unwrap_or(Duration::from_millis(1000)).max(Duration::from_millis(100)),
        )
    }

    fn passed_body(&self, now: Moment) -> HopBody {
        let budget_left = self.ask.budget_end.since(now).saturating_sub(HOP_COST);
        HopBody::Ask {
            transaction: self.ask.transaction.clone(),
            function: self.ask.function.clone(),
            route: TransactionId::from(self.ask.route.as_str()),
            serial: self.ask.serial,
            budget_ms: budget_left.as_millis() as u32,
            hops: self.ask.hops + 1,
            repeat: Flag(self.ask.repeat),
            refer: Flag(self.ask.hops == 0 && self.ask.refer),
            parcel: Parcel::clone(&self.ask.parcel),
        }
    }

    /// At the caller's daemon: a newer spec may lead the same route elsewhere. Nothing has run yet.
    fn aim(&mut self, table: &Table) {
        if table.serial() <= self.ask.serial {
            return;
        }
        if let Some(route) = table.route_named(&self.ask.route) {
            self.ask.function = table.function(route.choose(&self.ask.transaction)).key.clone();
            self.ask.serial = table.serial();
        }
    }

    /// A holder refused by another spec than this daemon's: one of them is about to change.
    fn dispute<W>(&mut self, agent: &Agent<W>, now: Moment) -> WayStep<W> {
        self.dispute_count += 1;
        if self.dispute_count > MOST_DISPUTES {
            return ended(HopReason::NotAllowed, Duration::from_millis(200));
        }
        self.disputed_until = Some(now + DISPUTE_PATIENCE);
        self.look(agent, now)
    }

    fn pause<W>(&mut self, now: Moment) -> WayStep<W> {
        self.ask_from = now + ASK_PAUSE;
        WayStep::Wait { wait_until: self.ask_from }
    }

    /// The holder here has ended it; one that admits nothing any more proves that nothing was run.
    pub fn served<W>(&mut self, agent: &Agent<W>, now: Moment, outcome: HopOutcome) -> WayStep<W> {
        let step = self.after_serving(agent, now, outcome);
        self.honest(step)
    }

    fn after_serving<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        outcome: HopOutcome,
    ) -> WayStep<W> {
        let is_turned_away = is_not_holder(&outcome);
        if is_turned_away && self.ask.hops == 0 {
            return self.pause(now);
        }
        if is_not_allowed(&outcome) && self.ask.hops == 0 {
            return self.dispute(agent, now);
        }
        WayStep::End(outcome, (!is_turned_away).then(|| agent.own_host.clone()))
    }

    /// The daemon it was passed to has ended it, or could not be reached, or fell silent.
    pub fn passed<W>(&mut self, agent: &Agent<W>, now: Moment, end: PassEnd) -> WayStep<W> {
        let step = self.after_pass(agent, now, end);
        self.honest(step)
    }

    fn after_pass<W>(&mut self, agent: &Agent<W>, now: Moment, end: PassEnd) -> WayStep<W> {
        match end {
            PassEnd::Done(outcome, Some(holder))
                if is_not_holder(&outcome) && self.ask.hops == 0 && self.ask.refer =>
            {
                self.ask.refer = false;
                agent.learn_owner(&self.ask.function, &holder);
                self.look(agent, now)
            }
            PassEnd::Done(outcome, _) if is_not_holder(&outcome) => {
                agent.forget_owner(&self.ask.function);
                if self.ask.hops > 0 {
                    return ended(HopReason::NotHolder, Duration::from_millis(50));
                }
                self.pause(now)
            }
            PassEnd::Done(outcome, _) if is_not_allowed(&outcome) && self.ask.hops == 0 => {
                self.dispute(agent, now)
            }
            PassEnd::Done(outcome, holder) => {
                if let Some(holder) = &holder {
                    agent.learn_owner(&self.ask.function, holder);
                }
                WayStep::End(outcome, holder)
            }
            PassEnd::Unsent => {
                agent.forget_owner(&self.ask.function);
                self.pause(now)
            }
            PassEnd::Lost => {
                agent.forget_owner(&self.ask.function);
                if self.may_pass_again(agent, now) {
                    self.lost_count += 1;
                    self.ask.repeat = true;
                    self.give_up_at = None;
                    return self.pause(now);
                }
                WayStep::End(HopOutcome::Unknown { reason: HopReason::HolderSilent }, None)
            }
        }
    }

    /// A repeatable transaction whose holder fell silent goes to the next one, as an extra try.
    fn may_pass_again<W>(&self, agent: &Agent<W>, now: Moment) -> bool {
        let table = agent.table.load();
        let has_time = now + HOP_COST + ASK_PAUSE < self.ask.budget_end;
        let has_tries = |tries: u32| self.lost_count + 1 < tries;
        table
            .route_named(&self.ask.route)
            .is_some_and(|route| !route.spec.once && has_tries(route.spec.tries) && has_time)
    }

    /// The leader has answered, or the question was lost. A wait that it foresees and that the caller
    /// has not the patience for is told at once.
    pub fn acquired<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        result: Option<AcquireResult>,
    ) -> WayStep<W> {
        let step = self.after_asking(agent, now, result);
        self.honest(step)
    }

    fn after_asking<W>(
        &mut self,
        agent: &Agent<W>,
        now: Moment,
        result: Option<AcquireResult>,
    ) -> WayStep<W> {
        let give_up_at = self.give_up_at.unwrap_or(now);
        match result {
            Some(AcquireResult::Granted { .. }) => self.look(agent, now),
            Some(AcquireResult::Owner { host }) if self.ask.hops >= MOST_HOPS => {
                WayStep::End(not_run(HopReason::NotHolder, 50), Some(host))
            }
            Some(AcquireResult::Owner { host }) => {
                let is_far = host.member != agent.own_host.member;
                if is_far && is_valid(&host, &agent.hosts.load()) {
                    return self.look(agent, now);
                }
                self.pause(now)
            }
            Some(AcquireResult::Later { wait_ms }) => {
                let wait_span = Duration::from_millis(u64::from(wait_ms));
                let table = agent.table.load();
                let boot = table.function_of(&self.ask.function).map(|entry| entry.spec.boot);
                let ready_at = now + wait_span + boot.unwrap_or_default();
                self.come_back = Some(ready_at);
                if ready_at >= give_up_at {
                    return self.no_owner(now);
                }
                self.ask_from = now + ASK_PAUSE;
                WayStep::Wait { wait_until: now + wait_span + ASK_PAUSE }
            }
            Some(AcquireResult::Shed) | None => self.pause(now),
        }
    }
}

fn is_not_holder(outcome: &HopOutcome) -> bool {
    matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotHolder, .. })
}

fn is_not_allowed(outcome: &HopOutcome) -> bool {
    matches!(outcome, HopOutcome::NotRun { reason: HopReason::NotAllowed, .. })
}
