use super::calls::Pending;
use super::events::{Beat, Event, Spot};
use super::fleet::{Fleet, Link};
use super::memory;
use super::meter::{Role, Work};
use super::record::RunRecord;
use super::wire;
use super::zones::Zone;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use survey::plane::PlaneInput;
use trail::holder::HolderWord;
use trail::liaison::LiaisonTiming;
use trail::lodge::{Controller, DaemonOrder, Held, Lodge};
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::frames::{
    Flag, Heartbeat, Host, Place, StreamDown, StreamUp, decode, decode_heartbeat, encode,
    encode_heartbeat,
};
use waymark::identity::FunctionKey;
use waymark::rules::Rules;

const SHORTEST_REST: Duration = Duration::from_millis(5);
const LONGEST_REST: Duration = Duration::from_millis(100);
/// One heartbeat in so many is read from its bytes; its time stands for the others.
const BEATS_READ: u64 = 8;

/// One hollow daemon.
pub(super) struct Trailhead {
    pub lodge: Arc<Lodge<u64>>,
    pub controller: Controller<u64>,
    pub pendings: HashMap<u64, Pending>,
    pub acquires: BTreeMap<FunctionKey, Vec<u64>>,
    pub link: Option<usize>,
    pub beats_heard: u64,
    pub due: Moment,
}

impl Fleet {
    pub(super) fn lodge(&self, trailhead: usize) -> Option<Arc<Lodge<u64>>> {
        self.trailheads[trailhead].as_ref().map(|begun| begun.lodge.clone())
    }

    pub(super) fn begin_trailhead(&mut self, trailhead: usize) {
        let own_place = Self::trailhead_place(trailhead);
        let host = Host {
            member: format!("trailhead-{trailhead:03}").into(),
            incarnation: (self.chance.number() | 1).into(),
            locality: Zone::of(trailhead).locality(),
            place: own_place,
            eligible: Flag(true),
        };
        let lodge = Arc::new(Lodge::new(host, Rules::KEPT));
        let controller = Controller::new(
            self.now,
            &lodge,
            LiaisonTiming::builder().build(),
            own_place,
            Self::seeds(),
            Chance::seeded(self.chance.number()),
        );
        self.trailheads[trailhead] = Some(Trailhead {
            lodge,
            controller,
            pendings: HashMap::new(),
            acquires: BTreeMap::new(),
            link: None,
            beats_heard: 0,
            due: self.now,
        });
        let first_tick = self.chance.within(Duration::ZERO, LONGEST_REST);
        self.push(first_tick, Event::TickTrailhead(trailhead));
    }

    /// Time passes for a daemon, if it is due; what is due next is looked up as part of it.
    pub(super) fn tick_trailhead(&mut self, trailhead: usize) {
        let now = self.now;
        if self.trailheads[trailhead].as_ref().is_none_or(|begun| begun.due > now) {
            return;
        }
        self.control(trailhead, Work::Ticks, |controller, lodge, now| controller.tick(lodge, now));
        let Some(begun) = &mut self.trailheads[trailhead] else { return };
        let (lodge, controller) = (&begun.lodge, &begun.controller);
        let (next_due, _) =
            self.meter.think(Role::Door, Work::Ticks, || controller.next_due(lodge));
        begun.due = next_due.clamp(now + SHORTEST_REST, now + LONGEST_REST);
        let rest = begun.due.since(now);
        self.push(rest, Event::TickTrailhead(trailhead));
    }

    fn hasten(&mut self, trailhead: usize, due: Moment) {
        let now = self.now;
        let Some(begun) = &mut self.trailheads[trailhead] else { return };
        if due < begun.due {
            begun.due = due.max(now + SHORTEST_REST).min(begun.due);
            let rest = begun.due.since(now);
            self.push(rest, Event::TickTrailhead(trailhead));
        }
    }

    /// Has a daemon look earlier than it meant to, if a holder needs that.
    pub(super) fn hurry(&mut self, trailhead: usize, held: &Held<u64>) {
        if let Some(due) = held.with(|holder| holder.next_due()) {
            self.hasten(trailhead, due);
        }
    }

    /// Feeds a daemon's controller and does what it orders.
    pub(super) fn control(
        &mut self,
        trailhead: usize,
        work: Work,
        step: impl FnOnce(&mut Controller<u64>, &Lodge<u64>, Moment) -> Vec<DaemonOrder<u64>>,
    ) {
        let now = self.now;
        let Some(begun) = &mut self.trailheads[trailhead] else { return };
        let lodge = begun.lodge.clone();
        let controller = &mut begun.controller;
        let (orders, nanos) =
            self.meter.think(wire::daemon_role(work), work, || step(controller, &lodge, now));
        for order in orders {
            if matches!(order, DaemonOrder::Installed(_)) && self.meter.is_open() {
                self.record.installs.push(nanos as f64 / 1e6);
            }
            self.obey_trailhead(trailhead, order);
        }
        let stream_due =
            self.trailheads[trailhead].as_ref().map(|begun| begun.controller.stream_due());
        if let Some(stream_due) = stream_due {
            self.hasten(trailhead, stream_due);
        }
    }

