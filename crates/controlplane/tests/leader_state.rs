//! The leader's leader state: when it grants, whom it waits for, and from when a transaction may run only once.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use common::clock::Moment;
use common::frames::{
    AcquireResult, Claim, ClaimRunner, Flag, Host, KnownMember, Life, Many, MemberLife, Place,
    ReserveResult, RunnerNews, StreamDown, StreamUp,
};
use common::identity::{
    ChangeId, ControllerId, CorrelationId, FunctionKey, GrantSerial, RunnerId, Serial, Stamp, Term,
};
use common::spec::{CoreMember, Document, RosterMember, read_spec};
use common::tongue::{ListedRunner, ListedWorker};
use controlplane::leader_state::{LeaderOutput, LeaderState, LeaderTiming, Proof, StreamId};
use googletest::prelude::*;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

const ELECTED: Moment = Moment(100_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn document() -> Document {
    let member = CoreMember { id: ControllerId(1), place: Place::NOWHERE, zone: "l".into() };
    let spec = json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
        },
        "routes": {"f": {"method": "POST", "path": "/f", "function": "f", "budget_ms": 3000, "kind": "once"}},
    });
    let checked_spec = read_spec(&spec).expect("a good spec");
    let mut made =
        Document::founding(vec![member]).with_spec(spec, &checked_spec, ChangeId::from("c"));
    made.stamp = Stamp { term: Term(5), serial: made.stamp.serial };
    made
}

fn known(name: &str) -> KnownMember {
    KnownMember { member: name.into(), incarnation: 1.into(), place: Place::NOWHERE }
}

fn function() -> FunctionKey {
    FunctionKey::new("f", Serial(2))
}

fn hello(host: Host, age_ms: u32, granted: bool) -> StreamUp {
    let granted = Flag(granted);
    StreamUp::Hello { host, door: Place::NOWHERE, serial: Serial(2), age_ms, granted }
}

struct Bench {
    leader_state: LeaderState,
    now: Moment,
    outputs: Vec<LeaderOutput>,
}

impl Bench {
    fn new(last_known: &[&str]) -> Self {
        let members: BTreeSet<KnownMember> = last_known.iter().map(|name| known(name)).collect();
        let mut leader_state =
            LeaderState::new(LeaderTiming::builder().build(), Term(5), ELECTED, members, true);
        leader_state.committed(document());
        Self { leader_state, now: ELECTED, outputs: Vec::new() }
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        let proof =
            Proof { ready: true, quorum_moment: self.now, confirmed: &|_| true, in_flight: None };
        self.outputs = self.leader_state.progress(self.now, &proof);
    }

    fn join(&mut self, stream: u64, name: &str, claims: Vec<Claim>) {
        self.join_on(stream, name, 0, claims);
    }

    fn join_on(&mut self, stream: u64, name: &str, link_mbps: u32, claims: Vec<Claim>) {
        let host = Host {
            member: name.into(),
            incarnation: 1.into(),
            zone: format!("l{stream}").as_str().into(),
            place: Place::NOWHERE,
            eligible: Flag(true),
            link_mbps,
        };
        let hello = hello(host, 700, true);
        self.say(stream, hello);
        self.say(stream, StreamUp::Claims { claims: Many(claims) });
        self.renew(stream);
    }

    fn renew(&mut self, stream: u64) {
        let frame = StreamUp::Renew { correlation: CorrelationId(1), serial: Serial(2) };
        self.say(stream, frame);
    }

    fn listed(&mut self, listed_runners: &[ListedRunner]) {
        self.leader_state.runners_listed(self.now, listed_runners);
    }

    fn say(&mut self, stream: u64, frame: StreamUp) {
        self.leader_state.heard(self.now, StreamId(stream), frame);
    }

    fn acquire(&mut self, stream: u64) {
        let frame = StreamUp::Acquire { correlation: CorrelationId(9), function: function() };
        self.say(stream, frame);
    }

    fn acquired(&self) -> Option<AcquireResult> {
        self.outputs.iter().find_map(|output| match output {
            LeaderOutput::Down { frame: StreamDown::Acquired { result, .. }, .. } => {
                Some(result.clone())
            }
            _ => None,
        })
    }

    fn asks_lists(&self) -> bool {
        self.outputs.iter().any(|output| matches!(output, LeaderOutput::AskLists))
    }

    fn stops(&self) -> Vec<RunnerId> {
        self.outputs
            .iter()
            .filter_map(|output| match output {
                LeaderOutput::StopRunner(order) => Some(order.runner),
                _ => None,
            })
            .collect()
    }
}

