//! A held function: slots, slow start, idempotency keys, retries, rejections, replication.

use common::adapter::StartOutcome;
use common::clock::MonotonicTime;
use common::frames::{
    ClaimedRunner, Flag, Host, Instance, LedgerRecord, LedgerRecordState, LengthPrefixed,
    PreviousLease, RequestFailureReason, RequestOutcome, ReserveResult, RunnerStatus,
    SocketAddress,
};
use common::identity::{FencingToken, FunctionKey, RunnerId, Ticket, Version};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use dataplane::holder::{
    AdmissionRequest, Holder, HolderMessage, HolderOutput, LeaseTerms, SendResult, Tuning,
};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(50_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Bench {
    holder: Holder,
    now: MonotonicTime,
    sent: Vec<(Ticket, RunnerId, u32)>,
    ended: BTreeMap<Ticket, RequestOutcome>,
    outputs: Vec<HolderOutput>,
    next_ticket: u64,
    next_runner: u64,
    recorded: bool,
    max_attempts: u32,
    rank: u8,
}

impl Bench {
    fn new(slots: u32, max_runners: u32, once_wait: Duration) -> Self {
        Self::of(slots, max_runners, once_wait, None, None)
    }

    fn with_replica(
        slots: u32,
        once_wait: Duration,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
    ) -> Self {
        Self::of(slots, 4, once_wait, replica, previous_lease)
    }

    fn of(
        slots: u32,
        max_runners: u32,
        once_wait: Duration,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
    ) -> Self {
        Self::build(
            slots,
            max_runners,
            once_wait,
            replica,
            previous_lease,
            Vec::new(),
        )
    }

    fn with_adopted_runners(slots: u32, adopted: Vec<ClaimedRunner>) -> Self {
        Self::build(slots, 1, Duration::ZERO, None, None, adopted)
    }

    fn build(
        slots: u32,
        max_runners: u32,
        once_wait: Duration,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
        adopted: Vec<ClaimedRunner>,
    ) -> Self {
        let spec = FunctionSpec {
            connections: 100,
            memory_mb: 100,
            startup: ms(100),
            slots,
            min_runners: 0,
            max_runners,
        };
        let terms = LeaseTerms {
            function: FunctionKey::new("f", Version(2)),
            fencing_token: FencingToken(1),
            spec,
            once_wait,
            replica,
            previous_lease,
            adopted,
        };
        Self {
            holder: Holder::new(START, terms),
            now: START,
            sent: Vec::new(),
            ended: BTreeMap::new(),
            outputs: Vec::new(),
            next_ticket: 0,
            next_runner: 0,
            recorded: true,
            max_attempts: 100,
            rank: 0,
        }
    }

    fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.holder = self.holder.with_tuning(START, tuning);
        self
    }

    fn send_count(&self, ticket: Ticket) -> usize {
        self.sent
            .iter()
            .filter(|(sent, _, _)| *sent == ticket)
            .count()
    }

    fn take(&mut self, outputs: Vec<HolderOutput>) {
        for output in outputs {
            self.outputs.push(output.clone());
            match output {
                HolderOutput::Send {
                    ticket,
                    runner,
                    attempt,
                    ..
                } => {
                    self.sent.push((ticket, runner, attempt));
                }
                HolderOutput::End { ticket, outcome } => {
                    self.ended.insert(ticket, outcome);
                }
                HolderOutput::Report(HolderMessage::Reserve) => {
                    self.next_runner += 1;
                    let runner = RunnerId {
                        fencing_token: FencingToken(1),
                        ordinal: self.next_runner,
                    };
                    let result = ReserveResult::Reserved {
                        runner,
                        worker: "w".into(),
                        memory_mb: 100,
                    };
                    let outputs = self.holder.reserved(self.now, &result);
                    self.take(outputs);
                }
                HolderOutput::Start { runner, .. } => {
                    let instance = Instance {
                        name: format!("life of {runner}").into(),
                        address: SocketAddress::UNSPECIFIED,
                    };
                    let outputs =
                        self.holder
                            .started(self.now, runner, StartOutcome::Started(instance));
                    self.take(outputs);
                }
                HolderOutput::Probe { runner, .. } => {
                    let outputs = self.holder.probed(self.now, runner, true);
                    self.take(outputs);
                }
                _ => {}
            }
        }
    }

    fn submit(&mut self, name: &str, once: bool, repeat: bool) -> (Ticket, Option<RequestOutcome>) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let request = AdmissionRequest {
            ticket,
            idempotency_key: name.into(),
            once,
            recorded: self.recorded,
            max_attempts: self.max_attempts,
            repeat,
            deadline: self.now + ms(3000),
            queue_timeout: ms(3000),
            target: ms(3000),
            rank: self.rank,
            region: None,
        };
        let (immediate, outputs) = self.holder.admit(self.now, request);
        self.take(outputs);
        (ticket, immediate)
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let outputs = self.holder.tick(self.now);
        self.take(outputs);
    }

    fn end(&mut self, ticket: Ticket, end: SendResult) {
        let outputs = self.holder.handle_send_result(self.now, ticket, end);
        self.take(outputs);
    }

    fn answer(&mut self, ticket: Ticket, runner: RunnerId) {
        let outcome = RequestOutcome::Response {
            header_fields: common::frames::LengthPrefixed(Vec::new()),
            status: 200,
            seal: Vec::new().into(),
            runner,
            body: b"done".to_vec().into(),
        };
        self.end(ticket, SendResult::Answered(outcome));
    }

    fn warm(&mut self) {
        self.submit("warm", false, false);
        self.advance(ms(60));
        self.advance(ms(60));
        let (ticket, runner, _) = self.sent.pop().expect("sent");
        self.answer(ticket, runner);
    }
}

