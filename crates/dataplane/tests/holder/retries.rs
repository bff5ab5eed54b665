//! Retries, and their budget.

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
    bench.warm();
    bench.advance(ms(10_100));
    for number in 0..20 {
        let (ticket, _) = bench.submit(&format!("fill{number}"), false, false);
        let runner = bench.last_sent().runner;
        bench.answer(ticket, runner);
    }
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("risky", false, false);
    bench.end(ticket, SendResult::Lost);
    verify_that!(bench.sent.last().map(|sent| sent.attempt), some(eq(2)))?;
    bench.end(ticket, SendResult::RejectedByRunner);
    verify_that!(bench.ended.get(&ticket), some(eq(&response_lost())))
}

/// Requests of which some are retries of callers, some lose their response, and the rest are answered at once.
struct RetryTraffic {
    bench: Bench,
    rng: SeededRng,
    /// When first requests were submitted.
    firsts: Vec<MonotonicTime>,
    /// When retries were admitted or sent.
    extras: Vec<MonotonicTime>,
}

impl RetryTraffic {
    fn new() -> Self {
        let mut bench = Bench::new(4, 4, Duration::ZERO);
        bench.warm();
        Self {
            bench,
            rng: SeededRng::seeded(5),
            firsts: Vec::new(),
            extras: Vec::new(),
        }
    }

    fn submit(&mut self, number: u32) {
        self.bench.advance(ms(self.rng.below(40)));
        let repeat = self.rng.random_bool(0.5);
        let sent_before = self.bench.sent.len();
        let (ticket, immediate) = self.bench.submit(&format!("t{number}"), false, repeat);
        if !repeat {
            self.firsts.push(self.bench.now);
        } else if immediate.is_none() {
            self.extras.push(self.bench.now);
        }
        let outcome_is_lost = self.rng.random_bool(0.3);
        if self.bench.sent.len() > sent_before {
            let sent = self.bench.last_sent();
            if outcome_is_lost && sent.ticket == ticket {
                self.lose_and_answer_retry(ticket);
            } else {
                self.bench.answer(sent.ticket, sent.runner);
            }
        }
    }

    fn lose_and_answer_retry(&mut self, ticket: Ticket) {
        self.bench.end(ticket, SendResult::Lost);
        let last = self.bench.last_sent();
        if last.ticket == ticket && last.attempt > 1 {
            self.extras.push(self.bench.now);
            self.bench.answer(last.ticket, last.runner);
        }
    }

    /// The runners of the last requests report that they run nothing.
    fn settle_last_runners(&mut self) {
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
        traffic.settle_last_runners();
    }
    let RetryTraffic { firsts, extras, .. } = traffic;
    verify_that!(extras.len(), ge(100))?;
    for (index, extra) in extras.iter().enumerate() {
        let in_window =
            |instant: &&MonotonicTime| extra.since(**instant) <= ms(10_000) && **instant <= *extra;
        let extra_count = extras[..=index].iter().filter(in_window).count();
        let first_count = firsts.iter().filter(in_window).count();
        verify_that!(extra_count as f64, le(first_count as f64 / 5.0 + 4.0))?;
    }
    Ok(())
}

fn failed_at(runner: RunnerId) -> RequestOutcome {
    response(runner, 500, b"broken")
}

#[gtest]
fn a_rejected_request_is_retried_within_its_route_and_the_retry_budget() -> Result<()> {
    for (max_attempts, allowance, expected_sends) in [(1, 50, 1), (3, 50, 3), (9, 2, 3), (9, 0, 1)]
    {
        let tuning = Tuning::builder()
            .retry_percent(0)
            .retry_allowance(allowance)
            .retry_allowance_immediate(true)
            .build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.warm();
        bench.max_attempts = max_attempts;
        let (ticket, _) = bench.submit("refused", false, false);
        for _ in 0..12 {
            if bench.sent.last().is_some_and(|sent| sent.ticket == ticket) {
                bench.end(ticket, SendResult::RejectedByRunner);
            }
            bench.advance(ms(100));
        }
        verify_that!(bench.send_count(ticket), eq(expected_sends))?;
        let Some(RequestOutcome::NotRun {
            reason,
            retry_after_ms,
        }) = bench.ended.get(&ticket)
        else {
            return fail!("a transaction that never ran is not refused");
        };
        verify_that!(*reason, eq(RequestFailureReason::RejectedByRunner))?;
        verify_that!(*retry_after_ms, ge(200))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_that_rejects_unexpectedly_is_throttled() -> Result<()> {
    let mut bench = Bench::new(4, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    bench.warm();
    let (first, _) = bench.submit("a", true, false);
    let (second, _) = bench.submit("b", true, false);
    bench.end(second, SendResult::RejectedByRunner);
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
        bench.warm();
        let (ticket, _) = bench.submit("lost way", once, false);
        let runner = bench.last_sent().runner;
        bench.end(ticket, SendResult::WrongRunner);
        let stops = |order: &HolderOutput| matches!(order, HolderOutput::Stop { runner: stopped, .. } if *stopped == runner);
        verify_that!(bench.has_output(stops), eq(true))?;
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
    bench.warm();
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("fails", false, false);
    let runner = bench.last_sent().runner;
    bench.end(ticket, SendResult::Failed(failed_at(runner)));
    verify_that!(bench.send_count(ticket), eq(2))?;
    bench.end(ticket, SendResult::Lost);
    verify_that!(bench.ended.get(&ticket), some(eq(&failed_at(runner))))?;
    let (once, _) = bench.submit("fails once", true, false);
    bench.end(once, SendResult::Failed(failed_at(runner)));
    verify_that!(bench.send_count(once), eq(1))?;
    verify_that!(bench.ended.get(&once), some(eq(&failed_at(runner))))
}

/// The caller's daemon forwards a request again when no reply came: the first one may still be making its attempts.
#[gtest]
fn a_repeat_is_sent_to_one_runner_only() -> Result<()> {
    let ends = [SendResult::Lost, SendResult::RejectedByRunner];
    for end in ends {
        let mut bench = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
        bench.warm();
        bench.max_attempts = 3;
        let (ticket, _) = bench.submit("passed again", false, true);
        bench.end(ticket, end);
        verify_that!(bench.send_count(ticket), eq(1))?;
        verify_that!(bench.ended.contains_key(&ticket), eq(true))?;
    }
    let mut flawed = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    flawed.holder = flawed
        .holder
        .with_rules(Rules::without(Rule::RepeatSentToOneRunner));
    flawed.warm();
    flawed.max_attempts = 3;
    let (ticket, _) = flawed.submit("passed again", false, true);
    flawed.end(ticket, SendResult::Lost);
    verify_that!(flawed.send_count(ticket), eq(2))
}
