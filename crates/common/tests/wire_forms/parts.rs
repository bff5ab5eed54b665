//! Fixed sample values for the parts of frames. The values are distinct, and the bytes of each number differ, so that
//! swapped fields or a wrong byte order change the encoding.

use crate::form_samples::address;
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use common::frames::{
    ClaimedRunner, Flag, FrameError, Host, Instance, LengthPrefixed, MemberIncarnation, decode,
    encode,
};
use common::identity::{DocumentVersion, FencingToken, FunctionKey, RunnerId, Term, Version};
use std::fmt::Debug;

/// The encoded bytes of a frame and its `Debug` text.
pub type EncodedFrame = (Vec<u8>, String);

/// A sample of a frame, with its form in the fixture.
pub struct SampleFrame {
    /// The sample's name in the fixture.
    pub name: String,
    /// The expected bytes and `Debug` text.
    pub expected: EncodedFrame,
    /// Decodes a frame of the sample's type, and encodes it again.
    pub decode: fn(&[u8]) -> Result<EncodedFrame, FrameError>,
}

fn encoded<T>(frame: &T) -> Result<EncodedFrame, FrameError>
where
    T: Debug + for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    Ok((encode(frame)?, format!("{frame:?}")))
}

/// Creates a sample from a frame.
pub fn sample_frame<T>(name: impl Into<String>, frame: &T) -> SampleFrame
where
    T: Debug
        + for<'a> BinWrite<Args<'a> = ()>
        + WriteEndian
        + for<'a> BinRead<Args<'a> = ()>
        + ReadEndian,
{
    SampleFrame {
        name: name.into(),
        expected: encoded(frame).expect("a frame as bytes"),
        decode: |frame_bytes| encoded(&decode::<T>(frame_bytes)?),
    }
}

/// Returns a number whose eight bytes count up from the first.
pub fn counting_u64(first: u8) -> u64 {
    (0..8).fold(0, |number, step| number << 8 | u64::from(first + step))
}

/// Returns a number whose four bytes count up from the first.
pub fn counting_u32(first: u8) -> u32 {
    (0..4).fold(0, |number, step| number << 8 | u32::from(first + step))
}

/// Returns a full version.
pub fn document_version(first: u8) -> DocumentVersion {
    DocumentVersion {
        term: Term(counting_u64(first)),
        version: Version(counting_u64(first + 8)),
    }
}

/// Returns a function's key for the callers of all regions.
pub fn function() -> FunctionKey {
    FunctionKey::new("segment-check", Version(counting_u64(0x60)))
}

/// Returns a fencing token.
pub fn fencing_token() -> FencingToken {
    FencingToken::new(Term(0x51), 0x5253)
}

/// Returns a daemon.
pub fn host(number: u8, is_eligible: bool) -> Host {
    Host {
        member: format!("daemon-{number}").into(),
        incarnation: counting_u64(number).into(),
        zone: format!("zone-{number}").into(),
        address: address(number),
        eligible: Flag(is_eligible),
        link_mbps: counting_u32(number + 8),
    }
}

/// Returns an incarnation of a daemon.
pub fn member_incarnation(number: u8) -> MemberIncarnation {
    MemberIncarnation {
        member: format!("daemon-{number}").into(),
        incarnation: counting_u64(number).into(),
    }
}

/// Returns a runner's identity.
pub fn runner(ordinal: u8) -> RunnerId {
    RunnerId {
        fencing_token: fencing_token(),
        ordinal: counting_u64(ordinal),
    }
}

/// Returns an instance of a runner.
pub fn instance(number: u8) -> Instance {
    Instance {
        name: format!("life-{number}.r-51-{number:x}").into(),
        address: address(number),
    }
}

/// Returns two runners of a claim: one that is adoptable, and one whose instance is unknown.
pub fn claim_runners() -> LengthPrefixed<ClaimedRunner> {
    LengthPrefixed(vec![
        ClaimedRunner {
            runner: runner(0x70),
            worker: "worker-7".into(),
            memory_mb: counting_u32(0x74),
            instance: LengthPrefixed(vec![instance(7)]),
            is_adoptable: Flag(true),
        },
        ClaimedRunner {
            runner: runner(0x78),
            worker: "w\u{f6}rker-8".into(),
            memory_mb: 192,
            instance: LengthPrefixed(Vec::new()),
            is_adoptable: Flag(false),
        },
    ])
}