fn reason(outcome: &Option<RequestOutcome>) -> Option<RequestFailureReason> {
    match outcome {
        Some(RequestOutcome::NotRun { reason, .. } | RequestOutcome::Unknown { reason }) => {
            Some(*reason)
        }
        _ => None,
    }
}

#[gtest]
fn slow_start_begins_at_one_and_widens_with_answers() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    for number in 0..6 {
        bench.submit(&format!("t{number}"), false, false);
    }
    bench.advance(ms(120));
    let runners: std::collections::BTreeSet<RunnerId> =
        bench.sent.iter().map(|(_, runner, _)| *runner).collect();
    verify_that!(bench.sent.len(), eq(runners.len()))?;
    let (ticket, runner, _) = bench.sent.remove(0);
    let sent_before = bench.sent.len();
    bench.answer(ticket, runner);
    let newly_sent = bench.sent.len() - sent_before;
    verify_that!(newly_sent, eq(2))
}

#[gtest]
fn a_lost_answer_holds_its_slot_until_the_runner_reports_it_done() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (first, _) = bench.submit("a", true, false);
    let (_, runner, _) = *bench.sent.last().expect("sent");
    bench.end(first, SendResult::Lost);
    verify_that!(
        bench.ended.get(&first),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost
        }))
    )?;
    let sent_before = bench.sent.len();
    bench.submit("b", true, false);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    let still_running =
        bench
            .holder
            .running_listed(bench.now + ms(300), runner, Some(vec!["a".into()]));
    bench.take(still_running);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    let done = bench
        .holder
        .running_listed(bench.now + ms(300), runner, Some(Vec::new()));
    bench.take(done);
    verify_that!(bench.sent.len(), eq(sent_before + 1))
}

#[gtest]
fn a_once_request_is_sent_once_and_its_key_never_again() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm();
    let (ticket, immediate) = bench.submit("only", true, false);
    verify_that!(immediate.is_none(), eq(true))?;
    verify_that!(
        reason(&bench.submit("only", true, false).1),
        some(eq(RequestFailureReason::InProgress))
    )?;
    bench.end(ticket, SendResult::Lost);
    for _ in 0..50 {
        bench.advance(ms(100));
    }
    let repeated = bench.submit("only", true, false).1;
    verify_that!(
        repeated,
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost
        }))
    )?;
    let sends = bench
        .sent
        .iter()
        .filter(|(sent, _, _)| *sent == ticket)
        .count();
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
fn a_rejection_after_a_lost_attempt_is_unknown_and_never_not_run() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm();
    bench.advance(ms(10_100));
    for number in 0..20 {
        let (ticket, _) = bench.submit(&format!("fill{number}"), false, false);
        let runner = bench.sent.last().expect("sent").1;
        bench.answer(ticket, runner);
    }
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("risky", false, false);
    bench.end(ticket, SendResult::Lost);
    verify_that!(bench.sent.last().map(|sent| sent.2), some(eq(2)))?;
    bench.end(ticket, SendResult::RejectedByRunner);
    verify_that!(
        bench.ended.get(&ticket),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost
        }))
    )
}

