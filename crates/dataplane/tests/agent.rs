//! One daemon's own decisions, fed by hand: last looks, serials, what is told at once.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{
    AcquireResult, Flag, HopBody, HopOutcome, HopReason, Host, Many, MemberLife, Parcel, Place,
    StreamDown, StreamUp,
};
use common::identity::{
    CorrelationId, FunctionKey, GrantSerial, RunnerId, Serial, Term, TransactionId,
};
use common::invariants::{self, Invariant};
use common::rules::{Rule, Rules};
use common::seal;
use common::spec::{Document, FunctionSpec, Table, read_spec};
use common::tongue::{RunnerSaid, SealKind};
use dataplane::agent::{
    Agent, Ask, DaemonControl, DaemonOrder, Forwarding, ForwardingStep, Held, PassEnd, Task, judge,
};
use dataplane::holder::{GrantTerms, Holder, SendEnd};
use dataplane::liaison::LiaisonTiming;
use dataplane::owners::is_valid;
use dataplane::watch::BEAT_EVERY;
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const START: Moment = Moment(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host() -> Host {
    Host {
        member: "daemon-1".into(),
        incarnation: 7.into(),
        zone: "here".into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

/// A document in which the route goes to one of two functions, or nowhere.
fn document(serial: u64, function: &str) -> Document {
    document_of(serial, function, "repeatable")
}

fn document_of(serial: u64, function: &str, kind: &str) -> Document {
    let spec = json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
        },
        "routes": {"r": {
            "method": "POST", "path": "/r", "function": function,
            "budget_ms": 3000, "kind": kind,
        }},
    });
    let checked_spec = read_spec(&spec).expect("a spec");
    let mut document = Document::founding(Vec::new());
    document.stamp.serial = Serial(1);
    let mut document = document.with_spec(spec, &checked_spec, "change".into());
    document.stamp.serial = Serial(serial);
    document
}

fn spec_frame(serial: u64, function: &str) -> StreamDown {
    frame_of(document(serial, function))
}

/// The route may be run only once from now on.
fn once_frame(serial: u64) -> StreamDown {
    frame_of(document_of(serial, "f", "once"))
}

fn frame_of(document: Document) -> StreamDown {
    let view = document.view();
    StreamDown::Spec { serial: view.serial, document: view.to_bytes().into() }
}

struct Bench {
    agent: Agent<u64>,
    controller: DaemonControl<u64>,
    now: Moment,
}

impl Bench {
    /// A daemon whose stream is welcomed.
    fn new(rules: Rules) -> Self {
        let agent = Agent::new(host(), rules);
        let timing = LiaisonTiming::builder().build();
        let seeds = vec![Place::NOWHERE; 3];
        let chance = Chance::seeded(3);
        let mut controller =
            DaemonControl::new(START, &agent, timing, Place::NOWHERE, seeds, chance);
        controller.tick(&agent, START);
        controller.connected(&agent, START);
        controller.heard(&agent, START, StreamDown::Welcome { term: Term(2) });
        Self { agent, controller, now: START }
    }

    fn hear(&mut self, frame: StreamDown) -> Vec<DaemonOrder<u64>> {
        self.controller.heard(&self.agent, self.now, frame)
    }

    fn renew(&mut self, serial: u64) {
        self.renew_for(serial, 2400);
    }

    fn renew_for(&mut self, serial: u64, length_ms: u32) {
        self.now = self.now + ms(400);
        let orders = self.controller.tick(&self.agent, self.now);
        let correlation = orders.iter().find_map(|order| match order {
            DaemonOrder::Say(StreamUp::Renew { correlation, .. }) => Some(*correlation),
            _ => None,
        });
        let correlation = correlation.expect("a renewal");
        self.hear(StreamDown::Renewed { correlation, length_ms, serial: Serial(serial) });
    }

    fn list_itself(&mut self) {
        let hosts = Many(vec![host()]);
        self.hear(StreamDown::Hosts { number: 1, hosts, silent: Many(Vec::new()) });
    }

    fn key(&self, function: &str) -> FunctionKey {
        let table = self.agent.table.load();
        let entries = table.functions();
        entries.iter().find(|entry| entry.key.name.as_str() == function).expect("one").key.clone()
    }

