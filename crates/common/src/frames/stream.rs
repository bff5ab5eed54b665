//! Frames on the control stream between a daemon and the leader.
//!
//! The daemon opens the stream and sends [`DaemonToLeader::Hello`], then `Claims`; the controller answers `Redirect` or
//! `Welcome`. From then on both sides send at any time; requests and responses are tied by a correlation number that
//! the daemon chooses.

use super::{ByteString, Flag, LengthPrefixed, MemberIncarnation, SocketAddress};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, Incarnation, InstanceId, MemberName, RunnerId, Term,
    Version, WorkerName, Zone,
};
use binrw::binrw;

/// A daemon, and how other processes reach it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Host {
    /// The daemon's name.
    pub member: MemberName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// The address at which other processes reach it.
    pub address: SocketAddress,
    /// Whether function leases may be granted to it.
    pub eligible: Flag,
    /// The bandwidth of its link in megabits per second; zero if it is not known.
    pub link_mbps: u32,
}

/// One instance of a runner, as the platform names it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Instance {
    /// The platform's name of it.
    pub name: InstanceId,
    /// The address at which it listens.
    pub address: SocketAddress,
}

/// One runner, as its holder reports it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClaimedRunner {
    /// The runner.
    pub runner: RunnerId,
    /// The worker on which it runs.
    pub worker: WorkerName,
    /// Its memory in megabytes.
    pub memory_mb: u32,
    /// Its instance; none until the platform has named it.
    pub instance: LengthPrefixed<Instance>,
    /// Whether it is ready, so that the next holder may adopt it as it runs.
    pub is_adoptable: Flag,
}

/// A daemon's report of one function that it holds.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The function.
    pub function: FunctionKey,
    /// The fencing token of the lease that it is held under.
    pub fencing_token: FencingToken,
    /// Its runners.
    pub runners: LengthPrefixed<ClaimedRunner>,
    /// Whether the function is being released, and these runners are still being stopped.
    pub is_releasing: Flag,
    /// The daemon that keeps the copy of its ledger; none without one.
    pub replica: LengthPrefixed<Host>,
    /// Whether that copy is complete.
    pub complete: Flag,
}

/// A function that has received no request for some time.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct IdleFunction {
    /// The function.
    pub function: FunctionKey,
    /// For how many milliseconds.
    pub idle_ms: u32,
}

/// The earlier lease of a function, and where its ledger may be collected.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PreviousLease {
    /// The daemon that keeps the copy of the ledger.
    pub replica: Host,
    /// The fencing token of the earlier lease.
    pub fencing_token: FencingToken,
}

/// The leader's answer to [`DaemonToLeader::Acquire`].
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AcquireResult {
    /// The requesting daemon now holds the function.
    #[brw(magic = 1u8)]
    Granted {
        /// The fencing token of the new lease.
        fencing_token: FencingToken,
        /// After how many milliseconds requests that may run only once are admitted if no earlier ledger was collected.
        once_wait_ms: u32,
        /// The daemon that is to keep a copy of the ledger; none if there is no other daemon.
        replica: LengthPrefixed<Host>,
        /// The earlier leases whose ledgers are to be collected.
        previous_lease: LengthPrefixed<PreviousLease>,
        /// Orphaned runners of an earlier holder, renamed under this lease, to be adopted as they run.
        adopted: LengthPrefixed<ClaimedRunner>,
    },
    /// Another daemon holds it.
    #[brw(magic = 2u8)]
    HeldBy {
        /// That daemon.
        host: Host,
    },
    /// The requesting daemon may not hold it: there is no such function, or the daemon has no valid session lease.
    #[brw(magic = 3u8)]
    Rejected,
    /// The function can be granted to nobody yet, since an earlier lease has still to end.
    #[brw(magic = 4u8)]
    RetryLater {
        /// After how many milliseconds that is expected.
        wait_ms: u32,
    },
}