fn adopted_runner() -> ClaimedRunner {
    ClaimedRunner {
        runner: RunnerId {
            fencing_token: FencingToken(1),
            ordinal: 77,
        },
        worker: "w".into(),
        memory_mb: 100,
        instance: LengthPrefixed(vec![Instance {
            name: "an earlier holder's".into(),
            address: SocketAddress::UNSPECIFIED,
        }]),
        is_adoptable: Flag(true),
    }
}

#[gtest]
fn an_adopted_runner_is_used_at_once_with_half_of_its_slots() -> Result<()> {
    let mut bench = Bench::with_adopted_runners(8, vec![adopted_runner()]);
    let outputs = bench.holder.start(bench.now);
    bench.take(outputs);
    verify_that!(bench.next_runner, eq(0))?;
    for number in 0..6 {
        bench.submit(&format!("t{number}"), false, false);
    }
    let adopted_sends = bench
        .sent
        .iter()
        .filter(|(_, runner, _)| runner.ordinal == 77)
        .count();
    verify_that!(adopted_sends, eq(4))?;
    let (first, runner, _) = bench.sent[0];
    bench.answer(first, runner);
    let adopted_sends = bench
        .sent
        .iter()
        .filter(|(_, runner, _)| runner.ordinal == 77)
        .count();
    verify_that!(adopted_sends, eq(6))
}

#[gtest]
fn a_start_is_retried_until_the_platform_names_the_instance() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = RunnerId {
        fencing_token: FencingToken(1),
        ordinal: 5,
    };
    let result = ReserveResult::Reserved {
        runner,
        worker: "w".into(),
        memory_mb: 100,
    };
    let starts = |outputs: &[HolderOutput]| {
        let is_start = |output: &&HolderOutput| matches!(output, HolderOutput::Start { runner: started, .. } if *started == runner);
        outputs.iter().filter(is_start).count()
    };
    verify_that!(starts(&bench.holder.reserved(bench.now, &result)), eq(1))?;
    for end in [StartOutcome::Lost, StartOutcome::Busy] {
        verify_that!(starts(&bench.holder.started(bench.now, runner, end)), eq(0))?;
        bench.now = bench.now + ms(200);
        verify_that!(starts(&bench.holder.tick(bench.now)), eq(1))?;
    }
    let instance = Instance {
        name: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
    };
    let outputs = bench
        .holder
        .started(bench.now, runner, StartOutcome::Started(instance.clone()));
    let reported = outputs.iter().any(|output| {
        matches!(output, HolderOutput::Report(HolderMessage::RunnerStatus { runner_status: RunnerStatus::Started { instance: reported }, .. })
            if *reported == instance)
    });
    verify_that!(reported, eq(true))
}

#[gtest]
fn a_full_worker_costs_the_reservation_and_another_is_requested() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = RunnerId {
        fencing_token: FencingToken(1),
        ordinal: 5,
    };
    let result = ReserveResult::Reserved {
        runner,
        worker: "w".into(),
        memory_mb: 100,
    };
    bench.holder.reserved(bench.now, &result);
    let outputs = bench
        .holder
        .started(bench.now, runner, StartOutcome::NoCapacity);
    let gone = outputs.iter().any(|output| {
        matches!(
            output,
            HolderOutput::Report(HolderMessage::RunnerStatus {
                runner_status: RunnerStatus::Gone,
                ..
            })
        )
    });
    verify_that!(gone, eq(true))?;
    bench.now = bench.now + ms(500);
    let outputs = bench.holder.tick(bench.now);
    let requests_another = outputs
        .iter()
        .any(|output| matches!(output, HolderOutput::Report(HolderMessage::Reserve)));
    verify_that!(requests_another, eq(true))
}

#[gtest]
fn a_closed_holder_rejects_its_queue_and_sends_nothing_more() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.submit("running", false, false);
    let (waiting, _) = bench.submit("waiting", false, false);
    let outputs = bench.holder.close(bench.now);
    let stops = outputs
        .iter()
        .filter(|output| matches!(output, HolderOutput::Stop { .. }))
        .count();
    bench.take(outputs);
    let claim = bench.holder.claim();
    let orphaned: Vec<&ClaimedRunner> = claim
        .runners
        .0
        .iter()
        .filter(|listed| listed.is_adoptable.0)
        .collect();
    verify_that!(claim.is_releasing.0, eq(true))?;
    verify_that!(orphaned.len(), eq(1))?;
    verify_that!(orphaned[0].instance.0.len(), eq(1))?;
    verify_that!(stops + orphaned.len(), eq(claim.runners.0.len()))?;
    verify_that!(
        reason(&bench.ended.get(&waiting).cloned()),
        some(eq(RequestFailureReason::NotServing))
    )?;
    let sent_before = bench.sent.len();
    bench.end(running, SendResult::Lost);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    verify_that!(
        bench.ended.get(&running),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost
        }))
    )?;
    verify_that!(
        reason(&bench.submit("late", false, false).1),
        some(eq(RequestFailureReason::NotHolder))
    )
}

