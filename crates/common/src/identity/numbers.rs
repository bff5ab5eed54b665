//! Identities and counts that are numbers.

use binrw::{BinRead, BinResult, BinWrite, Endian, binrw};
use std::fmt;
use std::io::{Read, Seek, Write};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl From<u64> for $name {
            fn from(given_number: u64) -> Self {
                Self(given_number)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(out, "{}", self.0)
            }
        }

        impl BinRead for $name {
            type Args<'a> = ();
            fn read_options<R: Read + Seek>(
                reader: &mut R,
                endian: Endian,
                _: (),
            ) -> BinResult<Self> {
                u64::read_options(reader, endian, ()).map(Self)
            }
        }

        impl BinWrite for $name {
            type Args<'a> = ();
            fn write_options<W: Write + Seek>(
                &self,
                writer: &mut W,
                endian: Endian,
                _: (),
            ) -> BinResult<()> {
                self.0.write_options(writer, endian, ())
            }
        }
    )+};
}

numbers! {
    /// The number of a whole version of the spec.
    Version,
    /// The number of a leader's reign.
    Term,
    /// The number of one function grant, unique over all leaders.
    FencingToken,
    /// The number of one life of a daemon.
    Incarnation,
    /// A core member's random identity, kept on its disk.
    ControllerId,
    /// Ties an answer to its question on a stream.
    CorrelationId,
    /// Ties a finished piece of work to its order.
    Ticket,
}

impl FencingToken {
    /// A number that no other leader gives: the term above, a count below.
    pub fn of(leader_term: Term, issued_count: u64) -> Self {
        Self((leader_term.0 << 32) | (issued_count & 0xffff_ffff))
    }
}

/// Where a version stands: the term first, then the serial.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct DocumentVersion {
    /// The term under which it was last written.
    pub term: Term,
    /// Its serial.
    pub version: Version,
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.term, self.version)
    }
}
