//! Tests of the linearizability check: correct histories are explained, and each kind of anomaly is found.

use common::clock::MonotonicTime;
use common::rng::SeededRng;
use fleet::history::{Anomaly, Answer, AttemptId, Effect, History, Order, OrderId, Reading};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::panic::Location;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(millis)
}

fn content(label: u64) -> Value {
    json!({"routes": {}, "labels": label})
}

fn replacement(number: u64, base: u64, label: u64) -> Order {
    Order {
        number,
        base,
        effect: Effect::Replace(content(label)),
        is_valid: true,
    }
}

/// Builds a history with short methods for recording. All times are in milliseconds.
#[derive(Default)]
struct HistoryBuilder(History);

impl HistoryBuilder {
    fn order(&mut self, number: u64, base: u64, label: u64) -> OrderId {
        self.0.record_order(replacement(number, base, label))
    }

    /// Records an attempt to send an order, and its answer.
    fn sent(&mut self, from: u64, to: u64, order: OrderId, answer: Answer) {
        let attempt = self.0.record_attempt(at(from), order);
        self.0.record_answer(at(to), attempt, answer);
    }

    /// Records an attempt to send an order whose answer is lost.
    fn lost(&mut self, from: u64, order: OrderId) -> AttemptId {
        self.0.record_attempt(at(from), order)
    }

    fn read(&mut self, from: u64, to: u64, number: u64, label: u64) {
        self.read_zones(from, to, number, label, &[]);
    }

    fn read_zones(&mut self, from: u64, to: u64, number: u64, label: u64, evacuated: &[&str]) {
        self.0.record_reading(Reading {
            requested_at: at(from),
            received_at: at(to),
            number,
            content: content(label),
            evacuated: evacuated.iter().map(|zone| (*zone).to_owned()).collect(),
        });
    }

    /// Records an order with number 2 and its acknowledgement at 5 ms, and returns the order.
    fn acknowledge_first_change(&mut self) -> OrderId {
        let first = self.order(2, 0, 1);
        self.sent(1, 5, first, Acknowledged);
        first
    }

    /// Records an order with number 2 whose answer is lost, and returns the order.
    fn lose_answer_to_first_change(&mut self) -> OrderId {
        let unanswered = self.order(2, 0, 1);
        self.lost(1, unanswered);
        unanswered
    }

    /// Records an order to evacuate zone `z` at 1 ms, and its acknowledgement at 5 ms.
    fn evacuate_zone(&mut self) {
        let evacuation = self.0.record_zone_order(at(1), "z", true);
        self.0.record_zone_order_acknowledged(at(5), evacuation);
    }

    #[track_caller]
    fn verify_explained(&self) -> Result<()> {
        let caller = Location::caller();
        verify_that!(self.anomalies(), is_empty()).with_failure_message(|| caller.to_string())
    }

    /// Verifies that this anomaly is found, and no other.
    #[track_caller]
    fn verify_finds_only(&self, anomaly: &Anomaly) -> Result<()> {
        let caller = Location::caller();
        verify_that!(self.anomalies(), elements_are![eq(anomaly)])
            .with_failure_message(|| caller.to_string())
    }

    /// Verifies that the anomaly is found that this version was not current when it was read or reported.
    #[track_caller]
    fn verify_finds_not_current(&self, number: u64) -> Result<()> {
        let caller = Location::caller();
        verify_that!(
            self.anomalies(),
            contains(eq(&Anomaly::NotCurrent { number }))
        )
        .with_failure_message(|| caller.to_string())
    }

    fn anomalies(&self) -> Vec<Anomaly> {
        self.0.find_anomalies(&content(0))
    }
}

use Answer::{Acknowledged, Invalid};

const STALE: Answer = Answer::Stale { current: None };

#[gtest]
fn a_linearizable_history_is_accepted() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.read(1, 2, 0, 0);
    let first = builder.order(5, 0, 1);
    builder.sent(3, 9, first, Acknowledged);
    builder.read(10, 11, 5, 1);
    let second = builder.order(7, 5, 2);
    let rival = builder.order(7, 5, 3);
    builder.sent(12, 20, second, Acknowledged);
    builder.sent(12, 21, rival, STALE);
    let low = builder.order(7, 7, 4);
    builder.sent(22, 24, low, Invalid);
    builder.read(25, 26, 7, 2);
    builder.verify_explained()
}

