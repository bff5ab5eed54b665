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
use common::identity::TransactionId;
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
}
