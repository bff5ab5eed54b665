//! The state and decision logic of one daemon, without I/O. The drivers, or the simulator in their place, feed it
//! events and carry out its outputs.
//!
//! [`Agent`] is shared by all tasks of a daemon. The data that every request reads is kept in snapshots that are
//! replaced as a whole, so that reads take no lock; the methods in `snapshots` read and replace them.
//!
//! * `daemon_control`: the client of the control plane, which handles the leader's frames, the holders' messages and
//!   timers.
//! * `forwarding`: how a request reaches the holder of its function.
//! * `held`: a held function, and the requests waiting for their outcomes.
//! * `in_flight`: the requests in flight through this daemon.
//! * `owner_cache`: the known owners of functions.
//! * `regional`: regional keys, under which the callers of one region are served by their own holder.
//! * `replica_requests`: requests to ledger replicas, and this daemon's replies as a replica.
//! * `runner_response`: checks before a request is sent to a runner, and verification of the response.
//! * `shutdown`: the phases of an orderly shutdown.
//! * `snapshots`: the state that all tasks read: the routing table, the live daemons, the held functions and the end of
//!   the session lease.

mod daemon_control;
mod forwarding;
mod held;
mod in_flight;
mod owner_cache;
mod regional;
mod replica_requests;
mod runner_response;
mod shutdown;
mod snapshots;

