//! Failure detection: determines which of the members on the leader's list are alive.
//!
//! Each daemon sends heartbeats by UDP to a few neighbours on the hash ring, its watchers. A watcher that misses
//! [`MISSED_HEARTBEATS`] in a row suspects the member, reports it to the leader, and adds the suspicion to its own
//! heartbeats; the daemons that receive it relay it once ([`MAX_RELAYS`]). A heartbeat from the member itself refutes
//! the suspicion. The detector performs no I/O: [`FailureDetector::tick`] returns what is to be sent.

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

/// Interval between two heartbeats, unless the settings give another.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How many consecutive heartbeats must be missing before a member is suspected.
pub const MISSED_HEARTBEATS: u32 = 3;

/// Silence after which a member is suspected, unless the settings give another interval.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(750);

/// The longest gap between two ticks after which missing heartbeats still count. After a longer gap, this daemon itself
/// was delayed and may not have processed heartbeats that arrived.
const MAX_TICK_DELAY: Duration = Duration::from_millis(400);

/// A member on the leader's list, and its last heartbeat.
struct HeartbeatRecord {
    host: Host,
    ring_position: u64,
    last_heard_at: Option<MonotonicTime>,
}

impl HeartbeatRecord {
    fn incarnation(&self) -> MemberIncarnation {
        MemberIncarnation {
            member: self.host.member.clone(),
            incarnation: self.host.incarnation,
        }
    }
}

/// One daemon's view of which members are alive.
pub struct FailureDetector {
    own_host: Host,
    /// The members on the leader's list.
    records: BTreeMap<MemberName, HeartbeatRecord>,
    /// The leader's sequence number of that list.
    list_number: u64,
    /// The members that the leader suspects.
    suspected: BTreeSet<MemberIncarnation>,
    /// The members that this daemon watches, and since when each has been silent.
    watched: BTreeMap<MemberIncarnation, MonotonicTime>,
    /// The watched members that this daemon suspects.
    locally_suspected: BTreeSet<MemberIncarnation>,
    /// The members that other daemons suspect.
    peer_suspicions: PeerSuspicions,
    /// The addresses to which this daemon's heartbeats are sent.
    watcher_addresses: Vec<SocketAddress>,
    /// The addresses of daemons that suspect this one, to which the next heartbeat is also sent as a refutation.
    refutation_targets: BTreeSet<SocketAddress>,
    heartbeat_interval: Duration,
    next_heartbeat_at: MonotonicTime,
    heartbeat_count: u64,
    last_tick_at: Option<MonotonicTime>,
    ignored_count: u64,
    outputs: Vec<FailureDetectorOutput>,
}

impl FailureDetector {
    /// Creates a detector without a host list.
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

    /// Sets the heartbeat interval; the failure time-out changes in proportion.
    pub fn with_heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Returns when [`FailureDetector::tick`] is due next: for a heartbeat, or for a watched member's time-out.
    pub fn next_due(&self) -> MonotonicTime {
        let failure_timeout = self.failure_timeout();
        let unsuspected = self
            .watched
            .iter()
            .filter(|(incarnation, _)| !self.locally_suspected.contains(incarnation));
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

    fn is_listed(&self, member_incarnation: &MemberIncarnation) -> bool {
        let record = self.records.get(&member_incarnation.member);
        record.is_some_and(|record| record.host.incarnation == member_incarnation.incarnation)
    }

    /// Replaces the host list with the leader's complete one, its number and the members that the leader suspects.
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
        self.put_hosts(hosts);
        self.list_number = number;
        self.set_suspected(now, suspected);
    }

