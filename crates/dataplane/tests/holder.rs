//! A held function: slots, ramps, identities, extra tries, refusals.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{
    ClaimRunner, Flag, HopOutcome, HopReason, Host, LedgerNote, Life, Many, NoteState, Place,
    Prior, ReserveResult, RunnerNews,
};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Serial, Ticket};
use common::rules::{Rule, Rules};
use common::spec::FunctionSpec;
use common::tongue::BeginEnd;
use dataplane::holder::{Entry, GrantTerms, Holder, HolderMessage, HolderOutput, SendEnd, Tuning};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Moment = Moment(50_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Bench {
    holder: Holder,
    now: Moment,
    sent: Vec<(Ticket, RunnerId, u32)>,
    ended: BTreeMap<Ticket, HopOutcome>,
    orders: Vec<HolderOutput>,
    next_ticket: u64,
    next_runner: u64,
    noted: bool,
    tries: u32,
    rank: u8,
}

impl Bench {
    fn new(slots: u32, max_runners: u32, once_wait: Duration) -> Self {
        Self::of(slots, max_runners, once_wait, None, None)
    }

    fn with_steward(
        slots: u32,
        once_wait: Duration,
        steward: Option<Host>,
        prior: Option<Prior>,
    ) -> Self {
        Self::of(slots, 4, once_wait, steward, prior)
    }

    fn of(
        slots: u32,
        max_runners: u32,
        once_wait: Duration,
        steward: Option<Host>,
        prior: Option<Prior>,
    ) -> Self {
        Self::made(slots, max_runners, once_wait, steward, prior, Vec::new())
    }

    fn taking_over(slots: u32, adopted: Vec<ClaimRunner>) -> Self {
        Self::made(slots, 1, Duration::ZERO, None, None, adopted)
    }

    fn made(
        slots: u32,
        max_runners: u32,
        once_wait: Duration,
        steward: Option<Host>,
        prior: Option<Prior>,
        adopted: Vec<ClaimRunner>,
    ) -> Self {
        let spec = FunctionSpec {
            connections: 100,
            memory_mb: 100,
            boot: ms(100),
            slots,
            min_runners: 0,
            max_runners,
        };
        let terms = GrantTerms {
            function: FunctionKey::new("f", Serial(2)),
            grant: GrantSerial(1),
            spec,
            once_wait,
            steward,
            prior,
            adopted,
        };
        Self {
            holder: Holder::new(START, terms),
            now: START,
            sent: Vec::new(),
            ended: BTreeMap::new(),
            orders: Vec::new(),
            next_ticket: 0,
            next_runner: 0,
            noted: true,
            tries: 100,
            rank: 0,
        }
    }

    fn tuned(mut self, tuning: Tuning) -> Self {
        self.holder = self.holder.with_tuning(START, tuning);
        self
    }

    fn sends_of(&self, ticket: Ticket) -> usize {
        self.sent.iter().filter(|(sent, _, _)| *sent == ticket).count()
    }

    fn take(&mut self, outputs: Vec<HolderOutput>) {
        for output in outputs {
            self.orders.push(output.clone());
            match output {
                HolderOutput::Send { ticket, runner, attempt, .. } => {
                    self.sent.push((ticket, runner, attempt));
                }
                HolderOutput::End { ticket, outcome } => {
                    self.ended.insert(ticket, outcome);
                }
                HolderOutput::Tell(HolderMessage::Reserve) => {
                    self.next_runner += 1;
                    let runner = RunnerId { grant: GrantSerial(1), ordinal: self.next_runner };
                    let result =
                        ReserveResult::Reserved { runner, worker: "w".into(), memory_mb: 100 };
                    let outputs = self.holder.reserved(self.now, &result);
                    self.take(outputs);
                }
                HolderOutput::Start { runner, .. } => {
                    let life =
                        Life { name: format!("life of {runner}").into(), place: Place::NOWHERE };
                    let outputs = self.holder.started(self.now, runner, BeginEnd::Begun(life));
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

    fn enter(&mut self, name: &str, once: bool, repeat: bool) -> (Ticket, Option<HopOutcome>) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let entry = Entry {
            ticket,
            transaction: name.into(),
            once,
            noted: self.noted,
            tries: self.tries,
            repeat,
            budget_end: self.now + ms(3000),
            patience: ms(3000),
            target: ms(3000),
            rank: self.rank,
            region: None,
        };
        let (at_once, outputs) = self.holder.grant_entry(self.now, entry);
        self.take(outputs);
        (ticket, at_once)
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        let outputs = self.holder.tick(self.now);
        self.take(outputs);
    }

    fn end(&mut self, ticket: Ticket, end: SendEnd) {
        let outputs = self.holder.sent_ended(self.now, ticket, end);
        self.take(outputs);
    }

    fn answer(&mut self, ticket: Ticket, runner: RunnerId) {
        let outcome = HopOutcome::Answer {
            lines: common::frames::Many(Vec::new()),
            status: 200,
            seal: Vec::new().into(),
            runner,
            body: b"done".to_vec().into(),
        };
        self.end(ticket, SendEnd::Answered(outcome));
    }

    fn warm(&mut self) {
        self.enter("warm", false, false);
        self.pass(ms(60));
        self.pass(ms(60));
        let (ticket, runner, _) = self.sent.pop().expect("sent");
        self.answer(ticket, runner);
    }
}

fn reason(outcome: &Option<HopOutcome>) -> Option<HopReason> {
    match outcome {
        Some(HopOutcome::NotRun { reason, .. } | HopOutcome::Unknown { reason }) => Some(*reason),
        _ => None,
    }
}

#[gtest]
fn a_fresh_runner_gets_one_and_its_ramp_widens_by_answers() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    for number in 0..6 {
        bench.enter(&format!("t{number}"), false, false);
    }
    bench.pass(ms(120));
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
fn a_lost_answer_keeps_its_slot_until_the_runner_is_done() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (first, _) = bench.enter("a", true, false);
    let (_, runner, _) = *bench.sent.last().expect("sent");
    bench.end(first, SendEnd::Lost);
    verify_that!(
        bench.ended.get(&first),
        some(eq(&HopOutcome::Unknown { reason: HopReason::AnswerLost }))
    )?;
    let sent_before = bench.sent.len();
    bench.enter("b", true, false);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    let still_running = bench.holder.settled(bench.now + ms(300), runner, Some(vec!["a".into()]));
    bench.take(still_running);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    let done = bench.holder.settled(bench.now + ms(300), runner, Some(Vec::new()));
    bench.take(done);
    verify_that!(bench.sent.len(), eq(sent_before + 1))
}

#[gtest]
fn a_once_transaction_is_sent_once_and_its_identity_never_again() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm();
    let (ticket, at_once) = bench.enter("only", true, false);
    verify_that!(at_once.is_none(), eq(true))?;
    verify_that!(reason(&bench.enter("only", true, false).1), some(eq(HopReason::UnderWay)))?;
    bench.end(ticket, SendEnd::Lost);
    for _ in 0..50 {
        bench.pass(ms(100));
    }
    let again = bench.enter("only", true, false).1;
    verify_that!(again, some(eq(&HopOutcome::Unknown { reason: HopReason::AnswerLost })))?;
    let sends = bench.sent.iter().filter(|(sent, _, _)| *sent == ticket).count();
    verify_that!(sends, eq(1))
}

#[gtest]
fn a_refused_identity_stays_refused() -> Result<()> {
    let mut bench = Bench::new(2, 4, ms(1000));
    verify_that!(reason(&bench.enter("early", true, false).1), some(eq(HopReason::OnceWait)))?;
    bench.pass(ms(1500));
    verify_that!(reason(&bench.enter("early", true, false).1), some(eq(HopReason::ShedBefore)))?;
    verify_that!(bench.enter("later", true, false).1.is_none(), eq(true))
}

#[gtest]
fn a_refusal_after_a_lost_try_is_unknown_and_never_not_run() -> Result<()> {
    let mut bench = Bench::new(2, 4, Duration::ZERO);
    bench.warm();
    bench.pass(ms(10_100));
    for number in 0..20 {
        let (ticket, _) = bench.enter(&format!("fill{number}"), false, false);
        let runner = bench.sent.last().expect("sent").1;
        bench.answer(ticket, runner);
    }
    bench.tries = 2;
    let (ticket, _) = bench.enter("risky", false, false);
    bench.end(ticket, SendEnd::Lost);
    verify_that!(bench.sent.last().map(|sent| sent.2), some(eq(2)))?;
    bench.end(ticket, SendEnd::ShedByRunner);
    verify_that!(
        bench.ended.get(&ticket),
        some(eq(&HopOutcome::Unknown { reason: HopReason::AnswerLost }))
    )
}

fn adopted_runner() -> ClaimRunner {
    ClaimRunner {
        runner: RunnerId { grant: GrantSerial(1), ordinal: 77 },
        worker: "w".into(),
        memory_mb: 100,
        life: Many(vec![Life { name: "an earlier holder's".into(), place: Place::NOWHERE }]),
        fit: Flag(true),
    }
}

#[gtest]
fn a_runner_taken_over_is_used_at_once_with_half_of_its_slots() -> Result<()> {
    let mut bench = Bench::taking_over(8, vec![adopted_runner()]);
    let outputs = bench.holder.begin(bench.now);
    bench.take(outputs);
    verify_that!(bench.next_runner, eq(0))?;
    for number in 0..6 {
        bench.enter(&format!("t{number}"), false, false);
    }
    let adopted_sends = bench.sent.iter().filter(|(_, runner, _)| runner.ordinal == 77).count();
    verify_that!(adopted_sends, eq(4))?;
    let (first, runner, _) = bench.sent[0];
    bench.answer(first, runner);
    let adopted_sends = bench.sent.iter().filter(|(_, runner, _)| runner.ordinal == 77).count();
    verify_that!(adopted_sends, eq(6))
}

#[gtest]
fn the_same_start_is_ordered_again_until_the_platform_has_told_the_life() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = RunnerId { grant: GrantSerial(1), ordinal: 5 };
    let result = ReserveResult::Reserved { runner, worker: "w".into(), memory_mb: 100 };
    let starts = |outputs: &[HolderOutput]| {
        let is_start = |output: &&HolderOutput| matches!(output, HolderOutput::Start { runner: started, .. } if *started == runner);
        outputs.iter().filter(is_start).count()
    };
    verify_that!(starts(&bench.holder.reserved(bench.now, &result)), eq(1))?;
    for end in [BeginEnd::Lost, BeginEnd::Busy] {
        verify_that!(starts(&bench.holder.started(bench.now, runner, end)), eq(0))?;
        bench.now = bench.now + ms(200);
        verify_that!(starts(&bench.holder.tick(bench.now)), eq(1))?;
    }
    let life = Life { name: "l1".into(), place: Place::NOWHERE };
    let outputs = bench.holder.started(bench.now, runner, BeginEnd::Begun(life.clone()));
    let told = outputs.iter().any(|output| {
        matches!(output, HolderOutput::Tell(HolderMessage::News { news: RunnerNews::Begun { life: told }, .. })
            if *told == life)
    });
    verify_that!(told, eq(true))
}

#[gtest]
fn a_worker_without_room_costs_the_reservation_and_another_is_asked_for() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    let runner = RunnerId { grant: GrantSerial(1), ordinal: 5 };
    let result = ReserveResult::Reserved { runner, worker: "w".into(), memory_mb: 100 };
    bench.holder.reserved(bench.now, &result);
    let outputs = bench.holder.started(bench.now, runner, BeginEnd::NoRoom);
    let gone = outputs.iter().any(|output| {
        matches!(output, HolderOutput::Tell(HolderMessage::News { news: RunnerNews::Gone, .. }))
    });
    verify_that!(gone, eq(true))?;
    bench.now = bench.now + ms(500);
    let outputs = bench.holder.tick(bench.now);
    let asks =
        outputs.iter().any(|output| matches!(output, HolderOutput::Tell(HolderMessage::Reserve)));
    verify_that!(asks, eq(true))
}

