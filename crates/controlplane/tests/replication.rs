//! How a version travels from the leader: as the change from the one before, and whole to whoever lacks that.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{CoreBody, CoreFrame, Flag, Many, Place, encode};
use common::identity::{ChangeId, ControllerId, Stamp, Term, Ticket, Zone};
use common::rules::{Rule, Rules};
use common::spec::{CoreMember, Document, read_spec};
use controlplane::core::{Address, Core, CoreOutput, CoreTiming, Recalled, WriteJob, WriteResult};
use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;

const START: Moment = Moment(1_000_000_000);
const LEADER: u64 = 1;
const FOLLOWER: u64 = 2;

fn place(number: u64) -> Place {
    Place(format!("10.0.0.{number}:1").parse().expect("an address"))
}

fn zone(number: u64) -> Zone {
    Zone::from(format!("zone-{number}"))
}

/// A founding version with so many functions.
fn founded(function_count: u64) -> Document {
    let members = (1..4).map(|number| CoreMember {
        id: ControllerId(number),
        place: place(number),
        zone: zone(number),
    });
    let mut spec = json!({"functions": {}, "routes": {}});
    for number in 0..function_count {
        spec["functions"][format!("f{number}")] =
            json!({"memory_mb": 100, "boot_ms": 10, "slots": 2, "connections": 1 + number});
    }
    let checked_spec = read_spec(&spec).expect("a good spec");
    Document::founding(members.collect()).with_spec(spec, &checked_spec, ChangeId::from("first"))
}

fn controller(number: u64, held: Document, rules: Rules) -> Core {
    let mut disk = Recalled::nothing(ControllerId(number));
    disk.accepted = Some(held);
    let address = Address { place: place(number), operators: place(number) };
    let timing = CoreTiming::builder().build();
    let seeds = (1..4).map(place).collect();
    let chance = Chance::seeded(number);
    Core::new(START, timing, disk, address, zone(number), seeds, chance).with_rules(rules)
}

fn frame(from: u64, body: CoreBody) -> CoreFrame {
    CoreFrame {
        from: ControllerId(from),
        place: place(from),
        operators: place(from),
        zone: zone(from),
        body,
    }
}

fn sent_to(number: u64, outputs: &[CoreOutput]) -> Vec<CoreBody> {
    outputs
        .iter()
        .filter_map(|output| match output {
            CoreOutput::Send { to, frame } if *to == place(number) => Some(frame.body.clone()),
            _ => None,
        })
        .collect()
}

fn versions_sent(number: u64, outputs: &[CoreOutput]) -> Vec<CoreBody> {
    let is_version =
        |body: &CoreBody| matches!(body, CoreBody::Accept { .. } | CoreBody::AcceptChange { .. });
    sent_to(number, outputs).into_iter().filter(is_version).collect()
}

fn writes(outputs: &[CoreOutput]) -> Vec<(Ticket, WriteJob)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            CoreOutput::Write { ticket, job } => Some((*ticket, job.clone())),
            _ => None,
        })
        .collect()
}

fn agreement(asked: &CoreBody) -> Option<CoreBody> {
    match asked {
        CoreBody::VoteAsk { term, trial, .. } => Some(CoreBody::VoteReply {
            term: if trial.0 { Term(term.0 - 1) } else { *term },
            asked: *term,
            trial: *trial,
            given: Flag(true),
            members: Many(Vec::new()),
            whole: Flag(true),
        }),
        CoreBody::Accept { term, stamp, .. } | CoreBody::AcceptChange { term, stamp, .. } => {
            Some(CoreBody::Accepted { term: *term, stamp: *stamp })
        }
        _ => None,
    }
}

/// A leader whose disk is quick and whose follower agrees to everything, until it has nothing to say.
fn settle(leader: &mut Core, now: Moment, mut waiting: Vec<CoreOutput>) -> Vec<CoreOutput> {
    let mut seen = Vec::new();
    while !waiting.is_empty() {
        let mut next = Vec::new();
        for output in &waiting {
            match output {
                CoreOutput::Send { to, frame: asked } if *to == place(FOLLOWER) => {
                    if let Some(body) = agreement(&asked.body) {
                        next.extend(leader.heard(now, frame(FOLLOWER, body)));
                    }
                }
                CoreOutput::Write { ticket, .. } => {
                    next.extend(leader.written(now, *ticket, WriteResult::Synced));
                }
                _ => {}
            }
        }
        seen.extend(waiting);
        waiting = next;
    }
    seen
}

fn leader(held: Document) -> (Core, Moment) {
    let mut leader = controller(LEADER, held, Rules::KEPT);
    let now = START + Duration::from_secs(5);
    let first = leader.tick(now);
    settle(&mut leader, now, first);
    assert!(leader.is_ready());
    (leader, now)
}

/// What the leader sends when it puts a next version forward, not yet answered.
fn proposed(leader: &mut Core, now: Moment, name: &str) -> Vec<CoreOutput> {
    let held = leader.accepted().expect("a version");
    let next = held.with_zone("zone-9".into(), name.len().is_multiple_of(2), ChangeId::from(name));
    leader.propose(now, next).expect("put forward")
}

