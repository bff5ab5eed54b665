//! Fixed sample values for the parts of frames. No two are alike, and the order of their bytes shows.

use crate::form_samples::address;
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use common::frames::{
    ClaimedRunner, Flag, FrameError, Host, Instance, LengthPrefixed, MemberIncarnation, decode,
    encode,
};
use common::identity::{DocumentVersion, FencingToken, FunctionKey, RunnerId, Term, Version};
use std::fmt::Debug;

/// A decoded frame: its bytes when it is encoded again, and its debug form.
pub type Decoded = (Vec<u8>, String);

/// One frame of the fixture.
pub struct SampleFrame {
    /// Its name in the fixture.
    pub name: String,
    /// Its bytes, and its debug form.
    pub expected: Decoded,
    /// Decodes a frame of its kind.
    pub decode: fn(&[u8]) -> Result<Decoded, FrameError>,
}

fn written<T>(frame: &T) -> Result<Decoded, FrameError>
where
    T: Debug + for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    Ok((encode(frame)?, format!("{frame:?}")))
}

/// Makes a sample of a frame.
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
        expected: written(frame).expect("a frame as bytes"),
        decode: |frame_bytes| written(&decode::<T>(frame_bytes)?),
    }
}

/// A number whose eight bytes count up from the first.
pub fn long(first: u8) -> u64 {
    (0..8).fold(0, |number, step| number << 8 | u64::from(first + step))
}

/// A number whose four bytes count up from the first.
pub fn short(first: u8) -> u32 {
    (0..4).fold(0, |number, step| number << 8 | u32::from(first + step))
}

/// A full version.
pub fn document_version(first: u8) -> DocumentVersion {
    DocumentVersion {
        term: Term(long(first)),
        version: Version(long(first + 8)),
    }
}

/// A function's key for the callers of all regions.
pub fn function() -> FunctionKey {
    FunctionKey::new("segment-check", Version(long(0x60)))
}

/// A fencing token.
pub fn fencing_token() -> FencingToken {
    FencingToken::new(Term(0x51), 0x5253)
}

/// A daemon.
pub fn host(number: u8, is_eligible: bool) -> Host {
    Host {
        member: format!("daemon-{number}").into(),
        incarnation: long(number).into(),
        zone: format!("zone-{number}").into(),
        address: address(number),
        eligible: Flag(is_eligible),
        link_mbps: short(number + 8),
    }
}

/// One incarnation of a daemon.
pub fn member_incarnation(number: u8) -> MemberIncarnation {
    MemberIncarnation {
        member: format!("daemon-{number}").into(),
        incarnation: long(number).into(),
    }
}

/// A runner's identity.
pub fn runner(ordinal: u8) -> RunnerId {
    RunnerId {
        fencing_token: fencing_token(),
        ordinal: long(ordinal),
    }
}

/// One instance of a runner.
pub fn instance(number: u8) -> Instance {
    Instance {
        name: format!("life-{number}.r-51-{number:x}").into(),
        address: address(number),
    }
}

/// Two runners of a claim: one that is ready and adoptable, and one whose instance is not known.
pub fn claim_runners() -> LengthPrefixed<ClaimedRunner> {
    LengthPrefixed(vec![
        ClaimedRunner {
            runner: runner(0x70),
            worker: "worker-7".into(),
            memory_mb: short(0x74),
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
