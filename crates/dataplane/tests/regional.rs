//! Regional keys: a region whose callers keep a runner of their own busy is served under a key of its own, and falls back
//! to the holder for all regions if that cannot serve.

use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonMessage, Flag, Host, Instance, LeaderToDaemon, LengthPrefixed,
    RequestFailureReason, RequestOutcome, RequestPayload, ReserveResult, SocketAddress,
};
use common::identity::{FencingToken, FunctionKey, Region, RunnerId, Term, Ticket, Version};
use common::ring::{Regions, hash_owner_in};
use common::rng::SeededRng;
use common::rules::Rules;
use common::spec::{Document, FunctionSpec, read_spec};
use dataplane::agent::{
    Agent, DaemonControl, ForwardResult, Forwarding, ForwardingStep, FunctionRequest,
};
use dataplane::control_session::ControlSessionTiming;
use dataplane::holder::{
    AdmissionRequest, Holder, HolderMessage, HolderOutput, LeaseTerms, SendResult,
};
use googletest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);
const STARTUP: Duration = Duration::from_millis(400);
const SLOTS: u32 = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn all_regions() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

fn west() -> Region {
    Region::from("west")
}

/// A holder whose runners become ready when the test has them do so, and take 100 ms per request.
struct HolderBench {
    holder: Holder,
    now: MonotonicTime,
    running_requests: Vec<(MonotonicTime, Ticket, RunnerId)>,
    starting: Vec<RunnerId>,
    next_number: u64,
}

impl HolderBench {
    fn new(function: FunctionKey) -> Self {
        let spec = FunctionSpec {
            connections: 100,
            memory_mb: 100,
            startup: STARTUP,
            slots: SLOTS,
            min_runners: 0,
            max_runners: 8,
        };
        let terms = LeaseTerms {
            function,
            fencing_token: FencingToken(1),
            spec,
            once_wait: Duration::ZERO,
            replica: None,
            previous_lease: None,
            adopted: Vec::new(),
        };
        let holder = Holder::new(START, terms);
        let mut held = Self {
            holder,
            now: START,
            running_requests: Vec::new(),
            starting: Vec::new(),
            next_number: 0,
        };
        let outputs = held.holder.start(START);
        held.take(outputs);
        held
    }

    fn take(&mut self, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match output {
                HolderOutput::Report(HolderMessage::Reserve) => {
                    self.next_number += 1;
                    let runner = RunnerId {
                        fencing_token: FencingToken(1),
                        ordinal: self.next_number,
                    };
                    let result = ReserveResult::Reserved {
                        runner,
                        worker: "w".into(),
                        memory_mb: 100,
                    };
                    let outputs = self.holder.reserved(self.now, &result);
                    self.take(outputs);
                }
                HolderOutput::Start { runner, .. } => {
                    self.starting.push(runner);
                    let instance = Instance {
                        name: format!("{runner}").into(),
                        address: SocketAddress::UNSPECIFIED,
                    };
                    let outputs =
                        self.holder
                            .started(self.now, runner, StartOutcome::Started(instance));
                    self.take(outputs);
                }
                HolderOutput::Send { ticket, runner, .. } => {
                    self.running_requests
                        .push((self.now + ms(100), ticket, runner));
                }
                _ => {}
            }
        }
    }

    fn finish_startups(&mut self) {
        for runner in std::mem::take(&mut self.starting) {
            let outputs = self.holder.probed(self.now, runner, true);
            self.take(outputs);
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + ms(10);
            let due: Vec<_> = self
                .running_requests
                .extract_if(.., |(at, _, _)| *at <= self.now)
                .collect();
            for (_, ticket, runner) in due {
                let outcome = answer(runner);
                let outputs =
                    self.holder
                        .handle_send_result(self.now, ticket, SendResult::Answered(outcome));
                self.take(outputs);
            }
            let outputs = self.holder.tick(self.now);
            self.take(outputs);
        }
    }

    fn enter_request(&mut self, region: Option<Region>, recorded: bool) -> Option<RequestOutcome> {
        self.next_number += 1;
        let request = AdmissionRequest {
            ticket: Ticket(self.next_number),
            idempotency_key: format!("t{}", self.next_number).as_str().into(),
            once: false,
            recorded,
            max_attempts: 2,
            repeat: false,
            deadline: self.now + ms(3000),
            queue_timeout: ms(3000),
            target: ms(1000),
            rank: 0,
            region,
        };
        let (at_once, outputs) = self.holder.admit(self.now, request);
        self.take(outputs);
        at_once
    }

    /// Requests from the west at a constant rate, for `span`.
    fn enter_requests_from_west(&mut self, per_second: u64, span: Duration, recorded: bool) {
        let interval = ms(1000 / per_second);
        let end = self.now + span;
        while self.now < end {
            self.enter_request(Some(west()), recorded);
            self.run_for(interval);
            self.finish_startups();
        }
    }
}