#[gtest]
fn a_change_without_an_answer_may_have_taken_effect_or_not() -> Result<()> {
    for took_effect in [false, true] {
        let mut builder = HistoryBuilder::default();
        let unanswered = builder.order(4, 0, 1);
        builder.lost(1, unanswered);
        if took_effect {
            let next = builder.order(6, 4, 2);
            builder.sent(500, 510, next, Acknowledged);
            builder.read(520, 530, 6, 2);
        } else {
            let other = builder.order(3, 0, 2);
            builder.sent(500, 510, other, Acknowledged);
            builder.read(520, 530, 3, 2);
        }
        builder.verify_explained()?;
    }
    Ok(())
}

#[gtest]
fn a_retried_order_is_acknowledged_for_its_earlier_effect() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let first = builder.lose_answer_to_first_change();
    let second = builder.order(3, 2, 2);
    builder.sent(100, 120, second, Acknowledged);
    builder.sent(200, 210, first, Acknowledged);
    builder.read(220, 230, 3, 2);
    builder.verify_explained()
}

#[gtest]
fn a_refusal_may_reveal_an_unacknowledged_change() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.lose_answer_to_first_change();
    let refused = builder.order(3, 0, 2);
    builder.sent(10, 20, refused, STALE);
    builder.verify_explained()?;
    builder.read(30, 40, 0, 0);
    verify_that!(builder.anomalies(), not(is_empty()))
}

#[gtest]
fn readings_concurrent_with_a_change_may_return_either_version() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let first = builder.order(2, 0, 1);
    builder.sent(10, 50, first, Acknowledged);
    builder.read(20, 30, 0, 0);
    builder.read(31, 40, 2, 1);
    builder.verify_explained()?;
    builder.read(42, 45, 0, 0);
    builder.verify_finds_not_current(2)
}

#[gtest]
fn changed_items_are_applied_to_the_base_version() -> Result<()> {
    let item = |name: &str| ("routes".to_owned(), name.to_owned());
    let amendment = Effect::Amend(BTreeMap::from([
        (item("a"), Some(json!(1))),
        (item("b"), None),
    ]));
    let base_content = json!({"routes": {"b": 2, "c": 3}});
    for (read_content, is_correct) in [
        (json!({"routes": {"a": 1, "c": 3}}), true),
        (json!({"routes": {"a": 1}}), false),
    ] {
        let mut history = History::default();
        let effect = amendment.clone();
        let order = history.record_order(Order {
            number: 1,
            base: 0,
            effect,
            is_valid: true,
        });
        let attempt = history.record_attempt(at(1), order);
        history.record_answer(at(5), attempt, Acknowledged);
        let (requested_at, received_at, evacuated) = (at(6), at(7), BTreeSet::new());
        history.record_reading(Reading {
            requested_at,
            received_at,
            number: 1,
            content: read_content,
            evacuated,
        });
        verify_that!(
            history.find_anomalies(&base_content).is_empty(),
            eq(is_correct)
        )?;
    }
    Ok(())
}

#[gtest]
fn a_lost_acknowledged_change_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.acknowledge_first_change();
    builder.read(10, 12, 0, 0);
    builder.verify_finds_not_current(2)?;
    let rival = builder.order(3, 0, 2);
    builder.lost(6, rival);
    builder.read(20, 22, 3, 2);
    verify_that!(
        builder.anomalies(),
        contains(matches_pattern!(Anomaly::Unreachable { .. }))
    )
}