    fn obey_trailhead(&mut self, trailhead: usize, order: DaemonOrder<u64>) {
        match order {
            DaemonOrder::Dial(to) => self.dial(trailhead, to),
            DaemonOrder::Hangup => {
                let link = self.trailheads[trailhead].as_mut().and_then(|begun| begun.link.take());
                if let Some(link) = link {
                    self.close_link(link);
                }
            }
            DaemonOrder::Say(frame) => self.say(trailhead, &frame),
            DaemonOrder::Beat(heartbeat, places) => self.beat(trailhead, heartbeat, &places),
            DaemonOrder::Holder(held, outputs) => self.drive(trailhead, &held, outputs),
            DaemonOrder::Acquired(function, result, _) => {
                self.acquired(trailhead, &function, &result);
            }
            DaemonOrder::AcquiresLost => {
                let Some(begun) = &mut self.trailheads[trailhead] else { return };
                for function in std::mem::take(&mut begun.acquires).into_keys() {
                    self.acquired(trailhead, &function, &None);
                }
            }
            DaemonOrder::Changed => self.look_all(trailhead),
            DaemonOrder::GrantEnded => self.record.grants_ended += 1,
            DaemonOrder::Tell(..) | DaemonOrder::Installed(_) => {}
        }
    }

    fn dial(&mut self, trailhead: usize, to: Place) {
        let Some(surveyor) = Self::surveyor_at(to) else { return };
        let link = self.links.len();
        self.links.push(Link { trailhead, surveyor, is_open: true });
        if let Some(begun) = &mut self.trailheads[trailhead] {
            begun.link = Some(link);
        }
        let delay = Self::delay(trailhead, surveyor) * 2;
        self.push(delay, Event::Dialed(link));
    }

    fn is_current(&self, link: usize) -> bool {
        let trailhead = self.links[link].trailhead;
        self.trailheads[trailhead].as_ref().is_some_and(|begun| begun.link == Some(link))
    }

    pub(super) fn dialed(&mut self, link: usize) {
        if self.is_current(link) {
            let trailhead = self.links[link].trailhead;
            self.control(trailhead, Work::Others, |controller, lodge, now| {
                controller.connected(lodge, now)
            });
        }
    }

    pub(super) fn link_lost(&mut self, link: usize, at_surveyor: bool) {
        self.links[link].is_open = false;
        if at_surveyor {
            let surveyor = self.links[link].surveyor;
            let stream = survey::desk::StreamId(link as u64);
            self.feed(surveyor, Work::Others, PlaneInput::StreamLost(stream));
        } else if self.is_current(link) {
            let trailhead = self.links[link].trailhead;
            if let Some(begun) = &mut self.trailheads[trailhead] {
                begun.link = None;
            }
            self.control(trailhead, Work::Others, |controller, lodge, now| {
                controller.disconnected(lodge, now)
            });
        }
    }

    fn say(&mut self, trailhead: usize, frame: &StreamUp) {
        let link = self.trailheads[trailhead].as_ref().and_then(|begun| begun.link);
        let Some(link) = link else { return };
        let work = wire::work_up(frame);
        let role = wire::daemon_role(work);
        let Ok(bytes) = self.meter.wire(role, work, 1, || encode(frame)) else { return };
        self.meter.sent(role, work, 1, wire::frame_bytes(bytes.len()));
        let delay = Self::delay(trailhead, self.links[link].surveyor);
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
        let trailhead = self.links[link].trailhead;
        self.control(trailhead, work, |controller, lodge, now| controller.heard(lodge, now, frame));
    }

    fn beat(&mut self, trailhead: usize, heartbeat: Heartbeat, places: &[Place]) {
        let encoded = self.meter.wire(Role::Door, Work::Beats, 1, || encode_heartbeat(&heartbeat));
        let Ok(datagram) = encoded else { return };
        let bytes = wire::datagram_bytes(datagram.len());
        self.record.heartbeat_bytes = datagram.len() as u64;
        let count = places.len() as u64;
        self.meter.sent(Role::Door, Work::Beats, count, count * bytes);
        let beat = Rc::new(Beat { heartbeat, datagram });
        for place in places {
            if let Some(watcher) = self.trailhead_at(*place) {
                let delay = Self::delay(trailhead, watcher);
                self.push(delay, Event::Beat(watcher, beat.clone()));
            }
        }
    }

    pub(super) fn hear_beat(&mut self, trailhead: usize, beat: &Rc<Beat>) {
        let now = self.now;
        let Some(begun) = &mut self.trailheads[trailhead] else { return };
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

    pub(super) fn hear_word(&mut self, spot: Spot, word: HolderWord) {
        let Spot { trailhead, function, grant } = spot;
        self.control(trailhead, Work::Runners, |controller, lodge, now| {
            controller.told(lodge, now, function, grant, word)
        });
    }

    /// Lets go of every state machine, and weighs what that frees.
    pub(super) fn weigh(&mut self, record: &mut RunRecord) {
        for begun in std::mem::take(&mut self.trailheads).into_iter().flatten() {
            let Trailhead { lodge, controller, pendings, acquires, .. } = begun;
            drop((pendings, acquires));
            let whole_bytes = memory::live();
            lodge.holdings.store(Arc::new(BTreeMap::new()));
            lodge.closing.lock().unwrap_or_else(PoisonError::into_inner).clear();
            let without_held = memory::live();
            record.holder_bytes.push(whole_bytes.saturating_sub(without_held));
            drop(controller);
            drop(lodge);
            record.door_bytes.push(without_held.saturating_sub(memory::live()));
        }
        for surveyor in std::mem::take(&mut self.surveyors) {
            let leads = surveyor.plane.core().is_leader();
            let whole_bytes = memory::live();
            drop(surveyor);
            let freed_bytes = whole_bytes.saturating_sub(memory::live());
            if leads {
                record.leading_bytes = freed_bytes;
            } else {
                record.following_bytes = freed_bytes;
            }
        }
    }
}
