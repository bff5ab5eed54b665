//! The frames between synthetic processes: metered encoding and decoding, their size on the wire, and the kind of work
//! that they belong to.

use super::meter::{Meter, Role, Work};
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use common::frames::{DaemonToLeader, LeaderToDaemon, decode, encode};

const SEGMENT: u64 = 1448;
const SEGMENT_HEADERS: u64 = 52;
const FRAME_LENGTH: u64 = 4;
const FRAGMENT: u64 = 1480;
const FRAGMENT_HEADER: u64 = 20;
const DATAGRAM_HEADER: u64 = 8;

/// Encodes a frame and counts it as sent; none if it cannot be encoded.
pub(super) fn encode_sent<T>(meter: &mut Meter, role: Role, work: Work, frame: &T) -> Option<Bytes>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let encoded = meter.wire(role, work, 1, || encode(frame)).ok()?;
    meter.sent(role, work, 1, frame_bytes(encoded.len()));
    Some(encoded.into())
}

/// Counts a frame as received and decodes it; none if it is invalid.
pub(super) fn decode_received<T>(
    meter: &mut Meter,
    role: Role,
    work: Work,
    encoded: &Bytes,
) -> Option<T>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    meter.received(role, work, 1, frame_bytes(encoded.len()));
    meter.wire(role, work, 1, || decode(encoded)).ok()
}

/// The size of a frame on a connection in bytes, with its length prefix and the headers of its segments, without
/// acknowledgements.
pub(super) fn frame_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + FRAME_LENGTH;
    length + length.div_ceil(SEGMENT) * SEGMENT_HEADERS
}

/// The size of a datagram in bytes, with the headers of its fragments.
pub(super) fn datagram_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + DATAGRAM_HEADER;
    length + length.div_ceil(FRAGMENT) * FRAGMENT_HEADER
}

/// The kind of work of a daemon's frame.
pub(super) fn work_up(frame: &DaemonToLeader) -> Work {
    match frame {
        DaemonToLeader::Renew { .. } => Work::Renewals,
        DaemonToLeader::Installed { .. } | DaemonToLeader::FullSpecRequest => Work::Spec,
        DaemonToLeader::Idle { .. } | DaemonToLeader::Rejections { .. } => Work::Idle,
        DaemonToLeader::Acquire { .. }
        | DaemonToLeader::Release { .. }
        | DaemonToLeader::Reserve { .. }
        | DaemonToLeader::RunnerUpdate { .. } => Work::Leases,
        DaemonToLeader::ReplicaLost { .. } | DaemonToLeader::ReplicaComplete { .. } => {
            Work::Replicas
        }
        _ => Work::Others,
    }
}

/// The kind of work of a leader's frame.
pub(super) fn work_down(frame: &LeaderToDaemon) -> Work {
    match frame {
        LeaderToDaemon::Renewed { .. } => Work::Renewals,
        LeaderToDaemon::Hosts { .. } | LeaderToDaemon::HostsDelta { .. } => Work::Hosts,
        LeaderToDaemon::Spec { .. } | LeaderToDaemon::SpecDelta { .. } => Work::Spec,
        LeaderToDaemon::ReplicaAssigned { .. } => Work::Replicas,
        LeaderToDaemon::Redirect { .. } | LeaderToDaemon::Welcome { .. } => Work::Others,
        _ => Work::Leases,
    }
}

/// The role of a daemon to which a kind of work belongs.
pub(super) fn daemon_role(work: Work) -> Role {
    match work {
        Work::Leases | Work::Idle | Work::Replicas | Work::Runs | Work::Runners => Role::Holder,
        _ => Role::Ingress,
    }
}
