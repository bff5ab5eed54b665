//! The leader's desk: when it grants, whom it waits for, and from when a transaction may run only once.

use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;
use survey::desk::{Desk, DeskOutput, DeskTiming, Proof, StreamId};
use waymark::clock::Moment;
use waymark::frames::{
    AcquireResult, Claim, ClaimRunner, Flag, Host, KnownMember, Life, Many, Place, ReserveResult,
    StreamDown, StreamUp,
};
use waymark::identity::{
    ChangeId, CorrelationId, FunctionKey, GrantSerial, LifeName, RunnerId, Serial, Stamp,
    SurveyorId, Term,
};
use waymark::spec::{CoreMember, Document, read_spec};
use waymark::tongue::{ListedRunner, ListedWorker};

const ELECTED: Moment = Moment(100_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn document() -> Document {
    let member = CoreMember { id: SurveyorId(1), place: Place::NOWHERE, locality: "l".into() };
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
    KnownMember { member: name.into(), incarnation: 1.into() }
}

fn function() -> FunctionKey {
    FunctionKey::new("f", Serial(2))
}

struct Bench {
    desk: Desk,
    now: Moment,
    outputs: Vec<DeskOutput>,
}

impl Bench {
    fn new(last_known: &[&str]) -> Self {
        let members: BTreeSet<KnownMember> = last_known.iter().map(|name| known(name)).collect();
        let mut desk = Desk::new(DeskTiming::builder().build(), Term(5), ELECTED, members, true);
        desk.committed(document());
        Self { desk, now: ELECTED, outputs: Vec::new() }
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        let proof = Proof { ready: true, quorum_moment: self.now, confirmed: &|_| true };
        self.outputs = self.desk.progress(self.now, &proof);
    }

    fn join(&mut self, stream: u64, name: &str, claims: Vec<Claim>) {
        let host = Host {
            member: name.into(),
            incarnation: 1.into(),
            locality: format!("l{stream}").as_str().into(),
            place: Place::NOWHERE,
            eligible: Flag(true),
        };
        let hello = StreamUp::Hello { host, door: Place::NOWHERE, serial: Serial(2) };
        self.say(stream, hello);
        self.say(stream, StreamUp::Claims { claims: Many(claims) });
        self.say(stream, StreamUp::Renew { correlation: CorrelationId(1), serial: Serial(2) });
    }

    fn say(&mut self, stream: u64, frame: StreamUp) {
        self.desk.heard(self.now, StreamId(stream), frame);
    }

    fn acquire(&mut self, stream: u64) {
        let frame = StreamUp::Acquire { correlation: CorrelationId(9), function: function() };
        self.say(stream, frame);
    }

    fn acquired(&self) -> Option<AcquireResult> {
        self.outputs.iter().find_map(|output| match output {
            DeskOutput::Down { frame: StreamDown::Acquired { result, .. }, .. } => {
                Some(result.clone())
            }
            _ => None,
        })
    }

    fn stops(&self) -> Vec<RunnerId> {
        self.outputs
            .iter()
            .filter_map(|output| match output {
                DeskOutput::StopRunner(order) => Some(order.runner),
                _ => None,
            })
            .collect()
    }
}

fn old_runner() -> RunnerId {
    RunnerId { grant: GrantSerial(7), ordinal: 3 }
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
    verify_that!(bench.desk.is_open(), eq(false))?;
    verify_that!(bench.acquired(), none())?;
    bench.join(3, "c", vec![]);
    bench.pass(ms(100));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

#[gtest]
fn after_the_full_wait_an_unclaimed_runner_is_stopped_before_the_grant() -> Result<()> {
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.join(1, "a", vec![]);
    bench.join(2, "b", vec![]);
    bench.acquire(1);
    bench.pass(ms(2500));
    let listed = [ListedRunner {
        life: Life { name: LifeName::from("life"), place: Place::NOWHERE },
        runner: Some(old_runner()),
        function: function().name,
        key: Some(function()),
        worker: "w".into(),
        leaving: false,
    }];
    bench.desk.runners_listed(bench.now, &listed);
    bench.pass(ms(700));
    verify_that!(bench.desk.is_open(), eq(false))?;
    bench.desk.runners_listed(bench.now, &listed);
    bench.pass(ms(10));
    verify_that!(bench.desk.is_open(), eq(true))?;
    verify_that!(bench.stops(), elements_are![eq(&old_runner())])?;
    verify_that!(bench.acquired(), none())?;
    bench.desk.runner_stopped(old_runner());
    bench.pass(ms(10));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

#[gtest]
fn runners_of_a_function_given_up_bar_its_next_grant() -> Result<()> {
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", vec![claim(true)]);
    bench.join(2, "b", vec![]);
    bench.acquire(2);
    bench.pass(ms(10));
    verify_that!(bench.desk.is_open(), eq(true))?;
    verify_that!(bench.acquired(), none())?;
    verify_that!(bench.stops(), elements_are![eq(&old_runner())])?;
    bench.desk.runner_stopped(old_runner());
    bench.pass(ms(10));
    verify_that!(matches!(bench.acquired(), Some(AcquireResult::Granted { .. })), eq(true))
}

#[gtest]
fn the_once_wait_counts_from_the_claims_and_not_from_the_election() -> Result<()> {
    let mut bench = Bench::new(&["a"]);
    bench.pass(ms(1500));
    bench.join(1, "a", vec![]);
    bench.acquire(1);
    bench.pass(ms(10));
    let Some(AcquireResult::Granted { once_wait_ms, .. }) = bench.acquired() else {
        return fail!("not granted");
    };
    let grant_length = DeskTiming::builder().build().grant_length;
    verify_that!(once_wait_ms, eq(3000 + grant_length.as_millis() as u32))
}

#[gtest]
fn a_silent_holder_is_not_named_and_its_function_is_fenced_when_its_grant_has_ended() -> Result<()>
{
    let mut bench = Bench::new(&["a", "b"]);
    bench.join(1, "a", vec![claim(false)]);
    bench.join(2, "b", vec![]);
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
    bench.desk.runner_stopped(old_runner());
    bench.pass(ms(10));
    bench.pass(ms(10));
    verify_that!(bench.desk.report_holders()["holders"][0]["member"], eq(&json!("b")))
}

fn reserve(bench: &mut Bench, stream: u64, name: &str, grant: GrantSerial) -> ReserveResult {
    let function = FunctionKey::new(name, Serial(2));
    bench.say(stream, StreamUp::Reserve { correlation: CorrelationId(4), function, grant });
    bench.pass(ms(10));
    let found = bench.outputs.iter().find_map(|output| match output {
        DeskOutput::Down { frame: StreamDown::Reserved { result, .. }, .. } => Some(result.clone()),
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
fn a_crowd_gives_one_runner_back_to_a_function_that_has_none() -> Result<()> {
    let mut bench = Bench::new(&["a"]);
    bench.join(1, "a", vec![]);
    bench.pass(ms(10));
    bench.desk.workers_listed(vec![ListedWorker {
        worker: "w".into(),
        locality: "l".into(),
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
            DeskOutput::Down { frame: StreamDown::Drain { runner, .. }, .. } => Some(*runner),
            _ => None,
        })
        .collect();
    verify_that!(drained.len(), eq(1))?;
    verify_that!(drained[0].grant, eq(crowded))?;
    bench.desk.runner_stopped(drained[0]);
    verify_that!(reserve(&mut bench, 1, "f", crowded), eq(&ReserveResult::Shed))?;
    let given = reserve(&mut bench, 1, "g", poor);
    verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))
}