/// The leader's answer to [`DaemonToLeader::Reserve`].
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReserveResult {
    /// The memory is reserved.
    #[brw(magic = 1u8)]
    Reserved {
        /// The new runner's identity.
        runner: RunnerId,
        /// The worker on which it is to start.
        worker: WorkerName,
        /// The reserved memory in megabytes.
        memory_mb: u32,
    },
    /// No worker has the capacity, or the lease is not the requesting daemon's.
    #[brw(magic = 2u8)]
    Rejected,
}

/// The status of a runner, as its holder reports it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RunnerStatus {
    /// It is ready.
    #[brw(magic = 1u8)]
    Ready,
    /// The platform confirmed that it has stopped, or never started it.
    #[brw(magic = 2u8)]
    Gone,
    /// The platform named its instance, which is starting up.
    #[brw(magic = 3u8)]
    Started {
        /// The instance.
        instance: Instance,
    },
}

/// A frame from a daemon to the leader.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum DaemonToLeader {
    /// The first frame on a stream.
    #[brw(magic = 1u8)]
    Hello {
        /// The daemon that opens it; not `eligible` while it is leaving.
        host: Host,
        /// The address at which callers reach it.
        ingress: SocketAddress,
        /// The newest version of the spec that it has installed.
        version: Version,
        /// How long this incarnation has run, in milliseconds: its earlier ones ended at least that long ago.
        age_ms: u32,
        /// Whether this incarnation has ever had a session lease, so that it may have started runners.
        granted: Flag,
    },
    /// Every function that the daemon holds; follows each `Hello`.
    #[brw(magic = 2u8)]
    Claims {
        /// One claim for each function.
        claims: LengthPrefixed<Claim>,
    },
    /// Requests a renewal of the session lease. Answered by `Renewed`.
    #[brw(magic = 3u8)]
    Renew {
        /// Ties the answer to the time of sending, from which the lease is measured.
        correlation: CorrelationId,
        /// The newest version of the spec that is installed.
        version: Version,
    },
    /// Reports that a version of the spec is installed.
    #[brw(magic = 4u8)]
    Installed {
        /// That version.
        version: Version,
    },
    /// Requests the full spec, since a delta could not be applied. Answered by `Spec`.
    #[brw(magic = 5u8)]
    FullSpecRequest,
    /// From a function's hash owner: requests the function's lease, or the name of its holder. Answered by `Acquired`.
    #[brw(magic = 6u8)]
    Acquire {
        /// Ties the answer to this request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
    },
    /// Releases a function, whose runners are stopped except those listed.
    #[brw(magic = 7u8)]
    Release {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that is released.
        fencing_token: FencingToken,
        /// Runners that keep running for the next holder.
        runners: LengthPrefixed<ClaimedRunner>,
    },
    /// Requests memory for one more runner. Answered by `Reserved`.
    #[brw(magic = 8u8)]
    Reserve {
        /// Ties the answer to this request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
    },
    /// Reports a change of a runner's status.
    #[brw(magic = 9u8)]
    RunnerUpdate {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// The new status.
        runner_status: RunnerStatus,
    },
    /// Counts a function's requests that the daemon rejected since the last such frame.
    #[brw(magic = 10u8)]
    Rejections {
        /// The function.
        function: FunctionKey,
        /// The number of requests.
        count: u32,
        /// The reason of the last rejection.
        reason: super::RequestFailureReason,
    },
    /// The daemon is leaving and needs no session lease any more.
    #[brw(magic = 11u8)]
    Leaving,
    /// The ledger replica does not answer; requests another. Answered by `ReplicaAssigned`.
    #[brw(magic = 12u8)]
    ReplicaLost {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
        /// The replica that does not answer.
        lost: MemberName,
    },
    /// Reports for how long held functions have received no request.
    #[brw(magic = 14u8)]
    Idle {
        /// The functions that have been idle for some seconds.
        functions: LengthPrefixed<IdleFunction>,
    },
    /// From a watcher: a daemon's heartbeats are missing.
    #[brw(magic = 15u8)]
    MemberSuspected {
        /// That daemon.
        incarnation: MemberIncarnation,
    },
    /// From a watcher, or from the daemon itself: a suspected daemon is reachable.
    #[brw(magic = 16u8)]
    MemberRecovered {
        /// That daemon.
        incarnation: MemberIncarnation,
    },
    /// Requests the full list of hosts, since a delta could not be applied. Answered by `Hosts`.
    #[brw(magic = 17u8)]
    FullHostListRequest,
    /// The ledger replica's copy is complete.
    #[brw(magic = 13u8)]
    ReplicaComplete {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
        /// The daemon that keeps the copy of the ledger.
        replica: MemberName,
    },
}