#[gtest]
fn retries_stay_within_the_retry_budget() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    bench.warm();
    let mut rng = SeededRng::seeded(5);
    let mut firsts: Vec<MonotonicTime> = Vec::new();
    let mut extras: Vec<MonotonicTime> = Vec::new();
    for number in 0..4000 {
        bench.advance(ms(rng.below(40)));
        let repeat = rng.random_bool(0.5);
        let sent_before = bench.sent.len();
        let (ticket, immediate) = bench.submit(&format!("t{number}"), false, repeat);
        if !repeat {
            firsts.push(bench.now);
        } else if immediate.is_none() {
            extras.push(bench.now);
        }
        let outcome_is_lost = rng.random_bool(0.3);
        if bench.sent.len() > sent_before {
            let (sent_ticket, runner, _) = *bench.sent.last().expect("sent");
            if outcome_is_lost && sent_ticket == ticket {
                bench.end(sent_ticket, SendResult::Lost);
                let repeated = bench
                    .sent
                    .last()
                    .filter(|last| last.0 == ticket && last.2 > 1)
                    .copied();
                if let Some((again_ticket, again_runner, _)) = repeated {
                    extras.push(bench.now);
                    bench.answer(again_ticket, again_runner);
                }
            } else {
                bench.answer(sent_ticket, runner);
            }
        }
        let settled_runners: Vec<RunnerId> =
            bench.sent.iter().map(|(_, runner, _)| *runner).collect();
        for runner in settled_runners.into_iter().rev().take(3) {
            let outputs =
                bench
                    .holder
                    .running_listed(bench.now + ms(300), runner, Some(Vec::new()));
            bench.take(outputs);
        }
    }
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

#[gtest]
fn what_cannot_meet_its_deadline_is_rejected_at_once_with_a_retry_time() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let mut rejected_request = None;
    for number in 0..400 {
        let outcome = bench.submit(&format!("t{number}"), false, false).1;
        if let Some(RequestOutcome::NotRun { retry_after_ms, .. }) = outcome {
            rejected_request = Some(retry_after_ms);
            break;
        }
    }
    verify_that!(rejected_request, some(gt(0)))
}

fn retry_of(outcome: &Option<RequestOutcome>) -> Option<(RequestFailureReason, u32)> {
    match outcome {
        Some(RequestOutcome::NotRun {
            reason,
            retry_after_ms,
        }) => Some((*reason, *retry_after_ms)),
        _ => None,
    }
}

#[gtest]
fn every_rejection_reason_is_reported_at_once_with_a_retry_time() -> Result<()> {
    let mut waiting_for_ledger = Bench::new(1, 1, ms(3000));
    waiting_for_ledger.warm();
    let once = retry_of(&waiting_for_ledger.submit("o", true, false).1);
    verify_that!(
        once,
        some((
            eq(RequestFailureReason::OnceNotYetAdmitted),
            all![ge(100), le(3000)]
        ))
    )?;
    let repeated = retry_of(&waiting_for_ledger.submit("o", true, false).1);
    verify_that!(
        repeated,
        some((eq(RequestFailureReason::RejectedBefore), ge(100)))
    )?;
    let repeat = retry_of(&waiting_for_ledger.submit("r", false, true).1);
    verify_that!(
        repeat,
        some((eq(RequestFailureReason::RetryBudgetSpent), eq(2000)))
    )?;

    let mut busy = Bench::new(1, 1, Duration::ZERO);
    busy.warm();
    let (running, _) = busy.submit("running", false, false);
    let runner = busy.sent[0].1;
    let outputs = busy
        .holder
        .handle_send_result(busy.now, running, SendResult::RejectedByRunner);
    busy.take(outputs);
    let rejected = retry_of(&busy.ended.get(&running).cloned());
    verify_that!(
        rejected,
        some((eq(RequestFailureReason::RejectedByRunner), ge(100)))
    )?;
    let mut immediate = Vec::new();
    for number in 0..200 {
        immediate.push(retry_of(
            &busy.submit(&format!("t{number}"), false, false).1,
        ));
    }
    let reported: Vec<(RequestFailureReason, u32)> = immediate.into_iter().flatten().collect();
    verify_that!(reported.len(), ge(1))?;
    for (reason, retry_after_ms) in reported {
        let is_crowd = matches!(
            reason,
            RequestFailureReason::QueueFull | RequestFailureReason::DeadlineTooShort
        );
        verify_that!(is_crowd && retry_after_ms >= 100, eq(true))?;
    }

    let mut barred = Bench::new(1, 1, Duration::ZERO);
    barred.warm();
    let (ticket, _) = barred.submit("b", false, false);
    let end = SendResult::Forbidden(RequestFailureReason::NotAllowed);
    let outputs = barred.holder.handle_send_result(barred.now, ticket, end);
    barred.take(outputs);
    let reported = retry_of(&barred.ended.get(&ticket).cloned());
    verify_that!(
        reported,
        some((eq(RequestFailureReason::NotAllowed), ge(100)))
    )?;
    verify_that!(runner.ordinal, gt(0))
}