fn old_runner() -> RunnerId {
    RunnerId { grant: GrantSerial(7), ordinal: 3 }
}

fn life() -> Life {
    Life { name: "l1".into(), place: Place::NOWHERE }
}

fn fit_claim(ending: bool) -> Claim {
    let mut made = claim(ending);
    made.runners.0[0].life = Many(vec![life()]);
    made.runners.0[0].fit = Flag(true);
    made
}

fn claim(ending: bool) -> Claim {
    let runner = ClaimRunner {
        runner: old_runner(),
        worker: "w".into(),
        memory_mb: 100,
        life: Many(Vec::new()),
        fit: Flag(false),
    };
    Claim {
        function: function(),
        grant: GrantSerial(7),
        runners: Many(vec![runner]),
        ending: Flag(ending),
        steward: Many(Vec::new()),
        whole: Flag(false),
    }
}

#[gtest]
fn nothing_is_granted_before_every_last_known_daemon_claims_or_the_full_wait_is_over() -> Result<()>
{
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.join(1, "a", vec![]);
    bench.join(2, "b", vec![]);
    bench.acquire(1);
    bench.pass(ms(100));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    verify_that!(bench.acquired(), none())?;
    bench.join(3, "c", vec![]);
    bench.pass(ms(100));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    bench.listed(&[]);
    bench.pass(ms(100));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

fn listed_life(leaving: bool) -> ListedRunner {
    ListedRunner {
        life: life(),
        runner: None,
        function: "f".into(),
        key: None,
        worker: "w".into(),
        leaving,
    }
}

fn after_the_full_wait(leaving: bool) -> Result<Bench> {
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.join(1, "a", vec![]);
    bench.join(2, "b", vec![]);
    bench.acquire(1);
    bench.pass(ms(2500));
    let listed = [listed_life(leaving)];
    bench.listed(&listed);
    bench.pass(ms(700));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    bench.listed(&listed);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    Ok(bench)
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_is_taken_over_with_the_grant() -> Result<()> {
    let bench = after_the_full_wait(false)?;
    verify_that!(bench.stops(), is_empty())?;
    let Some(AcquireResult::Granted { grant, adopted, .. }) = bench.acquired() else {
        return fail!("not granted");
    };
    verify_that!(adopted.0.len(), eq(1))?;
    verify_that!(adopted.0[0].runner.grant, eq(grant))?;
    verify_that!(adopted.0[0].life.0, elements_are![eq(&life())])
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_that_leaves_is_stopped_before_the_grant() -> Result<()> {
    let mut bench = after_the_full_wait(true)?;
    verify_that!(bench.stops().len(), eq(1))?;
    verify_that!(bench.acquired(), none())?;
    let stopped = bench.stops()[0];
    bench.leader_state.runner_stopped(stopped);
    bench.pass(ms(10));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

#[gtest]
fn runners_of_a_function_given_up_bar_its_next_grant() -> Result<()> {
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", vec![claim(true)]);
    bench.join(2, "b", vec![]);
    bench.listed(&[]);
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    verify_that!(bench.acquired(), none())?;
    verify_that!(bench.stops(), elements_are![eq(&old_runner())])?;
    bench.leader_state.runner_stopped(old_runner());
    bench.pass(ms(10));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

#[gtest]
fn the_once_wait_counts_from_the_claims_and_not_from_the_election() -> Result<()> {
    let mut bench = Bench::new(&["a"]);
    bench.pass(ms(1500));
    bench.join(1, "a", vec![]);
    bench.listed(&[]);
    bench.acquire(1);
    bench.pass(ms(10));
    let Some(AcquireResult::Granted { once_wait_ms, .. }) = bench.acquired() else {
        return fail!("not granted");
    };
    let grant_length = LeaderTiming::builder().build().grant_length;
    verify_that!(once_wait_ms, eq(3000 + grant_length.as_millis() as u32))
}

#[gtest]
fn a_silent_holder_is_not_named_and_its_function_is_fenced_when_its_grant_has_ended() -> Result<()>
{
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", vec![claim(false)]);
    bench.join(2, "b", vec![]);
    bench.listed(&[]);
    bench.pass(ms(10));
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Owner { .. })), eq(true))?;
    bench.pass(ms(1500));
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(bench.acquired(), none())?;
    verify_that!(bench.stops(), is_empty())?;
    bench.say(2, StreamUp::Renew { correlation: CorrelationId(2), serial: Serial(2) });
    bench.pass(ms(1200));
    verify_that!(bench.stops(), elements_are![eq(&old_runner())])?;
    bench.say(2, StreamUp::Renew { correlation: CorrelationId(3), serial: Serial(2) });
    bench.leader_state.runner_stopped(old_runner());
    bench.pass(ms(10));
    bench.pass(ms(10));
    verify_that!(bench.leader_state.report_holders()["holders"][0]["member"], eq(&json!("b")))
}

fn reserve(bench: &mut Bench, stream: u64, name: &str, grant: GrantSerial) -> ReserveResult {
    let function = FunctionKey::new(name, Serial(2));
    bench.say(stream, StreamUp::Reserve { correlation: CorrelationId(4), function, grant });
    bench.pass(ms(10));
    let found = bench.outputs.iter().find_map(|output| match output {
        LeaderOutput::Down { frame: StreamDown::Reserved { result, .. }, .. } => {
            Some(result.clone())
        }
        _ => None,
    });
    found.expect("an answer")
}

fn granted(bench: &mut Bench, stream: u64, name: &str) -> GrantSerial {
    let function = FunctionKey::new(name, Serial(2));
    bench.say(stream, StreamUp::Acquire { correlation: CorrelationId(9), function });
    bench.pass(ms(10));
    match bench.acquired() {
        Some(AcquireResult::Granted { grant, .. }) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

#[gtest]
fn what_a_function_may_have_at_most_stands_for_its_keys_of_all_regions_together() -> Result<()> {
    let mut bench = Bench::new(&["daemon-1", "daemon-2"]);
    bench.join(1, "daemon-1", Vec::new());
    bench.join(2, "daemon-2", Vec::new());
    bench.listed(&[]);
    bench.pass(ms(10));
    bench.leader_state.workers_listed(vec![ListedWorker {
        worker: "w-1".into(),
        zone: "l1".into(),
        memory_mb: 100_000,
        draining: false,
    }]);
    let whole = FunctionKey::new("f", Serial(2));
    let west = whole.in_region(&"west".into());
    let mut grants = Vec::new();
    for (stream, function) in [(1, &whole), (2, &west)] {
        let function = function.clone();
        bench.say(stream, StreamUp::Acquire { correlation: CorrelationId(9), function });
        bench.pass(ms(10));
        let Some(AcquireResult::Granted { grant, .. }) = bench.acquired() else {
            return fail!("not granted to {stream}");
        };
        grants.push(grant);
    }
    let mut reserve = |stream: u64, function: &FunctionKey| {
        let (function, grant) = (function.clone(), grants[stream as usize - 1]);
        let correlation = CorrelationId(4);
        bench.say(stream, StreamUp::Reserve { correlation, function, grant });
        bench.pass(ms(10));
        bench.outputs.iter().any(|output| {
            matches!(
                output,
                LeaderOutput::Down {
                    frame: StreamDown::Reserved { result: ReserveResult::Reserved { .. }, .. },
                    ..
                }
            )
        })
    };
    let is_given: Vec<bool> = (0..4).map(|_| reserve(1, &whole)).collect();
    verify_that!(is_given, each(eq(&true)))?;
    let is_given: Vec<bool> = (0..5).map(|_| reserve(2, &west)).collect();
    verify_that!(is_given, eq(&vec![true, true, true, true, false]))?;
    verify_that!(reserve(1, &whole), eq(false))
}

#[gtest]
fn hosts_are_told_whole_to_a_fresh_stream_and_by_difference_to_the_others() -> Result<()> {
    let mut bench = Bench::new(&[]);
    bench.join(1, "a", Vec::new());
    bench.pass(ms(200));
    bench.join(2, "b", Vec::new());
    bench.pass(ms(200));
    let told: Vec<(u64, u64, usize)> = bench.hosts_told();
    verify_that!(told, unordered_elements_are![eq(&(1, 2, 1)), eq(&(2, 2, 2))])?;
    bench.say(1, StreamUp::WholeHosts);
    bench.pass(ms(200));
    verify_that!(bench.hosts_told(), elements_are![eq(&(1, 2, 2))])?;
    bench.pass(ms(200));
    verify_that!(bench.hosts_told(), is_empty())
}

#[gtest]
fn a_daemon_is_silent_only_when_its_watchers_and_its_stream_say_so() -> Result<()> {
    let mut bench = Bench::new(&[]);
    bench.join(1, "a", Vec::new());
    bench.join(2, "b", Vec::new());
    bench.pass(ms(200));
    let life = || MemberLife { member: "b".into(), incarnation: 1.into() };
    bench.say(1, StreamUp::Silent { life: life() });
    bench.pass(ms(200));
    verify_that!(bench.silent_told(), none())?;
    bench.pass(ms(600));
    verify_that!(bench.silent_told(), some(elements_are![eq(&life())]))?;
    bench.say(1, StreamUp::Heard { life: life() });
    bench.pass(ms(200));
    verify_that!(bench.silent_told(), some(is_empty()))?;
    let earlier_life = MemberLife { member: "b".into(), incarnation: 9.into() };
    bench.say(1, StreamUp::Silent { life: earlier_life });
    bench.pass(ms(2000));
    verify_that!(bench.silent_told(), none())
}

impl Bench {
    /// Who was told of hosts: the stream, the list's number, how many daemons were named.
    fn hosts_told(&self) -> Vec<(u64, u64, usize)> {
        let named = self.outputs.iter().filter_map(|output| match output {
            LeaderOutput::Down { stream, frame: StreamDown::Hosts { number, hosts, .. } } => {
                Some((stream.0, *number, hosts.0.len()))
            }
            LeaderOutput::Down { stream, frame: StreamDown::HostsChanged { number, put, .. } } => {
                Some((stream.0, *number, put.0.len()))
            }
            _ => None,
        });
        named.collect()
    }

    fn silent_told(&self) -> Option<Vec<MemberLife>> {
        self.outputs.iter().find_map(|output| match output {
            LeaderOutput::Down { frame: StreamDown::HostsChanged { silent, .. }, .. } => {
                Some(silent.0.clone())
            }
            _ => None,
        })
    }
}

#[gtest]
fn a_crowd_gives_one_runner_back_to_a_function_that_has_none() -> Result<()> {
    let mut bench = Bench::new(&["a"]);
    bench.join(1, "a", vec![]);
    bench.listed(&[]);
    bench.pass(ms(10));
    bench.leader_state.workers_listed(vec![ListedWorker {
        worker: "w".into(),
        zone: "l".into(),
        memory_mb: 300,
        draining: false,
    }]);
    let crowded = granted(&mut bench, 1, "f");
    for _ in 0..3 {
        let given = reserve(&mut bench, 1, "f", crowded);
        verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))?;
    }
    let poor = granted(&mut bench, 1, "g");
    verify_that!(reserve(&mut bench, 1, "g", poor), eq(&ReserveResult::Shed))?;
    let drained: Vec<RunnerId> = bench
        .outputs
        .iter()
        .filter_map(|output| match output {
            LeaderOutput::Down { frame: StreamDown::Drain { runner, .. }, .. } => Some(*runner),
            _ => None,
        })
        .collect();
    verify_that!(drained.len(), eq(1))?;
    verify_that!(drained[0].grant, eq(crowded))?;
    bench.leader_state.runner_stopped(drained[0]);
    verify_that!(reserve(&mut bench, 1, "f", crowded), eq(&ReserveResult::Shed))?;
    let given = reserve(&mut bench, 1, "g", poor);
    verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))
}

