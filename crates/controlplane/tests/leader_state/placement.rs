//! Placement of runners on workers, and which runner is reclaimed for another function.

use super::harness::{Harness, ms};
use super::samples::{function, worker};
use common::frames::{LeaderToDaemon, ReserveResult};
use common::identity::{FunctionKey, RunnerId};
use controlplane::leader_state::LeaderTiming;
use googletest::prelude::*;

#[gtest]
fn max_runners_counts_a_functions_keys_of_all_regions_together() -> Result<()> {
    let mut harness = Harness::new(&["daemon-1", "daemon-2"]);
    harness.join(1, "daemon-1", Vec::new());
    harness.join(2, "daemon-2", Vec::new());
    harness.list_runners(&[]);
    harness.advance(ms(10));
    harness.list_workers(&[worker("w-1", "l1", 100_000)]);
    let all_regions = function();
    let west = all_regions.in_region(&"west".into());
    let fencing_tokens = [
        harness.acquire_lease_for_key(1, all_regions.clone()),
        harness.acquire_lease_for_key(2, west.clone()),
    ];
    let mut reserve = |stream: u64, function: &FunctionKey| {
        let fencing_token = fencing_tokens[stream as usize - 1];
        let answer = harness.reserve_for_key(stream, function.clone(), fencing_token);
        matches!(answer, ReserveResult::Reserved { .. })
    };
    let is_reserved: Vec<bool> = (0..4).map(|_| reserve(1, &all_regions)).collect();
    verify_that!(is_reserved, each(eq(&true)))?;
    let is_reserved: Vec<bool> = (0..5).map(|_| reserve(2, &west)).collect();
    verify_that!(is_reserved, eq(&vec![true, true, true, true, false]))?;
    verify_that!(reserve(1, &all_regions), eq(false))
}

#[gtest]
fn the_function_with_the_most_runners_yields_one_to_a_function_without_any() -> Result<()> {
    let mut harness = Harness::with_one_daemon();
    harness.list_workers(&[worker("w", "l", 300)]);
    let crowded_token = harness.acquire_lease(1, "f");
    for _ in 0..3 {
        let given = harness.reserve(1, "f", crowded_token);
        verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))?;
    }
    let starved_token = harness.acquire_lease(1, "g");
    verify_that!(
        harness.reserve(1, "g", starved_token),
        eq(&ReserveResult::Rejected)
    )?;
    let drained: Vec<RunnerId> = harness
        .frames()
        .filter_map(|(_, frame)| match frame {
            LeaderToDaemon::Drain { runner, .. } => Some(*runner),
            _ => None,
        })
        .collect();
    verify_that!(drained.len(), eq(1))?;
    verify_that!(drained[0].fencing_token, eq(crowded_token))?;
    harness.leader_state.handle_runner_stopped(drained[0]);
    verify_that!(
        harness.reserve(1, "f", crowded_token),
        eq(&ReserveResult::Rejected)
    )?;
    let given = harness.reserve(1, "g", starved_token);
    verify_that!(matches!(given, ReserveResult::Reserved { .. }), eq(true))
}

#[gtest]
fn without_spreading_a_runner_is_placed_in_its_holders_zone() -> Result<()> {
    let timing = LeaderTiming::builder().spread_over_zones(false).build();
    let mut harness = Harness::with_timing(timing, &["a"]);
    harness.join(1, "a", vec![]);
    harness.list_runners(&[]);
    harness.advance(ms(10));
    harness.list_workers(&[
        worker("far", "l9", 900),
        worker("near-1", "l1", 200),
        worker("near-2", "l1", 200),
    ]);
    let fencing_token = harness.acquire_lease(1, "f");
    let mut worker_names = Vec::new();
    for _ in 0..5 {
        if let ReserveResult::Reserved { worker, .. } = harness.reserve(1, "f", fencing_token) {
            worker_names.push(worker.to_string());
        }
    }
    verify_that!(
        worker_names[..4]
            .iter()
            .all(|name| name.starts_with("near")),
        eq(true)
    )?;
    verify_that!(worker_names[4].as_str(), eq("far"))
}
