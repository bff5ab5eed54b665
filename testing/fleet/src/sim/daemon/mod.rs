//! Simulated daemons.

mod holders;
mod outputs;
mod replicas;
mod requests;
mod shutdown;

pub(super) use replicas::{PendingReplicaRequests, ReplicaExchange};

use crate::sim::addresses::{self, zone_of_machine};
use crate::sim::event::{DaemonEvent, Event};
use crate::sim::network::{Node, Requester};
use crate::sim::simulation::Simulation;
use common::clock::MonotonicTime;
use common::frames::{Flag, Host};
use common::identity::{FunctionKey, Region, Ticket};
use common::ring::Regions;
use common::rng::SeededRng;
use dataplane::agent::{
    Agent, DaemonControl, DaemonControlOutput, Forwarding, HeldFunction, InFlightGuard,
};
use dataplane::control_session::ControlSessionTiming;
use shutdown::GracefulShutdown;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// To whom the outcome of a request is returned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::sim) enum ReplyTarget {
    Caller,
    /// The daemon that forwarded the request, and the number that the request has there.
    Peer {
        node: Node,
        incarnation: u64,
        number: u64,
    },
}

struct PendingRequest {
    forwarding: Forwarding,
    reply_target: ReplyTarget,
    awaited_step: AwaitedStep,
    /// The number of its most recent lookup timer. Earlier timers are ignored.
    timer_generation: u64,
    forwarded_to: Option<Host>,
    /// The lease holder in this daemon that handles the request, and the request's ticket there.
    held_under: Option<(Arc<HeldFunction<u64>>, Ticket)>,
    /// The hint about the regional key that came with the reply to a forwarded request, in tenths of a second.
    regional_delay_deciseconds: u8,
    _in_flight: InFlightGuard,
}

/// What a request in a daemon waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum AwaitedStep {
    /// The next lookup of the function's lease holder.
    Lookup,
    /// The outcome from a lease holder in this daemon.
    LocalOutcome,
    /// The result of forwarding it to another daemon.
    ForwardResult,
    /// The leader's reply to the acquisition of the function's lease.
    AcquireResult,
}

/// A simulated daemon.
pub(crate) struct SimDaemon {
    /// Its node.
    pub node: Node,
    /// The number of its incarnation.
    pub incarnation: u64,
    /// By how much its machine's clock is ahead of virtual time.
    pub clock_ahead: Duration,
    /// How many thousandths its machine's clock runs fast, or slow if negative.
    pub clock_drift: i64,
    /// The state of its process, while it runs.
    pub process: Option<Box<DaemonProcess>>,
}

/// The state that is lost with a daemon's process.
pub(crate) struct DaemonProcess {
    pub(in crate::sim) agent: Arc<Agent<u64>>,
    control: DaemonControl<u64>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    /// The numbers of the requests that wait for a lease, by function.
    awaiting_lease: BTreeMap<FunctionKey, Vec<u64>>,
    /// The number of the link to a controller that it currently uses.
    link: Option<u64>,
    shutdown: Option<GracefulShutdown>,
    /// Whether the machine was frozen since the process started, or since its shutdown began. The shutdown is then not
    /// checked.
    pub(in crate::sim) is_disturbed: bool,
}

/// Returns the time on a clock that is ahead of virtual time and drifts by a number of thousandths.
pub(in crate::sim) fn local_time(now: MonotonicTime, ahead: Duration, drift: i64) -> MonotonicTime {
    let elapsed = now.0 as i128;
    MonotonicTime((elapsed + elapsed * i128::from(drift) / 1000) as u64) + ahead
}

/// Converts a duration on such a clock to virtual time.
pub(in crate::sim) fn virtual_span(span: Duration, drift: i64) -> Duration {
    let nanos = span.as_nanos() as i128 * 1000 / (1000 + i128::from(drift));
    Duration::from_nanos(nanos as u64) + Duration::from_micros(1)
}

impl SimDaemon {
    /// Returns the time on its machine's clock.
    pub(in crate::sim) fn local_time(&self, now: MonotonicTime) -> MonotonicTime {
        local_time(now, self.clock_ahead, self.clock_drift)
    }

    /// Returns its agent; none if its process is not running.
    pub(in crate::sim) fn agent(&self) -> Option<Arc<Agent<u64>>> {
        self.process.as_ref().map(|process| process.agent.clone())
    }

    /// Returns its incarnation; none if its process is not running.
    pub(in crate::sim) fn running_incarnation(&self) -> Option<u64> {
        self.process.is_some().then_some(self.incarnation)
    }

    /// Whether its process runs and is not shutting down.
    pub(in crate::sim) fn is_accepting(&self) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.shutdown.is_none())
    }

    /// Whether its process holds a valid session lease.
    pub(in crate::sim) fn is_serving(&self, now: MonotonicTime) -> bool {
        let local_now = self.local_time(now);
        let process = self.process.as_ref();
        process.is_some_and(|process| local_now < process.agent.session_lease_end())
    }

    /// Whether its process currently uses this link.
    pub(in crate::sim) fn is_current_link(&self, link: u64) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.link == Some(link))
    }

    /// Returns its current process as the sender of a request.
    pub(in crate::sim) fn requester(&self) -> Requester {
        Requester {
            node: self.node,
            incarnation: self.incarnation,
        }
    }
}