fn two_daemons(claims: Vec<Claim>) -> Bench {
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", claims);
    bench.join(2, "b", vec![]);
    bench.listed(&[]);
    bench.pass(ms(10));
    bench
}

fn adopted(bench: &Bench) -> Vec<ClaimRunner> {
    match bench.acquired() {
        Some(AcquireResult::Granted { adopted, .. }) => adopted.0,
        other => panic!("not granted: {other:?}"),
    }
}

#[gtest]
fn a_dead_holders_runner_is_taken_over_and_a_second_time_by_nobody() -> Result<()> {
    let mut bench = two_daemons(vec![fit_claim(false)]);
    bench.pass(ms(2250));
    bench.say(2, StreamUp::Renew { correlation: CorrelationId(2), serial: Serial(2) });
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(bench.stops(), is_empty())?;
    let taken = adopted(&bench);
    verify_that!(taken.len(), eq(1))?;
    verify_that!(taken[0].runner == old_runner(), eq(false))?;
    bench.join(3, "a", vec![fit_claim(true)]);
    bench.pass(ms(10));
    bench.say(
        2,
        StreamUp::Release {
            function: function(),
            grant: taken[0].runner.grant,
            runners: Many(taken.clone()),
        },
    );
    bench.acquire(3);
    bench.pass(ms(10));
    verify_that!(bench.stops(), is_empty())?;
    let next_taken = adopted(&bench);
    verify_that!(next_taken.len(), eq(1))?;
    verify_that!(next_taken[0].life.0, elements_are![eq(&life())])
}

