//! What a message weighs on the wire, and which kind of work it is.

use super::meter::{Role, Work};
use common::frames::{StreamDown, StreamUp};

const SEGMENT: u64 = 1448;
const SEGMENT_HEADERS: u64 = 52;
const FRAME_LENGTH: u64 = 4;
const FRAGMENT: u64 = 1480;
const FRAGMENT_HEADER: u64 = 20;
const DATAGRAM_HEADER: u64 = 8;

/// The bytes that a frame takes on a connection, with its length and the headers of its segments;
/// acknowledgements are not counted.
pub(super) fn frame_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + FRAME_LENGTH;
    length + length.div_ceil(SEGMENT) * SEGMENT_HEADERS
}

/// The bytes that a datagram takes, with the headers of its fragments.
pub(super) fn datagram_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + DATAGRAM_HEADER;
    length + length.div_ceil(FRAGMENT) * FRAGMENT_HEADER
}

/// What a daemon's frame is for.
pub(super) fn work_up(frame: &StreamUp) -> Work {
    match frame {
        StreamUp::Renew { .. } => Work::Renewals,
        StreamUp::Installed { .. } | StreamUp::Whole => Work::Spec,
        StreamUp::Idle { .. } | StreamUp::Sheds { .. } => Work::Idle,
        StreamUp::Acquire { .. }
        | StreamUp::Release { .. }
        | StreamUp::Reserve { .. }
        | StreamUp::Runner { .. } => Work::Grants,
        StreamUp::StewardLost { .. } | StreamUp::StewardWhole { .. } => Work::Stewards,
        _ => Work::Others,
    }
}

/// What a leader's frame is for.
pub(super) fn work_down(frame: &StreamDown) -> Work {
    match frame {
        StreamDown::Renewed { .. } => Work::Renewals,
        StreamDown::Hosts { .. } | StreamDown::HostsChanged { .. } => Work::Hosts,
        StreamDown::Spec { .. } | StreamDown::Change { .. } => Work::Spec,
        StreamDown::Steward { .. } => Work::Stewards,
        StreamDown::Elsewhere { .. } | StreamDown::Welcome { .. } => Work::Others,
        _ => Work::Grants,
    }
}

/// The part of a daemon that such work belongs to.
pub(super) fn daemon_role(work: Work) -> Role {
    match work {
        Work::Grants | Work::Idle | Work::Stewards | Work::Runs | Work::Runners => Role::Holder,
        _ => Role::Door,
    }
}