impl Simulation {
    /// Returns the regions of the zones, if the plan has regions: the first two zones belong to one and the third to
    /// another.
    fn regions(&self) -> Regions {
        let zones = (0..3).map(|number| {
            (
                zone_of_machine(number),
                if number < 2 { "east" } else { "west" },
            )
        });
        let zones_in_regions = zones.filter(|_| self.plan.regional);
        Regions::new(
            zones_in_regions
                .map(|(zone, region)| (zone, Region::from(region)))
                .collect(),
        )
    }

    /// Sets a request's lookup timer to a time on the daemon's clock. Earlier timers are then ignored.
    pub(in crate::sim) fn schedule_lookup(
        &mut self,
        index: usize,
        local_at: MonotonicTime,
        number: u64,
    ) {
        let span = local_at.since(self.daemon_now(index));
        let delay = virtual_span(span, self.nodes.daemon(index).clock_drift);
        let (node, incarnation) = (
            self.nodes.daemon(index).node,
            self.nodes.daemon(index).incarnation,
        );
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let Some(pending) = process.pending_requests.get_mut(&number) else {
            return;
        };
        pending.timer_generation += 1;
        let lookup = DaemonEvent::Lookup(node, incarnation, number, pending.timer_generation);
        self.queue.push(delay, lookup);
    }

    /// Starts a daemon in a new incarnation.
    pub(in crate::sim) fn start_daemon(&mut self, index: usize) {
        let local_now = self.daemon_now(index);
        let seed = self.rng.number();
        let own_address = addresses::daemon_address(index);
        let host = Host {
            member: format!("daemon-{index}").into(),
            incarnation: (self.rng.number() | 1).into(),
            zone: zone_of_machine(index),
            address: own_address,
            eligible: Flag(true),
            link_mbps: 0,
        };
        let agent = Agent::new(host, self.plan.rules())
            .with_tuning(self.plan.tuning)
            .with_regions(self.regions());
        let agent = Arc::new(agent);
        let control = DaemonControl::new(
            local_now,
            &agent,
            ControlSessionTiming::builder().build(),
            own_address,
            addresses::seeds(),
            SeededRng::seeded(seed),
        );
        let control = if self.plan.keeps_warm_functions {
            control.with_warm(local_now)
        } else {
            control
        };
        let daemon = self.nodes.daemon_mut(index);
        daemon.incarnation += 1;
        daemon.process = Some(Box::new(DaemonProcess {
            agent,
            control,
            pending_requests: BTreeMap::new(),
            awaiting_lease: BTreeMap::new(),
            link: None,
            shutdown: None,
            is_disturbed: false,
        }));
        let tick = Event::Tick(
            self.nodes.daemon(index).node,
            self.nodes.daemon(index).incarnation,
        );
        self.queue.push(Duration::from_millis(1), tick);
    }

    /// Kills a daemon's process. Its callers get no response.
    pub(in crate::sim) fn kill_daemon(&mut self, index: usize) {
        self.nodes.daemon_mut(index).process = None;
        self.nodes.daemon_mut(index).incarnation += 1;
        self.close_links(self.nodes.daemon(index).node);
    }

    pub(in crate::sim) fn tick_daemon(&mut self, index: usize) {
        self.update_control(index, |control, agent, now| control.tick(agent, now));
        if let Some(agent) = self.nodes.agent(index)
            && self.is_daemon_serving(index)
        {
            self.checks.check_served_version(
                self.queue.now(),
                index,
                agent.routing_table().version(),
            );
        }
        self.continue_shutdown(index);
    }

    /// Changes the state of a daemon's control session and executes the resulting outputs.
    pub(in crate::sim) fn update_control(
        &mut self,
        index: usize,
        change: impl FnOnce(
            &mut DaemonControl<u64>,
            &Agent<u64>,
            MonotonicTime,
        ) -> Vec<DaemonControlOutput<u64>>,
    ) {
        let local_now = self.daemon_now(index);
        let Some(process) = &mut self.nodes.daemon_mut(index).process else {
            return;
        };
        let agent = process.agent.clone();
        let outputs = change(&mut process.control, &agent, local_now);
        for output in outputs {
            self.apply_daemon_output(index, output);
        }
    }

    /// Handles a heartbeat from another daemon.
    pub(in crate::sim) fn handle_heartbeat(
        &mut self,
        index: usize,
        heartbeat: &common::frames::Heartbeat,
    ) {
        let local_now = self.daemon_now(index);
        if let Some(process) = &mut self.nodes.daemon_mut(index).process {
            process.control.handle_heartbeat(local_now, heartbeat);
        }
    }

    /// Handles the loss of a link, if the daemon still uses it.
    pub(in crate::sim) fn handle_link_lost(&mut self, index: usize, link: u64) {
        if self.nodes.daemon(index).is_current_link(link) {
            if let Some(process) = &mut self.nodes.daemon_mut(index).process {
                process.link = None;
            }
            self.update_control(index, |control, agent, now| {
                control.handle_disconnected(agent, now)
            });
        }
    }
}
