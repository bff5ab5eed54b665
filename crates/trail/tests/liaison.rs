//! A daemon's member grant, its search for the leader, and whom it counts as alive.

use googletest::prelude::*;
use std::time::Duration;
use trail::liaison::{Liaison, LiaisonOutput, LiaisonTiming};
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::frames::{Flag, Host, Place, StreamDown, StreamUp};
use waymark::identity::{CorrelationId, Serial, Term};

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
        locality: "here".into(),
        place: place(9),
        eligible: Flag(true),
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
