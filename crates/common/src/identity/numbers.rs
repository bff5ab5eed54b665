//! Identities and counters that are 64-bit numbers, big-endian in frames. Those with a JSON form are numbers there too,
//! except a controller's identity, which is a string in hexadecimal.

use binrw::{BinRead, BinResult, BinWrite, Endian, binrw};
use serde::{Serialize, Serializer};
use std::fmt;
use std::io::{Read, Seek, Write};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl From<u64> for $name {
            fn from(number: u64) -> Self {
                Self(number)
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
    /// A version number of the replicated document, incremented by one with each version.
    #[derive(Serialize)]
    Version,
    /// An election term. At most one controller is the leader in each term.
    #[derive(Serialize)]
    Term,
    /// The fencing token of a function lease, unique across all leaders. Later leases have greater tokens.
    FencingToken,
    /// The incarnation of a daemon, different for each start of the process.
    Incarnation,
    /// A controller's random identity, stored on its disk.
    ControllerId,
    /// Matches a response to its request on a connection.
    CorrelationId,
    /// Matches the completion of an operation to the operation that a driver was asked to perform.
    Ticket,
}

impl Serialize for ControllerId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:x}", self.0))
    }
}

impl FencingToken {
    /// Builds a token that no other leader issues: the leader's term is in the upper 32 bits, the number of tokens that
    /// the leader has issued in the lower 32 bits.
    pub fn new(leader_term: Term, issued_count: u64) -> Self {
        Self((leader_term.0 << 32) | (issued_count & 0xffff_ffff))
    }
}

/// The full version of a document, ordered by term, then by version number.
#[binrw]
#[brw(big)]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct DocumentVersion {
    /// The term in which the document was last written.
    pub term: Term,
    /// The version number.
    pub version: Version,
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.term, self.version)
    }
}
