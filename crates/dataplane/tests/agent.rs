//! One daemon's decisions under a clock set by the test: checks before a send, spec versions, immediate rejections.

use common::adapter::{RunnerResponse, SealKind};
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonMessage, DaemonToLeader, Flag, Host, LeaderToDaemon, LengthPrefixed,
    MemberIncarnation, RequestFailureReason, RequestOutcome, RequestPayload, SocketAddress,
};
use common::identity::{
    CorrelationId, FencingToken, FunctionKey, IdempotencyKey, RunnerId, Term, Version,
};
use common::invariants::{self, Invariant};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use common::seal;
use common::spec::{Document, FunctionSpec, RoutingTable, read_spec};
use dataplane::agent::{
    Agent, DaemonControl, DaemonControlOutput, ForwardResult, Forwarding, ForwardingStep,
    FunctionRequest, HeldFunction, HolderRequest, verify_response,
};
use dataplane::control_session::ControlSessionTiming;
use dataplane::failure_detector::HEARTBEAT_INTERVAL;
use dataplane::holder::{Holder, LeaseTerms, SendResult};
use dataplane::owners::is_current_owner;
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host() -> Host {
    Host {
        member: "daemon-1".into(),
        incarnation: 7.into(),
        zone: "here".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

/// A document whose route leads to one of two functions, or that has no route.
fn document(version: u64, function: &str) -> Document {
    document_of(version, function, "repeatable")
}

fn document_of(version: u64, function: &str, kind: &str) -> Document {
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
    document.document_version.version = Version(1);
    let mut document = document.with_spec(spec, &checked_spec, "change".into());
    document.document_version.version = Version(version);
    document
}

fn spec_frame(version: u64, function: &str) -> LeaderToDaemon {
    frame_of(document(version, function))
}

/// A spec in which the route's requests may be run at most once.
fn once_frame(version: u64) -> LeaderToDaemon {
    frame_of(document_of(version, "f", "once"))
}

fn frame_of(document: Document) -> LeaderToDaemon {
    let view = document.view();
    LeaderToDaemon::Spec {
        version: view.version,
        document: view.to_bytes().into(),
    }
}

struct DaemonBench {
    agent: Agent<u64>,
    controller: DaemonControl<u64>,
    now: MonotonicTime,
}

impl DaemonBench {
    /// A daemon whose stream is welcomed.
    fn new(rules: Rules) -> Self {
        let agent = Agent::new(host(), rules);
        let timing = ControlSessionTiming::builder().build();
        let seeds = vec![SocketAddress::UNSPECIFIED; 3];
        let rng = SeededRng::seeded(3);
        let mut controller = DaemonControl::new(
            START,
            &agent,
            timing,
            SocketAddress::UNSPECIFIED,
            seeds,
            rng,
        );
        controller.tick(&agent, START);
        controller.connected(&agent, START);
        controller.received(&agent, START, LeaderToDaemon::Welcome { term: Term(2) });
        Self {
            agent,
            controller,
            now: START,
        }
    }

    fn receive(&mut self, frame: LeaderToDaemon) -> Vec<DaemonControlOutput<u64>> {
        self.controller.received(&self.agent, self.now, frame)
    }

    fn renew(&mut self, version: u64) {
        self.renew_for(version, 2400);
    }

    fn renew_for(&mut self, version: u64, lease_ms: u32) {
        self.now = self.now + ms(400);
        let outputs = self.controller.tick(&self.agent, self.now);
        let correlation = outputs.iter().find_map(|output| match output {
            DaemonControlOutput::SendFrame(DaemonToLeader::Renew { correlation, .. }) => {
                Some(*correlation)
            }
            _ => None,
        });
        let correlation = correlation.expect("a renewal");
        self.receive(LeaderToDaemon::Renewed {
            correlation,
            lease_ms,
            version: Version(version),
        });
    }

    fn list_own_host(&mut self) {
        let hosts = LengthPrefixed(vec![host()]);
        self.receive(LeaderToDaemon::Hosts {
            number: 1,
            hosts,
            suspected: LengthPrefixed(Vec::new()),
        });
    }

    fn key(&self, function: &str) -> FunctionKey {
        let table = self.agent.routing_table();
        let entries = table.functions();
        entries
            .iter()
            .find(|entry| entry.key.name.as_str() == function)
            .expect("one")
            .key
            .clone()
    }

    fn request(&self) -> FunctionRequest {
        FunctionRequest {
            idempotency_key: "t".into(),
            function: self.key("f"),
            route: "r".to_owned(),
            version: self.agent.routing_table().version(),
            deadline: self.now + ms(2000),
            hops: 0,
            repeat: false,
            wants_referral: true,
            region: "".into(),
            payload: Arc::new(RequestPayload::from_body(Vec::new().into())),
        }
    }
}

fn rejection(step: &ForwardingStep<u64>) -> Option<(RequestFailureReason, u32)> {
    match step {
        ForwardingStep::End(
            RequestOutcome::NotRun {
                reason,
                retry_after_ms,
            },
            _,
        ) => Some((*reason, *retry_after_ms)),
        _ => None,
    }
}

fn send_after_spec_change(rules: Rules) -> std::result::Result<(), RequestFailureReason> {
    let mut bench = DaemonBench::new(rules);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    let function = bench.key("f");
    let spec = FunctionSpec {
        connections: 100,
        memory_mb: 100,
        startup: ms(200),
        slots: 2,
        min_runners: 0,
        max_runners: 2,
    };
    let fencing_token = FencingToken(4);
    let once_wait = Duration::ZERO;
    let adopted = Vec::new();
    let terms = LeaseTerms {
        function,
        fencing_token,
        spec,
        once_wait,
        replica: None,
        previous_lease: None,
        adopted,
    };
    let held: Arc<HeldFunction<u64>> = Arc::new(HeldFunction::new(Holder::new(bench.now, terms)));
    bench
        .agent
        .replace_held_functions([(held.function.clone(), held.clone())].into());
    let holder_request = HolderRequest {
        idempotency_key: "t".into(),
        route: "r".to_owned(),
        deadline: bench.now + ms(2000),
        once: false,
        recorded: true,
        max_attempts: 3,
        repeat: false,
        queue_timeout: ms(1000),
        target: ms(1000),
        rank: 0,
        region: None,
        payload: Arc::new(RequestPayload::from_body(Vec::new().into())),
    };
    let runner = RunnerId {
        fencing_token: FencingToken(4),
        ordinal: 5,
    };
    let now = bench.now;
    bench
        .agent
        .runner_attempt(now, &held, &holder_request, runner, 1)
        .expect("allowed before the turn");
    bench.receive(spec_frame(4, "g"));
    bench
        .agent
        .runner_attempt(now, &held, &holder_request, runner, 1)
        .map(|_| ())
}

#[gtest]
fn a_waiting_request_is_checked_against_the_newest_spec_before_it_is_sent() -> Result<()> {
    verify_that!(
        send_after_spec_change(Rules::ALL_ENFORCED),
        err(eq(RequestFailureReason::NotAllowed))
    )?;
    verify_that!(
        send_after_spec_change(Rules::without(Rule::SpecCheckedBeforeSend)),
        ok(anything())
    )
}

#[gtest]
fn an_installed_spec_version_never_decreases() -> Result<()> {
    let version_after = |rules: Rules| {
        let mut bench = DaemonBench::new(rules);
        bench.receive(spec_frame(5, "f"));
        bench.receive(spec_frame(4, "g"));
        bench.agent.routing_table().version()
    };
    verify_that!(version_after(Rules::ALL_ENFORCED), eq(Version(5)))?;
    invariants::collect_on_this_thread();
    verify_that!(
        version_after(Rules::without(Rule::VersionNeverDecreases)),
        eq(Version(4))
    )?;
    let observed: Vec<Invariant> = invariants::take_collected()
        .into_iter()
        .map(|violation| violation.invariant)
        .collect();
    verify_that!(observed, elements_are![eq(&Invariant::SpecNeverOlder)])
}

#[gtest]
fn a_renewal_counts_only_with_the_newest_spec_installed() -> Result<()> {
    let serves = |rules: Rules| {
        let mut bench = DaemonBench::new(rules);
        bench.receive(spec_frame(3, "f"));
        bench.renew(4);
        bench.agent.is_serving(bench.now)
    };
    verify_that!(serves(Rules::ALL_ENFORCED), eq(false))?;
    verify_that!(
        serves(Rules::without(Rule::RenewalNeedsNewestSpec)),
        eq(true)
    )
}

#[gtest]
fn a_daemon_serves_nothing_before_its_first_lease_nor_after_its_last() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    let early = forwarding.advance(&bench.agent, bench.now);
    verify_that!(
        rejection(&early),
        some(eq((RequestFailureReason::NotServing, 400)))
    )?;
    bench.renew(3);
    bench.list_own_host();
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    let acquiring = forwarding.advance(&bench.agent, bench.now);
    verify_that!(
        matches!(acquiring, ForwardingStep::Acquire { .. }),
        eq(true)
    )?;
    let late = forwarding.advance(&bench.agent, bench.now + ms(2400));
    verify_that!(
        rejection(&late).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotServing))
    )
}

