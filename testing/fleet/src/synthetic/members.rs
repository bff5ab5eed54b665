//! The state of the controllers, daemons, links and requests of a synthetic fleet. Their behaviour is in the modules
//! `controllers` and `daemons`.

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
    /// The time at which its next timer expires.
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
    pub daemon_control: DaemonControl<u64>,
    pub pending_requests: HashMap<u64, PendingRequest>,
    /// The numbers of the requests that wait for a lease, by function.
    pub awaiting_lease: BTreeMap<FunctionKey, Vec<u64>>,
    pub link: Option<usize>,
    pub heartbeats_received: u64,
    /// The time of its next tick.
    pub due: MonotonicTime,
}

/// The step that a pending request waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AwaitedStep {
    /// The next lookup of the function's lease holder.
    Lookup,
    /// The outcome from a lease holder in this daemon.
    LocalOutcome,
    /// The result of forwarding it to another daemon.
    ForwardResult,
    /// The leader's reply to the acquisition of the function's lease.
    AcquireResult,
}

/// A pending request in a daemon.
pub(super) struct PendingRequest {
    pub forwarding: Forwarding,
    pub reply_target: ReplyTarget,
    pub awaited_step: AwaitedStep,
    /// The number of its most recent lookup timer. Earlier timers are ignored.
    pub timer_generation: u64,
    pub _in_flight: InFlightGuard,
}

/// A connection from a daemon to a controller.
pub(super) struct Link {
    pub daemon: usize,
    pub controller: usize,
    pub is_open: bool,
}

/// A change that is not in force yet.
pub(super) struct OpenChange {
    pub requested_at: MonotonicTime,
    /// The leader's processor time when the change was requested, in nanoseconds.
    pub leader_nanos: u64,
    /// The version of the spec with this change, once it is accepted.
    pub version: Option<u64>,
}
