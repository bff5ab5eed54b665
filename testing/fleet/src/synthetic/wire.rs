//! Frames between synthetic processes: metered encoding and decoding, their size on the wire, and the kind of work to
//! which they are attributed.

use super::meter::{Meter, Role, Work};
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use common::frames::{DaemonToLeader, LeaderToDaemon, decode, encode};

/// The payload and the headers of a full TCP segment in a packet of 1500 bytes: 20 bytes of IP header, and 32 of TCP
/// header with timestamps.
const SEGMENT_PAYLOAD_BYTES: u64 = 1448;
const SEGMENT_HEADER_BYTES: u64 = 52;
/// The size of the length that precedes each frame.
const LENGTH_PREFIX_BYTES: u64 = 4;
/// The payload and the IP header of a full fragment in a packet of 1500 bytes.
const FRAGMENT_PAYLOAD_BYTES: u64 = 1480;
const FRAGMENT_HEADER_BYTES: u64 = 20;
/// The size of the UDP header.
const DATAGRAM_HEADER_BYTES: u64 = 8;

/// Encodes a frame and counts it as sent. Returns `None` if it cannot be encoded.
pub(super) fn encode_sent<T>(meter: &mut Meter, role: Role, work: Work, frame: &T) -> Option<Bytes>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let encoded = meter.measure_wire(role, work, 1, || encode(frame)).ok()?;
    meter.count_sent(role, work, 1, frame_bytes(encoded.len()));
    Some(encoded.into())
}

/// Counts a frame as received and decodes it. Returns `None` if it is invalid.
pub(super) fn decode_received<T>(
    meter: &mut Meter,
    role: Role,
    work: Work,
    encoded: &Bytes,
) -> Option<T>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    meter.count_received(role, work, 1, frame_bytes(encoded.len()));
    meter.measure_wire(role, work, 1, || decode(encoded)).ok()
}

/// Returns the size of a frame on a connection in bytes, with its length prefix and the headers of its segments, but
/// without acknowledgements.
pub(super) fn frame_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + LENGTH_PREFIX_BYTES;
    length + length.div_ceil(SEGMENT_PAYLOAD_BYTES) * SEGMENT_HEADER_BYTES
}

/// Returns the size of a datagram in bytes, with its header and the headers of its fragments.
pub(super) fn datagram_bytes(encoded_length: usize) -> u64 {
    let length = encoded_length as u64 + DATAGRAM_HEADER_BYTES;
    length + length.div_ceil(FRAGMENT_PAYLOAD_BYTES) * FRAGMENT_HEADER_BYTES
}

/// Returns the kind of work of a frame from a daemon to the leader.
pub(super) fn work_of_daemon_frame(frame: &DaemonToLeader) -> Work {
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

/// Returns the kind of work of a frame from the leader to a daemon.
pub(super) fn work_of_leader_frame(frame: &LeaderToDaemon) -> Work {
    match frame {
        LeaderToDaemon::Renewed { .. } => Work::Renewals,
        LeaderToDaemon::Hosts { .. } | LeaderToDaemon::HostsDelta { .. } => Work::Hosts,
        LeaderToDaemon::Spec { .. } | LeaderToDaemon::SpecDelta { .. } => Work::Spec,
        LeaderToDaemon::ReplicaAssigned { .. } => Work::Replicas,
        LeaderToDaemon::Redirect { .. } | LeaderToDaemon::Welcome { .. } => Work::Others,
        _ => Work::Leases,
    }
}

/// Returns the role of a daemon to which a kind of work is attributed.
pub(super) fn daemon_role(work: Work) -> Role {
    match work {
        Work::Leases | Work::Idle | Work::Replicas | Work::Runs | Work::Runners => Role::Holder,
        _ => Role::Ingress,
    }
}
