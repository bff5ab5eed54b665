//! What the keeper orders.

use crate::holder::LeaseTerms;
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, DaemonToLeader, Heartbeat, Host, ReserveResult, SocketAddress,
};
use common::identity::{FencingToken, FunctionKey, RunnerId, Term, Version};
use common::spec::{DocumentError, RoutingTable};
use std::sync::Arc;
use std::time::Duration;

/// What the keeper orders.
pub enum ClusterViewOutput {
    /// Open a stream there.
    Dial(SocketAddress),
    /// End the stream.
    Hangup,
    /// Say something on the stream.
    SendFrame(DaemonToLeader),
    /// Send a heartbeat to these places.
    HeartbeatDatagram(Heartbeat, Vec<SocketAddress>),
    /// The leader of this term has welcomed the stream: gather the claims, and send them.
    Welcomed(Term),
    /// The stream is lost: nobody's acquisition will be answered, nor these wishes for runners.
    StreamLost(Vec<(FunctionKey, FencingToken)>),
    /// The member grant runs until then.
    ServeUntil(MonotonicTime),
    /// The member grant has ended: close every held function, forget every owner, send claims.
    ReleaseAll,
    /// A spec is installed.
    Install(Arc<RoutingTable>),
    /// A spec could not be installed.
    InstallFailed(Version, DocumentError),
    /// The daemons alive have changed.
    Hosts(Vec<Host>),
    /// A function is granted.
    LeaseGranted(LeaseTerms),
    /// Memory is short: stop an idle function's runners.
    ReclaimIdle(FunctionKey, FencingToken),
    /// Another daemon is to keep the copy of a function's ledger, or nobody.
    ReplicaAssigned(FunctionKey, FencingToken, Option<Host>),
    /// An acquisition is answered; none when it must be tried again.
    Acquired {
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: Option<AcquireResult>,
        /// How long the answer took.
        round_trip: Duration,
    },
    /// A wish for a runner is answered.
    Reserved {
        /// The function.
        function: FunctionKey,
        /// The grant it was asked under.
        fencing_token: FencingToken,
        /// The answer.
        result: ReserveResult,
    },
    /// A claim does not stand: close the function.
    Revoke(FunctionKey, FencingToken),
    /// Drain a runner.
    Drain(FunctionKey, RunnerId),
    /// A runner is gone.
    RunnerUnlisted(FunctionKey, RunnerId),
    /// Hand a function over.
    HandOver(FunctionKey, FencingToken),
}
