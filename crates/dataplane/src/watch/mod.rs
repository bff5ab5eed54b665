//! Who is alive: the leader's host list, less those who have fallen silent. Heartbeats go to a few
//! neighbours on the ring and name nobody else, unless somebody is missed.

mod suspicion;

pub use suspicion::{TELLINGS, WatchOutput};

use common::clock::Moment;
use common::frames::{Heartbeat, Host, Many, MemberLife, Place, Suspicion};
use common::identity::MemberName;
use common::ring;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use suspicion::{Hearsay, MOST_SUSPICIONS};

/// From one heartbeat to the next, unless the boot settings say otherwise.
pub const BEAT_EVERY: Duration = Duration::from_millis(250);

/// So many heartbeats must be missed before a daemon counts as silent.
pub const MISSED_BEATS: u32 = 3;

/// After this silence a daemon counts as gone, unless the boot settings say otherwise.
pub const GONE_AFTER: Duration = Duration::from_millis(750);

/// How much later than it meant to a watcher may look before it doubts itself rather than the others.
const LATE_LOOK: Duration = Duration::from_millis(400);

struct Sighting {
    host: Host,
    ring_place: u64,
    heard_at: Option<Moment>,
}

impl Sighting {
    fn life(&self) -> MemberLife {
        MemberLife { member: self.host.member.clone(), incarnation: self.host.incarnation }
    }
}

/// What one daemon knows of the others.
pub struct Watch {
    own_host: Host,
    sightings: BTreeMap<MemberName, Sighting>,
    list_number: u64,
    silent: BTreeSet<MemberLife>,
    watched: BTreeMap<MemberLife, Moment>,
    missed: BTreeSet<MemberLife>,
    hearsay: Hearsay,
    watcher_places: Vec<Place>,
    refute_to: BTreeSet<Place>,
    beat_every: Duration,
    beat_at: Moment,
    beat_count: u64,
    looked_at: Option<Moment>,
    ignored_count: u64,
    outputs: Vec<WatchOutput>,
}

impl Watch {
    /// Knows of nobody but itself.
    pub fn new(own_host: Host) -> Self {
        Self {
            own_host,
            sightings: BTreeMap::new(),
            list_number: 0,
            silent: BTreeSet::new(),
            watched: BTreeMap::new(),
            missed: BTreeSet::new(),
            hearsay: Hearsay::default(),
            watcher_places: Vec::new(),
            refute_to: BTreeSet::new(),
            beat_every: BEAT_EVERY,
            beat_at: Moment::ZERO,
            beat_count: 0,
            looked_at: None,
            ignored_count: 0,
            outputs: Vec::new(),
        }
    }

    /// The same with another pause between heartbeats; the silence that is borne changes with it.
    pub fn with_beat(mut self, beat_every: Duration) -> Self {
        self.beat_every = beat_every;
        self
    }

    /// When the next heartbeat is due, or a watched daemon will have been silent for too long.
    pub fn next_due(&self) -> Moment {
        let gone_after = self.gone_after();
        let is_missed = |life: &MemberLife| self.missed.contains(life);
        let unmissed = self.watched.iter().filter(|(life, _)| !is_missed(life));
        let first_missed_at = unmissed.map(|(_, since)| *since + gone_after).min();
        first_missed_at.map_or(self.beat_at, |missed_at| missed_at.min(self.beat_at))
    }

    fn gone_after(&self) -> Duration {
        self.beat_every * MISSED_BEATS
    }

    fn own_life(&self) -> MemberLife {
        let own_host = &self.own_host;
        MemberLife { member: own_host.member.clone(), incarnation: own_host.incarnation }
    }

    fn is_listed(&self, life: &MemberLife) -> bool {
        let sighting = self.sightings.get(&life.member);
        sighting.is_some_and(|sighting| sighting.host.incarnation == life.incarnation)
    }

    /// Takes the leader's whole host list with its number, and whom it believes silent.
    pub fn listed(&mut self, now: Moment, number: u64, hosts: Vec<Host>, silent: Vec<MemberLife>) {
        let listed_names: BTreeSet<MemberName> =
            hosts.iter().map(|host| host.member.clone()).collect();
        self.sightings.retain(|member, _| listed_names.contains(member));
        self.put(hosts);
        self.list_number = number;
        self.told_silent(now, silent);
    }

    /// Takes a change of that list; false when it does not follow on the list that is known.
    pub fn list_changed(
        &mut self,
        now: Moment,
        number: u64,
        put: Vec<Host>,
        removed: Vec<MemberName>,
        silent: Vec<MemberLife>,
    ) -> bool {
        if number != self.list_number + 1 {
            return false;
        }
        for member in removed {
            self.sightings.remove(&member);
        }
        self.put(put);
        self.list_number = number;
        self.told_silent(now, silent);
        true
    }

    fn put(&mut self, hosts: Vec<Host>) {
        for host in hosts {
            if host.member == self.own_host.member {
                self.own_host.eligible = host.eligible;
            }
            let earlier_sighting = self
                .sightings
                .remove(&host.member)
                .filter(|sighting| sighting.host.incarnation == host.incarnation);
            let heard_at = earlier_sighting.and_then(|sighting| sighting.heard_at);
            let ring_place = ring::place_of(&host.member);
            let sighting = Sighting { host, ring_place, heard_at };
            self.sightings.insert(sighting.host.member.clone(), sighting);
        }
    }