#[gtest]
fn a_left_runner_that_nobody_takes_is_stopped() -> Result<()> {
    let mut bench = two_daemons(vec![fit_claim(true)]);
    verify_that!(bench.stops(), is_empty())?;
    bench.pass(ms(3900));
    verify_that!(bench.stops(), is_empty())?;
    bench.pass(ms(200));
    verify_that!(bench.stops(), elements_are![eq(&old_runner())])
}

#[gtest]
fn another_life_of_a_daemon_at_its_place_ends_the_grant_at_once() -> Result<()> {
    let mut bench = two_daemons(vec![fit_claim(false)]);
    let host = Host {
        member: "a".into(),
        incarnation: 2.into(),
        zone: "l1".into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    };
    bench.say(3, hello(host, 0, false));
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(adopted(&bench).len(), eq(1))
}

#[gtest]
fn a_life_that_has_gone_from_the_list_is_no_longer_its_holders() -> Result<()> {
    let mut bench = two_daemons(vec![fit_claim(false)]);
    let is_told = |bench: &Bench| {
        bench.outputs.iter().any(|output| {
            matches!(output, LeaderOutput::Down { frame: StreamDown::Vanished { runner, .. }, .. }
                if *runner == old_runner())
        })
    };
    bench.pass(ms(900));
    bench.listed(&[]);
    bench.pass(ms(10));
    verify_that!(is_told(&bench), eq(false))?;
    bench.pass(ms(200));
    bench.listed(&[]);
    bench.pass(ms(10));
    verify_that!(is_told(&bench), eq(true))
}

