//! One daemon without I/O: its snapshots, the forwarding of a transaction, the carrying out of what keeper
//! and holders order, the questions to stewards. The drivers and the simulator both feed it.

mod answer;
mod daemon_control;
mod forwarding;
mod held;
mod regional;
mod stewards;

pub use answer::{RunnerCall, judge};
pub use daemon_control::{DaemonControl, DaemonOrder};
pub use forwarding::{Ask, Forwarding, ForwardingStep, PassEnd};
pub use held::{Held, SendTarget, Task};
pub use regional::{RegionalUse, RegionalUses};
pub use stewards::{Question, Topic};

use crate::holder::Tuning;
use crate::ledger::LedgerReplica;
use arc_swap::ArcSwap;
use common::clock::{Moment, SharedMoment};
use common::frames::Host;
use common::identity::{FunctionKey, GrantSerial, Ticket};
use common::ring::Regions;
use common::rules::{Rule, Rules};
use common::spec::Table;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const AGAIN_WHEN_LED: Duration = Duration::from_millis(400);
const AGAIN_WITHOUT_LEADER: Duration = Duration::from_millis(1000);

/// One transaction in a daemon's hands.
pub struct InHand(Arc<AtomicUsize>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a daemon's parts share; tables are snapshots that are swapped whole. `W` is what waits for a
/// transaction's outcome.
pub struct Agent<W> {
    /// This daemon as others see it.
    pub own_host: Host,
    /// The rules kept.
    pub rules: Rules,
    /// How held functions are run.
    pub tuning: Tuning,
    /// The spec in use.
    pub table: ArcSwap<Table>,
    /// The daemons alive.
    pub hosts: ArcSwap<Vec<Host>>,
    /// The owners learned so far.
    pub owners: ArcSwap<BTreeMap<FunctionKey, Host>>,
    /// The functions held.
    pub holdings: ArcSwap<BTreeMap<FunctionKey, Arc<Held<W>>>>,
    /// Which regions the zones lie in.
    pub regions: Regions,
    /// The functions that this region's callers have a key of their own for.
    pub regional_uses: ArcSwap<RegionalUses>,
    /// The functions given up whose runners are not all stopped yet.
    pub closing: Mutex<Vec<Arc<Held<W>>>>,
    /// When the member grant ends.
    pub serving_until: SharedMoment,
    /// The copies kept of other daemons' ledgers.
    pub replica: Mutex<LedgerReplica>,
    leaving: AtomicBool,
    led: AtomicBool,
    in_hand: Arc<AtomicUsize>,
    next_ticket: AtomicU64,
}

impl<W> Agent<W> {
    /// A daemon that knows and holds nothing yet.
    pub fn new(own_host: Host, rules: Rules) -> Self {
        let own_incarnation = own_host.incarnation;
        Self {
            own_host,
            rules,
            tuning: Tuning::default(),
            table: ArcSwap::from_pointee(Table::empty()),
            hosts: ArcSwap::from_pointee(Vec::new()),
            owners: ArcSwap::from_pointee(BTreeMap::new()),
            holdings: ArcSwap::from_pointee(BTreeMap::new()),
            regions: Regions::default(),
            regional_uses: ArcSwap::from_pointee(RegionalUses::new()),
            closing: Mutex::new(Vec::new()),
            serving_until: SharedMoment::new(),
            replica: Mutex::new(LedgerReplica::new(own_incarnation)),
            leaving: AtomicBool::new(false),
            led: AtomicBool::new(false),
            in_hand: Arc::new(AtomicUsize::new(0)),
            next_ticket: AtomicU64::new(1),
        }
    }

    /// The same with other settings for what it holds.
    pub fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// The same in zones that lie in these regions.
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// A number for a transaction in this process.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Whether the member grant runs.
    pub fn is_serving(&self, now: Moment) -> bool {
        now < self.serving_until.get()
            || (!self.rules.keep(Rule::MemberGrant) && self.serving_until.get() > Moment::ZERO)
    }

    /// Whether a leader has welcomed this daemon's stream.
    pub fn set_led(&self, is_led: bool) {
        self.led.store(is_led, Ordering::Release);
    }

    /// After what time a daemon that does not serve may do so again, as far as it knows: soon when the
    /// leader has only to renew its grant, and not before a leader is found otherwise.
    pub fn serves_again_after(&self) -> Duration {
        if self.led.load(Ordering::Acquire) && !self.is_leaving() {
            AGAIN_WHEN_LED
        } else {
            AGAIN_WITHOUT_LEADER
        }
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// The daemon takes no new callers any more.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether the platform may send callers here.
    pub fn is_ready(&self, now: Moment) -> bool {
        let is_evacuated = self.table.load().is_evacuated(&self.own_host.zone);
        self.is_serving(now) && !self.is_leaving() && !is_evacuated
    }

    /// A transaction is in this daemon's hands, as the caller's daemon or on the way, until what is
    /// given back is dropped: with its outcome, or when its caller hangs up.
    pub fn take_in_hand(&self) -> InHand {
        self.in_hand.fetch_add(1, Ordering::AcqRel);
        InHand(self.in_hand.clone())
    }

    /// Whether nothing is left that a daemon that leaves would drop.
    pub fn is_empty_handed(&self) -> bool {
        !self.rules.keep(Rule::AnswersHandedOut)
            || (self.in_hand.load(Ordering::Acquire) == 0 && self.holdings.load().is_empty())
    }

    /// A held function under one grant.
    pub fn held(&self, function: &FunctionKey, grant: GrantSerial) -> Option<Arc<Held<W>>> {
        let holdings = self.holdings.load();
        holdings.get(function).filter(|held| held.grant == grant).cloned()
    }

    /// A function under one grant, held or given up.
    pub fn known(&self, function: &FunctionKey, grant: GrantSerial) -> Option<Arc<Held<W>>> {
        self.held(function, grant).or_else(|| {
            let closing = self.closing.lock().unwrap_or_else(PoisonError::into_inner);
            closing.iter().find(|held| held.function == *function && held.grant == grant).cloned()
        })
    }

    /// Learns an owner.
    pub fn learn_owner(&self, function: &FunctionKey, owner: &Host) {
        let is_known = self.owners.load().get(function) == Some(owner);
        if !is_known {
            self.owners.rcu(|owners| {
                let mut changed_owners = BTreeMap::clone(owners);
                changed_owners.insert(function.clone(), owner.clone());
                changed_owners
            });
        }
    }

    /// Forgets an owner.
    pub fn forget_owner(&self, function: &FunctionKey) {
        if self.owners.load().contains_key(function) {
            self.owners.rcu(|owners| {
                let mut changed_owners = BTreeMap::clone(owners);
                changed_owners.remove(function);
                changed_owners
            });
        }
    }
}
