//! Which controllers vote: as many as the settings ask for, spread so that a lost zone is borne.

use common::frames::Place;
use common::identity::{ControllerId, Zone};
use common::spec::CoreMember;
use controlplane::core::{QuorumPlan, QuorumShape};
use googletest::prelude::*;
use std::collections::BTreeSet;

fn member(id: u64, zone: &str) -> CoreMember {
    let place = Place(format!("10.0.0.{id}:1").parse().expect("an address"));
    CoreMember { id: ControllerId(id), place, zone: Zone::from(zone) }
}

fn members(zones: &[(u64, &str)]) -> Vec<CoreMember> {
    zones.iter().map(|(id, zone)| member(*id, zone)).collect()
}

/// The next voters' identities, or nobody when nothing is to change.
fn planned(
    shape: QuorumShape,
    voters: &[(u64, &str)],
    missing: &[u64],
    candidates: &[(u64, &str)],
) -> Vec<u64> {
    let voters = members(voters);
    let missing = missing.iter().copied().map(ControllerId).collect::<BTreeSet<ControllerId>>();
    let plan = QuorumPlan {
        shape,
        voters: &voters,
        leader: voters[0].id,
        missing: &missing,
        candidates: members(candidates),
    };
    let mut ids: Vec<u64> =
        plan.next_voters().unwrap_or_default().iter().map(|voter| voter.id.0).collect();
    ids.sort_unstable();
    ids
}

#[gtest]
fn a_quorum_has_a_majority_left_after_the_losses_it_bears() -> Result<()> {
    verify_that!(QuorumShape::bearing(1, 1).voters(), eq(3))?;
    verify_that!(QuorumShape::bearing(1, 1).zone_limit(), eq(1))?;
    verify_that!(QuorumShape::bearing(2, 1).voters(), eq(5))?;
    verify_that!(QuorumShape::bearing(2, 1).zone_limit(), eq(2))?;
    verify_that!(QuorumShape::bearing(2, 0).zone_limit(), eq(5))?;
    verify_that!(QuorumShape::bearing(0, 0).voters(), eq(3))?;
    verify_that!(QuorumShape::bearing(1, 2).voters(), eq(5))?;
    verify_that!(QuorumShape::bearing(1, 2).zone_limit(), eq(1))
}

#[gtest]
fn three_founders_grow_to_five_at_once_and_never_to_four() -> Result<()> {
    let shape = QuorumShape::bearing(2, 1);
    let founders = [(1, "a"), (2, "b"), (3, "c")];
    verify_that!(planned(shape, &founders, &[], &[(4, "a")]), is_empty())?;
    verify_that!(planned(shape, &founders, &[], &[(4, "a"), (5, "b"), (6, "c")]).len(), eq(5))?;
    let in_four_zones = planned(shape, &founders, &[], &[(4, "a"), (5, "b"), (6, "c"), (7, "d")]);
    verify_that!(in_four_zones, contains(eq(&7)))?;
    let unluckily_seeded = [(1, "a"), (2, "a"), (3, "b")];
    let candidates = [(4, "b"), (5, "c"), (6, "c"), (7, "a")];
    let grown = planned(shape, &unluckily_seeded, &[], &candidates);
    verify_that!(grown, eq(&vec![1, 2, 3, 5, 6]).or(eq(&vec![1, 2, 3, 4, 5])))
}

#[gtest]
fn a_lost_voter_goes_to_its_address_then_its_zone_then_the_emptiest_other() -> Result<()> {
    let shape = QuorumShape::bearing(1, 1);
    let voters = [(1, "a"), (2, "b"), (3, "c")];
    verify_that!(planned(shape, &voters, &[], &[(4, "c")]), is_empty())?;
    verify_that!(planned(shape, &voters, &[3], &[(4, "a"), (5, "c")]), eq(&vec![1, 2, 5]))?;
    verify_that!(planned(shape, &voters, &[3], &[(4, "d")]), eq(&vec![1, 2, 4]))?;
    verify_that!(planned(shape, &voters, &[3], &[(4, "a")]), is_empty())
}

#[gtest]
fn two_lost_voters_are_replaced_together() -> Result<()> {
    let shape = QuorumShape::bearing(2, 1);
    let voters = [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "a")];
    let candidates = [(6, "b"), (7, "c"), (8, "d")];
    let next = planned(shape, &voters, &[2, 3], &candidates);
    verify_that!(next, eq(&vec![1, 4, 5, 6, 7]))
}

#[gtest]
fn a_zone_with_too_many_voters_gives_one_up_but_never_the_leader() -> Result<()> {
    let shape = QuorumShape::bearing(1, 1);
    let voters = [(1, "a"), (2, "a"), (3, "b")];
    verify_that!(planned(shape, &voters, &[], &[(4, "c")]), eq(&vec![1, 3, 4]))?;
    verify_that!(planned(shape, &voters, &[], &[(4, "b")]), is_empty())
}
