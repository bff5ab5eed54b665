//! Decides each line of what must never happen, only from what callers, runners and the platform saw.

mod evidence;
mod figures;
mod lines;
mod verdict;

pub use evidence::{Call, Evidence, Life, Run, Told};
pub use figures::{Figures, Recovery};
pub use verdict::{Line, Verdict};

/// Judges a day.
pub fn judge(evidence: &Evidence) -> Verdict {
    Verdict { lines: lines::all(evidence), figures: Figures::of(evidence) }
}