    /// Applies a delta to the host list. Returns false, without any change, if it does not directly follow the known
    /// list.
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
        self.put_hosts(put);
        self.list_number = number;
        self.set_suspected(now, suspected);
        true
    }

    fn put_hosts(&mut self, hosts: Vec<Host>) {
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

    /// Determines which members this daemon watches and which watch it. Only the leader's list is used, so that both
    /// sides agree.
    fn update_neighbours(&mut self, now: MonotonicTime) {
        let suspected = &self.suspected;
        let on_ring: Vec<(u64, &Host)> = self
            .records
            .values()
            .filter(|record| !suspected.contains(&record.incarnation()))
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
                let incarnation = record.incarnation();
                let since = earlier_watched_since.remove(&incarnation).unwrap_or(now);
                self.watched.insert(incarnation, since);
            }
        }
        let watched = &self.watched;
        self.locally_suspected
            .retain(|incarnation| watched.contains_key(incarnation));
    }

    /// Handles a heartbeat. Returns false, and ignores it, if its sender is not another listed member.
    pub fn handle_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) -> bool {
        let incarnation = MemberIncarnation {
            member: heartbeat.member.clone(),
            incarnation: heartbeat.incarnation,
        };
        if !self.is_listed(&incarnation) || incarnation.member == self.own_host.member {
            self.ignored_count += 1;
            return false;
        }
        let Some(record) = self.records.get_mut(&incarnation.member) else {
            return false;
        };
        record.last_heard_at = Some(now);
        let sender_address = record.host.address;
        if let Some(since) = self.watched.get_mut(&incarnation) {
            *since = now;
        }
        self.peer_suspicions.forget(&incarnation);
        if self.locally_suspected.remove(&incarnation) || self.suspected.contains(&incarnation) {
            self.outputs
                .push(FailureDetectorOutput::MemberRecovered(incarnation));
        }
        self.handle_suspicions(now, sender_address, &heartbeat.suspicions.0);
        true
    }

    /// Records the suspicions in a heartbeat. A suspicion of this incarnation of this daemon is refuted at once by a
    /// heartbeat to the sender.
    fn handle_suspicions(
        &mut self,
        now: MonotonicTime,
        sender_address: SocketAddress,
        suspicions: &[Suspicion],
    ) {
        let own_incarnation = self.own_incarnation();
        for suspicion in suspicions {
            if suspicion.suspect == own_incarnation {
                self.refutation_targets.insert(sender_address);
                self.next_heartbeat_at = now;
            } else if self.is_listed(&suspicion.suspect) {
                self.peer_suspicions.record(now, suspicion);
            }
        }
    }

    /// Returns the watched members that this daemon itself suspects, to be reported to a newly connected leader.
    pub fn locally_suspected(&self) -> Vec<MemberIncarnation> {
        self.locally_suspected.iter().cloned().collect()
    }

    /// Checks the watched members for time-outs, and performs all actions that are due.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<FailureDetectorOutput> {
        let failure_timeout = self.failure_timeout();
        self.restart_timeouts_after_delay(now);
        self.suspect_silent(now, failure_timeout);
        self.peer_suspicions.expire(now, failure_timeout);
        if now >= self.next_heartbeat_at {
            self.send_heartbeat(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Restarts the time-outs of all watched members if this daemon itself was delayed.
    fn restart_timeouts_after_delay(&mut self, now: MonotonicTime) {
        let was_delayed = self.last_tick_at.is_some_and(|last_tick_at| {
            now.since(last_tick_at) > MAX_TICK_DELAY.max(self.heartbeat_interval * 2)
        });
        self.last_tick_at = Some(now);
        if was_delayed {
            self.watched.values_mut().for_each(|since| *since = now);
        }
    }

    fn suspect_silent(&mut self, now: MonotonicTime, failure_timeout: Duration) {
        let newly_suspected: Vec<MemberIncarnation> = self
            .watched
            .iter()
            .filter(|(incarnation, since)| {
                now.since(**since) >= failure_timeout
                    && !self.locally_suspected.contains(incarnation)
            })
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        for incarnation in newly_suspected {
            self.locally_suspected.insert(incarnation.clone());
            self.next_heartbeat_at = now;
            self.outputs
                .push(FailureDetectorOutput::MemberSuspected(incarnation));
        }
    }

    fn send_heartbeat(&mut self, now: MonotonicTime) {
        self.next_heartbeat_at = now + self.heartbeat_interval;
        self.heartbeat_count += 1;
        let own_suspicions = self.locally_suspected.iter().map(|incarnation| Suspicion {
            suspect: incarnation.clone(),
            remaining_relays: MAX_RELAYS,
        });
        let suspicions: Vec<Suspicion> = own_suspicions
            .chain(
                self.peer_suspicions
                    .relayable()
                    .filter(|suspicion| !self.locally_suspected.contains(&suspicion.suspect)),
            )
            .take(MAX_SUSPICIONS)
            .collect();
        let heartbeat = Heartbeat {
            member: self.own_host.member.clone(),
            incarnation: self.own_host.incarnation,
            sequence_number: self.heartbeat_count,
            suspicions: LengthPrefixed(suspicions),
        };
        let mut target_addresses = std::mem::take(&mut self.refutation_targets);
        target_addresses.extend(self.watcher_addresses.iter().copied());
        self.outputs.push(FailureDetectorOutput::HeartbeatDatagram(
            heartbeat,
            target_addresses.into_iter().collect(),
        ));
    }

    /// Returns the members on the leader's list that are considered alive: this daemon, the members that nobody
    /// suspects, and those whose heartbeats arrive here, even if others suspect them.
    pub fn alive(&self, now: MonotonicTime) -> Vec<Host> {
        let failure_timeout = self.failure_timeout();
        let is_alive = |record: &&HeartbeatRecord| {
            let is_recently_heard = record
                .last_heard_at
                .is_some_and(|at| now.since(at) < failure_timeout);
            let is_self = record.host.member == self.own_host.member;
            let incarnation = record.incarnation();
            let is_suspected = self.suspected.contains(&incarnation)
                || self.locally_suspected.contains(&incarnation)
                || self.peer_suspicions.contains(&incarnation);
            is_self || is_recently_heard || !is_suspected
        };
        self.records
            .values()
            .filter(is_alive)
            .map(|record| record.host.clone())
            .collect()
    }

    /// Returns the number of heartbeats ignored since the start because their senders were not listed.
    pub fn ignored_count(&self) -> u64 {
        self.ignored_count
    }
}
