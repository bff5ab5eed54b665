use super::control::ControlInput;
use super::{Gauges, Holding, HopLinks};
use crate::boot::TrailheadBoot;
use crate::ledger::Keepsake;
use arc_swap::ArcSwap;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, oneshot};
use waymark::clock::{Moment, SharedMoment};
use waymark::frames::{AcquireResult, Host};
use waymark::identity::{FunctionKey, Ticket};
use waymark::spec::Table;

pub(super) type AcquireWaiters = HashMap<FunctionKey, Vec<oneshot::Sender<AcquireResult>>>;

/// All that a trailhead's tasks share; tables are snapshots that are swapped whole.
pub struct State {
    /// The boot settings.
    pub boot: TrailheadBoot,
    /// This daemon as others see it.
    pub own_host: Host,
    /// The spec in use.
    pub table: ArcSwap<Table>,
    /// The daemons alive.
    pub hosts: ArcSwap<Vec<Host>>,
    /// The owners learned so far.
    pub owners: ArcSwap<HashMap<FunctionKey, Host>>,
    /// The functions held.
    pub holdings: ArcSwap<HashMap<FunctionKey, Arc<Holding>>>,
    /// When the member grant ends.
    pub serving_until: SharedMoment,
    /// Whether the daemon is leaving.
    pub leaving: AtomicBool,
    /// Links to the other daemons.
    pub links: HopLinks,
    /// The metrics.
    pub gauges: Gauges,
    /// The copies kept of other daemons' ledgers.
    pub keepsake: Mutex<Keepsake>,
    pub(super) closing: Mutex<Vec<Arc<Holding>>>,
    pub(super) acquires: Mutex<AcquireWaiters>,
    pub(super) control: mpsc::UnboundedSender<ControlInput>,
    next_ticket: AtomicU64,
}

impl State {
    pub(super) fn new(
        boot: TrailheadBoot,
        own_host: Host,
        control: mpsc::UnboundedSender<ControlInput>,
    ) -> Self {
        let own_incarnation = own_host.incarnation;
        Self {
            boot,
            own_host,
            table: ArcSwap::from_pointee(Table::empty()),
            hosts: ArcSwap::from_pointee(Vec::new()),
            owners: ArcSwap::from_pointee(HashMap::new()),
            holdings: ArcSwap::from_pointee(HashMap::new()),
            serving_until: SharedMoment::new(),
            leaving: AtomicBool::new(false),
            links: HopLinks::new(),
            gauges: Gauges::new(),
            keepsake: Mutex::new(Keepsake::new(own_incarnation)),
            closing: Mutex::new(Vec::new()),
            acquires: Mutex::new(HashMap::new()),
            control,
            next_ticket: AtomicU64::new(1),
        }
    }

    /// A number for a transaction in this process.
    pub fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Whether the member grant runs.
    pub fn is_serving(&self) -> bool {
        Moment::now() < self.serving_until.get()
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Learns an owner.
    pub fn learn_owner(&self, function: &FunctionKey, owner: &Host) {
        let is_known = self.owners.load().get(function) == Some(owner);
        if !is_known {
            self.owners.rcu(|owners| {
                let mut changed_owners = HashMap::clone(owners);
                changed_owners.insert(function.clone(), owner.clone());
                changed_owners
            });
        }
    }

    /// Forgets an owner.
    pub fn forget_owner(&self, function: &FunctionKey) {
        if self.owners.load().contains_key(function) {
            self.owners.rcu(|owners| {
                let mut changed_owners = HashMap::clone(owners);
                changed_owners.remove(function);
                changed_owners
            });
        }
    }

    /// Asks the leader for a function, together with all who ask for it now; none if the stream is lost.
    pub async fn acquire(&self, function: &FunctionKey) -> Option<AcquireResult> {
        let (result_sender, result) = oneshot::channel();
        let is_first = {
            let mut acquires = self.acquires.lock().unwrap_or_else(PoisonError::into_inner);
            let waiters = acquires.entry(function.clone()).or_default();
            waiters.push(result_sender);
            waiters.len() == 1
        };
        if is_first {
            self.gauges.acquires.inc();
            let _ = self.control.send(ControlInput::Acquire(function.clone()));
        }
        result.await.ok()
    }
}