#[gtest]
fn a_wait_longer_than_the_timeout_is_rejected_at_once_with_its_end() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_own_host();
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let result = Some(AcquireResult::RetryLater { wait_ms: 2300 });
    let step = forwarding.acquired(&bench.agent, bench.now, result);
    verify_that!(
        rejection(&step),
        some(eq((RequestFailureReason::NoOwner, 2500)))
    )?;
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let result = Some(AcquireResult::RetryLater { wait_ms: 300 });
    let step = forwarding.acquired(&bench.agent, bench.now, result);
    verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn a_declined_request_is_looked_up_again_after_a_backoff() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_own_host();
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    let declined = RequestOutcome::NotRun {
        reason: RequestFailureReason::NotHolder,
        retry_after_ms: 50,
    };
    forwarding.advance(&bench.agent, bench.now);
    let ForwardingStep::Wait { wait_until } = forwarding.served(&bench.agent, bench.now, declined)
    else {
        return fail!("a declined request is not looked up again");
    };
    verify_that!(wait_until, gt(bench.now))?;
    let early_step = forwarding.advance(&bench.agent, bench.now + ms(1));
    verify_that!(matches!(early_step, ForwardingStep::Wait { .. }), eq(true))?;
    let retried = forwarding.advance(&bench.agent, wait_until);
    verify_that!(matches!(retried, ForwardingStep::Acquire { .. }), eq(true))
}

