//! Who is alive: the leader's host list, heartbeats from ring neighbours, and the views they carry.

use std::collections::BTreeMap;
use std::time::Duration;
use waymark::clock::Moment;
use waymark::frames::{Heartbeat, Host, Many, Place, View};
use waymark::identity::MemberName;
use waymark::ring;

/// How many daemons watch each one.
pub const WATCHER_COUNT: usize = 3;

/// From one heartbeat to the next, unless the boot settings say otherwise.
pub const BEAT_EVERY: Duration = Duration::from_millis(100);

/// After this silence a daemon counts as gone.
pub const GONE_AFTER: Duration = Duration::from_millis(1200);

struct Sighting {
    host: Host,
    seen_at: Moment,
}

/// What one daemon knows of the others.
pub struct Watch {
    own_host: Host,
    sightings: BTreeMap<MemberName, Sighting>,
    beat_every: Duration,
    beat_at: Moment,
    beat_count: u64,
    ignored_count: u64,
}

impl Watch {
    /// Knows of nobody but itself.
    pub fn new(own_host: Host) -> Self {
        Self {
            own_host,
            sightings: BTreeMap::new(),
            beat_every: BEAT_EVERY,
            beat_at: Moment::ZERO,
            beat_count: 0,
            ignored_count: 0,
        }
    }

    /// The same with another pause between heartbeats; the silence that is borne changes with it.
    pub fn with_beat(mut self, beat_every: Duration) -> Self {
        self.beat_every = beat_every;
        self
    }

    /// When the next heartbeat is due.
    pub fn next_due(&self) -> Moment {
        self.beat_at
    }

    fn gone_after(&self) -> Duration {
        let millis = self.beat_every.as_millis() * GONE_AFTER.as_millis() / BEAT_EVERY.as_millis();
        Duration::from_millis(millis as u64)
    }

    /// Takes the leader's host list. A daemon on it counts as just seen only when it is new.
    pub fn listed(&mut self, now: Moment, hosts: Vec<Host>) {
        let mut earlier_sightings = std::mem::take(&mut self.sightings);
        for host in hosts {
            let earlier_sighting = earlier_sightings
                .remove(&host.member)
                .filter(|sighting| sighting.host.incarnation == host.incarnation);
            let seen_at = earlier_sighting.map_or(now, |sighting| sighting.seen_at);
            if host.member == self.own_host.member {
                self.own_host.eligible = host.eligible;
            }
            self.sightings.insert(host.member.clone(), Sighting { host, seen_at });
        }
    }

    /// Takes a heartbeat; one from a stranger changes nothing.
    pub fn heard(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        let is_known = self
            .sightings
            .get(&heartbeat.member)
            .is_some_and(|sighting| sighting.host.incarnation == heartbeat.incarnation);
        if !is_known {
            self.ignored_count += 1;
            return false;
        }
        let own_view = View {
            member: heartbeat.member.clone(),
            incarnation: heartbeat.incarnation,
            age_ms: 0,
        };
        for view in heartbeat.views.0.iter().chain([&own_view]) {
            let seen_at = now - Duration::from_millis(u64::from(view.age_ms));
            if let Some(sighting) = self.sightings.get_mut(&view.member)
                && sighting.host.incarnation == view.incarnation
            {
                sighting.seen_at = sighting.seen_at.max(seen_at);
            }
        }
        true
    }

    /// The heartbeats due now, and where to.
    pub fn tick(&mut self, now: Moment) -> Option<(Heartbeat, Vec<Place>)> {
        if now < self.beat_at {
            return None;
        }
        self.beat_at = now + self.beat_every;
        self.beat_count += 1;
        let hosts: Vec<Host> =
            self.sightings.values().map(|sighting| sighting.host.clone()).collect();
        let watcher_places: Vec<Place> = ring::watchers(&self.own_host, &hosts, WATCHER_COUNT)
            .into_iter()
            .map(|watcher| watcher.place)
            .collect();
        let views = self
            .sightings
            .values()
            .filter(|sighting| sighting.host.member != self.own_host.member)
            .map(|sighting| View {
                member: sighting.host.member.clone(),
                incarnation: sighting.host.incarnation,
                age_ms: now.since(sighting.seen_at).as_millis().min(60_000) as u32,
            })
            .collect();
        let heartbeat = Heartbeat {
            member: self.own_host.member.clone(),
            incarnation: self.own_host.incarnation,
            count: self.beat_count,
            views: Many(views),
        };
        Some((heartbeat, watcher_places))
    }

    /// The daemons that count as alive, this one always among them.
    pub fn alive(&self, now: Moment) -> Vec<Host> {
        let gone_after = self.gone_after();
        let is_alive = |sighting: &&Sighting| {
            sighting.host.member == self.own_host.member || now.since(sighting.seen_at) < gone_after
        };
        self.sightings.values().filter(is_alive).map(|sighting| sighting.host.clone()).collect()
    }

    /// How many heartbeats were ignored.
    pub fn ignored_count(&self) -> u64 {
        self.ignored_count
    }
}
