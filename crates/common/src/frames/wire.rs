//! Framing: the opening bytes of connections, length-prefixed frames, and size limits.
//!
//! A connection begins with four bytes: `RU`, the wire version and the channel. Each frame that follows is prefixed
//! with its length in four bytes. The datagram of a heartbeat is `RU`, the wire version and the frame, without a
//! length.

use super::Heartbeat;
use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use std::io::Cursor;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The first bytes of rudderstream's connections and datagrams.
const MAGIC: [u8; 2] = *b"RU";
/// The version of the wire format, incremented whenever a frame changes.
const WIRE_VERSION: u8 = 6;
/// The maximum length of a frame in bytes, without the length prefix.
const MAX_FRAME_LENGTH: u32 = 16 << 20;
/// The maximum number of bytes of a frame that are read at once. A frame's memory is allocated as it arrives, so that a
/// false length prefix cannot exhaust memory.
const MAX_READ_LENGTH: usize = 64 << 10;

/// The purpose of a connection, which its opening bytes state.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Channel {
    /// Between controllers.
    Consensus,
    /// The control stream from a daemon to a controller.
    Stream,
    /// Between daemons.
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

/// Why a frame or the opening bytes of a connection could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, ended or could not be opened in time.
    #[error("connection: {0}")]
    Connection(#[from] std::io::Error),
    /// The opening bytes are not rudderstream's.
    #[error("not a rudderstream connection")]
    WrongMagic,
    /// The other side uses a different wire version.
    #[error("frames of serial {0}, ours are of {WIRE_VERSION}")]
    WrongVersion(u8),
    /// The channel code is unknown.
    #[error("channel {0} is not served here")]
    WrongChannel(u8),
    /// The frame's length in bytes exceeds the limit of 16 MiB.
    #[error("frame of {0} bytes")]
    Oversized(u32),
    /// The frame's bytes cannot be decoded.
    #[error("malformed frame: {0}")]
    Malformed(#[from] binrw::Error),
    /// This many bytes are left over after decoding.
    #[error("{0} bytes left over in a frame")]
    Trailing(usize),
}

/// Encodes a frame without its length prefix.
pub fn encode<T>(frame: &T) -> Result<Vec<u8>, FrameError>
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut written_bytes = Cursor::new(Vec::new());
    frame.write(&mut written_bytes)?;
    Ok(written_bytes.into_inner())
}

/// Decodes a frame that must consume all of the bytes.
///
/// # Errors
/// [`FrameError::Malformed`] or [`FrameError::Trailing`].
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

/// Writes a connection's opening bytes.
pub async fn write_channel<W: AsyncWrite + Unpin>(
    writer: &mut W,
    channel: Channel,
) -> Result<(), FrameError> {
    writer
        .write_all(&[MAGIC[0], MAGIC[1], WIRE_VERSION, channel.code()])
        .await?;
    Ok(())
}

/// Reads a connection's opening bytes.
///
/// # Errors
/// [`FrameError::WrongMagic`], [`FrameError::WrongVersion`], [`FrameError::WrongChannel`], or the error of the
/// connection.
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

/// Appends a frame with its length prefix to an output buffer. On an error the buffer is left unchanged.
///
/// # Errors
/// [`FrameError::Oversized`] if the frame exceeds the limit, [`FrameError::Malformed`] if it cannot be encoded.
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

/// Writes a frame with its length prefix.
///
/// # Errors
/// The errors of [`append_frame`], or the error of the connection.
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

/// Reads a frame.
///
/// # Errors
/// [`FrameError::Oversized`], the errors of [`decode`], or the error of the connection.
pub async fn read_frame<R, T>(reader: &mut R) -> Result<T, FrameError>
where
    R: AsyncRead + Unpin,
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    read_frame_in_parts(reader, || {}).await
}

/// Reads a frame as [`read_frame`] does, and calls `on_part` after each part except the last, so that the caller can
/// tell a large frame on a slow link from a dead connection.
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

/// Encodes a heartbeat as a datagram.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Bytes, FrameError> {
    let mut output = vec![MAGIC[0], MAGIC[1], WIRE_VERSION];
    output.extend(encode(heartbeat)?);
    Ok(output.into())
}

/// Decodes a heartbeat from a datagram.
pub fn decode_heartbeat(datagram: &[u8]) -> Result<Heartbeat, FrameError> {
    if datagram.len() < 3 || datagram[..2] != MAGIC {
        return Err(FrameError::WrongMagic);
    }
    if datagram[2] != WIRE_VERSION {
        return Err(FrameError::WrongVersion(datagram[2]));
    }
    decode(&datagram[3..])
}
