//! The daemons of a synthetic fleet, and the messages to and from them.

use super::calls::Pending;
use super::events::{Beat, Event, Spot};
use super::fleet::{Fleet, Link};
use super::memory;
use super::meter::{Role, Work};
use super::record::RunRecord;
use super::wire;
use super::zones::ZoneNumber;
use bytes::Bytes;
use common::chance::Chance;
use common::clock::Moment;
use common::frames::{
    Flag, Heartbeat, Host, Place, StreamDown, StreamUp, decode, decode_heartbeat, encode,
    encode_heartbeat,
};
use common::identity::FunctionKey;
use common::rules::Rules;
use controlplane::controller_state::ControllerInput;
use dataplane::agent::{Agent, DaemonControl, DaemonOrder, Held};
use dataplane::holder::HolderMessage;
use dataplane::liaison::LiaisonTiming;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

const SHORTEST_REST: Duration = Duration::from_millis(5);
const LONGEST_REST: Duration = Duration::from_millis(100);
/// One heartbeat in so many is read from its bytes; its time stands for the others.
const BEATS_READ: u64 = 8;

/// One synthetic daemon.
pub(super) struct Daemon {
    pub agent: Arc<Agent<u64>>,
    pub controller: DaemonControl<u64>,
    pub pendings: HashMap<u64, Pending>,
    pub acquires: BTreeMap<FunctionKey, Vec<u64>>,
    pub link: Option<usize>,
    pub beats_heard: u64,
    pub due: Moment,
}

impl Fleet {
    pub(super) fn agent(&self, daemon: usize) -> Option<Arc<Agent<u64>>> {
        self.daemons[daemon].as_ref().map(|begun| begun.agent.clone())
    }

    pub(super) fn begin_daemon(&mut self, daemon: usize) {
        let own_place = Self::daemon_place(daemon);
        let host = Host {
            member: format!("daemon-{daemon:03}").into(),
            incarnation: (self.chance.number() | 1).into(),
            zone: ZoneNumber::of(daemon).zone(),
            place: own_place,
            eligible: Flag(true),
            link_mbps: 0,
        };
        let agent = Arc::new(Agent::new(host, Rules::KEPT));
        let controller = DaemonControl::new(
            self.now,
            &agent,
            LiaisonTiming::builder().build(),
            own_place,
            Self::seeds(),
            Chance::seeded(self.chance.number()),
        );
        self.daemons[daemon] = Some(Daemon {
            agent,
            controller,
            pendings: HashMap::new(),
            acquires: BTreeMap::new(),
            link: None,
            beats_heard: 0,
            due: self.now,
        });
        let first_tick = self.chance.within(Duration::ZERO, LONGEST_REST);
        self.push(first_tick, Event::TickDaemon(daemon));
    }

    /// Time passes for a daemon, if it is due; what is due next is looked up as part of it.
    pub(super) fn tick_daemon(&mut self, daemon: usize) {
        let now = self.now;
        if self.daemons[daemon].as_ref().is_none_or(|begun| begun.due > now) {
            return;
        }
        self.control(daemon, Work::Ticks, |controller, agent, now| controller.tick(agent, now));
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let (agent, controller) = (&begun.agent, &begun.controller);
        let (next_due, _) =
            self.meter.think(Role::Door, Work::Ticks, || controller.next_due(agent));
        begun.due = next_due.clamp(now + SHORTEST_REST, now + LONGEST_REST);
        let rest = begun.due.since(now);
        self.push(rest, Event::TickDaemon(daemon));
    }

    fn hasten(&mut self, daemon: usize, due: Moment) {
        let now = self.now;
        let Some(begun) = &mut self.daemons[daemon] else { return };
        if due < begun.due {
            begun.due = due.max(now + SHORTEST_REST).min(begun.due);
            let rest = begun.due.since(now);
            self.push(rest, Event::TickDaemon(daemon));
        }
    }