#[gtest]
fn a_runner_begun_and_not_yet_told_is_not_taken_for_an_orphan() -> Result<()> {
    let mut bench = two_daemons(vec![]);
    bench.leader_state.workers_listed(vec![ListedWorker {
        worker: "w".into(),
        zone: "l".into(),
        memory_mb: 300,
        draining: false,
    }]);
    let grant = granted(&mut bench, 2, "f");
    let ReserveResult::Reserved { runner, .. } = reserve(&mut bench, 2, "f", grant) else {
        return fail!("no room");
    };
    bench.listed(&[listed_life(false)]);
    bench.pass(ms(10));
    verify_that!(
        bench.leader_state.report_runners()["runners"].as_array().map(Vec::len),
        some(eq(1))
    )?;
    let news = RunnerNews::Begun { life: life() };
    bench.say(2, StreamUp::Runner { function: function(), runner, news });
    bench.listed(&[listed_life(false)]);
    bench.pass(ms(10));
    verify_that!(
        bench.leader_state.report_runners()["runners"].as_array().map(Vec::len),
        some(eq(1))
    )?;
    verify_that!(bench.stops(), is_empty())
}

#[gtest]
fn without_spreading_a_runner_stands_in_its_holders_zone() -> Result<()> {
    let mut bench = Bench::new(&["a"]);
    let timing = LeaderTiming::builder().spread(false).build();
    let members: BTreeSet<KnownMember> = [known("a")].into();
    bench.leader_state = LeaderState::new(timing, Term(5), ELECTED, members, true);
    bench.leader_state.committed(document());
    bench.join(1, "a", vec![]);
    bench.listed(&[]);
    bench.pass(ms(10));
    let worker = |name: &str, zone: &str, memory_mb: u32| ListedWorker {
        worker: name.into(),
        zone: zone.into(),
        memory_mb,
        draining: false,
    };
    bench.leader_state.workers_listed(vec![
        worker("far", "l9", 900),
        worker("near-1", "l1", 200),
        worker("near-2", "l1", 200),
    ]);
    let grant = granted(&mut bench, 1, "f");
    let mut places = Vec::new();
    for _ in 0..5 {
        if let ReserveResult::Reserved { worker, .. } = reserve(&mut bench, 1, "f", grant) {
            places.push(worker.to_string());
        }
    }
    verify_that!(places[..4].iter().all(|name| name.starts_with("near")), eq(true))?;
    verify_that!(places[4].as_str(), eq("far"))
}

fn place(last: u8) -> Place {
    Place(format!("10.0.0.{last}:1").parse().expect("an address"))
}

