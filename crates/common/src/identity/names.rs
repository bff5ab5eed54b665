//! Identities that are short texts.
//!
//! In a frame each is its length in two bytes, then UTF-8; see [`write_text`](crate::frames::write_text). In JSON it is
//! a string.

use binrw::{BinRead, BinResult, BinWrite, Endian};
use serde::{Serialize, Serializer};
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
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                Self(text)
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

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
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
    /// A failure domain: machines that may be lost together.
    Zone,
    /// A group of zones that lie close together, as the settings define it.
    Region,
    /// A daemon's name.
    MemberName,
    /// A worker's name.
    WorkerName,
    /// The identity that a caller gives one request, so that a repeat of it can be recognized.
    IdempotencyKey,
    /// An operator's name for one change of the document.
    ChangeId,
    /// The platform's own name of a runner's instance; every start makes another instance.
    InstanceId,
    /// A short text in a frame: a method, a request target, a route's name, the name of a header field.
    ShortString,
}
