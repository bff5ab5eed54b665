//! The capacity page's tables and plots, made from the files that synthetic fleets wrote.

mod capacity_model;
mod figure;
mod fit;
mod plots;
mod runs;
mod tables;

pub use fit::{Fit, LinearModel, Predictor};
pub use plots::{DrawError, draw_plots};
pub use runs::{Run, read_runs};
pub use tables::{render_page, tables};

use crate::synthetic::record::RecordError;
use std::fmt;
use std::path::PathBuf;

/// Why the page cannot be made.
#[derive(Debug)]
pub enum PageError {
    /// The records.
    Record(RecordError),
    /// There are too few records for a slope.
    TooFew(PathBuf, usize),
    /// The page lacks a mark that a table stands behind.
    Unmarked(PathBuf, String),
    /// A plot cannot be drawn.
    Plot(PathBuf, DrawError),
}

impl fmt::Display for PageError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(error) => write!(out, "{error}"),
            Self::TooFew(folder, count) => {
                write!(
                    out,
                    "{}: {count} whole runs; slopes need at least 6",
                    folder.display()
                )
            }
            Self::Unmarked(path, mark) => write!(out, "{}: no line {mark:?}", path.display()),
            Self::Plot(path, error) => write!(out, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for PageError {}

impl From<RecordError> for PageError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}
