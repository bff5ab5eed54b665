//! Who is alive: the leader's host list, less those who have fallen silent. Heartbeats go to a few
//! neighbours on the ring and name nobody else, unless somebody is missed.

mod suspicion;

pub use suspicion::{FailureDetectorOutput, MAX_RELAYS};

use common::clock::MonotonicTime;
use common::frames::{
    Heartbeat, Host, LengthPrefixed, MemberIncarnation, SocketAddress, Suspicion,
};
use common::identity::MemberName;
use common::ring;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use suspicion::{MAX_SUSPICIONS, PeerSuspicions};

/// From one heartbeat to the next, unless the boot settings say otherwise.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// So many heartbeats must be missed before a daemon counts as silent.
pub const MISSED_HEARTBEATS: u32 = 3;

/// After this silence a daemon counts as gone, unless the boot settings say otherwise.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(750);

/// How much later than it meant to a watcher may look before it doubts itself rather than the others.
const MAX_TICK_DELAY: Duration = Duration::from_millis(400);

struct HeartbeatRecord {
    host: Host,
    ring_position: u64,
    last_heard_at: Option<MonotonicTime>,
}

impl HeartbeatRecord {
    fn instance(&self) -> MemberIncarnation {
        MemberIncarnation {
            member: self.host.member.clone(),
            incarnation: self.host.incarnation,
        }
    }
}

/// What one daemon knows of the others.
pub struct FailureDetector {
    own_host: Host,
    records: BTreeMap<MemberName, HeartbeatRecord>,
    list_number: u64,
    suspected: BTreeSet<MemberIncarnation>,
    watched: BTreeMap<MemberIncarnation, MonotonicTime>,
    locally_suspected: BTreeSet<MemberIncarnation>,
    peer_suspicions: PeerSuspicions,
    watcher_addresses: Vec<SocketAddress>,
    refutation_targets: BTreeSet<SocketAddress>,
    heartbeat_interval: Duration,
    next_heartbeat_at: MonotonicTime,
    heartbeat_count: u64,
    last_tick_at: Option<MonotonicTime>,
    ignored_count: u64,
    outputs: Vec<FailureDetectorOutput>,
}

impl FailureDetector {
    /// Knows of nobody but itself.
    pub fn new(own_host: Host) -> Self {
        Self {
            own_host,
            records: BTreeMap::new(),
            list_number: 0,
            suspected: BTreeSet::new(),
            watched: BTreeMap::new(),
            locally_suspected: BTreeSet::new(),
            peer_suspicions: PeerSuspicions::default(),
            watcher_addresses: Vec::new(),
            refutation_targets: BTreeSet::new(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            next_heartbeat_at: MonotonicTime::ZERO,
            heartbeat_count: 0,
            last_tick_at: None,
            ignored_count: 0,
            outputs: Vec::new(),
        }
    }

    /// The same with another pause between heartbeats; the silence that is borne changes with it.
    pub fn with_heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.heartbeat_interval = heartbeat_interval;
        self
    }

    /// When the next heartbeat is due, or a watched daemon will have been silent for too long.
    pub fn next_due(&self) -> MonotonicTime {
        let failure_timeout = self.failure_timeout();
        let is_own_suspicion =
            |instance: &MemberIncarnation| self.locally_suspected.contains(instance);
        let unsuspected = self
            .watched
            .iter()
            .filter(|(instance, _)| !is_own_suspicion(instance));
        let first_failure_at = unsuspected.map(|(_, since)| *since + failure_timeout).min();
        first_failure_at.map_or(self.next_heartbeat_at, |failure_at| {
            failure_at.min(self.next_heartbeat_at)
        })
    }

    fn failure_timeout(&self) -> Duration {
        self.heartbeat_interval * MISSED_HEARTBEATS
    }

    fn own_incarnation(&self) -> MemberIncarnation {
        let own_host = &self.own_host;
        MemberIncarnation {
            member: own_host.member.clone(),
            incarnation: own_host.incarnation,
        }
    }

