//! Identities that are short texts.

use binrw::{BinRead, BinResult, BinWrite, Endian};
use std::fmt;
use std::io::{Read, Seek, Write};
use std::sync::Arc;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(given_text: &str) -> Self {
                Self(Arc::from(given_text))
            }
        }

        impl From<String> for $name {
            fn from(given_text: String) -> Self {
                Self(Arc::from(given_text))
            }
        }

        impl From<Arc<str>> for $name {
            fn from(given_text: Arc<str>) -> Self {
                Self(given_text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
                out.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl BinRead for $name {
            type Args<'a> = ();
            fn read_options<R: Read + Seek>(
                reader: &mut R,
                endian: Endian,
                _: (),
            ) -> BinResult<Self> {
                crate::frames::read_text(reader, endian).map(Self::from)
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
                crate::frames::write_text(&self.0, writer, endian)
            }
        }
    )+};
}

names! {
    /// A function's name in the catalogue.
    FunctionName,
    /// A group of machines that may be lost together.
    Zone,
    /// Zones that lie close together, as the settings group them.
    Region,
    /// A daemon's name.
    MemberName,
    /// A worker's name.
    WorkerName,
    /// A caller's identity of one try.
    IdempotencyKey,
    /// An operator's name for one change of the spec.
    ChangeId,
    /// The platform's own name of a runner's life; every start has another one.
    InstanceId,
    /// A short text as it stands on the wire: a method, a target, the name of a header line.
    ShortString,
}
