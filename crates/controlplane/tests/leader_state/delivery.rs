//! Delivery of document versions to daemons.

use super::harness::{ELECTED, Harness, ms};
use super::samples::document;
use common::frames::LeaderToDaemon;
use common::identity::{ChangeId, Term};
use controlplane::leader_state::{LeaderState, LeaderTiming};
use googletest::prelude::*;
use std::collections::{BTreeSet, VecDeque};

/// Returns what a new leader that has seen versions 2 and 3 sends to a member with version 2: the number of document
/// frames before it has committed version 3, and the document frames after that.
fn sent_by_a_new_leader() -> (usize, Vec<&'static str>) {
    let newest = document().with_zone("l9".into(), true, ChangeId::from("turn"));
    let earlier_views = VecDeque::from([document().view(), newest.view()]);
    let leader_state = LeaderState::new(
        LeaderTiming::builder().build(),
        Term(6),
        ELECTED,
        BTreeSet::new(),
        true,
    );
    let leader_state = leader_state.with_earlier_views(earlier_views);
    let mut harness = Harness::with_state(leader_state);
    let sent = |harness: &Harness| -> Vec<&'static str> {
        let specs = harness.frames().filter_map(|(_, frame)| match frame {
            LeaderToDaemon::Spec { .. } => Some("complete"),
            LeaderToDaemon::SpecDelta { .. } => Some("change"),
            _ => None,
        });
        specs.collect()
    };
    harness.join(1, "a", Vec::new());
    harness.advance(ms(1));
    let before_count = sent(&harness).len();
    harness.leader_state.handle_committed(newest);
    harness.advance(ms(1));
    (before_count, sent(&harness))
}

#[gtest]
fn a_new_leader_sends_a_delta_to_daemons_that_are_slightly_behind() -> Result<()> {
    let (before_count, sent) = sent_by_a_new_leader();
    verify_that!(before_count, eq(0))?;
    verify_that!(sent, elements_are![eq(&"change")])
}
