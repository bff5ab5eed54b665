//! Tests of the replication of the ledger, and of its collection by the next holder.

use crate::bench::{Bench, ms, reason};
use crate::holder_bench::HolderBench;
use common::frames::{
    Flag, Host, LedgerRecord, LedgerRecordState, PreviousLease, RequestFailureReason,
    RequestOutcome, SocketAddress,
};
use common::identity::FencingToken;
use dataplane::holder::{HolderMessage, HolderOutput};
use googletest::prelude::*;
use std::time::Duration;

fn replica(name: &str) -> Host {
    Host {
        member: name.into(),
        incarnation: 1.into(),
        zone: "elsewhere".into(),
        address: SocketAddress::UNSPECIFIED,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

/// Returns the previous lease, whose ledger a successor can collect.
fn previous_lease() -> PreviousLease {
    PreviousLease {
        replica: replica("s"),
        fencing_token: FencingToken(0),
    }
}

fn ledger_record(idempotency_key: &str, state: LedgerRecordState) -> LedgerRecord {
    LedgerRecord {
        idempotency_key: idempotency_key.into(),
        state,
        remaining_ms: 9000,
    }
}

fn batch_ids_of(outputs: &[HolderOutput]) -> Vec<u64> {
    outputs
        .iter()
        .filter_map(|output| match output {
            HolderOutput::Record { batch_id, .. } => Some(*batch_id),
            _ => None,
        })
        .collect()
}

#[gtest]
fn a_once_request_is_sent_only_after_its_replica_has_recorded_it() -> Result<()> {
    let mut bench = Bench::with_replica(2, Duration::ZERO, Some(replica("s")), None);
    bench.warm_up();
    bench.outputs.clear();
    let (ticket, _) = bench.submit("only", true, false);
    let batch_ids = batch_ids_of(&bench.outputs);
    verify_that!(batch_ids.len(), eq(1))?;
    verify_that!(bench.sent.len(), eq(0))?;
    bench.drive(|holder, now| holder.handle_records_stored(now, batch_ids[0], true));
    verify_that!(bench.sent.first().map(|sent| sent.ticket), some(eq(ticket)))
}

#[gtest]
fn an_unresponsive_replica_is_replaced_and_nothing_is_sent_meanwhile() -> Result<()> {
    let mut bench = Bench::with_replica(2, Duration::ZERO, Some(replica("s")), None);
    bench.warm_up();
    bench.outputs.clear();
    bench.submit("only", true, false);
    let batch_id = batch_ids_of(&bench.outputs)[0];
    let outputs = bench
        .holder
        .handle_records_stored(bench.now, batch_id, false);
    let requests_replacement = outputs.iter().any(|output| {
        matches!(
            output,
            HolderOutput::Report(HolderMessage::ReplicaLost { .. })
        )
    });
    bench.handle_outputs(outputs);
    verify_that!(requests_replacement, eq(true))?;
    bench.advance(ms(40));
    verify_that!(bench.sent.len(), eq(0))?;
    bench.outputs.clear();
    bench.drive(|holder, now| holder.handle_replica_assigned(now, Some(replica("t"))));
    let batch_ids = batch_ids_of(&bench.outputs);
    verify_that!(batch_ids.is_empty(), eq(false))?;
    for batch_id in batch_ids {
        bench.drive(|holder, now| holder.handle_records_stored(now, batch_id, true));
    }
    verify_that!(bench.sent.len(), eq(1))?;
    let reported_complete = bench.outputs.iter().any(|output| {
        matches!(
            output,
            HolderOutput::Report(HolderMessage::ReplicaComplete { .. })
        )
    });
    verify_that!(reported_complete, eq(true))
}

#[gtest]
fn a_successor_reruns_no_request_of_the_collected_ledger_and_admits_others() -> Result<()> {
    let mut bench = Bench::with_replica(2, ms(5000), None, Some(previous_lease()));
    bench.warm_up();
    let (known, _) = bench.submit("ran", true, false);
    let (fresh, _) = bench.submit("fresh", true, false);
    verify_that!(bench.sent.len(), eq(0))?;
    let recorded_request = ledger_record("ran", LedgerRecordState::Recorded);
    let rejected_request = ledger_record("no", LedgerRecordState::Rejected);
    bench.drive(|holder, now| {
        holder.handle_collected_ledger(now, Some(vec![recorded_request, rejected_request]))
    });
    verify_that!(
        bench.ended.get(&known),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::AlreadyRan
        }))
    )?;
    verify_that!(bench.sent.iter().any(|sent| sent.ticket == fresh), eq(true))?;
    verify_that!(
        reason(&bench.submit("no", true, false).1),
        some(eq(RequestFailureReason::RejectedBefore))
    )
}

#[gtest]
fn a_successor_without_the_ledger_rejects_once_requests_until_the_wait_is_over() -> Result<()> {
    let mut bench = Bench::with_replica(2, ms(2000), None, Some(previous_lease()));
    bench.warm_up();
    let (early, _) = bench.submit("early", true, false);
    bench.drive(|holder, now| holder.handle_collected_ledger(now, None));
    verify_that!(
        reason(&bench.ended.get(&early).cloned()),
        some(eq(RequestFailureReason::OnceNotYetAdmitted))
    )?;
    bench.advance(ms(2100));
    verify_that!(bench.submit("late", true, false).1.is_none(), eq(true))
}
