//! Which members are considered alive, by heartbeats, by suspicions that reach every daemon, and by refutations.

use common::clock::MonotonicTime;
use common::frames::{
    Flag, Heartbeat, Host, LengthPrefixed, MemberIncarnation, SocketAddress, Suspicion,
    encode_heartbeat,
};
use common::rng::SeededRng;
use dataplane::failure_detector::{
    FAILURE_TIMEOUT, FailureDetector, FailureDetectorOutput, MAX_RELAYS,
};
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(number: usize) -> SocketAddress {
    SocketAddress(std::net::SocketAddrV4::new(
        [10, 0, 0, 1].into(),
        7000 + number as u16,
    ))
}

fn host(number: usize, incarnation: u64) -> Host {
    Host {
        member: format!("th-{number}").into(),
        incarnation: incarnation.into(),
        zone: format!("locality-{}", number % 3).into(),
        address: address(number),
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn incarnation_of(number: usize, incarnation: u64) -> MemberIncarnation {
    MemberIncarnation {
        member: format!("th-{number}").into(),
        incarnation: incarnation.into(),
    }
}

fn heartbeat(number: usize, incarnation: u64, suspicions: Vec<Suspicion>) -> Heartbeat {
    let MemberIncarnation {
        member,
        incarnation,
    } = incarnation_of(number, incarnation);
    Heartbeat {
        member,
        incarnation,
        sequence_number: 1,
        suspicions: LengthPrefixed(suspicions),
    }
}

fn alive_members(failure_detector: &FailureDetector, now: MonotonicTime) -> Vec<String> {
    failure_detector
        .alive(now)
        .iter()
        .map(|host| host.member.to_string())
        .collect()
}

/// A fleet of failure detectors under virtual time, with a leader that accepts every report.
struct Fleet {
    detectors: Vec<Option<FailureDetector>>,
    hosts: Vec<Host>,
    reported_suspected: BTreeSet<MemberIncarnation>,
    number: u64,
    now: MonotonicTime,
    loss: f64,
    rng: SeededRng,
    suspicion_reports: u32,
    sent_bytes: BTreeMap<usize, usize>,
    has_leader: bool,
}

impl Fleet {
    fn new(count: usize, seed: u64, loss: f64) -> Self {
        let hosts: Vec<Host> = (0..count).map(|number| host(number, 1)).collect();
        let detectors = hosts
            .iter()
            .map(|host| Some(FailureDetector::new(host.clone())))
            .collect();
        let mut fleet = Self {
            detectors,
            hosts,
            reported_suspected: BTreeSet::new(),
            number: 0,
            now: START,
            loss,
            rng: SeededRng::seeded(seed),
            suspicion_reports: 0,
            sent_bytes: BTreeMap::new(),
            has_leader: true,
        };
        fleet.number = 1;
        let hosts = fleet.hosts.clone();
        for failure_detector in fleet.detectors.iter_mut().flatten() {
            failure_detector.set_host_list(START, 1, hosts.clone(), Vec::new());
        }
        fleet
    }

    fn publish_list(&mut self) {
        self.number += 1;
        let suspected: Vec<MemberIncarnation> = self.reported_suspected.iter().cloned().collect();
        for failure_detector in self.detectors.iter_mut().flatten() {
            failure_detector.update_host_list(
                self.now,
                self.number,
                Vec::new(),
                Vec::new(),
                suspected.clone(),
            );
        }
    }

    fn step(&mut self) {
        self.now = self.now + ms(10);
        let reported_before = self.reported_suspected.clone();
        for number in 0..self.detectors.len() {
            let outputs = self.detectors[number]
                .as_mut()
                .map(|failure_detector| failure_detector.tick(self.now))
                .unwrap_or_default();
            for output in outputs {
                match output {
                    FailureDetectorOutput::MemberSuspected(incarnation) => {
                        self.suspicion_reports += 1;
                        self.reported_suspected.insert(incarnation);
                    }
                    FailureDetectorOutput::MemberRecovered(incarnation) => {
                        self.reported_suspected.remove(&incarnation);
                    }
                    FailureDetectorOutput::HeartbeatDatagram(heartbeat, addresses) => {
                        self.deliver(number, &heartbeat, &addresses)
                    }
                }
            }
        }
        if self.has_leader && self.reported_suspected != reported_before {
            self.publish_list();
        }
    }

    fn deliver(&mut self, from: usize, heartbeat: &Heartbeat, addresses: &[SocketAddress]) {
        let bytes = encode_heartbeat(heartbeat).expect("bytes").len();
        *self.sent_bytes.entry(from).or_default() += bytes * addresses.len();
        for to in addresses {
            let number = usize::from(to.0.port()) - 7000;
            let is_lost = self.rng.random_bool(self.loss);
            if let Some(failure_detector) = self.detectors[number].as_mut().filter(|_| !is_lost) {
                failure_detector.handle_heartbeat(self.now, heartbeat);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn count_believing_alive(&self, number: usize) -> usize {
        let member = &self.hosts[number].member;
        let believes_alive = |failure_detector: &&FailureDetector| {
            failure_detector
                .alive(self.now)
                .iter()
                .any(|host| host.member == *member)
        };
        self.detectors
            .iter()
            .flatten()
            .filter(believes_alive)
            .count()
    }
}

#[gtest]
fn heartbeat_bytes_of_a_healthy_fleet_do_not_grow_with_its_size() -> Result<()> {
    let max_bytes = |count: usize| {
        let mut fleet = Fleet::new(count, 1, 0.0);
        fleet.run(ms(10_000));
        verify_that!(fleet.suspicion_reports, eq(0)).expect("no suspicions in a healthy fleet");
        fleet.sent_bytes.values().copied().max().unwrap_or_default()
    };
    let (small_fleet_bytes, large_fleet_bytes) = (max_bytes(10), max_bytes(100));
    verify_that!(large_fleet_bytes, le(small_fleet_bytes + 200))?;
    verify_that!(small_fleet_bytes / 10, le(600))
}

#[gtest]
fn a_dead_daemon_is_soon_suspected_by_all_and_a_live_one_only_briefly() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = Fleet::new(10, seed, 0.25);
        fleet.run(ms(3000));
        fleet.detectors[4] = None;
        fleet.run(FAILURE_TIMEOUT + ms(200));
        verify_that!((seed, fleet.count_believing_alive(4)), eq((seed, 0)))?;
        fleet.loss = 0.0;
        fleet.run(FAILURE_TIMEOUT * 3);
        for number in (0..10).filter(|number| *number != 4) {
            verify_that!(
                (seed, number, fleet.count_believing_alive(number)),
                eq((seed, number, 9))
            )?;
        }
        verify_that!((seed, fleet.count_believing_alive(4)), eq((seed, 0)))?;
    }
    Ok(())
}

#[gtest]
fn without_a_leader_neighbours_still_detect_a_dead_daemon() -> Result<()> {
    let mut fleet = Fleet::new(10, 3, 0.0);
    fleet.run(ms(1000));
    fleet.has_leader = false;
    fleet.detectors[4] = None;
    fleet.run(FAILURE_TIMEOUT + ms(50));
    verify_that!(fleet.count_believing_alive(4), le(4))
}

#[gtest]
fn heartbeats_of_unlisted_members_and_earlier_incarnations_are_ignored() -> Result<()> {
    let mut failure_detector = FailureDetector::new(host(1, 1));
    failure_detector.set_host_list(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    failure_detector.tick(START);
    let late = START + FAILURE_TIMEOUT;
    for now in [START + ms(300), START + ms(600), late] {
        failure_detector.tick(now);
    }
    verify_that!(
        failure_detector.handle_heartbeat(late, &heartbeat(9, 1, vec![])),
        eq(false)
    )?;
    verify_that!(
        failure_detector.handle_heartbeat(late, &heartbeat(2, 4, vec![])),
        eq(false)
    )?;
    verify_that!(
        alive_members(&failure_detector, late),
        elements_are![eq("th-1")]
    )?;
    verify_that!(failure_detector.ignored_count(), eq(2))?;
    verify_that!(
        failure_detector.handle_heartbeat(late, &heartbeat(2, 5, vec![])),
        eq(true)
    )?;
    verify_that!(
        failure_detector.tick(late),
        contains(eq(&FailureDetectorOutput::MemberRecovered(incarnation_of(
            2, 5
        ))))
    )?;
    verify_that!(alive_members(&failure_detector, late).len(), eq(2))
}

#[gtest]
fn a_suspected_daemon_refutes_the_suspicion_at_once() -> Result<()> {
    let mut failure_detector = FailureDetector::new(host(1, 1));
    failure_detector.set_host_list(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    failure_detector.tick(START);
    let suspicion = Suspicion {
        suspect: incarnation_of(1, 1),
        remaining_relays: MAX_RELAYS,
    };
    failure_detector.handle_heartbeat(START + ms(20), &heartbeat(2, 5, vec![suspicion]));
    verify_that!(failure_detector.next_due(), le(START + ms(20)))?;
    let outputs = failure_detector.tick(START + ms(20));
    let is_refutation_to_peer = |output: &FailureDetectorOutput| matches!(output, FailureDetectorOutput::HeartbeatDatagram(_, addresses) if addresses.contains(&address(2)));
    verify_that!(outputs.iter().any(is_refutation_to_peer), eq(true))?;
    failure_detector.update_host_list(
        START + ms(40),
        2,
        Vec::new(),
        Vec::new(),
        vec![incarnation_of(1, 1)],
    );
    verify_that!(
        failure_detector.tick(START + ms(40)),
        contains(eq(&FailureDetectorOutput::MemberRecovered(incarnation_of(
            1, 1
        ))))
    )
}

#[gtest]
fn a_peer_suspicion_expires_when_nobody_repeats_it() -> Result<()> {
    let hosts: Vec<Host> = (0..10).map(|number| host(number, 1)).collect();
    let mut failure_detector = FailureDetector::new(host(0, 1));
    failure_detector.set_host_list(START, 1, hosts, Vec::new());
    failure_detector.tick(START);
    let suspicion = Suspicion {
        suspect: incarnation_of(5, 1),
        remaining_relays: 1,
    };
    failure_detector.handle_heartbeat(START, &heartbeat(2, 1, vec![suspicion]));
    verify_that!(alive_members(&failure_detector, START).len(), eq(9))?;
    let is_forwarded = failure_detector.tick(START + ms(250)).into_iter().any(
        |output| matches!(output, FailureDetectorOutput::HeartbeatDatagram(heartbeat, _) if !heartbeat.suspicions.0.is_empty()),
    );
    verify_that!(is_forwarded, eq(false))?;
    for step in 2..=3 {
        failure_detector.tick(START + ms(250) * step);
    }
    verify_that!(
        alive_members(&failure_detector, START + FAILURE_TIMEOUT).contains(&"th-5".to_owned()),
        eq(true)
    )
}

#[gtest]
fn a_watcher_that_was_delayed_itself_suspects_nobody() -> Result<()> {
    let mut failure_detector = FailureDetector::new(host(1, 1));
    failure_detector.set_host_list(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    failure_detector.tick(START);
    let resumed_at = START + FAILURE_TIMEOUT * 4;
    let is_suspicion = |output: &FailureDetectorOutput| {
        matches!(output, FailureDetectorOutput::MemberSuspected(_))
    };
    verify_that!(
        failure_detector.tick(resumed_at).iter().any(is_suspicion),
        eq(false)
    )?;
    verify_that!(alive_members(&failure_detector, resumed_at).len(), eq(2))
}

#[gtest]
fn a_host_list_change_out_of_sequence_is_not_applied() -> Result<()> {
    let mut failure_detector = FailureDetector::new(host(1, 1));
    failure_detector.set_host_list(START, 3, vec![host(1, 1)], Vec::new());
    let mut change = |number: u64| {
        failure_detector.update_host_list(START, number, vec![host(2, 1)], Vec::new(), Vec::new())
    };
    verify_that!((change(5), change(3), change(4)), eq((false, false, true)))?;
    verify_that!(failure_detector.alive(START).len(), eq(2))
}
