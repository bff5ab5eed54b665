//! The statistics of a day: outcomes, latencies, and how service recovered from each fault.

use super::{Call, Evidence, JournalEntry};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;

/// Nanoseconds in a second.
const SECOND: u64 = 1_000_000_000;
/// The length of the windows in which the share of answered calls is measured, in nanoseconds.
const WINDOW: u64 = SECOND / 2;
/// Windows with fewer calls are ignored.
const MIN_WINDOW_CALLS: usize = 5;
/// Service counts as down in a window with a smaller share of answered calls.
const HEALTHY_SHARE: f64 = 0.9;
/// The calls that are counted for a fault end this long before the next fault, in nanoseconds.
const MARGIN_BEFORE_NEXT_FAULT: u64 = 2 * SECOND;

/// How service recovered after a fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The name of the fault.
    pub fault: String,
    /// The lowest share of answered calls in any half-second window, from the fault to shortly before the next.
    pub worst_share: f64,
    /// The time from the fault to the end of the last half-second window with fewer than 90 % answered calls, in
    /// milliseconds.
    pub down_ms: u64,
    /// The time from the undoing of the fault to the end of the same window, in milliseconds.
    pub after_return_ms: u64,
    /// The number of calls from the fault to shortly before the next, without callers' retries.
    pub calls: usize,
    /// The share of those calls that were refused as not run.
    pub not_run: f64,
    /// The share of those calls with an unknown outcome or a lost connection.
    pub unknown: f64,
}

/// The statistics of a day.
#[derive(Clone, Debug)]
pub struct DayStatistics {
    /// The number of calls by `outcome` or `outcome:reason`.
    pub outcomes: BTreeMap<String, usize>,
    /// The number of calls.
    pub calls: usize,
    /// The number of runs on runners.
    pub runs: usize,
    /// The number of runs that were not the first attempt of their request.
    pub extra_runs: usize,
    /// The number of runners that were started.
    pub runners: usize,
    /// The largest number of workers in use at the same time.
    pub workers_used: usize,
    /// The median latency of answered calls, in milliseconds.
    pub median_ms: f64,
    /// The 99th percentile of the latency of answered calls, in milliseconds.
    pub p99_ms: f64,
    /// How service recovered from each fault, in order of injection.
    pub recoveries: Vec<Recovery>,
}

impl DayStatistics {
    /// Computes the statistics of a day.
    pub fn from_evidence(evidence: &Evidence) -> Self {
        let latencies = sorted_latencies(evidence);
        Self {
            outcomes: count_outcomes(evidence),
            calls: evidence.calls.len(),
            runs: evidence.runs.len(),
            extra_runs: evidence.runs.iter().filter(|run| run.attempt > 1).count(),
            runners: evidence.instances.len(),
            workers_used: evidence.max_workers_used(),
            median_ms: percentile_ms(&latencies, 0.5),
            p99_ms: percentile_ms(&latencies, 0.99),
            recoveries: recoveries(evidence),
        }
    }

    /// Returns the share of calls whose label in `outcomes` starts with the given prefix.
    pub fn share(&self, outcome: &str) -> f64 {
        let counted: usize = self
            .outcomes
            .iter()
            .filter(|(label, _)| label.starts_with(outcome))
            .map(|(_, count)| count)
            .sum();
        counted as f64 / self.calls.max(1) as f64
    }

    /// Returns the statistics as a JSON object.
    pub fn to_value(&self) -> Value {
        let recoveries: Vec<Value> = self
            .recoveries
            .iter()
            .map(|recovery| {
                json!({
                    "fault": recovery.fault,
                    "worst_share": recovery.worst_share,
                    "down_ms": recovery.down_ms,
                    "after_return_ms": recovery.after_return_ms,
                    "calls": recovery.calls,
                    "not_run": recovery.not_run,
                    "unknown": recovery.unknown,
                })
            })
            .collect();
        json!({
            "outcomes": self.outcomes,
            "calls": self.calls,
            "runs": self.runs,
            "extra_runs": self.extra_runs,
            "runners": self.runners,
            "workers_used": self.workers_used,
            "median_ms": self.median_ms,
            "late_ms": self.p99_ms,
            "recoveries": recoveries,
        })
    }
}

fn count_outcomes(evidence: &Evidence) -> BTreeMap<String, usize> {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for call in &evidence.calls {
        let label = match (call.outcome.as_str(), call.reason.as_str()) {
            (outcome, "") | (outcome @ "lost", _) => outcome.to_owned(),
            (outcome, reason) => format!("{outcome}:{reason}"),
        };
        *outcomes.entry(label).or_default() += 1;
    }
    outcomes
}

/// Returns the latencies of all answered calls in nanoseconds, in ascending order.
fn sorted_latencies(evidence: &Evidence) -> Vec<u64> {
    let mut latencies: Vec<u64> = evidence
        .calls
        .iter()
        .filter(|call| call.is_answered())
        .map(|call| call.end.saturating_sub(call.at))
        .collect();
    latencies.sort_unstable();
    latencies
}

