//! Time as processes count it: since boot, suspended time included, never the wall clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A moment on this machine's boot clock, in nanoseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// The earliest moment.
    pub const ZERO: MonotonicTime = MonotonicTime(0);

    /// The present moment on CLOCK_BOOTTIME.
    pub fn now() -> Self {
        let read_time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Self(read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64)
    }

    /// The time from an earlier moment to this one; nothing if that is later.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds on this clock.
    pub fn millis(self) -> u64 {
        self.0 / 1_000_000
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, span: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(span.as_nanos() as u64))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn sub(self, span: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(span.as_nanos() as u64))
    }
}

impl fmt::Display for MonotonicTime {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}.{:03}s",
            self.0 / 1_000_000_000,
            self.0 / 1_000_000 % 1000
        )
    }
}

/// A moment that many threads read and one writes.
pub struct SharedMonotonicTime(AtomicU64);

impl SharedMonotonicTime {
    /// Starts at the earliest moment.
    pub const fn new() -> Self {
        Self(AtomicU64::new(0))
    }

    /// Reads the moment.
    pub fn get(&self) -> MonotonicTime {
        MonotonicTime(self.0.load(Ordering::Acquire))
    }

    /// Replaces the moment.
    pub fn set(&self, new_instant: MonotonicTime) {
        self.0.store(new_instant.0, Ordering::Release);
    }
}

impl Default for SharedMonotonicTime {
    fn default() -> Self {
        Self::new()
    }
}
