//! Tests of once-only requests and their idempotency keys.

use crate::bench::{Bench, ms, reason, response_lost};
use common::frames::RequestFailureReason;
use dataplane::holder::{HolderOutput, SendResult};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn a_once_request_is_sent_once_and_its_key_is_never_sent_again() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm_up();
    let (ticket, immediate) = bench.submit("only", true, false);
    verify_that!(immediate.is_none(), eq(true))?;
    verify_that!(
        reason(&bench.submit("only", true, false).1),
        some(eq(RequestFailureReason::InProgress))
    )?;
    bench.finish_send(ticket, SendResult::Lost);
    for _ in 0..50 {
        bench.advance(ms(100));
    }
    let repeated = bench.submit("only", true, false).1;
    verify_that!(repeated, some(eq(&response_lost())))?;
    let sends = bench.send_count(ticket);
    verify_that!(sends, eq(1))
}

#[gtest]
fn a_rejected_key_stays_rejected() -> Result<()> {
    let mut bench = Bench::new(2, 4, ms(1000));
    verify_that!(
        reason(&bench.submit("early", true, false).1),
        some(eq(RequestFailureReason::OnceNotYetAdmitted))
    )?;
    bench.advance(ms(1500));
    verify_that!(
        reason(&bench.submit("early", true, false).1),
        some(eq(RequestFailureReason::RejectedBefore))
    )?;
    verify_that!(bench.submit("later", true, false).1.is_none(), eq(true))
}

#[gtest]
fn a_once_request_with_a_fresh_key_is_sent_once_and_not_recorded() -> Result<()> {
    let mut bench = Bench::new(2, 4, ms(60_000));
    bench.recorded = false;
    bench.warm_up();
    let (ticket, immediate) = bench.submit("fresh", true, false);
    verify_that!(immediate, none())?;
    bench.finish_send(ticket, SendResult::Lost);
    for _ in 0..40 {
        bench.advance(ms(100));
    }
    verify_that!(bench.send_count(ticket), eq(1))?;
    verify_that!(bench.ended.get(&ticket), some(eq(&response_lost())))?;
    let is_record = |output: &HolderOutput| matches!(output, HolderOutput::Record { .. });
    verify_that!(bench.has_output(is_record), eq(false))?;
    verify_that!(bench.submit("fresh", true, false).1, none())
}
