//! Outputs of a cluster view, to be carried out by its caller.

use crate::holder::LeaseTerms;
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonToLeader, Heartbeat, Host, ReserveResult, SocketAddress,
};
use common::identity::{FencingToken, FunctionKey, RunnerId, Term, Version};
use common::spec::{DocumentError, RoutingTable};
use std::sync::Arc;
use std::time::Duration;

/// An action that a [`ClusterView`](super::ClusterView) requires, or an event that it reports.
pub enum ClusterViewOutput {
    /// Open a stream to this address.
    Dial(SocketAddress),
    /// Close the stream.
    Hangup,
    /// Send a frame on the stream.
    SendFrame(DaemonToLeader),
    /// Send a heartbeat to these addresses.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// The leader of this term has accepted the stream: collect the claims, and send them.
    Welcomed(Term),
    /// The stream is lost: neither pending acquisitions nor these reservations of runners get a response.
    StreamLost(Vec<(FunctionKey, FencingToken)>),
    /// The session lease is valid until this time.
    ServeUntil(MonotonicTime),
    /// The session lease has ended: close every held function, evict every cached owner, and send the claims, which
    /// then list only functions that are closing.
    CloseAll,
    /// Put the routing table of a new spec into use.
    Install(Arc<RoutingTable>),
    /// A spec could not be installed.
    InstallFailed(Version, DocumentError),
    /// The list of live daemons has changed.
    Hosts(Vec<Host>),
    /// The lease of a function is granted to this daemon.
    LeaseGranted(LeaseTerms),
    /// An acquisition has completed.
    Acquired {
        /// The function.
        function: FunctionKey,
        /// The leader's response; `None` if the acquisition has to be retried.
        result: Option<AcquireResult>,
        /// Time from the request to the response.
        round_trip: Duration,
    },
    /// The reservation of a runner has completed.
    Reserved {
        /// The function.
        function: FunctionKey,
        /// The function lease under which it was requested.
        fencing_token: FencingToken,
        /// The leader's response.
        result: ReserveResult,
    },
    /// A command from the leader for a held function.
    Command(FunctionKey, FunctionCommand),
}

/// A command from the leader for one held function. It names the fencing token of the lease that it applies to, either
/// directly or within a runner's id; a command for another lease is ignored.
pub enum FunctionCommand {
    /// Memory is short: stop an idle function's runners.
    ReclaimIdle(FencingToken),
    /// The daemon that keeps the replica of a function's ledger has changed; `None` if no daemon keeps one.
    ReplicaAssigned(FencingToken, Option<Host>),
    /// The function lease is not valid: close the function.
    Revoke(FencingToken),
    /// Send a runner no further requests, and stop it once it is idle.
    Drain(RunnerId),
    /// The platform no longer lists a runner.
    RunnerUnlisted(RunnerId),
    /// Release a function so that another daemon can hold it.
    HandOver(FencingToken),
}
