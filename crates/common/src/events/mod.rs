//! The catalogue of numbered events that processes log and operators follow.
//!
//! Numbers are stable: operators' tools match on them, and a number is never reused for another kind. Names may change;
//! `docs/events.md` lists them too, and a test compares that page with this list. Numbers from 1000 concern all
//! processes, from 2000 the control plane, and from 3000 daemons, their runners and their requests.

use std::fmt;

/// A kind of event. A log line begins with its `Display` form, such as `[E2104] lease granted`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Event {
    /// The stable number, of four digits.
    pub number: u16,
    /// A short human-readable name.
    pub name: &'static str,
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "[E{:04}] {}", self.number, self.name)
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $constant:ident = $number:literal, $name:literal;)+) => {
        $($(#[$doc])* pub const $constant: Event = Event { number: $number, name: $name };)+
        /// All kinds of events, ordered by number.
        pub const ALL: &[Event] = &[$($constant),+];
    };
}

events! {
    /// A process has started.
    STARTED = 1001, "started";
    /// A process is shutting down gracefully.
    STOPPING = 1002, "stopping";
    /// A process has stopped.
    STOPPED = 1003, "stopped";
    /// Changed settings could not be read; the process keeps its current ones.
    SETTINGS_UNREADABLE = 1004, "settings unreadable";
    /// A connection was closed because of an invalid frame.
    FRAME_REJECTED = 1101, "frame rejected";
    /// A heartbeat could not be decoded, or came from a daemon that is not listed.
    HEARTBEAT_IGNORED = 1102, "heartbeat ignored";
    /// The connection to another process was lost.
    LINK_LOST = 1103, "link lost";
    /// A check at run time found an invariant violated.
    INVARIANT_VIOLATED = 1201, "invariant violated";
    /// A controller started an election and requests votes.
    ELECTION_STARTED = 2001, "election started";
    /// A controller was elected leader.
    LEADER_ELECTED = 2002, "elected";
    /// A controller no longer leads.
    LEADER_STEPPED_DOWN = 2003, "leader stepped down";
    /// A version of the document is committed.
    VERSION_COMMITTED = 2004, "committed";
    /// A version is in force at every serving daemon.
    VERSION_IN_FORCE = 2005, "in force";
    /// A write to the disk failed.
    DISK_WRITE_FAILED = 2006, "disk write failed";
    /// A damaged file on the disk was set aside.
    DAMAGED_FILE_SET_ASIDE = 2007, "damaged file set aside";
    /// The control quorum was founded.
    QUORUM_FOUNDED = 2008, "quorum founded";
    /// A disk write takes longer than an election timeout.
    DISK_STALLED = 2009, "disk stalled";
    /// The voters of the control quorum are being replaced.
    QUORUM_RECONFIGURING = 2010, "quorum reconfiguring";
    /// A controller took long to handle one input, which delayed heartbeat rounds and votes.
    SLOW_INPUT = 2011, "slow input";
    /// An operator's request was answered.
    OPERATION_ANSWERED = 2012, "operation answered";
    /// A daemon opened its control stream.
    MEMBER_CONNECTED = 2101, "member connected";
    /// A daemon's control stream was lost.
    MEMBER_DISCONNECTED = 2102, "member disconnected";
    /// The claims quorum is reached; the leader grants leases.
    CLAIMS_QUORUM_REACHED = 2103, "claims quorum reached";
    /// A function lease was granted.
    LEASE_GRANTED = 2104, "lease granted";
    /// A holder released a function lease.
    LEASE_RELEASED = 2105, "lease released";
    /// A holder lost a function; its runners are kept for the next holder, or being stopped.
    FENCING_STARTED = 2106, "fencing started";
    /// Each runner of a lost holder is kept or stopped; the function may be granted again.
    FENCING_FINISHED = 2107, "fencing finished";
    /// A claim was rejected.
    CLAIM_REJECTED = 2108, "claim rejected";
    /// A runner without a holder was found; it is kept for the next one, or being stopped.
    ORPHANED_RUNNER_FOUND = 2109, "orphaned runner found";
    /// The platform did not respond.
    PLATFORM_UNREACHABLE = 2110, "platform unreachable";
    /// A last-known daemon did not reconnect and no longer counts for the claims quorum.
    ABSENT_MEMBER_DROPPED = 2111, "absent member dropped";
    /// No worker has capacity for a runner.
    NO_WORKER_CAPACITY = 2112, "no worker capacity";
    /// An evacuation leaves little capacity.
    CAPACITY_LOW = 2113, "capacity low";
    /// A daemon rejected requests.
    REQUESTS_REJECTED = 2114, "requests rejected";
    /// The runners of an idle function were reclaimed because memory is short.
    IDLE_RUNNERS_RECLAIMED = 2115, "idle runners reclaimed";
    /// A lightly used worker is being evacuated.
    WORKER_EVACUATING = 2116, "worker evacuating";
    /// A worker is evacuated and can be switched off.
    WORKER_EVACUATED = 2117, "worker evacuated";
    /// A runner whose holder was lost is kept for the next holder.
    RUNNER_ORPHANED = 2118, "runner orphaned";
    /// A runner is no longer on the platform's list.
    RUNNER_UNLISTED = 2119, "runner unlisted";
    /// The watchers of a daemon miss its heartbeats; other daemons send it no requests until it recovers.
    MEMBER_SUSPECTED = 2120, "member suspected";
    /// A suspected daemon sends heartbeats again.
    MEMBER_RECOVERED = 2121, "member recovered";
    /// The daemon has a session lease and starts to serve.
    SERVING_STARTED = 3001, "serving started";
    /// The daemon's session lease ended; it stops serving and gives up its runners.
    SESSION_LEASE_ENDED = 3002, "session lease ended";
    /// A spec was installed.
    SPEC_INSTALLED = 3003, "spec installed";
    /// A spec could not be installed.
    SPEC_INSTALL_FAILED = 3004, "spec install failed";
    /// The control stream to the leader is open.
    STREAM_OPENED = 3005, "stream opened";
    /// The control stream to the leader is lost.
    STREAM_LOST = 3006, "stream lost";
    /// A runner is ready.
    RUNNER_READY = 3101, "runner ready";
    /// A runner did not start, or ended unexpectedly.
    RUNNER_FAILED = 3102, "runner failed";
    /// A runner's response was wrong, incomplete or for another request.
    RESPONSE_REJECTED = 3103, "response rejected";
    /// A runner is stopped.
    RUNNER_STOPPED = 3104, "runner stopped";
    /// A function is being handed over to another daemon.
    HANDOVER_STARTED = 3105, "handover started";
    /// A stopping daemon withdraws its remaining requests, or ends them with an unknown outcome.
    REQUESTS_LEFT_AT_SHUTDOWN = 3106, "requests left at shutdown";
    /// A request that a caller sent to this daemon ended without a response.
    REQUEST_FAILED = 3201, "request failed";
    /// A request ended without a response at the holder of its function.
    REQUEST_NOT_SERVED = 3202, "request not served";
    /// A request was sent to a runner, and no valid response arrived.
    SEND_FAILED = 3203, "send failed";
    /// A number of requests without a response were not logged, to limit the size of the log.
    REQUESTS_NOT_LOGGED = 3204, "requests not logged";
}

/// Logs a numbered event at the given level, with an optional formatted detail after a colon.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr) => {
        log::log!(log::Level::$level, "{}", $event)
    };
    ($level:ident, $event:expr, $($detail:tt)+) => {
        log::log!(log::Level::$level, "{}: {}", $event, format_args!($($detail)+))
    };
}
