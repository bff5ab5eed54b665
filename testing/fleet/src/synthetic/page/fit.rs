//! Linear models fitted to measured runs by least squares.

use super::Run;
use std::fmt;

/// A predictor of a linear model.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Predictor {
    /// The constant one, for the intercept.
    One,
    /// The number of daemons.
    Daemons,
    /// The number of functions in the spec.
    Functions,
    /// The number of functions held by all daemons.
    Held,
    /// The mean number of functions held by one daemon.
    HeldPerDaemon,
    /// The number of runners.
    Instances,
    /// The square of the number of daemons.
    DaemonsSquared,
    /// The number of changes of the spec per second.
    Changes,
    /// The number of changes of the spec per second, times the number of functions in the spec.
    ChangedFunctions,
}

impl Predictor {
    /// Returns the value of the predictor in a run.
    pub fn value_in(self, run: &Run) -> f64 {
        match self {
            Self::One => 1.0,
            Self::Daemons => run.daemons(),
            Self::Functions => run.number("functions"),
            Self::Held => run.number("held"),
            Self::HeldPerDaemon => run.held_per_daemon(),
            Self::Instances => run.number("instances"),
            Self::DaemonsSquared => run.daemons() * run.daemons(),
            Self::Changes => run.number("changes") / run.number("measured_s"),
            Self::ChangedFunctions => {
                run.number("functions") * run.number("changes") / run.number("measured_s")
            }
        }
    }

    /// Returns the value of the predictor at the target size, which is expected in two years.
    pub fn target(self) -> f64 {
        match self {
            Self::One => 1.0,
            Self::Daemons => 740.0,
            Self::Functions | Self::Held => 15_000.0,
            Self::HeldPerDaemon => 15_000.0 / 740.0,
            Self::Instances => 40_000.0,
            Self::DaemonsSquared => 740.0 * 740.0,
            Self::Changes => 1_800.0 / 86_400.0,
            Self::ChangedFunctions => 15_000.0 * 1_800.0 / 86_400.0,
        }
    }
}

impl fmt::Display for Predictor {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::One => "",
            Self::Daemons => "D",
            Self::Functions => "F",
            Self::Held => "H",
            Self::HeldPerDaemon => "H/D",
            Self::Instances => "N",
            Self::DaemonsSquared => "D²",
            Self::Changes => "C",
            Self::ChangedFunctions => "C·F",
        })
    }
}

/// A linear model.
#[derive(Clone, Debug)]
pub struct LinearModel {
    /// The predictors with their coefficients.
    pub terms: Vec<(Predictor, f64)>,
}

impl LinearModel {
    /// Fits a model to points by least squares of the relative deviations. Predictors whose coefficients are negative are
    /// left out, since no cost decreases with size.
    pub fn fit(predictors: &[Predictor], points: &[(&Run, f64)]) -> Self {
        let mut kept_predictors: Vec<Predictor> = predictors.to_vec();
        loop {
            let coefficients = solve(&kept_predictors, points);
            let lowest = coefficients
                .iter()
                .enumerate()
                .filter(|(_, coefficient)| **coefficient < 0.0)
                .min_by(|left, right| left.1.total_cmp(right.1));
            match lowest {
                Some((index, _)) if kept_predictors.len() > 1 => {
                    kept_predictors.remove(index);
                }
                _ => {
                    let terms = kept_predictors.into_iter().zip(coefficients).collect();
                    return Self { terms }.drop_negligible(points);
                }
            }
        }
    }

    /// Removes predictors that contribute less than a millionth to every point.
    fn drop_negligible(mut self, points: &[(&Run, f64)]) -> Self {
        self.terms.retain(|(predictor, coefficient)| {
            points
                .iter()
                .any(|(run, value)| coefficient * predictor.value_in(run) > value.abs() * 1e-6)
        });
        self
    }

    /// Returns the value of the model for given values of the predictors.
    pub fn at(&self, value_of: impl Fn(Predictor) -> f64) -> f64 {
        self.terms
            .iter()
            .map(|(predictor, coefficient)| coefficient * value_of(*predictor))
            .sum()
    }

    /// Returns the value of the model at the target size, which is expected in two years.
    pub fn at_target(&self) -> f64 {
        self.at(Predictor::target)
    }

    fn restricted_to(&self, is_kept: &dyn Fn(Predictor) -> bool) -> Self {
        Self {
            terms: self
                .terms
                .iter()
                .copied()
                .filter(|(predictor, _)| is_kept(*predictor))
                .collect(),
        }
    }
}

/// The absolute value of a pivot below which its unknown counts as undetermined.
const MIN_PIVOT: f64 = 1e-18;

