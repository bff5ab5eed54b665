//! A figure of the page: fitted models at the target size, with a budget.

use super::fit::{Fit, Predictor};
use std::fmt;

/// The unit of a figure.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes per second.
    BytesASecond,
    /// Megabytes.
    Megabytes,
    /// Messages per second.
    MessagesASecond,
    /// Calls per second.
    CallsASecond,
    /// Microseconds of processor time per second.
    BusyASecond,
    /// Processor cores.
    Cores,
    /// A factor.
    Times,
    /// Milliseconds.
    Millis,
    /// Seconds.
    Seconds,
}

impl fmt::Display for Unit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Bytes => "B",
            Self::BytesASecond => "B/s",
            Self::Megabytes => "MB",
            Self::MessagesASecond => "messages/s",
            Self::CallsASecond => "calls/s",
            Self::BusyASecond => "µs/s",
            Self::Cores => "cores",
            Self::Times => "×",
            Self::Millis => "ms",
            Self::Seconds => "s",
        })
    }
}

/// A row of a role's table: a sum of fitted models, each with its factor at the target size.
#[derive(Clone, Debug)]
pub(crate) struct Figure {
    /// The name.
    pub name: String,
    /// The unit.
    pub unit: Unit,
    /// The models, each with its factor at the target size.
    pub parts: Vec<(Fit, f64)>,
    /// The budget, if there is one.
    pub budget: Option<f64>,
    /// Whether it is the sum of the rows above.
    pub is_sum: bool,
}

/// Formats a number with three significant digits and separated thousands.
pub(crate) fn format_figure(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".to_owned();
    }
    if size >= 100.0 {
        let scale = 10f64.powf(size.log10().floor() - 2.0);
        let whole = ((value / scale).round() * scale) as i64;
        let digits = whole.abs().to_string();
        let mut grouped = String::new();
        for (index, digit) in digits.chars().enumerate() {
            if index > 0 && (digits.len() - index).is_multiple_of(3) {
                grouped.push(' ');
            }
            grouped.push(digit);
        }
        if whole < 0 {
            format!("-{grouped}")
        } else {
            grouped
        }
    } else {
        let decimals = (2.0 - size.log10().floor()).clamp(0.0, 12.0) as usize;
        format!("{value:.decimals$}")
    }
}

impl Figure {
    /// A figure of one model with a factor.
    pub(crate) fn of(name: &str, unit: Unit, fit: &Fit, factor: f64) -> Self {
        let parts = vec![(fit.clone(), factor)];
        Self {
            name: name.to_owned(),
            unit,
            parts,
            budget: None,
            is_sum: false,
        }
    }

    /// The sum of other figures.
    pub(crate) fn sum(name: &str, unit: Unit, figures: &[&Figure]) -> Self {
        let parts = figures
            .iter()
            .flat_map(|figure| figure.parts.clone())
            .collect();
        Self {
            name: name.to_owned(),
            unit,
            parts,
            budget: None,
            is_sum: true,
        }
    }

    /// Sets the budget.
    pub(crate) fn within(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// The value at the target size.
    pub(crate) fn at_target(&self) -> f64 {
        self.parts
            .iter()
            .map(|(fit, factor)| fit.line.at_target() * factor)
            .sum()
    }

    /// The ratio of the value to the budget; above one the budget is exceeded.
    pub(crate) fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.at_target() / budget)
    }

    fn spread(&self) -> Option<(f64, f64)> {
        let seed_count = self.parts.iter().map(|(fit, _)| fit.by_seed.len()).max()?;
        let of_seed = |seed: usize| -> f64 {
            self.parts
                .iter()
                .map(|(fit, factor)| {
                    fit.by_seed.get(seed).unwrap_or(&fit.line).at_target() * factor
                })
                .sum()
        };
        let values: Vec<f64> = (0..seed_count).map(of_seed).collect();
        let least = values.iter().copied().reduce(f64::min)?;
        let most = values.iter().copied().reduce(f64::max)?;
        Some((least, most))
    }

    fn formula(&self) -> String {
        if self.is_sum {
            return "the sum of the rows named".to_owned();
        }
        let Some((fit, factor)) = self.parts.first() else {
            return String::new();
        };
        let parts: Vec<String> = fit
            .line
            .parts
            .iter()
            .map(|(predictor, slope)| match predictor {
                Predictor::One => format_figure(*slope),
                _ => format!("{} {predictor}", format_figure(*slope)),
            })
            .collect();
        let line = parts.join(" + ");
        if *factor == 1.0 {
            line
        } else {
            format!("({line}) × {}", format_figure(*factor))
        }
    }

    /// The row as Markdown.
    pub(crate) fn row(&self) -> String {
        let spread = match self.spread() {
            Some((least, most)) => format!("{} to {}", format_figure(least), format_figure(most)),
            None => "worked out".to_owned(),
        };
        let value = format!("{} {}", format_figure(self.at_target()), self.unit);
        let budget = self.budget.map_or("–".to_owned(), |budget| {
            format!("{} {}", format_figure(budget), self.unit)
        });
        let ratio = match self.ratio() {
            Some(ratio) if ratio > 1.0 => format!("**{} × too much**", format_figure(ratio)),
            Some(ratio) => format_figure(ratio),
            None => "–".to_owned(),
        };
        format!(
            "| {} | {} | {value} | {spread} | {budget} | {ratio} |",
            self.name,
            self.formula()
        )
    }
}
