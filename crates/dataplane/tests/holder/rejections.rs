//! Tests of immediate rejections, each with the delay after which the request may be retried.

use crate::bench::{Bench, ms};
use common::frames::{RequestFailureReason, RequestOutcome};
use dataplane::holder::SendResult;
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn a_request_that_cannot_meet_its_deadline_is_rejected_at_once_with_a_retry_time() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm_up();
    let mut retry_after = None;
    for number in 0..400 {
        let outcome = bench.submit(&format!("t{number}"), false, false).1;
        if let Some(RequestOutcome::NotRun { retry_after_ms, .. }) = outcome {
            retry_after = Some(retry_after_ms);
            break;
        }
    }
    verify_that!(retry_after, some(gt(0)))
}

fn rejection_of(outcome: &Option<RequestOutcome>) -> Option<(RequestFailureReason, u32)> {
    match outcome {
        Some(RequestOutcome::NotRun {
            reason,
            retry_after_ms,
        }) => Some((*reason, *retry_after_ms)),
        _ => None,
    }
}

fn verify_rejections_until_once_requests_are_admitted() -> Result<()> {
    let mut waiting_for_ledger = Bench::new(1, 1, ms(3000));
    waiting_for_ledger.warm_up();
    let once = rejection_of(&waiting_for_ledger.submit("o", true, false).1);
    verify_that!(
        once,
        some((
            eq(RequestFailureReason::OnceNotYetAdmitted),
            all![ge(100), le(3000)]
        ))
    )?;
    let repeated = rejection_of(&waiting_for_ledger.submit("o", true, false).1);
    verify_that!(
        repeated,
        some((eq(RequestFailureReason::RejectedBefore), ge(100)))
    )?;
    let repeat = rejection_of(&waiting_for_ledger.submit("r", false, true).1);
    verify_that!(
        repeat,
        some((eq(RequestFailureReason::RetryBudgetSpent), eq(2000)))
    )
}

fn verify_rejections_of_a_busy_holder() -> Result<()> {
    let mut busy = Bench::new(1, 1, Duration::ZERO);
    busy.warm_up();
    let (running, _) = busy.submit("running", false, false);
    let runner = busy.sent[0].runner;
    busy.finish_send(running, SendResult::RejectedByRunner);
    let rejected = rejection_of(&busy.ended.get(&running).cloned());
    verify_that!(
        rejected,
        some((eq(RequestFailureReason::RejectedByRunner), ge(100)))
    )?;
    let reported: Vec<(RequestFailureReason, u32)> = (0..200)
        .filter_map(|number| rejection_of(&busy.submit(&format!("t{number}"), false, false).1))
        .collect();
    verify_that!(reported.len(), ge(1))?;
    for (reason, retry_after_ms) in reported {
        let is_overload = matches!(
            reason,
            RequestFailureReason::QueueFull | RequestFailureReason::DeadlineTooShort
        );
        verify_that!(is_overload && retry_after_ms >= 100, eq(true))?;
    }
    verify_that!(runner.ordinal, gt(0))
}

fn verify_rejection_of_a_forbidden_request() -> Result<()> {
    let mut forbidding = Bench::new(1, 1, Duration::ZERO);
    forbidding.warm_up();
    let (ticket, _) = forbidding.submit("b", false, false);
    let result = SendResult::Forbidden(RequestFailureReason::NotAllowed);
    forbidding.finish_send(ticket, result);
    let reported = rejection_of(&forbidding.ended.get(&ticket).cloned());
    verify_that!(
        reported,
        some((eq(RequestFailureReason::NotAllowed), ge(100)))
    )
}

#[gtest]
fn every_rejection_reason_is_reported_at_once_with_a_retry_time() -> Result<()> {
    verify_rejections_until_once_requests_are_admitted()?;
    verify_rejections_of_a_busy_holder()?;
    verify_rejection_of_a_forbidden_request()
}
