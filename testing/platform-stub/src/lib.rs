//! The proving stand-in for a platform: workers of limited memory, and runners that record every run.

#![deny(missing_docs)]

pub mod platform;
pub mod records;
pub mod runner;
