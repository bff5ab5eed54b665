//! One daemon without I/O: its snapshots, the forwarding of a transaction, the carrying out of what keeper
//! and holders order, the questions to stewards. The drivers and the simulator both feed it.

mod daemon_control;
mod forwarding;
mod held;
mod regional;
mod replica_requests;
mod runner_response;

pub use daemon_control::{DaemonControl, DaemonControlOutput};
pub use forwarding::{ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
pub use held::{HeldFunction, HolderRequest, RunnerTarget};
pub use regional::{RegionalKeyUse, RegionalKeyUses};
pub use replica_requests::{ReplicaRequest, ReplicaRequestKind};
pub use runner_response::{RunnerAttempt, verify_response};

use crate::holder::Tuning;
use crate::ledger::LedgerReplica;
use arc_swap::ArcSwap;
use common::clock::{MonotonicTime, SharedMonotonicTime};
use common::frames::Host;
use common::identity::{FencingToken, FunctionKey, Ticket};
use common::ring::Regions;
use common::rules::{Rule, Rules};
use common::spec::RoutingTable;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const RETRY_AFTER_WITH_LEADER: Duration = Duration::from_millis(400);
const RETRY_AFTER_WITHOUT_LEADER: Duration = Duration::from_millis(1000);

/// One transaction in a daemon's hands.
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
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
    pub table: ArcSwap<RoutingTable>,
    /// The daemons alive.
    pub hosts: ArcSwap<Vec<Host>>,
    /// The owners learned so far.
    pub owners: ArcSwap<BTreeMap<FunctionKey, Host>>,
    /// The functions held.
    pub held_functions: ArcSwap<BTreeMap<FunctionKey, Arc<HeldFunction<W>>>>,
    /// Which regions the zones lie in.
    pub regions: Regions,
    /// The functions that this region's callers have a key of their own for.
    pub regional_key_uses: ArcSwap<RegionalKeyUses>,
    /// The functions given up whose runners are not all stopped yet.
    pub closing: Mutex<Vec<Arc<HeldFunction<W>>>>,
    /// When the member grant ends.
    pub serving_until: SharedMonotonicTime,
    /// The copies kept of other daemons' ledgers.
    pub ledger_replica: Mutex<LedgerReplica>,
    leaving: AtomicBool,
    has_leader: AtomicBool,
    in_flight: Arc<AtomicUsize>,
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
            table: ArcSwap::from_pointee(RoutingTable::empty()),
            hosts: ArcSwap::from_pointee(Vec::new()),
            owners: ArcSwap::from_pointee(BTreeMap::new()),
            held_functions: ArcSwap::from_pointee(BTreeMap::new()),
            regions: Regions::default(),
            regional_key_uses: ArcSwap::from_pointee(RegionalKeyUses::new()),
            closing: Mutex::new(Vec::new()),
            serving_until: SharedMonotonicTime::new(),
            ledger_replica: Mutex::new(LedgerReplica::new(own_incarnation)),
            leaving: AtomicBool::new(false),
            has_leader: AtomicBool::new(false),
            in_flight: Arc::new(AtomicUsize::new(0)),
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
    pub fn is_serving(&self, now: MonotonicTime) -> bool {
        now < self.serving_until.get()
            || (!self.rules.enforces(Rule::ServesUnderSessionLease)
                && self.serving_until.get() > MonotonicTime::ZERO)
    }

    /// Whether a leader has welcomed this daemon's stream.
    pub fn set_has_leader(&self, has_leader: bool) {
        self.has_leader.store(has_leader, Ordering::Release);
    }

    /// After what time a daemon that does not serve may do so again, as far as it knows: soon when the
    /// leader has only to renew its grant, and not before a leader is found otherwise.
    pub fn not_serving_retry_after(&self) -> Duration {
        if self.has_leader.load(Ordering::Acquire) && !self.is_leaving() {
            RETRY_AFTER_WITH_LEADER
        } else {
            RETRY_AFTER_WITHOUT_LEADER
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
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let is_evacuated = self.table.load().is_evacuated(&self.own_host.zone);
        self.is_serving(now) && !self.is_leaving() && !is_evacuated
    }

    /// A transaction is in this daemon's hands, as the caller's daemon or on the way, until what is
    /// given back is dropped: with its outcome, or when its caller hangs up.
    pub fn track_in_flight(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.in_flight.clone())
    }

    /// Whether nothing is left that a daemon that leaves would drop.
    pub fn is_drained(&self) -> bool {
        !self.rules.enforces(Rule::ResponsesDeliveredAtShutdown)
            || (self.in_flight.load(Ordering::Acquire) == 0
                && self.held_functions.load().is_empty())
    }

    /// A held function under one grant.
    pub fn held(
        &self,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Option<Arc<HeldFunction<W>>> {
        let held_functions = self.held_functions.load();
        held_functions
            .get(function)
            .filter(|held| held.fencing_token == fencing_token)
            .cloned()
    }

    /// A function under one grant, held or given up.
    pub fn held_or_closing(
        &self,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Option<Arc<HeldFunction<W>>> {
        self.held(function, fencing_token).or_else(|| {
            let closing = self.closing.lock().unwrap_or_else(PoisonError::into_inner);
            closing
                .iter()
                .find(|held| held.function == *function && held.fencing_token == fencing_token)
                .cloned()
        })
    }

    /// Learns an owner.
    pub fn cache_owner(&self, function: &FunctionKey, owner: &Host) {
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
    pub fn evict_owner(&self, function: &FunctionKey) {
        if self.owners.load().contains_key(function) {
            self.owners.rcu(|owners| {
                let mut changed_owners = BTreeMap::clone(owners);
                changed_owners.remove(function);
                changed_owners
            });
        }
    }
}
