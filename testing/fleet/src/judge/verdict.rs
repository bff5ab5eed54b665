//! What the judge found, line by line.

use super::Figures;
use std::fmt;

/// One line of what must never happen.
#[derive(Clone, Debug)]
pub struct Check {
    /// What must never happen.
    pub name: &'static str,
    /// How many cases were looked at.
    pub checked: usize,
    /// Where it happened.
    pub violations: Vec<String>,
}

/// What the judge found.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Every line.
    pub checks: Vec<Check>,
    /// The lines that the day's faults are meant to try, and that looked at no case.
    pub unexercised: Vec<(String, &'static str)>,
    /// How the day went.
    pub figures: Figures,
}

impl Verdict {
    /// How many violations there are.
    pub fn violation_count(&self) -> usize {
        self.checks.iter().map(|check| check.violations.len()).sum()
    }

    /// Whether nothing happened that must never happen, and all was judged that was to be.
    pub fn is_clean(&self) -> bool {
        self.violation_count() == 0 && self.unexercised.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for check in &self.checks {
            if check.checked == 0 && check.violations.is_empty() {
                writeln!(out, "{:<52} not judged", check.name)?;
                continue;
            }
            writeln!(
                out,
                "{:<52} checked {:>7}  violations {}",
                check.name,
                check.checked,
                check.violations.len()
            )?;
            for violation in check.violations.iter().take(5) {
                writeln!(out, "    {violation}")?;
            }
        }
        for (fault, name) in &self.unexercised {
            writeln!(
                out,
                "{fault} was to try {name:?}, and no case was looked at"
            )?;
        }
        write!(out, "{}", self.figures)
    }
}
