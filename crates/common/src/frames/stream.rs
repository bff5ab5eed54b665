//! Frames on the stream between a daemon and the leader.

use super::{ByteString, Flag, LengthPrefixed, MemberIncarnation, SocketAddress};
use crate::identity::{
    CorrelationId, FencingToken, FunctionKey, Incarnation, InstanceId, MemberName, RunnerId, Term,
    Version, WorkerName, Zone,
};
use binrw::binrw;

/// A daemon as others may reach it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Host {
    /// Its name.
    pub member: MemberName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Where other processes reach it.
    pub address: SocketAddress,
    /// Whether it may be given functions.
    pub eligible: Flag,
    /// Its link in megabits a second; zero when it is not known.
    pub link_mbps: u32,
}

/// One life of a runner, as the platform names it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Instance {
    /// Its name.
    pub name: InstanceId,
    /// Where it listens.
    pub address: SocketAddress,
}

/// One runner in a claim.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ClaimedRunner {
    /// The runner.
    pub runner: RunnerId,
    /// Where it runs.
    pub worker: WorkerName,
    /// The memory it needs.
    pub memory_mb: u32,
    /// Its life; none while the platform has not told it.
    pub instance: LengthPrefixed<Instance>,
    /// Whether it is ready and may be taken over by the next holder as it stands.
    pub is_adoptable: Flag,
}

/// One function that a daemon holds.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claim {
    /// The function.
    pub function: FunctionKey,
    /// The grant it is held under.
    pub fencing_token: FencingToken,
    /// Its runners.
    pub runners: LengthPrefixed<ClaimedRunner>,
    /// Whether it is given up, and these runners are still being stopped.
    pub is_releasing: Flag,
    /// Who keeps the copy of its ledger.
    pub replica: LengthPrefixed<Host>,
    /// Whether that copy is whole.
    pub complete: Flag,
}

/// How long a function has not been called.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct IdleFunction {
    /// The function.
    pub function: FunctionKey,
    /// For so many milliseconds.
    pub idle_ms: u32,
}

/// Where the ledger of an earlier grant may be collected.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PreviousLease {
    /// The steward.
    pub replica: Host,
    /// The earlier grant.
    pub fencing_token: FencingToken,
}

/// The leader's answer to an acquisition.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AcquireResult {
    /// The asking daemon now holds the function.
    #[brw(magic = 1u8)]
    Granted {
        /// Under this grant.
        fencing_token: FencingToken,
        /// Without an earlier ledger, once-transactions may be admitted after so many milliseconds.
        once_wait_ms: u32,
        /// Who is to keep a copy of the ledger; nobody when there is no other daemon.
        replica: LengthPrefixed<Host>,
        /// Where an earlier ledger may be collected.
        previous_lease: LengthPrefixed<PreviousLease>,
        /// Runners left by an earlier holder, renamed under this grant, to be taken over as they stand.
        adopted: LengthPrefixed<ClaimedRunner>,
    },
    /// Another daemon holds it.
    #[brw(magic = 2u8)]
    Owner {
        /// That daemon.
        host: Host,
    },
    /// The asking daemon may not hold it: no such function, or no valid member grant.
    #[brw(magic = 3u8)]
    Rejected,
    /// Nobody can be granted it yet: an earlier grant has still to end.
    #[brw(magic = 4u8)]
    RetryLater {
        /// When that will be, in milliseconds, as far as is known now.
        wait_ms: u32,
    },
}

/// The leader's answer to a wish for a runner.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ReserveResult {
    /// The memory is set aside.
    #[brw(magic = 1u8)]
    Reserved {
        /// The runner's name.
        runner: RunnerId,
        /// Where it is to start.
        worker: WorkerName,
        /// The memory set aside.
        memory_mb: u32,
    },
    /// No worker has room, or the grant is not the asking daemon's.
    #[brw(magic = 2u8)]
    Rejected,
}

/// What became of a runner.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RunnerStatus {
    /// It is ready.
    #[brw(magic = 1u8)]
    Ready,
    /// The platform confirmed that it is stopped, or never started it.
    #[brw(magic = 2u8)]
    Gone,
    /// The platform told its life; it boots.
    #[brw(magic = 3u8)]
    Started {
        /// Its life.
        instance: Instance,
    },
}

