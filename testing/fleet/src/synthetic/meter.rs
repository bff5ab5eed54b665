//! Counts what each role sends, hears and computes, by kind of work.

use super::memory;
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::fmt;

/// Whose work it is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    /// A daemon with its callers, its member grant, its spec, and the daemons it watches.
    Ingress,
    /// A daemon with the functions it holds.
    Holder,
    /// A controller that follows.
    Following,
    /// The controller that leads.
    Leading,
    /// Whoever calls the platform: the leader for lists, holders for runners.
    Platform,
}

impl Role {
    /// Every role.
    pub const ALL: [Role; 5] = [
        Role::Ingress,
        Role::Holder,
        Role::Following,
        Role::Leading,
        Role::Platform,
    ];
}

impl fmt::Display for Role {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Ingress => "door",
            Self::Holder => "holder",
            Self::Following => "following",
            Self::Leading => "leading",
            Self::Platform => "platform",
        })
    }
}

/// What the work is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Work {
    /// Time that passes.
    Ticks,
    /// Heartbeats.
    Heartbeats,
    /// Renewals of member grants.
    Renewals,
    /// Lists of daemons.
    Hosts,
    /// The spec on its way to daemons.
    Spec,
    /// What daemons say every second of functions that are not called.
    Idle,
    /// Function grants, and runners' reservations.
    Leases,
    /// Transactions on their way to their holders.
    Calls,
    /// Transactions at their holders.
    Runs,
    /// Starts, probes and stops of runners.
    Runners,
    /// Ledgers and their stewards.
    Replicas,
    /// The core's talk.
    Consensus,
    /// Documents made into bytes for the disk.
    Disk,
    /// Operators' changes.
    Changes,
    /// The platform's lists.
    Lists,
    /// Greetings and what is left.
    Others,
}

impl fmt::Display for Work {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Ticks => "ticks",
            Self::Heartbeats => "beats",
            Self::Renewals => "renewals",
            Self::Hosts => "hosts",
            Self::Spec => "spec",
            Self::Idle => "idle",
            Self::Leases => "grants",
            Self::Calls => "calls",
            Self::Runs => "runs",
            Self::Runners => "runners",
            Self::Replicas => "stewards",
            Self::Consensus => "core",
            Self::Disk => "disk",
            Self::Changes => "changes",
            Self::Lists => "lists",
            Self::Others => "others",
        })
    }
}

/// What one kind of work came to.
#[derive(Clone, Copy, Default, Debug)]
pub struct WorkCounters {
    /// Calls into a state machine.
    pub steps: u64,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes on the wire.
    pub sent_bytes: u64,
    /// Messages heard.
    pub received: u64,
    /// Their bytes on the wire.
    pub received_bytes: u64,
    /// Processor time in state machines, in nanoseconds.
    pub step_nanos: u64,
    /// Processor time of making and reading frames, in nanoseconds.
    pub wire_nanos: u64,
    /// The most bytes of memory that one call took on top of what was kept.
    pub peak_bytes: u64,
}

/// The processor time of this thread, which other processes on the machine do not lengthen.
fn processor_nanos() -> u64 {
    let read_time = clock_gettime(ClockId::ThreadCPUTime);
    read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64
}

/// Sums by role and work, while it is open.
#[derive(Default)]
pub struct Meter {
    counters_by_work: BTreeMap<(Role, Work), WorkCounters>,
    is_open: bool,
    /// Processor time of the leading controller's state machine since the start, in nanoseconds.
    pub leader_nanos: u64,
}

impl Meter {
    /// Counts from now on.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Counts no more.
    pub fn close(&mut self) {
        self.is_open = false;
    }

    /// Whether it counts.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The sums.
    pub fn counters_by_work(&self) -> &BTreeMap<(Role, Work), WorkCounters> {
        &self.counters_by_work
    }

    fn counters(&mut self, role: Role, work: Work) -> Option<&mut WorkCounters> {
        self.is_open
            .then(|| self.counters_by_work.entry((role, work)).or_default())
    }

    /// Runs a step of a state machine, and counts its time and its swell. Gives its nanoseconds too.
    pub fn measure_step<T>(
        &mut self,
        role: Role,
        work: Work,
        step: impl FnOnce() -> T,
    ) -> (T, u64) {
        let start_bytes = memory::reset_peak();
        let start_nanos = processor_nanos();
        let result = step();
        let nanos = processor_nanos().saturating_sub(start_nanos);
        let peak_bytes = memory::peak_above(start_bytes);
        if role == Role::Leading {
            self.leader_nanos += nanos;
        }
        if let Some(counters) = self.counters(role, work) {
            counters.steps += 1;
            counters.step_nanos += nanos;
            counters.peak_bytes = counters.peak_bytes.max(peak_bytes);
        }
        (result, nanos)
    }

    /// Makes or reads a frame, and counts its time as often as it stands for others.
    pub fn wire<T>(
        &mut self,
        role: Role,
        work: Work,
        sampled_from: u64,
        step: impl FnOnce() -> T,
    ) -> T {
        let start_nanos = processor_nanos();
        let result = step();
        let nanos = processor_nanos().saturating_sub(start_nanos);
        if let Some(counters) = self.counters(role, work) {
            counters.wire_nanos += nanos * sampled_from;
        }
        result
    }

    /// Counts messages sent.
    pub fn sent(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(counters) = self.counters(role, work) {
            counters.sent += count;
            counters.sent_bytes += bytes;
        }
    }

    /// Counts messages heard.
    pub fn received(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(counters) = self.counters(role, work) {
            counters.received += count;
            counters.received_bytes += bytes;
        }
    }
}