#[gtest]
fn a_closed_holder_refuses_what_waits_and_sends_nothing_more() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.enter("running", false, false);
    let (waiting, _) = bench.enter("waiting", false, false);
    let outputs = bench.holder.close(bench.now);
    let stops = outputs.iter().filter(|output| matches!(output, HolderOutput::Stop { .. })).count();
    bench.take(outputs);
    let claim = bench.holder.claim();
    let left: Vec<&ClaimRunner> = claim.runners.0.iter().filter(|listed| listed.fit.0).collect();
    verify_that!(claim.ending.0, eq(true))?;
    verify_that!(left.len(), eq(1))?;
    verify_that!(left[0].life.0.len(), eq(1))?;
    verify_that!(stops + left.len(), eq(claim.runners.0.len()))?;
    verify_that!(reason(&bench.ended.get(&waiting).cloned()), some(eq(HopReason::NotServing)))?;
    let sent_before = bench.sent.len();
    bench.end(running, SendEnd::Lost);
    verify_that!(bench.sent.len(), eq(sent_before))?;
    verify_that!(
        bench.ended.get(&running),
        some(eq(&HopOutcome::Unknown { reason: HopReason::AnswerLost }))
    )?;
    verify_that!(reason(&bench.enter("late", false, false).1), some(eq(HopReason::NotHolder)))
}