#[gtest]
fn only_the_complete_response_to_this_request_is_accepted() -> Result<()> {
    let idempotency_key = IdempotencyKey::from("t");
    let function = FunctionKey::new("f", Version(2));
    let runner = RunnerId {
        fencing_token: FencingToken(4),
        ordinal: 5,
    };
    let other_runner = RunnerId {
        fencing_token: FencingToken(4),
        ordinal: 6,
    };
    let body = b"whole".to_vec();
    let seal_for = |named: &IdempotencyKey, named_runner: RunnerId, is_rejected: bool| {
        seal::seal(named, &function, named_runner, is_rejected, &body)
    };
    let is_accepted = |rules: Rules,
                       named: &IdempotencyKey,
                       named_runner: RunnerId,
                       given_seal: &str,
                       bytes: &[u8]| {
        let response = RunnerResponse {
            status: 200,
            idempotency_key: named.to_string(),
            function: Some(function.to_string()),
            runner: Some(named_runner.to_string()),
            seal: given_seal.to_owned(),
            seal_kind: SealKind::Digest,
            did_not_run: false,
            is_other_runner: false,
            is_unreliable: false,
            closes_connection: false,
            header_fields: Vec::new(),
            body: bytes.to_vec().into(),
        };
        matches!(
            verify_response(rules, &idempotency_key, &function, runner, response),
            SendResult::Answered(_)
        )
    };
    let other = IdempotencyKey::from("other");
    let right_seal = seal_for(&idempotency_key, runner, false);
    verify_that!(
        is_accepted(
            Rules::ALL_ENFORCED,
            &idempotency_key,
            runner,
            &right_seal,
            &body
        ),
        eq(true)
    )?;
    let cases: Vec<(&IdempotencyKey, RunnerId, String, Vec<u8>)> = vec![
        (
            &idempotency_key,
            runner,
            right_seal.clone(),
            body[..4].to_vec(),
        ),
        (
            &idempotency_key,
            runner,
            right_seal.to_uppercase(),
            body.clone(),
        ),
        (&idempotency_key, runner, String::new(), body.clone()),
        (
            &idempotency_key,
            runner,
            seal_for(&idempotency_key, runner, true),
            body.clone(),
        ),
        (
            &other,
            runner,
            seal_for(&other, runner, false),
            body.clone(),
        ),
        (
            &idempotency_key,
            other_runner,
            seal_for(&idempotency_key, other_runner, false),
            body.clone(),
        ),
    ];
    for (named, named_runner, given_seal, bytes) in &cases {
        verify_that!(
            is_accepted(Rules::ALL_ENFORCED, named, *named_runner, given_seal, bytes),
            eq(false)
        )?;
        let unchecked = Rules::without(Rule::SealChecked);
        verify_that!(
            is_accepted(unchecked, named, *named_runner, given_seal, bytes),
            eq(true)
        )?;
    }
    let without_name_check = Rules::without(Rule::SealBoundToRequest);
    let other_request = &cases[4];
    verify_that!(
        is_accepted(
            without_name_check,
            other_request.0,
            other_request.1,
            &other_request.2,
            &other_request.3
        ),
        eq(true)
    )
}