    fn is_listed(&self, instance: &MemberIncarnation) -> bool {
        let record = self.records.get(&instance.member);
        record.is_some_and(|record| record.host.incarnation == instance.incarnation)
    }

    /// Takes the leader's whole host list with its number, and whom it believes silent.
    pub fn set_host_list(
        &mut self,
        now: MonotonicTime,
        number: u64,
        hosts: Vec<Host>,
        suspected: Vec<MemberIncarnation>,
    ) {
        let listed_members: BTreeSet<MemberName> =
            hosts.iter().map(|host| host.member.clone()).collect();
        self.records
            .retain(|member, _| listed_members.contains(member));
        self.put(hosts);
        self.list_number = number;
        self.set_suspected(now, suspected);
    }

    /// Takes a change of that list; false when it does not follow on the list that is known.
    pub fn update_host_list(
        &mut self,
        now: MonotonicTime,
        number: u64,
        put: Vec<Host>,
        removed: Vec<MemberName>,
        suspected: Vec<MemberIncarnation>,
    ) -> bool {
        if number != self.list_number + 1 {
            return false;
        }
        for member in removed {
            self.records.remove(&member);
        }
        self.put(put);
        self.list_number = number;
        self.set_suspected(now, suspected);
        true
    }

    fn put(&mut self, hosts: Vec<Host>) {
        for host in hosts {
            if host.member == self.own_host.member {
                self.own_host.eligible = host.eligible;
            }
            let earlier_record = self
                .records
                .remove(&host.member)
                .filter(|record| record.host.incarnation == host.incarnation);
            let last_heard_at = earlier_record.and_then(|record| record.last_heard_at);
            let ring_position = ring::ring_position(&host.member);
            let record = HeartbeatRecord {
                host,
                ring_position,
                last_heard_at,
            };
            self.records.insert(record.host.member.clone(), record);
        }
    }

    fn set_suspected(&mut self, now: MonotonicTime, suspected: Vec<MemberIncarnation>) {
        self.suspected = suspected.into_iter().collect();
        let own_incarnation = self.own_incarnation();
        if self.suspected.remove(&own_incarnation) {
            self.next_heartbeat_at = now;
            self.outputs
                .push(FailureDetectorOutput::MemberRecovered(own_incarnation));
        }
        self.update_neighbours(now);
    }

    /// Whom this daemon watches, and who watches it: by the leader's list alone, so that both sides
    /// agree.
    fn update_neighbours(&mut self, now: MonotonicTime) {
        let suspected = &self.suspected;
        let on_ring: Vec<(u64, &Host)> = self
            .records
            .values()
            .filter(|record| !suspected.contains(&record.instance()))
            .map(|record| (record.ring_position, &record.host))
            .collect();
        let own_watchers = ring::watchers(&self.own_host, on_ring.iter().copied());
        self.watcher_addresses = own_watchers
            .into_iter()
            .map(|watcher| watcher.address)
            .collect();
        let mut earlier_watched_since = std::mem::take(&mut self.watched);
        let own_member = &self.own_host.member;
        for record in self.records.values() {
            let is_watched = ring::watchers(&record.host, on_ring.iter().copied())
                .into_iter()
                .any(|watcher| watcher.member == *own_member);
            if is_watched && record.host.member != *own_member {
                let instance = record.instance();
                let since = earlier_watched_since.remove(&instance).unwrap_or(now);
                self.watched.insert(instance, since);
            }
        }
        let watched = &self.watched;
        self.locally_suspected
            .retain(|instance| watched.contains_key(instance));
    }

