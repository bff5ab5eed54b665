//! Route names that a newer spec gives to other routes while a request is on its way (review/7, ROUTE, and review/6,
//! TWICE): a request keeps its host, path and method, and is served by whatever route matches these.

use crate::bench::{DaemonBench, completed, ms, not_run, rejection, remote_host};
use crate::daemon_control::{payload_to, request_on, spec_frame_of};
use crate::lease::{function_spec, lease_terms};
use common::frames::{
    DaemonMessage, HeaderField, LengthPrefixed, RequestFailureReason, RequestOutcome,
    RequestPayload,
};
use common::identity::{FencingToken, RunnerId, Version};
use common::rules::{Rule, Rules};
use dataplane::agent::{
    AttemptLimits, ForwardResult, Forwarding, ForwardingStep, FunctionRequest, HeldFunction,
    HolderRequest,
};
use dataplane::holder::Holder;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::sync::Arc;

const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(4),
    ordinal: 5,
};

/// A route to one of the functions `f` and `g`.
#[derive(Clone, Copy)]
struct TestRoute {
    name: &'static str,
    host: &'static str,
    prefix: &'static str,
    function: &'static str,
    kind: &'static str,
}

const ONCE_TO_F: TestRoute = TestRoute {
    name: "r-1",
    host: "h",
    prefix: "/f/",
    function: "f",
    kind: "once",
};
const REPEATABLE_TO_G: TestRoute = TestRoute {
    name: "r-2",
    host: "h",
    prefix: "/g/",
    function: "g",
    kind: "repeatable",
};

impl TestRoute {
    fn named(self, name: &'static str) -> Self {
        Self { name, ..self }
    }

    fn to(self, function: &'static str) -> Self {
        Self { function, ..self }
    }
}

fn spec(routes: &[TestRoute]) -> Value {
    let named_routes: serde_json::Map<String, Value> = routes
        .iter()
        .map(|route| {
            let fields = json!({
                "host": route.host, "prefix": route.prefix, "function": route.function,
                "budget_ms": 3000, "kind": route.kind, "identities": "fresh", "tries": 3,
            });
            (route.name.to_owned(), fields)
        })
        .collect();
    json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
        },
        "routes": named_routes,
    })
}

fn payload(host: &str, path: &str) -> Arc<RequestPayload> {
    Arc::new(RequestPayload {
        header_fields: LengthPrefixed(vec![HeaderField {
            name: "host".into(),
            value: host.as_bytes().to_vec().into(),
        }]),
        ..(*payload_to(path)).clone()
    })
}

/// Installs a version with these routes.
fn install(bench: &mut DaemonBench, version: u64, routes: &[TestRoute]) {
    bench.receive(spec_frame_of(spec(routes), version));
    bench.renew(version);
}

/// Creates a serving daemon with these rules and another daemon on its host list, in which `/f/` is the once-only route
/// `r-1` to `f`, and `/g/` the repeatable route `r-2` to `g`.
fn bench_with(rules: Rules) -> DaemonBench {
    let mut bench = DaemonBench::new(rules);
    install(&mut bench, 3, &[ONCE_TO_F, REPEATABLE_TO_G]);
    bench.list_hosts(vec![
        crate::bench::own_host(),
        remote_host("daemon-2", 4),
        remote_host("daemon-3", 5),
    ]);
    bench
}

/// Gives each of the two routes the other's name.
fn swap_names(bench: &mut DaemonBench, version: u64) {
    let routes = [ONCE_TO_F.named("r-2"), REPEATABLE_TO_G.named("r-1")];
    install(bench, version, &routes);
}

/// Returns a request to `/f/1` that has just been matched.
fn request(bench: &DaemonBench) -> FunctionRequest {
    let payload = payload("h", "/f/1?query=/g/");
    request_on(&bench.agent, bench.now, bench.key("f"), "r-1", payload)
}

/// Returns the function and the route name with which a request is forwarded.
fn forwarded_as(step: &ForwardingStep<u64>) -> Option<(String, String)> {
    let ForwardingStep::Forward {
        body: DaemonMessage::FunctionRequest {
            function, route, ..
        },
        ..
    } = step
    else {
        return None;
    };
    Some((function.name.as_str().to_owned(), route.to_string()))
}