    fn ask(&self) -> Ask {
        Ask {
            transaction: "t".into(),
            function: self.key("f"),
            route: "r".to_owned(),
            serial: self.agent.table.load().serial(),
            budget_end: self.now + ms(2000),
            hops: 0,
            repeat: false,
            refer: true,
            region: "".into(),
            parcel: Arc::new(Parcel::of_body(Vec::new().into())),
        }
    }
}

fn refusal(step: &ForwardingStep<u64>) -> Option<(HopReason, u32)> {
    match step {
        ForwardingStep::End(HopOutcome::NotRun { reason, retry_ms }, _) => {
            Some((*reason, *retry_ms))
        }
        _ => None,
    }
}

fn sent_after_a_turn(rules: Rules) -> std::result::Result<(), HopReason> {
    let mut bench = Bench::new(rules);
    bench.hear(spec_frame(3, "f"));
    bench.renew(3);
    let function = bench.key("f");
    let spec = FunctionSpec {
        connections: 100,
        memory_mb: 100,
        boot: ms(200),
        slots: 2,
        min_runners: 0,
        max_runners: 2,
    };
    let grant = GrantSerial(4);
    let once_wait = Duration::ZERO;
    let adopted = Vec::new();
    let terms =
        GrantTerms { function, grant, spec, once_wait, steward: None, prior: None, adopted };
    let held: Arc<Held<u64>> = Arc::new(Held::new(Holder::new(bench.now, terms)));
    bench.agent.holdings.store(Arc::new([(held.function.clone(), held.clone())].into()));
    let task = Task {
        transaction: "t".into(),
        route: "r".to_owned(),
        budget_end: bench.now + ms(2000),
        once: false,
        noted: true,
        tries: 3,
        repeat: false,
        patience: ms(1000),
        target: ms(1000),
        rank: 0,
        region: None,
        parcel: Arc::new(Parcel::of_body(Vec::new().into())),
    };
    let runner = RunnerId { grant: GrantSerial(4), ordinal: 5 };
    let now = bench.now;
    bench.agent.runner_call(now, &held, &task, runner, 1).expect("allowed before the turn");
    bench.hear(spec_frame(4, "g"));
    bench.agent.runner_call(now, &held, &task, runner, 1).map(|_| ())
}

#[gtest]
fn a_waiting_transaction_is_held_against_the_newest_spec_before_it_is_sent() -> Result<()> {
    verify_that!(sent_after_a_turn(Rules::KEPT), err(eq(HopReason::NotAllowed)))?;
    verify_that!(sent_after_a_turn(Rules::without(Rule::SpecBeforeSend)), ok(anything()))
}

#[gtest]
fn a_serial_never_goes_down() -> Result<()> {
    let serial_after = |rules: Rules| {
        let mut bench = Bench::new(rules);
        bench.hear(spec_frame(5, "f"));
        bench.hear(spec_frame(4, "g"));
        bench.agent.table.load().serial()
    };
    verify_that!(serial_after(Rules::KEPT), eq(Serial(5)))?;
    invariants::collect_on_this_thread();
    verify_that!(serial_after(Rules::without(Rule::SerialOnlyUp)), eq(Serial(4)))?;
    let seen: Vec<Invariant> =
        invariants::take_seen().into_iter().map(|violation| violation.invariant).collect();
    verify_that!(seen, elements_are![eq(&Invariant::SpecNeverOlder)])
}

#[gtest]
fn a_renewal_counts_only_with_the_newest_spec_installed() -> Result<()> {
    let serves = |rules: Rules| {
        let mut bench = Bench::new(rules);
        bench.hear(spec_frame(3, "f"));
        bench.renew(4);
        bench.agent.is_serving(bench.now)
    };
    verify_that!(serves(Rules::KEPT), eq(false))?;
    verify_that!(serves(Rules::without(Rule::RenewalNeedsSpec)), eq(true))
}

#[gtest]
fn a_daemon_serves_nothing_before_its_first_grant_nor_after_its_last() -> Result<()> {
    let mut bench = Bench::new(Rules::KEPT);
    bench.hear(spec_frame(3, "f"));
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    let early = forwarding.look(&bench.agent, bench.now);
    verify_that!(refusal(&early), some(eq((HopReason::NotServing, 400))))?;
    bench.renew(3);
    bench.list_itself();
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    let asking = forwarding.look(&bench.agent, bench.now);
    verify_that!(matches!(asking, ForwardingStep::Acquire { .. }), eq(true))?;
    let late = forwarding.look(&bench.agent, bench.now + ms(2400));
    verify_that!(refusal(&late).map(|(reason, _)| reason), some(eq(HopReason::NotServing)))
}