#[gtest]
fn extra_tries_stay_below_what_a_plain_count_allows() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    bench.warm();
    let mut chance = Chance::seeded(5);
    let mut firsts: Vec<Moment> = Vec::new();
    let mut extras: Vec<Moment> = Vec::new();
    for number in 0..4000 {
        bench.pass(ms(chance.below(40)));
        let repeat = chance.happens(0.5);
        let sent_before = bench.sent.len();
        let (ticket, at_once) = bench.enter(&format!("t{number}"), false, repeat);
        if !repeat {
            firsts.push(bench.now);
        } else if at_once.is_none() {
            extras.push(bench.now);
        }
        let outcome_is_lost = chance.happens(0.3);
        if bench.sent.len() > sent_before {
            let (sent_ticket, runner, _) = *bench.sent.last().expect("sent");
            if outcome_is_lost && sent_ticket == ticket {
                bench.end(sent_ticket, SendEnd::Lost);
                let again =
                    bench.sent.last().filter(|last| last.0 == ticket && last.2 > 1).copied();
                if let Some((again_ticket, again_runner, _)) = again {
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
            let outputs = bench.holder.settled(bench.now + ms(300), runner, Some(Vec::new()));
            bench.take(outputs);
        }
    }
    verify_that!(extras.len(), ge(100))?;
    for (place, extra) in extras.iter().enumerate() {
        let in_window =
            |moment: &&Moment| extra.since(**moment) <= ms(10_000) && **moment <= *extra;
        let extra_count = extras[..=place].iter().filter(in_window).count();
        let first_count = firsts.iter().filter(in_window).count();
        verify_that!(extra_count as f64, le(first_count as f64 / 5.0 + 4.0))?;
    }
    Ok(())
}

#[gtest]
fn what_cannot_be_finished_is_refused_at_once_with_a_time_to_return() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let mut refused = None;
    for number in 0..400 {
        let outcome = bench.enter(&format!("t{number}"), false, false).1;
        if let Some(HopOutcome::NotRun { retry_ms, .. }) = outcome {
            refused = Some(retry_ms);
            break;
        }
    }
    verify_that!(refused, some(gt(0)))
}

