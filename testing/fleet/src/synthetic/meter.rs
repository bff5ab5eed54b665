//! Counters of messages, processor time and memory, by role and kind of work.

use super::memory;
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::fmt;

/// The role to which work is attributed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    /// A daemon with its callers, session lease, spec and failure detection of other daemons.
    Ingress,
    /// A daemon with the function leases that it holds.
    Holder,
    /// A controller that follows.
    Following,
    /// The controller that leads.
    Leading,
    /// The clients of the platform: the leader for lists, lease holders for runners.
    Platform,
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

/// A kind of work.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Work {
    /// Timers.
    Ticks,
    /// Heartbeats.
    Heartbeats,
    /// Renewals of session leases.
    Renewals,
    /// Lists of daemons.
    Hosts,
    /// Distribution of the spec to daemons.
    Spec,
    /// The reports that daemons send each second about functions without requests.
    Idle,
    /// Function leases and reservations of runners.
    Leases,
    /// Forwarding of requests to lease holders.
    Calls,
    /// Requests at lease holders.
    Runs,
    /// Starts, probes and stops of runners.
    Runners,
    /// Ledgers and their replicas.
    Replicas,
    /// Consensus between controllers.
    Consensus,
    /// Serialization of documents for the disk.
    Disk,
    /// Operators' changes.
    Changes,
    /// The platform's lists.
    Lists,
    /// Handshakes and everything else.
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

/// The counters of one kind of work.
#[derive(Clone, Copy, Default, Debug)]
pub struct WorkCounters {
    /// Calls into a state machine.
    pub steps: u64,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes on the wire.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Their bytes on the wire.
    pub received_bytes: u64,
    /// Processor time in state machines, in nanoseconds.
    pub step_nanos: u64,
    /// Processor time of encoding and decoding frames, in nanoseconds.
    pub wire_nanos: u64,
    /// The largest temporary memory of one call, in bytes.
    pub peak_bytes: u64,
}

/// Returns the processor time of this thread in nanoseconds, which does not depend on the load of other processes.
fn processor_nanos() -> u64 {
    let read_time = clock_gettime(ClockId::ThreadCPUTime);
    read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64
}

/// Counters by role and kind of work, which are updated only while the meter is open.
#[derive(Default)]
pub(crate) struct Meter {
    counters_by_work: BTreeMap<(Role, Work), WorkCounters>,
    is_open: bool,
    /// Processor time of the leading controller's state machine since the start, in nanoseconds.
    pub leader_nanos: u64,
}

impl Meter {
    /// Starts updating the counters.
    pub(crate) fn open(&mut self) {
        self.is_open = true;
    }

    /// Stops updating the counters.
    pub(crate) fn close(&mut self) {
        self.is_open = false;
    }

    /// Whether the counters are being updated.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the counters.
    pub(crate) fn counters_by_work(&self) -> &BTreeMap<(Role, Work), WorkCounters> {
        &self.counters_by_work
    }

    fn counters(&mut self, role: Role, work: Work) -> Option<&mut WorkCounters> {
        self.is_open
            .then(|| self.counters_by_work.entry((role, work)).or_default())
    }

    /// Runs a step of a state machine, and counts its processor time and temporary memory. Returns its result and its
    /// processor time in nanoseconds.
    pub(crate) fn measure_step<T>(
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

    /// Runs the encoding or decoding of a message, and counts its processor time, multiplied by the number of messages
    /// that this one represents.
    pub(crate) fn measure_wire<T>(
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
    pub(crate) fn count_sent(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(counters) = self.counters(role, work) {
            counters.sent += count;
            counters.sent_bytes += bytes;
        }
    }

    /// Counts messages received.
    pub(crate) fn count_received(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(counters) = self.counters(role, work) {
            counters.received += count;
            counters.received_bytes += bytes;
        }
    }
}