/// A daemon of the roster: its name, and the last number of its place.
type Listed = (&'static str, u8);

fn roster(listed: &[Listed]) -> BTreeSet<RosterMember> {
    let members = listed
        .iter()
        .map(|(name, last)| RosterMember { member: (*name).into(), place: place(*last) });
    members.collect()
}

fn elected_with_roster(listed: &[Listed]) -> Bench {
    let timing = LeaderTiming::builder().build();
    let mut leader_state = LeaderState::new(timing, Term(5), ELECTED, BTreeSet::new(), false);
    let mut made = document().with_roster(roster(listed));
    made.stamp.term = Term(5);
    leader_state.committed(made);
    Bench { leader_state, now: ELECTED, outputs: Vec::new() }
}

fn come(bench: &mut Bench, stream: u64, at: Listed, incarnation: u64, age_ms: u32, granted: bool) {
    let host = Host {
        member: at.0.into(),
        incarnation: incarnation.into(),
        zone: "l".into(),
        place: place(at.1),
        eligible: Flag(true),
        link_mbps: 0,
    };
    bench.say(stream, hello(host, age_ms, granted));
    bench.say(stream, StreamUp::Claims { claims: Many(vec![]) });
    bench.say(stream, StreamUp::Renew { correlation: CorrelationId(1), serial: Serial(2) });
}

fn is_renewed(bench: &Bench, asked: u64) -> bool {
    bench.outputs.iter().any(|output| {
        matches!(output, LeaderOutput::Down { stream, frame: StreamDown::Renewed { .. } }
            if *stream == StreamId(asked))
    })
}

#[gtest]
fn with_a_roster_the_leader_state_opens_when_each_place_has_claimed_whatever_life_stands_there()
-> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2), ("c", 3)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    come(&mut bench, 2, ("b", 2), 9, 600, false);
    bench.pass(ms(100));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    come(&mut bench, 3, ("c", 4), 9, 600, false);
    bench.pass(ms(100));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    come(&mut bench, 4, ("d", 3), 9, 600, false);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(true))
}

#[gtest]
fn a_roster_member_that_does_not_come_is_waited_for_as_long_as_its_grant() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2), ("c", 3)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    come(&mut bench, 2, ("b", 2), 1, 5000, true);
    bench.pass(ms(2150));
    bench.listed(&[]);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    bench.pass(ms(450));
    bench.listed(&[]);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(true))
}

/// The earlier life was gone when the present one began; what it had ordered has settled a little later.
#[gtest]
fn a_life_that_nobody_claimed_is_taken_over_from_the_first_list_that_shows_all() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1)]);
    bench.pass(ms(10));
    verify_that!(bench.asks_lists(), eq(true))?;
    bench.pass(ms(190));
    come(&mut bench, 1, ("a", 1), 9, 1000, false);
    bench.acquire(1);
    bench.pass(ms(10));
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    verify_that!(bench.asks_lists(), eq(true))?;
    bench.leader_state.runners_listed(ELECTED - ms(301), &[listed_life(false)]);
    bench.pass(ms(30));
    verify_that!(bench.acquired(), none())?;
    bench.leader_state.runners_listed(ELECTED - ms(300), &[listed_life(false)]);
    bench.pass(ms(30));
    verify_that!(adopted(&bench).len(), eq(1))
}

/// A daemon that was granted to before the election may have left something a moment before it.
#[gtest]
fn nothing_is_granted_before_a_list_shows_what_was_left_until_the_election() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1)]);
    come(&mut bench, 1, ("a", 1), 1, 60_000, true);
    bench.acquire(1);
    bench.leader_state.runners_listed(ELECTED - ms(1), &[listed_life(false)]);
    bench.pass(ms(30));
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    verify_that!(bench.acquired(), none())?;
    bench.leader_state.runners_listed(ELECTED, &[listed_life(false)]);
    bench.pass(ms(30));
    verify_that!(adopted(&bench).len(), eq(1))
}

#[gtest]
fn a_daemon_is_granted_to_when_the_roster_committed_and_the_one_in_flight_name_it() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    come(&mut bench, 2, ("b", 2), 1, 300, false);
    bench.pass(ms(10));
    verify_that!(is_renewed(&bench, 1), eq(true))?;
    verify_that!(is_renewed(&bench, 2), eq(false))?;
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    bench.now = bench.now + ms(40);
    let due = bench.leader_state.due_roster(bench.now);
    verify_that!(due.as_ref(), some(eq(&roster(&[("a", 1), ("b", 2)]))))?;
    let mut next_document = document().with_roster(due.expect("a roster"));
    next_document.stamp = Stamp { term: Term(5), serial: Serial(4) };
    next_document.unseen = 2;
    bench.leader_state.committed(next_document);
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    let smaller = roster(&[("a", 1)]);
    let quorum_moment = bench.now;
    let proof =
        Proof { ready: true, quorum_moment, confirmed: &|_| true, in_flight: Some(&smaller) };
    bench.outputs = bench.leader_state.progress(bench.now, &proof);
    verify_that!(is_renewed(&bench, 2), eq(false))?;
    bench.pass(ms(10));
    verify_that!(is_renewed(&bench, 2), eq(true))?;
    let is_pushed = |output: &LeaderOutput| {
        matches!(
            output,
            LeaderOutput::Down { frame: StreamDown::Change { .. } | StreamDown::Spec { .. }, .. }
        )
    };
    verify_that!(bench.outputs.iter().any(is_pushed), eq(false))
}