fn accepted_stamp(core: &Core) -> Stamp {
    core.accepted().expect("a version").stamp
}

#[gtest]
fn a_version_travels_as_its_change_to_whoever_holds_the_one_before() -> Result<()> {
    let (mut leader, now) = leader(founded(1_000));
    let outputs = proposed(&mut leader, now, "b");
    let versions = versions_sent(FOLLOWER, &outputs);
    verify_that!(versions.len(), eq(1))?;
    verify_that!(matches!(versions[0], CoreBody::AcceptChange { .. }), eq(true))?;
    let length = encode(&frame(LEADER, versions[0].clone()))?.len();
    println!("a change in a frame of {length} bytes");
    verify_that!(length, lt(2_000))
}

/// A follower that holds the leader's version, and the two next versions as they are sent to it.
fn two_changes(rules: Rules) -> (Core, Vec<CoreBody>, Moment, Core) {
    let (mut leader, now) = leader(founded(20));
    let held = leader.accepted().expect("a version").clone();
    let follower = controller(FOLLOWER, held, rules);
    let mut changes = Vec::new();
    for name in ["bb", "c"] {
        let outputs = proposed(&mut leader, now, name);
        changes.extend(versions_sent(FOLLOWER, &outputs));
        settle(&mut leader, now, outputs);
    }
    (follower, changes, now, leader)
}

#[gtest]
fn a_change_is_applied_to_a_version_that_is_still_on_its_way_to_the_disk() -> Result<()> {
    let (mut follower, changes, now, leader) = two_changes(Rules::KEPT);
    let mut waiting = Vec::new();
    for change in changes {
        let outputs = follower.heard(now, frame(LEADER, change));
        verify_that!(
            sent_to(LEADER, &outputs).iter().any(|body| matches!(body, CoreBody::Accepted { .. })),
            eq(false)
        )?;
        waiting.extend(writes(&outputs));
    }
    verify_that!(waiting.len(), eq(2))?;
    for (ticket, _) in waiting {
        follower.written(now, ticket, WriteResult::Synced);
    }
    verify_that!(follower.accepted() == leader.accepted(), eq(true))
}

#[gtest]
fn whoever_lacks_the_base_asks_for_the_whole_and_gets_it() -> Result<()> {
    let (mut follower, changes, now, mut leader) = two_changes(Rules::KEPT);
    let before = accepted_stamp(&follower);
    let outputs = follower.heard(now, frame(LEADER, changes[1].clone()));
    verify_that!(writes(&outputs).is_empty(), eq(true))?;
    verify_that!(accepted_stamp(&follower), eq(before))?;
    let asked = sent_to(LEADER, &outputs);
    verify_that!(matches!(asked.as_slice(), [CoreBody::AskWhole { .. }]), eq(true))?;
    let answered = leader.heard(now, frame(FOLLOWER, asked[0].clone()));
    let versions = versions_sent(FOLLOWER, &answered);
    verify_that!(matches!(versions.as_slice(), [CoreBody::Accept { .. }]), eq(true))?;
    let outputs = follower.heard(now, frame(LEADER, versions[0].clone()));
    for (ticket, _) in writes(&outputs) {
        follower.written(now, ticket, WriteResult::Synced);
    }
    verify_that!(follower.accepted() == leader.accepted(), eq(true))
}

/// What a follower makes of a change that leads from a version it does not hold.
fn written_without_base(rules: Rules) -> usize {
    let (mut follower, changes, now, leader) = two_changes(rules);
    let outputs = follower.heard(now, frame(LEADER, changes[1].clone()));
    let is_wrong = |job: &WriteJob| {
        matches!(job, WriteJob::Version(document)
            if document.stamp == accepted_stamp(&leader) && Some(document) != leader.accepted())
    };
    writes(&outputs).iter().filter(|(_, job)| is_wrong(job)).count()
}

#[gtest]
fn a_change_is_never_applied_to_another_version() -> Result<()> {
    verify_that!(written_without_base(Rules::KEPT), eq(0))?;
    verify_that!(written_without_base(Rules::without(Rule::ChangeOnItsBase)), eq(1))
}

#[gtest]
fn a_whole_asked_for_in_another_term_is_not_sent() -> Result<()> {
    let (mut leader, now) = leader(founded(5));
    let accepted = Stamp::default();
    let earlier = CoreBody::AskWhole { term: Term(1), accepted };
    verify_that!(leader.heard(now, frame(FOLLOWER, earlier)).is_empty(), eq(true))?;
    let later = CoreBody::AskWhole { term: Term(99), accepted };
    let outputs = leader.heard(now, frame(FOLLOWER, later));
    verify_that!(versions_sent(FOLLOWER, &outputs).is_empty(), eq(true))?;
    verify_that!(leader.is_leader(), eq(false))
}