/// A frame from a controller to a daemon.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum LeaderToDaemon {
    /// Answers `Hello`: this controller is not the leader.
    #[brw(magic = 1u8)]
    Redirect {
        /// The leader's address, or [`SocketAddress::UNSPECIFIED`] if it is not known.
        leader: SocketAddress,
    },
    /// Answers `Hello`: this controller is the leader.
    #[brw(magic = 2u8)]
    Welcome {
        /// The leader's term.
        term: Term,
    },
    /// Answers `Renew`: the session lease is renewed.
    #[brw(magic = 3u8)]
    Renewed {
        /// The renewal that is answered.
        correlation: CorrelationId,
        /// How many milliseconds the lease lasts, counted from when the daemon sent the renewal.
        lease_ms: u32,
        /// The newest committed version of the spec.
        version: Version,
    },
    /// A full spec to be installed.
    #[brw(magic = 4u8)]
    Spec {
        /// Its version.
        version: Version,
        /// The daemon's view of the document as JSON, compressed by [`compress`](super::compress).
        document: ByteString,
    },
    /// A newer spec to be installed, as a delta.
    #[brw(magic = 5u8)]
    SpecDelta {
        /// The version that the delta applies to.
        base: Version,
        /// The resulting version.
        version: Version,
        /// The delta as JSON, compressed by [`compress`](super::compress).
        delta: ByteString,
        /// The SHA-256 digest of the resulting view.
        digest: ByteString,
    },
    /// The full list of daemons.
    #[brw(magic = 6u8)]
    Hosts {
        /// The number of this list; the next delta has the next number.
        number: u64,
        /// All daemons.
        hosts: LengthPrefixed<Host>,
        /// Those among them that are suspected.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// What has changed in the list of daemons since the list or delta of the number before.
    #[brw(magic = 15u8)]
    HostsDelta {
        /// The number of the resulting list.
        number: u64,
        /// Daemons that are new, or of which something has changed.
        put: LengthPrefixed<Host>,
        /// Daemons that are no longer listed.
        removed: LengthPrefixed<MemberName>,
        /// All daemons that are suspected now.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// Answers `Acquire`.
    #[brw(magic = 7u8)]
    Acquired {
        /// The request that is answered.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: AcquireResult,
    },
    /// Answers `Reserve`.
    #[brw(magic = 8u8)]
    Reserved {
        /// The request that is answered.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: ReserveResult,
    },
    /// A claim is not valid: the daemon stops its runners and forgets the function.
    #[brw(magic = 9u8)]
    Revoke {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that is not valid.
        fencing_token: FencingToken,
    },
    /// The daemon is to let this runner finish its requests, then to stop it.
    #[brw(magic = 10u8)]
    Drain {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// The daemon is to hand this function over: to finish its requests, stop its runners and release it.
    #[brw(magic = 11u8)]
    HandOver {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease to be released.
        fencing_token: FencingToken,
    },
    /// Memory is short: the daemon is to stop the function's last runner if it is idle, and to keep the function.
    #[brw(magic = 13u8)]
    ReclaimIdle {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
    },
    /// The platform no longer lists this runner: it has ended, and its reservation is free.
    #[brw(magic = 14u8)]
    RunnerUnlisted {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// Another daemon is to keep the copy of a function's ledger. Answers `ReplicaLost`, or comes by itself.
    #[brw(magic = 12u8)]
    ReplicaAssigned {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease that it is held under.
        fencing_token: FencingToken,
        /// That daemon; none if there is no other.
        replica: LengthPrefixed<Host>,
    },
}
