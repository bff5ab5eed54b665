//! An order that was taken is acknowledged again; nothing is refused, and no evacuation carried out,
//! by a controller that may have been overtaken or whose caller is gone.

use super::fleet::Fleet;
use common::identity::Zone;
use controlplane::controller_state::{
    ChangeKind, ControllerInput, Numbering, Operation, OperationReply, Unavailable, Wait,
};
use googletest::prelude::*;
use serde_json::json;
use std::time::Duration;

fn founded(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &[0, 1, 2]);
    fleet.start_all();
    fleet.await_leader();
    fleet.pass(300);
    fleet
}

fn numbered(number: u64, base_number: u64) -> Operation {
    let spec = json!({"functions": {}, "routes": {}, "labels": {"made": number}});
    Operation::Change {
        base: None,
        numbering: Some(Numbering { number, base_number }),
        change: None,
        kind: ChangeKind::Whole(spec.into()),
        wait: Wait::Accepted,
    }
}

fn turn(kind: ChangeKind) -> Operation {
    Operation::Change { base: None, numbering: None, change: None, kind, wait: Wait::Accepted }
}

fn evacuate(zone: &str) -> Operation {
    turn(ChangeKind::Evacuate { zone: Zone::from(zone), force: true })
}

fn restore(zone: &str) -> Operation {
    turn(ChangeKind::Restore { zone: Zone::from(zone) })
}

fn is_accepted(reply: &Option<OperationReply>) -> bool {
    matches!(reply, Some(OperationReply::Accepted { .. }))
}

/// One that cannot be told apart from one that was taken is neither acknowledged nor refused.
#[gtest]
fn an_order_is_known_again_after_many_others_and_a_forgotten_one_is_not_refused() -> Result<()> {
    let mut fleet = founded(1);
    let leader = fleet.await_leader();
    for number in 1..=1100 {
        let reply = fleet.asked(leader, numbered(number, number - 1));
        verify_that!(is_accepted(&reply), eq(true))?;
    }
    for number in [1099, 1000, 200, 100] {
        let reply = fleet.asked(leader, numbered(number, number - 1));
        verify_that!(is_accepted(&reply), eq(true))?;
    }
    let forgotten = fleet.asked(leader, numbered(50, 49));
    let is_unclear =
        matches!(forgotten, Some(OperationReply::Unknown { reason: Unavailable::Forgotten, .. }));
    verify_that!(is_unclear, eq(true))?;
    let rival = fleet.asked(leader, numbered(500, 498));
    verify_that!(matches!(rival, Some(OperationReply::Stale { .. })), eq(true))?;
    verify_that!(fleet.accepted(leader).expect("a document").to_bytes().len(), le(32 << 10))
}

#[gtest]
fn a_leader_that_may_have_been_overtaken_refuses_nothing() -> Result<()> {
    for seed in 0..20 {
        let mut fleet = founded(seed);
        let leader = fleet.await_leader();
        fleet.asked(leader, numbered(5, 0));
        let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        fleet.separate(&[leader], &others);
        fleet.pass(20);
        let asked = [
            fleet.ask(leader, numbered(7, 3)),
            fleet.ask(leader, numbered(4, 5)),
            fleet.ask(leader, restore("l1")),
        ];
        let again = fleet.ask(leader, numbered(5, 0));
        fleet.pass(4000);
        for ticket in asked {
            let is_unclear = matches!(
                fleet.replies.get(&ticket),
                Some(OperationReply::NotAccepted { .. } | OperationReply::Unknown { .. })
            );
            verify_that!(is_unclear, eq(true))?;
        }
        verify_that!(is_accepted(&fleet.replies.remove(&again)), eq(true))?;
    }
    Ok(())
}

#[gtest]
fn an_evacuation_whose_caller_hung_up_is_not_carried_out() -> Result<()> {
    let mut fleet = founded(3);
    let leader = fleet.await_leader();
    let late = fleet.ask(leader, evacuate("l1"));
    fleet.pass(8);
    fleet.feed(leader, ControllerInput::Withdrawn(late));
    fleet.pass(1000);
    verify_that!(fleet.accepted(leader).expect("a document").evacuated.is_empty(), eq(true))?;
    verify_that!(fleet.replies.contains_key(&late), eq(false))?;
    let reply = fleet.asked(leader, evacuate("l1"));
    verify_that!(is_accepted(&reply), eq(true))?;
    let evacuated = &fleet.accepted(leader).expect("a document").evacuated;
    verify_that!(evacuated.contains(&Zone::from("l1")), eq(true))
}

/// It was refused for a zone that no daemon of the new lead had named yet.
#[gtest]
fn a_taken_restore_that_waited_through_a_change_of_the_lead_is_acknowledged_again() -> Result<()> {
    let mut again_count = 0;
    for seed in 0..120 {
        let mut fleet = founded(seed);
        let leader = fleet.await_leader();
        for number in 0..3 {
            let others: Vec<usize> = (0..3).filter(|other| *other != number).collect();
            fleet.separate(&[number], &others);
        }
        fleet.pass(600);
        let mut ticket = fleet.ask(leader, restore("l9"));
        while fleet.leader() == Some(leader) {
            ticket = fleet.ask(leader, restore("l9"));
            fleet.pass(10);
        }
        fleet.cuts.clear();
        fleet.pass(1500);
        let reply = fleet.replies.remove(&ticket);
        let is_refused = matches!(reply, Some(OperationReply::NoZone { .. }));
        verify_that!(is_refused, eq(false)).with_failure_message(|| format!("seed {seed}"))?;
        again_count += u32::from(fleet.leader() == Some(leader) && is_accepted(&reply));
    }
    verify_that!(again_count, ge(3))
}

#[gtest]
fn nobody_is_sent_to_a_leader_that_was_not_heard_lately() -> Result<()> {
    let mut fleet = founded(5);
    let leader = fleet.await_leader();
    let follower = (0..3).find(|number| *number != leader).expect("a follower");
    let at_once = fleet.ask(follower, Operation::ReadSpec);
    let named = matches!(fleet.replies.get(&at_once), Some(OperationReply::Elsewhere(_)));
    verify_that!(named, eq(true))?;
    fleet.now = fleet.now + Duration::from_secs(5);
    let after_a_freeze = fleet.ask(follower, Operation::ReadSpec);
    let named = matches!(fleet.replies.get(&after_a_freeze), Some(OperationReply::Elsewhere(_)));
    verify_that!(named, eq(false))
}
