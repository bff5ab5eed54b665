//! Framing on the wire: channels, lengths, and the limits that are read.

use super::Heartbeat;
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use std::fmt;
use std::io::Cursor;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MAGIC: [u8; 2] = *b"RU";
/// The serial of the frames' format; it goes up whenever a frame changes.
const WIRE_VERSION: u8 = 6;
const MAX_FRAME_LENGTH: u32 = 16 << 20;
/// Of a frame so many bytes are asked for at once, so that memory follows what has come in.
const MAX_READ_LENGTH: usize = 64 << 10;

/// What a connection is for; its first four bytes say so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Channel {
    /// Between members of the core.
    Consensus,
    /// A daemon's stream to the leader.
    Stream,
    /// Transactions between daemons.
    Daemons,
}

impl Channel {
    fn code(self) -> u8 {
        match self {
            Self::Consensus => 1,
            Self::Stream => 2,
            Self::Daemons => 3,
        }
    }
}

/// Why a frame could not be read or written.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or ended.
    Connection(std::io::Error),
    /// The first bytes are not ours.
    WrongMagic,
    /// The other side speaks frames of another serial.
    WrongVersion(u8),
    /// No such channel here.
    WrongChannel(u8),
    /// The frame is larger than any should be.
    Oversized(u32),
    /// The frame's bytes do not make sense.
    Malformed(binrw::Error),
    /// Bytes are left over.
    Trailing(usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => write!(out, "connection: {error}"),
            Self::WrongMagic => write!(out, "not a rudderstream connection"),
            Self::WrongVersion(received) => {
                write!(
                    out,
                    "frames of serial {received}, ours are of {WIRE_VERSION}"
                )
            }
            Self::WrongChannel(received) => write!(out, "channel {received} is not served here"),
            Self::Oversized(length) => write!(out, "frame of {length} bytes"),
            Self::Malformed(error) => write!(out, "malformed frame: {error}"),
            Self::Trailing(count) => write!(out, "{count} bytes left over in a frame"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<std::io::Error> for FrameError {
    fn from(error: std::io::Error) -> Self {
        Self::Connection(error)
    }
}

impl From<binrw::Error> for FrameError {
    fn from(error: binrw::Error) -> Self {
        Self::Malformed(error)
    }
}

/// A frame as bytes.
pub fn encode<T>(frame: &T) -> Result<Vec<u8>, FrameError>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut written_bytes = Cursor::new(Vec::new());
    frame.write(&mut written_bytes)?;
    Ok(written_bytes.into_inner())
}

/// A frame from exactly these bytes.
pub fn decode<T>(frame_bytes: &[u8]) -> Result<T, FrameError>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let mut byte_cursor = Cursor::new(frame_bytes);
    let read_frame = T::read(&mut byte_cursor)?;
    let trailing_count = frame_bytes.len() - byte_cursor.position() as usize;
    if trailing_count > 0 {
        return Err(FrameError::Trailing(trailing_count));
    }
    Ok(read_frame)
}

/// Says what the connection is for.
pub async fn write_channel<W: AsyncWrite + Unpin>(
    writer: &mut W,
    channel: Channel,
) -> Result<(), FrameError> {
    writer
        .write_all(&[MAGIC[0], MAGIC[1], WIRE_VERSION, channel.code()])
        .await?;
    Ok(())
}

/// Hears what the connection is for.
pub async fn read_channel<R: AsyncRead + Unpin>(reader: &mut R) -> Result<Channel, FrameError> {
    let mut first_bytes = [0; 4];
    reader.read_exact(&mut first_bytes).await?;
    if first_bytes[..2] != MAGIC {
        return Err(FrameError::WrongMagic);
    }
    if first_bytes[2] != WIRE_VERSION {
        return Err(FrameError::WrongVersion(first_bytes[2]));
    }
    [Channel::Consensus, Channel::Stream, Channel::Daemons]
        .into_iter()
        .find(|channel| channel.code() == first_bytes[3])
        .ok_or(FrameError::WrongChannel(first_bytes[3]))
}

/// Appends one frame to what is to be written: its length, then its bytes.
pub fn append_frame<T>(output: &mut Vec<u8>, frame: &T) -> Result<(), FrameError>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let frame_start = output.len();
    let mut frame_cursor = Cursor::new(std::mem::take(output));
    frame_cursor.set_position(frame_start as u64 + 4);
    let written = frame.write(&mut frame_cursor);
    *output = frame_cursor.into_inner();
    let frame_length = output.len().saturating_sub(frame_start + 4);
    if written.is_err() || frame_length as u64 > u64::from(MAX_FRAME_LENGTH) {
        output.truncate(frame_start);
        written?;
        return Err(FrameError::Oversized(frame_length as u32));
    }
    let length_bytes = (frame_length as u32).to_be_bytes();
    output[frame_start..frame_start + 4].copy_from_slice(&length_bytes);
    Ok(())
}

/// Writes one frame: its length, then its bytes.
pub async fn write_frame<W, T>(writer: &mut W, frame: &T) -> Result<(), FrameError>
where
    W: AsyncWrite + Unpin,
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut output = Vec::new();
    append_frame(&mut output, frame)?;
    writer.write_all(&output).await?;
    Ok(())
}

/// Reads one frame.
pub async fn read_frame<R, T>(reader: &mut R) -> Result<T, FrameError>
where
    R: AsyncRead + Unpin,
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    read_frame_in_parts(reader, || {}).await
}

/// Reads one frame, and notes each part of it that has come in while others are still under way.
pub async fn read_frame_in_parts<R, T>(
    reader: &mut R,
    mut on_part: impl FnMut(),
) -> Result<T, FrameError>
where
    R: AsyncRead + Unpin,
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let frame_length = reader.read_u32().await?;
    if frame_length > MAX_FRAME_LENGTH {
        return Err(FrameError::Oversized(frame_length));
    }
    let mut frame_bytes = Vec::new();
    let mut remaining_length = frame_length as usize;
    while remaining_length > 0 {
        let part_length = remaining_length.min(MAX_READ_LENGTH);
        frame_bytes.reserve(part_length);
        let mut part = (&mut *reader).take(part_length as u64);
        let read_length = part.read_buf(&mut frame_bytes).await?;
        if read_length == 0 {
            return Err(FrameError::Connection(
                std::io::ErrorKind::UnexpectedEof.into(),
            ));
        }
        remaining_length -= read_length;
        if remaining_length > 0 {
            on_part();
        }
    }
    decode(&frame_bytes)
}

/// A heartbeat as one datagram.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Bytes, FrameError> {
    let mut output = vec![MAGIC[0], MAGIC[1], WIRE_VERSION];
    output.extend(encode(heartbeat)?);
    Ok(output.into())
}

/// A heartbeat from one datagram.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, FrameError> {
    if datagram.len() < 3 || datagram[..2] != MAGIC {
        return Err(FrameError::WrongMagic);
    }
    if datagram[2] != WIRE_VERSION {
        return Err(FrameError::WrongVersion(datagram[2]));
    }
    decode(&datagram[3..])
}