/// What a daemon says on its stream.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum DaemonToLeader {
    /// Opens the stream.
    #[brw(magic = 1u8)]
    Hello {
        /// Who opens it; `eligible` is false while it is leaving.
        host: Host,
        /// Where callers reach it.
        ingress: SocketAddress,
        /// The newest spec it has installed.
        version: Version,
        /// How long this life has run, in milliseconds: for as long its earlier ones are surely gone.
        age_ms: u32,
        /// Whether this life has ever had a member grant, so that it may have started something.
        granted: Flag,
    },
    /// Every function held, sent after each Hello.
    #[brw(magic = 2u8)]
    Claims {
        /// All of them.
        claims: LengthPrefixed<Claim>,
    },
    /// Asks for the member grant to go on.
    #[brw(magic = 3u8)]
    Renew {
        /// Ties the answer to the moment of sending.
        correlation: CorrelationId,
        /// The newest spec installed.
        version: Version,
    },
    /// Says that a spec is installed.
    #[brw(magic = 4u8)]
    Installed {
        /// That spec.
        version: Version,
    },
    /// Asks for the whole spec, as the change did not fit.
    #[brw(magic = 5u8)]
    FullSpecRequest,
    /// The hash owner asks who holds a function, or for it to be granted.
    #[brw(magic = 6u8)]
    Acquire {
        /// Ties the answer to it.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
    },
    /// Gives a function back; its runners are stopped.
    #[brw(magic = 7u8)]
    Release {
        /// The function.
        function: FunctionKey,
        /// The grant given back.
        fencing_token: FencingToken,
        /// Runners that are left as they stand for the next holder.
        runners: LengthPrefixed<ClaimedRunner>,
    },
    /// Asks for memory for one more runner.
    #[brw(magic = 8u8)]
    Reserve {
        /// Ties the answer to it.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
    },
    /// Tells what became of a runner.
    #[brw(magic = 9u8)]
    RunnerUpdate {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// What became of it.
        runner_status: RunnerStatus,
    },
    /// Counts what the daemon refused since it last said so.
    #[brw(magic = 10u8)]
    Rejections {
        /// The function.
        function: FunctionKey,
        /// How many.
        count: u32,
        /// The last reason.
        reason: super::RequestFailureReason,
    },
    /// The daemon is leaving; it has no more use for its grant.
    #[brw(magic = 11u8)]
    Leaving,
    /// The steward does not answer; the holder asks for another.
    #[brw(magic = 12u8)]
    ReplicaLost {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
        /// The steward that is lost.
        lost: MemberName,
    },
    /// How long held functions have not been called.
    #[brw(magic = 14u8)]
    Idle {
        /// Those idle for some seconds.
        functions: LengthPrefixed<IdleFunction>,
    },
    /// A watcher misses a daemon's heartbeats.
    #[brw(magic = 15u8)]
    MemberSuspected {
        /// That daemon.
        instance: MemberIncarnation,
    },
    /// A watcher hears that daemon again, or it speaks for itself.
    #[brw(magic = 16u8)]
    MemberRecovered {
        /// That daemon.
        instance: MemberIncarnation,
    },
    /// Asks for the whole host list, as a change of it did not fit.
    #[brw(magic = 17u8)]
    FullHostListRequest,
    /// The steward's copy is whole.
    #[brw(magic = 13u8)]
    ReplicaComplete {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
        /// The steward.
        replica: MemberName,
    },
}

/// What the leader says on a daemon's stream.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug)]
pub enum LeaderToDaemon {
    /// This controller does not lead; the leader may be there.
    #[brw(magic = 1u8)]
    Redirect {
        /// The leader's place, or nowhere.
        leader: SocketAddress,
    },
    /// This controller leads.
    #[brw(magic = 2u8)]
    Welcome {
        /// Its term.
        term: Term,
    },
    /// The member grant goes on.
    #[brw(magic = 3u8)]
    Renewed {
        /// The renewal answered.
        correlation: CorrelationId,
        /// How long the grant runs, from the moment the renewal was sent.
        lease_ms: u32,
        /// The newest committed spec.
        version: Version,
    },
    /// A whole spec.
    #[brw(magic = 4u8)]
    Spec {
        /// Its serial.
        version: Version,
        /// The document.
        document: ByteString,
    },
    /// A change of the spec.
    #[brw(magic = 5u8)]
    Change {
        /// The serial it changes.
        base: Version,
        /// The serial that results.
        version: Version,
        /// The changes, as a JSON patch.
        patch: ByteString,
        /// The digest of the resulting document.
        digest: ByteString,
    },
    /// The daemons there are.
    #[brw(magic = 6u8)]
    Hosts {
        /// The number of this list; the next change carries the next.
        number: u64,
        /// All of them.
        hosts: LengthPrefixed<Host>,
        /// Those among them that watchers miss.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// What has changed of them since the list or change numbered one less.
    #[brw(magic = 15u8)]
    HostsDelta {
        /// The number of the list that results.
        number: u64,
        /// Daemons that are new, or of which something has changed.
        put: LengthPrefixed<Host>,
        /// Daemons that are no longer there.
        removed: LengthPrefixed<MemberName>,
        /// All that watchers miss now.
        suspected: LengthPrefixed<MemberIncarnation>,
    },
    /// Answers an acquisition.
    #[brw(magic = 7u8)]
    Acquired {
        /// The question answered.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: AcquireResult,
    },
    /// Answers a wish for a runner.
    #[brw(magic = 8u8)]
    Reserved {
        /// The question answered.
        correlation: CorrelationId,
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: ReserveResult,
    },
    /// A claim does not stand: stop its runners and forget it.
    #[brw(magic = 9u8)]
    Revoke {
        /// The function.
        function: FunctionKey,
        /// The grant that does not stand.
        fencing_token: FencingToken,
    },
    /// Let this runner finish, then stop it.
    #[brw(magic = 10u8)]
    Drain {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// Hand this function over: finish, stop, release.
    #[brw(magic = 11u8)]
    HandOver {
        /// The function.
        function: FunctionKey,
        /// The grant to be released.
        fencing_token: FencingToken,
    },
    /// Memory is short: stop the last runner if it is idle, and keep the function.
    #[brw(magic = 13u8)]
    ReclaimIdle {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
    },
    /// The platform no longer lists this runner: it is gone, and its reservation is free.
    #[brw(magic = 14u8)]
    RunnerUnlisted {
        /// The function.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
    },
    /// Another daemon is to keep the copy of a function's ledger.
    #[brw(magic = 12u8)]
    ReplicaAssigned {
        /// The function.
        function: FunctionKey,
        /// The grant it is held under.
        fencing_token: FencingToken,
        /// That daemon; nobody when there is no other.
        replica: LengthPrefixed<Host>,
    },
}
