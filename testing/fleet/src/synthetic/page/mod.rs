//! The tables and plots of the capacity page, rendered from the records of synthetic fleets.

mod capacity_model;
mod figure;
mod fit;
mod plots;
mod runs;
mod tables;

pub use fit::{LinearModel, Predictor};
pub use plots::draw_plots;
pub use runs::{Run, read_runs};
pub use tables::{render_page, tables};

use crate::synthetic::record::RecordError;
use plots::DrawError;
use std::path::PathBuf;

/// An error in rendering the page. The messages include those of their causes.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The records of runs or the page cannot be read.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The folder has too few baseline runs to fit the models; their number.
    #[error("{path}: {count} runs are usable for a fit, which needs at least 6", path = .0.display(), count = .1)]
    TooFewRuns(PathBuf, usize),
    /// The page lacks a marker of a table.
    #[error("{path}: marker {marker:?} is missing", path = .0.display(), marker = .1)]
    MissingMarker(PathBuf, String),
    /// A plot cannot be drawn.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    Plot(PathBuf, DrawError),
}
