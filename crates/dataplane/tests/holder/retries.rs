//! Tests of retries and of the retry budget.

use crate::bench::{Bench, SentRequest, ample_retry_budget, ms, reason, response_lost};
use crate::held_function::response;
use crate::holder_bench::HolderBench;
use common::clock::MonotonicTime;
use common::frames::{RequestFailureReason, RequestOutcome};
use common::identity::{RunnerId, Ticket};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use dataplane::holder::{HolderOutput, SendResult, Tuning};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn a_rejection_after_a_lost_attempt_is_unknown_and_never_not_run() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm_up();
    bench.advance(ms(10_100));
    for number in 0..20 {
        let (ticket, _) = bench.submit(&format!("fill{number}"), false, false);
        let runner = bench.last_sent().runner;
        bench.answer(ticket, runner);
    }
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("risky", false, false);
    bench.finish_send(ticket, SendResult::Lost);
    verify_that!(bench.sent.last().map(|sent| sent.attempt), some(eq(2)))?;
    bench.finish_send(ticket, SendResult::RejectedByRunner);
    verify_that!(bench.ended.get(&ticket), some(eq(&response_lost())))
}

/// Random traffic: some requests are retries by callers, some lose their response, and the rest are answered
/// immediately.
struct RetryTraffic {
    bench: Bench,
    rng: SeededRng,
    /// When first attempts were submitted.
    first_attempts: Vec<MonotonicTime>,
    /// When retries were admitted or sent.
    retries: Vec<MonotonicTime>,
}

