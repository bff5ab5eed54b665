//! A seeded day of calls for holders under virtual time, with a platform that boots, ramps and refuses.

use common::chance::Chance;
use common::clock::Moment;
use common::frames::{HopOutcome, Life, Many, Place, ReserveResult};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Serial, Ticket};
use common::spec::FunctionSpec;
use common::tongue::BeginEnd;
use dataplane::holder::{Entry, GrantTerms, Holder, HolderMessage, HolderOutput, SendEnd, Tuning};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

const START: Moment = Moment(50_000_000_000);
const DAY: Duration = Duration::from_secs(34);
/// Calls begin when what is kept warm has booted.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(50);
const LEADER_SPAN: Duration = Duration::from_millis(12);
const PLATFORM_SPAN: Duration = Duration::from_millis(8);
const FRESH_SPAN: f64 = 3.0;
const CROWD: (f64, f64) = (14.0, 18.0);
const REFUSED_WINDOW: Duration = Duration::from_secs(5);

/// What a site charges.
#[derive(Clone, Copy)]
pub struct Prices {
    /// A runner's gigabyte for a second.
    pub gb_second: f64,
    /// A start.
    pub start: f64,
    /// What a late answer keeps of its worth.
    pub late_share: f64,
}

/// A kind of function.
#[derive(Clone, Copy)]
pub struct Kind {
    /// Memory of one runner, in megabytes.
    pub memory_mb: u32,
    /// The mean boot.
    pub boot: Duration,
    /// Transactions one runner runs at once.
    pub slots: u32,
    /// The shortest and longest work.
    pub service: (Duration, Duration),
    /// When an answer turns late.
    pub target: Duration,
    /// When a caller gives up.
    pub budget: Duration,
    /// Whether one runner is always kept.
    pub warm: bool,
}

/// One function's calls.
#[derive(Clone, Copy)]
pub struct Stream {
    /// Its kind.
    pub kind: Kind,
    /// Calls a second.
    pub rate: f64,
    /// How many times as many come during the crowd.
    pub crowd: f64,
}

/// Rates of so many functions, falling with their place to a power.
pub fn spread(count: usize, all_rate: f64, power: f64) -> Vec<f64> {
    let shares: Vec<f64> = (1..=count).map(|place| 1.0 / (place as f64).powf(power)).collect();
    let whole: f64 = shares.iter().sum();
    shares.into_iter().map(|share| all_rate * share / whole).collect()
}

/// What a day came to.
#[derive(Default)]
pub struct Bill {
    gb_seconds: f64,
    starts: u64,
    unused: u64,
    calls: u64,
    late: u64,
    unserved: u64,
    refusals: u64,
    memory_cost: f64,
    start_cost: f64,
    lost_worth: f64,
    /// The most that runners of one function refused within five seconds.
    pub most_refused: usize,
}

impl Bill {
    /// Memory, starts and lost worth.
    pub fn total(&self) -> f64 {
        self.memory_cost + self.start_cost + self.lost_worth
    }
}

impl fmt::Display for Bill {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "total {:.0}: {:.0} GB*s, {} starts ({} unused), {} calls, {} late, {} unserved, \
             {} told to come back, lost {:.0}, most refused {}",
            self.total(),
            self.gb_seconds,
            self.starts,
            self.unused,
            self.calls,
            self.late,
            self.unserved,
            self.refusals,
            self.lost_worth,
            self.most_refused,
        )
    }
}

#[derive(Clone, Copy)]
struct Call {
    first_at: Moment,
    tries: u32,
}

enum Happening {
    Arrival,
    Again(Call),
    Tick,
    Due,
    Reserved,
    Started(RunnerId),
    Probed(RunnerId),
    Stopped(RunnerId),
    Ended(Ticket, SendEnd, RunnerId),
}

struct Runner {
    begun_at: Moment,
    ready_at: Moment,
    speed: f64,
    running: u32,
    used: bool,
}

