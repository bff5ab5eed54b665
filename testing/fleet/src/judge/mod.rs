//! Decides each line of what must never happen, only from what callers, runners and the platform saw.

mod evidence;
mod figures;
pub mod lines;
mod verdict;

pub use evidence::{Call, Evidence, EvidenceFault, Life, Run, Told};
pub use figures::{Figures, Recovery};
pub use verdict::{Line, Verdict};

/// Judges a day.
pub fn judge(evidence: &Evidence) -> Verdict {
    let lines = lines::all(evidence);
    let unjudged = evidence
        .told("fault")
        .filter_map(|told| told.detail["fault"].as_str())
        .filter_map(crate::days::FaultName::named)
        .flat_map(|fault| fault.tries().iter().map(move |line| (fault.to_string(), *line)))
        .filter(|(_, name)| lines.iter().any(|line| line.name == *name && line.checked == 0))
        .collect();
    Verdict { lines, unjudged, figures: Figures::of(evidence) }
}