fn retry_of(outcome: &Option<HopOutcome>) -> Option<(HopReason, u32)> {
    match outcome {
        Some(HopOutcome::NotRun { reason, retry_ms }) => Some((*reason, *retry_ms)),
        _ => None,
    }
}

#[gtest]
fn every_reason_to_refuse_is_told_as_soon_as_it_is_certain_with_a_time() -> Result<()> {
    let mut waiting_for_ledger = Bench::new(1, 1, ms(3000));
    waiting_for_ledger.warm();
    let once = retry_of(&waiting_for_ledger.enter("o", true, false).1);
    verify_that!(once, some((eq(HopReason::OnceWait), all![ge(100), le(3000)])))?;
    let again = retry_of(&waiting_for_ledger.enter("o", true, false).1);
    verify_that!(again, some((eq(HopReason::ShedBefore), ge(100))))?;
    let repeat = retry_of(&waiting_for_ledger.enter("r", false, true).1);
    verify_that!(repeat, some((eq(HopReason::TriesSpent), eq(2000))))?;

    let mut busy = Bench::new(1, 1, Duration::ZERO);
    busy.warm();
    let (running, _) = busy.enter("running", false, false);
    let runner = busy.sent[0].1;
    let outputs = busy.holder.sent_ended(busy.now, running, SendEnd::ShedByRunner);
    busy.take(outputs);
    let shed = retry_of(&busy.ended.get(&running).cloned());
    verify_that!(shed, some((eq(HopReason::RunnerShed), ge(100))))?;
    let mut at_once = Vec::new();
    for number in 0..200 {
        at_once.push(retry_of(&busy.enter(&format!("t{number}"), false, false).1));
    }
    let told: Vec<(HopReason, u32)> = at_once.into_iter().flatten().collect();
    verify_that!(told.len(), ge(1))?;
    for (reason, retry_ms) in told {
        let is_crowd = matches!(reason, HopReason::InboxFull | HopReason::BudgetTooShort);
        verify_that!(is_crowd && retry_ms >= 100, eq(true))?;
    }

    let mut barred = Bench::new(1, 1, Duration::ZERO);
    barred.warm();
    let (ticket, _) = barred.enter("b", false, false);
    let end = SendEnd::Barred(HopReason::NotAllowed);
    let outputs = barred.holder.sent_ended(barred.now, ticket, end);
    barred.take(outputs);
    let told = retry_of(&barred.ended.get(&ticket).cloned());
    verify_that!(told, some((eq(HopReason::NotAllowed), ge(100))))?;
    verify_that!(runner.ordinal, gt(0))
}