/// Returns how a request is forwarded that waited at its ingress daemon while two routes swapped their names.
fn forward_after_swap(rules: Rules) -> Option<(String, String)> {
    let mut bench = bench_with(rules);
    let mut forwarding = Forwarding::new(bench.now, request(&bench));
    let waiting = forwarding.advance(&bench.agent, bench.now);
    assert!(!matches!(waiting, ForwardingStep::End(..)));
    swap_names(&mut bench, 4);
    for function in ["f", "g"] {
        let holder = remote_host("daemon-2", 4);
        bench.agent.cache_owner(&bench.key(function), &holder);
    }
    forwarded_as(&forwarding.advance(&bench.agent, bench.now))
}

/// Guards against review/7 (ROUTE): requests that waited at their ingress daemon were run by another service.
#[gtest]
fn a_waiting_request_stays_with_its_function_when_two_routes_swap_names() -> Result<()> {
    verify_that!(
        forward_after_swap(Rules::ALL_ENFORCED),
        some(eq(&("f".to_owned(), "r-2".to_owned())))
    )?;
    verify_that!(
        forward_after_swap(Rules::without(Rule::RouteFoundByRequest)),
        some(eq(&("g".to_owned(), "r-1".to_owned())))
    )
}

/// Returns `f` as held by the daemon.
fn hold_f(bench: &DaemonBench) -> Arc<HeldFunction<u64>> {
    let terms = lease_terms(bench.key("f"), function_spec());
    let held = Arc::new(HeldFunction::new(Holder::new(bench.now, terms)));
    let held_functions = [(held.function.clone(), held.clone())];
    bench.agent.replace_held_functions(held_functions.into());
    held
}

fn holder_request(step: ForwardingStep<u64>) -> Option<HolderRequest> {
    match step {
        ForwardingStep::Serve(_, holder_request) => Some(holder_request),
        _ => None,
    }
}

/// Returns whether a request counts as once-only at its holder after two routes have swapped their names.
fn once_after_swap(rules: Rules, hops: u8) -> Option<bool> {
    let mut bench = bench_with(rules);
    // Both routes lead to the same function, as in review/6.
    let routes = [ONCE_TO_F, REPEATABLE_TO_G.to("f")];
    install(&mut bench, 4, &routes);
    hold_f(&bench);
    let accepted = request(&bench);
    let is_forwarded = hops > 0;
    let request = FunctionRequest {
        hops,
        // A message does not carry the limits.
        limits: if is_forwarded {
            AttemptLimits::UNLIMITED
        } else {
            accepted.limits
        },
        ..accepted
    };
    let mut forwarding = Forwarding::new(bench.now, request);
    let swapped = [ONCE_TO_F.named("r-2"), REPEATABLE_TO_G.to("f").named("r-1")];
    install(&mut bench, 5, &swapped);
    hold_f(&bench);
    holder_request(forwarding.advance(&bench.agent, bench.now)).map(|request| request.once)
}

/// Guards against review/6 (TWICE): once-only requests whose bodies were on the way were sent again after a lost
/// response, as the name of their route had become that of a repeatable one.
#[gtest]
fn a_once_only_request_stays_once_only_when_two_routes_swap_names() -> Result<()> {
    let without = Rules::without(Rule::RouteFoundByRequest);
    for hops in [0, 1] {
        verify_that!(once_after_swap(Rules::ALL_ENFORCED, hops), some(eq(true)))?;
    }
    verify_that!(once_after_swap(without, 1), some(eq(false)))?;
    // At the ingress daemon, `strictest-limits` keeps it too: `changed_limits.rs` takes that rule away.
    verify_that!(once_after_swap(without, 0), some(eq(true)))
}

/// Guards against review/6 (TWICE) on the path of a lost holder, where the ingress daemon decides on the retry.
#[gtest]
fn a_once_only_request_lost_with_its_holder_is_not_retried_when_two_routes_swap_names() -> Result<()>
{
    let step_after_loss = |rules: Rules| {
        let mut bench = bench_with(rules);
        let holder = remote_host("daemon-2", 4);
        bench.agent.cache_owner(&bench.key("f"), &holder);
        let mut forwarding = Forwarding::new(bench.now, request(&bench));
        let forwarded = forwarding.advance(&bench.agent, bench.now);
        assert!(forwarded_as(&forwarded).is_some());
        swap_names(&mut bench, 4);
        bench.handle_forward_result(&mut forwarding, ForwardResult::Lost)
    };
    let is_ended = |step: ForwardingStep<u64>| {
        matches!(step, ForwardingStep::End(RequestOutcome::Unknown { .. }, _))
    };
    verify_that!(is_ended(step_after_loss(Rules::ALL_ENFORCED)), eq(true))?;
    // Each of two rules keeps this alone.
    for rule in [Rule::RouteFoundByRequest, Rule::StrictestLimitsKept] {
        verify_that!(is_ended(step_after_loss(Rules::without(rule))), eq(true))?;
    }
    Ok(())
}

