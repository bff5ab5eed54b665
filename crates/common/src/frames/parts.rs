//! The primitive types of frames: texts, lists, byte strings, flags and addresses.

use binrw::{BinRead, BinResult, BinWrite, Endian, binrw};
use bytes::Bytes;
use serde::{Serialize, Serializer};
use std::fmt;
use std::io::{Read, Seek, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Reads a short text: the length in two bytes, then UTF-8.
///
/// # Errors
/// Fails if the input ends early or is not UTF-8.
pub fn read_text<R: Read + Seek>(reader: &mut R, endian: Endian) -> BinResult<String> {
    let text_length = u16::read_options(reader, endian, ())?;
    let mut read_bytes = vec![0; text_length as usize];
    let text_offset = reader.stream_position()?;
    reader.read_exact(&mut read_bytes)?;
    String::from_utf8(read_bytes).map_err(|error| binrw::Error::Custom {
        pos: text_offset,
        err: Box::new(error),
    })
}

/// Writes a short text: the length in two bytes, then UTF-8. A text longer than 65535 bytes is truncated at a character
/// boundary.
pub fn write_text<W: Write + Seek>(text: &str, writer: &mut W, endian: Endian) -> BinResult<()> {
    let mut end = text.len().min(u16::MAX as usize);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    (end as u16).write_options(writer, endian, ())?;
    writer.write_all(&text.as_bytes()[..end])?;
    Ok(())
}

/// A list on the wire: the number of items in four bytes, then the items. Also used for optional values, as a list of
/// at most one item.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct LengthPrefixed<T>(pub Vec<T>);

impl<T> From<Vec<T>> for LengthPrefixed<T> {
    fn from(items: Vec<T>) -> Self {
        Self(items)
    }
}

impl<T> BinRead for LengthPrefixed<T>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    type Args<'a> = ();
    fn read_options<R: Read + Seek>(reader: &mut R, endian: Endian, _: ()) -> BinResult<Self> {
        let item_count = u32::read_options(reader, endian, ())?;
        let mut read_items = Vec::new();
        for _ in 0..item_count {
            read_items.push(T::read_options(reader, endian, ())?);
        }
        Ok(Self(read_items))
    }
}

impl<T> BinWrite for LengthPrefixed<T>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    type Args<'a> = ();
    fn write_options<W: Write + Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        (self.0.len() as u32).write_options(writer, endian, ())?;
        for written_item in &self.0 {
            written_item.write_options(writer, endian, ())?;
        }
        Ok(())
    }
}

/// A byte string on the wire: the length in four bytes, then the bytes. Clones share the bytes.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct ByteString(pub Bytes);

impl fmt::Debug for ByteString {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} bytes", self.0.len())
    }
}

impl From<Bytes> for ByteString {
    fn from(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl From<Vec<u8>> for ByteString {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl BinRead for ByteString {
    type Args<'a> = ();
    fn read_options<R: Read + Seek>(reader: &mut R, endian: Endian, _: ()) -> BinResult<Self> {
        let byte_count = u32::read_options(reader, endian, ())?;
        let mut read_bytes = Vec::new();
        let read_length = reader
            .take(byte_count as u64)
            .read_to_end(&mut read_bytes)?;
        if read_length != byte_count as usize {
            return Err(binrw::Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(Self(read_bytes.into()))
    }
}

impl BinWrite for ByteString {
    type Args<'a> = ();
    fn write_options<W: Write + Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        (self.0.len() as u32).write_options(writer, endian, ())?;
        writer.write_all(&self.0)?;
        Ok(())
    }
}

/// A boolean in one byte. Any byte other than zero is read as true.
#[binrw]
#[brw(big)]
#[br(map = |read_byte: u8| Flag(read_byte != 0))]
#[bw(map = |flag: &Flag| u8::from(flag.0))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Flag(pub bool);

/// The IPv4 address and port at which a process listens, six bytes on the wire.
#[binrw]
#[brw(big)]
#[br(map = |(ip_bits, port): (u32, u16)| {
    SocketAddress(SocketAddrV4::new(Ipv4Addr::from_bits(ip_bits), port))
})]
#[bw(map = |address: &SocketAddress| (address.0.ip().to_bits(), address.0.port()))]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketAddress(pub SocketAddrV4);

impl SocketAddress {
    /// `0.0.0.0:0`, which stands for an unknown address.
    pub const UNSPECIFIED: SocketAddress =
        SocketAddress(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

    /// Returns the address as the standard library's type, for binding and connecting.
    pub fn to_std(self) -> SocketAddr {
        SocketAddr::V4(self.0)
    }
}

impl fmt::Display for SocketAddress {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl fmt::Debug for SocketAddress {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl Serialize for SocketAddress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl From<SocketAddrV4> for SocketAddress {
    fn from(address: SocketAddrV4) -> Self {
        Self(address)
    }
}