#[gtest]
fn a_runner_never_gets_more_than_it_was_started_for_when_the_spec_changes() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO);
    bench.warm();
    let wider = FunctionSpec {
        connections: 100,
        memory_mb: 100,
        boot: ms(100),
        slots: 8,
        min_runners: 0,
        max_runners: 1,
    };
    bench.holder.respec(wider);
    for number in 0..40 {
        bench.enter(&format!("t{number}"), false, false);
        if number % 2 == 0
            && let Some((ticket, runner, _)) = bench.sent.first().copied()
        {
            bench.answer(ticket, runner);
        }
        verify_that!(bench.holder.load().1, le(2))?;
    }
    Ok(())
}

fn steward(name: &str) -> Host {
    Host {
        member: name.into(),
        incarnation: 1.into(),
        zone: "elsewhere".into(),
        place: Place::NOWHERE,
        eligible: Flag(true),
        link_mbps: 0,
    }
}

fn notes(outputs: &[HolderOutput]) -> Vec<u64> {
    outputs
        .iter()
        .filter_map(|output| match output {
            HolderOutput::Note { round, .. } => Some(*round),
            _ => None,
        })
        .collect()
}

#[gtest]
fn a_once_transaction_is_sent_only_after_its_steward_has_noted_it() -> Result<()> {
    let mut bench = Bench::with_steward(2, Duration::ZERO, Some(steward("s")), None);
    bench.warm();
    bench.orders.clear();
    let (ticket, _) = bench.enter("only", true, false);
    let rounds = notes(&bench.orders);
    verify_that!(rounds.len(), eq(1))?;
    verify_that!(bench.sent.len(), eq(0))?;
    let outputs = bench.holder.noted(bench.now, rounds[0], true);
    bench.take(outputs);
    verify_that!(bench.sent.first().map(|sent| sent.0), some(eq(ticket)))
}

#[gtest]
fn a_silent_steward_is_replaced_and_nothing_is_sent_meanwhile() -> Result<()> {
    let mut bench = Bench::with_steward(2, Duration::ZERO, Some(steward("s")), None);
    bench.warm();
    bench.orders.clear();
    bench.enter("only", true, false);
    let round = notes(&bench.orders)[0];
    let outputs = bench.holder.noted(bench.now, round, false);
    let asks_for_another = outputs
        .iter()
        .any(|output| matches!(output, HolderOutput::Tell(HolderMessage::StewardLost { .. })));
    bench.take(outputs);
    verify_that!(asks_for_another, eq(true))?;
    bench.pass(ms(40));
    verify_that!(bench.sent.len(), eq(0))?;
    bench.orders.clear();
    let outputs = bench.holder.steward_named(bench.now, Some(steward("t")));
    bench.take(outputs);
    let rounds = notes(&bench.orders);
    verify_that!(rounds.is_empty(), eq(false))?;
    for round in rounds {
        let outputs = bench.holder.noted(bench.now, round, true);
        bench.take(outputs);
    }
    verify_that!(bench.sent.len(), eq(1))?;
    let said_whole = bench
        .orders
        .iter()
        .any(|output| matches!(output, HolderOutput::Tell(HolderMessage::StewardWhole { .. })));
    verify_that!(said_whole, eq(true))
}

