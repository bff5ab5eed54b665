//! Regions whose callers keep a runner of their own busy are served under a key of their own, and go back to the holder
//! for all regions when that one cannot serve.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{
    AcquireResult, Flag, HopBody, HopOutcome, HopReason, Host, Life, Many, Parcel, Place,
    ReserveResult, StreamDown,
};
use common::identity::{FunctionKey, GrantSerial, Region, RunnerId, Serial, Term, Ticket};
use common::ring::{Regions, hash_owner_in};
use common::rules::Rules;
use common::spec::{Document, FunctionSpec, read_spec};
use common::tongue::BeginEnd;
use dataplane::agent::{Agent, Ask, DaemonControl, Forwarding, ForwardingStep, PassEnd};
use dataplane::holder::{Entry, GrantTerms, Holder, HolderMessage, HolderOutput, SendEnd};
use dataplane::liaison::LiaisonTiming;
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const START: Moment = Moment(10_000_000_000);
const BOOT: Duration = Duration::from_millis(400);
const SLOTS: u32 = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn whole() -> FunctionKey {
    FunctionKey::new("f", Serial(2))
}

fn west() -> Region {
    Region::from("west")
}

/// A holder whose runners are ready when they are told to be, and take a tenth of a second for a call.
struct Held {
    holder: Holder,
    now: Moment,
    runs: Vec<(Moment, Ticket, RunnerId)>,
    booting: Vec<RunnerId>,
    next_number: u64,
}

impl Held {
    fn new(function: FunctionKey) -> Self {
        let spec = FunctionSpec {
            connections: 100,
            memory_mb: 100,
            boot: BOOT,
            slots: SLOTS,
            min_runners: 0,
            max_runners: 8,
        };
        let terms = GrantTerms {
            function,
            grant: GrantSerial(1),
            spec,
            once_wait: Duration::ZERO,
            steward: None,
            prior: None,
            adopted: Vec::new(),
        };
        let holder = Holder::new(START, terms);
        let mut held =
            Self { holder, now: START, runs: Vec::new(), booting: Vec::new(), next_number: 0 };
        let outputs = held.holder.begin(START);
        held.take(outputs);
        held
    }

    fn take(&mut self, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match output {
                HolderOutput::Tell(HolderMessage::Reserve) => {
                    self.next_number += 1;
                    let runner = RunnerId { grant: GrantSerial(1), ordinal: self.next_number };
                    let result =
                        ReserveResult::Reserved { runner, worker: "w".into(), memory_mb: 100 };
                    let outputs = self.holder.reserved(self.now, &result);
                    self.take(outputs);
                }
                HolderOutput::Start { runner, .. } => {
                    self.booting.push(runner);
                    let life = Life { name: format!("{runner}").into(), place: Place::NOWHERE };
                    let outputs = self.holder.started(self.now, runner, BeginEnd::Begun(life));
                    self.take(outputs);
                }
                HolderOutput::Send { ticket, runner, .. } => {
                    self.runs.push((self.now + ms(100), ticket, runner));
                }
                _ => {}
            }
        }
    }

    fn boot_all(&mut self) {
        for runner in std::mem::take(&mut self.booting) {
            let outputs = self.holder.probed(self.now, runner, true);
            self.take(outputs);
        }
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + ms(10);
            let due: Vec<_> = self.runs.extract_if(.., |(at, _, _)| *at <= self.now).collect();
            for (_, ticket, runner) in due {
                let outcome = answer(runner);
                let outputs = self.holder.sent_ended(self.now, ticket, SendEnd::Answered(outcome));
                self.take(outputs);
            }
            let outputs = self.holder.tick(self.now);
            self.take(outputs);
        }
    }

    fn call(&mut self, region: Option<Region>, noted: bool) -> Option<HopOutcome> {
        self.next_number += 1;
        let entry = Entry {
            ticket: Ticket(self.next_number),
            transaction: format!("t{}", self.next_number).as_str().into(),
            once: false,
            noted,
            tries: 2,
            repeat: false,
            budget_end: self.now + ms(3000),
            patience: ms(3000),
            target: ms(1000),
            rank: 0,
            region,
        };
        let (at_once, outputs) = self.holder.grant_entry(self.now, entry);
        self.take(outputs);
        at_once
    }

    /// Calls from the west, so many a second, for a while.
    fn calls_from_the_west(&mut self, per_second: u64, span: Duration, noted: bool) {
        let gap = ms(1000 / per_second);
        let until = self.now + span;
        while self.now < until {
            self.call(Some(west()), noted);
            self.pass(gap);
            self.boot_all();
        }
    }
}

