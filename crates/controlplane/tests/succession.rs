//! A core member is replaced only in a way that no two majorities can miss each other.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{CoreFrame, Place};
use common::identity::{ChangeId, ControllerId, Stamp, Ticket, Zone};
use common::rules::{Rule, Rules};
use common::spec::Document;
use controlplane::core::{
    Address, Core, CoreOutput, CoreTiming, MembershipFault, Recalled, WriteJob, WriteResult,
};
use googletest::prelude::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

struct Bench {
    now: Moment,
    cores: Vec<Core>,
    cuts: BTreeSet<(usize, usize)>,
    dead: BTreeSet<usize>,
    committed: Vec<(usize, Document)>,
    successions: Vec<bool>,
}

fn place(number: usize) -> Place {
    Place(format!("10.0.0.{}:1", number + 1).parse().expect("an address"))
}

fn core(id: u64, number: usize, zone: usize, now: Moment, rules: Rules) -> Core {
    let recalled = Recalled {
        id: ControllerId(id),
        voted: None,
        accepted: None,
        distrusted: Stamp::default(),
    };
    let timing = CoreTiming::builder().replace_after(Duration::from_secs(3)).build();
    let address = Address { place: place(number), operators: place(number) };
    let seeds = (0..3).map(place).collect();
    let zone = Zone::from(format!("l{zone}"));
    Core::new(now, timing, recalled, address, zone, seeds, Chance::seeded(number as u64))
        .with_rules(rules)
}

impl Bench {
    /// Three founders, and a fourth controller in the third one's zone.
    fn new() -> Self {
        Self::under(Rules::KEPT)
    }

    fn under(rules: Rules) -> Self {
        let now = Moment(1_000_000_000);
        let cores = (0..4)
            .map(|number| core(number as u64 + 1, number, number.min(2), now, rules))
            .collect();
        Self {
            now,
            cores,
            cuts: BTreeSet::new(),
            dead: BTreeSet::new(),
            committed: Vec::new(),
            successions: Vec::new(),
        }
    }

    fn separate(&mut self, left: &[usize], right: &[usize]) {
        for left_number in left {
            for right_number in right {
                self.cuts.insert((*left_number, *right_number));
                self.cuts.insert((*right_number, *left_number));
            }
        }
    }

    fn obey(&mut self, from: usize, outputs: Vec<CoreOutput>) {
        let mut waiting: VecDeque<(usize, CoreOutput)> =
            outputs.into_iter().map(|output| (from, output)).collect();
        while let Some((number, output)) = waiting.pop_front() {
            let next = match output {
                CoreOutput::Send { to, frame } => self.deliver(number, to, frame),
                CoreOutput::Write { ticket, job } => self.written(number, ticket, &job),
                CoreOutput::Committed(document) => {
                    self.committed.push((number, document));
                    Vec::new()
                }
                CoreOutput::MembershipChange { settled, .. } => {
                    self.successions.push(settled);
                    Vec::new()
                }
                _ => Vec::new(),
            };
            waiting.extend(next);
        }
    }

    fn deliver(&mut self, from: usize, to: Place, frame: CoreFrame) -> Vec<(usize, CoreOutput)> {
        let Some(number) = (0..4).find(|number| place(*number) == to) else { return Vec::new() };
        if self.cuts.contains(&(from, number)) || self.dead.contains(&number) {
            return Vec::new();
        }
        let outputs = self.cores[number].heard(self.now, frame);
        outputs.into_iter().map(|output| (number, output)).collect()
    }