/// The response of a runner whose seal only the caller can check.
fn response_with_carried_seal(status: u16) -> RunnerResponse {
    RunnerResponse {
        status,
        idempotency_key: "t".to_owned(),
        function: None,
        runner: None,
        seal: "carried".to_owned(),
        seal_kind: SealKind::CheckedByCaller,
        did_not_run: false,
        is_other_runner: false,
        is_unreliable: false,
        closes_connection: false,
        header_fields: Vec::new(),
        body: b"whole".to_vec().into(),
    }
}

#[gtest]
fn a_response_with_a_carried_seal_is_verified_by_its_visible_parts() -> Result<()> {
    let runner = RunnerId {
        fencing_token: FencingToken(4),
        ordinal: 5,
    };
    let function = FunctionKey::new("f", Version(2));
    let other_name = || "other".to_owned();
    let cases: Vec<(&str, RunnerResponse, &str)> = vec![
        (
            "complete and sealed",
            response_with_carried_seal(200),
            "answered",
        ),
        (
            "names itself",
            RunnerResponse {
                runner: Some(runner.to_string()),
                ..response_with_carried_seal(200)
            },
            "answered",
        ),
        (
            "another identity",
            RunnerResponse {
                idempotency_key: other_name(),
                ..response_with_carried_seal(200)
            },
            "lost",
        ),
        (
            "another function",
            RunnerResponse {
                function: Some(other_name()),
                ..response_with_carried_seal(200)
            },
            "lost",
        ),
        (
            "names another",
            RunnerResponse {
                runner: Some(other_name()),
                ..response_with_carried_seal(200)
            },
            "lost",
        ),
        (
            "no seal",
            RunnerResponse {
                seal: String::new(),
                ..response_with_carried_seal(200)
            },
            "lost",
        ),
        (
            "doubtful",
            RunnerResponse {
                is_unreliable: true,
                ..response_with_carried_seal(200)
            },
            "lost",
        ),
        (
            "callers' fault without seal",
            RunnerResponse {
                seal: String::new(),
                ..response_with_carried_seal(404)
            },
            "answered",
        ),
        (
            "did not run",
            RunnerResponse {
                did_not_run: true,
                ..response_with_carried_seal(503)
            },
            "shed",
        ),
        (
            "did not run, of another",
            RunnerResponse {
                did_not_run: true,
                idempotency_key: other_name(),
                ..response_with_carried_seal(503)
            },
            "lost",
        ),
        (
            "is another",
            RunnerResponse {
                is_other_runner: true,
                did_not_run: true,
                ..response_with_carried_seal(421)
            },
            "other runner",
        ),
        (
            "is another, of another",
            RunnerResponse {
                is_other_runner: true,
                idempotency_key: other_name(),
                ..response_with_carried_seal(421)
            },
            "lost",
        ),
        (
            "ran, yet has a status that assures the contrary",
            response_with_carried_seal(503),
            "lost",
        ),
        (
            "ran, yet asks for a retry",
            response_with_carried_seal(429),
            "lost",
        ),
        (
            "its own failure",
            RunnerResponse {
                seal: String::new(),
                ..response_with_carried_seal(500)
            },
            "failed",
        ),
    ];
    for (what, response, expected) in cases {
        let end = verify_response(
            Rules::ALL_ENFORCED,
            &IdempotencyKey::from("t"),
            &function,
            runner,
            response,
        );
        let observed = match end {
            SendResult::Answered(_) => "answered",
            SendResult::Failed(_) => "failed",
            SendResult::RejectedByRunner => "shed",
            SendResult::WrongRunner => "other runner",
            SendResult::Lost => "lost",
            SendResult::Forbidden(_) | SendResult::Unsent => "never",
        };
        verify_that!((what, observed), eq((what, expected)))?;
    }
    Ok(())
}

