//! A seeded simulation of one day of calls to holders, in virtual time. Runners take time to start up, are slow at
//! first, and reject requests that exceed their slots.

use crate::held_function::{
    admission_request, function_key, report_started, reserved, response, runner_id,
};
use crate::lease::{function_spec, lease_terms};
use common::clock::MonotonicTime;
use common::frames::RequestOutcome;
use common::identity::{RunnerId, Ticket};
use common::rng::SeededRng;
use common::spec::FunctionSpec;
use dataplane::holder::{
    AdmissionRequest, Holder, HolderMessage, HolderOutput, SendResult, Tuning,
};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(50_000_000_000);
/// The length of the simulated day, after which no further call arrives.
const DAY: Duration = Duration::from_secs(34);
/// Time before the first calls, in which prewarmed runners start up.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time after the day, in which the last calls end and the cost of idle runners still counts.
const COOL_DOWN: Duration = Duration::from_secs(6);
/// Interval between two ticks of a holder.
const TICK: Duration = Duration::from_millis(50);
/// Time from the request for a reservation to the leader's reply.
const LEADER_LATENCY: Duration = Duration::from_millis(12);
/// Time from an order to the platform to its reply, and of a send that does not run. A readiness probe takes half of
/// it.
const PLATFORM_LATENCY: Duration = Duration::from_millis(8);
/// How long a runner that has become ready takes longer than usual for a request; at first, twice as long.
const SLOW_START_SECONDS: f64 = 3.0;
/// Start and end of the peak, in seconds after the first calls.
const PEAK: (f64, f64) = (14.0, 18.0);
/// The window in which the rejections by a function's runners are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(5);

/// The prices by which costs are computed.
#[derive(Clone, Copy)]
pub struct Prices {
    /// The price of one gigabyte of a runner for one second.
    pub gb_second: f64,
    /// The price of starting a runner.
    pub start: f64,
    /// The fraction of a response's value that remains if it is late.
    pub late_value_fraction: f64,
}

/// The profile of a function.
#[derive(Clone, Copy)]
pub struct FunctionProfile {
    /// The memory of one runner, in megabytes.
    pub memory_mb: u32,
    /// The mean start-up time.
    pub startup: Duration,
    /// The number of concurrent requests of one runner.
    pub slots: u32,
    /// The minimum and the maximum service time.
    pub service: (Duration, Duration),
    /// The response time after which a response is late.
    pub target: Duration,
    /// The time after which a caller gives up.
    pub timeout: Duration,
    /// Whether it is prewarmed.
    pub is_prewarmed: bool,
}

/// The calls to one function.
#[derive(Clone, Copy)]
pub struct CallStream {
    /// The profile of the function.
    pub profile: FunctionProfile,
    /// The rate in calls per second.
    pub rate: f64,
    /// The factor by which the rate is multiplied during the peak.
    pub peak_factor: f64,
}

/// Returns the rates of `count` functions, which sum to `total_rate` and decrease with a power of the function's rank.
pub fn power_law_rates(count: usize, total_rate: f64, power: f64) -> Vec<f64> {
    let shares: Vec<f64> = (1..=count)
        .map(|rank| 1.0 / (rank as f64).powf(power))
        .collect();
    let total_share: f64 = shares.iter().sum();
    shares
        .into_iter()
        .map(|share| total_rate * share / total_share)
        .collect()
}

/// The costs of a simulated day.
#[derive(Default)]
pub struct CostReport {
    gb_seconds: f64,
    starts: u64,
    unused: u64,
    calls: u64,
    late: u64,
    unserved: u64,
    rejections: u64,
    memory_cost: f64,
    start_cost: f64,
    lost_value: f64,
    /// The maximum number of requests that the runners of one function rejected within [`REJECTION_WINDOW`].
    pub max_rejections: usize,
}

impl CostReport {
    /// Returns the sum of the costs of memory, starts and lost value.
    pub fn total(&self) -> f64 {
        self.memory_cost + self.start_cost + self.lost_value
    }
}

impl fmt::Display for CostReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "total {:.0}: {:.0} GB*s, {} starts ({} unused), {} calls, {} late, {} unserved, \
             {} rejected with a retry, lost value {:.0}, most rejected by runners {}",
            self.total(),
            self.gb_seconds,
            self.starts,
            self.unused,
            self.calls,
            self.late,
            self.unserved,
            self.rejections,
            self.lost_value,
            self.max_rejections,
        )
    }
}

#[derive(Clone, Copy)]
struct Call {
    first_at: MonotonicTime,
    attempt: u32,
}

