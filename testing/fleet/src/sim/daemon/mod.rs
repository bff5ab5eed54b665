//! Simulated daemons.

mod holders;
mod orders;
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
use shutdown::OrderlyStop;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Where an outcome is returned to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::sim) enum ReplyTarget {
    Caller,
    Hop {
        node: Node,
        incarnation: u64,
        number: u64,
    },
}

struct PendingRequest {
    forwarding: Forwarding,
    reply_target: ReplyTarget,
    awaited_step: AwaitedStep,
    wakes: u64,
    forwarded_to: Option<Host>,
    /// The holder in this daemon that has it, and the ticket under which.
    held_under: Option<(Arc<HeldFunction<u64>>, Ticket)>,
    regional_delay_deciseconds: u8,
    _in_flight: InFlightGuard,
}

/// What a request in a daemon waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum AwaitedStep {
    Lookup,
    Outcome,
    Forwarded,
    Acquired,
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
    pub body: Option<Box<DaemonProcess>>,
}

/// The state that is lost with a daemon's process.
pub(crate) struct DaemonProcess {
    pub(in crate::sim) agent: Arc<Agent<u64>>,
    controller: DaemonControl<u64>,
    pending_requests: BTreeMap<u64, PendingRequest>,
    acquires: BTreeMap<FunctionKey, Vec<u64>>,
    link: Option<u64>,
    stop: Option<OrderlyStop>,
    pub(in crate::sim) is_disturbed: bool,
}

/// The time on a clock that is ahead and drifts by some thousandths.
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
    /// The time on its machine's clock.
    pub(in crate::sim) fn local_time(&self, now: MonotonicTime) -> MonotonicTime {
        local_time(now, self.clock_ahead, self.clock_drift)
    }

    /// Its agent, while its process runs.
    pub(in crate::sim) fn agent(&self) -> Option<Arc<Agent<u64>>> {
        self.body.as_ref().map(|body| body.agent.clone())
    }

    /// Its incarnation, while its process runs.
    pub(in crate::sim) fn running_incarnation(&self) -> Option<u64> {
        self.body.is_some().then_some(self.incarnation)
    }

    /// Whether its process runs and is not stopping.
    pub(in crate::sim) fn is_accepting(&self) -> bool {
        self.body.as_ref().is_some_and(|body| body.stop.is_none())
    }

    /// Whether its process runs under a session lease.
    pub(in crate::sim) fn is_serving(&self, now: MonotonicTime) -> bool {
        let local_now = self.local_time(now);
        let body = self.body.as_ref();
        body.is_some_and(|body| local_now < body.agent.session_lease_end())
    }

    /// Whether its process uses this link.
    pub(in crate::sim) fn is_current_link(&self, link: u64) -> bool {
        self.body
            .as_ref()
            .is_some_and(|body| body.link == Some(link))
    }

    /// Its current process as the sender of a request.
    pub(in crate::sim) fn requester(&self) -> Requester {
        Requester {
            node: self.node,
            incarnation: self.incarnation,
        }
    }
}

impl Simulation {
    /// The region of a zone, if the day has regions: the first two zones belong to one and the third to another.
    fn regions(&self) -> Regions {
        let zones = (0..3).map(|number| {
            (
                zone_of_machine(number),
                if number < 2 { "east" } else { "west" },
            )
        });
        let named = zones.filter(|_| self.plan.regional);
        Regions::new(
            named
                .map(|(zone, region)| (zone, Region::from(region)))
                .collect(),
        )
    }

    pub(in crate::sim) fn schedule_wake(
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
        let Some(body) = &mut self.nodes.daemon_mut(index).body else {
            return;
        };
        let Some(pending) = body.pending_requests.get_mut(&number) else {
            return;
        };
        pending.wakes += 1;
        let wake = DaemonEvent::Lookup(node, incarnation, number, pending.wakes);
        self.queue.push(delay, wake);
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
        let controller = DaemonControl::new(
            local_now,
            &agent,
            ControlSessionTiming::builder().build(),
            own_address,
            addresses::seeds(),
            SeededRng::seeded(seed),
        );
        let controller = if self.plan.keeps_warm_functions {
            controller.with_warm(local_now)
        } else {
            controller
        };
        let daemon = self.nodes.daemon_mut(index);
        daemon.incarnation += 1;
        daemon.body = Some(Box::new(DaemonProcess {
            agent,
            controller,
            pending_requests: BTreeMap::new(),
            acquires: BTreeMap::new(),
            link: None,
            stop: None,
            is_disturbed: false,
        }));
        let tick = Event::Tick(
            self.nodes.daemon(index).node,
            self.nodes.daemon(index).incarnation,
        );
        self.queue.push(Duration::from_millis(1), tick);
    }

    /// Kills a daemon; its callers get no response.
    pub(in crate::sim) fn kill_daemon(&mut self, index: usize) {
        self.nodes.daemon_mut(index).body = None;
        self.nodes.daemon_mut(index).incarnation += 1;
        self.close_links(self.nodes.daemon(index).node);
    }

    pub(in crate::sim) fn tick_daemon(&mut self, index: usize) {
        self.with_controller(index, |controller, agent, now| controller.tick(agent, now));
        if let Some(agent) = self.nodes.agent(index)
            && self.is_daemon_serving(index)
        {
            self.checks.check_served_version(
                self.queue.now(),
                index,
                agent.routing_table().version(),
            );
        }
        self.continue_stop(index);
    }

    pub(in crate::sim) fn with_controller(
        &mut self,
        index: usize,
        change: impl FnOnce(
            &mut DaemonControl<u64>,
            &Agent<u64>,
            MonotonicTime,
        ) -> Vec<DaemonControlOutput<u64>>,
    ) {
        let local_now = self.daemon_now(index);
        let Some(body) = &mut self.nodes.daemon_mut(index).body else {
            return;
        };
        let agent = body.agent.clone();
        let orders = change(&mut body.controller, &agent, local_now);
        for order in orders {
            self.apply_daemon_order(index, order);
        }
    }

    pub(in crate::sim) fn heartbeat(
        &mut self,
        index: usize,
        heartbeat: &common::frames::Heartbeat,
    ) {
        let local_now = self.daemon_now(index);
        if let Some(body) = &mut self.nodes.daemon_mut(index).body {
            body.controller.handle_heartbeat(local_now, heartbeat);
        }
    }

    pub(in crate::sim) fn link_lost(&mut self, index: usize, link: u64) {
        if self.nodes.daemon(index).is_current_link(link) {
            if let Some(body) = &mut self.nodes.daemon_mut(index).body {
                body.link = None;
            }
            self.with_controller(index, |controller, agent, now| {
                controller.handle_disconnected(agent, now)
            });
        }
    }
}
