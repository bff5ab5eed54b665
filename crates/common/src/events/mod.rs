//! Numbered log events; each is described in `docs/events.md`.

use std::fmt;

/// One kind of event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Event {
    /// Its number.
    pub number: u16,
    /// Its short name.
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
        /// Every event there is.
        pub const ALL: &[Event] = &[$($constant),+];
    };
}

events! {
    /// A process has started.
    STARTED = 1001, "started";
    /// A process is stopping in an orderly way.
    STOPPING = 1002, "stopping";
    /// A process has stopped.
    STOPPED = 1003, "stopped";
    /// Settings that have changed could not be read; the process goes on with those it has.
    SETTINGS_UNREADABLE = 1004, "settings unreadable";
    /// A connection was closed for what it sent.
    FRAME_REJECTED = 1101, "frame rejected";
    /// A heartbeat was not understood or came from a stranger.
    HEARTBEAT_IGNORED = 1102, "heartbeat ignored";
    /// A link to another process was lost.
    LINK_LOST = 1103, "link lost";
    /// The process found one of its own promises broken.
    INVARIANT_VIOLATED = 1201, "invariant violated";
    /// A controller asks for votes.
    ELECTION_STARTED = 2001, "campaign";
    /// A controller leads.
    LEADER_ELECTED = 2002, "elected";
    /// A controller no longer leads.
    LEADER_STEPPED_DOWN = 2003, "stepped down";
    /// A version of the document is committed.
    VERSION_COMMITTED = 2004, "committed";
    /// A version is in force at every daemon that serves.
    VERSION_IN_FORCE = 2005, "in force";
    /// The disk failed a write.
    DISK_WRITE_FAILED = 2006, "disk failed";
    /// A file on disk was damaged and set aside.
    DAMAGED_FILE_SET_ASIDE = 2007, "file set aside";
    /// The core was founded.
    QUORUM_FOUNDED = 2008, "founded";
    /// The controller took long over one input, so that rounds and votes waited.
    SLOW_INPUT = 2011, "slow step";
    /// An operator's order was answered.
    OPERATION_ANSWERED = 2012, "order answered";
    /// The members of the core are changing.
    QUORUM_RECONFIGURING = 2010, "succession";
    /// A disk write takes longer than an election timeout.
    DISK_STALLED = 2009, "disk stalled";
    /// A daemon opened its stream.
    MEMBER_CONNECTED = 2101, "member joined";
    /// A daemon's stream was lost.
    MEMBER_DISCONNECTED = 2102, "member lost";
    /// The claims quorum stands; grants are given.
    CLAIMS_QUORUM_REACHED = 2103, "claims quorum";
    /// A function was granted.
    LEASE_GRANTED = 2104, "granted";
    /// A function was given back.
    LEASE_RELEASED = 2105, "released";
    /// A holder has lost a function; its runners are left for the next one, or being stopped.
    FENCING_STARTED = 2106, "fencing";
    /// Each runner of a lost holder is left or stopped; the function may be granted again.
    FENCING_FINISHED = 2107, "fenced";
    /// A claim was rejected.
    CLAIM_REJECTED = 2108, "claim rejected";
    /// A runner without a holder was found; it is left for the next one, or being stopped.
    ORPHANED_RUNNER_FOUND = 2109, "orphan";
    /// The platform did not answer.
    PLATFORM_UNREACHABLE = 2110, "platform silent";
    /// A last-known daemon never came back and no longer counts for the quorum.
    ABSENT_MEMBER_DROPPED = 2111, "struck off";
    /// No worker has room for a runner.
    NO_WORKER_CAPACITY = 2112, "no room";
    /// An idle function gave up its runners because memory is short.
    IDLE_RUNNERS_RECLAIMED = 2115, "gave way";
    /// A lightly used worker is being emptied.
    WORKER_EVACUATING = 2116, "worker emptying";
    /// A worker is empty and can be switched off.
    WORKER_EVACUATED = 2117, "worker empty";
    /// A daemon refused transactions.
    REQUESTS_REJECTED = 2114, "sheds";
    /// A runner that nobody holds is left for the next holder.
    RUNNER_ORPHANED = 2118, "runner left";
    /// A runner has gone from the platform's list.
    RUNNER_UNLISTED = 2119, "runner vanished";
    /// The watchers of a daemon miss its heartbeats.
    MEMBER_SUSPECTED = 2120, "member silent";
    /// A daemon that was missed is heard again.
    MEMBER_RECOVERED = 2121, "member heard";
    /// An evacuation leaves little capacity.
    CAPACITY_LOW = 2113, "capacity low";
    /// The daemon's member grant runs.
    SERVING_STARTED = 3001, "serving";
    /// The daemon's member grant ended; it serves no more, and leaves its runners.
    SESSION_LEASE_ENDED = 3002, "grant ended";
    /// A spec was installed.
    SPEC_INSTALLED = 3003, "spec installed";
    /// A spec could not be installed.
    SPEC_INSTALL_FAILED = 3004, "spec failed";
    /// The stream to the leader is open.
    STREAM_OPENED = 3005, "stream open";
    /// The stream to the leader is lost.
    STREAM_LOST = 3006, "stream lost";
    /// A runner is ready.
    RUNNER_READY = 3101, "runner ready";
    /// A runner did not start or died.
    RUNNER_FAILED = 3102, "runner failed";
    /// A runner's answer was wrong, short or another's.
    RESPONSE_REJECTED = 3103, "answer rejected";
    /// A runner is stopped.
    RUNNER_STOPPED = 3104, "runner stopped";
    /// A function is being handed over.
    HANDOVER_STARTED = 3105, "handing over";
    /// A request that a caller brought here ended without an answer.
    REQUEST_FAILED = 3201, "request failed";
    /// A request ended without an answer at the daemon that holds its function.
    REQUEST_NOT_SERVED = 3202, "request not served";
    /// A request was sent to a runner, and no good answer came.
    SEND_FAILED = 3203, "send failed";
    /// So many requests without an answer were not logged, to keep the log small.
    REQUESTS_NOT_LOGGED = 3204, "requests not logged";
}

/// Writes a numbered event to the log.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr) => {
        log::log!(log::Level::$level, "{}", $event)
    };
    ($level:ident, $event:expr, $($detail:tt)+) => {
        log::log!(log::Level::$level, "{}: {}", $event, format_args!($($detail)+))
    };
}
