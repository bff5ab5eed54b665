//! What a holder works on: the terms of its grant, and transactions waiting and sent.

use common::clock::Moment;
use common::frames::{ClaimRunner, HopOutcome, Host, Prior};
use common::identity::{FunctionKey, GrantSerial, Region, RunnerId, Ticket, TransactionId};
use common::spec::FunctionSpec;
use std::time::Duration;

/// What the leader granted.
#[derive(Clone, Debug)]
pub struct GrantTerms {
    /// The function.
    pub function: FunctionKey,
    /// The grant.
    pub grant: GrantSerial,
    /// What the function needs.
    pub spec: FunctionSpec,
    /// How long once-transactions are refused if no earlier ledger can be collected.
    pub once_wait: Duration,
    /// Who keeps a copy of the ledger.
    pub steward: Option<Host>,
    /// Where an earlier ledger may be collected.
    pub prior: Option<Prior>,
    /// Runners left by an earlier holder, to be taken over as they stand.
    pub adopted: Vec<ClaimRunner>,
}

/// A transaction as it reaches its holder.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Names it in this process.
    pub ticket: Ticket,
    /// The try's identity.
    pub transaction: TransactionId,
    /// Whether it may be sent to a runner only once.
    pub once: bool,
    /// Whether callers may send its identity again, so that it is remembered.
    pub noted: bool,
    /// The most runners it may go to.
    pub tries: u32,
    /// Whether the caller marked it a repeat.
    pub repeat: bool,
    /// When its budget ends.
    pub budget_end: Moment,
    /// How long it may wait in the inbox.
    pub patience: Duration,
    /// When an answer turns late.
    pub target: Duration,
    /// Which goes first; the lowest before all others.
    pub rank: u8,
    /// The region of its caller's daemon, if that is another than the holder's.
    pub region: Option<Region>,
}

impl Entry {
    /// Whether it is noted elsewhere before it is sent.
    pub fn is_noted_once(&self) -> bool {
        self.once && self.noted
    }
}

/// A transaction that waits in the inbox.
pub(super) struct Waiting {
    pub(super) entry: Entry,
    pub(super) target_end: Moment,
    pub(super) give_up_at: Moment,
    pub(super) attempt: u32,
    pub(super) may_have_run: bool,
    pub(super) failure: Option<HopOutcome>,
}

/// A transaction that was sent to a runner, or is being noted before it is.
pub(super) struct Sent {
    pub(super) waiting: Waiting,
    pub(super) runner: RunnerId,
    pub(super) sent_at: Moment,
}
