//! The size of a synthetic fleet, checked against the memory of the machine.

use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

const MEBIBYTE: u64 = 1 << 20;
/// What a daemon takes without any function, and for each other daemon, and for each function, in
/// bytes; rounded up from the runs of small fleets.
const DAEMON_BYTES: u64 = 64 << 10;
const DAEMON_BYTES_PER_DAEMON: u64 = 2 << 10;
const DAEMON_BYTES_PER_FUNCTION: u64 = 4 << 10;
/// What the three controllers, the runners and the frames under way take for each function.
const CORE_BYTES_PER_FUNCTION: u64 = 40 << 10;

/// What a synthetic fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct SyntheticSize {
    /// How many daemons.
    pub daemons: usize,
    /// How many functions, each with a route.
    pub functions: usize,
    /// How many of them are called, and so held.
    pub held: usize,
    /// How many runners each held function keeps.
    pub runners: u32,
    /// How many changes of the spec while it is measured.
    pub changes: u32,
    /// The seed.
    pub seed: u64,
    /// Calls a second and daemon while it is measured.
    pub calls: u32,
    /// How long it is measured, in virtual time.
    pub measured: Duration,
    /// How long it may run, in real time.
    pub patience: Duration,
}

/// Why a fleet cannot be made.
#[derive(Debug)]
pub enum SizeError {
    /// A size of nothing.
    Zero(&'static str),
    /// More functions are to be held than there are.
    Held(usize, usize),
    /// It would need more than half of the machine's memory: needed and half, in megabytes.
    Memory(u64, u64),
    /// The machine does not say how much memory it has.
    Unreadable(PathBuf, std::io::Error),
    /// What the machine says is no number.
    Unknown(PathBuf),
}

impl fmt::Display for SizeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zero(flag) => {
                write!(
                    out,
                    "--{flag} is 0; the least is 1, as nothing can be measured on nothing"
                )
            }
            Self::Held(held, functions) => {
                write!(
                    out,
                    "--held {held} is above the limit of {functions}, as only functions of the spec can be held"
                )
            }
            Self::Memory(needed_mb, half_mb) => write!(
                out,
                "such a fleet needs some {needed_mb} MB, and the limit is {half_mb} MB, half of the machine's memory, so that the rest of it goes on working; each daemon keeps the whole spec: use fewer daemons or functions"
            ),
            Self::Unreadable(path, error) => write!(out, "{}: {error}", path.display()),
            Self::Unknown(path) => write!(out, "{}: no total of memory there", path.display()),
        }
    }
}

impl std::error::Error for SizeError {}

impl SyntheticSize {
    /// The memory that it will need, in bytes.
    pub fn needed_bytes(&self) -> u64 {
        let daemons = self.daemons as u64;
        let functions = self.functions as u64;
        let daemon = DAEMON_BYTES
            .saturating_add(daemons.saturating_mul(DAEMON_BYTES_PER_DAEMON))
            .saturating_add(functions.saturating_mul(DAEMON_BYTES_PER_FUNCTION));
        daemons
            .saturating_mul(daemon)
            .saturating_add(functions.saturating_mul(CORE_BYTES_PER_FUNCTION))
    }

    /// Refuses sizes of nothing, and what does not fit into half of the machine's memory.
    pub fn checked(self) -> Result<Self, SizeError> {
        let sizes = [
            ("daemons", self.daemons as u64),
            ("functions", self.functions as u64),
            ("held", self.held as u64),
            ("runners", u64::from(self.runners)),
            ("seconds", self.measured.as_secs()),
            ("patience", self.patience.as_secs()),
        ];
        if let Some((flag, _)) = sizes.into_iter().find(|(_, size)| *size == 0) {
            return Err(SizeError::Zero(flag));
        }
        if self.held > self.functions {
            return Err(SizeError::Held(self.held, self.functions));
        }
        let half_bytes = half_of_memory()?;
        if self.needed_bytes() > half_bytes {
            let (needed_mb, half_mb) = (self.needed_bytes() / MEBIBYTE, half_bytes / MEBIBYTE);
            return Err(SizeError::Memory(needed_mb, half_mb));
        }
        Ok(self)
    }
}

/// Half of the machine's memory, in bytes.
pub(super) fn half_of_memory() -> Result<u64, SizeError> {
    let path = PathBuf::from("/proc/meminfo");
    let lines = std::fs::read_to_string(&path)
        .map_err(|error| SizeError::Unreadable(path.clone(), error))?;
    lines
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .map(|kibibytes| kibibytes * 1024 / 2)
        .ok_or(SizeError::Unknown(path))
}