/// A daemon that has forwarded a request, and whose holder has rejected it by another spec.
fn spec_mismatch() -> (DaemonBench, Forwarding, ForwardingStep<u64>) {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_own_host();
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let rejected = RequestOutcome::NotRun {
        reason: RequestFailureReason::NotAllowed,
        retry_after_ms: 500,
    };
    let step = forwarding.forwarded(
        &bench.agent,
        bench.now,
        ForwardResult::Completed(rejected, None),
    );
    (bench, forwarding, step)
}

#[gtest]
fn ingress_looks_up_again_once_it_has_the_holders_newer_spec() -> Result<()> {
    let (mut bench, mut forwarding, step) = spec_mismatch();
    let ForwardingStep::Wait { wait_until } = step else {
        return fail!("the ingress daemon does not wait");
    };
    verify_that!(wait_until, eq(bench.now + ms(300)))?;
    let unchanged = forwarding.advance(&bench.agent, bench.now + ms(100));
    verify_that!(matches!(unchanged, ForwardingStep::Wait { .. }), eq(true))?;
    bench.receive(spec_frame(4, "g"));
    let changed = forwarding.advance(&bench.agent, bench.now + ms(110));
    verify_that!(matches!(changed, ForwardingStep::Acquire { .. }), eq(true))?;
    verify_that!(forwarding.request().function.clone(), eq(&bench.key("g")))?;
    verify_that!(forwarding.request().version, eq(Version(4)))
}

#[gtest]
fn a_lasting_spec_mismatch_is_rejected_with_a_short_retry_after() -> Result<()> {
    let (bench, mut forwarding, _) = spec_mismatch();
    let late = forwarding.advance(&bench.agent, bench.now + ms(300));
    verify_that!(
        rejection(&late),
        some(eq((RequestFailureReason::NotAllowed, 200)))
    )
}

#[gtest]
fn daemon_control_is_idle_until_something_is_due() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    bench.receive(spec_frame(3, "f"));
    bench.renew(3);
    bench.list_own_host();
    bench.controller.tick(&bench.agent, bench.now);
    let due = bench.controller.next_due(&bench.agent);
    verify_that!(due, eq(bench.now + HEARTBEAT_INTERVAL))?;
    bench.controller.tick(&bench.agent, due);
    verify_that!(bench.controller.next_due(&bench.agent), gt(due))
}

#[gtest]
fn a_caller_that_hangs_up_leaves_nothing_in_flight() -> Result<()> {
    let agent: Agent<u64> = Agent::new(host(), Rules::ALL_ENFORCED);
    let held = agent.track_in_flight();
    let abandoned = agent.track_in_flight();
    verify_that!(agent.is_drained(), eq(false))?;
    drop(abandoned);
    verify_that!(agent.is_drained(), eq(false))?;
    drop(held);
    verify_that!(agent.is_drained(), eq(true))
}

#[gtest]
fn a_new_agent_is_not_ready() -> Result<()> {
    let agent: Arc<Agent<u64>> = Arc::new(Agent::new(host(), Rules::ALL_ENFORCED));
    verify_that!(agent.is_ready(START), eq(false))?;
    verify_that!(
        agent.routing_table().version(),
        eq(RoutingTable::empty().version())
    )
}

