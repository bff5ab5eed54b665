//! Names and identities that are short texts.
//!
//! In a frame, each is written as its length in two bytes, then UTF-8; see [`write_text`](crate::frames::write_text).
//! In JSON, each is a string.

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
            /// Returns the name as text.
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
    /// The name of a zone, a failure domain: its machines may fail together.
    Zone,
    /// The name of a region, a group of nearby zones that the settings define.
    Region,
    /// The name of a daemon, that is, of a member of the cluster.
    MemberName,
    /// A worker's name.
    WorkerName,
    /// The key that a caller gives a request, so that repeats of the request are recognized.
    IdempotencyKey,
    /// The name that an operator gives a change to the document.
    ChangeId,
    /// The platform's name for an instance of a runner. Each start of a runner creates a new instance.
    InstanceId,
    /// A short text in a frame: a method, a request target, the name of a route or the name of a header field.
    ShortString,
}