fn answer(runner: RunnerId) -> RequestOutcome {
    RequestOutcome::Response {
        header_fields: LengthPrefixed(Vec::new()),
        status: 200,
        seal: Vec::new().into(),
        runner,
        body: Vec::new().into(),
    }
}

#[gtest]
fn a_region_gets_its_own_key_when_its_callers_load_a_runner_enough() -> Result<()> {
    for (per_second, is_regional_key_used) in [(20, true), (4, false)] {
        let mut held = HolderBench::new(all_regions());
        held.enter_requests_from_west(per_second, ms(1000), false);
        verify_that!(held.holder.regional_use_delay(held.now, &west()), none())?;
        held.enter_requests_from_west(per_second, ms(3000), false);
        let after = held.holder.regional_use_delay(held.now, &west());
        verify_that!(after.is_some(), eq(is_regional_key_used))?;
        verify_that!(
            held.holder
                .regional_use_delay(held.now, &Region::from("north")),
            none()
        )?;
        if let Some(after) = after {
            verify_that!(after, all![ge(STARTUP), le(STARTUP * 2 + ms(500))])?;
            held.enter_requests_from_west(per_second, after, false);
            verify_that!(
                held.holder.regional_use_delay(held.now, &west()),
                some(eq(Duration::ZERO))
            )?;
        }
    }
    Ok(())
}

#[gtest]
fn a_regional_key_is_retained_for_seconds_and_dropped_without_callers() -> Result<()> {
    let mut held = HolderBench::new(all_regions());
    held.enter_requests_from_west(20, ms(4000), false);
    verify_that!(
        held.holder.regional_use_delay(held.now, &west()),
        some(anything())
    )?;
    held.run_for(ms(4000));
    verify_that!(
        held.holder.regional_use_delay(held.now, &west()),
        some(anything())
    )?;
    held.run_for(ms(8000));
    verify_that!(held.holder.regional_use_delay(held.now, &west()), none())
}

#[gtest]
fn a_function_with_repeatable_idempotency_keys_is_served_by_one_holder() -> Result<()> {
    let mut held = HolderBench::new(all_regions());
    held.enter_requests_from_west(20, ms(4000), true);
    verify_that!(held.holder.regional_use_delay(held.now, &west()), none())
}

#[gtest]
fn a_regional_holder_rejects_until_a_runner_is_ready() -> Result<()> {
    let mut held = HolderBench::new(all_regions().in_region(&west()));
    let rejected = held.enter_request(None, false);
    let is_rejected_without_runner = matches!(
        rejected,
        Some(RequestOutcome::NotRun {
            reason: RequestFailureReason::NoRunnerAvailable,
            ..
        })
    );
    verify_that!(is_rejected_without_runner, eq(true))?;
    verify_that!(held.starting.len(), eq(1))?;
    held.finish_startups();
    verify_that!(held.enter_request(None, false), none())
}

#[gtest]
fn a_regional_holder_reports_when_its_key_is_no_longer_needed() -> Result<()> {
    let mut held = HolderBench::new(all_regions().in_region(&west()));
    held.finish_startups();
    verify_that!(
        held.holder.regional_use_delay(held.now, &west()),
        some(eq(Duration::ZERO))
    )?;
    held.run_for(ms(6000));
    verify_that!(held.holder.regional_use_delay(held.now, &west()), none())
}