fn answer(runner: RunnerId) -> HopOutcome {
    HopOutcome::Answer {
        lines: Many(Vec::new()),
        status: 200,
        seal: Vec::new().into(),
        runner,
        body: Vec::new().into(),
    }
}

#[gtest]
fn a_region_gets_a_key_of_its_own_when_its_callers_keep_a_part_of_a_runner_busy() -> Result<()> {
    for (per_second, is_given) in [(20, true), (4, false)] {
        let mut held = Held::new(whole());
        held.calls_from_the_west(per_second, ms(1000), false);
        verify_that!(held.holder.regional_after(held.now, &west()), none())?;
        held.calls_from_the_west(per_second, ms(3000), false);
        let after = held.holder.regional_after(held.now, &west());
        verify_that!(after.is_some(), eq(is_given))?;
        verify_that!(held.holder.regional_after(held.now, &Region::from("north")), none())?;
        if let Some(after) = after {
            verify_that!(after, all![ge(BOOT), le(BOOT * 2 + ms(500))])?;
            held.calls_from_the_west(per_second, after, false);
            verify_that!(held.holder.regional_after(held.now, &west()), some(eq(Duration::ZERO)))?;
        }
    }
    Ok(())
}

#[gtest]
fn a_key_is_kept_for_some_seconds_and_lost_when_its_callers_are_gone() -> Result<()> {
    let mut held = Held::new(whole());
    held.calls_from_the_west(20, ms(4000), false);
    verify_that!(held.holder.regional_after(held.now, &west()), some(anything()))?;
    held.pass(ms(4000));
    verify_that!(held.holder.regional_after(held.now, &west()), some(anything()))?;
    held.pass(ms(8000));
    verify_that!(held.holder.regional_after(held.now, &west()), none())
}

#[gtest]
fn a_function_whose_identities_may_come_again_is_served_by_one_holder() -> Result<()> {
    let mut held = Held::new(whole());
    held.calls_from_the_west(20, ms(4000), true);
    verify_that!(held.holder.regional_after(held.now, &west()), none())
}

#[gtest]
fn a_region_s_holder_turns_callers_back_until_a_runner_is_ready() -> Result<()> {
    let mut held = Held::new(whole().in_region(&west()));
    let refused = held.call(None, false);
    let is_turned_back =
        matches!(refused, Some(HopOutcome::NotRun { reason: HopReason::NoRunner, .. }));
    verify_that!(is_turned_back, eq(true))?;
    verify_that!(held.booting.len(), eq(1))?;
    held.boot_all();
    verify_that!(held.call(None, false), none())
}

#[gtest]
fn a_region_s_holder_says_when_its_callers_no_longer_need_it() -> Result<()> {
    let mut held = Held::new(whole().in_region(&west()));
    held.boot_all();
    verify_that!(held.holder.regional_after(held.now, &west()), some(eq(Duration::ZERO)))?;
    held.pass(ms(6000));
    verify_that!(held.holder.regional_after(held.now, &west()), none())
}

