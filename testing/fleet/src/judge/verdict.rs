//! The verdict on a day: the result of each check and the day's statistics.

use super::DayStatistics;
use std::fmt;

/// The result of one check.
#[derive(Clone, Debug)]
pub struct Check {
    /// The name of the check, which says what must never happen; one of the constants in [`checks`](super::checks).
    pub name: &'static str,
    /// The number of cases to which the check applied.
    pub checked: usize,
    /// A description of each violation.
    pub violations: Vec<String>,
}

impl Check {
    /// Creates a check without cases.
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            checked: 0,
            violations: Vec::new(),
        }
    }

    /// Adds the cases and violations from another part of the same check.
    pub(super) fn merge(&mut self, other: Check) {
        self.checked += other.checked;
        self.violations.extend(other.violations);
    }
}

/// The verdict on a day.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The results of all checks, in report order.
    pub checks: Vec<Check>,
    /// The checks that a fault of the day should have exercised but that had no case, each with the fault's name.
    pub unexercised: Vec<(String, &'static str)>,
    /// The statistics of the day.
    pub statistics: DayStatistics,
}

impl Verdict {
    /// Returns the number of violations in all checks.
    pub fn violation_count(&self) -> usize {
        self.checks.iter().map(|check| check.violations.len()).sum()
    }

    /// Whether no check found a violation and every check that a fault should have exercised had a case.
    pub fn is_clean(&self) -> bool {
        self.violation_count() == 0 && self.unexercised.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for check in &self.checks {
            if check.checked == 0 && check.violations.is_empty() {
                writeln!(out, "{:<52} no cases", check.name)?;
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
                "{fault} should have exercised {name:?}, but there was no case"
            )?;
        }
        write!(out, "{}", self.statistics)
    }
}