pub use daemon_control::{DaemonControl, DaemonControlOutput};
pub use forwarding::{AttemptLimits, ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
pub use held::{HeldFunction, HolderRequest, RunnerTarget};
pub use in_flight::InFlightGuard;
pub use replica_requests::{ReplicaRequest, ReplicaRequestKind};
pub use runner_response::{RunnerAttempt, verify_response};
pub use shutdown::{ShutdownPhase, ShutdownSchedule};
pub use snapshots::HeldFunctions;

use crate::holder::Tuning;
use crate::ledger::LedgerReplica;
use arc_swap::ArcSwap;
use common::clock::{MonotonicTime, SharedMonotonicTime};
use common::frames::Host;
use common::identity::{FencingToken, FunctionKey, Ticket};
use common::ring::Regions;
use common::rules::{Rule, Rules};
use common::spec::RoutingTable;
use in_flight::InFlightRequests;
use owner_cache::OwnerCache;
use regional::RegionalKeys;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Retry-after of a daemon that has a leader and only waits for the renewal of its lease.
const RETRY_AFTER_WITH_LEADER: Duration = Duration::from_millis(400);
/// Retry-after of a daemon that has to find a leader first, or that is leaving.
const RETRY_AFTER_WITHOUT_LEADER: Duration = Duration::from_millis(1000);

/// What determines a daemon's availability besides its session lease.
struct Availability {
    is_leaving: AtomicBool,
    has_leader: AtomicBool,
}

/// The state shared by all tasks of a daemon. `W` is the type of the waiter for a request's outcome.
pub struct Agent<W> {
    /// This daemon, as announced to the other daemons.
    pub own_host: Host,
    /// The rules that are enforced.
    pub rules: Rules,
    /// The tuning of held functions.
    tuning: Tuning,
    routing_table: ArcSwap<RoutingTable>,
    live_hosts: ArcSwap<Vec<Host>>,
    held_functions: ArcSwap<HeldFunctions<W>>,
    session_lease_end: SharedMonotonicTime,
    owners: OwnerCache,
    regional_keys: RegionalKeys,
    /// Functions that are no longer held, but whose holders are not finished yet: they wait for responses, for runners
    /// to stop, or to report their orphaned runners to the leader.
    closing: Mutex<Vec<Arc<HeldFunction<W>>>>,
    /// Replicas of other daemons' ledgers.
    ledger_replica: Mutex<LedgerReplica>,
    availability: Availability,
    in_flight: InFlightRequests,
}

impl<W> Agent<W> {
    /// Creates the state of a daemon without a spec, a session lease or held functions.
    pub fn new(own_host: Host, rules: Rules) -> Self {
        let own_incarnation = own_host.incarnation;
        Self {
            own_host,
            rules,
            tuning: Tuning::default(),
            routing_table: ArcSwap::from_pointee(RoutingTable::empty()),
            live_hosts: ArcSwap::from_pointee(Vec::new()),
            held_functions: ArcSwap::from_pointee(HeldFunctions::new()),
            session_lease_end: SharedMonotonicTime::new(),
            owners: OwnerCache::new(),
            regional_keys: RegionalKeys::new(),
            closing: Mutex::new(Vec::new()),
            ledger_replica: Mutex::new(LedgerReplica::new(own_incarnation)),
            availability: Availability {
                is_leaving: AtomicBool::new(false),
                has_leader: AtomicBool::new(false),
            },
            in_flight: InFlightRequests::new(),
        }
    }

    /// Sets the tuning of held functions.
    pub fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Sets the mapping of zones to regions.
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.regional_keys.regions = regions;
        self
    }

    /// Returns a ticket for a request, unique in this process.
    pub fn next_ticket(&self) -> Ticket {
        self.in_flight.next_ticket()
    }

    /// Whether the session lease is valid, so that requests may be served.
    pub fn is_serving(&self, now: MonotonicTime) -> bool {
        now < self.session_lease_end()
            || (!self.rules.enforces(Rule::ServesUnderSessionLease)
                && self.session_lease_end() > MonotonicTime::ZERO)
    }

    /// Sets whether a leader has welcomed this daemon's stream.
    pub fn set_has_leader(&self, has_leader: bool) {
        self.availability
            .has_leader
            .store(has_leader, Ordering::Release);
    }

    /// Returns the estimated time after which to retry a daemon that does not serve: short if the leader only has to
    /// renew the lease, longer if a leader has to be found first.
    pub fn not_serving_retry_after(&self) -> Duration {
        if self.availability.has_leader.load(Ordering::Acquire) && !self.is_leaving() {
            RETRY_AFTER_WITH_LEADER
        } else {
            RETRY_AFTER_WITHOUT_LEADER
        }
    }

    /// Whether the daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.availability.is_leaving.load(Ordering::Acquire)
    }

    /// Marks the daemon as leaving, so that it accepts no new callers.
    pub fn begin_leaving(&self) {
        self.availability.is_leaving.store(true, Ordering::Release);
    }

    /// Whether the platform may direct callers to this daemon.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let is_evacuated = self.routing_table().is_evacuated(&self.own_host.zone);
        self.is_serving(now) && !self.is_leaving() && !is_evacuated
    }

    /// Counts a request as in flight through this daemon until the guard is dropped, when the request's outcome is
    /// known or its caller has disconnected.
    pub fn track_in_flight(&self) -> InFlightGuard {
        self.in_flight.track()
    }

    /// Whether the daemon can stop without losing anything: no request is in flight, and no function is held.
    pub fn is_drained(&self) -> bool {
        !self.rules.enforces(Rule::ResponsesDeliveredAtShutdown)
            || (self.in_flight_count() == 0 && self.held_functions.load().is_empty())
    }

    /// Returns the number of requests in flight through this daemon.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.count()
    }

    /// Returns a function if it is held under the lease with this fencing token.
    pub fn held_under_lease(
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

    /// Returns a function if it is held under the lease with this fencing token, or has been closing since.
    pub fn held_or_closing(
        &self,
        function: &FunctionKey,
        fencing_token: FencingToken,
    ) -> Option<Arc<HeldFunction<W>>> {
        self.held_under_lease(function, fencing_token).or_else(|| {
            self.lock_closing()
                .iter()
                .find(|held| held.function == *function && held.fencing_token == fencing_token)
                .cloned()
        })
    }

    /// Drops the functions that are no longer held but whose holders are not finished yet, so that the memory they take
    /// can be measured.
    pub fn forget_closing(&self) {
        self.lock_closing().clear();
    }

    fn lock_closing(&self) -> MutexGuard<'_, Vec<Arc<HeldFunction<W>>>> {
        self.closing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Caches the owner of a function.
    pub fn cache_owner(&self, function: &FunctionKey, owner: &Host) {
        self.owners.insert(function, owner);
    }

    /// Evicts the owner of a function from the cache.
    pub fn evict_owner(&self, function: &FunctionKey) {
        self.owners.evict(function);
    }
}