/// Returns a percentile of the sorted latencies in milliseconds; zero if there are none.
fn percentile_ms(latencies: &[u64], share: f64) -> f64 {
    let index = ((latencies.len() as f64 * share) as usize).min(latencies.len().saturating_sub(1));
    latencies
        .get(index)
        .map_or(0.0, |latency| *latency as f64 / 1e6)
}

/// The calls of one half-second window.
#[derive(Default)]
struct ServiceWindow {
    answered: usize,
    calls: usize,
}

impl ServiceWindow {
    fn answered_share(&self) -> f64 {
        self.answered as f64 / self.calls as f64
    }
}

/// The calls after a fault, counted by outcome and by window since the fault.
#[derive(Default)]
struct FaultPeriod {
    windows: BTreeMap<u64, ServiceWindow>,
    calls: usize,
    not_run: usize,
    unknown: usize,
}

impl FaultPeriod {
    fn of<'a>(fault_at: u64, calls: impl Iterator<Item = &'a Call>) -> Self {
        let mut period = Self::default();
        for call in calls {
            let window = period
                .windows
                .entry((call.at - fault_at) / WINDOW)
                .or_default();
            window.answered += usize::from(call.is_answered());
            window.calls += 1;
            period.calls += 1;
            period.not_run += usize::from(call.is_refused());
            period.unknown += usize::from(call.is_indeterminate());
        }
        period
    }

    fn measured_windows(&self) -> impl Iterator<Item = (&u64, &ServiceWindow)> {
        self.windows
            .iter()
            .filter(|(_, window)| window.calls >= MIN_WINDOW_CALLS)
    }

    fn worst_share(&self) -> f64 {
        self.measured_windows()
            .map(|(_, window)| window.answered_share())
            .fold(1.0, f64::min)
    }

    /// Returns the time from the fault to the end of the last unhealthy window, in nanoseconds; zero if all were
    /// healthy.
    fn down_time(&self) -> u64 {
        self.measured_windows()
            .filter(|(_, window)| window.answered_share() < HEALTHY_SHARE)
            .map(|(index, _)| (index + 1) * WINDOW)
            .max()
            .unwrap_or(0)
    }

    fn share_of_calls(&self, count: usize) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }
}

fn recoveries(evidence: &Evidence) -> Vec<Recovery> {
    let faults: Vec<_> = evidence.entries_of("fault").collect();
    let returns: Vec<_> = evidence.entries_of("returned").collect();
    let first_calls: Vec<_> = evidence
        .calls
        .iter()
        .filter(|call| !call.is_retry)
        .collect();
    let last_call = evidence.calls.iter().map(|call| call.at).max().unwrap_or(0);
    let recovery_of = |(index, fault): (usize, &&JournalEntry)| {
        let until = faults
            .get(index + 1)
            .map_or(last_call, |next| next.at - MARGIN_BEFORE_NEXT_FAULT);
        let span = fault.at..until;
        let calls = first_calls.iter().filter(|call| span.contains(&call.at));
        let period = FaultPeriod::of(fault.at, calls.copied());
        let down = period.down_time();
        let returned_at = returns
            .iter()
            .find(|entry| entry.at >= fault.at)
            .map_or(fault.at, |entry| entry.at);
        Recovery {
            fault: fault.detail["fault"].as_str().unwrap_or("").to_owned(),
            worst_share: period.worst_share(),
            down_ms: down / 1_000_000,
            after_return_ms: (fault.at + down).saturating_sub(returned_at) / 1_000_000,
            calls: period.calls,
            not_run: period.share_of_calls(period.not_run),
            unknown: period.share_of_calls(period.unknown),
        }
    };
    faults.iter().enumerate().map(recovery_of).collect()
}

impl fmt::Display for DayStatistics {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} transactions, {} runs ({} extra), {} runners started, {} workers at most",
            self.calls, self.runs, self.extra_runs, self.runners, self.workers_used
        )?;
        writeln!(
            out,
            "answer {:.2}%, not run {:.2}%, unknown {:.2}%, lost {:.2}%; median {:.1} ms, 99th {:.1} ms",
            self.share("answer") * 100.0,
            self.share("not_run") * 100.0,
            self.share("unknown") * 100.0,
            self.share("lost") * 100.0,
            self.median_ms,
            self.p99_ms
        )?;
        for (label, count) in &self.outcomes {
            writeln!(out, "    {label}: {count}")?;
        }
        for recovery in &self.recoveries {
            writeln!(
                out,
                "    {:<15} worst half second {:>5.1}% answered, below 90% for {} ms ({} ms after return)",
                recovery.fault,
                recovery.worst_share * 100.0,
                recovery.down_ms,
                recovery.after_return_ms
            )?;
        }
        Ok(())
    }
}