fn host(name: &str, zone: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: zone.into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn regions() -> Regions {
    Regions::new(
        [("here", "west"), ("there", "east")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    )
}

/// A caller's daemon in the west, serving, with another one there and one in the east.
struct Door {
    agent: Agent<u64>,
    now: Moment,
}

impl Door {
    fn new(identities: &str) -> Self {
        let own_host = host("daemon-1", "here", 7);
        let agent = Agent::new(own_host.clone(), Rules::KEPT).with_regions(regions());
        let timing = LiaisonTiming::builder().build();
        let seeds = vec![Place::NOWHERE; 3];
        let mut control =
            DaemonControl::new(START, &agent, timing, Place::NOWHERE, seeds, Chance::seeded(3));
        control.tick(&agent, START);
        control.connected(&agent, START);
        control.heard(&agent, START, StreamDown::Welcome { term: Term(2) });
        let spec = json!({
            "functions": {"f": {"memory_mb": 100, "boot_ms": 200, "slots": 2}},
            "routes": {"r": {
                "method": "POST", "path": "/r", "function": "f",
                "budget_ms": 3000, "kind": "repeatable", "identities": identities,
            }},
        });
        let checked_spec = read_spec(&spec).expect("a spec");
        let mut document = Document::founding(Vec::new());
        document.stamp.serial = Serial(1);
        let mut document = document.with_spec(spec, &checked_spec, "change".into());
        document.stamp.serial = Serial(2);
        let view = document.view();
        let frame = StreamDown::Spec { serial: view.serial, document: view.to_bytes().into() };
        control.heard(&agent, START, frame);
        let all_hosts = vec![own_host, host("daemon-2", "here", 4), host("daemon-3", "there", 5)];
        agent.hosts.store(Arc::new(all_hosts));
        agent.serving_until.set(START + ms(60_000));
        Self { agent, now: START }
    }

    fn key(&self) -> FunctionKey {
        self.agent.table.load().functions()[0].key.clone()
    }

    fn regional_key(&self) -> FunctionKey {
        self.key().in_region(&west())
    }

    fn forwarding(&self) -> Forwarding {
        let ask = Ask {
            transaction: "t".into(),
            function: self.key(),
            route: "r".to_owned(),
            serial: self.agent.table.load().serial(),
            budget_end: self.now + ms(2000),
            hops: 0,
            repeat: false,
            refer: true,
            region: west(),
            parcel: Arc::new(Parcel::of_body(Vec::new().into())),
        };
        Forwarding::new(self.now, ask)
    }

    /// The key that a request is asked for under now.
    fn asked_key(&self) -> FunctionKey {
        let mut forwarding = self.forwarding();
        forwarding.look(&self.agent, self.now);
        forwarding.ask().function.clone()
    }
}

#[gtest]
fn a_door_turns_to_its_region_s_key_when_that_comes_into_use_and_leaves_it_in_time() -> Result<()> {
    let mut door = Door::new("fresh");
    verify_that!(door.agent.hear_regional(door.now, &door.key(), 15), eq(true))?;
    verify_that!(door.agent.hear_regional(door.now, &door.key(), 9), eq(false))?;
    verify_that!(door.agent.regional_wishes(door.now), elements_are![eq(&door.regional_key())])?;
    verify_that!(door.asked_key(), eq(&door.key()))?;
    door.now = door.now + ms(1600);
    verify_that!(door.asked_key(), eq(&door.regional_key()))?;
    door.now = door.now + ms(8000);
    door.agent.hear_regional(door.now, &door.regional_key(), 1);
    door.now = door.now + ms(8000);
    verify_that!(door.asked_key(), eq(&door.regional_key()))?;
    door.now = door.now + ms(3000);
    verify_that!(door.asked_key(), eq(&door.key()))?;
    door.agent.hear_regional(door.now, &door.key(), 1);
    door.now = door.now + ms(110);
    verify_that!(door.asked_key(), eq(&door.regional_key()))?;
    door.agent.hear_regional(door.now, &door.regional_key(), 0);
    verify_that!(door.asked_key(), eq(&door.key()))
}

#[gtest]
fn identities_that_may_come_again_stay_with_the_holder_for_all_regions() -> Result<()> {
    let mut door = Door::new("may_come_again");
    door.agent.hear_regional(door.now, &door.key(), 1);
    door.now = door.now + ms(110);
    verify_that!(door.asked_key(), eq(&door.key()))
}

#[gtest]
fn what_a_region_s_holder_cannot_serve_goes_on_to_the_holder_for_all_regions() -> Result<()> {
    let refused = |reason| PassEnd::Done(HopOutcome::NotRun { reason, retry_ms: 100 }, None);
    let ends = [
        (refused(HopReason::NoRunner), ms(300)),
        (refused(HopReason::NoOwner), ms(3000)),
        (refused(HopReason::NotServing), ms(3000)),
        (PassEnd::Unsent, ms(3000)),
        (PassEnd::Lost, ms(3000)),
    ];
    for (end, pause) in ends {
        let mut door = Door::new("fresh");
        door.agent.hear_regional(door.now, &door.key(), 1);
        door.now = door.now + ms(110);
        let mut forwarding = door.forwarding();
        forwarding.look(&door.agent, door.now);
        verify_that!(&forwarding.ask().function, eq(&door.regional_key()))?;
        let step = forwarding.passed(&door.agent, door.now, end.clone());
        let goes_on = !matches!(step, ForwardingStep::End(..));
        verify_that!(goes_on, eq(true)).with_failure_message(|| format!("{end:?}"))?;
        forwarding.look(&door.agent, door.now);
        verify_that!(&forwarding.ask().function, eq(&door.key()))?;
        door.now = door.now + pause - ms(10);
        verify_that!(door.asked_key(), eq(&door.key()))?;
        door.now = door.now + ms(20);
        verify_that!(door.asked_key(), eq(&door.regional_key()))?;
    }
    Ok(())
}

#[gtest]
fn a_region_s_lease_that_takes_its_time_is_not_waited_for() -> Result<()> {
    let mut door = Door::new("fresh");
    door.agent.hear_regional(door.now, &door.key(), 1);
    door.now = door.now + ms(110);
    let mut forwarding = door.forwarding();
    forwarding.look(&door.agent, door.now);
    let later = Some(AcquireResult::Later { wait_ms: 1500 });
    let step = forwarding.acquired(&door.agent, door.now, later);
    verify_that!(&forwarding.ask().function, eq(&door.key()))?;
    verify_that!(matches!(step, ForwardingStep::End(..)), eq(false))
}

#[gtest]
fn a_region_without_hosts_that_may_hold_functions_is_served_by_the_others() -> Result<()> {
    let mut door = Door::new("fresh");
    let far_host = host("daemon-3", "there", 5);
    door.agent.hosts.store(Arc::new(vec![far_host.clone()]));
    door.agent.hear_regional(door.now, &door.key(), 1);
    door.now = door.now + ms(110);
    let mut forwarding = door.forwarding();
    let step = forwarding.look(&door.agent, door.now);
    let goes_far = matches!(step, ForwardingStep::Pass { host, body: HopBody::Ask { .. }, .. } if host == far_host);
    verify_that!(goes_far, eq(true))
}

#[gtest]
fn the_region_of_the_caller_s_daemon_is_passed_on() -> Result<()> {
    let door = Door::new("fresh");
    let hosts = door.agent.hosts.load();
    let owner = hash_owner_in(&door.key(), hosts.iter(), &regions()).expect("an owner");
    if owner.member == door.agent.own_host.member {
        return Ok(());
    }
    let step = door.forwarding().look(&door.agent, door.now);
    let ForwardingStep::Pass { body: HopBody::Ask { region, .. }, .. } = step else {
        return fail!("it is not passed on");
    };
    verify_that!(region, eq(&west()))
}