/// A daemon in another zone.
fn remote_host(name: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: "elsewhere".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

impl DaemonBench {
    /// A serving daemon, with other daemons on its host list.
    fn serving_with(others: Vec<Host>) -> Self {
        let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
        bench.receive(spec_frame(3, "f"));
        bench.renew(3);
        let hosts = LengthPrefixed([vec![host()], others].concat());
        bench.receive(LeaderToDaemon::Hosts {
            number: 1,
            hosts,
            suspected: LengthPrefixed(Vec::new()),
        });
        bench
    }

    fn mark_suspected(&mut self, lost_host: &Host) {
        let instance = MemberIncarnation {
            member: lost_host.member.clone(),
            incarnation: lost_host.incarnation,
        };
        let suspected = LengthPrefixed(vec![instance]);
        let (put, removed) = (LengthPrefixed(Vec::new()), LengthPrefixed(Vec::new()));
        self.receive(LeaderToDaemon::HostsDelta {
            number: 2,
            put,
            removed,
            suspected,
        });
    }
}

#[gtest]
fn a_hash_owner_refers_to_a_holder_in_another_zone_and_forwards_what_cannot_be_referred()
-> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let step_for = |wants_referral: bool, body: usize, time_limit_ms: u64| {
        let payload = Arc::new(RequestPayload::from_body(vec![0; body].into()));
        let deadline = bench.now + ms(time_limit_ms);
        let mut forwarding = Forwarding::new(
            bench.now,
            FunctionRequest {
                hops: 1,
                wants_referral,
                payload,
                deadline,
                ..bench.request()
            },
        );
        forwarding.advance(&bench.agent, bench.now)
    };
    let named = step_for(true, 100, 2000);
    verify_that!(
        rejection(&named).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotHolder))
    )?;
    verify_that!(
        matches!(named, ForwardingStep::End(_, Some(host)) if host == holder),
        eq(true)
    )?;
    let is_forwarded = |step: ForwardingStep<u64>| matches!(step, ForwardingStep::Forward { .. });
    verify_that!(is_forwarded(step_for(false, 100, 2000)), eq(true))?;
    verify_that!(is_forwarded(step_for(true, 1 << 20, 2000)), eq(true))?;
    verify_that!(is_forwarded(step_for(true, 100, 200)), eq(true))
}

#[gtest]
fn ingress_follows_one_referral_and_no_second() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone(), remote_host("daemon-3", 5)]);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let named = || RequestOutcome::NotRun {
        reason: RequestFailureReason::NotHolder,
        retry_after_ms: 50,
    };
    let end = ForwardResult::Completed(named(), Some(holder.clone()));
    let ForwardingStep::Forward { host, body, .. } =
        forwarding.forwarded(&bench.agent, bench.now, end)
    else {
        return fail!("the ingress daemon does not follow the referral");
    };
    verify_that!(host, eq(&holder))?;
    verify_that!(
        matches!(
            body,
            DaemonMessage::FunctionRequest {
                wants_referral: Flag(false),
                ..
            }
        ),
        eq(true)
    )?;
    let retried = forwarding.forwarded(
        &bench.agent,
        bench.now,
        ForwardResult::Completed(named(), Some(holder)),
    );
    verify_that!(matches!(retried, ForwardingStep::Wait { .. }), eq(true))
}

#[gtest]
fn the_hash_owners_retry_after_reaches_ingress_unchanged() -> Result<()> {
    let bench = DaemonBench::serving_with(vec![remote_host("daemon-2", 4)]);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let result = RequestOutcome::NotRun {
        reason: RequestFailureReason::NoOwner,
        retry_after_ms: 1733,
    };
    let step = forwarding.forwarded(
        &bench.agent,
        bench.now,
        ForwardResult::Completed(result, None),
    );
    verify_that!(
        rejection(&step),
        some(eq((RequestFailureReason::NoOwner, 1733)))
    )
}