#[gtest]
fn a_wait_that_is_foreseen_too_long_is_refused_at_once_with_its_end() -> Result<()> {
    let mut bench = Bench::new(Rules::KEPT);
    bench.hear(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_itself();
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let told = Some(AcquireResult::Later { wait_ms: 2300 });
    let step = forwarding.acquired(&bench.agent, bench.now, told);
    verify_that!(refusal(&step), some(eq((HopReason::NoOwner, 2500))))?;
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let told = Some(AcquireResult::Later { wait_ms: 300 });
    let step = forwarding.acquired(&bench.agent, bench.now, told);
    verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn a_hand_over_that_comes_back_is_asked_again_and_not_at_once() -> Result<()> {
    let mut bench = Bench::new(Rules::KEPT);
    bench.hear(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_itself();
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    let turned = HopOutcome::NotRun { reason: HopReason::NotHolder, retry_ms: 50 };
    forwarding.look(&bench.agent, bench.now);
    let ForwardingStep::Wait { wait_until } = forwarding.served(&bench.agent, bench.now, turned)
    else {
        return fail!("a transaction that was turned away is not looked at again");
    };
    verify_that!(wait_until, gt(bench.now))?;
    let sooner = forwarding.look(&bench.agent, bench.now + ms(1));
    verify_that!(matches!(sooner, ForwardingStep::Wait { .. }), eq(true))?;
    let again = forwarding.look(&bench.agent, wait_until);
    verify_that!(matches!(again, ForwardingStep::Acquire { .. }), eq(true))
}

#[gtest]
fn only_the_whole_answer_to_what_was_asked_is_believed() -> Result<()> {
    let transaction = TransactionId::from("t");
    let function = FunctionKey::new("f", Serial(2));
    let runner = RunnerId { grant: GrantSerial(4), ordinal: 5 };
    let other_runner = RunnerId { grant: GrantSerial(4), ordinal: 6 };
    let body = b"whole".to_vec();
    let sealed = |named: &TransactionId, by: RunnerId, is_shed: bool| {
        seal::seal(named, &function, by, is_shed, &body)
    };
    let judged = |rules: Rules, named: &TransactionId, by: RunnerId, given: &str, bytes: &[u8]| {
        let said = RunnerSaid {
            status: 200,
            transaction: named.to_string(),
            function: Some(function.to_string()),
            runner: Some(by.to_string()),
            seal: given.to_owned(),
            seal_kind: SealKind::Digest,
            did_not_run: false,
            is_other: false,
            is_doubtful: false,
            closes: false,
            lines: Vec::new(),
            body: bytes.to_vec().into(),
        };
        matches!(judge(rules, &transaction, &function, runner, said), SendEnd::Answered(_))
    };
    let other = TransactionId::from("other");
    let right_seal = sealed(&transaction, runner, false);
    verify_that!(judged(Rules::KEPT, &transaction, runner, &right_seal, &body), eq(true))?;
    let cases: Vec<(&TransactionId, RunnerId, String, Vec<u8>)> = vec![
        (&transaction, runner, right_seal.clone(), body[..4].to_vec()),
        (&transaction, runner, right_seal.to_uppercase(), body.clone()),
        (&transaction, runner, String::new(), body.clone()),
        (&transaction, runner, sealed(&transaction, runner, true), body.clone()),
        (&other, runner, sealed(&other, runner, false), body.clone()),
        (&transaction, other_runner, sealed(&transaction, other_runner, false), body.clone()),
    ];
    for (named, by, given, bytes) in &cases {
        verify_that!(judged(Rules::KEPT, named, *by, given, bytes), eq(false))?;
        let unchecked = Rules::without(Rule::SealChecked);
        verify_that!(judged(unchecked, named, *by, given, bytes), eq(true))?;
    }
    let unnamed = Rules::without(Rule::SealNamesAsked);
    let foreign = &cases[4];
    verify_that!(judged(unnamed, foreign.0, foreign.1, &foreign.2, &foreign.3), eq(true))
}

/// An answer as a runner gives it whose seal only the caller can check.
fn carried(status: u16) -> RunnerSaid {
    RunnerSaid {
        status,
        transaction: "t".to_owned(),
        function: None,
        runner: None,
        seal: "carried".to_owned(),
        seal_kind: SealKind::Carried,
        did_not_run: false,
        is_other: false,
        is_doubtful: false,
        closes: false,
        lines: Vec::new(),
        body: b"whole".to_vec().into(),
    }
}

#[gtest]
fn an_answer_whose_seal_only_the_caller_can_check_is_believed_by_what_can_be_seen() -> Result<()> {
    let runner = RunnerId { grant: GrantSerial(4), ordinal: 5 };
    let function = FunctionKey::new("f", Serial(2));
    let other_name = || "other".to_owned();
    let cases: Vec<(&str, RunnerSaid, &str)> = vec![
        ("whole and sealed", carried(200), "answered"),
        (
            "names itself",
            RunnerSaid { runner: Some(runner.to_string()), ..carried(200) },
            "answered",
        ),
        ("another identity", RunnerSaid { transaction: other_name(), ..carried(200) }, "lost"),
        ("another function", RunnerSaid { function: Some(other_name()), ..carried(200) }, "lost"),
        ("names another", RunnerSaid { runner: Some(other_name()), ..carried(200) }, "lost"),
        ("no seal", RunnerSaid { seal: String::new(), ..carried(200) }, "lost"),
        ("doubtful", RunnerSaid { is_doubtful: true, ..carried(200) }, "lost"),
        (
            "callers' fault without seal",
            RunnerSaid { seal: String::new(), ..carried(404) },
            "answered",
        ),
        ("did not run", RunnerSaid { did_not_run: true, ..carried(503) }, "shed"),
        (
            "did not run, of another",
            RunnerSaid { did_not_run: true, transaction: other_name(), ..carried(503) },
            "lost",
        ),
        (
            "is another",
            RunnerSaid { is_other: true, did_not_run: true, ..carried(421) },
            "other runner",
        ),
        (
            "is another, of another",
            RunnerSaid { is_other: true, transaction: other_name(), ..carried(421) },
            "lost",
        ),
        ("ran, yet says what promises the contrary", carried(503), "lost"),
        ("ran, yet asks to come back", carried(429), "lost"),
        ("its own failure", RunnerSaid { seal: String::new(), ..carried(500) }, "failed"),
    ];
    for (what, said, expected) in cases {
        let end = judge(Rules::KEPT, &TransactionId::from("t"), &function, runner, said);
        let seen = match end {
            SendEnd::Answered(_) => "answered",
            SendEnd::Failed(_) => "failed",
            SendEnd::ShedByRunner => "shed",
            SendEnd::OtherRunner => "other runner",
            SendEnd::Lost => "lost",
            SendEnd::Barred(_) | SendEnd::Unsent => "never",
        };
        verify_that!((what, seen), eq((what, expected)))?;
    }
    Ok(())
}

/// A daemon that has passed a transaction on, and whose holder refused it by another spec.
fn disputed() -> (Bench, Forwarding, ForwardingStep<u64>) {
    let mut bench = Bench::new(Rules::KEPT);
    bench.hear(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_itself();
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let refused = HopOutcome::NotRun { reason: HopReason::NotAllowed, retry_ms: 500 };
    let step = forwarding.passed(&bench.agent, bench.now, PassEnd::Done(refused, None));
    (bench, forwarding, step)
}

#[gtest]
fn a_holder_with_a_newer_spec_has_the_door_look_again_when_its_own_comes() -> Result<()> {
    let (mut bench, mut forwarding, step) = disputed();
    let ForwardingStep::Wait { wait_until } = step else { return fail!("the door does not wait") };
    verify_that!(wait_until, eq(bench.now + ms(300)))?;
    let unchanged = forwarding.look(&bench.agent, bench.now + ms(100));
    verify_that!(matches!(unchanged, ForwardingStep::Wait { .. }), eq(true))?;
    bench.hear(spec_frame(4, "g"));
    let changed = forwarding.look(&bench.agent, bench.now + ms(110));
    verify_that!(matches!(changed, ForwardingStep::Acquire { .. }), eq(true))?;
    verify_that!(forwarding.ask().function.clone(), eq(&bench.key("g")))?;
    verify_that!(forwarding.ask().serial, eq(Serial(4)))
}

#[gtest]
fn a_disagreement_that_stays_is_a_reason_to_come_back_soon_and_no_more() -> Result<()> {
    let (bench, mut forwarding, _) = disputed();
    let late = forwarding.look(&bench.agent, bench.now + ms(300));
    verify_that!(refusal(&late), some(eq((HopReason::NotAllowed, 200))))
}

#[gtest]
fn the_controller_rests_until_something_is_due() -> Result<()> {
    let mut bench = Bench::new(Rules::KEPT);
    bench.hear(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_itself();
    bench.controller.tick(&bench.agent, bench.now);
    let due = bench.controller.next_due(&bench.agent);
    verify_that!(due, eq(bench.now + BEAT_EVERY))?;
    bench.controller.tick(&bench.agent, due);
    verify_that!(bench.controller.next_due(&bench.agent), gt(due))
}

#[gtest]
fn a_caller_that_hangs_up_leaves_nothing_in_hand() -> Result<()> {
    let agent: Agent<u64> = Agent::new(host(), Rules::KEPT);
    let held = agent.take_in_hand();
    let hung_up = agent.take_in_hand();
    verify_that!(agent.is_empty_handed(), eq(false))?;
    drop(hung_up);
    verify_that!(agent.is_empty_handed(), eq(false))?;
    drop(held);
    verify_that!(agent.is_empty_handed(), eq(true))
}

#[gtest]
fn an_empty_agent_routes_nothing() -> Result<()> {
    let agent: Arc<Agent<u64>> = Arc::new(Agent::new(host(), Rules::KEPT));
    verify_that!(agent.is_ready(START), eq(false))?;
    verify_that!(agent.table.load().serial(), eq(Table::empty().serial()))
}

/// A daemon in another zone.
fn far_host(name: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: "elsewhere".into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

impl Bench {
    /// Serving, among others.
    fn among(others: Vec<Host>) -> Self {
        let mut bench = Bench::new(Rules::KEPT);
        bench.hear(spec_frame(3, "f"));
        bench.renew(3);
        let hosts = Many([vec![host()], others].concat());
        bench.hear(StreamDown::Hosts { number: 1, hosts, silent: Many(Vec::new()) });
        bench
    }

    fn mark_silent(&mut self, lost_host: &Host) {
        let life =
            MemberLife { member: lost_host.member.clone(), incarnation: lost_host.incarnation };
        let silent = Many(vec![life]);
        let (put, removed) = (Many(Vec::new()), Many(Vec::new()));
        self.hear(StreamDown::HostsChanged { number: 2, put, removed, silent });
    }
}

#[gtest]
fn a_hash_owner_names_a_holder_elsewhere_and_passes_on_what_cannot_make_the_detour() -> Result<()> {
    let holder = far_host("daemon-2", 4);
    let bench = Bench::among(vec![holder.clone()]);
    bench.agent.learn_owner(&bench.key("f"), &holder);
    let asked = |refer: bool, body: usize, budget: u64| {
        let parcel = Arc::new(Parcel::of_body(vec![0; body].into()));
        let budget_end = bench.now + ms(budget);
        let mut forwarding =
            Forwarding::new(bench.now, Ask { hops: 1, refer, parcel, budget_end, ..bench.ask() });
        forwarding.look(&bench.agent, bench.now)
    };
    let named = asked(true, 100, 2000);
    verify_that!(refusal(&named).map(|(reason, _)| reason), some(eq(HopReason::NotHolder)))?;
    verify_that!(matches!(named, ForwardingStep::End(_, Some(host)) if host == holder), eq(true))?;
    let is_passed = |step: ForwardingStep<u64>| matches!(step, ForwardingStep::Pass { .. });
    verify_that!(is_passed(asked(false, 100, 2000)), eq(true))?;
    verify_that!(is_passed(asked(true, 1 << 20, 2000)), eq(true))?;
    verify_that!(is_passed(asked(true, 100, 200)), eq(true))
}

#[gtest]
fn a_door_goes_itself_to_the_holder_it_is_told_and_takes_no_second_such_word() -> Result<()> {
    let holder = far_host("daemon-2", 4);
    let bench = Bench::among(vec![holder.clone(), far_host("daemon-3", 5)]);
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let named = || HopOutcome::NotRun { reason: HopReason::NotHolder, retry_ms: 50 };
    let end = PassEnd::Done(named(), Some(holder.clone()));
    let ForwardingStep::Pass { host, body, .. } = forwarding.passed(&bench.agent, bench.now, end)
    else {
        return fail!("the door does not go there");
    };
    verify_that!(host, eq(&holder))?;
    verify_that!(matches!(body, HopBody::Ask { refer: Flag(false), .. }), eq(true))?;
    let again = forwarding.passed(&bench.agent, bench.now, PassEnd::Done(named(), Some(holder)));
    verify_that!(matches!(again, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn a_wait_foreseen_by_the_hash_owner_reaches_the_door_as_it_is() -> Result<()> {
    let bench = Bench::among(vec![far_host("daemon-2", 4)]);
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let told = HopOutcome::NotRun { reason: HopReason::NoOwner, retry_ms: 1733 };
    let step = forwarding.passed(&bench.agent, bench.now, PassEnd::Done(told, None));
    verify_that!(refusal(&step), some(eq((HopReason::NoOwner, 1733))))
}

#[gtest]
fn what_a_silent_holder_had_goes_on_as_a_repeat_and_is_never_called_not_run() -> Result<()> {
    let holder = far_host("daemon-2", 4);
    let mut bench = Bench::among(vec![holder.clone()]);
    bench.agent.learn_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    let first = forwarding.look(&bench.agent, bench.now);
    verify_that!(matches!(first, ForwardingStep::Pass { .. }), eq(true))?;
    bench.mark_silent(&holder);
    verify_that!(is_valid(&holder, &bench.agent.hosts.load()), eq(false))?;
    let step = forwarding.passed(&bench.agent, bench.now, PassEnd::Lost);
    let ForwardingStep::Wait { wait_until } = step else { return fail!("it does not go on") };
    verify_that!(forwarding.ask().repeat, eq(true))?;
    let asking = forwarding.look(&bench.agent, wait_until);
    verify_that!(matches!(asking, ForwardingStep::Acquire { .. }), eq(true))?;
    let told = Some(AcquireResult::Later { wait_ms: 2300 });
    let step = forwarding.acquired(&bench.agent, wait_until, told);
    let is_unknown = matches!(
        step,
        ForwardingStep::End(HopOutcome::Unknown { reason: HopReason::HolderSilent }, _)
    );
    verify_that!(is_unknown, eq(true))
}

#[gtest]
fn what_may_run_only_once_ends_as_unknown_with_its_silent_holder() -> Result<()> {
    let holder = far_host("daemon-2", 4);
    let mut bench = Bench::among(vec![holder.clone()]);
    bench.hear(once_frame(4));
    bench.renew(4);
    bench.agent.learn_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.ask());
    forwarding.look(&bench.agent, bench.now);
    let step = forwarding.passed(&bench.agent, bench.now, PassEnd::Lost);
    verify_that!(matches!(step, ForwardingStep::End(HopOutcome::Unknown { .. }, _)), eq(true))
}

#[gtest]
fn a_daemon_that_does_not_serve_tells_when_it_may() -> Result<()> {
    let mut bench = Bench::new(Rules::KEPT);
    verify_that!(bench.agent.serves_again_after(), eq(ms(400)))?;
    bench.controller.disconnected(&bench.agent, bench.now);
    verify_that!(bench.agent.serves_again_after(), eq(ms(1000)))
}

fn is_silent<W>(step: &ForwardingStep<W>) -> bool {
    let silent = HopOutcome::Unknown { reason: HopReason::HolderSilent };
    matches!(step, ForwardingStep::End(outcome, _) if *outcome == silent)
}

/// Were daemons on the way to repeat what was lost behind them, a transaction would reach more runners
/// than its route allows: each of them would do so for each pass of the one before.
#[gtest]
fn only_the_callers_daemon_passes_a_lost_transaction_again() -> Result<()> {
    let holder = far_host("daemon-2", 4);
    let bench = Bench::among(vec![holder.clone()]);
    bench.agent.learn_owner(&bench.key("f"), &holder);
    let mut on_the_way = Forwarding::new(bench.now, Ask { hops: 1, refer: false, ..bench.ask() });
    let passing = on_the_way.look(&bench.agent, bench.now);
    verify_that!(matches!(passing, ForwardingStep::Pass { .. }), eq(true))?;
    let step = on_the_way.passed(&bench.agent, bench.now, PassEnd::Lost);
    verify_that!(is_silent(&step), eq(true))?;

    bench.agent.learn_owner(&bench.key("f"), &holder);
    let mut at_the_door = Forwarding::new(bench.now, bench.ask());
    at_the_door.look(&bench.agent, bench.now);
    let told = || PassEnd::Done(HopOutcome::Unknown { reason: HopReason::HolderSilent }, None);
    for _ in 1..3 {
        let step = at_the_door.passed(&bench.agent, bench.now, told());
        verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))?;
        verify_that!(at_the_door.ask().repeat, eq(true))?;
    }
    let step = at_the_door.passed(&bench.agent, bench.now, told());
    verify_that!(is_silent(&step), eq(true))
}

fn granted_frame(correlation: CorrelationId, function: &FunctionKey) -> StreamDown {
    StreamDown::Acquired {
        correlation,
        function: function.clone(),
        result: AcquireResult::Granted {
            grant: LATE_GRANT,
            once_wait_ms: 0,
            steward: Many(Vec::new()),
            prior: Many(Vec::new()),
            adopted: Many(Vec::new()),
        },
    }
}

fn asked_for(orders: &[DaemonOrder<u64>]) -> Option<CorrelationId> {
    orders.iter().find_map(|order| match order {
        DaemonOrder::Say(StreamUp::Acquire { correlation, .. }) => Some(*correlation),
        _ => None,
    })
}

fn gives_back(orders: &[DaemonOrder<u64>]) -> bool {
    orders.iter().any(|order| {
        matches!(order, DaemonOrder::Say(StreamUp::Release { grant, .. }) if *grant == LATE_GRANT)
    })
}

const LATE_GRANT: GrantSerial = GrantSerial(2 << 32 | 1);

/// A daemon that asked for a function, gave everything up as its lease ended, and was renewed after it; with the
/// number of its question.
fn renewed_after_giving_up(rules: Rules) -> (Bench, CorrelationId) {
    let mut bench = Bench::new(rules);
    bench.hear(spec_frame(2, "f"));
    bench.renew_for(2, 600);
    bench.now = bench.now + ms(400);
    let orders = bench.controller.tick(&bench.agent, bench.now);
    let late_renewal = orders.iter().find_map(|order| match order {
        DaemonOrder::Say(StreamUp::Renew { correlation, .. }) => Some(*correlation),
        _ => None,
    });
    bench.list_itself();
    let function = bench.key("f");
    let orders = bench.controller.acquire(&bench.agent, bench.now, function);
    let question = asked_for(&orders).expect("a question");
    bench.now = bench.now + ms(300);
    let orders = bench.controller.tick(&bench.agent, bench.now);
    let has_claimed_nothing = orders.iter().any(|order| {
        matches!(order, DaemonOrder::Say(StreamUp::Claims { claims }) if claims.0.is_empty())
    });
    assert!(has_claimed_nothing);
    let correlation = late_renewal.expect("a renewal");
    bench.hear(StreamDown::Renewed { correlation, length_ms: 2400, serial: Serial(2) });
    assert!(bench.agent.is_serving(bench.now));
    (bench, question)
}

/// What a daemon makes of a grant that answers a question from before its lease ended, after which it had told the
/// leader that it holds nothing: whether it holds the function, and whether it gives it back.
fn granted_after_giving_up(rules: Rules) -> (bool, bool) {
    let (mut bench, question) = renewed_after_giving_up(rules);
    let function = bench.key("f");
    let orders = bench.hear(granted_frame(question, &function));
    (bench.agent.held(&function, LATE_GRANT).is_some(), gives_back(&orders))
}

#[gtest]
fn a_grant_asked_for_before_everything_was_given_up_is_given_back() -> Result<()> {
    verify_that!(granted_after_giving_up(Rules::KEPT), eq((false, true)))?;
    verify_that!(granted_after_giving_up(Rules::without(Rule::OldAnswerVoid)), eq((true, false)))
}

/// The leader names a standing grant again to a question that crossed the word that it was given back.
#[gtest]
fn a_grant_that_was_given_back_is_not_taken_from_a_later_answer() -> Result<()> {
    let (mut bench, question) = renewed_after_giving_up(Rules::KEPT);
    let function = bench.key("f");
    let orders = bench.controller.acquire(&bench.agent, bench.now, function.clone());
    let later_question = asked_for(&orders).expect("a question");
    verify_that!(gives_back(&bench.hear(granted_frame(question, &function))), eq(true))?;
    bench.hear(granted_frame(later_question, &function));
    verify_that!(bench.agent.held(&function, LATE_GRANT).is_none(), eq(true))
}