#[gtest]
fn a_successor_admits_at_once_with_the_collected_ledger_and_runs_nothing_in_it() -> Result<()> {
    let prior = Prior { steward: steward("s"), grant: GrantSerial(0) };
    let mut bench = Bench::with_steward(2, ms(5000), None, Some(prior));
    bench.warm();
    let (known, _) = bench.enter("ran", true, false);
    let (fresh, _) = bench.enter("fresh", true, false);
    verify_that!(bench.sent.len(), eq(0))?;
    let line = LedgerNote { transaction: "ran".into(), state: NoteState::Noted, left_ms: 9000 };
    let refused = LedgerNote { transaction: "no".into(), state: NoteState::Refused, left_ms: 9000 };
    let outputs = bench.holder.collected(bench.now, Some(vec![line, refused]));
    bench.take(outputs);
    verify_that!(
        bench.ended.get(&known),
        some(eq(&HopOutcome::Unknown { reason: HopReason::RanBefore }))
    )?;
    verify_that!(bench.sent.iter().any(|sent| sent.0 == fresh), eq(true))?;
    verify_that!(reason(&bench.enter("no", true, false).1), some(eq(HopReason::ShedBefore)))
}

#[gtest]
fn a_successor_that_cannot_collect_refuses_until_the_wait_is_over() -> Result<()> {
    let prior = Prior { steward: steward("s"), grant: GrantSerial(0) };
    let mut bench = Bench::with_steward(2, ms(2000), None, Some(prior));
    bench.warm();
    let (early, _) = bench.enter("early", true, false);
    let outputs = bench.holder.collected(bench.now, None);
    bench.take(outputs);
    verify_that!(reason(&bench.ended.get(&early).cloned()), some(eq(HopReason::OnceWait)))?;
    bench.pass(ms(2100));
    verify_that!(bench.enter("late", true, false).1.is_none(), eq(true))
}

fn generous() -> Tuning {
    Tuning::builder().tries_allowance(50).tries_allowance_at_once(true).build()
}

fn failed_at(runner: RunnerId) -> HopOutcome {
    HopOutcome::Answer {
        lines: common::frames::Many(Vec::new()),
        status: 500,
        seal: Vec::new().into(),
        runner,
        body: b"broken".to_vec().into(),
    }
}

#[gtest]
fn a_refused_transaction_goes_on_only_as_often_as_its_route_and_the_window_allow() -> Result<()> {
    for (tries, allowance, expected_sends) in [(1, 50, 1), (3, 50, 3), (9, 2, 3), (9, 0, 1)] {
        let tuning = Tuning::builder()
            .tries_percent(0)
            .tries_allowance(allowance)
            .tries_allowance_at_once(true)
            .build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).tuned(tuning);
        bench.warm();
        bench.tries = tries;
        let (ticket, _) = bench.enter("refused", false, false);
        for _ in 0..12 {
            if bench.sent.last().is_some_and(|(sent, _, _)| *sent == ticket) {
                bench.end(ticket, SendEnd::ShedByRunner);
            }
            bench.pass(ms(100));
        }
        verify_that!(bench.sends_of(ticket), eq(expected_sends))?;
        let Some(HopOutcome::NotRun { reason, retry_ms }) = bench.ended.get(&ticket) else {
            return fail!("a transaction that never ran is not refused");
        };
        verify_that!(*reason, eq(HopReason::RunnerShed))?;
        verify_that!(*retry_ms, ge(200))?;
    }
    Ok(())
}

#[gtest]
fn a_runner_that_refuses_more_than_is_known_gets_nothing_more_for_a_while() -> Result<()> {
    let mut bench = Bench::new(4, 1, Duration::ZERO).tuned(generous());
    bench.warm();
    let (first, _) = bench.enter("a", true, false);
    let (second, _) = bench.enter("b", true, false);
    bench.end(second, SendEnd::ShedByRunner);
    verify_that!(reason(&bench.ended.get(&second).cloned()), some(eq(HopReason::RunnerShed)))?;
    let (third, _) = bench.enter("c", true, false);
    bench.pass(ms(150));
    verify_that!(bench.sends_of(third), eq(0))?;
    bench.pass(ms(60));
    verify_that!(bench.sends_of(third), eq(1))?;
    verify_that!(bench.sends_of(first), eq(1))
}