#[gtest]
fn two_acknowledgements_with_the_same_base_or_number_are_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let left = builder.order(2, 0, 1);
    let right = builder.order(3, 0, 2);
    builder.sent(1, 5, left, Acknowledged);
    builder.sent(1, 5, right, Acknowledged);
    let orders = (left, right);
    builder.verify_finds_only(&Anomaly::DuplicateBase { base: 0, orders })?;
    let mut builder = HistoryBuilder::default();
    let left = builder.order(2, 0, 1);
    let right = builder.order(2, 0, 2);
    builder.sent(1, 5, left, Acknowledged);
    builder.sent(1, 5, right, Acknowledged);
    let orders = (left, right);
    builder.verify_finds_only(&Anomaly::DuplicateNumber { number: 2, orders })
}

#[gtest]
fn an_acknowledged_invalid_order_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let order = builder.0.record_order(Order {
        is_valid: false,
        ..replacement(2, 0, 1)
    });
    builder.sent(1, 5, order, Acknowledged);
    let low = builder.order(4, 4, 1);
    builder.sent(6, 7, low, Acknowledged);
    let expected = [
        Anomaly::InvalidAcknowledged(order),
        Anomaly::InvalidAcknowledged(low),
    ];
    verify_that!(builder.anomalies(), eq(&expected))
}

#[gtest]
fn a_refusal_of_an_accepted_order_is_found() -> Result<()> {
    for answer in [STALE, Invalid] {
        let mut builder = HistoryBuilder::default();
        let first = builder.acknowledge_first_change();
        builder.sent(10, 15, first, answer);
        builder.verify_finds_only(&Anomaly::AcceptedRefused(first))?;
    }
    let mut builder = HistoryBuilder::default();
    let unanswered = builder.lose_answer_to_first_change();
    builder.sent(10, 15, unanswered, STALE);
    builder.read(20, 21, 2, 1);
    builder.verify_finds_only(&Anomaly::AcceptedRefused(unanswered))
}

#[gtest]
fn a_refusal_based_on_outdated_state_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.acknowledge_first_change();
    let second = builder.order(3, 2, 2);
    builder.sent(10, 15, second, STALE);
    builder.verify_finds_only(&Anomaly::CurrentRefused(second))?;
    let third = builder.order(4, 2, 3);
    builder.sent(20, 25, third, Acknowledged);
    builder.verify_finds_only(&Anomaly::CurrentRefused(second))
}

#[gtest]
fn a_refusal_that_reports_an_outdated_version_as_current_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.acknowledge_first_change();
    let second = builder.order(3, 2, 2);
    builder.sent(10, 15, second, Acknowledged);
    let rival = builder.order(4, 2, 3);
    builder.sent(14, 18, rival, Answer::Stale { current: Some(3) });
    builder.verify_explained()?;
    let late = builder.order(5, 3, 4);
    builder.sent(20, 25, late, Answer::Stale { current: Some(2) });
    let next = builder.order(6, 3, 5);
    builder.sent(21, 40, next, Acknowledged);
    builder.verify_finds_not_current(3)
}

#[gtest]
fn a_refusal_of_a_valid_order_as_invalid_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let first = builder.order(2, 0, 1);
    builder.sent(1, 5, first, Invalid);
    builder.verify_finds_only(&Anomaly::ValidRefused(first))?;
    let other = builder.order(9, 0, 3);
    builder.sent(10, 15, other, Acknowledged);
    builder.verify_finds_only(&Anomaly::ValidRefused(first))
}

#[gtest]
fn a_reading_of_an_unsent_or_older_version_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.acknowledge_first_change();
    builder.read(6, 7, 2, 9);
    verify_that!(
        builder.anomalies(),
        contains(matches_pattern!(Anomaly::Unreachable { .. }))
    )?;
    let mut builder = HistoryBuilder::default();
    builder.lose_answer_to_first_change();
    builder.read(6, 7, 2, 1);
    builder.read(8, 9, 0, 0);
    builder.verify_finds_not_current(2)
}

#[gtest]
fn an_effect_before_the_first_attempt_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    let first = builder.order(2, 0, 1);
    builder.read(6, 7, 2, 1);
    builder.sent(8, 9, first, Acknowledged);
    builder.verify_finds_not_current(2)
}

