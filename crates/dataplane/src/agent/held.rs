//! A held function together with those who wait for its outcomes.

use crate::holder::{Entry, Holder, HolderOutput};
use common::clock::Moment;
use common::frames::{HopOutcome, Parcel};
use common::identity::{
    FunctionKey, GrantSerial, LifeName, Region, RunnerId, Ticket, TransactionId,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A transaction on its way to a runner.
#[derive(Clone)]
pub struct Task {
    /// The try's identity.
    pub transaction: TransactionId,
    /// The route that matched it.
    pub route: String,
    /// When its budget ends.
    pub budget_end: Moment,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send its identity again, so that it is remembered.
    pub noted: bool,
    /// The most runners it may go to.
    pub tries: u32,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// How long it may wait in the inbox.
    pub patience: Duration,
    /// When an answer turns late.
    pub target: Duration,
    /// Which goes first; the lowest before all others.
    pub rank: u8,
    /// The region of its caller's daemon, if that is another than the holder's.
    pub region: Option<Region>,
    /// What the caller sent.
    pub parcel: Arc<Parcel>,
}

/// The runner that a send is meant for.
#[derive(Clone, Debug)]
pub struct SendTarget {
    /// The most connections that it takes.
    pub connections: u32,
    /// Its life, as the platform names it.
    pub life: LifeName,
    /// The name that it goes by itself.
    pub face: RunnerId,
}

struct Waiting<W> {
    task: Task,
    waiter: W,
}

/// A held function with those who wait for it.
pub struct Held<W> {
    /// The function.
    pub function: FunctionKey,
    /// The grant it is held under.
    pub grant: GrantSerial,
    holder: Mutex<Holder>,
    waiting: Mutex<BTreeMap<Ticket, Waiting<W>>>,
}

impl<W> Held<W> {
    /// A function just granted.
    pub fn new(holder: Holder) -> Self {
        Self {
            function: holder.function().clone(),
            grant: holder.grant(),
            holder: Mutex::new(holder),
            waiting: Mutex::new(BTreeMap::new()),
        }
    }

    /// Looks at or changes the holder.
    pub fn with<T>(&self, look: impl FnOnce(&mut Holder) -> T) -> T {
        look(&mut self.holder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The name that a runner itself goes by.
    pub fn face_of(&self, runner: RunnerId) -> RunnerId {
        runner.face(self.with(|holder| holder.life_of(runner)).as_ref().map(|life| &life.name))
    }

    /// What a send to a runner has to know; none when the runner is gone.
    pub fn send_target(&self, runner: RunnerId) -> Option<SendTarget> {
        let (connections, life) =
            self.with(|holder| (holder.connections(), holder.life_of(runner)));
        let life = life?;
        let face = runner.face(Some(&life.name));
        Some(SendTarget { connections, life: life.name, face })
    }

    /// What a ticket stands for, while somebody waits for it.
    pub fn task(&self, ticket: Ticket) -> Option<Task> {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.get(&ticket).map(|held| held.task.clone())
    }

    /// Takes a transaction in. What waits for it comes back at once with an outcome that is known now.
    pub fn enter(
        &self,
        now: Moment,
        ticket: Ticket,
        task: Task,
        waiter: W,
    ) -> (Option<(W, HopOutcome)>, Vec<HolderOutput>) {
        let entry = Entry {
            ticket,
            transaction: task.transaction.clone(),
            once: task.once,
            noted: task.noted,
            tries: task.tries,
            repeat: task.repeat,
            budget_end: task.budget_end,
            patience: task.patience,
            target: task.target,
            rank: task.rank,
            region: task.region.clone(),
        };
        let kept = Waiting { task, waiter };
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(ticket, kept);
        let (at_once, outputs) = self.with(|holder| holder.grant_entry(now, entry));
        let known_end = at_once.and_then(|outcome| self.leave(ticket).map(|held| (held, outcome)));
        (known_end, outputs)
    }

    /// A transaction has ended; gives back what waits for it.
    pub fn leave(&self, ticket: Ticket) -> Option<W> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&ticket).map(|held| held.waiter)
    }
}