#[gtest]
fn a_request_lost_with_its_holder_is_retried_and_never_reported_not_run() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let mut bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    let first = forwarding.advance(&bench.agent, bench.now);
    verify_that!(matches!(first, ForwardingStep::Forward { .. }), eq(true))?;
    bench.mark_suspected(&holder);
    verify_that!(
        is_current_owner(&holder, &bench.agent.live_hosts()),
        eq(false)
    )?;
    let step = forwarding.forwarded(&bench.agent, bench.now, ForwardResult::Lost);
    let ForwardingStep::Wait { wait_until } = step else {
        return fail!("it does not go on");
    };
    verify_that!(forwarding.request().repeat, eq(true))?;
    let acquiring = forwarding.advance(&bench.agent, wait_until);
    verify_that!(
        matches!(acquiring, ForwardingStep::Acquire { .. }),
        eq(true)
    )?;
    let result = Some(AcquireResult::RetryLater { wait_ms: 2300 });
    let step = forwarding.acquired(&bench.agent, wait_until, result);
    let is_unknown = matches!(
        step,
        ForwardingStep::End(
            RequestOutcome::Unknown {
                reason: RequestFailureReason::HolderUnreachable
            },
            _
        )
    );
    verify_that!(is_unknown, eq(true))
}

#[gtest]
fn an_at_most_once_request_lost_with_its_holder_ends_as_unknown() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let mut bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.receive(once_frame(4));
    bench.renew(4);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, bench.request());
    forwarding.advance(&bench.agent, bench.now);
    let step = forwarding.forwarded(&bench.agent, bench.now, ForwardResult::Lost);
    verify_that!(
        matches!(step, ForwardingStep::End(RequestOutcome::Unknown { .. }, _)),
        eq(true)
    )
}

#[gtest]
fn a_daemon_that_does_not_serve_gives_a_retry_after() -> Result<()> {
    let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
    verify_that!(bench.agent.not_serving_retry_after(), eq(ms(400)))?;
    bench.controller.disconnected(&bench.agent, bench.now);
    verify_that!(bench.agent.not_serving_retry_after(), eq(ms(1000)))
}

fn is_holder_unreachable<W>(step: &ForwardingStep<W>) -> bool {
    let suspected = RequestOutcome::Unknown {
        reason: RequestFailureReason::HolderUnreachable,
    };
    matches!(step, ForwardingStep::End(outcome, _) if *outcome == suspected)
}

/// If the daemons on the way retried what was lost behind them, a request would reach more runners than its route allows:
/// each would multiply the attempts of the one before.
#[gtest]
fn only_the_ingress_daemon_retries_a_lost_request() -> Result<()> {
    let holder = remote_host("daemon-2", 4);
    let bench = DaemonBench::serving_with(vec![holder.clone()]);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut intermediate = Forwarding::new(
        bench.now,
        FunctionRequest {
            hops: 1,
            wants_referral: false,
            ..bench.request()
        },
    );
    let forwarding_step = intermediate.advance(&bench.agent, bench.now);
    verify_that!(
        matches!(forwarding_step, ForwardingStep::Forward { .. }),
        eq(true)
    )?;
    let step = intermediate.forwarded(&bench.agent, bench.now, ForwardResult::Lost);
    verify_that!(is_holder_unreachable(&step), eq(true))?;

    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut at_ingress = Forwarding::new(bench.now, bench.request());
    at_ingress.advance(&bench.agent, bench.now);
    let result = || {
        ForwardResult::Completed(
            RequestOutcome::Unknown {
                reason: RequestFailureReason::HolderUnreachable,
            },
            None,
        )
    };
    for _ in 1..3 {
        let step = at_ingress.forwarded(&bench.agent, bench.now, result());
        verify_that!(matches!(step, ForwardingStep::Wait { .. }), eq(true))?;
        verify_that!(at_ingress.request().repeat, eq(true))?;
    }
    let step = at_ingress.forwarded(&bench.agent, bench.now, result());
    verify_that!(is_holder_unreachable(&step), eq(true))
}