#[gtest]
fn a_zone_is_read_in_the_state_of_its_latest_order() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.evacuate_zone();
    builder.read_zones(6, 7, 0, 0, &["z"]);
    let restoration = builder.0.record_zone_order(at(10), "z", false);
    builder.read_zones(11, 12, 0, 0, &["z"]);
    builder.read_zones(11, 12, 0, 0, &[]);
    builder
        .0
        .record_zone_order_acknowledged(at(15), restoration);
    builder.read_zones(20, 21, 0, 0, &[]);
    builder.verify_explained()?;
    builder.read_zones(22, 23, 0, 0, &["z"]);
    let evacuated = true;
    let late = Anomaly::ZoneUnexplained {
        zone: "z".to_owned(),
        evacuated,
    };
    builder.verify_finds_only(&late)
}

#[gtest]
fn a_lost_or_late_evacuation_is_found() -> Result<()> {
    let mut builder = HistoryBuilder::default();
    builder.evacuate_zone();
    builder.read_zones(6, 7, 0, 0, &[]);
    let lost = Anomaly::ZoneUnexplained {
        zone: "z".to_owned(),
        evacuated: false,
    };
    builder.verify_finds_only(&lost)?;
    let mut builder = HistoryBuilder::default();
    let evacuation = builder.0.record_zone_order(at(1), "z", true);
    builder.0.record_zone_order_abandoned(at(50), evacuation);
    builder.read_zones(60, 61, 0, 0, &["z"]);
    builder.read_zones(62, 63, 0, 0, &[]);
    builder.verify_explained()?;
    let restoration = builder.0.record_zone_order(at(70), "z", false);
    builder
        .0
        .record_zone_order_acknowledged(at(75), restoration);
    builder.read_zones(80, 81, 0, 0, &["z"]);
    let late = Anomaly::ZoneUnexplained {
        zone: "z".to_owned(),
        evacuated: true,
    };
    builder.verify_finds_only(&late)
}

/// Checks random histories of a correct register with lost replies, with and without one falsified reply. No two orders
/// have the same number, so no other order can explain the falsified reply.
#[gtest]
fn random_correct_histories_are_explained_and_falsified_ones_are_found() -> Result<()> {
    let (mut falsified_count, mut found_count) = (0, 0);
    for seed in 0..200 {
        for falsify in [false, true] {
            let (builder, was_falsified) = random_history(seed, falsify);
            let anomalies = builder.anomalies();
            if was_falsified {
                falsified_count += 1;
                found_count += u32::from(!anomalies.is_empty());
            } else {
                verify_that!(anomalies, is_empty())
                    .with_failure_message(|| format!("seed {seed}"))?;
            }
        }
    }
    verify_that!(falsified_count, ge(100))?;
    verify_that!(found_count, eq(falsified_count))
}

/// Generates a random history in which orders take effect one after the other, each during its attempt.
fn random_history(seed: u64, falsify: bool) -> (HistoryBuilder, bool) {
    let mut rng = SeededRng::seeded(seed);
    let mut builder = HistoryBuilder::default();
    let (mut number, mut previous_number, mut label, mut was_falsified) = (0, 0, 0, false);
    let mut now = 0;
    for step in 1..=60 {
        now += 10;
        let may_falsify = falsify && !was_falsified && step > 30;
        if rng.random_bool(0.3) {
            builder.read(now, now + 3, number, label);
            continue;
        }
        let base = if rng.random_bool(0.7) {
            number
        } else {
            previous_number
        };
        let next_number = step * 10 + rng.below(3);
        let order = builder.order(next_number, base, step);
        let is_accepted = base == number;
        let is_lost = rng.random_bool(0.3);
        if is_lost {
            builder.lost(now, order);
        } else if may_falsify {
            builder.sent(
                now,
                now + 5,
                order,
                if is_accepted { STALE } else { Acknowledged },
            );
            was_falsified = true;
        } else {
            builder.sent(
                now,
                now + 5,
                order,
                if is_accepted { Acknowledged } else { STALE },
            );
        }
        if is_accepted {
            previous_number = std::mem::replace(&mut number, next_number);
            label = step;
        }
    }
    builder.read(now + 10, now + 20, number, label);
    (builder, was_falsified)
}