#[gtest]
fn a_spec_change_never_exceeds_the_slots_a_runner_was_started_with() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO);
    bench.warm();
    let wider = FunctionSpec {
        connections: 100,
        memory_mb: 100,
        startup: ms(100),
        slots: 8,
        min_runners: 0,
        max_runners: 1,
    };
    bench.holder.update_spec(wider);
    for number in 0..40 {
        bench.submit(&format!("t{number}"), false, false);
        if number % 2 == 0
            && let Some((ticket, runner, _)) = bench.sent.first().copied()
        {
            bench.answer(ticket, runner);
        }
        verify_that!(bench.holder.request_counts().1, le(2))?;
    }
    Ok(())
}

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

fn records(outputs: &[HolderOutput]) -> Vec<u64> {
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
    bench.warm();
    bench.outputs.clear();
    let (ticket, _) = bench.submit("only", true, false);
    let batch_ids = records(&bench.outputs);
    verify_that!(batch_ids.len(), eq(1))?;
    verify_that!(bench.sent.len(), eq(0))?;
    let outputs = bench
        .holder
        .handle_records_stored(bench.now, batch_ids[0], true);
    bench.take(outputs);
    verify_that!(bench.sent.first().map(|sent| sent.0), some(eq(ticket)))
}

#[gtest]
fn an_unresponsive_replica_is_replaced_and_nothing_is_sent_meanwhile() -> Result<()> {
    let mut bench = Bench::with_replica(2, Duration::ZERO, Some(replica("s")), None);
    bench.warm();
    bench.outputs.clear();
    bench.submit("only", true, false);
    let batch_id = records(&bench.outputs)[0];
    let outputs = bench
        .holder
        .handle_records_stored(bench.now, batch_id, false);
    let asks_for_another = outputs.iter().any(|output| {
        matches!(
            output,
            HolderOutput::Report(HolderMessage::ReplicaLost { .. })
        )
    });
    bench.take(outputs);
    verify_that!(asks_for_another, eq(true))?;
    bench.advance(ms(40));
    verify_that!(bench.sent.len(), eq(0))?;
    bench.outputs.clear();
    let outputs = bench.holder.replica_assigned(bench.now, Some(replica("t")));
    bench.take(outputs);
    let batch_ids = records(&bench.outputs);
    verify_that!(batch_ids.is_empty(), eq(false))?;
    for batch_id in batch_ids {
        let outputs = bench
            .holder
            .handle_records_stored(bench.now, batch_id, true);
        bench.take(outputs);
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
fn a_successor_admits_at_once_and_reruns_nothing_in_the_collected_ledger() -> Result<()> {
    let previous_lease = PreviousLease {
        replica: replica("s"),
        fencing_token: FencingToken(0),
    };
    let mut bench = Bench::with_replica(2, ms(5000), None, Some(previous_lease));
    bench.warm();
    let (known, _) = bench.submit("ran", true, false);
    let (fresh, _) = bench.submit("fresh", true, false);
    verify_that!(bench.sent.len(), eq(0))?;
    let line = LedgerRecord {
        idempotency_key: "ran".into(),
        state: LedgerRecordState::Recorded,
        remaining_ms: 9000,
    };
    let rejected_request = LedgerRecord {
        idempotency_key: "no".into(),
        state: LedgerRecordState::Rejected,
        remaining_ms: 9000,
    };
    let outputs = bench
        .holder
        .collected(bench.now, Some(vec![line, rejected_request]));
    bench.take(outputs);
    verify_that!(
        bench.ended.get(&known),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::AlreadyRan
        }))
    )?;
    verify_that!(bench.sent.iter().any(|sent| sent.0 == fresh), eq(true))?;
    verify_that!(
        reason(&bench.submit("no", true, false).1),
        some(eq(RequestFailureReason::RejectedBefore))
    )
}

