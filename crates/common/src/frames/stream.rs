//! Frames on the control stream between a daemon and the leader.
//!
//! The daemon opens the stream and sends [`DaemonToLeader::Hello`], then `Claims`; the controller answers `Redirect` or
//! `Welcome`. From then on, both sides may send at any time. Responses are matched to requests by a correlation number
//! that the daemon chooses.

use super::{ByteString, Flag, LengthPrefixed, MemberIncarnation, SocketAddress};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, Incarnation, InstanceId, MemberName, RunnerId, Term,
    Version, WorkerName, Zone,
};
use binrw::binrw;

/// A daemon and how other processes reach it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Host {
    /// The daemon's name.
    pub member: MemberName,
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// The daemon's zone.
    pub zone: Zone,
    /// The address at which other processes reach the daemon.
    pub address: SocketAddress,
    /// Whether function leases may be granted to the daemon.
    pub eligible: Flag,
    /// The bandwidth of the daemon's network link in megabits per second; zero if unknown.
    pub link_mbps: u32,
}

/// An instance of a runner on the platform.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Instance {
    /// The platform's name for the instance.
    pub name: InstanceId,
    /// The address at which the instance listens.
    pub address: SocketAddress,
}

/// A runner, as reported by the holder of its function.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClaimedRunner {
    /// The runner's identity.
    pub runner: RunnerId,
    /// The worker on which the runner runs.
    pub worker: WorkerName,
    /// The runner's memory in megabytes.
    pub memory_mb: u32,
    /// The runner's instance; empty until the platform has named it.
    pub instance: LengthPrefixed<Instance>,
    /// Whether the runner is ready, so that the next holder may adopt it while it keeps running.
    pub is_adoptable: Flag,
}

/// A daemon's claim to a function that it holds.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The function.
    pub function: FunctionKey,
    /// The fencing token of the daemon's lease.
    pub fencing_token: FencingToken,
    /// The function's runners.
    pub runners: LengthPrefixed<ClaimedRunner>,
    /// Whether the function is being released and these runners are being stopped.
    pub is_releasing: Flag,
    /// The ledger replica, the daemon that keeps the copy of the function's ledger; empty if there is none.
    pub replica: LengthPrefixed<Host>,
    /// Whether the replica's copy is complete.
    pub complete: Flag,
}

/// A function that has received no request for some time.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct IdleFunction {
    /// The function.
    pub function: FunctionKey,
    /// How long the function has been idle, in milliseconds.
    pub idle_ms: u32,
}

/// An earlier lease of a function, and the ledger replica from which its ledger can be collected.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PreviousLease {
    /// The daemon that keeps the copy of the earlier holder's ledger.
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
        /// After how many milliseconds requests that may run only once are admitted, if no earlier ledger was
        /// collected.
        once_wait_ms: u32,
        /// The daemon that will keep a copy of the ledger; empty if there is no other daemon.
        replica: LengthPrefixed<Host>,
        /// The earlier lease whose ledger must be collected; empty if there is none.
        previous_lease: LengthPrefixed<PreviousLease>,
        /// Orphaned runners of an earlier holder, to be adopted while they keep running. They have new identities under
        /// this lease.
        adopted: LengthPrefixed<ClaimedRunner>,
    },
    /// Another daemon holds the function.
    #[brw(magic = 2u8)]
    HeldBy {
        /// The holder.
        host: Host,
    },
    /// The requesting daemon may not hold the function: the function does not exist, or the daemon has no valid session
    /// lease.
    #[brw(magic = 3u8)]
    Rejected,
    /// The lease cannot be granted yet, because an earlier lease has not ended.
    #[brw(magic = 4u8)]
    RetryLater {
        /// After how many milliseconds the earlier lease is expected to end.
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
        /// The worker on which the runner is to start.
        worker: WorkerName,
        /// The reserved memory in megabytes.
        memory_mb: u32,
    },
    /// No worker has enough capacity, or the requesting daemon does not hold the lease.
    #[brw(magic = 2u8)]
    Rejected,
}

