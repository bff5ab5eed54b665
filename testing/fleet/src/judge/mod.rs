//! Decides each line of what must never happen, only from what callers, runners and the platform saw.

pub mod checks;
mod evidence;
mod figures;
mod verdict;

pub use evidence::{Call, Evidence, EvidenceError, JournalEntry, Run, RunnerInstance};
pub use figures::{Figures, Recovery};
pub use verdict::{Check, Verdict};

/// Judges a day.
pub fn judge(evidence: &Evidence) -> Verdict {
    let checks = checks::all(evidence);
    let unexercised = evidence
        .recorded("fault")
        .filter_map(|recorded| recorded.detail["fault"].as_str())
        .filter_map(crate::days::FaultName::by_name)
        .flat_map(|fault| {
            fault
                .expected_checks()
                .iter()
                .map(move |check| (fault.to_string(), *check))
        })
        .filter(|(_, name)| {
            checks
                .iter()
                .any(|check| check.name == *name && check.checked == 0)
        })
        .collect();
    Verdict {
        checks,
        unexercised,
        figures: Figures::of(evidence),
    }
}