#[gtest]
fn a_successor_without_the_ledger_rejects_until_the_wait_is_over() -> Result<()> {
    let previous_lease = PreviousLease {
        replica: replica("s"),
        fencing_token: FencingToken(0),
    };
    let mut bench = Bench::with_replica(2, ms(2000), None, Some(previous_lease));
    bench.warm();
    let (early, _) = bench.submit("early", true, false);
    let outputs = bench.holder.collected(bench.now, None);
    bench.take(outputs);
    verify_that!(
        reason(&bench.ended.get(&early).cloned()),
        some(eq(RequestFailureReason::OnceNotYetAdmitted))
    )?;
    bench.advance(ms(2100));
    verify_that!(bench.submit("late", true, false).1.is_none(), eq(true))
}

fn ample_retry_budget() -> Tuning {
    Tuning::builder()
        .retry_allowance(50)
        .retry_allowance_immediate(true)
        .build()
}

fn failed_at(runner: RunnerId) -> RequestOutcome {
    RequestOutcome::Response {
        header_fields: common::frames::LengthPrefixed(Vec::new()),
        status: 500,
        seal: Vec::new().into(),
        runner,
        body: b"broken".to_vec().into(),
    }
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
            if bench
                .sent
                .last()
                .is_some_and(|(sent, _, _)| *sent == ticket)
            {
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
        let runner = bench.sent.last().expect("sent").1;
        bench.end(ticket, SendResult::WrongRunner);
        let stops = |order: &HolderOutput| matches!(order, HolderOutput::Stop { runner: stopped, .. } if *stopped == runner);
        verify_that!(bench.outputs.iter().any(stops), eq(true))?;
        verify_that!(bench.ended.get(&ticket), none())?;
        bench.advance(ms(60));
        bench.advance(ms(60));
        let (last_ticket, last_runner, attempt) = *bench.sent.last().expect("sent");
        verify_that!((last_ticket, attempt), eq((ticket, 2)))?;
        verify_that!(last_runner, not(eq(runner)))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_failure_is_retried_or_forwarded_unchanged() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO).with_tuning(ample_retry_budget());
    bench.warm();
    bench.max_attempts = 2;
    let (ticket, _) = bench.submit("fails", false, false);
    let runner = bench.sent.last().expect("sent").1;
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

#[gtest]
fn a_once_request_with_a_fresh_key_is_sent_once_and_not_recorded() -> Result<()> {
    let mut bench = Bench::new(2, 4, ms(60_000));
    bench.recorded = false;
    bench.warm();
    let (ticket, immediate) = bench.submit("fresh", true, false);
    verify_that!(immediate, none())?;
    bench.end(ticket, SendResult::Lost);
    for _ in 0..40 {
        bench.advance(ms(100));
    }
    verify_that!(bench.send_count(ticket), eq(1))?;
    verify_that!(
        bench.ended.get(&ticket),
        some(eq(&RequestOutcome::Unknown {
            reason: RequestFailureReason::ResponseLost
        }))
    )?;
    let records = |order: &HolderOutput| matches!(order, HolderOutput::Record { .. });
    verify_that!(bench.outputs.iter().any(records), eq(false))?;
    verify_that!(bench.submit("fresh", true, false).1, none())
}

#[gtest]
fn a_lost_answer_holds_its_slot_for_a_time_where_runners_list_nothing() -> Result<()> {
    let tuning = Tuning::builder().lists_running(false).build();
    let mut bench = Bench::new(1, 1, Duration::ZERO).with_tuning(tuning);
    bench.warm();
    let (first, _) = bench.submit("a", true, false);
    bench.end(first, SendResult::Lost);
    let (second, _) = bench.submit("b", true, false);
    bench.advance(ms(390));
    verify_that!(bench.send_count(second), eq(0))?;
    verify_that!(bench.holder.next_due(), some(le(bench.now + ms(10))))?;
    bench.advance(ms(11));
    verify_that!(bench.send_count(second), eq(1))?;
    let lists_running = |order: &HolderOutput| matches!(order, HolderOutput::ListRunning { .. });
    verify_that!(bench.outputs.iter().any(lists_running), eq(false))
}

#[gtest]
fn an_idle_function_stops_its_last_runner_unless_it_is_kept_warm() -> Result<()> {
    for (idle_startups, is_prewarmed, is_stopped) in
        [(0, false, false), (20, true, false), (20, false, true)]
    {
        let tuning = Tuning::builder().idle_startups(idle_startups).build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.holder.set_prewarmed(is_prewarmed);
        bench.warm();
        bench.outputs.clear();
        bench.advance(ms(1900));
        let stops = |bench: &Bench| {
            bench
                .outputs
                .iter()
                .any(|order| matches!(order, HolderOutput::Stop { .. }))
        };
        verify_that!(stops(&bench), eq(false))?;
        for _ in 0..3 {
            bench.advance(ms(100));
        }
        verify_that!(stops(&bench), eq(is_stopped))?;
        if !is_stopped {
            continue;
        }
        let stopped = bench.outputs.iter().find_map(|order| match order {
            HolderOutput::Stop { runner, .. } => Some(*runner),
            _ => None,
        });
        let outputs = bench.holder.stopped(bench.now, stopped.expect("one"));
        bench.take(outputs);
        bench.advance(ms(5000));
        verify_that!(bench.holder.runner_counts(), eq((0, 0)))?;
        let (ticket, immediate) = bench.submit("next", false, false);
        verify_that!(immediate, none())?;
        bench.advance(ms(60));
        bench.advance(ms(60));
        verify_that!(bench.send_count(ticket), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn the_queue_is_ordered_by_rank_then_arrival() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.submit("running", false, false);
    let runner = bench.sent[0].1;
    let waiting: Vec<Ticket> = [3, 1, 0, 1]
        .into_iter()
        .map(|rank| {
            bench.rank = rank;
            bench
                .submit(
                    &format!("rank {rank} of {}", bench.next_ticket),
                    false,
                    false,
                )
                .0
        })
        .collect();
    bench.sent.clear();
    bench.answer(running, runner);
    while let Some((ticket, _, _)) = bench.sent.last().copied()
        && !bench.ended.contains_key(&ticket)
    {
        bench.answer(ticket, runner);
    }
    let order: Vec<Ticket> = bench.sent.iter().map(|(ticket, _, _)| *ticket).collect();
    verify_that!(
        order,
        eq(&vec![waiting[2], waiting[1], waiting[3], waiting[0]])
    )
}

#[gtest]
fn a_runner_with_two_consecutive_lost_answers_is_replaced() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    bench.warm();
    for (number, wanted_count) in [(0, 1), (1, 2)] {
        let (ticket, _) = bench.submit(&format!("t{number}"), true, false);
        bench.end(ticket, SendResult::Lost);
        verify_that!(bench.next_runner, eq(wanted_count))?;
    }
    Ok(())
}

#[gtest]
fn calls_that_a_starting_runner_can_serve_in_time_start_no_other() -> Result<()> {
    for (call_count, most_runners) in [(6, 1), (400, 4)] {
        let mut bench = Bench::new(2, 4, Duration::ZERO);
        for number in 0..call_count {
            bench.submit(&format!("t{number}"), false, false);
        }
        verify_that!(bench.next_runner, eq(most_runners))?;
    }
    Ok(())
}

#[gtest]
fn a_rarely_called_function_is_stopped_soon_and_a_frequent_one_is_not() -> Result<()> {
    for (call_count, is_stopped) in [(1, true), (12, false)] {
        let tuning = Tuning::builder()
            .idle_startups(10)
            .rare_idle_limit(Some(ms(200)))
            .build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).with_tuning(tuning);
        bench.warm();
        for number in 1..call_count {
            bench.advance(ms(100));
            let (ticket, _) = bench.submit(&format!("t{number}"), false, false);
            let runner = bench.sent.last().expect("sent").1;
            bench.answer(ticket, runner);
        }
        bench.outputs.clear();
        bench.advance(ms(150));
        bench.advance(ms(150));
        let is_ordered = bench
            .outputs
            .iter()
            .any(|order| matches!(order, HolderOutput::Stop { .. }));
        verify_that!(is_ordered, eq(is_stopped))?;
    }
    Ok(())
}

fn released_runners(bench: &Bench) -> Vec<usize> {
    let released = |output: &HolderOutput| match output {
        HolderOutput::Report(HolderMessage::Released { runners }) => Some(runners.len()),
        _ => None,
    };
    bench.outputs.iter().filter_map(released).collect()
}

#[gtest]
fn a_release_finishes_what_was_admitted_and_returns_the_lease_once() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.submit("running", false, false);
    let outputs = bench.holder.begin_release(bench.now);
    bench.take(outputs);
    verify_that!(bench.holder.is_releasing(), eq(true))?;
    verify_that!(bench.holder.is_claimable(), eq(true))?;
    verify_that!(
        reason(&bench.submit("late", false, false).1),
        some(eq(RequestFailureReason::NotHolder))
    )?;
    verify_that!(released_runners(&bench), is_empty())?;
    let (_, runner, _) = *bench.sent.last().expect("sent");
    bench.answer(running, runner);
    verify_that!(bench.ended.contains_key(&running), eq(true))?;
    verify_that!(released_runners(&bench), eq(&vec![1]))?;
    verify_that!(bench.holder.is_claimable(), eq(false))?;
    verify_that!(bench.holder.is_finished(bench.now), eq(true))?;
    let outputs = bench.holder.begin_release(bench.now);
    bench.take(outputs);
    let outputs = bench.holder.close(bench.now);
    bench.take(outputs);
    bench.advance(ms(100));
    verify_that!(released_runners(&bench), eq(&vec![1]))?;
    verify_that!(bench.holder.is_finished(bench.now), eq(true))
}

