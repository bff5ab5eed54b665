//! The control sessions of daemons: their timers, their links to controllers, and their heartbeats.

use crate::synthetic::events::{
    ControllerLinkEvent, DaemonEvent, DaemonLinkEvent, Event, HeartbeatDatagram,
};
use crate::synthetic::fleet::SyntheticFleet;
use crate::synthetic::members::{Daemon, Link};
use crate::synthetic::meter::{Role, Work};
use crate::synthetic::wire;
use crate::synthetic::zones::ZoneNumber;
use bytes::Bytes;
use common::clock::MonotonicTime;
use common::frames::{
    DaemonToLeader, Flag, Heartbeat, Host, LeaderToDaemon, SocketAddress, decode, decode_heartbeat,
    encode_heartbeat,
};
use common::rng::SeededRng;
use common::rules::Rules;
use dataplane::agent::{Agent, DaemonControl, DaemonControlOutput, HeldFunction};
use dataplane::control_session::ControlSessionTiming;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const SHORTEST_IDLE: Duration = Duration::from_millis(5);
const LONGEST_IDLE: Duration = Duration::from_millis(100);
/// One in this number of heartbeats is decoded from its bytes; its processor time is counted for the others too.
const DECODE_EVERY: u64 = 8;

impl SyntheticFleet {
    /// Handles an event at a daemon.
    pub(in crate::synthetic) fn handle_daemon_event(&mut self, daemon: usize, event: DaemonEvent) {
        match event {
            DaemonEvent::Start => self.start_daemon(daemon),
            DaemonEvent::Tick => self.tick_daemon(daemon),
            DaemonEvent::Heartbeat(heartbeat) => self.handle_heartbeat(daemon, &heartbeat),
            DaemonEvent::Hop {
                reply_target,
                frame,
            } => self.handle_hop(daemon, reply_target, &frame),
        }
    }

    /// Handles an event at a daemon's end of a link.
    pub(in crate::synthetic) fn handle_daemon_link_event(
        &mut self,
        link: usize,
        event: DaemonLinkEvent,
    ) {
        match event {
            DaemonLinkEvent::Dialed => self.dialed(link),
            DaemonLinkEvent::Frame(frame) => self.handle_down_frame(link, &frame),
            DaemonLinkEvent::Lost => self.link_lost(link),
        }
    }

    fn start_daemon(&mut self, daemon: usize) {
        let own_address = Self::daemon_address(daemon);
        let host = Host {
            member: format!("daemon-{daemon:03}").into(),
            incarnation: (self.rng.number() | 1).into(),
            zone: ZoneNumber::of(daemon).zone(),
            address: own_address,
            eligible: Flag(true),
            link_mbps: 0,
        };
        let agent = Arc::new(Agent::new(host, Rules::ALL_ENFORCED));
        let controller = DaemonControl::new(
            self.now,
            &agent,
            ControlSessionTiming::builder().build(),
            own_address,
            Self::seeds(),
            SeededRng::seeded(self.rng.number()),
        );
        self.daemons[daemon] = Some(Daemon {
            agent,
            controller,
            pending_requests: HashMap::new(),
            acquires: BTreeMap::new(),
            link: None,
            heartbeats_received: 0,
            due: self.now,
        });
        let first_tick = self.rng.within(Duration::ZERO, LONGEST_IDLE);
        self.push(first_tick, Event::Daemon(daemon, DaemonEvent::Tick));
    }

    /// Runs the timers of a daemon if they are due, and determines when the next ones are.
    fn tick_daemon(&mut self, daemon: usize) {
        let now = self.now;
        if self.daemons[daemon]
            .as_ref()
            .is_none_or(|started_daemon| started_daemon.due > now)
        {
            return;
        }
        self.control(daemon, Work::Ticks, |controller, agent, now| {
            controller.tick(agent, now)
        });
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let (agent, controller) = (&started_daemon.agent, &started_daemon.controller);
        let (next_due, _) = self
            .meter
            .measure_step(Role::Ingress, Work::Ticks, || controller.next_due(agent));
        started_daemon.due = next_due.clamp(now + SHORTEST_IDLE, now + LONGEST_IDLE);
        let idle_span = started_daemon.due.since(now);
        self.push(idle_span, Event::Daemon(daemon, DaemonEvent::Tick));
    }

