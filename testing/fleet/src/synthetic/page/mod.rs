//! The capacity page's tables and plots, made from the files that synthetic fleets wrote.

mod figure;
mod fit;
mod plots;
mod runs;
mod scope;
mod tables;

pub use fit::{Fit, Line, Term};
pub use plots::{DrawFault, draw_plots};
pub use runs::{Run, read_runs};
pub use tables::{renew, tables};

use crate::synthetic::record::RecordFault;
use std::fmt;
use std::path::PathBuf;

/// Why the page cannot be made.
#[derive(Debug)]
pub enum PageFault {
    /// The records.
    Record(RecordFault),
    /// There are too few records for a slope.
    TooFew(PathBuf, usize),
    /// The page lacks a mark that a table stands behind.
    Unmarked(PathBuf, String),
    /// A plot cannot be drawn.
    Plot(PathBuf, DrawFault),
}

impl fmt::Display for PageFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(fault) => write!(out, "{fault}"),
            Self::TooFew(folder, count) => {
                write!(out, "{}: {count} whole runs; slopes need at least 6", folder.display())
            }
            Self::Unmarked(path, mark) => write!(out, "{}: no line {mark:?}", path.display()),
            Self::Plot(path, fault) => write!(out, "{}: {fault}", path.display()),
        }
    }
}

impl std::error::Error for PageFault {}

impl From<RecordFault> for PageFault {
    fn from(fault: RecordFault) -> Self {
        Self::Record(fault)
    }
}
