//! The forwarding of one transaction to its holder: here, by the cache, by the hash owner, or by asking
//! the leader.
//!
//! [`Forwarding`] says step by step what is to be done with a transaction, and is told how each step
//! ended. It sends and waits for nothing itself.

mod ask;
mod step;
mod step_end;

pub use ask::Ask;
pub use step::{ForwardingStep, PassEnd};

use super::{Agent, Held, Task};
use crate::holder::not_run;
use crate::owners::{Sight, Step, next_step};
use common::clock::Moment;
use common::frames::{Flag, HopBody, HopOutcome, HopReason, Host, Parcel};
use common::identity::{Region, TransactionId};
use common::rules::Rule;
use common::spec::Table;
use std::time::Duration;
use step::ended;

/// What is kept back of the budget for each hop, there and back, so that a refusal at the last moment
/// still arrives as one.
const HOP_COST: Duration = Duration::from_millis(25);
/// How long a daemon waits for a spec as new as the one another daemon matched with.
const SPEC_PATIENCE: Duration = Duration::from_millis(500);
/// How long a daemon waits for a newer spec when the holder has refused by another one than its own.
const DISPUTE_PATIENCE: Duration = Duration::from_millis(300);
/// How many refusals by another spec are followed by another look.
const MOST_DISPUTES: u32 = 3;
/// The pause before the leader is asked, or another daemon tried, again.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// So long a region's own key is left alone after its holder was lost, and after it had no runner ready.
const REGION_LOST_PAUSE: Duration = Duration::from_secs(3);
const REGION_UNREADY_PAUSE: Duration = Duration::from_millis(300);
/// A body no larger than this is rather sent twice than its answer brought by a detour.
const LARGEST_REFERRED: usize = 64 << 10;
/// What must be left of a budget so that a detour can be spared.
const REFERRAL_PATIENCE: Duration = Duration::from_millis(300);

/// One transaction on its way through this daemon.
pub struct Forwarding {
    ask: Ask,
    spec_by: Moment,
    give_up_at: Option<Moment>,
    ask_from: Moment,
    come_back: Option<Moment>,
    disputed_until: Option<Moment>,
    dispute_count: u32,
    lost_count: u32,
}

impl Forwarding {
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
    fn unknown_after_loss<W>(&self, step: ForwardingStep<W>) -> ForwardingStep<W> {
        match step {
            ForwardingStep::End(HopOutcome::NotRun { .. }, holder) if self.lost_count > 0 => {
                ForwardingStep::End(HopOutcome::Unknown { reason: HopReason::HolderSilent }, holder)
            }
            step => step,
        }
    }

    /// Looks where it goes next. A daemon without a member grant refuses at once, so that what lay in
    /// its sockets while it was frozen goes no further.
    pub fn look<W>(&mut self, agent: &Agent<W>, now: Moment) -> ForwardingStep<W> {
        let step = self.next_step(agent, now);
        self.unknown_after_loss(step)
    }

    fn next_step<W>(&mut self, agent: &Agent<W>, now: Moment) -> ForwardingStep<W> {
        if !agent.is_serving(now) {
            return ended(HopReason::NotServing, agent.serves_again_after());
        }
        let table = agent.table.load();
        if let Some(disputed_until) = self.disputed_until {
            if table.serial() <= self.ask.serial {
                return if now < disputed_until {
                    ForwardingStep::Wait { wait_until: disputed_until }
                } else {
                    ended(HopReason::NotAllowed, Duration::from_millis(200))
                };
            }
            self.disputed_until = None;
        }
        if self.ask.hops == 0 {
            self.aim(&table);
            self.turn_to_own_region(agent, now, &table);
        }
        let Some(route) = table
            .route_named(&self.ask.route)
            .filter(|_| table.allows(&self.ask.route, &self.ask.function))
        else {
            let is_behind = table.serial() < self.ask.serial && now < self.spec_by;
            return if is_behind {
                ForwardingStep::Wait { wait_until: self.spec_by }
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
                regions: &agent.regions,
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
                        region: self.foreign_region(agent),
                        parcel: self.ask.parcel.clone(),
                    };
                    ForwardingStep::Serve(held, task)
                }
                None => ForwardingStep::Wait { wait_until: now },
            },
            Step::Forward(host) if self.may_refer(&agent.own_host, &host, now) => {
                ForwardingStep::End(not_run(HopReason::NotHolder, 50), Some(host))
            }
            Step::Forward(host) => ForwardingStep::Pass {
                host,
                body: self.passed_body(now),
                wait_until: self.ask.budget_end + HOP_COST,
            },
            Step::Acquire if now < self.ask_from => {
                ForwardingStep::Wait { wait_until: self.ask_from.min(give_up_at) }
            }
            Step::Acquire => ForwardingStep::Acquire { wait_until: give_up_at },
            Step::NotHolder => ended(HopReason::NotHolder, Duration::from_millis(50)),
            Step::Nobody if self.leave_own_region(agent, now, REGION_LOST_PAUSE) => {
                self.next_step(agent, now)
            }
            Step::Nobody => ForwardingStep::Wait { wait_until: give_up_at },
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

    fn no_owner<W>(&self, now: Moment) -> ForwardingStep<W> {
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
            region: self.ask.region.clone(),
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

    /// At the caller's daemon: where this region's callers have a key of their own, it is asked for under that
    /// one. Identities that may come again are remembered by one holder, and stay with it.
    fn turn_to_own_region<W>(&mut self, agent: &Agent<W>, now: Moment, table: &Table) {
        let is_noted = table.route_named(&self.ask.route).is_none_or(|route| route.spec.noted)
            && agent.rules.keep(Rule::RememberedByOne);
        let whole = self.ask.function.whole();
        self.ask.function = agent.regional_key(now, &whole).filter(|_| !is_noted).unwrap_or(whole);
    }

    /// At the caller's daemon: the region's own key does not serve, and the holder for all regions does. Says
    /// whether it was under such a key.
    fn leave_own_region<W>(&mut self, agent: &Agent<W>, now: Moment, pause: Duration) -> bool {
        let is_left = self.ask.hops == 0 && self.ask.function.is_regional();
        if is_left {
            agent.suspend_regional(now, &self.ask.function, pause);
            self.ask.function = self.ask.function.whole();
        }
        is_left
    }

    /// The region of the caller's daemon, if it is another than this one's.
    fn foreign_region<W>(&self, agent: &Agent<W>) -> Option<Region> {
        let is_foreign =
            agent.own_region().is_some_and(|own_region| *own_region != self.ask.region);
        (is_foreign && !self.ask.region.as_str().is_empty()).then(|| self.ask.region.clone())
    }
}
