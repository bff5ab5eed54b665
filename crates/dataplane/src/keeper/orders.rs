//! What the keeper orders.

use crate::holder::GrantTerms;
use common::clock::Moment;
use common::frames::{AcquireResult, Heartbeat, Host, Place, ReserveResult, StreamUp};
use common::identity::{FunctionKey, GrantSerial, RunnerId, Serial, Term};
use common::spec::{DocumentFault, Table};
use std::sync::Arc;
use std::time::Duration;

/// What the keeper orders.
pub enum KeeperOrder {
    /// Open a stream there.
    Dial(Place),
    /// End the stream.
    Hangup,
    /// Say something on the stream.
    Say(StreamUp),
    /// Send a heartbeat to these places.
    Beat(Heartbeat, Vec<Place>),
    /// The leader of this term has welcomed the stream: gather the claims, and send them.
    Welcomed(Term),
    /// The stream is lost: nobody's acquisition will be answered, nor these wishes for runners.
    StreamLost(Vec<(FunctionKey, GrantSerial)>),
    /// The member grant runs until then.
    ServeUntil(Moment),
    /// The member grant has ended: close every held function, forget every owner, send claims.
    GiveUpAll,
    /// A spec is installed.
    Install(Arc<Table>),
    /// A spec could not be installed.
    InstallFailed(Serial, DocumentFault),
    /// The daemons alive have changed.
    Hosts(Vec<Host>),
    /// A function is granted.
    Grant(GrantTerms),
    /// Memory is short: stop an idle function's runners.
    GiveWay(FunctionKey, GrantSerial),
    /// Another daemon is to keep the copy of a function's ledger, or nobody.
    Steward(FunctionKey, GrantSerial, Option<Host>),
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
        grant: GrantSerial,
        /// The answer.
        result: ReserveResult,
    },
    /// A claim does not stand: close the function.
    Revoke(FunctionKey, GrantSerial),
    /// Drain a runner.
    Drain(FunctionKey, RunnerId),
    /// A runner is gone.
    Vanished(FunctionKey, RunnerId),
    /// Hand a function over.
    HandOver(FunctionKey, GrantSerial),
}