fn granted_frame(correlation: CorrelationId, function: &FunctionKey) -> LeaderToDaemon {
    LeaderToDaemon::Acquired {
        correlation,
        function: function.clone(),
        result: AcquireResult::Granted {
            fencing_token: LATE_LEASE,
            once_wait_ms: 0,
            replica: LengthPrefixed(Vec::new()),
            previous_lease: LengthPrefixed(Vec::new()),
            adopted: LengthPrefixed(Vec::new()),
        },
    }
}

fn acquire_correlation(outputs: &[DaemonControlOutput<u64>]) -> Option<CorrelationId> {
    outputs.iter().find_map(|output| match output {
        DaemonControlOutput::SendFrame(DaemonToLeader::Acquire { correlation, .. }) => {
            Some(*correlation)
        }
        _ => None,
    })
}

fn releases_lease(outputs: &[DaemonControlOutput<u64>]) -> bool {
    outputs.iter().any(|output| {
        matches!(output, DaemonControlOutput::SendFrame(DaemonToLeader::Release { fencing_token, .. }) if *fencing_token == LATE_LEASE)
    })
}

const LATE_LEASE: FencingToken = FencingToken(2 << 32 | 1);

/// A daemon that requested a function, released everything as its lease ended, and has a new lease; with the correlation
/// id of its request.
fn renewed_after_release(rules: Rules) -> (DaemonBench, CorrelationId) {
    let mut bench = DaemonBench::new(rules);
    bench.receive(spec_frame(2, "f"));
    bench.renew_for(2, 600);
    bench.now = bench.now + ms(400);
    let outputs = bench.controller.tick(&bench.agent, bench.now);
    let late_renewal = outputs.iter().find_map(|output| match output {
        DaemonControlOutput::SendFrame(DaemonToLeader::Renew { correlation, .. }) => {
            Some(*correlation)
        }
        _ => None,
    });
    bench.list_own_host();
    let function = bench.key("f");
    let outputs = bench.controller.acquire(&bench.agent, bench.now, function);
    let acquire_request = acquire_correlation(&outputs).expect("an acquisition");
    bench.now = bench.now + ms(300);
    let outputs = bench.controller.tick(&bench.agent, bench.now);
    let has_claimed_nothing = outputs.iter().any(|output| {
        matches!(output, DaemonControlOutput::SendFrame(DaemonToLeader::Claims { claims }) if claims.0.is_empty())
    });
    assert!(has_claimed_nothing);
    let correlation = late_renewal.expect("a renewal");
    bench.receive(LeaderToDaemon::Renewed {
        correlation,
        lease_ms: 2400,
        version: Version(2),
    });
    assert!(bench.agent.is_serving(bench.now));
    (bench, acquire_request)
}

/// How a daemon handles a function lease that was requested before its session lease ended, after which it had claimed
/// no function: whether it holds the function, and whether it releases it.
fn leased_after_release(rules: Rules) -> (bool, bool) {
    let (mut bench, acquire_request) = renewed_after_release(rules);
    let function = bench.key("f");
    let outputs = bench.receive(granted_frame(acquire_request, &function));
    (
        bench.agent.held(&function, LATE_LEASE).is_some(),
        releases_lease(&outputs),
    )
}

#[gtest]
fn a_lease_requested_before_everything_was_released_is_released() -> Result<()> {
    verify_that!(leased_after_release(Rules::ALL_ENFORCED), eq((false, true)))?;
    verify_that!(
        leased_after_release(Rules::without(Rule::StaleLeaseReturned)),
        eq((true, false))
    )
}

/// The leader grants a lease again in response to a request that crossed the lease's release.
#[gtest]
fn a_released_lease_is_not_accepted_from_a_later_answer() -> Result<()> {
    let (mut bench, acquire_request) = renewed_after_release(Rules::ALL_ENFORCED);
    let function = bench.key("f");
    let outputs = bench
        .controller
        .acquire(&bench.agent, bench.now, function.clone());
    let later_acquire_request = acquire_correlation(&outputs).expect("an acquisition");
    verify_that!(
        releases_lease(&bench.receive(granted_frame(acquire_request, &function))),
        eq(true)
    )?;
    bench.receive(granted_frame(later_acquire_request, &function));
    verify_that!(bench.agent.held(&function, LATE_LEASE).is_none(), eq(true))
}