#[gtest]
fn what_came_to_another_runner_is_put_back_and_its_own_is_given_up() -> Result<()> {
    for once in [false, true] {
        let mut bench = Bench::new(2, 2, Duration::ZERO).tuned(generous());
        bench.warm();
        let (ticket, _) = bench.enter("lost way", once, false);
        let runner = bench.sent.last().expect("sent").1;
        bench.end(ticket, SendEnd::OtherRunner);
        let stops = |order: &HolderOutput| matches!(order, HolderOutput::Stop { runner: stopped, .. } if *stopped == runner);
        verify_that!(bench.orders.iter().any(stops), eq(true))?;
        verify_that!(bench.ended.get(&ticket), none())?;
        bench.pass(ms(60));
        bench.pass(ms(60));
        let (last_ticket, last_runner, attempt) = *bench.sent.last().expect("sent");
        verify_that!((last_ticket, attempt), eq((ticket, 2)))?;
        verify_that!(last_runner, not(eq(runner)))?;
    }
    Ok(())
}

#[gtest]
fn a_runners_own_failure_is_tried_again_or_passed_on_as_it_came() -> Result<()> {
    let mut bench = Bench::new(2, 1, Duration::ZERO).tuned(generous());
    bench.warm();
    bench.tries = 2;
    let (ticket, _) = bench.enter("fails", false, false);
    let runner = bench.sent.last().expect("sent").1;
    bench.end(ticket, SendEnd::Failed(failed_at(runner)));
    verify_that!(bench.sends_of(ticket), eq(2))?;
    bench.end(ticket, SendEnd::Lost);
    verify_that!(bench.ended.get(&ticket), some(eq(&failed_at(runner))))?;
    let (once, _) = bench.enter("fails once", true, false);
    bench.end(once, SendEnd::Failed(failed_at(runner)));
    verify_that!(bench.sends_of(once), eq(1))?;
    verify_that!(bench.ended.get(&once), some(eq(&failed_at(runner))))
}

/// Its caller's daemon passed it on again after a silence: the first pass may still be having its tries.
#[gtest]
fn a_repeat_goes_to_one_runner_whatever_its_route_allows() -> Result<()> {
    let ends = [SendEnd::Lost, SendEnd::ShedByRunner];
    for end in ends {
        let mut bench = Bench::new(2, 1, Duration::ZERO).tuned(generous());
        bench.warm();
        bench.tries = 3;
        let (ticket, _) = bench.enter("passed again", false, true);
        bench.end(ticket, end);
        verify_that!(bench.sends_of(ticket), eq(1))?;
        verify_that!(bench.ended.contains_key(&ticket), eq(true))?;
    }
    let mut flawed = Bench::new(2, 1, Duration::ZERO).tuned(generous());
    flawed.holder = flawed.holder.with_rules(Rules::without(Rule::RepeatSentOnce));
    flawed.warm();
    flawed.tries = 3;
    let (ticket, _) = flawed.enter("passed again", false, true);
    flawed.end(ticket, SendEnd::Lost);
    verify_that!(flawed.sends_of(ticket), eq(2))
}

#[gtest]
fn a_once_transaction_of_a_fresh_identity_is_sent_once_and_nothing_of_it_is_kept() -> Result<()> {
    let mut bench = Bench::new(2, 4, ms(60_000));
    bench.noted = false;
    bench.warm();
    let (ticket, at_once) = bench.enter("fresh", true, false);
    verify_that!(at_once, none())?;
    bench.end(ticket, SendEnd::Lost);
    for _ in 0..40 {
        bench.pass(ms(100));
    }
    verify_that!(bench.sends_of(ticket), eq(1))?;
    verify_that!(
        bench.ended.get(&ticket),
        some(eq(&HopOutcome::Unknown { reason: HopReason::AnswerLost }))
    )?;
    let notes = |order: &HolderOutput| matches!(order, HolderOutput::Note { .. });
    verify_that!(bench.orders.iter().any(notes), eq(false))?;
    verify_that!(bench.enter("fresh", true, false).1, none())
}

#[gtest]
fn a_lost_answer_keeps_its_slot_for_a_time_where_runners_cannot_be_asked() -> Result<()> {
    let tuning = Tuning::builder().settles(false).build();
    let mut bench = Bench::new(1, 1, Duration::ZERO).tuned(tuning);
    bench.warm();
    let (first, _) = bench.enter("a", true, false);
    bench.end(first, SendEnd::Lost);
    let (second, _) = bench.enter("b", true, false);
    bench.pass(ms(390));
    verify_that!(bench.sends_of(second), eq(0))?;
    verify_that!(bench.holder.next_due(), some(le(bench.now + ms(10))))?;
    bench.pass(ms(11));
    verify_that!(bench.sends_of(second), eq(1))?;
    let settles = |order: &HolderOutput| matches!(order, HolderOutput::Settle { .. });
    verify_that!(bench.orders.iter().any(settles), eq(false))
}