/// The status of a runner, as reported by the holder of its function.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RunnerStatus {
    /// The runner is ready.
    #[brw(magic = 1u8)]
    Ready,
    /// The platform confirmed that the runner has stopped, or never started it.
    #[brw(magic = 2u8)]
    Gone,
    /// The platform named the runner's instance, which is starting up.
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
        /// The daemon that opens the stream; not `eligible` while the daemon is leaving.
        host: Host,
        /// The address at which callers reach the daemon.
        ingress: SocketAddress,
        /// The newest version of the spec that the daemon has installed.
        version: Version,
        /// How long this incarnation has run, in milliseconds. Earlier incarnations ended at least that long ago.
        age_ms: u32,
        /// Whether this incarnation has ever had a session lease and may therefore have started runners.
        granted: Flag,
    },
    /// Reports all functions that the daemon holds; follows each `Hello`.
    #[brw(magic = 2u8)]
    Claims {
        /// One claim for each function.
        claims: LengthPrefixed<Claim>,
    },
    /// Requests a renewal of the session lease. Answered by `Renewed`.
    #[brw(magic = 3u8)]
    Renew {
        /// Matches the answer to the time at which this was sent, from which the lease is measured.
        correlation: CorrelationId,
        /// The newest version of the spec that the daemon has installed.
        version: Version,
    },
    /// Reports that a version of the spec is installed.
    #[brw(magic = 4u8)]
    Installed {
        /// The installed version.
        version: Version,
    },
    /// Requests the full spec, because a delta could not be applied. Answered by `Spec`.
    #[brw(magic = 5u8)]
    FullSpecRequest,
    /// From a function's hash owner: requests the function's lease, or the name of its holder. Answered by `Acquired`.
    #[brw(magic = 6u8)]
    Acquire {
        /// Matches the answer to this request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
    },
    /// Releases a function. All of its runners are stopped except those listed.
    #[brw(magic = 7u8)]
    Release {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the released lease.
        fencing_token: FencingToken,
        /// Runners that keep running for the next holder.
        runners: LengthPrefixed<ClaimedRunner>,
    },
    /// Requests memory for another runner. Answered by `Reserved`.
    #[brw(magic = 8u8)]
    Reserve {
        /// Matches the answer to this request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
    },
    /// Reports a change in a runner's status.
    #[brw(magic = 9u8)]
    RunnerUpdate {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// The new status.
        runner_status: RunnerStatus,
    },
    /// Reports how many of a function's requests the daemon rejected since the previous such frame.
    #[brw(magic = 10u8)]
    Rejections {
        /// The function.
        function: FunctionKey,
        /// The number of rejected requests.
        count: u32,
        /// The reason of the last rejection.
        reason: super::RequestFailureReason,
    },
    /// The daemon is leaving and no longer needs a session lease.
    #[brw(magic = 11u8)]
    Leaving,
    /// Requests another ledger replica, because the current one does not answer. Answered by `ReplicaAssigned`.
    #[brw(magic = 12u8)]
    ReplicaLost {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
        /// The replica that does not answer.
        lost: MemberName,
    },
    /// Reports how long held functions have been idle.
    #[brw(magic = 14u8)]
    Idle {
        /// The functions that have been idle for some seconds.
        functions: LengthPrefixed<IdleFunction>,
    },
    /// From a watcher: the heartbeats of a daemon are missing.
    #[brw(magic = 15u8)]
    MemberSuspected {
        /// The suspected daemon.
        incarnation: MemberIncarnation,
    },
    /// From a watcher, or from the daemon itself: a suspected daemon is reachable.
    #[brw(magic = 16u8)]
    MemberRecovered {
        /// The suspected daemon.
        incarnation: MemberIncarnation,
    },
    /// Requests the full list of daemons, because a delta could not be applied. Answered by `Hosts`.
    #[brw(magic = 17u8)]
    FullHostListRequest,
    /// The ledger replica's copy is complete.
    #[brw(magic = 13u8)]
    ReplicaComplete {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
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
        /// The leader's address, or [`SocketAddress::UNSPECIFIED`] if it is unknown.
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
        /// The correlation number of the renewal.
        correlation: CorrelationId,
        /// The duration of the lease in milliseconds, measured from when the daemon sent the renewal.
        lease_ms: u32,
        /// The newest committed version of the spec.
        version: Version,
    },
    /// A full spec to install.
    #[brw(magic = 4u8)]
    Spec {
        /// The version of the spec.
        version: Version,
        /// The daemon's view of the document as JSON, compressed by [`compress`](super::compress).
        document: ByteString,
    },
    /// A newer spec to install, as a delta.
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
        /// The number of this list. The next delta has the next number.
        number: u64,
        /// All daemons.
        hosts: LengthPrefixed<Host>,
        /// The daemons among them that are suspected.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// The changes to the list of daemons since the list or delta with the previous number.
    #[brw(magic = 15u8)]
    HostsDelta {
        /// The number of the resulting list.
        number: u64,
        /// The daemons that were added or changed.
        put: LengthPrefixed<Host>,
        /// The daemons that were removed.
        removed: LengthPrefixed<MemberName>,
        /// All daemons that are now suspected.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// Answers `Acquire`.
    #[brw(magic = 7u8)]
    Acquired {
        /// The correlation number of the request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The result.
        result: AcquireResult,
    },
    /// Answers `Reserve`.
    #[brw(magic = 8u8)]
    Reserved {
        /// The correlation number of the request.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The result.
        result: ReserveResult,
    },
    /// Rejects a claim: the daemon stops the function's runners and forgets the function.
    #[brw(magic = 9u8)]
    Revoke {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the invalid lease.
        fencing_token: FencingToken,
    },
    /// Orders the daemon to let a runner finish its requests, then stop it.
    #[brw(magic = 10u8)]
    Drain {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// Orders the daemon to hand a function over: finish its requests, stop its runners and release it.
    #[brw(magic = 11u8)]
    HandOver {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the lease to release.
        fencing_token: FencingToken,
    },
    /// Orders the daemon to stop a function's last runner if it is idle, because memory is short. The daemon keeps the
    /// function.
    #[brw(magic = 13u8)]
    ReclaimIdle {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
    },
    /// Reports that the platform no longer lists a runner: the runner has ended, and its reservation is released.
    #[brw(magic = 14u8)]
    RunnerUnlisted {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// Assigns another ledger replica to a function, in answer to `ReplicaLost` or unrequested.
    #[brw(magic = 12u8)]
    ReplicaAssigned {
        /// The function.
        function: FunctionKey,
        /// The fencing token of the holder's lease.
        fencing_token: FencingToken,
        /// The new replica; empty if there is no other daemon.
        replica: LengthPrefixed<Host>,
    },
}
