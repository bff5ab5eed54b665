//! Monotonic time since the machine's boot, including time spent suspended. The wall clock is never read.
//!
//! Leases are measured with this clock, so time during which a machine is suspended must count. Times of different
//! machines are never compared; frames carry durations in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A point in time on this machine's boot clock, in nanoseconds since boot.
///
/// Arithmetic saturates at both ends.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// The time of boot.
    pub const ZERO: MonotonicTime = MonotonicTime(0);

    /// Reads `CLOCK_BOOTTIME`.
    pub fn now() -> Self {
        let clock_time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Self(clock_time.tv_sec as u64 * 1_000_000_000 + clock_time.tv_nsec as u64)
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the whole milliseconds since boot.
    pub fn millis(self) -> u64 {
        self.0 / 1_000_000
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(duration.as_nanos() as u64))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;
    fn sub(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(duration.as_nanos() as u64))
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

/// A [`MonotonicTime`] that one thread writes and many threads read.
///
/// A reader sees everything that the writer did before it set the time (acquire and release ordering).
pub struct SharedMonotonicTime(AtomicU64);

impl SharedMonotonicTime {
    /// Creates it with the value [`MonotonicTime::ZERO`].
    pub const fn new() -> Self {
        Self(AtomicU64::new(0))
    }

    /// Reads the time.
    pub fn get(&self) -> MonotonicTime {
        MonotonicTime(self.0.load(Ordering::Acquire))
    }

    /// Replaces the time.
    pub fn set(&self, new_time: MonotonicTime) {
        self.0.store(new_time.0, Ordering::Release);
    }
}

impl Default for SharedMonotonicTime {
    fn default() -> Self {
        Self::new()
    }
}