#[gtest]
fn a_closed_holder_is_finished_when_its_orphans_are_reported_or_after_ten_seconds() -> Result<()> {
    for is_reported in [true, false] {
        let mut bench = Bench::new(1, 1, Duration::ZERO);
        bench.warm();
        let (running, _) = bench.submit("running", false, false);
        let outputs = bench.holder.begin_release(bench.now);
        bench.take(outputs);
        let outputs = bench.holder.close(bench.now);
        bench.take(outputs);
        if is_reported {
            bench.holder.orphans_reported();
        }
        verify_that!(bench.holder.orphaned_runners().len(), eq(1))?;
        verify_that!(bench.holder.is_finished(bench.now), eq(false))?;
        let (_, runner, _) = *bench.sent.last().expect("sent");
        bench.answer(running, runner);
        verify_that!(bench.holder.is_finished(bench.now), eq(is_reported))?;
        bench.advance(ms(6000));
        let outputs = bench.holder.close(bench.now);
        bench.take(outputs);
        bench.advance(ms(4000));
        verify_that!(bench.holder.is_finished(bench.now), eq(is_reported))?;
        bench.advance(ms(1));
        verify_that!(bench.holder.is_finished(bench.now), eq(true))?;
        verify_that!(released_runners(&bench), is_empty())?;
    }
    Ok(())
}