/// Returns whether a request that waits in the queue of `f` may still be sent after this change.
fn send_after(routes: &[TestRoute]) -> std::result::Result<(), RequestFailureReason> {
    let mut bench = bench_with(Rules::ALL_ENFORCED);
    let held = hold_f(&bench);
    let mut forwarding = Forwarding::new(bench.now, request(&bench));
    let queued = holder_request(forwarding.advance(&bench.agent, bench.now)).expect("served here");
    install(&mut bench, 4, routes);
    let attempt = bench
        .agent
        .runner_attempt(bench.now, &held, &queued, RUNNER, 1);
    attempt.map(|_| ())
}

/// Guards against review/7 (ROUTE) in a holder's queue, and against refusals of what both specs allow.
#[gtest]
fn a_queued_request_is_sent_if_the_route_that_matches_it_still_leads_to_its_function() -> Result<()>
{
    let both_allow = [ONCE_TO_F.named("r-2"), REPEATABLE_TO_G.named("r-1")];
    verify_that!(send_after(&both_allow), ok(eq(())))?;
    let other_name = [ONCE_TO_F.named("other"), REPEATABLE_TO_G];
    verify_that!(send_after(&other_name), ok(eq(())))?;
    let name_reused = [REPEATABLE_TO_G.to("f").named("r-1")];
    verify_that!(
        send_after(&name_reused),
        err(eq(RequestFailureReason::NotAllowed))
    )?;
    let moved = [ONCE_TO_F.to("g"), REPEATABLE_TO_G];
    verify_that!(
        send_after(&moved),
        err(eq(RequestFailureReason::NotAllowed))
    )?;
    let other_host = TestRoute {
        host: "other",
        ..ONCE_TO_F
    };
    verify_that!(
        send_after(&[other_host, REPEATABLE_TO_G]),
        err(eq(RequestFailureReason::NotAllowed))
    )
}

/// Guards against review/7 (ROUTE) across daemons: the holder has the newer spec, and the message the older name.
#[gtest]
fn a_forwarded_request_is_matched_by_its_path_and_not_by_the_name_that_it_carries() -> Result<()> {
    let mut bench = bench_with(Rules::ALL_ENFORCED);
    let forwarded = FunctionRequest {
        hops: 1,
        ..request(&bench)
    };
    swap_names(&mut bench, 4);
    hold_f(&bench);
    let mut at_holder = Forwarding::new(bench.now, forwarded.clone());
    let served = holder_request(at_holder.advance(&bench.agent, bench.now));
    verify_that!(served.is_some(), eq(true))?;
    // The name now belongs to a route to the request's function, but the request's own path leads elsewhere.
    let routes = [
        ONCE_TO_F.to("g").named("r-2"),
        REPEATABLE_TO_G.to("f").named("r-1"),
    ];
    install(&mut bench, 5, &routes);
    hold_f(&bench);
    let mut at_holder = Forwarding::new(bench.now, forwarded);
    verify_that!(
        rejection(&at_holder.advance(&bench.agent, bench.now)).map(|(reason, _)| reason),
        some(eq(RequestFailureReason::NotAllowed))
    )
}

/// Guards against review/7 (ROUTE) over several changes: the route is removed, its name is reused, and its path is put
/// back under another name while the request waits.
#[gtest]
fn a_request_survives_several_changes_if_the_last_one_serves_its_path_again() -> Result<()> {
    let mut bench = bench_with(Rules::ALL_ENFORCED);
    let holder = remote_host("daemon-2", 4);
    bench.agent.cache_owner(&bench.key("f"), &holder);
    let mut forwarding = Forwarding::new(bench.now, request(&bench));
    forwarding.advance(&bench.agent, bench.now);
    // The holder has the newest spec, in which the path is missing; the ingress daemon still has the first one.
    let removed = not_run(RequestFailureReason::NotAllowed, 500);
    let waiting = bench.handle_forward_result(&mut forwarding, completed(removed));
    verify_that!(matches!(waiting, ForwardingStep::Wait { .. }), eq(true))?;
    install(
        &mut bench,
        5,
        &[REPEATABLE_TO_G.named("r-1"), ONCE_TO_F.named("back")],
    );
    let step = forwarding.advance(&bench.agent, bench.now + ms(10));
    verify_that!(
        forwarded_as(&step),
        some(eq(&("f".to_owned(), "back".to_owned())))
    )?;
    verify_that!(forwarding.request().version, eq(Version(5)))
}