enum SimEvent {
    Arrival,
    Retry(Call),
    Tick,
    Due,
    Reserved,
    Started(RunnerId),
    Probed(RunnerId),
    Stopped(RunnerId),
    SendFinished(Ticket, SendResult, RunnerId),
}

struct Runner {
    started_at: MonotonicTime,
    ready_at: MonotonicTime,
    speed: f64,
    running: u32,
    used: bool,
}

struct SimFunction {
    call_stream: CallStream,
    holder: Holder,
    runners: BTreeMap<RunnerId, Runner>,
    calls: BTreeMap<Ticket, Call>,
    rejected_at: VecDeque<MonotonicTime>,
    is_started: bool,
    next_runner: u64,
    next_ticket: u64,
    due_at: Option<MonotonicTime>,
}

impl SimFunction {
    fn new(call_stream: CallStream) -> Self {
        let profile = call_stream.profile;
        let spec = FunctionSpec {
            memory_mb: profile.memory_mb,
            startup: profile.startup,
            slots: profile.slots,
            max_runners: 64,
            ..function_spec()
        };
        let terms = lease_terms(function_key(), spec);
        let mut holder = Holder::new(START, terms).with_tuning(START, tuning());
        holder.set_prewarmed(profile.is_prewarmed);
        Self {
            call_stream,
            holder,
            runners: BTreeMap::new(),
            calls: BTreeMap::new(),
            rejected_at: VecDeque::new(),
            is_started: false,
            next_runner: 0,
            next_ticket: 0,
            due_at: None,
        }
    }

    /// Replies to the holder that memory is reserved for another runner.
    fn handle_reserved(&mut self, now: MonotonicTime) -> Vec<HolderOutput> {
        self.next_runner += 1;
        let runner = runner_id(self.next_runner);
        let result = reserved(runner, self.call_stream.profile.memory_mb);
        self.holder.handle_reserve_result(now, &result)
    }

    fn handle_probed(&mut self, now: MonotonicTime, runner: RunnerId) -> Vec<HolderOutput> {
        let is_ready = self
            .runners
            .get(&runner)
            .is_some_and(|sim_runner| sim_runner.ready_at <= now);
        self.holder.handle_probe_result(now, runner, is_ready)
    }

    fn handle_send_finished(
        &mut self,
        now: MonotonicTime,
        ticket: Ticket,
        result: SendResult,
        runner: RunnerId,
    ) -> Vec<HolderOutput> {
        if let Some(sim_runner) = self.runners.get_mut(&runner) {
            sim_runner.running = sim_runner.running.saturating_sub(1);
        }
        self.holder.handle_send_result(now, ticket, result)
    }
}

/// A simulated day.
pub struct DaySimulation {
    rng: SeededRng,
    prices: Prices,
    functions: Vec<SimFunction>,
    events: BTreeMap<(MonotonicTime, u64), (usize, SimEvent)>,
    next_event: u64,
    now: MonotonicTime,
    report: CostReport,
}

impl DaySimulation {
    /// Creates a day whose holders use the settings of the target deployment.
    pub fn new(seed: u64, prices: Prices, streams: &[CallStream]) -> Self {
        let mut day = Self {
            rng: SeededRng::seeded(seed),
            prices,
            functions: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: START,
            report: CostReport::default(),
        };
        for (number, call_stream) in streams.iter().enumerate() {
            day.functions.push(SimFunction::new(*call_stream));
            if call_stream.profile.is_prewarmed {
                day.start_holder(number);
            }
            let first_gap = day.next_gap(number);
            day.schedule(number, WARM_UP + first_gap, SimEvent::Arrival);
        }
        day
    }