struct Played {
    stream: Stream,
    holder: Holder,
    runners: BTreeMap<RunnerId, Runner>,
    calls: BTreeMap<Ticket, Call>,
    refused_at: VecDeque<Moment>,
    is_begun: bool,
    next_runner: u64,
    next_ticket: u64,
    due_at: Option<Moment>,
}

/// A day in play.
pub struct Day {
    chance: Chance,
    prices: Prices,
    played: Vec<Played>,
    happenings: BTreeMap<(Moment, u64), (usize, Happening)>,
    next_happening: u64,
    now: Moment,
    bill: Bill,
}

impl Day {
    /// A day with holders as the users' machines have them.
    pub fn new(seed: u64, prices: Prices, streams: &[Stream]) -> Self {
        let mut day = Self {
            chance: Chance::seeded(seed),
            prices,
            played: Vec::new(),
            happenings: BTreeMap::new(),
            next_happening: 0,
            now: START,
            bill: Bill::default(),
        };
        for (number, stream) in streams.iter().enumerate() {
            let terms = GrantTerms {
                function: FunctionKey::new("f", Serial(2)),
                grant: GrantSerial(1),
                spec: FunctionSpec {
                    connections: 100,
                    memory_mb: stream.kind.memory_mb,
                    boot: stream.kind.boot,
                    slots: stream.kind.slots,
                    min_runners: 0,
                    max_runners: 64,
                },
                once_wait: Duration::ZERO,
                steward: None,
                prior: None,
                adopted: Vec::new(),
            };
            let mut holder = Holder::new(START, terms).with_tuning(START, tuning());
            holder.set_warm(stream.kind.warm);
            day.played.push(Played {
                stream: *stream,
                holder,
                runners: BTreeMap::new(),
                calls: BTreeMap::new(),
                refused_at: VecDeque::new(),
                is_begun: false,
                next_runner: 0,
                next_ticket: 0,
                due_at: None,
            });
            if stream.kind.warm {
                day.begin(number);
            }
            let first_gap = day.gap(number);
            day.plan(number, BEFORE + first_gap, Happening::Arrival);
        }
        day
    }

    fn plan(&mut self, number: usize, after: Duration, happening: Happening) {
        self.next_happening += 1;
        self.happenings.insert((self.now + after, self.next_happening), (number, happening));
    }

    fn begin(&mut self, number: usize) {
        let played = &mut self.played[number];
        if !played.is_begun {
            played.is_begun = true;
            let outputs = played.holder.begin(self.now);
            self.obey(number, outputs);
            self.plan(number, TICK, Happening::Tick);
        }
    }

