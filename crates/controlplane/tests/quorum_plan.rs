//! The choice of voters: as many as the settings ask for, spread over zones so that losing a zone is
//! tolerated.

use common::frames::SocketAddress;
use common::identity::{ControllerId, Zone};
use common::spec::Voter;
use controlplane::consensus::{QuorumPlan, QuorumPolicy};
use googletest::prelude::*;
use std::collections::BTreeSet;

fn voter_in(id: u64, zone: &str) -> Voter {
    let address = SocketAddress(format!("10.0.0.{id}:1").parse().expect("an address"));
    Voter {
        id: ControllerId(id),
        address,
        zone: Zone::from(zone),
    }
}

fn voters_in(zones: &[(u64, &str)]) -> Vec<Voter> {
    zones.iter().map(|(id, zone)| voter_in(*id, zone)).collect()
}

/// Returns the sorted identities of the next voters; empty if the voters do not change.
fn planned(
    quorum_policy: QuorumPolicy,
    voters: &[(u64, &str)],
    missing: &[u64],
    candidates: &[(u64, &str)],
) -> Vec<u64> {
    let voters = voters_in(voters);
    let missing = missing
        .iter()
        .copied()
        .map(ControllerId)
        .collect::<BTreeSet<ControllerId>>();
    let plan = QuorumPlan {
        quorum_policy,
        voters: &voters,
        leader: voters[0].id,
        missing: &missing,
        candidates: voters_in(candidates),
    };
    let mut ids: Vec<u64> = plan
        .next_voters()
        .unwrap_or_default()
        .iter()
        .map(|voter| voter.id.0)
        .collect();
    ids.sort_unstable();
    ids
}

#[gtest]
fn a_quorum_has_a_majority_left_after_the_losses_it_tolerates() -> Result<()> {
    verify_that!(QuorumPolicy::tolerating(1, 1).voters(), eq(3))?;
    verify_that!(QuorumPolicy::tolerating(1, 1).zone_limit(), eq(1))?;
    verify_that!(QuorumPolicy::tolerating(2, 1).voters(), eq(5))?;
    verify_that!(QuorumPolicy::tolerating(2, 1).zone_limit(), eq(2))?;
    verify_that!(QuorumPolicy::tolerating(2, 0).zone_limit(), eq(5))?;
    verify_that!(QuorumPolicy::tolerating(0, 0).voters(), eq(3))?;
    verify_that!(QuorumPolicy::tolerating(1, 2).voters(), eq(5))?;
    verify_that!(QuorumPolicy::tolerating(1, 2).zone_limit(), eq(1))
}

#[gtest]
fn three_initial_voters_grow_to_five_at_once_and_never_to_four() -> Result<()> {
    let quorum_policy = QuorumPolicy::tolerating(2, 1);
    let initial_voters = [(1, "a"), (2, "b"), (3, "c")];
    verify_that!(
        planned(quorum_policy, &initial_voters, &[], &[(4, "a")]),
        is_empty()
    )?;
    verify_that!(
        planned(
            quorum_policy,
            &initial_voters,
            &[],
            &[(4, "a"), (5, "b"), (6, "c")]
        )
        .len(),
        eq(5)
    )?;
    let in_four_zones = planned(
        quorum_policy,
        &initial_voters,
        &[],
        &[(4, "a"), (5, "b"), (6, "c"), (7, "d")],
    );
    verify_that!(in_four_zones, contains(eq(&7)))?;
    let crowded_zone = [(1, "a"), (2, "a"), (3, "b")];
    let candidates = [(4, "b"), (5, "c"), (6, "c"), (7, "a")];
    let grown = planned(quorum_policy, &crowded_zone, &[], &candidates);
    verify_that!(grown, eq(&vec![1, 2, 3, 5, 6]).or(eq(&vec![1, 2, 3, 4, 5])))
}

#[gtest]
fn a_lost_voter_is_replaced_at_its_address_then_in_its_zone_then_in_the_least_loaded_zone()
-> Result<()> {
    let quorum_policy = QuorumPolicy::tolerating(1, 1);
    let voters = [(1, "a"), (2, "b"), (3, "c")];
    verify_that!(
        planned(quorum_policy, &voters, &[], &[(4, "c")]),
        is_empty()
    )?;
    verify_that!(
        planned(quorum_policy, &voters, &[3], &[(4, "a"), (5, "c")]),
        eq(&vec![1, 2, 5])
    )?;
    verify_that!(
        planned(quorum_policy, &voters, &[3], &[(4, "d")]),
        eq(&vec![1, 2, 4])
    )?;
    verify_that!(
        planned(quorum_policy, &voters, &[3], &[(4, "a")]),
        is_empty()
    )
}

#[gtest]
fn two_lost_voters_are_replaced_together() -> Result<()> {
    let quorum_policy = QuorumPolicy::tolerating(2, 1);
    let voters = [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "a")];
    let candidates = [(6, "b"), (7, "c"), (8, "d")];
    let next = planned(quorum_policy, &voters, &[2, 3], &candidates);
    verify_that!(next, eq(&vec![1, 4, 5, 6, 7]))
}

#[gtest]
fn a_zone_over_its_limit_loses_a_voter_but_never_the_leader() -> Result<()> {
    let quorum_policy = QuorumPolicy::tolerating(1, 1);
    let voters = [(1, "a"), (2, "a"), (3, "b")];
    verify_that!(
        planned(quorum_policy, &voters, &[], &[(4, "c")]),
        eq(&vec![1, 3, 4])
    )?;
    verify_that!(
        planned(quorum_policy, &voters, &[], &[(4, "b")]),
        is_empty()
    )
}
