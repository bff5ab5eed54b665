//! Framing on the wire: channels, lengths, and the limits that are read.

use super::Heartbeat;
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use std::fmt;
use std::io::Cursor;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MARK: [u8; 2] = *b"RU";
/// The serial of the frames' format; it goes up whenever a frame changes.
const WIRE_SERIAL: u8 = 6;
const LARGEST_FRAME: u32 = 16 << 20;
/// Of a frame so many bytes are asked for at once, so that memory follows what has come in.
const LARGEST_PART: usize = 64 << 10;

/// What a connection is for; its first four bytes say so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Channel {
    /// Between members of the core.
    Core,
    /// A daemon's stream to the leader.
    Stream,
    /// Transactions between daemons.
    Hop,
}

impl Channel {
    fn code(self) -> u8 {
        match self {
            Self::Core => 1,
            Self::Stream => 2,
            Self::Hop => 3,
        }
    }
}

/// Why a frame could not be read or written.
#[derive(Debug)]
pub enum FrameFault {
    /// The connection failed or ended.
    Connection(std::io::Error),
    /// The first bytes are not ours.
    WrongMark,
    /// The other side speaks frames of another serial.
    WrongSerial(u8),
    /// No such channel here.
    WrongChannel(u8),
    /// The frame is larger than any should be.
    Oversized(u32),
    /// The frame's bytes do not make sense.
    Malformed(binrw::Error),
    /// Bytes are left over.
    Trailing(usize),
}

impl fmt::Display for FrameFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(fault) => write!(out, "connection: {fault}"),
            Self::WrongMark => write!(out, "not a rudderstream connection"),
            Self::WrongSerial(seen) => {
                write!(out, "frames of serial {seen}, ours are of {WIRE_SERIAL}")
            }
            Self::WrongChannel(seen) => write!(out, "channel {seen} is not served here"),
            Self::Oversized(length) => write!(out, "frame of {length} bytes"),
            Self::Malformed(fault) => write!(out, "malformed frame: {fault}"),
            Self::Trailing(count) => write!(out, "{count} bytes left over in a frame"),
        }
    }
}

impl std::error::Error for FrameFault {}

impl From<std::io::Error> for FrameFault {
    fn from(fault: std::io::Error) -> Self {
        Self::Connection(fault)
    }
}

impl From<binrw::Error> for FrameFault {
    fn from(fault: binrw::Error) -> Self {
        Self::Malformed(fault)
    }
}

/// A frame as bytes.
pub fn encode<T>(frame: &T) -> Result<Vec<u8>, FrameFault>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut written_bytes = Cursor::new(Vec::new());
    frame.write(&mut written_bytes)?;
    Ok(written_bytes.into_inner())
}

/// A frame from exactly these bytes.
pub fn decode<T>(frame_bytes: &[u8]) -> Result<T, FrameFault>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let mut byte_cursor = Cursor::new(frame_bytes);
    let read_frame = T::read(&mut byte_cursor)?;
    let left_count = frame_bytes.len() - byte_cursor.position() as usize;
    if left_count > 0 {
        return Err(FrameFault::Trailing(left_count));
    }
    Ok(read_frame)
}

/// Says what the connection is for.
pub async fn write_channel<W: AsyncWrite + Unpin>(
    writer: &mut W,
    channel: Channel,
) -> Result<(), FrameFault> {
    writer.write_all(&[MARK[0], MARK[1], WIRE_SERIAL, channel.code()]).await?;
    Ok(())
}

/// Hears what the connection is for.
pub async fn read_channel<R: AsyncRead + Unpin>(reader: &mut R) -> Result<Channel, FrameFault> {
    let mut first_bytes = [0; 4];
    reader.read_exact(&mut first_bytes).await?;
    if first_bytes[..2] != MARK {
        return Err(FrameFault::WrongMark);
    }
    if first_bytes[2] != WIRE_SERIAL {
        return Err(FrameFault::WrongSerial(first_bytes[2]));
    }
    [Channel::Core, Channel::Stream, Channel::Hop]
        .into_iter()
        .find(|channel| channel.code() == first_bytes[3])
        .ok_or(FrameFault::WrongChannel(first_bytes[3]))
}

/// Appends one frame to what is to be written: its length, then its bytes.
pub fn append_frame<T>(sent_bytes: &mut Vec<u8>, frame: &T) -> Result<(), FrameFault>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let frame_place = sent_bytes.len();
    let mut frame_cursor = Cursor::new(std::mem::take(sent_bytes));
    frame_cursor.set_position(frame_place as u64 + 4);
    let written = frame.write(&mut frame_cursor);
    *sent_bytes = frame_cursor.into_inner();
    let frame_length = sent_bytes.len().saturating_sub(frame_place + 4);
    if written.is_err() || frame_length as u64 > u64::from(LARGEST_FRAME) {
        sent_bytes.truncate(frame_place);
        written?;
        return Err(FrameFault::Oversized(frame_length as u32));
    }
    let length_bytes = (frame_length as u32).to_be_bytes();
    sent_bytes[frame_place..frame_place + 4].copy_from_slice(&length_bytes);
    Ok(())
}

/// Writes one frame: its length, then its bytes.
pub async fn write_frame<W, T>(writer: &mut W, frame: &T) -> Result<(), FrameFault>
where
    W: AsyncWrite + Unpin,
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut sent_bytes = Vec::new();
    append_frame(&mut sent_bytes, frame)?;
    writer.write_all(&sent_bytes).await?;
    Ok(())
}

/// Reads one frame.
pub async fn read_frame<R, T>(reader: &mut R) -> Result<T, FrameFault>
where
    R: AsyncRead + Unpin,
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    read_frame_in_parts(reader, || {}).await
}

/// Reads one frame, and notes each part of it that has come in while others are still under way.
pub async fn read_frame_in_parts<R, T>(
    reader: &mut R,
    mut note_part: impl FnMut(),
) -> Result<T, FrameFault>
where
    R: AsyncRead + Unpin,
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let frame_length = reader.read_u32().await?;
    if frame_length > LARGEST_FRAME {
        return Err(FrameFault::Oversized(frame_length));
    }
    let mut frame_bytes = Vec::new();
    let mut left_length = frame_length as usize;
    while left_length > 0 {
        let part_length = left_length.min(LARGEST_PART);
        frame_bytes.reserve(part_length);
        let mut part = (&mut *reader).take(part_length as u64);
        let taken_length = part.read_buf(&mut frame_bytes).await?;
        if taken_length == 0 {
            return Err(FrameFault::Connection(std::io::ErrorKind::UnexpectedEof.into()));
        }
        left_length -= taken_length;
        if left_length > 0 {
            note_part();
        }
    }
    decode(&frame_bytes)
}

/// A heartbeat as one datagram.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Bytes, FrameFault> {
    let mut sent_bytes = vec![MARK[0], MARK[1], WIRE_SERIAL];
    sent_bytes.extend(encode(heartbeat)?);
    Ok(sent_bytes.into())
}

/// A heartbeat from one datagram.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, FrameFault> {
    if datagram.len() < 3 || datagram[..2] != MARK {
        return Err(FrameFault::WrongMark);
    }
    if datagram[2] != WIRE_SERIAL {
        return Err(FrameFault::WrongSerial(datagram[2]));
    }
    decode(&datagram[3..])
}