    /// Has a daemon look earlier than it meant to, if a holder needs that.
    pub(super) fn hurry(&mut self, daemon: usize, held: &Held<u64>) {
        if let Some(due) = held.with(|holder| holder.next_due()) {
            self.hasten(daemon, due);
        }
    }

    /// Feeds a daemon's controller and does what it orders.
    pub(super) fn control(
        &mut self,
        daemon: usize,
        work: Work,
        step: impl FnOnce(&mut DaemonControl<u64>, &Agent<u64>, Moment) -> Vec<DaemonOrder<u64>>,
    ) {
        let now = self.now;
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let agent = begun.agent.clone();
        let controller = &mut begun.controller;
        let (orders, nanos) =
            self.meter.think(wire::daemon_role(work), work, || step(controller, &agent, now));
        for order in orders {
            if matches!(order, DaemonOrder::Installed(_)) && self.meter.is_open() {
                self.record.installs.push(nanos as f64 / 1e6);
            }
            self.obey_daemon(daemon, order);
        }
        let stream_due = self.daemons[daemon].as_ref().map(|begun| begun.controller.stream_due());
        if let Some(stream_due) = stream_due {
            self.hasten(daemon, stream_due);
        }
    }

    fn obey_daemon(&mut self, daemon: usize, order: DaemonOrder<u64>) {
        match order {
            DaemonOrder::Dial(to) => self.dial(daemon, to),
            DaemonOrder::Hangup => {
                let link = self.daemons[daemon].as_mut().and_then(|begun| begun.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonOrder::Say(frame) => self.say(daemon, &frame),
            DaemonOrder::Beat(heartbeat, places) => self.beat(daemon, heartbeat, &places),
            DaemonOrder::Holder(held, outputs) => self.drive(daemon, &held, outputs),
            DaemonOrder::Acquired(function, result, _) => {
                self.acquired(daemon, &function, &result);
            }
            DaemonOrder::AcquiresLost => {
                let Some(begun) = &mut self.daemons[daemon] else { return };
                for function in std::mem::take(&mut begun.acquires).into_keys() {
                    self.acquired(daemon, &function, &None);
                }
            }
            DaemonOrder::Changed => self.look_all(daemon),
            DaemonOrder::GrantEnded => self.record.grants_ended += 1,
            DaemonOrder::Tell(..) | DaemonOrder::Installed(_) => {}
        }
    }

    fn dial(&mut self, daemon: usize, to: Place) {
        let Some(controller) = Self::controller_at(to) else { return };
        let link = self.links.len();
        self.links.push(Link { daemon, controller, is_open: true });
        if let Some(begun) = &mut self.daemons[daemon] {
            begun.link = Some(link);
        }
        let delay = Self::delay(daemon, controller) * 2;
        self.push(delay, Event::Dialed(link));
    }

    fn is_current(&self, link: usize) -> bool {
        let daemon = self.links[link].daemon;
        self.daemons[daemon].as_ref().is_some_and(|begun| begun.link == Some(link))
    }

    pub(super) fn dialed(&mut self, link: usize) {
        if self.is_current(link) {
            let daemon = self.links[link].daemon;
            self.control(daemon, Work::Others, |controller, agent, now| {
                controller.connected(agent, now)
            });
        }
    }

    pub(super) fn link_lost(&mut self, link: usize, at_controller: bool) {
        self.links[link].is_open = false;
        if at_controller {
            let controller = self.links[link].controller;
            let stream = controlplane::leader_state::StreamId(link as u64);
            self.feed(controller, Work::Others, ControllerInput::StreamLost(stream));
        } else if self.is_current(link) {
            let daemon = self.links[link].daemon;
            if let Some(begun) = &mut self.daemons[daemon] {
                begun.link = None;
            }
            self.control(daemon, Work::Others, |controller, agent, now| {
                controller.disconnected(agent, now)
            });
        }
    }

    fn say(&mut self, daemon: usize, frame: &StreamUp) {
        let link = self.daemons[daemon].as_ref().and_then(|begun| begun.link);
        let Some(link) = link else { return };
        let work = wire::work_up(frame);
        let role = wire::daemon_role(work);
        let Ok(bytes) = self.meter.wire(role, work, 1, || encode(frame)) else { return };
        self.meter.sent(role, work, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(daemon, self.links[link].controller);
        self.push(delay, Event::Up(link, bytes.into()));
    }

    pub(super) fn hear_down(&mut self, link: usize, bytes: &Bytes) {
        if !self.links[link].is_open || !self.is_current(link) {
            return;
        }
        let Ok(frame) = decode::<StreamDown>(bytes) else { return };
        let work = wire::work_down(&frame);
        let role = wire::daemon_role(work);
        let _ = self.meter.wire(role, work, 1, || decode::<StreamDown>(bytes));
        self.meter.heard(role, work, 1, wire::frame_bytes(bytes.len()));
        let daemon = self.links[link].daemon;
        self.control(daemon, work, |controller, agent, now| controller.heard(agent, now, frame));
    }

    fn beat(&mut self, daemon: usize, heartbeat: Heartbeat, places: &[Place]) {
        let encoded = self.meter.wire(Role::Door, Work::Beats, 1, || encode_heartbeat(&heartbeat));
        let Ok(datagram) = encoded else { return };
        let bytes = wire::datagram_bytes(datagram.len());
        self.record.heartbeat_bytes = datagram.len() as u64;
        let count = places.len() as u64;
        self.meter.sent(Role::Door, Work::Beats, count, count * bytes);
        let beat = Rc::new(Beat { heartbeat, datagram });
        for place in places {
            if let Some(watcher) = self.daemon_at(*place) {
                let delay = Self::delay(daemon, watcher);
                self.push(delay, Event::Beat(watcher, beat.clone()));
            }
        }
    }

    pub(super) fn hear_beat(&mut self, daemon: usize, beat: &Rc<Beat>) {
        let now = self.now;
        let Some(begun) = &mut self.daemons[daemon] else { return };
        let bytes = wire::datagram_bytes(beat.datagram.len());
        self.meter.heard(Role::Door, Work::Beats, 1, bytes);
        begun.beats_heard += 1;
        if begun.beats_heard.is_multiple_of(BEATS_READ) {
            let _ = self
                .meter
                .wire(Role::Door, Work::Beats, BEATS_READ, || decode_heartbeat(&beat.datagram));
        }
        let controller = &mut begun.controller;
        self.meter.think(Role::Door, Work::Beats, || controller.beat(now, &beat.heartbeat));
    }

    pub(super) fn hear_word(&mut self, spot: Spot, word: HolderMessage) {
        let Spot { daemon, function, grant } = spot;
        self.control(daemon, Work::Runners, |controller, agent, now| {
            controller.told(agent, now, function, grant, word)
        });
    }

    /// Lets go of every state machine, and weighs what that frees.
    pub(super) fn weigh(&mut self, record: &mut RunRecord) {
        for begun in std::mem::take(&mut self.daemons).into_iter().flatten() {
            let Daemon { agent, controller, pendings, acquires, .. } = begun;
            drop((pendings, acquires));
            let whole_bytes = memory::live();
            agent.holdings.store(Arc::new(BTreeMap::new()));
            agent.closing.lock().unwrap_or_else(PoisonError::into_inner).clear();
            let without_held = memory::live();
            record.holder_bytes.push(whole_bytes.saturating_sub(without_held));
            drop(controller);
            drop(agent);
            record.door_bytes.push(without_held.saturating_sub(memory::live()));
        }
        for controller in std::mem::take(&mut self.controllers) {
            let leads = controller.controller_state.core().is_leader();
            let whole_bytes = memory::live();
            drop(controller);
            let freed_bytes = whole_bytes.saturating_sub(memory::live());
            if leads {
                record.leading_bytes = freed_bytes;
            } else {
                record.following_bytes = freed_bytes;
            }
        }
    }
}