    fn tick_sooner(&mut self, daemon: usize, due: MonotonicTime) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        if due < started_daemon.due {
            started_daemon.due = due.max(now + SHORTEST_IDLE).min(started_daemon.due);
            let idle_span = started_daemon.due.since(now);
            self.push(idle_span, Event::Daemon(daemon, DaemonEvent::Tick));
        }
    }

    /// Runs the timers of a daemon earlier than planned if a lease holder needs it.
    pub(super) fn tick_for_holder(&mut self, daemon: usize, held: &HeldFunction<u64>) {
        if let Some(due) = held.with(|holder| holder.next_due()) {
            self.tick_sooner(daemon, due);
        }
    }

    /// Gives an input to a daemon's control session and executes the outputs.
    pub(super) fn control(
        &mut self,
        daemon: usize,
        work: Work,
        step: impl FnOnce(
            &mut DaemonControl<u64>,
            &Agent<u64>,
            MonotonicTime,
        ) -> Vec<DaemonControlOutput<u64>>,
    ) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let agent = started_daemon.agent.clone();
        let controller = &mut started_daemon.controller;
        let (orders, nanos) = self.meter.measure_step(wire::daemon_role(work), work, || {
            step(controller, &agent, now)
        });
        for order in orders {
            if matches!(order, DaemonControlOutput::Installed(_)) && self.meter.is_open() {
                self.record.installs.push(nanos as f64 / 1e6);
            }
            self.apply_daemon_order(daemon, order);
        }
        let stream_due = self.daemons[daemon]
            .as_ref()
            .map(|started_daemon| started_daemon.controller.stream_due());
        if let Some(stream_due) = stream_due {
            self.tick_sooner(daemon, stream_due);
        }
    }

    fn apply_daemon_order(&mut self, daemon: usize, order: DaemonControlOutput<u64>) {
        match order {
            DaemonControlOutput::Dial(to) => self.dial(daemon, to),
            DaemonControlOutput::Hangup => {
                let link = self.daemons[daemon]
                    .as_mut()
                    .and_then(|started_daemon| started_daemon.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonControlOutput::SendFrame(frame) => self.send_up(daemon, &frame),
            DaemonControlOutput::HeartbeatDatagram(heartbeat, addresses) => {
                self.heartbeat(daemon, heartbeat, &addresses)
            }
            DaemonControlOutput::Holder(held, outputs) => self.drive(daemon, &held, outputs),
            DaemonControlOutput::Acquired {
                function, result, ..
            } => {
                self.acquired(daemon, &function, &result);
            }
            DaemonControlOutput::AcquisitionsLost => {
                let Some(started_daemon) = &mut self.daemons[daemon] else {
                    return;
                };
                for function in std::mem::take(&mut started_daemon.acquires).into_keys() {
                    self.acquired(daemon, &function, &None);
                }
            }
            DaemonControlOutput::Changed => self.look_up_all(daemon),
            DaemonControlOutput::LeaseEnded => self.record.leases_ended += 1,
            DaemonControlOutput::LogEvent(..) | DaemonControlOutput::Installed(_) => {}
        }
    }

    fn dial(&mut self, daemon: usize, to: SocketAddress) {
        let Some(controller) = Self::controller_at(to) else {
            return;
        };
        let link = self.links.len();
        self.links.push(Link {
            daemon,
            controller,
            is_open: true,
        });
        if let Some(started_daemon) = &mut self.daemons[daemon] {
            started_daemon.link = Some(link);
        }
        let delay = Self::delay(daemon, controller) * 2;
        self.push(delay, Event::DaemonLink(link, DaemonLinkEvent::Dialed));
    }

    fn is_current(&self, link: usize) -> bool {
        let daemon = self.links[link].daemon;
        self.daemons[daemon]
            .as_ref()
            .is_some_and(|started_daemon| started_daemon.link == Some(link))
    }

    fn dialed(&mut self, link: usize) {
        if self.is_current(link) {
            let daemon = self.links[link].daemon;
            self.control(daemon, Work::Others, |controller, agent, now| {
                controller.handle_connected(agent, now)
            });
        }
    }

    fn link_lost(&mut self, link: usize) {
        self.links[link].is_open = false;
        if !self.is_current(link) {
            return;
        }
        let daemon = self.links[link].daemon;
        if let Some(started_daemon) = &mut self.daemons[daemon] {
            started_daemon.link = None;
        }
        self.control(daemon, Work::Others, |controller, agent, now| {
            controller.handle_disconnected(agent, now)
        });
    }

    fn send_up(&mut self, daemon: usize, frame: &DaemonToLeader) {
        let link = self.daemons[daemon]
            .as_ref()
            .and_then(|started_daemon| started_daemon.link);
        let Some(link) = link else { return };
        let work = wire::work_up(frame);
        let role = wire::daemon_role(work);
        let Some(bytes) = wire::encode_sent(&mut self.meter, role, work, frame) else {
            return;
        };
        let delay = Self::delay(daemon, self.links[link].controller);
        self.push(
            delay,
            Event::ControllerLink(link, ControllerLinkEvent::Frame(bytes)),
        );
    }

    fn handle_down_frame(&mut self, link: usize, bytes: &Bytes) {
        if !self.links[link].is_open || !self.is_current(link) {
            return;
        }
        let Ok(classified) = decode::<LeaderToDaemon>(bytes) else {
            return;
        };
        let work = wire::work_down(&classified);
        let role = wire::daemon_role(work);
        let Some(frame) = wire::decode_received(&mut self.meter, role, work, bytes) else {
            return;
        };
        let daemon = self.links[link].daemon;
        self.control(daemon, work, |controller, agent, now| {
            controller.handle_frame(agent, now, frame)
        });
    }

    fn heartbeat(&mut self, daemon: usize, heartbeat: Heartbeat, addresses: &[SocketAddress]) {
        let encoded = self.meter.wire(Role::Ingress, Work::Heartbeats, 1, || {
            encode_heartbeat(&heartbeat)
        });
        let Ok(datagram) = encoded else { return };
        let bytes = wire::datagram_bytes(datagram.len());
        self.record.heartbeat_bytes = datagram.len() as u64;
        let count = addresses.len() as u64;
        self.meter
            .sent(Role::Ingress, Work::Heartbeats, count, count * bytes);
        let heartbeat = Rc::new(HeartbeatDatagram {
            heartbeat,
            datagram,
        });
        for address in addresses {
            if let Some(watcher) = self.daemon_at(*address) {
                let delay = Self::delay(daemon, watcher);
                let arrival = DaemonEvent::Heartbeat(heartbeat.clone());
                self.push(delay, Event::Daemon(watcher, arrival));
            }
        }
    }

    fn handle_heartbeat(&mut self, daemon: usize, heartbeat: &Rc<HeartbeatDatagram>) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let bytes = wire::datagram_bytes(heartbeat.datagram.len());
        self.meter
            .received(Role::Ingress, Work::Heartbeats, 1, bytes);
        started_daemon.heartbeats_received += 1;
        if started_daemon
            .heartbeats_received
            .is_multiple_of(DECODE_EVERY)
        {
            let _ = self
                .meter
                .wire(Role::Ingress, Work::Heartbeats, DECODE_EVERY, || {
                    decode_heartbeat(&heartbeat.datagram)
                });
        }
        let controller = &mut started_daemon.controller;
        self.meter
            .measure_step(Role::Ingress, Work::Heartbeats, || {
                controller.handle_heartbeat(now, &heartbeat.heartbeat)
            });
    }
}
