//! The judge: checks a day of the fleet for safety violations, using only the records of callers, runners, the platform
//! and the fleet's journal.

pub mod checks;
mod evidence;
mod statistics;
mod verdict;

pub use evidence::{Call, Evidence, EvidenceError, JournalEntry, Run, RunnerInstance};
pub use statistics::{DayStatistics, Recovery};
pub use verdict::{Check, Verdict};

/// Runs all checks on the evidence of a day and computes its statistics.
pub fn judge(evidence: &Evidence) -> Verdict {
    let checks = checks::all(evidence);
    Verdict {
        unexercised: unexercised(evidence, &checks),
        checks,
        statistics: DayStatistics::from_evidence(evidence),
    }
}

/// Returns the checks that a fault of the day should have exercised but that had no case, each with the fault's name.
fn unexercised(evidence: &Evidence, checks: &[Check]) -> Vec<(String, &'static str)> {
    let found_no_case = |name: &str| {
        checks
            .iter()
            .any(|check| check.name == name && check.checked == 0)
    };
    evidence
        .entries_of("fault")
        .filter_map(|entry| entry.detail["fault"].as_str())
        .filter_map(crate::days::FaultName::by_name)
        .flat_map(|fault| {
            fault
                .expected_checks()
                .iter()
                .map(move |name| (fault.to_string(), *name))
        })
        .filter(|(_, name)| found_no_case(name))
        .collect()
}
