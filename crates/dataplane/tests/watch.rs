//! Who is alive: heartbeats that name nobody, suspicions that reach all, refutations that end them.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{Flag, Heartbeat, Host, Many, MemberLife, Place, Suspicion, encode_heartbeat};
use dataplane::watch::{GONE_AFTER, TELLINGS, Watch, WatchOutput};
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const START: Moment = Moment(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn place(number: usize) -> Place {
    Place(std::net::SocketAddrV4::new([10, 0, 0, 1].into(), 7000 + number as u16))
}

fn host(number: usize, incarnation: u64) -> Host {
    Host {
        member: format!("th-{number}").into(),
        incarnation: incarnation.into(),
        zone: format!("locality-{}", number % 3).into(),
        place: place(number),
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn life(number: usize, incarnation: u64) -> MemberLife {
    MemberLife { member: format!("th-{number}").into(), incarnation: incarnation.into() }
}

fn beat(number: usize, incarnation: u64, suspicions: Vec<Suspicion>) -> Heartbeat {
    let MemberLife { member, incarnation } = life(number, incarnation);
    Heartbeat { member, incarnation, count: 1, suspicions: Many(suspicions) }
}

fn alive_names(watch: &Watch, now: Moment) -> Vec<String> {
    watch.alive(now).iter().map(|host| host.member.to_string()).collect()
}

/// A fleet of watches under virtual time, with a leader that believes every word it is told.
struct Fleet {
    watches: Vec<Option<Watch>>,
    hosts: Vec<Host>,
    missed: BTreeSet<MemberLife>,
    number: u64,
    now: Moment,
    loss: f64,
    chance: Chance,
    told_silent: u32,
    sent_bytes: BTreeMap<usize, usize>,
    led: bool,
}

impl Fleet {
    fn new(count: usize, seed: u64, loss: f64) -> Self {
        let hosts: Vec<Host> = (0..count).map(|number| host(number, 1)).collect();
        let watches = hosts.iter().map(|host| Some(Watch::new(host.clone()))).collect();
        let mut fleet = Self {
            watches,
            hosts,
            missed: BTreeSet::new(),
            number: 0,
            now: START,
            loss,
            chance: Chance::seeded(seed),
            told_silent: 0,
            sent_bytes: BTreeMap::new(),
            led: true,
        };
        fleet.number = 1;
        let hosts = fleet.hosts.clone();
        for watch in fleet.watches.iter_mut().flatten() {
            watch.listed(START, 1, hosts.clone(), Vec::new());
        }
        fleet
    }

    fn push(&mut self) {
        self.number += 1;
        let silent: Vec<MemberLife> = self.missed.iter().cloned().collect();
        for watch in self.watches.iter_mut().flatten() {
            watch.list_changed(self.now, self.number, Vec::new(), Vec::new(), silent.clone());
        }
    }

    fn turn(&mut self) {
        self.now = self.now + ms(10);
        let missed_before = self.missed.clone();
        for number in 0..self.watches.len() {
            let outputs =
                self.watches[number].as_mut().map(|watch| watch.tick(self.now)).unwrap_or_default();
            for output in outputs {
                match output {
                    WatchOutput::Silent(life) => {
                        self.told_silent += 1;
                        self.missed.insert(life);
                    }
                    WatchOutput::Heard(life) => {
                        self.missed.remove(&life);
                    }
                    WatchOutput::Beat(heartbeat, places) => {
                        self.deliver(number, &heartbeat, &places)
                    }
                }
            }
        }
        if self.led && self.missed != missed_before {
            self.push();
        }
    }

    fn deliver(&mut self, from: usize, heartbeat: &Heartbeat, places: &[Place]) {
        let bytes = encode_heartbeat(heartbeat).expect("bytes").len();
        *self.sent_bytes.entry(from).or_default() += bytes * places.len();
        for to in places {
            let number = usize::from(to.0.port()) - 7000;
            let is_lost = self.chance.happens(self.loss);
            if let Some(watch) = self.watches[number].as_mut().filter(|_| !is_lost) {
                watch.heard(self.now, heartbeat);
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.turn();
        }
    }

    fn believers(&self, number: usize) -> usize {
        let member = &self.hosts[number].member;
        let knows =
            |watch: &&Watch| watch.alive(self.now).iter().any(|host| host.member == *member);
        self.watches.iter().flatten().filter(knows).count()
    }
}

#[gtest]
fn the_bytes_of_a_calm_fleet_do_not_grow_with_it() -> Result<()> {
    let most_bytes = |count: usize| {
        let mut fleet = Fleet::new(count, 1, 0.0);
        fleet.run(ms(10_000));
        verify_that!(fleet.told_silent, eq(0)).expect("a calm fleet");
        fleet.sent_bytes.values().copied().max().unwrap_or_default()
    };
    let (few, many) = (most_bytes(10), most_bytes(100));
    verify_that!(many, le(few + 200))?;
    verify_that!(few / 10, le(600))
}

#[gtest]
fn a_dead_daemon_is_soon_missed_by_all_and_a_live_one_never_for_long() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = Fleet::new(10, seed, 0.25);
        fleet.run(ms(3000));
        fleet.watches[4] = None;
        fleet.run(GONE_AFTER + ms(200));
        verify_that!((seed, fleet.believers(4)), eq((seed, 0)))?;
        fleet.loss = 0.0;
        fleet.run(GONE_AFTER * 3);
        for number in (0..10).filter(|number| *number != 4) {
            verify_that!((seed, number, fleet.believers(number)), eq((seed, number, 9)))?;
        }
        verify_that!((seed, fleet.believers(4)), eq((seed, 0)))?;
    }
    Ok(())
}

#[gtest]
fn without_a_leader_the_neighbours_still_learn_who_is_gone() -> Result<()> {
    let mut fleet = Fleet::new(10, 3, 0.0);
    fleet.run(ms(1000));
    fleet.led = false;
    fleet.watches[4] = None;
    fleet.run(GONE_AFTER + ms(50));
    verify_that!(fleet.believers(4), le(4))
}

#[gtest]
fn strangers_and_earlier_lives_change_nothing() -> Result<()> {
    let mut watch = Watch::new(host(1, 1));
    watch.listed(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    watch.tick(START);
    let late = START + GONE_AFTER;
    for now in [START + ms(300), START + ms(600), late] {
        watch.tick(now);
    }
    verify_that!(watch.heard(late, &beat(9, 1, vec![])), eq(false))?;
    verify_that!(watch.heard(late, &beat(2, 4, vec![])), eq(false))?;
    verify_that!(alive_names(&watch, late), elements_are![eq("th-1")])?;
    verify_that!(watch.ignored_count(), eq(2))?;
    verify_that!(watch.heard(late, &beat(2, 5, vec![])), eq(true))?;
    verify_that!(watch.tick(late), contains(eq(&WatchOutput::Heard(life(2, 5)))))?;
    verify_that!(alive_names(&watch, late).len(), eq(2))
}

#[gtest]
fn one_who_is_missed_says_at_once_that_it_is_there() -> Result<()> {
    let mut watch = Watch::new(host(1, 1));
    watch.listed(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    watch.tick(START);
    let suspicion = Suspicion { life: life(1, 1), tellings: TELLINGS };
    watch.heard(START + ms(20), &beat(2, 5, vec![suspicion]));
    verify_that!(watch.next_due(), le(START + ms(20)))?;
    let outputs = watch.tick(START + ms(20));
    let is_beat_to_it = |output: &WatchOutput| matches!(output, WatchOutput::Beat(_, places) if places.contains(&place(2)));
    verify_that!(outputs.iter().any(is_beat_to_it), eq(true))?;
    watch.list_changed(START + ms(40), 2, Vec::new(), Vec::new(), vec![life(1, 1)]);
    verify_that!(watch.tick(START + ms(40)), contains(eq(&WatchOutput::Heard(life(1, 1)))))
}

#[gtest]
fn a_rumour_ends_when_nobody_repeats_it() -> Result<()> {
    let hosts: Vec<Host> = (0..10).map(|number| host(number, 1)).collect();
    let mut watch = Watch::new(host(0, 1));
    watch.listed(START, 1, hosts, Vec::new());
    watch.tick(START);
    let suspicion = Suspicion { life: life(5, 1), tellings: 1 };
    watch.heard(START, &beat(2, 1, vec![suspicion]));
    verify_that!(alive_names(&watch, START).len(), eq(9))?;
    let passed_on = watch.tick(START + ms(250)).into_iter().any(
        |output| matches!(output, WatchOutput::Beat(heartbeat, _) if !heartbeat.suspicions.0.is_empty()),
    );
    verify_that!(passed_on, eq(false))?;
    for step in 2..=3 {
        watch.tick(START + ms(250) * step);
    }
    verify_that!(alive_names(&watch, START + GONE_AFTER).contains(&"th-5".to_owned()), eq(true))
}

#[gtest]
fn a_watcher_that_was_late_itself_accuses_nobody() -> Result<()> {
    let mut watch = Watch::new(host(1, 1));
    watch.listed(START, 1, vec![host(1, 1), host(2, 5)], Vec::new());
    watch.tick(START);
    let thawed_at = START + GONE_AFTER * 4;
    let is_accusing = |output: &WatchOutput| matches!(output, WatchOutput::Silent(_));
    verify_that!(watch.tick(thawed_at).iter().any(is_accusing), eq(false))?;
    verify_that!(alive_names(&watch, thawed_at).len(), eq(2))
}

#[gtest]
fn a_change_of_the_list_that_does_not_follow_is_not_taken() -> Result<()> {
    let mut watch = Watch::new(host(1, 1));
    watch.listed(START, 3, vec![host(1, 1)], Vec::new());
    let mut change =
        |number: u64| watch.list_changed(START, number, vec![host(2, 1)], Vec::new(), Vec::new());
    verify_that!((change(5), change(3), change(4)), eq((false, false, true)))?;
    verify_that!(watch.alive(START).len(), eq(2))
}
