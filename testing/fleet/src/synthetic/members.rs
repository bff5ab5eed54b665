//! The parts of a synthetic fleet that hold state: its controllers, daemons, links and requests. What they do is in
//! the modules above.

use super::events::ReplyTarget;
use super::meter::Role;
use common::clock::MonotonicTime;
use common::identity::FunctionKey;
use controlplane::controller_state::ControllerState;
use dataplane::agent::{Agent, DaemonControl, Forwarding, InFlightGuard};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A synthetic controller.
pub(super) struct Controller {
    pub controller_state: ControllerState,
    pub due: MonotonicTime,
}

impl Controller {
    pub(super) fn is_leader(&self) -> bool {
        self.controller_state.consensus().is_leader()
    }

    pub(super) fn role(&self) -> Role {
        if self.is_leader() {
            Role::Leading
        } else {
            Role::Following
        }
    }
}

/// A synthetic daemon.
pub(super) struct Daemon {
    pub agent: Arc<Agent<u64>>,
    pub controller: DaemonControl<u64>,
    pub pending_requests: HashMap<u64, PendingRequest>,
    /// The requests that wait for a lease, by function.
    pub acquires: BTreeMap<FunctionKey, Vec<u64>>,
    pub link: Option<usize>,
    pub heartbeats_received: u64,
    pub due: MonotonicTime,
}

/// What a request in a daemon waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AwaitedStep {
    Lookup,
    Outcome,
    Forwarded,
    Acquired,
}

/// A request in a daemon.
pub(super) struct PendingRequest {
    pub forwarding: Forwarding,
    pub reply_target: ReplyTarget,
    pub awaited_step: AwaitedStep,
    /// How often it was woken; a timer of an earlier wake is void.
    pub wakes: u64,
    pub _in_flight: InFlightGuard,
}

/// The stream of a daemon to a controller.
pub(super) struct Link {
    pub daemon: usize,
    pub controller: usize,
    pub is_open: bool,
}

/// A change in flight.
pub(super) struct OpenChange {
    pub requested_at: MonotonicTime,
    pub leader_nanos: u64,
    pub version: Option<u64>,
}