    /// Takes a heartbeat; one from a stranger changes nothing.
    pub fn received(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> bool {
        let instance = MemberIncarnation {
            member: heartbeat.member.clone(),
            incarnation: heartbeat.incarnation,
        };
        if !self.is_listed(&instance) || instance.member == self.own_host.member {
            self.ignored_count += 1;
            return false;
        }
        let Some(record) = self.records.get_mut(&instance.member) else {
            return false;
        };
        record.last_heard_at = Some(now);
        let sender_address = record.host.address;
        if let Some(since) = self.watched.get_mut(&instance) {
            *since = now;
        }
        self.peer_suspicions.forget(&instance);
        if self.locally_suspected.remove(&instance) || self.suspected.contains(&instance) {
            self.outputs
                .push(FailureDetectorOutput::MemberRecovered(instance));
        }
        let own_incarnation = self.own_incarnation();
        for suspicion in &heartbeat.suspicions.0 {
            if suspicion.instance == own_incarnation {
                self.refutation_targets.insert(sender_address);
                self.next_heartbeat_at = now;
            } else if self.is_listed(&suspicion.instance) {
                self.peer_suspicions.received(now, suspicion);
            }
        }
        true
    }

    /// What a fresh stream's leader must be told: whom this daemon misses.
    pub fn locally_suspected(&self) -> Vec<MemberIncarnation> {
        self.locally_suspected.iter().cloned().collect()
    }

    /// Looks whom it misses, and what is due now.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<FailureDetectorOutput> {
        let failure_timeout = self.failure_timeout();
        let was_delayed = self.last_tick_at.is_some_and(|last_tick_at| {
            now.since(last_tick_at) > MAX_TICK_DELAY.max(self.heartbeat_interval * 2)
        });
        self.last_tick_at = Some(now);
        if was_delayed {
            self.watched.values_mut().for_each(|since| *since = now);
        }
        let newly_suspected: Vec<MemberIncarnation> = self
            .watched
            .iter()
            .filter(|(instance, since)| {
                now.since(**since) >= failure_timeout && !self.locally_suspected.contains(instance)
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in newly_suspected {
            self.locally_suspected.insert(instance.clone());
            self.next_heartbeat_at = now;
            self.outputs
                .push(FailureDetectorOutput::MemberSuspected(instance));
        }
        self.peer_suspicions.expire(now, failure_timeout);
        if now >= self.next_heartbeat_at {
            self.send_heartbeat(now);
        }
        std::mem::take(&mut self.outputs)
    }

    fn send_heartbeat(&mut self, now: MonotonicTime) {
        self.next_heartbeat_at = now + self.heartbeat_interval;
        self.heartbeat_count += 1;
        let own_suspicions = self.locally_suspected.iter().map(|instance| Suspicion {
            instance: instance.clone(),
            remaining_relays: MAX_RELAYS,
        });
        let suspicions: Vec<Suspicion> = own_suspicions
            .chain(
                self.peer_suspicions
                    .forwarded()
                    .filter(|suspicion| !self.locally_suspected.contains(&suspicion.instance)),
            )
            .take(MAX_SUSPICIONS)
            .collect();
        let heartbeat = Heartbeat {
            member: self.own_host.member.clone(),
            incarnation: self.own_host.incarnation,
            count: self.heartbeat_count,
            suspicions: LengthPrefixed(suspicions),
        };
        let mut target_addresses = std::mem::take(&mut self.refutation_targets);
        target_addresses.extend(self.watcher_addresses.iter().copied());
        self.outputs.push(FailureDetectorOutput::HeartbeatDatagram(
            heartbeat,
            target_addresses.into_iter().collect(),
        ));
    }

    /// The daemons that count as alive, this one always among them: those on the leader's list that
    /// nobody misses. Whose heartbeats come in here is alive, whoever says otherwise.
    pub fn alive(&self, now: MonotonicTime) -> Vec<Host> {
        let failure_timeout = self.failure_timeout();
        let is_alive = |record: &&HeartbeatRecord| {
            let is_recently_heard = record
                .last_heard_at
                .is_some_and(|at| now.since(at) < failure_timeout);
            let is_self = record.host.member == self.own_host.member;
            let instance = record.instance();
            let is_suspected = self.suspected.contains(&instance)
                || self.locally_suspected.contains(&instance)
                || self.peer_suspicions.contains(&instance);
            is_self || is_recently_heard || !is_suspected
        };
        self.records
            .values()
            .filter(is_alive)
            .map(|record| record.host.clone())
            .collect()
    }

    /// How many heartbeats were ignored.
    pub fn ignored_count(&self) -> u64 {
        self.ignored_count
    }
}
