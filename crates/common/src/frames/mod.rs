//! The frames that rudderstream's processes exchange.

mod core;
mod dial;
mod heartbeat;
mod hop;
mod pack;
mod parts;
mod stream;
mod wire;

pub use self::core::{CoreBody, CoreFrame, KnownMember};
pub use dial::{connect_from, dial};
pub use heartbeat::{Heartbeat, MemberLife, Suspicion};
pub use hop::{HeadLine, HopBody, HopFrame, HopOutcome, HopReason, LedgerNote, NoteState, Parcel};
pub use pack::{pack, unpack};
pub use parts::{Blob, Flag, Many, Place, read_text, write_text};
pub use stream::{
    AcquireResult, Claim, ClaimRunner, Host, IdleFunction, Life, Prior, ReserveResult, RunnerNews,
    StreamDown, StreamUp,
};
pub use wire::{
    Channel, FrameFault, append_frame, decode, decode_heartbeat, encode, encode_heartbeat,
    read_channel, read_frame, read_frame_in_parts, write_channel, write_frame,
};
