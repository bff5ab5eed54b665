//! A daemon's member grant, its search for the leader, and whom it counts as alive.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{Flag, Host, Place, StreamDown, StreamUp};
use common::identity::{CorrelationId, Serial, Term};
use common::rules::{Rule, Rules};
use dataplane::liaison::{Liaison, LiaisonOutput, LiaisonTiming};
use googletest::prelude::*;
use std::time::Duration;

const START: Moment = Moment(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn place(last: u8) -> Place {
    Place(format!("10.0.0.{last}:1").parse().expect("an address"))
}

fn host(name: &str, incarnation: u64) -> Host {
    Host {
        member: name.into(),
        incarnation: incarnation.into(),
        zone: "here".into(),
        place: place(9),
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn liaison() -> Liaison {
    let seeds = vec![place(1), place(2), place(3)];
    let timing = LiaisonTiming::builder().build();
    Liaison::new(START, timing, host("th-1", 1), place(8), seeds, Chance::seeded(4))
}

fn dialed(outputs: &[LiaisonOutput]) -> Option<Place> {
    outputs.iter().find_map(|output| match output {
        LiaisonOutput::Dial(place) => Some(*place),
        _ => None,
    })
}

fn renewal(outputs: &[LiaisonOutput]) -> Option<CorrelationId> {
    outputs.iter().find_map(|output| match output {
        LiaisonOutput::Say(StreamUp::Renew { correlation, .. }) => Some(*correlation),
        _ => None,
    })
}

fn welcomed(liaison: &mut Liaison) -> CorrelationId {
    liaison.tick(START);
    liaison.connected(START);
    liaison.heard(START, StreamDown::Welcome { term: Term(2) });
    renewal(&liaison.tick(START)).expect("a renewal")
}

fn renewed(correlation: CorrelationId, serial: u64) -> StreamDown {
    StreamDown::Renewed { correlation, length_ms: 2000, serial: Serial(serial) }
}

#[gtest]
fn a_grant_counts_from_the_moment_its_renewal_was_sent() -> Result<()> {
    let mut liaison = liaison();
    let correlation = welcomed(&mut liaison);
    liaison.heard(START + ms(700), renewed(correlation, 0));
    verify_that!(liaison.grant_end(), eq(START + ms(2000)))?;
    let before = liaison.tick(START + ms(1999));
    verify_that!(
        before.iter().any(|output| matches!(output, LiaisonOutput::GrantEnded)),
        eq(false)
    )?;
    let at_end = liaison.tick(START + ms(2000));
    verify_that!(at_end.iter().any(|output| matches!(output, LiaisonOutput::GrantEnded)), eq(true))
}

#[gtest]
fn an_answer_that_comes_after_the_grants_end_or_names_a_newer_spec_grants_nothing() -> Result<()> {
    let mut late = liaison();
    let correlation = welcomed(&mut late);
    late.heard(START + ms(2500), renewed(correlation, 0));
    verify_that!(late.grant_end(), eq(Moment::ZERO))?;
    let mut behind = liaison();
    let correlation = welcomed(&mut behind);
    behind.heard(START + ms(5), renewed(correlation, 7));
    verify_that!(behind.grant_end(), eq(Moment::ZERO))?;
    let mut twice = liaison();
    let correlation = welcomed(&mut twice);
    twice.heard(START + ms(5), renewed(correlation, 0));
    let end = twice.grant_end();
    twice.heard(START + ms(900), renewed(correlation, 0));
    verify_that!(twice.grant_end(), eq(end))
}

#[gtest]
fn a_silent_leader_is_left_for_another_and_not_dialed_again_at_once() -> Result<()> {
    let mut liaison = liaison();
    let first_place = dialed(&liaison.tick(START)).expect("dialed");
    liaison.connected(START);
    liaison.heard(START, StreamDown::Welcome { term: Term(2) });
    let mut now = START;
    let mut later_places = Vec::new();
    while now < START + ms(2000) {
        now = now + ms(20);
        let outputs = liaison.tick(now);
        if let Some(dialed_place) = dialed(&outputs) {
            later_places.push(dialed_place);
            liaison.connected(now);
            let hint = StreamDown::Elsewhere { leader: first_place };
            liaison.heard(now, hint);
        }
    }
    verify_that!(later_places.len(), ge(3))?;
    verify_that!(later_places.contains(&first_place), eq(false))
}

/// How long after the first dial a controller is dialed again that was without power then, and that the others name
/// as the leader as soon as it is back.
fn leader_dialed_again_after(rules: Rules) -> Duration {
    let mut liaison = liaison().with_rules(rules);
    let first_place = dialed(&liaison.tick(START)).expect("dialed");
    let mut now = START;
    while now < START + ms(3000) {
        now = now + ms(10);
        match dialed(&liaison.tick(now)) {
            Some(dialed_place) if dialed_place == first_place => break,
            Some(_) => {
                liaison.connected(now);
                liaison.heard(now, StreamDown::Elsewhere { leader: first_place });
            }
            None => {}
        }
    }
    now.since(START)
}

#[gtest]
fn a_leader_that_was_not_reached_before_it_started_is_dialed_once_others_name_it() -> Result<()> {
    verify_that!(leader_dialed_again_after(Rules::KEPT), le(ms(650)))?;
    let without = Rules::without(Rule::NamedLeaderDialed);
    verify_that!(leader_dialed_again_after(without), ge(ms(1700)))
}

#[gtest]
fn a_named_leader_is_dialed_at_once_and_names_that_go_round_are_not_chased() -> Result<()> {
    let mut liaison = liaison();
    liaison.tick(START);
    liaison.connected(START);
    liaison.heard(START, StreamDown::Elsewhere { leader: place(3) });
    verify_that!(dialed(&liaison.tick(START)), some(eq(place(3))))?;
    liaison.connected(START);
    liaison.heard(START + ms(2), StreamDown::Elsewhere { leader: place(2) });
    verify_that!(dialed(&liaison.tick(START + ms(2))), none())?;
    let mut paused = self::liaison();
    paused.tick(START);
    paused.connected(START);
    paused.heard(START, StreamDown::Elsewhere { leader: Place::NOWHERE });
    verify_that!(dialed(&paused.tick(START + ms(29))), none())?;
    verify_that!(dialed(&paused.tick(START + ms(61))), some(anything()))
}

/// A leader that another has followed may still give what that one gives to others.
#[gtest]
fn a_leader_of_an_earlier_term_is_refused() -> Result<()> {
    let mut liaison = liaison();
    welcomed(&mut liaison);
    liaison.disconnected(START + ms(300));
    let later = START + ms(600);
    liaison.tick(later);
    liaison.connected(later);
    let outputs = liaison.heard(later, StreamDown::Welcome { term: Term(1) });
    verify_that!(outputs.iter().any(|output| matches!(output, LiaisonOutput::Hangup)), eq(true))?;
    verify_that!(liaison.is_welcomed(), eq(false))
}

#[gtest]
fn a_life_says_how_long_it_runs_and_whether_it_was_ever_granted() -> Result<()> {
    let said = |outputs: &[LiaisonOutput]| match outputs.first() {
        Some(LiaisonOutput::Say(StreamUp::Hello { age_ms, granted, .. })) => (*age_ms, granted.0),
        other => panic!("no hello: {other:?}"),
    };
    let mut liaison = liaison();
    liaison.tick(START);
    verify_that!(said(&liaison.connected(START + ms(40))), eq((40, false)))?;
    liaison.heard(START + ms(41), StreamDown::Welcome { term: Term(2) });
    let correlation = renewal(&liaison.tick(START + ms(41))).expect("a renewal");
    liaison.heard(START + ms(45), renewed(correlation, 0));
    liaison.disconnected(START + ms(300));
    liaison.tick(START + ms(600));
    verify_that!(said(&liaison.connected(START + ms(601))), eq((601, true)))
}

#[gtest]
fn after_reseeding_only_the_new_seeds_are_dialed() -> Result<()> {
    let mut liaison = liaison();
    liaison.set_seeds(vec![place(21), place(22)]);
    let mut now = START;
    let mut dialed_places = std::collections::BTreeSet::new();
    for _ in 0..400 {
        if let Some(dialed_place) = dialed(&liaison.tick(now)) {
            dialed_places.insert(dialed_place);
            liaison.disconnected(now);
        }
        now = now + ms(20);
    }
    verify_that!(
        dialed_places.into_iter().collect::<Vec<_>>(),
        elements_are![eq(&place(21)), eq(&place(22))]
    )
}

#[gtest]
fn a_leader_whose_frame_is_coming_in_is_not_silent() -> Result<()> {
    let mut liaison = liaison();
    welcomed(&mut liaison);
    let is_given_up = |liaison: &mut Liaison, at: Moment| {
        liaison.tick(at).iter().any(|output| matches!(output, LiaisonOutput::Hangup))
    };
    let mut now = START;
    for _ in 0..10 {
        now = now + ms(500);
        verify_that!(is_given_up(&mut liaison, now), eq(false))?;
        liaison.receiving(now);
    }
    verify_that!(liaison.grant_end() <= START, eq(true))?;
    verify_that!(is_given_up(&mut liaison, now + ms(600)), eq(true))
}
