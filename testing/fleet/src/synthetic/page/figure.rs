//! The figures of the page: values of fitted models at the target size, with budgets.

use super::fit::{Fit, Predictor};
use std::fmt;

/// The unit of a figure.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes per second.
    BytesPerSecond,
    /// Megabytes.
    Megabytes,
    /// Messages per second.
    MessagesPerSecond,
    /// Calls per second.
    CallsPerSecond,
    /// Microseconds of processor time per second.
    MicrosPerSecond,
    /// Processor cores.
    Cores,
    /// A dimensionless factor.
    Factor,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
}

impl fmt::Display for Unit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Bytes => "B",
            Self::BytesPerSecond => "B/s",
            Self::Megabytes => "MB",
            Self::MessagesPerSecond => "messages/s",
            Self::CallsPerSecond => "calls/s",
            Self::MicrosPerSecond => "µs/s",
            Self::Cores => "cores",
            Self::Factor => "×",
            Self::Milliseconds => "ms",
            Self::Seconds => "s",
        })
    }
}

/// A figure in a role's table: a sum of fitted models, each multiplied by a factor.
#[derive(Clone, Debug)]
pub(crate) struct Figure {
    /// The name.
    pub name: String,
    /// The unit.
    pub unit: Unit,
    /// The models with their factors, such as a rate at the target size.
    pub parts: Vec<(Fit, f64)>,
    /// The budget, if there is one.
    pub budget: Option<f64>,
    /// Whether the figure is the sum of other figures in the table.
    pub is_sum: bool,
}

/// Formats a number with three significant digits and a space as thousands separator.
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
    /// Creates a figure of one model with a factor.
    pub(crate) fn new(name: &str, unit: Unit, fit: &Fit, factor: f64) -> Self {
        let parts = vec![(fit.clone(), factor)];
        Self {
            name: name.to_owned(),
            unit,
            parts,
            budget: None,
            is_sum: false,
        }
    }

    /// Creates the sum of other figures.
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
    pub(crate) fn with_budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Returns the value at the target size.
    pub(crate) fn at_target(&self) -> f64 {
        self.parts
            .iter()
            .map(|(fit, factor)| fit.model.at_target() * factor)
            .sum()
    }

    /// Returns the ratio of the value to the budget. Above one, the budget is exceeded.
    pub(crate) fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.at_target() / budget)
    }

    /// Returns the smallest and the largest value of the models by seed.
    fn seed_range(&self) -> Option<(f64, f64)> {
        let seed_count = self.parts.iter().map(|(fit, _)| fit.by_seed.len()).max()?;
        let value_of_seed = |seed: usize| -> f64 {
            self.parts
                .iter()
                .map(|(fit, factor)| {
                    fit.by_seed.get(seed).unwrap_or(&fit.model).at_target() * factor
                })
                .sum()
        };
        let values: Vec<f64> = (0..seed_count).map(value_of_seed).collect();
        let min = values.iter().copied().reduce(f64::min)?;
        let max = values.iter().copied().reduce(f64::max)?;
        Some((min, max))
    }

    /// Returns the formula of the fitted model.
    fn formula(&self) -> String {
        if self.is_sum {
            return "the sum of the rows named".to_owned();
        }
        let Some((fit, factor)) = self.parts.first() else {
            return String::new();
        };
        let terms: Vec<String> = fit
            .model
            .terms
            .iter()
            .map(|(predictor, slope)| match predictor {
                Predictor::One => format_figure(*slope),
                _ => format!("{} {predictor}", format_figure(*slope)),
            })
            .collect();
        let formula = terms.join(" + ");
        if *factor == 1.0 {
            formula
        } else {
            format!("({formula}) × {}", format_figure(*factor))
        }
    }

    /// Returns the figure as a row of a Markdown table.
    pub(crate) fn to_markdown_row(&self) -> String {
        let seed_range = match self.seed_range() {
            Some((min, max)) => format!("{} to {}", format_figure(min), format_figure(max)),
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
            "| {} | {} | {value} | {seed_range} | {budget} | {ratio} |",
            self.name,
            self.formula()
        )
    }
}
