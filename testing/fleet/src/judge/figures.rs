//! A day's figures: shares of outcomes, and the recovery from each fault.

use super::Evidence;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;

const SECOND: u64 = 1_000_000_000;
const HALF_SECOND: u64 = SECOND / 2;

/// How service came back after one fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The fault.
    pub fault: String,
    /// The least share answered in any half second from the fault on, until service was back.
    pub worst_share: f64,
    /// From the fault to the last half second below nine in ten answered, in milliseconds.
    pub down_ms: u64,
    /// The same, counted from the machines' return.
    pub after_return_ms: u64,
    /// The transactions of the fault's time.
    pub calls: usize,
    /// The share refused as not run.
    pub not_run: f64,
    /// The share unknown, or lost with its connection.
    pub unknown: f64,
}

/// How a day went.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Transactions by outcome and reason.
    pub outcomes: BTreeMap<String, usize>,
    /// All transactions.
    pub calls: usize,
    /// Sends to runners.
    pub runs: usize,
    /// Sends beyond the first of a transaction.
    pub extra_runs: usize,
    /// Runners started.
    pub runners: usize,
    /// The most workers in use at once.
    pub workers_used: usize,
    /// The middle time of an answer, in milliseconds.
    pub median_ms: f64,
    /// The time within which 99 in 100 answers came, in milliseconds.
    pub p99_ms: f64,
    /// How service came back after each fault.
    pub recoveries: Vec<Recovery>,
}

impl Figures {
    /// Counts a day.
    pub fn of(evidence: &Evidence) -> Self {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for call in &evidence.calls {
            let label = match (call.outcome.as_str(), call.reason.as_str()) {
                (outcome, "") | (outcome @ "lost", _) => outcome.to_owned(),
                (outcome, reason) => format!("{outcome}:{reason}"),
            };
            *outcomes.entry(label).or_default() += 1;
        }
        let mut spans: Vec<u64> = evidence
            .calls
            .iter()
            .filter(|call| call.outcome == "answer")
            .map(|call| call.end.saturating_sub(call.at))
            .collect();
        spans.sort_unstable();
        let at_share = |share: f64| {
            let index = ((spans.len() as f64 * share) as usize).min(spans.len().saturating_sub(1));
            spans.get(index).map_or(0.0, |span| *span as f64 / 1e6)
        };
        Self {
            calls: evidence.calls.len(),
            runs: evidence.runs.len(),
            extra_runs: evidence.runs.iter().filter(|run| run.attempt > 1).count(),
            runners: evidence.instances.len(),
            workers_used: evidence.most_workers_used(),
            median_ms: at_share(0.5),
            p99_ms: at_share(0.99),
            recoveries: recoveries(evidence),
            outcomes,
        }
    }

    /// The share of transactions whose label starts so.
    pub fn share(&self, outcome: &str) -> f64 {
        let counted: usize = self
            .outcomes
            .iter()
            .filter(|(label, _)| label.starts_with(outcome))
            .map(|(_, count)| count)
            .sum();
        counted as f64 / self.calls.max(1) as f64
    }

    /// The figures as JSON.
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

fn recoveries(evidence: &Evidence) -> Vec<Recovery> {
    let faults: Vec<_> = evidence.recorded("fault").collect();
    let returns: Vec<_> = evidence.recorded("returned").collect();
    let first_calls: Vec<_> = evidence.calls.iter().filter(|call| !call.repeat).collect();
    let last_call = evidence.calls.iter().map(|call| call.at).max().unwrap_or(0);
    let mut recoveries = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        let until = faults
            .get(index + 1)
            .map_or(last_call, |next| next.at - 2 * SECOND);
        let mut bins: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        let (mut call_count, mut not_run_count, mut unknown_count) = (0, 0, 0);
        for call in first_calls
            .iter()
            .filter(|call| (fault.at..until).contains(&call.at))
        {
            let bin = bins.entry((call.at - fault.at) / HALF_SECOND).or_default();
            bin.0 += usize::from(call.outcome == "answer");
            bin.1 += 1;
            call_count += 1;
            not_run_count += usize::from(call.outcome == "not_run");
            unknown_count += usize::from(matches!(call.outcome.as_str(), "unknown" | "lost"));
        }
        let shares = bins.iter().filter(|(_, (_, all))| *all >= 5);
        let share_of = |answered: usize, all: usize| answered as f64 / all as f64;
        let worst_share = shares
            .clone()
            .map(|(_, (answered, all))| share_of(*answered, *all))
            .fold(1.0, f64::min);
        let last_unhealthy = shares
            .filter(|(_, (answered, all))| share_of(*answered, *all) < 0.9)
            .map(|(bin, _)| (bin + 1) * HALF_SECOND)
            .max();
        let down = last_unhealthy.unwrap_or(0);
        let returned_at = returns
            .iter()
            .find(|recorded| recorded.at >= fault.at)
            .map_or(fault.at, |recorded| recorded.at);
        recoveries.push(Recovery {
            fault: fault.detail["fault"].as_str().unwrap_or("").to_owned(),
            worst_share,
            calls: call_count,
            not_run: share_of(not_run_count, call_count.max(1)),
            unknown: share_of(unknown_count, call_count.max(1)),
            down_ms: down / 1_000_000,
            after_return_ms: (fault.at + down).saturating_sub(returned_at) / 1_000_000,
        });
    }
    recoveries
}

impl fmt::Display for Figures {
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
