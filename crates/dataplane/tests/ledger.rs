//! Tests of ledgers and their replicas: repair by range digests, sealing by a later holder, incarnations and expiry.

use common::clock::MonotonicTime;
use common::frames::{LedgerRecord, LedgerRecordState, RequestFailureReason, RequestOutcome};
use common::identity::{FencingToken, FunctionKey, IdempotencyKey, Incarnation, Version};
use common::rng::SeededRng;
use dataplane::ledger::{Ledger, LedgerReplica, RANGE_COUNT, digests, range_of};
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const INCARNATION: Incarnation = Incarnation(5);
const LEASE: FencingToken = FencingToken(9);

fn function() -> FunctionKey {
    FunctionKey::new("f", Version(2))
}

fn record(name: &str, state: LedgerRecordState) -> LedgerRecord {
    LedgerRecord {
        idempotency_key: name.into(),
        state,
        remaining_ms: 5000,
    }
}

fn states_by_key(records: &[LedgerRecord]) -> BTreeMap<IdempotencyKey, LedgerRecordState> {
    records
        .iter()
        .map(|record| (record.idempotency_key.clone(), record.state))
        .collect()
}

#[gtest]
fn a_copy_is_repaired_in_the_ranges_that_differ() -> Result<()> {
    let now = MonotonicTime(1_000_000_000);
    let mut rng = SeededRng::seeded(2);
    let mut ledger = Ledger::default();
    let mut replica = LedgerReplica::new(INCARNATION);
    for number in 0..400 {
        let name = IdempotencyKey::from(format!("t{number}"));
        let deadline = now + Duration::from_secs(3);
        ledger.record_request(name.clone(), true, deadline);
        if rng.random_bool(0.9) {
            let record = ledger.record_of(now, &name).expect("a record");
            replica.record(now, &function(), LEASE, INCARNATION, &[record]);
        }
        if rng.random_bool(0.1) {
            let outcome = RequestOutcome::Unknown {
                reason: RequestFailureReason::ResponseLost,
            };
            ledger.record_outcome(now, &name, true, deadline, outcome);
        }
    }
    let copy_of = |replica: &mut LedgerReplica| {
        let mut probe = LedgerReplica::new(INCARNATION);
        std::mem::swap(&mut probe, replica);
        probe
    };
    let mut copy = copy_of(&mut replica);
    let ranges = copy.compare(now, &function(), LEASE, INCARNATION, &ledger.digests(now));
    verify_that!(ranges.is_empty(), eq(false))?;
    let sent = ledger.records_in(now, &ranges);
    let sent_ranges: BTreeSet<u8> = sent
        .iter()
        .map(|record| range_of(&record.idempotency_key) as u8)
        .collect();
    verify_that!(
        sent_ranges.iter().all(|range| ranges.contains(range)),
        eq(true)
    )?;
    copy.record(now, &function(), LEASE, INCARNATION, &sent);
    let differing = copy.compare(now, &function(), LEASE, INCARNATION, &ledger.digests(now));
    verify_that!(differing, is_empty())?;
    let collected = copy
        .collect(now, &function(), LEASE, INCARNATION)
        .expect("a copy");
    verify_that!(
        states_by_key(&collected) == states_by_key(&ledger.once_records(now)),
        eq(true)
    )
}

#[gtest]
fn after_collection_an_earlier_holder_can_store_no_more_records() -> Result<()> {
    let now = MonotonicTime(1_000_000_000);
    let mut replica = LedgerReplica::new(INCARNATION);
    let first = [record("a", LedgerRecordState::Recorded)];
    verify_that!(
        replica.record(now, &function(), LEASE, INCARNATION, &first),
        eq(true)
    )?;
    let collected = replica.collect(now, &function(), LEASE, INCARNATION);
    verify_that!(collected.map(|records| records.len()), some(eq(1)))?;
    let late = [record("b", LedgerRecordState::Recorded)];
    verify_that!(
        replica.record(now, &function(), LEASE, INCARNATION, &late),
        eq(false)
    )?;
    verify_that!(
        replica.record(now, &function(), FencingToken(10), INCARNATION, &late),
        eq(true)
    )
}

#[gtest]
fn a_replica_of_another_incarnation_rejects_requests() -> Result<()> {
    let now = MonotonicTime(1_000_000_000);
    let mut replica = LedgerReplica::new(Incarnation(6));
    verify_that!(
        replica.record(now, &function(), LEASE, INCARNATION, &[]),
        eq(false)
    )?;
    verify_that!(
        replica
            .collect(now, &function(), LEASE, INCARNATION)
            .is_none(),
        eq(true)
    )
}

#[gtest]
fn replica_entries_expire() -> Result<()> {
    let now = MonotonicTime(1_000_000_000);
    let mut replica = LedgerReplica::new(INCARNATION);
    replica.record(
        now,
        &function(),
        LEASE,
        INCARNATION,
        &[record("a", LedgerRecordState::Recorded)],
    );
    replica.expire(now + Duration::from_secs(4));
    verify_that!(replica.entry_count(), eq(1))?;
    replica.expire(now + Duration::from_secs(6));
    verify_that!(replica.entry_count(), eq(0))
}

#[gtest]
fn digests_depend_on_state_but_not_on_order() -> Result<()> {
    let records = [
        record("a", LedgerRecordState::Recorded),
        record("b", LedgerRecordState::Answered),
    ];
    let reversed = [records[1].clone(), records[0].clone()];
    verify_that!(
        digests(records.iter()) == digests(reversed.iter()),
        eq(true)
    )?;
    let changed = [record("a", LedgerRecordState::Unknown), records[1].clone()];
    verify_that!(
        digests(records.iter()) == digests(changed.iter()),
        eq(false)
    )
}

/// Daemons of different builds compare their ledgers by these numbers, so they must never change.
#[gtest]
fn range_digests_have_their_fixed_values() -> Result<()> {
    let fixed_ranges = [
        ("request-3", LedgerRecordState::Recorded, 0),
        ("request-8", LedgerRecordState::Answered, 1),
        ("a", LedgerRecordState::Unknown, 10),
        ("b", LedgerRecordState::Rejected, 10),
        (
            "0190b0a2-5b7c-7cc2-8d25-3f2c9a7e1b44",
            LedgerRecordState::Recorded,
            4,
        ),
        ("zwölf", LedgerRecordState::Answered, 14),
        ("request-7", LedgerRecordState::Unknown, 15),
    ];
    let fixed_digests: [u64; RANGE_COUNT] = [
        0xbc37_5eb5_4466_97c9,
        0xdcc4_a150_e1af_e9d6,
        0,
        0,
        0x72f3_57a9_ed42_eb8a,
        0,
        0,
        0,
        0,
        0,
        0x5d8a_d404_0b48_5e12,
        0,
        0,
        0,
        0x83e6_b9af_86be_157a,
        0xf223_bd3e_eb7d_8342,
    ];
    for (name, _, range) in fixed_ranges {
        verify_that!(range_of(&name.into()), eq(range))?;
    }
    let records = fixed_ranges.map(|(name, state, _)| record(name, state));
    verify_that!(digests(records.iter()), eq(&fixed_digests.to_vec()))
}
