//! Counts what each role sends, hears and computes, by kind of work.

use super::memory;
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::fmt;

/// Whose work it is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Role {
    /// A daemon with its callers, its member grant, its spec, and the daemons it watches.
    Door,
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
    pub const ALL: [Role; 5] =
        [Role::Door, Role::Holder, Role::Following, Role::Leading, Role::Platform];
}

impl fmt::Display for Role {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Door => "door",
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
    Beats,
    /// Renewals of member grants.
    Renewals,
    /// Lists of daemons.
    Hosts,
    /// The spec on its way to daemons.
    Spec,
    /// What daemons say every second of functions that are not called.
    Idle,
    /// Function grants, and runners' reservations.
    Grants,
    /// Transactions on their way to their holders.
    Calls,
    /// Transactions at their holders.
    Runs,
    /// Starts, probes and stops of runners.
    Runners,
    /// Ledgers and their stewards.
    Stewards,
    /// The core's talk.
    Core,
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
            Self::Beats => "beats",
            Self::Renewals => "renewals",
            Self::Hosts => "hosts",
            Self::Spec => "spec",
            Self::Idle => "idle",
            Self::Grants => "grants",
            Self::Calls => "calls",
            Self::Runs => "runs",
            Self::Runners => "runners",
            Self::Stewards => "stewards",
            Self::Core => "core",
            Self::Disk => "disk",
            Self::Changes => "changes",
            Self::Lists => "lists",
            Self::Others => "others",
        })
    }
}

/// What one kind of work came to.
#[derive(Clone, Copy, Default, Debug)]
pub struct Tally {
    /// Calls into a state machine.
    pub steps: u64,
    /// Messages sent.
    pub sent: u64,
    /// Their bytes on the wire.
    pub sent_bytes: u64,
    /// Messages heard.
    pub heard: u64,
    /// Their bytes on the wire.
    pub heard_bytes: u64,
    /// Processor time in state machines, in nanoseconds.
    pub think_nanos: u64,
    /// Processor time of making and reading frames, in nanoseconds.
    pub wire_nanos: u64,
    /// The most bytes of memory that one call took on top of what was kept.
    pub swell_bytes: u64,
}

/// The processor time of this thread, which other processes on the machine do not lengthen.
fn processor_nanos() -> u64 {
    let read_time = clock_gettime(ClockId::ThreadCPUTime);
    read_time.tv_sec as u64 * 1_000_000_000 + read_time.tv_nsec as u64
}

/// Sums by role and work, while it is open.
#[derive(Default)]
pub struct Meter {
    tallies: BTreeMap<(Role, Work), Tally>,
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
    pub fn tallies(&self) -> &BTreeMap<(Role, Work), Tally> {
        &self.tallies
    }

    fn tally(&mut self, role: Role, work: Work) -> Option<&mut Tally> {
        self.is_open.then(|| self.tallies.entry((role, work)).or_default())
    }

    /// Runs a step of a state machine, and counts its time and its swell. Gives its nanoseconds too.
    pub fn think<T>(&mut self, role: Role, work: Work, step: impl FnOnce() -> T) -> (T, u64) {
        let begun_bytes = memory::begin_swell();
        let begun_nanos = processor_nanos();
        let result = step();
        let nanos = processor_nanos().saturating_sub(begun_nanos);
        let swell_bytes = memory::swell_above(begun_bytes);
        if role == Role::Leading {
            self.leader_nanos += nanos;
        }
        if let Some(tally) = self.tally(role, work) {
            tally.steps += 1;
            tally.think_nanos += nanos;
            tally.swell_bytes = tally.swell_bytes.max(swell_bytes);
        }
        (result, nanos)
    }

    /// Makes or reads a frame, and counts its time as often as it stands for others.
    pub fn wire<T>(
        &mut self,
        role: Role,
        work: Work,
        stands_for: u64,
        step: impl FnOnce() -> T,
    ) -> T {
        let begun_nanos = processor_nanos();
        let result = step();
        let nanos = processor_nanos().saturating_sub(begun_nanos);
        if let Some(tally) = self.tally(role, work) {
            tally.wire_nanos += nanos * stands_for;
        }
        result
    }

    /// Counts messages sent.
    pub fn sent(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(tally) = self.tally(role, work) {
            tally.sent += count;
            tally.sent_bytes += bytes;
        }
    }

    /// Counts messages heard.
    pub fn heard(&mut self, role: Role, work: Work, count: u64, bytes: u64) {
        if let Some(tally) = self.tally(role, work) {
            tally.heard += count;
            tally.heard_bytes += bytes;
        }
    }
}