#[gtest]
fn an_unused_function_stops_its_runners_until_the_next_request() -> Result<()> {
    let tuning = Tuning::builder().idle_startups(3).build();
    let mut bench = Bench::new(1, 1, Duration::ZERO).with_tuning(tuning);
    bench.warm();
    let outputs = bench.holder.stop_if_unused(bench.now);
    bench.take(outputs);
    let stopped = stopped_runners(&bench);
    verify_that!(stopped.len(), eq(1))?;
    let outputs = bench.holder.stopped(bench.now, stopped[0]);
    bench.take(outputs);
    let started_before = bench.next_runner;
    bench.advance(ms(1000));
    verify_that!(bench.next_runner, eq(started_before))?;
    let (next, _) = bench.submit("next", false, false);
    verify_that!(bench.next_runner, eq(started_before + 1))?;
    bench.advance(ms(60));
    let (_, runner, _) = *bench.sent.last().expect("sent");
    bench.answer(next, runner);
    verify_that!(stopped_runners(&bench).len(), eq(1))?;
    bench.advance(ms(290));
    verify_that!(stopped_runners(&bench).len(), eq(1))?;
    bench.advance(ms(20));
    verify_that!(stopped_runners(&bench).len(), eq(2))
}

fn stopped_runners(bench: &Bench) -> Vec<RunnerId> {
    let stopped = |output: &HolderOutput| match output {
        HolderOutput::Stop { runner, .. } => Some(*runner),
        _ => None,
    };
    bench.outputs.iter().filter_map(stopped).collect()
}
