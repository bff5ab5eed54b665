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

/// Why the page cannot be rendered. The texts include those of their causes.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// The records cannot be read.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The folder has too few complete runs for a fit; their number.
    #[error("{path}: {count} whole runs; slopes need at least 6", path = .0.display(), count = .1)]
    TooFew(PathBuf, usize),
    /// The page lacks the mark of a table.
    #[error("{path}: no line {mark:?}", path = .0.display(), mark = .1)]
    Unmarked(PathBuf, String),
    /// A plot cannot be drawn.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    Plot(PathBuf, DrawError),
}
