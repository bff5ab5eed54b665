//! A test double of the platform: workers with limited memory, and runners that record every run.

#![deny(missing_docs, unreachable_pub)]

pub mod platform;
pub mod records;
pub mod runner;
