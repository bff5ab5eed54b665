use super::Figures;
use std::fmt;

/// One line of what must never happen.
#[derive(Clone, Debug)]
pub struct Line {
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
    pub lines: Vec<Line>,
    /// How the day went.
    pub figures: Figures,
}

impl Verdict {
    /// How many violations there are.
    pub fn violation_count(&self) -> usize {
        self.lines.iter().map(|line| line.violations.len()).sum()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(
                out,
                "{:<52} checked {:>7}  violations {}",
                line.name,
                line.checked,
                line.violations.len()
            )?;
            for violation in line.violations.iter().take(5) {
                writeln!(out, "    {violation}")?;
            }
        }
        write!(out, "{}", self.figures)
    }
}