fn host(name: &str, zone: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: zone.into(),
        address: SocketAddress::UNSPECIFIED,
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

/// A serving caller's daemon in the west, with another daemon there and one in the east.
struct IngressDaemon {
    agent: Agent<u64>,
    now: MonotonicTime,
}

impl IngressDaemon {
    fn new(identities: &str) -> Self {
        let own_host = host("daemon-1", "here", 7);
        let agent = Agent::new(own_host.clone(), Rules::ALL_ENFORCED).with_regions(regions());
        let timing = ControlSessionTiming::builder().build();
        let seeds = vec![SocketAddress::UNSPECIFIED; 3];
        let mut control = DaemonControl::new(
            START,
            &agent,
            timing,
            SocketAddress::UNSPECIFIED,
            seeds,
            SeededRng::seeded(3),
        );
        control.tick(&agent, START);
        control.connected(&agent, START);
        control.received(&agent, START, LeaderToDaemon::Welcome { term: Term(2) });
        let spec = json!({
            "functions": {"f": {"memory_mb": 100, "boot_ms": 200, "slots": 2}},
            "routes": {"r": {
                "method": "POST", "path": "/r", "function": "f",
                "budget_ms": 3000, "kind": "repeatable", "identities": identities,
            }},
        });
        let checked_spec = read_spec(&spec).expect("a spec");
        let mut document = Document::founding(Vec::new());
        document.document_version.version = Version(1);
        let mut document = document.with_spec(spec, &checked_spec, "change".into());
        document.document_version.version = Version(2);
        let view = document.view();
        let frame = LeaderToDaemon::Spec {
            version: view.version,
            document: view.to_bytes().into(),
        };
        control.received(&agent, START, frame);
        let all_hosts = vec![
            own_host,
            host("daemon-2", "here", 4),
            host("daemon-3", "there", 5),
        ];
        agent.set_live_hosts(all_hosts);
        agent.set_session_lease_end(START + ms(60_000));
        Self { agent, now: START }
    }

    fn key(&self) -> FunctionKey {
        self.agent.routing_table().functions()[0].key.clone()
    }

    fn regional_key(&self) -> FunctionKey {
        self.key().in_region(&west())
    }

    fn forwarding(&self) -> Forwarding {
        let request = FunctionRequest {
            idempotency_key: "t".into(),
            function: self.key(),
            route: "r".to_owned(),
            version: self.agent.routing_table().version(),
            deadline: self.now + ms(2000),
            hops: 0,
            repeat: false,
            wants_referral: true,
            region: west(),
            payload: Arc::new(RequestPayload::from_body(Vec::new().into())),
        };
        Forwarding::new(self.now, request)
    }

    /// The key under which a request is forwarded now.
    fn requested_key(&self) -> FunctionKey {
        let mut forwarding = self.forwarding();
        forwarding.advance(&self.agent, self.now);
        forwarding.request().function.clone()
    }
}

#[gtest]
fn ingress_uses_the_regional_key_while_it_is_in_use() -> Result<()> {
    let mut ingress_daemon = IngressDaemon::new("fresh");
    verify_that!(
        ingress_daemon
            .agent
            .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 15),
        eq(true)
    )?;
    verify_that!(
        ingress_daemon
            .agent
            .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 9),
        eq(false)
    )?;
    verify_that!(
        ingress_daemon
            .agent
            .regional_keys_wanted(ingress_daemon.now),
        elements_are![eq(&ingress_daemon.regional_key())]
    )?;
    verify_that!(ingress_daemon.requested_key(), eq(&ingress_daemon.key()))?;
    ingress_daemon.now = ingress_daemon.now + ms(1600);
    verify_that!(
        ingress_daemon.requested_key(),
        eq(&ingress_daemon.regional_key())
    )?;
    ingress_daemon.now = ingress_daemon.now + ms(8000);
    ingress_daemon.agent.handle_regional_hint(
        ingress_daemon.now,
        &ingress_daemon.regional_key(),
        1,
    );
    ingress_daemon.now = ingress_daemon.now + ms(8000);
    verify_that!(
        ingress_daemon.requested_key(),
        eq(&ingress_daemon.regional_key())
    )?;
    ingress_daemon.now = ingress_daemon.now + ms(3000);
    verify_that!(ingress_daemon.requested_key(), eq(&ingress_daemon.key()))?;
    ingress_daemon
        .agent
        .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 1);
    ingress_daemon.now = ingress_daemon.now + ms(110);
    verify_that!(
        ingress_daemon.requested_key(),
        eq(&ingress_daemon.regional_key())
    )?;
    ingress_daemon.agent.handle_regional_hint(
        ingress_daemon.now,
        &ingress_daemon.regional_key(),
        0,
    );
    verify_that!(ingress_daemon.requested_key(), eq(&ingress_daemon.key()))
}

