//! The size of a synthetic fleet, and its check against the memory of the machine.

use std::path::PathBuf;
use std::time::Duration;

const MEBIBYTE: u64 = 1 << 20;
/// The estimated memory of a daemon in bytes, rounded up: a constant part, and parts per daemon and per function in the
/// fleet.
const DAEMON_BYTES: u64 = 64 << 10;
const DAEMON_BYTES_PER_DAEMON: u64 = 2 << 10;
const DAEMON_BYTES_PER_FUNCTION: u64 = 4 << 10;
/// The estimated memory of controllers, runners and frames in flight per function, in bytes.
const SHARED_BYTES_PER_FUNCTION: u64 = 40 << 10;

/// The size of a synthetic fleet and of its measurement.
#[derive(Clone, Copy, Debug)]
pub struct SyntheticSize {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of functions, each with a route.
    pub functions: usize,
    /// The number of functions that are called, for which leases are therefore held.
    pub held: usize,
    /// The number of runners of each held function.
    pub runners: u32,
    /// The number of changes to the spec during the measurement.
    pub changes: u32,
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of calls per second and daemon during the measurement.
    pub calls: u32,
    /// The duration of the measurement in virtual time.
    pub measured: Duration,
    /// The limit of the real time that the run may take.
    pub real_time_limit: Duration,
}

/// An error in the size of a fleet. The message of [`SizeError::Unreadable`] includes its cause.
#[derive(Debug, thiserror::Error)]
pub enum SizeError {
    /// The size given by this flag is zero.
    #[error("--{0} is 0; it must be at least 1")]
    Zero(&'static str),
    /// More functions are to be held than the spec has; both numbers.
    #[error("--held {0} exceeds the limit of {1}, the number of functions in the spec")]
    TooManyHeld(usize, usize),
    /// The fleet needs more than half of the machine's memory; the needed memory and that half, in megabytes.
    #[error(
        "the fleet needs about {0} MB, and the limit is {1} MB, half of the machine's memory, so that other processes keep running; each daemon stores the whole spec: use fewer daemons or functions"
    )]
    NotEnoughMemory(u64, u64),
    /// The file that states the machine's memory cannot be read.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The file does not state the machine's memory.
    #[error("{path}: MemTotal is missing or malformed", path = .0.display())]
    NoMemoryTotal(PathBuf),
}

impl SyntheticSize {
    /// Estimates the memory that the fleet needs, in bytes.
    pub fn needed_bytes(&self) -> u64 {
        let daemons = self.daemons as u64;
        let functions = self.functions as u64;
        let daemon = DAEMON_BYTES
            .saturating_add(daemons.saturating_mul(DAEMON_BYTES_PER_DAEMON))
            .saturating_add(functions.saturating_mul(DAEMON_BYTES_PER_FUNCTION));
        daemons
            .saturating_mul(daemon)
            .saturating_add(functions.saturating_mul(SHARED_BYTES_PER_FUNCTION))
    }

    /// Returns the size if a fleet of this size can be built.
    ///
    /// # Errors
    /// Fails if a size is zero, if more functions are to be held than the spec has, or if the fleet does not fit into half
    /// of the machine's memory.
    pub fn checked(self) -> Result<Self, SizeError> {
        let sizes = [
            ("daemons", self.daemons as u64),
            ("functions", self.functions as u64),
            ("held", self.held as u64),
            ("runners", u64::from(self.runners)),
            ("seconds", self.measured.as_secs()),
            ("patience", self.real_time_limit.as_secs()),
        ];
        if let Some((flag, _)) = sizes.into_iter().find(|(_, size)| *size == 0) {
            return Err(SizeError::Zero(flag));
        }
        if self.held > self.functions {
            return Err(SizeError::TooManyHeld(self.held, self.functions));
        }
        let half_bytes = half_of_memory()?;
        if self.needed_bytes() > half_bytes {
            let (needed_mb, half_mb) = (self.needed_bytes() / MEBIBYTE, half_bytes / MEBIBYTE);
            return Err(SizeError::NotEnoughMemory(needed_mb, half_mb));
        }
        Ok(self)
    }
}

/// Returns half of the machine's memory, in bytes.
pub(super) fn half_of_memory() -> Result<u64, SizeError> {
    let path = PathBuf::from("/proc/meminfo");
    let lines = std::fs::read_to_string(&path)
        .map_err(|error| SizeError::Unreadable(path.clone(), error))?;
    lines
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .map(|kibibytes| kibibytes * 1024 / 2)
        .ok_or(SizeError::NoMemoryTotal(path))
}
