//! When the ingress daemon forwards requests under the key of its region.

use crate::daemon_control::{START, function_request, spec_frame_of, welcomed_control};
use crate::host::host;
use crate::{ms, west};
use common::clock::MonotonicTime;
use common::frames::{AcquireResult, DaemonMessage, RequestFailureReason, RequestOutcome};
use common::identity::FunctionKey;
use common::ring::{Regions, hash_owner_in};
use common::rules::Rules;
use dataplane::agent::{Agent, ForwardResult, Forwarding, ForwardingStep, FunctionRequest};
use googletest::prelude::*;
use serde_json::json;

fn regions() -> Regions {
    Regions::new(
        [("here", "west"), ("there", "east")]
            .map(|(zone, region)| (zone.into(), region.into()))
            .into(),
    )
}

/// A serving ingress daemon in the west, with another daemon in the west and one in the east.
struct IngressDaemon {
    agent: Agent<u64>,
    now: MonotonicTime,
}

impl IngressDaemon {
    fn new(identities: &str) -> Self {
        let own_host = host("daemon-1", "here", 7);
        let agent = Agent::new(own_host.clone(), Rules::ALL_ENFORCED).with_regions(regions());
        let mut control = welcomed_control(&agent);
        let spec = json!({
            "functions": {"f": {"memory_mb": 100, "boot_ms": 200, "slots": 2}},
            "routes": {"r": {
                "method": "POST", "path": "/r", "function": "f",
                "budget_ms": 3000, "kind": "repeatable", "identities": identities,
            }},
        });
        control.handle_frame(&agent, START, spec_frame_of(spec, 2));
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
            region: west(),
            ..function_request(&self.agent, self.now, self.key())
        };
        Forwarding::new(self.now, request)
    }

    /// Returns the key under which a request is forwarded now.
    fn requested_key(&self) -> FunctionKey {
        let mut forwarding = self.forwarding();
        forwarding.advance(&self.agent, self.now);
        forwarding.request().function.clone()
    }

    /// Creates a daemon that has received a hint to use the key of its region, and has waited until it may.
    fn with_regional_key(identities: &str) -> Self {
        let mut ingress_daemon = Self::new(identities);
        ingress_daemon.hint(1);
        ingress_daemon.now = ingress_daemon.now + ms(110);
        ingress_daemon
    }

    /// Handles a response from the holder for all regions with the hint to use the regional key after `tenths` of a
    /// second. Returns whether that key has newly become known.
    fn hint(&self, tenths: u8) -> bool {
        self.agent
            .handle_regional_hint(self.now, &self.key(), tenths)
    }

    /// Handles a response from the regional holder with the hint that its key is still to be used, or with 0 that it is
    /// not.
    fn hint_of_regional_holder(&self, tenths: u8) -> bool {
        self.agent
            .handle_regional_hint(self.now, &self.regional_key(), tenths)
    }

    fn verify_requests_regional_key(&self) -> Result<()> {
        verify_that!(self.requested_key(), eq(&self.regional_key()))
            .with_failure_message(|| format!("{:?} after the start", self.now.since(START)))
    }

    fn verify_requests_key_for_all_regions(&self) -> Result<()> {
        verify_that!(self.requested_key(), eq(&self.key()))
            .with_failure_message(|| format!("{:?} after the start", self.now.since(START)))
    }
}

#[gtest]
fn ingress_uses_the_regional_key_while_it_is_in_use() -> Result<()> {
    let mut ingress_daemon = IngressDaemon::new("fresh");
    verify_that!(ingress_daemon.hint(15), eq(true))?;
    verify_that!(ingress_daemon.hint(9), eq(false))?;
    verify_that!(
        ingress_daemon
            .agent
            .regional_keys_wanted(ingress_daemon.now),
        elements_are![eq(&ingress_daemon.regional_key())]
    )?;
    ingress_daemon.verify_requests_key_for_all_regions()?;
    ingress_daemon.now = ingress_daemon.now + ms(1600);
    ingress_daemon.verify_requests_regional_key()?;
    ingress_daemon.now = ingress_daemon.now + ms(8000);
    ingress_daemon.hint_of_regional_holder(1);
    ingress_daemon.now = ingress_daemon.now + ms(8000);
    ingress_daemon.verify_requests_regional_key()?;
    ingress_daemon.now = ingress_daemon.now + ms(3000);
    ingress_daemon.verify_requests_key_for_all_regions()?;
    ingress_daemon.hint(1);
    ingress_daemon.now = ingress_daemon.now + ms(110);
    ingress_daemon.verify_requests_regional_key()?;
    ingress_daemon.hint_of_regional_holder(0);
    ingress_daemon.verify_requests_key_for_all_regions()
}

#[gtest]
fn repeatable_idempotency_keys_stay_with_the_holder_for_all_regions() -> Result<()> {
    let ingress_daemon = IngressDaemon::with_regional_key("may_come_again");
    ingress_daemon.verify_requests_key_for_all_regions()
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
        let mut ingress_daemon = IngressDaemon::with_regional_key("fresh");
        let mut forwarding = ingress_daemon.forwarding();
        forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
        verify_that!(
            &forwarding.request().function,
            eq(&ingress_daemon.regional_key())
        )?;
        let step = forwarding.handle_forward_result(
            &ingress_daemon.agent,
            ingress_daemon.now,
            end.clone(),
        );
        let continues = !matches!(step, ForwardingStep::End(..));
        verify_that!(continues, eq(true)).with_failure_message(|| format!("{end:?}"))?;
        forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
        verify_that!(&forwarding.request().function, eq(&ingress_daemon.key()))?;
        ingress_daemon.now = ingress_daemon.now + backoff - ms(10);
        ingress_daemon.verify_requests_key_for_all_regions()?;
        ingress_daemon.now = ingress_daemon.now + ms(20);
        ingress_daemon.verify_requests_regional_key()?;
    }
    Ok(())
}

#[gtest]
fn a_slow_regional_lease_is_not_waited_for() -> Result<()> {
    let ingress_daemon = IngressDaemon::with_regional_key("fresh");
    let mut forwarding = ingress_daemon.forwarding();
    forwarding.advance(&ingress_daemon.agent, ingress_daemon.now);
    let later = Some(AcquireResult::RetryLater { wait_ms: 1500 });
    let step = forwarding.handle_acquire_result(&ingress_daemon.agent, ingress_daemon.now, later);
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
    ingress_daemon.hint(1);
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
        return fail!("the request is not forwarded");
    };
    verify_that!(region, eq(&west()))
}