impl RetryTraffic {
    fn new() -> Self {
        let mut bench = Bench::new(4, 4, Duration::ZERO);
        bench.warm_up();
        Self {
            bench,
            rng: SeededRng::seeded(5),
            first_attempts: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn submit(&mut self, number: u32) {
        self.bench.advance(ms(self.rng.below(40)));
        let is_retry = self.rng.random_bool(0.5);
        let sent_before = self.bench.sent.len();
        let (ticket, immediate) = self.bench.submit(&format!("t{number}"), false, is_retry);
        if !is_retry {
            self.first_attempts.push(self.bench.now);
        } else if immediate.is_none() {
            self.retries.push(self.bench.now);
        }
        let is_response_lost = self.rng.random_bool(0.3);
        if self.bench.sent.len() > sent_before {
            let sent = self.bench.last_sent();
            if is_response_lost && sent.ticket == ticket {
                self.lose_and_answer_retry(ticket);
            } else {
                self.bench.answer(sent.ticket, sent.runner);
            }
        }
    }

    fn lose_and_answer_retry(&mut self, ticket: Ticket) {
        self.bench.finish_send(ticket, SendResult::Lost);
        let last = self.bench.last_sent();
        if last.ticket == ticket && last.attempt > 1 {
            self.retries.push(self.bench.now);
            self.bench.answer(last.ticket, last.runner);
        }
    }

    /// Has the runners of the last requests report that they are running no request, which frees the slots of lost
    /// responses.
    fn resolve_last_sends(&mut self) {
        let last_sent: Vec<SentRequest> = self.bench.sent.iter().rev().take(3).copied().collect();
        for sent in last_sent {
            self.bench.drive(|holder, now| {
                holder.handle_running_list(now + ms(300), sent.runner, Some(Vec::new()))
            });
        }
    }
}

#[gtest]
fn retries_stay_within_the_retry_budget() -> Result<()> {
    let mut traffic = RetryTraffic::new();
    for number in 0..4000 {
        traffic.submit(number);
        traffic.resolve_last_sends();
    }
    let RetryTraffic {
        first_attempts,
        retries,
        ..
    } = traffic;
    verify_that!(retries.len(), ge(100))?;
    for (index, retry) in retries.iter().enumerate() {
        let in_window =
            |instant: &&MonotonicTime| retry.since(**instant) <= ms(10_000) && **instant <= *retry;
        let retry_count = retries[..=index].iter().filter(in_window).count();
        let first_attempt_count = first_attempts.iter().filter(in_window).count();
        verify_that!(
            retry_count as f64,
            le(first_attempt_count as f64 / 5.0 + 4.0)
        )?;
    }
    Ok(())
}

fn failed_at(runner: RunnerId) -> RequestOutcome {
    response(runner, 500, b"broken")
}

#[gtest]
fn a_rejected_request_is_retried_within_its_attempt_limit_and_the_retry_budget() -> Result<()> {
    for (max_attempts, allowance, expected_sends) in [(1, 50, 1), (3, 50, 3), (9, 2, 3), (9, 0, 1)]
    {
        let tuning = Tuning::builder()
            .retry_percent(0)
            .retry_allowance(allowance)
            .retry_allowance_immediate(true)
            .build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.warm_up();
        bench.max_attempts = max_attempts;
        let (ticket, _) = bench.submit("refused", false, false);
        for _ in 0..12 {
            if bench.sent.last().is_some_and(|sent| sent.ticket == ticket) {
                bench.finish_send(ticket, SendResult::RejectedByRunner);
            }
            bench.advance(ms(100));
        }
        verify_that!(bench.send_count(ticket), eq(expected_sends))?;
        let Some(RequestOutcome::NotRun {
            reason,
            retry_after_ms,
        }) = bench.ended.get(&ticket)
        else {
            return fail!("a request that never ran has no outcome \"not run\"");
        };
        verify_that!(*reason, eq(RequestFailureReason::RejectedByRunner))?;
        verify_that!(*retry_after_ms, ge(200))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_that_rejects_unexpectedly_is_throttled() -> Result<()> {
    let mut bench = Bench::new(4, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    bench.warm_up();
    let (first, _) = bench.submit("a", true, false);
    let (second, _) = bench.submit("b", true, false);
    bench.finish_send(second, SendResult::RejectedByRunner);
    verify_that!(
        reason(&bench.ended.get(&second).cloned()),
        some(eq(RequestFailureReason::RejectedByRunner))
    )?;
    let (third, _) = bench.submit("c", true, false);
    bench.advance(ms(150));
    verify_that!(bench.send_count(third), eq(0))?;
    bench.advance(ms(60));
    verify_that!(bench.send_count(third), eq(1))?;
    verify_that!(bench.send_count(first), eq(1))
}

#[gtest]
fn a_misdirected_request_is_requeued_and_its_runner_replaced() -> Result<()> {
    for once in [false, true] {
        let mut bench = Bench::new(2, 2, Duration::ZERO).with_tuning(ample_retry_budget());
        bench.warm_up();
        let (ticket, _) = bench.submit("misdirected", once, false);
        let runner = bench.last_sent().runner;
        bench.finish_send(ticket, SendResult::WrongRunner);
        let is_stop = |output: &HolderOutput| matches!(output, HolderOutput::Stop { runner: stopped, .. } if *stopped == runner);
        verify_that!(bench.has_output(is_stop), eq(true))?;
        verify_that!(bench.ended.get(&ticket), none())?;
        bench.advance(ms(60));
        bench.advance(ms(60));
        let last = bench.last_sent();
        verify_that!((last.ticket, last.attempt), eq((ticket, 2)))?;
        verify_that!(last.runner, not(eq(runner)))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_failure_is_retried_or_forwarded_unchanged() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    bench.warm_up();
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("fails", false, false);
    let runner = bench.last_sent().runner;
    bench.finish_send(ticket, SendResult::Failed(failed_at(runner)));
    verify_that!(bench.send_count(ticket), eq(2))?;
    bench.finish_send(ticket, SendResult::Lost);
    verify_that!(bench.ended.get(&ticket), some(eq(&failed_at(runner))))?;
    let (once, _) = bench.submit("fails once", true, false);
    bench.finish_send(once, SendResult::Failed(failed_at(runner)));
    verify_that!(bench.send_count(once), eq(1))?;
    verify_that!(bench.ended.get(&once), some(eq(&failed_at(runner))))
}

/// A daemon forwards a request again if it got no reply. The attempts of the first request may still be in progress
/// then.
#[gtest]
fn a_request_marked_as_a_retry_is_sent_to_one_runner_only() -> Result<()> {
    let ends = [SendResult::Lost, SendResult::RejectedByRunner];
    for end in ends {
        let mut bench = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
        bench.warm_up();
        bench.max_attempts = 3;
        let (ticket, _) = bench.submit("forwarded again", false, true);
        bench.finish_send(ticket, end);
        verify_that!(bench.send_count(ticket), eq(1))?;
        verify_that!(bench.ended.contains_key(&ticket), eq(true))?;
    }
    let mut flawed = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    flawed.holder = flawed
        .holder
        .with_rules(Rules::without(Rule::RepeatSentToOneRunner));
    flawed.warm_up();
    flawed.max_attempts = 3;
    let (ticket, _) = flawed.submit("forwarded again", false, true);
    flawed.finish_send(ticket, SendResult::Lost);
    verify_that!(flawed.send_count(ticket), eq(2))
}