#[gtest]
fn an_idle_function_stops_its_last_runner_unless_it_boots_too_long_for_its_callers() -> Result<()> {
    for (idle_boots, is_warm, is_stopped) in
        [(0, false, false), (20, true, false), (20, false, true)]
    {
        let tuning = Tuning::builder().idle_boots(idle_boots).build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).tuned(tuning);
        bench.holder.set_warm(is_warm);
        bench.warm();
        bench.orders.clear();
        bench.pass(ms(1900));
        let stops = |bench: &Bench| {
            bench.orders.iter().any(|order| matches!(order, HolderOutput::Stop { .. }))
        };
        verify_that!(stops(&bench), eq(false))?;
        for _ in 0..3 {
            bench.pass(ms(100));
        }
        verify_that!(stops(&bench), eq(is_stopped))?;
        if !is_stopped {
            continue;
        }
        let stopped = bench.orders.iter().find_map(|order| match order {
            HolderOutput::Stop { runner, .. } => Some(*runner),
            _ => None,
        });
        let outputs = bench.holder.stopped(bench.now, stopped.expect("one"));
        bench.take(outputs);
        bench.pass(ms(5000));
        verify_that!(bench.holder.runner_counts(), eq((0, 0)))?;
        let (ticket, at_once) = bench.enter("next", false, false);
        verify_that!(at_once, none())?;
        bench.pass(ms(60));
        bench.pass(ms(60));
        verify_that!(bench.sends_of(ticket), eq(1))?;
    }
    Ok(())
}

#[gtest]
fn the_lowest_rank_goes_first_and_those_of_one_rank_as_they_came() -> Result<()> {
    let mut bench = Bench::new(1, 1, Duration::ZERO);
    bench.warm();
    let (running, _) = bench.enter("running", false, false);
    let runner = bench.sent[0].1;
    let waiting: Vec<Ticket> = [3, 1, 0, 1]
        .into_iter()
        .map(|rank| {
            bench.rank = rank;
            bench.enter(&format!("rank {rank} of {}", bench.next_ticket), false, false).0
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
    verify_that!(order, eq(&vec![waiting[2], waiting[1], waiting[3], waiting[0]]))
}

#[gtest]
fn a_runner_that_owes_two_answers_in_a_row_is_replaced() -> Result<()> {
    let mut bench = Bench::new(4, 4, Duration::ZERO);
    bench.warm();
    for (number, wanted_count) in [(0, 1), (1, 2)] {
        let (ticket, _) = bench.enter(&format!("t{number}"), true, false);
        bench.end(ticket, SendEnd::Lost);
        verify_that!(bench.next_runner, eq(wanted_count))?;
    }
    Ok(())
}

#[gtest]
fn calls_that_a_booting_runner_will_serve_in_time_start_no_second_one() -> Result<()> {
    for (call_count, most_runners) in [(6, 1), (400, 4)] {
        let mut bench = Bench::new(2, 4, Duration::ZERO);
        for number in 0..call_count {
            bench.enter(&format!("t{number}"), false, false);
        }
        verify_that!(bench.next_runner, eq(most_runners))?;
    }
    Ok(())
}

#[gtest]
fn a_rarely_called_function_rests_soon_and_a_frequent_one_does_not() -> Result<()> {
    for (call_count, is_stopped) in [(1, true), (12, false)] {
        let tuning = Tuning::builder().idle_boots(10).idle_rare(Some(ms(200))).build();
        let mut bench = Bench::new(2, 4, Duration::ZERO).tuned(tuning);
        bench.warm();
        for number in 1..call_count {
            bench.pass(ms(100));
            let (ticket, _) = bench.enter(&format!("t{number}"), false, false);
            let runner = bench.sent.last().expect("sent").1;
            bench.answer(ticket, runner);
        }
        bench.orders.clear();
        bench.pass(ms(150));
        bench.pass(ms(150));
        let is_ordered =
            bench.orders.iter().any(|order| matches!(order, HolderOutput::Stop { .. }));
        verify_that!(is_ordered, eq(is_stopped))?;
    }
    Ok(())
}