    fn told_silent(&mut self, now: Moment, silent: Vec<MemberLife>) {
        self.silent = silent.into_iter().collect();
        let own_life = self.own_life();
        if self.silent.remove(&own_life) {
            self.beat_at = now;
            self.outputs.push(WatchOutput::Heard(own_life));
        }
        self.name_neighbours(now);
    }

    /// Whom this daemon watches, and who watches it: by the leader's list alone, so that both sides
    /// agree.
    fn name_neighbours(&mut self, now: Moment) {
        let silent = &self.silent;
        let on_ring: Vec<(u64, &Host)> = self
            .sightings
            .values()
            .filter(|sighting| !silent.contains(&sighting.life()))
            .map(|sighting| (sighting.ring_place, &sighting.host))
            .collect();
        let own_watchers = ring::watchers(&self.own_host, on_ring.iter().copied());
        self.watcher_places = own_watchers.into_iter().map(|watcher| watcher.place).collect();
        let mut earlier_watched = std::mem::take(&mut self.watched);
        let own_member = &self.own_host.member;
        for sighting in self.sightings.values() {
            let is_watched = ring::watchers(&sighting.host, on_ring.iter().copied())
                .into_iter()
                .any(|watcher| watcher.member == *own_member);
            if is_watched && sighting.host.member != *own_member {
                let life = sighting.life();
                let since = earlier_watched.remove(&life).unwrap_or(now);
                self.watched.insert(life, since);
            }
        }
        let watched = &self.watched;
        self.missed.retain(|life| watched.contains_key(life));
    }

    /// Takes a heartbeat; one from a stranger changes nothing.
    pub fn heard(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let life =
            MemberLife { member: heartbeat.member.clone(), incarnation: heartbeat.incarnation };
        if !self.is_listed(&life) || life.member == self.own_host.member {
            self.ignored_count += 1;
            return false;
        }
        let Some(sighting) = self.sightings.get_mut(&life.member) else { return false };
        sighting.heard_at = Some(now);
        let sender_place = sighting.host.place;
        if let Some(since) = self.watched.get_mut(&life) {
            *since = now;
        }
        self.hearsay.forget(&life);
        if self.missed.remove(&life) || self.silent.contains(&life) {
            self.outputs.push(WatchOutput::Heard(life));
        }
        let own_life = self.own_life();
        for suspicion in &heartbeat.suspicions.0 {
            if suspicion.life == own_life {
                self.refute_to.insert(sender_place);
                self.beat_at = now;
            } else if self.is_listed(&suspicion.life) {
                self.hearsay.heard(now, suspicion);
            }
        }
        true
    }

    /// What a fresh stream's leader must be told: whom this daemon misses.
    pub fn missed(&self) -> Vec<MemberLife> {
        self.missed.iter().cloned().collect()
    }

    /// Looks whom it misses, and what is due now.
    pub fn tick(&mut self, now: Moment) -> Vec<WatchOutput> {
        let gone_after = self.gone_after();
        let is_late = self
            .looked_at
            .is_some_and(|looked_at| now.since(looked_at) > LATE_LOOK.max(self.beat_every * 2));
        self.looked_at = Some(now);
        if is_late {
            self.watched.values_mut().for_each(|since| *since = now);
        }
        let newly_missed: Vec<MemberLife> = self
            .watched
            .iter()
            .filter(|(life, since)| now.since(**since) >= gone_after && !self.missed.contains(life))
            .map(|(life, _)| life.clone())
            .collect();
        for life in newly_missed {
            self.missed.insert(life.clone());
            self.beat_at = now;
            self.outputs.push(WatchOutput::Silent(life));
        }
        self.hearsay.fade(now, gone_after);
        if now >= self.beat_at {
            self.beat(now);
        }
        std::mem::take(&mut self.outputs)
    }

    fn beat(&mut self, now: Moment) {
        self.beat_at = now + self.beat_every;
        self.beat_count += 1;
        let own_suspicions =
            self.missed.iter().map(|life| Suspicion { life: life.clone(), tellings: TELLINGS });
        let suspicions: Vec<Suspicion> = own_suspicions
            .chain(self.hearsay.passed_on().filter(|passed| !self.missed.contains(&passed.life)))
            .take(MOST_SUSPICIONS)
            .collect();
        let heartbeat = Heartbeat {
            member: self.own_host.member.clone(),
            incarnation: self.own_host.incarnation,
            count: self.beat_count,
            suspicions: Many(suspicions),
        };
        let mut to_places = std::mem::take(&mut self.refute_to);
        to_places.extend(self.watcher_places.iter().copied());
        self.outputs.push(WatchOutput::Beat(heartbeat, to_places.into_iter().collect()));
    }

    /// The daemons that count as alive, this one always among them: those on the leader's list that
    /// nobody misses. Whose heartbeats come in here is alive, whoever says otherwise.
    pub fn alive(&self, now: Moment) -> Vec<Host> {
        let gone_after = self.gone_after();
        let is_alive = |sighting: &&Sighting| {
            let is_heard = sighting.heard_at.is_some_and(|at| now.since(at) < gone_after);
            let is_itself = sighting.host.member == self.own_host.member;
            let life = sighting.life();
            let is_suspected = self.silent.contains(&life)
                || self.missed.contains(&life)
                || self.hearsay.contains(&life);
            is_itself || is_heard || !is_suspected
        };
        self.sightings.values().filter(is_alive).map(|sighting| sighting.host.clone()).collect()
    }

    /// How many heartbeats were ignored.
    pub fn ignored_count(&self) -> u64 {
        self.ignored_count
    }
}