    fn gap(&mut self, number: usize) -> Duration {
        let stream = self.played[number].stream;
        let passed = self.now.since(START + BEFORE).as_secs_f64();
        let is_crowd = (CROWD.0..CROWD.1).contains(&passed);
        let rate = stream.rate * if is_crowd { stream.crowd } else { 1.0 };
        let gap = -self.chance.share().max(1e-9).ln() / rate;
        Duration::from_secs_f64(gap)
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Bill {
        while let Some(((at, _), (number, happening))) = self.happenings.pop_first() {
            if at > START + BEFORE + DAY + AFTER {
                break;
            }
            self.now = at;
            self.happen(number, happening);
            self.plan_due(number);
        }
        self.now = START + BEFORE + DAY + AFTER;
        for number in 0..self.played.len() {
            let left: Vec<RunnerId> = self.played[number].runners.keys().copied().collect();
            for runner in left {
                self.charge(number, runner);
            }
            let open_count = self.played[number].calls.len() as u64;
            self.bill.unserved += open_count;
            self.bill.lost_worth += open_count as f64;
        }
        self.bill
    }

    fn plan_due(&mut self, number: usize) {
        let played = &mut self.played[number];
        let due_at =
            played.holder.next_due().map(|due_at| due_at.max(self.now + Duration::from_millis(1)));
        if let Some(due_at) = due_at
            && played.due_at.is_none_or(|planned_at| planned_at <= self.now || due_at < planned_at)
        {
            played.due_at = Some(due_at);
            self.plan(number, due_at.since(self.now), Happening::Due);
        }
    }

    fn happen(&mut self, number: usize, happening: Happening) {
        let now = self.now;
        let outputs = match happening {
            Happening::Arrival => {
                if now < START + BEFORE + DAY {
                    let gap = self.gap(number);
                    self.plan(number, gap, Happening::Arrival);
                    self.begin(number);
                    self.bill.calls += 1;
                    self.enter(number, Call { first_at: now, tries: 1 });
                }
                return;
            }
            Happening::Again(call) => return self.enter(number, call),
            Happening::Tick => {
                self.plan(number, TICK, Happening::Tick);
                self.played[number].holder.tick(now)
            }
            Happening::Due => self.played[number].holder.tick(now),
            Happening::Reserved => {
                let played = &mut self.played[number];
                played.next_runner += 1;
                let runner = RunnerId { grant: GrantSerial(1), ordinal: played.next_runner };
                let memory_mb = played.stream.kind.memory_mb;
                let result = ReserveResult::Reserved { runner, worker: "w".into(), memory_mb };
                played.holder.reserved(now, &result)
            }
            Happening::Started(runner) => {
                let life = Life { name: format!("life {runner}").into(), place: Place::NOWHERE };
                self.played[number].holder.started(now, runner, BeginEnd::Begun(life))
            }
            Happening::Probed(runner) => {
                let played = &mut self.played[number];
                let is_ready =
                    played.runners.get(&runner).is_some_and(|known| known.ready_at <= now);
                played.holder.probed(now, runner, is_ready)
            }
            Happening::Stopped(runner) => {
                self.charge(number, runner);
                self.played[number].holder.stopped(now, runner)
            }
            Happening::Ended(ticket, end, runner) => {
                let played = &mut self.played[number];
                if let Some(known) = played.runners.get_mut(&runner) {
                    known.running = known.running.saturating_sub(1);
                }
                played.holder.sent_ended(now, ticket, end)
            }
        };
        self.obey(number, outputs);
    }

    fn charge(&mut self, number: usize, runner: RunnerId) {
        let played = &mut self.played[number];
        let Some(known) = played.runners.remove(&runner) else { return };
        let gb = f64::from(played.stream.kind.memory_mb) / 1024.0;
        let gb_seconds = gb * self.now.since(known.begun_at).as_secs_f64();
        self.bill.gb_seconds += gb_seconds;
        self.bill.memory_cost += gb_seconds * self.prices.gb_second;
        self.bill.unused += u64::from(!known.used);
    }

    fn enter(&mut self, number: usize, call: Call) {
        let played = &mut self.played[number];
        played.next_ticket += 1;
        let ticket = Ticket(played.next_ticket);
        let kind = played.stream.kind;
        let entry = Entry {
            ticket,
            transaction: format!("t{ticket:?}").as_str().into(),
            once: false,
            noted: false,
            tries: 2,
            repeat: false,
            budget_end: call.first_at + kind.budget,
            patience: kind.budget,
            target: kind.target,
            rank: 0,
            region: None,
        };
        played.calls.insert(ticket, call);
        let (at_once, outputs) = played.holder.grant_entry(self.now, entry);
        if let Some(outcome) = at_once {
            self.over(number, ticket, &outcome);
        }
        self.obey(number, outputs);
    }

    fn over(&mut self, number: usize, ticket: Ticket, outcome: &HopOutcome) {
        let played = &mut self.played[number];
        let Some(call) = played.calls.remove(&ticket) else { return };
        let kind = played.stream.kind;
        let taken_span = self.now.since(call.first_at);
        let left_span = kind.budget.saturating_sub(taken_span);
        match outcome {
            HopOutcome::Answer { .. } if taken_span <= kind.target && call.tries == 1 => {}
            HopOutcome::Answer { .. } if taken_span <= kind.target => {
                self.bill.lost_worth += (1.0 - self.prices.late_share) / 2.0;
            }
            HopOutcome::Answer { .. } if !left_span.is_zero() => {
                self.bill.late += 1;
                self.bill.lost_worth += 1.0 - self.prices.late_share;
            }
            HopOutcome::NotRun { retry_ms, .. } if call.tries < 4 && !left_span.is_zero() => {
                self.bill.refusals += 1;
                let pause = Duration::from_millis(u64::from(*retry_ms)).min(left_span / 3);
                self.plan(number, pause, Happening::Again(Call { tries: call.tries + 1, ..call }));
            }
            _ => {
                self.bill.unserved += 1;
                self.bill.lost_worth += 1.0;
            }
        }
    }

    fn obey(&mut self, number: usize, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match output {
                HolderOutput::Send { ticket, runner, .. } => self.send(number, ticket, runner),
                HolderOutput::End { ticket, outcome } => self.over(number, ticket, &outcome),
                HolderOutput::Tell(HolderMessage::Reserve) => {
                    self.plan(number, LEADER_SPAN, Happening::Reserved);
                }
                HolderOutput::Start { runner, .. } => self.start(number, runner),
                HolderOutput::Probe { runner, .. } => {
                    self.plan(number, PLATFORM_SPAN / 2, Happening::Probed(runner));
                }
                HolderOutput::Stop { runner, .. } => {
                    self.plan(number, PLATFORM_SPAN, Happening::Stopped(runner));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, number: usize, runner: RunnerId) {
        let boot = self.played[number].stream.kind.boot;
        let begun_at = self.now + PLATFORM_SPAN / 2;
        let known = Runner {
            begun_at,
            ready_at: begun_at + boot.mul_f64(0.7 + 0.6 * self.chance.share()),
            speed: 0.9 + 0.2 * self.chance.share(),
            running: 0,
            used: false,
        };
        if self.played[number].runners.insert(runner, known).is_none() {
            self.bill.starts += 1;
            self.bill.start_cost += self.prices.start;
        }
        self.plan(number, PLATFORM_SPAN, Happening::Started(runner));
    }

    fn send(&mut self, number: usize, ticket: Ticket, runner: RunnerId) {
        let kind = self.played[number].stream.kind;
        let work = self.chance.within(kind.service.0, kind.service.1);
        let now = self.now;
        let played = &mut self.played[number];
        let Some(known) = played.runners.get_mut(&runner) else {
            return self.plan(
                number,
                PLATFORM_SPAN,
                Happening::Ended(ticket, SendEnd::Unsent, runner),
            );
        };
        if known.running >= kind.slots {
            known.running += 1;
            played.refused_at.push_back(now);
            played.refused_at.retain(|at| now.since(*at) < REFUSED_WINDOW);
            self.bill.most_refused = self.bill.most_refused.max(played.refused_at.len());
            let end = SendEnd::ShedByRunner;
            return self.plan(number, PLATFORM_SPAN, Happening::Ended(ticket, end, runner));
        }
        known.running += 1;
        known.used = true;
        let age = now.since(known.ready_at).as_secs_f64();
        let fresh_share = (1.0 - age / FRESH_SPAN).max(0.0);
        let slowness = known.speed * (1.0 + fresh_share);
        let outcome = HopOutcome::Answer {
            lines: Many(Vec::new()),
            status: 200,
            seal: Vec::new().into(),
            runner,
            body: Vec::new().into(),
        };
        let end = SendEnd::Answered(outcome);
        self.plan(number, work.mul_f64(slowness), Happening::Ended(ticket, end, runner));
    }
}

fn tuning() -> Tuning {
    Tuning::builder()
        .tries_allowance(15)
        .tries_allowance_at_once(true)
        .idle_boots(3)
        .idle_rare(Some(Duration::from_millis(150)))
        .margin_percent(100)
        .fall(Duration::from_millis(3000))
        .rise(Duration::from_millis(500))
        .drain_every(Duration::from_millis(300))
        .settles(false)
        .build()
}
