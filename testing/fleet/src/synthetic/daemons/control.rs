//! The control sessions of daemons, with their timers, links to controllers, and heartbeats.

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

const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Only one heartbeat in this number is decoded, and its processor time is multiplied by this number.
const HEARTBEATS_PER_DECODE: u64 = 8;

impl SyntheticFleet {
    /// Handles an event at a daemon.
    pub(in crate::synthetic) fn handle_daemon_event(&mut self, daemon: usize, event: DaemonEvent) {
        match event {
            DaemonEvent::Start => self.start_daemon(daemon),
            DaemonEvent::Tick => self.tick_daemon(daemon),
            DaemonEvent::Heartbeat(heartbeat) => self.handle_heartbeat(daemon, &heartbeat),
            DaemonEvent::PeerRequest {
                reply_target,
                frame,
            } => self.handle_peer_request(daemon, reply_target, &frame),
        }
    }

    /// Handles an event at a daemon's end of a link.
    pub(in crate::synthetic) fn handle_daemon_link_event(
        &mut self,
        link: usize,
        event: DaemonLinkEvent,
    ) {
        match event {
            DaemonLinkEvent::Dialed => self.handle_dialed(link),
            DaemonLinkEvent::Frame(frame) => self.handle_frame_from_controller(link, &frame),
            DaemonLinkEvent::Lost => self.handle_link_lost(link),
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
        let daemon_control = DaemonControl::new(
            self.now,
            &agent,
            ControlSessionTiming::builder().build(),
            own_address,
            Self::seeds(),
            SeededRng::seeded(self.rng.number()),
        );
        self.daemons[daemon] = Some(Daemon {
            agent,
            daemon_control,
            pending_requests: HashMap::new(),
            awaiting_lease: BTreeMap::new(),
            link: None,
            heartbeats_received: 0,
            due: self.now,
        });
        let first_tick = self.rng.within(Duration::ZERO, MAX_TICK_INTERVAL);
        self.push(first_tick, Event::Daemon(daemon, DaemonEvent::Tick));
    }

    /// Runs the timers of a daemon if they are due, and schedules the next tick.
    fn tick_daemon(&mut self, daemon: usize) {
        let now = self.now;
        if self.daemons[daemon]
            .as_ref()
            .is_none_or(|started_daemon| started_daemon.due > now)
        {
            return;
        }
        self.step_control(daemon, Work::Ticks, |daemon_control, agent, now| {
            daemon_control.tick(agent, now)
        });
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        let (agent, daemon_control) = (&started_daemon.agent, &started_daemon.daemon_control);
        let (next_due, _) = self.meter.measure_step(Role::Ingress, Work::Ticks, || {
            daemon_control.next_due(agent)
        });
        started_daemon.due = next_due.clamp(now + MIN_TICK_INTERVAL, now + MAX_TICK_INTERVAL);
        let delay = started_daemon.due.since(now);
        self.push(delay, Event::Daemon(daemon, DaemonEvent::Tick));
    }

    /// Schedules an earlier tick of a daemon if its next one is after `due`.
    fn tick_earlier(&mut self, daemon: usize, due: MonotonicTime) {
        let now = self.now;
        let Some(started_daemon) = &mut self.daemons[daemon] else {
            return;
        };
        if due < started_daemon.due {
            started_daemon.due = due.max(now + MIN_TICK_INTERVAL).min(started_daemon.due);
            let delay = started_daemon.due.since(now);
            self.push(delay, Event::Daemon(daemon, DaemonEvent::Tick));
        }
    }

    /// Schedules an earlier tick of a daemon if a timer of a held function expires before its next one.
    pub(super) fn tick_for_holder(&mut self, daemon: usize, held: &HeldFunction<u64>) {
        if let Some(due) = held.with(|holder| holder.next_due()) {
            self.tick_earlier(daemon, due);
        }
    }

    /// Passes an input to a daemon's control session and executes the outputs.
    pub(super) fn step_control(
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
        let daemon_control = &mut started_daemon.daemon_control;
        let (outputs, nanos) = self.meter.measure_step(wire::daemon_role(work), work, || {
            step(daemon_control, &agent, now)
        });
        for output in outputs {
            if matches!(output, DaemonControlOutput::Installed(_)) && self.meter.is_open() {
                self.record.installs.push(nanos as f64 / 1e6);
            }
            self.apply_daemon_output(daemon, output);
        }
        let stream_due = self.daemons[daemon]
            .as_ref()
            .map(|started_daemon| started_daemon.daemon_control.stream_due());
        if let Some(stream_due) = stream_due {
            self.tick_earlier(daemon, stream_due);
        }
    }

    fn apply_daemon_output(&mut self, daemon: usize, output: DaemonControlOutput<u64>) {
        match output {
            DaemonControlOutput::Dial(to) => self.dial(daemon, to),
            DaemonControlOutput::Hangup => {
                let link = self.daemons[daemon]
                    .as_mut()
                    .and_then(|started_daemon| started_daemon.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonControlOutput::SendFrame(frame) => self.send_to_controller(daemon, &frame),
            DaemonControlOutput::HeartbeatDatagram(heartbeat, addresses) => {
                self.send_heartbeat(daemon, heartbeat, &addresses)
            }
            DaemonControlOutput::Holder(held, outputs) => {
                self.execute_outputs(daemon, &held, outputs)
            }
            DaemonControlOutput::Acquired {
                function, result, ..
            } => {
                self.handle_acquire_result(daemon, &function, &result);
            }
            DaemonControlOutput::AcquisitionsLost => {
                let Some(started_daemon) = &mut self.daemons[daemon] else {
                    return;
                };
                for function in std::mem::take(&mut started_daemon.awaiting_lease).into_keys() {
                    self.handle_acquire_result(daemon, &function, &None);
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
        let delay = Self::message_delay(daemon, controller) * 2;
        self.push(delay, Event::DaemonLink(link, DaemonLinkEvent::Dialed));
    }

    /// Whether the link is the current one of its daemon.
    fn is_current(&self, link: usize) -> bool {
        let daemon = self.links[link].daemon;
        self.daemons[daemon]
            .as_ref()
            .is_some_and(|started_daemon| started_daemon.link == Some(link))
    }

    fn handle_dialed(&mut self, link: usize) {
        if self.is_current(link) {
            let daemon = self.links[link].daemon;
            self.step_control(daemon, Work::Others, |daemon_control, agent, now| {
                daemon_control.handle_connected(agent, now)
            });
        }
    }

    fn handle_link_lost(&mut self, link: usize) {
        self.links[link].is_open = false;
        if !self.is_current(link) {
            return;
        }
        let daemon = self.links[link].daemon;
        if let Some(started_daemon) = &mut self.daemons[daemon] {
            started_daemon.link = None;
        }
        self.step_control(daemon, Work::Others, |daemon_control, agent, now| {
            daemon_control.handle_disconnected(agent, now)
        });
    }

    fn send_to_controller(&mut self, daemon: usize, frame: &DaemonToLeader) {
        let link = self.daemons[daemon]
            .as_ref()
            .and_then(|started_daemon| started_daemon.link);
        let Some(link) = link else { return };
        let work = wire::work_of_daemon_frame(frame);
        let role = wire::daemon_role(work);
        let Some(bytes) = wire::encode_sent(&mut self.meter, role, work, frame) else {
            return;
        };
        let delay = Self::message_delay(daemon, self.links[link].controller);
        self.push(
            delay,
            Event::ControllerLink(link, ControllerLinkEvent::Frame(bytes)),
        );
    }

    fn handle_frame_from_controller(&mut self, link: usize, bytes: &Bytes) {
        if !self.links[link].is_open || !self.is_current(link) {
            return;
        }
        let Ok(peeked_frame) = decode::<LeaderToDaemon>(bytes) else {
            return;
        };
        let work = wire::work_of_leader_frame(&peeked_frame);
        let role = wire::daemon_role(work);
        let Some(frame) = wire::decode_received(&mut self.meter, role, work, bytes) else {
            return;
        };
        let daemon = self.links[link].daemon;
        self.step_control(daemon, work, |daemon_control, agent, now| {
            daemon_control.handle_frame(agent, now, frame)
        });
    }

    fn send_heartbeat(&mut self, daemon: usize, heartbeat: Heartbeat, addresses: &[SocketAddress]) {
        let encoded = self
            .meter
            .measure_wire(Role::Ingress, Work::Heartbeats, 1, || {
                encode_heartbeat(&heartbeat)
            });
        let Ok(datagram) = encoded else { return };
        let bytes = wire::datagram_bytes(datagram.len());
        self.record.heartbeat_bytes = datagram.len() as u64;
        let count = addresses.len() as u64;
        self.meter
            .count_sent(Role::Ingress, Work::Heartbeats, count, count * bytes);
        let heartbeat = Rc::new(HeartbeatDatagram {
            heartbeat,
            datagram,
        });
        for address in addresses {
            if let Some(receiver) = self.daemon_at(*address) {
                let delay = Self::message_delay(daemon, receiver);
                let arrival = DaemonEvent::Heartbeat(heartbeat.clone());
                self.push(delay, Event::Daemon(receiver, arrival));
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
            .count_received(Role::Ingress, Work::Heartbeats, 1, bytes);
        started_daemon.heartbeats_received += 1;
        if started_daemon
            .heartbeats_received
            .is_multiple_of(HEARTBEATS_PER_DECODE)
        {
            let _ = self.meter.measure_wire(
                Role::Ingress,
                Work::Heartbeats,
                HEARTBEATS_PER_DECODE,
                || decode_heartbeat(&heartbeat.datagram),
            );
        }
        let daemon_control = &mut started_daemon.daemon_control;
        self.meter
            .measure_step(Role::Ingress, Work::Heartbeats, || {
                daemon_control.handle_heartbeat(now, &heartbeat.heartbeat)
            });
    }
}
