//! Tests that functions whose start-up takes longer than their callers should wait are acquired before they are called.

#[path = "support/host.rs"]
mod host;
#[path = "support/host_list.rs"]
mod host_list;

use common::clock::MonotonicTime;
use common::frames::Host;
use common::identity::{FunctionKey, MemberName, Version};
use common::ring::{Regions, hash_owner};
use common::spec::{Document, RoutingTable, read_spec};
use dataplane::owners::{WarmAcquirer, WarmContext};
use googletest::prelude::*;
use host_list::host_list;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hosts() -> Vec<Host> {
    host_list(4)
}

/// Returns a table of twelve functions with a start-up time of 800 ms. Those with an odd number have a target latency
/// of one second, the others one of 300 ms.
fn table() -> RoutingTable {
    let mut functions = serde_json::Map::new();
    let mut routes = serde_json::Map::new();
    for number in 0..12 {
        let name = format!("f{number}");
        functions.insert(
            name.clone(),
            json!({"memory_mb": 100, "boot_ms": 800, "slots": 2}),
        );
        let target_ms = if number % 2 == 0 { 300 } else { 1000 };
        routes.insert(
            format!("r{number}"),
            json!({
                "method": "POST", "path": format!("/r{number}"), "function": name,
                "budget_ms": 3000, "target_ms": target_ms, "kind": "repeatable",
            }),
        );
    }
    let spec = json!({"functions": functions, "routes": routes});
    let checked_spec = read_spec(&spec).expect("a spec");
    let mut document = Document::initial(Vec::new());
    document.document_version.version = Version(1);
    RoutingTable::build(
        &document
            .with_spec(spec, &checked_spec, "change".into())
            .view(),
    )
    .expect("a table")
}

fn requests_of(
    acquirer: &mut WarmAcquirer,
    own_member: &MemberName,
    hosts: &[Host],
    owners: &BTreeMap<FunctionKey, Host>,
    from: MonotonicTime,
    span: Duration,
) -> Vec<(MonotonicTime, FunctionKey)> {
    let table = table();
    let context = WarmContext {
        table: &table,
        own_member,
        hosts,
        regions: &Regions::default(),
        regional_keys: &[],
        owners,
        holds: &|_| false,
    };
    (0..span.as_millis() as u64)
        .filter_map(|elapsed_ms| {
            let now = from + ms(elapsed_ms);
            acquirer.next(now, &context).map(|function| (now, function))
        })
        .collect()
}

#[gtest]
fn each_prewarmed_function_is_requested_once_and_only_by_its_hash_owner() -> Result<()> {
    let hosts = hosts();
    let table = table();
    let no_owners = BTreeMap::new();
    let mut all_requested: Vec<FunctionKey> = Vec::new();
    for host in &hosts {
        let mut acquirer = WarmAcquirer::new(START);
        let requests = requests_of(
            &mut acquirer,
            &host.member,
            &hosts,
            &no_owners,
            START,
            ms(900),
        );
        for pair in requests.windows(2) {
            verify_that!(pair[1].0.since(pair[0].0), ge(ms(5)))?;
        }
        for (_, function) in requests {
            let owner = hash_owner(&function, hosts.iter()).map(|owner| owner.member.clone());
            verify_that!(owner, some(eq(&host.member)))?;
            all_requested.push(function);
        }
    }
    all_requested.sort();
    let mut prewarmed_functions: Vec<FunctionKey> = table.prewarmed_functions().cloned().collect();
    prewarmed_functions.sort();
    verify_that!(prewarmed_functions.len(), eq(6))?;
    verify_that!(all_requested, eq(&prewarmed_functions))
}

#[gtest]
fn a_prewarmed_function_is_requested_again_when_its_owner_disappears() -> Result<()> {
    let all_hosts = hosts();
    let table = table();
    let lost_host = &all_hosts[0];
    let owners: BTreeMap<FunctionKey, Host> = table
        .prewarmed_functions()
        .map(|function| (function.clone(), lost_host.clone()))
        .collect();
    let remaining_hosts = &all_hosts[1..];
    let mut request_count = 0;
    for host in remaining_hosts {
        let mut acquirer = WarmAcquirer::new(START);
        let before = requests_of(
            &mut acquirer,
            &host.member,
            &all_hosts,
            &owners,
            START,
            ms(300),
        );
        verify_that!(before.len(), eq(0))?;
        let lost_at = START + ms(300);
        acquirer.schedule_scan(lost_at);
        verify_that!(acquirer.next_due(), le(lost_at))?;
        let after = requests_of(
            &mut acquirer,
            &host.member,
            remaining_hosts,
            &owners,
            lost_at,
            ms(300),
        );
        request_count += after.len();
    }
    verify_that!(request_count, eq(6))
}