#[gtest]
fn repeatable_idempotency_keys_stay_with_the_holder_for_all_regions() -> Result<()> {
    let mut ingress_daemon = IngressDaemon::new("may_come_again");
    ingress_daemon
        .agent
        .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 1);
    ingress_daemon.now = ingress_daemon.now + ms(110);
    verify_that!(ingress_daemon.requested_key(), eq(&ingress_daemon.key()))
}

#[gtest]
fn requests_a_regional_holder_cannot_serve_fall_back_to_the_holder_for_all_regions() -> Result<()> {
    let rejected = |reason| {
        ForwardResult::Completed(
            RequestOutcome::NotRun {
                reason,
                retry_after_ms: 100,
            },
            None,
        )
    };
    let ends = [
        (rejected(RequestFailureReason::NoRunnerAvailable), ms(300)),
        (rejected(RequestFailureReason::NoOwner), ms(3000)),
        (rejected(RequestFailureReason::NotServing), ms(3000)),
        (ForwardResult::Unsent, ms(3000)),
        (ForwardResult::Lost, ms(3000)),
    ];
    for (end, backoff) in ends {
        let mut ingress_daemon = IngressDaemon::new("fresh");
        ingress_daemon
            .agent
            .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 1);
        ingress_daemon.now = ingress_daemon.now + ms(110);
        let mut forwarding = ingress_daemon.forwarding();
        forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
        verify_that!(
            &forwarding.request().function,
            eq(&ingress_daemon.regional_key())
        )?;
        let step = forwarding.forwarded(&ingress_daemon.agent, ingress_daemon.now, end.clone());
        let continues = !matches!(step, ForwardingStep::End(..));
        verify_that!(continues, eq(true)).with_failure_message(|| format!("{end:?}"))?;
        forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
        verify_that!(&forwarding.request().function, eq(&ingress_daemon.key()))?;
        ingress_daemon.now = ingress_daemon.now + backoff - ms(10);
        verify_that!(ingress_daemon.requested_key(), eq(&ingress_daemon.key()))?;
        ingress_daemon.now = ingress_daemon.now + ms(20);
        verify_that!(
            ingress_daemon.requested_key(),
            eq(&ingress_daemon.regional_key())
        )?;
    }
    Ok(())
}

#[gtest]
fn a_slow_regional_lease_is_not_waited_for() -> Result<()> {
    let mut ingress_daemon = IngressDaemon::new("fresh");
    ingress_daemon
        .agent
        .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 1);
    ingress_daemon.now = ingress_daemon.now + ms(110);
    let mut forwarding = ingress_daemon.forwarding();
    forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
    let later = Some(AcquireResult::RetryLater { wait_ms: 1500 });
    let step = forwarding.acquired(&ingress_daemon.agent, ingress_daemon.now, later);
    verify_that!(&forwarding.request().function, eq(&ingress_daemon.key()))?;
    verify_that!(matches!(step, ForwardingStep::End(..)), eq(false))
}

#[gtest]
fn a_region_without_eligible_hosts_is_served_by_other_regions() -> Result<()> {
    let mut ingress_daemon = IngressDaemon::new("fresh");
    let remote_host = host("daemon-3", "there", 5);
    ingress_daemon
        .agent
        .set_live_hosts(vec![remote_host.clone()]);
    ingress_daemon
        .agent
        .handle_regional_hint(ingress_daemon.now, &ingress_daemon.key(), 1);
    ingress_daemon.now = ingress_daemon.now + ms(110);
    let mut forwarding = ingress_daemon.forwarding();
    let step = forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
    let is_sent_to_other_region = matches!(step, ForwardingStep::Forward { host, body: DaemonMessage::FunctionRequest { .. }, .. } if host == remote_host);
    verify_that!(is_sent_to_other_region, eq(true))
}

#[gtest]
fn the_region_of_the_ingress_daemon_is_forwarded() -> Result<()> {
    let ingress_daemon = IngressDaemon::new("fresh");
    let hosts = ingress_daemon.agent.live_hosts();
    let owner = hash_owner_in(&ingress_daemon.key(), hosts.iter(), &regions()).expect("an owner");
    if owner.member == ingress_daemon.agent.own_host.member {
        return Ok(());
    }
    let step = ingress_daemon
        .forwarding()
        .advance(&ingress_daemon.agent, ingress_daemon.now);
    let ForwardingStep::Forward {
        body: DaemonMessage::FunctionRequest { region, .. },
        ..
    } = step
    else {
        return fail!("it is not passed on");
    };
    verify_that!(region, eq(&west()))
}
