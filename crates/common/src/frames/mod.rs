//! The frames that rudderstream's processes exchange, and how they are encoded.
//!
//! - [`ConsensusFrame`]: between controllers, over TCP.
//! - [`DaemonToLeader`] and [`LeaderToDaemon`]: on the control stream between a daemon and the leader, over TCP.
//! - [`DaemonFrame`]: between daemons, over TCP: forwarded requests and ledger replication.
//! - [`Heartbeat`]: from a daemon to its watchers, one UDP datagram each.
//!
//! All numbers are big-endian. Any change to the bytes of a frame requires a new wire version (see `wire`), and both
//! sides of a connection must use the same version.

mod compress;
mod consensus;
mod daemons;
mod dial;
mod heartbeat;
mod parts;
mod stream;
mod wire;

pub use self::consensus::{ConsensusFrame, ConsensusMessage, KnownMember};
pub use compress::{compress, decompress};
pub use daemons::{
    DaemonFrame, DaemonMessage, HeaderField, LedgerRecord, LedgerRecordState, RequestFailureReason,
    RequestOutcome, RequestPayload, RequesterNotice,
};
pub use dial::{connect_from, dial};
pub use heartbeat::{Heartbeat, MemberIncarnation, Suspicion};
pub use parts::{ByteString, Flag, LengthPrefixed, SocketAddress, read_text, write_text};
pub use stream::{
    AcquireResult, Claim, ClaimedRunner, DaemonToLeader, Host, IdleFunction, Instance,
    LeaderToDaemon, PreviousLease, ReserveResult, RunnerStatus,
};
pub use wire::{
    Channel, FrameError, append_frame, decode, decode_heartbeat, encode, encode_heartbeat,
    read_channel, read_frame, read_frame_in_parts, write_channel, write_frame,
};