/// Solves a weighted least squares problem by its normal equations, with each predictor scaled by its largest value.
fn solve(predictors: &[Predictor], points: &[(&Run, f64)]) -> Vec<f64> {
    let scales: Vec<f64> = predictors
        .iter()
        .map(|predictor| {
            points
                .iter()
                .map(|(run, _)| predictor.value_in(run).abs())
                .fold(1e-12, f64::max)
        })
        .collect();
    let mut rows = normal_equations(predictors, &scales, points);
    eliminate(&mut rows);
    rows.iter()
        .zip(&scales)
        .enumerate()
        .map(|(index, (row, scale))| {
            let divisor = row[index];
            if divisor.abs() < MIN_PIVOT {
                0.0
            } else {
                row[predictors.len()] / divisor / scale
            }
        })
        .collect()
}

/// Returns the normal equations as rows of an augmented matrix. Each point is weighted by the inverse square of its
/// value, so that relative deviations count.
fn normal_equations(
    predictors: &[Predictor],
    scales: &[f64],
    points: &[(&Run, f64)],
) -> Vec<Vec<f64>> {
    let count = predictors.len();
    let mut rows = vec![vec![0.0; count + 1]; count];
    for (run, value) in points {
        let weight = 1.0 / value.abs().max(1e-9).powi(2);
        let values: Vec<f64> = predictors
            .iter()
            .zip(scales)
            .map(|(predictor, scale)| predictor.value_in(run) / scale)
            .collect();
        for left in 0..count {
            for right in 0..count {
                rows[left][right] += weight * values[left] * values[right];
            }
            rows[left][count] += weight * values[left] * value;
        }
    }
    rows
}

/// Reduces an augmented matrix to diagonal form by Gauss-Jordan elimination with partial pivoting.
fn eliminate(rows: &mut [Vec<f64>]) {
    let count = rows.len();
    for pivot in 0..count {
        let best = (pivot..count)
            .max_by(|left, right| {
                rows[*left][pivot]
                    .abs()
                    .total_cmp(&rows[*right][pivot].abs())
            })
            .unwrap_or(pivot);
        rows.swap(pivot, best);
        if rows[pivot][pivot].abs() < MIN_PIVOT {
            continue;
        }
        let pivot_row = rows[pivot].clone();
        for (index, row) in rows.iter_mut().enumerate() {
            if index != pivot {
                let multiplier = row[pivot] / pivot_row[pivot];
                for (cell, pivot_cell) in row.iter_mut().zip(&pivot_row) {
                    *cell -= multiplier * pivot_cell;
                }
            }
        }
    }
}

/// A model fitted to all runs, and one model per seed.
#[derive(Clone, Debug)]
pub(crate) struct Fit {
    /// The model fitted to all runs.
    pub model: LinearModel,
    /// The models fitted to the runs of each seed, in order of the seeds.
    pub by_seed: Vec<LinearModel>,
}

impl Fit {
    /// Fits models to values read from the runs. Runs without a value are left out.
    pub(crate) fn new(
        predictors: &[Predictor],
        runs: &[&Run],
        read: impl Fn(&Run) -> Option<f64>,
    ) -> Self {
        let points: Vec<(&Run, f64)> = runs
            .iter()
            .filter_map(|run| Some((*run, read(run)?)))
            .collect();
        let mut seeds: Vec<u64> = points.iter().map(|(run, _)| run.seed()).collect();
        seeds.sort_unstable();
        seeds.dedup();
        let by_seed = seeds
            .into_iter()
            .map(|seed| {
                let seed_points: Vec<(&Run, f64)> = points
                    .iter()
                    .filter(|(run, _)| run.seed() == seed)
                    .copied()
                    .collect();
                LinearModel::fit(predictors, &seed_points)
            })
            .collect();
        Self {
            model: LinearModel::fit(predictors, &points),
            by_seed,
        }
    }

    /// Returns a constant that does not come from measurements.
    pub(crate) fn fixed(value: f64) -> Self {
        Self {
            model: LinearModel {
                terms: vec![(Predictor::One, value)],
            },
            by_seed: Vec::new(),
        }
    }

    /// Returns the fit with only the term of one predictor.
    pub(crate) fn only(&self, wanted: Predictor) -> Self {
        self.restricted_to(&|predictor| predictor == wanted)
    }

    /// Returns the fit without the term of one predictor.
    pub(crate) fn without(&self, unwanted: Predictor) -> Self {
        self.restricted_to(&|predictor| predictor != unwanted)
    }

    fn restricted_to(&self, is_kept: &dyn Fn(Predictor) -> bool) -> Self {
        let by_seed = self
            .by_seed
            .iter()
            .map(|model| model.restricted_to(is_kept))
            .collect();
        Self {
            model: self.model.restricted_to(is_kept),
            by_seed,
        }
    }
}