#[gtest]
fn a_proof_from_before_a_life_joined_grants_it_nothing() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1)]);
    bench.pass(ms(300));
    come(&mut bench, 1, ("a", 1), 9, 100, false);
    let before = bench.now - ms(5);
    let proof = Proof { ready: true, quorum_moment: before, confirmed: &|_| true, in_flight: None };
    bench.outputs = bench.leader_state.progress(bench.now + ms(100), &proof);
    verify_that!(is_renewed(&bench, 1), eq(false))?;
    verify_that!(bench.leader_state.wants_round(), eq(true))?;
    bench.pass(ms(0));
    verify_that!(is_renewed(&bench, 1), eq(true))
}

#[gtest]
fn names_that_are_gone_for_long_leave_the_roster() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    bench.pass(ms(100));
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    bench.pass(ms(3800));
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    bench.pass(ms(400));
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    bench.pass(ms(40));
    verify_that!(bench.leader_state.due_roster(bench.now), some(eq(&roster(&[("a", 1)]))))
}

/// Daemons that are taken away in order would otherwise be waited for by the next leader.
#[gtest]
fn a_daemon_that_left_in_order_leaves_the_roster_when_it_does_not_restart() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    come(&mut bench, 2, ("b", 2), 1, 5000, true);
    bench.pass(ms(100));
    bench.say(2, StreamUp::Leaving);
    bench.leader_state.stream_lost(StreamId(2));
    let left_at = bench.now;
    let mut due_roster = None;
    while due_roster.is_none() && bench.now.since(left_at) < ms(4000) {
        bench.pass(ms(20));
        due_roster = bench.leader_state.due_roster(bench.now);
    }
    verify_that!(due_roster, some(eq(&roster(&[("a", 1)]))))?;
    verify_that!(bench.now.since(left_at), ge(ms(2200)))?;
    verify_that!(bench.now.since(left_at), lt(ms(2900)))
}

#[gtest]
fn a_daemon_that_left_in_order_and_restarts_stays_in_the_roster() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    come(&mut bench, 2, ("b", 2), 1, 5000, true);
    bench.pass(ms(100));
    bench.say(2, StreamUp::Leaving);
    bench.leader_state.stream_lost(StreamId(2));
    bench.pass(ms(1000));
    verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    come(&mut bench, 3, ("b", 2), 2, 100, false);
    for _ in 0..40 {
        bench.pass(ms(100));
        verify_that!(bench.leader_state.due_roster(bench.now), none())?;
    }
    Ok(())
}

/// With two controllers of three in touch, but most daemons taken away or cut off, the others serve.
#[gtest]
fn a_leader_opens_with_those_that_came_once_the_others_are_struck_off() -> Result<()> {
    let mut bench = elected_with_roster(&[("a", 1), ("b", 2), ("c", 3), ("d", 4)]);
    come(&mut bench, 1, ("a", 1), 1, 5000, true);
    bench.pass(ms(3900));
    bench.listed(&[]);
    bench.pass(ms(50));
    verify_that!(bench.leader_state.is_open(), eq(false))?;
    bench.pass(ms(200));
    bench.listed(&[]);
    bench.pass(ms(50));
    verify_that!(bench.leader_state.is_open(), eq(true))
}

const NARROW_MBPS: u32 = 2;
const WIDE_MBPS: u32 = 100;

/// A leader that knows one host, on a narrow link, and has granted the function to it.
fn granted_on_a_narrow_link() -> Bench {
    let mut bench = Bench::new(&["a"]);
    bench.join_on(1, "a", NARROW_MBPS, vec![]);
    bench.pass(ms(100));
    bench.listed(&[]);
    bench.acquire(1);
    bench.pass(ms(100));
    bench
}

/// How often the function is asked back in five seconds.
fn hand_overs(bench: &mut Bench) -> usize {
    let mut seen = 0;
    for _ in 0..50 {
        bench.pass(ms(100));
        let is_hand_over = |output: &&LeaderOutput| {
            matches!(output, LeaderOutput::Down { frame: StreamDown::HandOver { .. }, .. })
        };
        seen += bench.outputs.iter().filter(is_hand_over).count();
        bench.renew(1);
    }
    seen
}

/// A leader that daemons are still joining may know too few hosts on wide links, and grants to one on a narrow
/// link. The busiest function of a deployment must not stay there once the others have joined.
#[gtest]
fn a_function_leaves_a_narrow_link_once_enough_wide_ones_have_joined() -> Result<()> {
    let mut bench = granted_on_a_narrow_link();
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))?;
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        bench.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut bench), eq(1))
}

