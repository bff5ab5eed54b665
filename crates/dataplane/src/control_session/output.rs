//! Outputs of a control session, to be carried out by its caller.

use common::clock::MonotonicTime;
use common::frames::{DaemonToLeader, LeaderToDaemon, SocketAddress};

/// An action that a [`ControlSession`](super::ControlSession) requires, or an event that it reports.
#[derive(Clone, Debug)]
pub enum ControlSessionOutput {
    /// Open a stream to this address.
    Dial(SocketAddress),
    /// Close the stream.
    Hangup,
    /// Send a frame on the stream.
    SendFrame(DaemonToLeader),
    /// The leader has accepted the stream; the claims are due.
    Welcomed,
    /// A welcomed stream is lost; requests pending on it get no response.
    Disconnected,
    /// The session lease is valid until this time.
    GrantedUntil(MonotonicTime),
    /// The session lease has ended: close every held function, and evict every cached owner.
    LeaseEnded,
    /// A frame that does not concern the session itself.
    Frame(LeaderToDaemon),
}