    fn schedule(&mut self, number: usize, after: Duration, event: SimEvent) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), (number, event));
    }

    fn start_holder(&mut self, number: usize) {
        let function = &mut self.functions[number];
        if !function.is_started {
            function.is_started = true;
            let outputs = function.holder.start(self.now);
            self.execute_outputs(number, outputs);
            self.schedule(number, TICK, SimEvent::Tick);
        }
    }

    fn next_gap(&mut self, number: usize) -> Duration {
        let call_stream = self.functions[number].call_stream;
        let elapsed = self.now.since(START + WARM_UP).as_secs_f64();
        let is_peak = (PEAK.0..PEAK.1).contains(&elapsed);
        let rate = call_stream.rate
            * if is_peak {
                call_stream.peak_factor
            } else {
                1.0
            };
        let next_gap = -self.rng.fraction().max(1e-9).ln() / rate;
        Duration::from_secs_f64(next_gap)
    }

    /// Runs the simulation to its end, and returns the costs.
    pub fn run(mut self) -> CostReport {
        while let Some(((at, _), (number, event))) = self.events.pop_first() {
            if at > START + WARM_UP + DAY + COOL_DOWN {
                break;
            }
            self.now = at;
            self.handle_event(number, event);
            self.schedule_due(number);
        }
        self.now = START + WARM_UP + DAY + COOL_DOWN;
        for number in 0..self.functions.len() {
            let remaining: Vec<RunnerId> = self.functions[number].runners.keys().copied().collect();
            for runner in remaining {
                self.charge(number, runner);
            }
            let open_count = self.functions[number].calls.len() as u64;
            self.report.unserved += open_count;
            self.report.lost_value += open_count as f64;
        }
        self.report
    }

    fn schedule_due(&mut self, number: usize) {
        let function = &mut self.functions[number];
        let due_at = function
            .holder
            .next_due()
            .map(|due_at| due_at.max(self.now + Duration::from_millis(1)));
        if let Some(due_at) = due_at
            && function
                .due_at
                .is_none_or(|planned_at| planned_at <= self.now || due_at < planned_at)
        {
            function.due_at = Some(due_at);
            self.schedule(number, due_at.since(self.now), SimEvent::Due);
        }
    }

    fn handle_event(&mut self, number: usize, event: SimEvent) {
        let now = self.now;
        let outputs = match event {
            SimEvent::Arrival => return self.handle_arrival(number),
            SimEvent::Retry(call) => return self.submit(number, call),
            SimEvent::Tick => {
                self.schedule(number, TICK, SimEvent::Tick);
                self.functions[number].holder.tick(now)
            }
            SimEvent::Due => self.functions[number].holder.tick(now),
            SimEvent::Reserved => self.functions[number].handle_reserved(now),
            SimEvent::Started(runner) => {
                report_started(&mut self.functions[number].holder, now, runner)
            }
            SimEvent::Probed(runner) => self.functions[number].handle_probed(now, runner),
            SimEvent::Stopped(runner) => {
                self.charge(number, runner);
                self.functions[number]
                    .holder
                    .handle_runner_stopped(now, runner)
            }
            SimEvent::SendFinished(ticket, result, runner) => {
                self.functions[number].handle_send_finished(now, ticket, result, runner)
            }
        };
        self.execute_outputs(number, outputs);
    }

    /// Submits a new call and schedules the next arrival, unless the day has ended.
    fn handle_arrival(&mut self, number: usize) {
        if self.now >= START + WARM_UP + DAY {
            return;
        }
        let next_gap = self.next_gap(number);
        self.schedule(number, next_gap, SimEvent::Arrival);
        self.start_holder(number);
        self.report.calls += 1;
        let first_call = Call {
            first_at: self.now,
            attempt: 1,
        };
        self.submit(number, first_call);
    }

    /// Removes a runner and adds the cost of its memory to the report.
    fn charge(&mut self, number: usize, runner: RunnerId) {
        let function = &mut self.functions[number];
        let Some(sim_runner) = function.runners.remove(&runner) else {
            return;
        };
        let gb = f64::from(function.call_stream.profile.memory_mb) / 1024.0;
        let gb_seconds = gb * self.now.since(sim_runner.started_at).as_secs_f64();
        self.report.gb_seconds += gb_seconds;
        self.report.memory_cost += gb_seconds * self.prices.gb_second;
        self.report.unused += u64::from(!sim_runner.used);
    }

    fn submit(&mut self, number: usize, call: Call) {
        let function = &mut self.functions[number];
        function.next_ticket += 1;
        let profile = function.call_stream.profile;
        let request = AdmissionRequest {
            deadline: call.first_at + profile.timeout,
            target: profile.target,
            ..admission_request(function.next_ticket, self.now, profile.timeout)
        };
        let ticket = request.ticket;
        function.calls.insert(ticket, call);
        let (immediate, outputs) = function.holder.admit(self.now, request);
        if let Some(outcome) = immediate {
            self.finish_call(number, ticket, &outcome);
        }
        self.execute_outputs(number, outputs);
    }

    fn finish_call(&mut self, number: usize, ticket: Ticket, outcome: &RequestOutcome) {
        let function = &mut self.functions[number];
        let Some(call) = function.calls.remove(&ticket) else {
            return;
        };
        let profile = function.call_stream.profile;
        let elapsed = self.now.since(call.first_at);
        let remaining_time = profile.timeout.saturating_sub(elapsed);
        match outcome {
            RequestOutcome::Response { .. } if elapsed <= profile.target && call.attempt == 1 => {}
            RequestOutcome::Response { .. } if elapsed <= profile.target => {
                self.report.lost_value += (1.0 - self.prices.late_value_fraction) / 2.0;
            }
            RequestOutcome::Response { .. } if !remaining_time.is_zero() => {
                self.report.late += 1;
                self.report.lost_value += 1.0 - self.prices.late_value_fraction;
            }
            RequestOutcome::NotRun { retry_after_ms, .. }
                if call.attempt < 4 && !remaining_time.is_zero() =>
            {
                self.report.rejections += 1;
                let pause =
                    Duration::from_millis(u64::from(*retry_after_ms)).min(remaining_time / 3);
                self.schedule(
                    number,
                    pause,
                    SimEvent::Retry(Call {
                        attempt: call.attempt + 1,
                        ..call
                    }),
                );
            }
            _ => {
                self.report.unserved += 1;
                self.report.lost_value += 1.0;
            }
        }
    }

    fn execute_outputs(&mut self, number: usize, outputs: Vec<HolderOutput>) {
        for output in outputs {
            match output {
                HolderOutput::Send { ticket, runner, .. } => self.send(number, ticket, runner),
                HolderOutput::End { ticket, outcome } => self.finish_call(number, ticket, &outcome),
                HolderOutput::Report(HolderMessage::Reserve) => {
                    self.schedule(number, LEADER_LATENCY, SimEvent::Reserved);
                }
                HolderOutput::Start { runner, .. } => self.start(number, runner),
                HolderOutput::Probe { runner, .. } => {
                    self.schedule(number, PLATFORM_LATENCY / 2, SimEvent::Probed(runner));
                }
                HolderOutput::Stop { runner, .. } => {
                    self.schedule(number, PLATFORM_LATENCY, SimEvent::Stopped(runner));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, number: usize, runner: RunnerId) {
        let startup = self.functions[number].call_stream.profile.startup;
        let started_at = self.now + PLATFORM_LATENCY / 2;
        let sim_runner = Runner {
            started_at,
            ready_at: started_at + startup.mul_f64(0.7 + 0.6 * self.rng.fraction()),
            speed: 0.9 + 0.2 * self.rng.fraction(),
            running: 0,
            used: false,
        };
        if self.functions[number]
            .runners
            .insert(runner, sim_runner)
            .is_none()
        {
            self.report.starts += 1;
            self.report.start_cost += self.prices.start;
        }
        self.schedule(number, PLATFORM_LATENCY, SimEvent::Started(runner));
    }

    fn send(&mut self, number: usize, ticket: Ticket, runner: RunnerId) {
        let profile = self.functions[number].call_stream.profile;
        let work = self.rng.within(profile.service.0, profile.service.1);
        let now = self.now;
        let function = &mut self.functions[number];
        let Some(sim_runner) = function.runners.get_mut(&runner) else {
            return self.schedule(
                number,
                PLATFORM_LATENCY,
                SimEvent::SendFinished(ticket, SendResult::Unsent, runner),
            );
        };
        if sim_runner.running >= profile.slots {
            sim_runner.running += 1;
            function.rejected_at.push_back(now);
            function
                .rejected_at
                .retain(|at| now.since(*at) < REJECTION_WINDOW);
            self.report.max_rejections = self.report.max_rejections.max(function.rejected_at.len());
            let result = SendResult::RejectedByRunner;
            return self.schedule(
                number,
                PLATFORM_LATENCY,
                SimEvent::SendFinished(ticket, result, runner),
            );
        }
        sim_runner.running += 1;
        sim_runner.used = true;
        let age = now.since(sim_runner.ready_at).as_secs_f64();
        let slow_start_fraction = (1.0 - age / SLOW_START_SECONDS).max(0.0);
        let slowdown = sim_runner.speed * (1.0 + slow_start_fraction);
        let result = SendResult::Answered(response(runner, 200, b""));
        self.schedule(
            number,
            work.mul_f64(slowdown),
            SimEvent::SendFinished(ticket, result, runner),
        );
    }
}

fn tuning() -> Tuning {
    Tuning::builder()
        .retry_allowance(15)
        .retry_allowance_immediate(true)
        .idle_startups(3)
        .rare_idle_limit(Some(Duration::from_millis(150)))
        .margin_percent(100)
        .decay(Duration::from_millis(3000))
        .rate_window(Duration::from_millis(500))
        .drain_interval(Duration::from_millis(300))
        .lists_running(false)
        .build()
}