#[gtest]
fn a_function_stays_on_a_narrow_link_while_too_few_wide_ones_have_joined() -> Result<()> {
    let mut bench = granted_on_a_narrow_link();
    for (stream, name) in [(2, "b"), (3, "c")] {
        bench.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    verify_that!(hand_overs(&mut bench), eq(0))
}

/// A leader that has just opened, with hosts on wide links, and a question from the one on a narrow link.
fn asked_from_a_narrow_link() -> Bench {
    let mut bench = Bench::new(&["a"]);
    bench.join_on(1, "a", NARROW_MBPS, vec![]);
    for (stream, name) in [(2, "b"), (3, "c"), (4, "d")] {
        bench.join_on(stream, name, WIDE_MBPS, vec![]);
    }
    bench.pass(ms(100));
    bench.listed(&[]);
    bench.acquire(1);
    bench.pass(ms(100));
    bench
}

/// The first to ask may be a host on a narrow link, from when it knew no others. One on a wide link that asks
/// meanwhile goes first, and the other is told of it.
#[gtest]
fn a_question_from_a_narrow_link_waits_for_one_from_a_wide_link() -> Result<()> {
    let mut bench = asked_from_a_narrow_link();
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    verify_that!(bench.acquired(), none())?;
    bench.acquire(3);
    bench.pass(ms(100));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))?;
    bench.pass(ms(100));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Owner { .. })), eq(true))
}

#[gtest]
fn a_question_from_a_narrow_link_that_no_wide_one_joins_is_granted_after_a_second() -> Result<()> {
    let mut bench = asked_from_a_narrow_link();
    verify_that!(bench.leader_state.is_open(), eq(true))?;
    bench.pass(ms(900));
    verify_that!(bench.acquired(), none())?;
    bench.renew(1);
    bench.pass(ms(200));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

/// What a new leader tells a daemon that has serial 2, before and after it has committed serial 3; it saw both.
fn told_by_a_new_leader() -> (usize, Vec<&'static str>) {
    let newest = document().with_zone("l9".into(), true, ChangeId::from("turn"));
    let earlier_views = VecDeque::from([document().view(), newest.view()]);
    let leader_state =
        LeaderState::new(LeaderTiming::builder().build(), Term(6), ELECTED, BTreeSet::new(), true);
    let leader_state = leader_state.with_earlier_views(earlier_views);
    let mut bench = Bench { leader_state, now: ELECTED, outputs: Vec::new() };
    let told = |bench: &Bench| -> Vec<&'static str> {
        let frames = bench.outputs.iter().filter_map(|output| match output {
            LeaderOutput::Down { frame, .. } => Some(frame),
            _ => None,
        });
        let specs = frames.filter_map(|frame| match frame {
            StreamDown::Spec { .. } => Some("whole"),
            StreamDown::Change { .. } => Some("change"),
            _ => None,
        });
        specs.collect()
    };
    bench.join(1, "th-1", Vec::new());
    bench.pass(ms(1));
    let before_count = told(&bench).len();
    bench.leader_state.committed(newest);
    bench.pass(ms(1));
    (before_count, told(&bench))
}

#[gtest]
fn a_new_leader_tells_daemons_a_little_behind_what_changed() -> Result<()> {
    let (before_count, told) = told_by_a_new_leader();
    verify_that!(before_count, eq(0))?;
    verify_that!(told, elements_are![eq(&"change")])
}

/// What operators are told of daemons, holders, workers and runners, with each key and each form of a value.
#[gtest]
fn reports_keep_their_keys_and_values() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", vec![fit_claim(false)]);
    bench.join(2, "b", Vec::new());
    bench.listed(&[]);
    bench.pass(ms(10));
    let worker = |name: &str, draining| ListedWorker {
        worker: name.into(),
        zone: "l1".into(),
        memory_mb: 100_000,
        draining,
    };
    bench.leader_state.workers_listed(vec![worker("w", false), worker("w-2", true)]);
    let grant = granted(&mut bench, 2, "g");
    reserve(&mut bench, 2, "g", grant);
    let leader_state = &bench.leader_state;
    let known_zones: Vec<String> =
        leader_state.known_zones().iter().map(ToString::to_string).collect();
    let counts: Vec<(&str, u64)> = leader_state.counts().into();
    let seen = json!({
        "members": leader_state.report_members(bench.now),
        "holders": leader_state.report_holders(),
        "workers": leader_state.report_workers(),
        "runners": leader_state.report_runners(),
        "counts": counts,
        "localities": known_zones,
    });
    forms::check(env!("CARGO_MANIFEST_DIR"), "reports.json", &format!("{seen:#}\n"));
}