    fn written(
        &mut self,
        number: usize,
        ticket: Ticket,
        _job: &WriteJob,
    ) -> Vec<(usize, CoreOutput)> {
        let outputs = self.cores[number].written(self.now, ticket, WriteResult::Synced);
        outputs.into_iter().map(|output| (number, output)).collect()
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(20);
        for number in 0..4 {
            if !self.dead.contains(&number) {
                let outputs = self.cores[number].tick(self.now);
                self.obey(number, outputs);
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..4).find(|number| !self.dead.contains(number) && self.cores[*number].is_ready())
    }

    fn found(&mut self) {
        self.dead.insert(3);
        self.pass(Duration::from_secs(2));
        let outputs = self.cores[0].found(self.now).expect("founded");
        self.obey(0, outputs);
        self.pass(Duration::from_secs(3));
    }

    fn members(&self, number: usize) -> Vec<u64> {
        let document = self.cores[number].accepted().expect("a document");
        let mut ids: Vec<u64> = document.core.iter().map(|member| member.id.0).collect();
        ids.sort_unstable();
        ids
    }
}

#[gtest]
fn the_first_reign_has_a_term_of_its_own() -> Result<()> {
    let mut bench = Bench::new();
    bench.found();
    let leader = bench.leader().expect("a leader");
    verify_that!(bench.cores[leader].term().0, ge(2))
}

#[gtest]
fn a_silent_member_is_replaced_from_its_zone_and_the_next_loss_is_borne() -> Result<()> {
    let mut bench = Bench::new();
    bench.found();
    bench.dead = BTreeSet::from([2]);
    bench.pass(Duration::from_secs(8));
    let leader = bench.leader().expect("a leader");
    verify_that!(bench.members(leader), eq(&vec![1, 2, 4]))?;
    verify_that!(bench.successions.last(), some(eq(&true)))?;
    bench.dead.insert(leader);
    bench.pass(Duration::from_secs(3));
    let next_leader = bench.leader().expect("another leader");
    verify_that!(next_leader, not(eq(leader)))
}

/// A succession begins on one side of a cut; what that side commits, and how the bench is left.
fn cut_while_replacing(rules: Rules) -> (Bench, usize, usize) {
    let mut bench = Bench::under(rules);
    bench.found();
    let leader = bench.leader().expect("a leader");
    let other = (0..2).find(|number| *number != leader).expect("another");
    bench.separate(&[2], &[0, 1, 3]);
    bench.dead.clear();
    bench.committed.clear();
    while bench.successions.is_empty() && bench.cuts.len() < 10 {
        bench.now = bench.now + Duration::from_millis(20);
        for number in 0..4 {
            let outputs = bench.cores[number].tick(bench.now);
            let begins =
                outputs.iter().any(|output| matches!(output, CoreOutput::MembershipChange { .. }));
            if begins {
                bench.cuts.clear();
                bench.separate(&[leader, 3], &[other, 2]);
            }
            bench.obey(number, outputs);
        }
    }
    bench.pass(Duration::from_secs(4));
    (bench, leader, other)
}

fn committed_on_old_side(bench: &Bench, leader: usize) -> usize {
    bench.committed.iter().filter(|(number, _)| *number == leader || *number == 3).count()
}

#[gtest]
fn a_replacement_is_not_committed_without_a_majority_of_the_old_core() -> Result<()> {
    let (mut bench, leader, other) = cut_while_replacing(Rules::KEPT);
    verify_that!(committed_on_old_side(&bench, leader), eq(0))?;
    let next_leader = bench.leader().expect("a leader on the other side");
    verify_that!(next_leader == other || next_leader == 2, eq(true))?;
    verify_that!(bench.members(next_leader), eq(&vec![1, 2, 3]))?;
    bench.cuts.clear();
    bench.pass(Duration::from_secs(3));
    let stamps: BTreeSet<Stamp> =
        (0..4).map(|number| bench.cores[number].accepted().expect("one").stamp).collect();
    verify_that!(stamps.len(), eq(1))
}

#[gtest]
fn a_replacement_in_one_step_commits_on_two_sides() -> Result<()> {
    let (bench, leader, other) = cut_while_replacing(Rules::without(Rule::CoreInTwoSteps));
    verify_that!(committed_on_old_side(&bench, leader), ge(1))?;
    let other_side = |number: usize| number == other || number == 2;
    let led_there = (0..4).filter(|number| other_side(*number));
    verify_that!(led_there.filter(|number| bench.cores[*number].is_ready()).count(), ge(1))
}

#[gtest]
fn an_operators_replacement_that_breaks_the_majority_is_refused() -> Result<()> {
    let mut bench = Bench::new();
    bench.found();
    bench.dead.clear();
    bench.pass(Duration::from_secs(2));
    let leader = bench.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    let id = |number: usize| ControllerId(number as u64 + 1);
    let unknown = bench.cores[leader].replace(bench.now, ControllerId(99), id(3));
    verify_that!(unknown.err(), some(eq(MembershipFault::NoSuchMember)))?;
    let stranger = bench.cores[leader].replace(bench.now, id(others[0]), ControllerId(99));
    verify_that!(stranger.err(), some(eq(MembershipFault::NoSuchCandidate)))?;
    bench.dead.insert(others[0]);
    bench.pass(Duration::from_millis(2500));
    bench.separate(&[others[1]], &[leader]);
    bench.now = bench.now + Duration::from_millis(2200);
    let breaking = bench.cores[leader].replace(bench.now, id(others[1]), id(3));
    verify_that!(
        breaking.err(),
        some(any![
            eq(MembershipFault::NoMajority),
            eq(MembershipFault::NoSuchCandidate),
            eq(MembershipFault::Busy)
        ])
    )
}

#[gtest]
fn a_member_left_alone_leads_and_grows_to_three_again() -> Result<()> {
    let mut bench = Bench::new();
    bench.found();
    let kept = bench.cores[0].accepted().expect("a document").clone();
    let changed = kept.with_zone("l0".into(), true, ChangeId::from("x"));
    let alone = controlplane::core::left_alone(&changed, ControllerId(1)).expect("a member");
    verify_that!(controlplane::core::left_alone(&changed, ControllerId(77)).is_none(), eq(true))?;
    let recalled = Recalled {
        id: ControllerId(1),
        voted: None,
        accepted: Some(alone),
        distrusted: Stamp::default(),
    };
    let address = Address { place: place(0), operators: place(0) };
    let timing = CoreTiming::builder().replace_after(Duration::from_secs(3)).build();
    let seeds = (0..3).map(place).collect();
    bench.cores[0] =
        Core::new(bench.now, timing, recalled, address, "l0".into(), seeds, Chance::seeded(9));
    for number in 1..3 {
        bench.cores[number] = core(number as u64 + 11, number, number, bench.now, Rules::KEPT);
    }
    bench.dead = BTreeSet::from([1, 2, 3]);
    bench.pass(Duration::from_secs(2));
    verify_that!(bench.leader(), some(eq(0)))?;
    verify_that!(bench.members(0), eq(&vec![1]))?;
    bench.dead = BTreeSet::from([3]);
    bench.pass(Duration::from_secs(4));
    verify_that!(bench.members(0), eq(&vec![1, 12, 13]))
}

#[gtest]
fn a_restarted_voter_that_hears_no_leader_asks_for_a_trial_early() -> Result<()> {
    let mut bench = Bench::new();
    bench.found();
    let known = bench.committed.last().map(|(_, document)| document.clone());
    let recalled = Recalled {
        id: ControllerId(1),
        voted: None,
        accepted: known,
        distrusted: Stamp::default(),
    };
    let timing = CoreTiming::builder().build();
    let address = Address { place: place(0), operators: place(0) };
    let seeds = (0..3).map(place).collect();
    let zone = Zone::from("l0");
    let mut restarted =
        Core::new(bench.now, timing.clone(), recalled, address, zone, seeds, Chance::seeded(9));
    let mut asked_after = Duration::ZERO;
    while asked_after < timing.election_longest {
        asked_after += Duration::from_millis(10);
        let outputs = restarted.tick(bench.now + asked_after);
        let asks = outputs.iter().any(|output| {
            matches!(output, CoreOutput::Send { frame, .. }
                if matches!(frame.body, common::frames::CoreBody::VoteAsk { .. }))
        });
        if asks {
            break;
        }
    }
    verify_that!(asked_after, le(timing.early_longest + Duration::from_millis(10)))
}
