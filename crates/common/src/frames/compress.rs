//! DEFLATE compression (RFC 1951) of long texts in frames.

use super::{ByteString, FrameError};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

/// The first byte of a compressed text. No JSON text begins with it.
const DEFLATE_MARKER: u8 = 1;
/// The minimum length in bytes of a text that is compressed.
const MIN_COMPRESSED_LENGTH: usize = 256;
/// The maximum length of a decompressed text in bytes, so that a short frame cannot exhaust memory.
const MAX_DECOMPRESSED_LENGTH: u64 = 64 << 20;

/// Compresses a JSON text for a frame. A text shorter than 256 bytes is left uncompressed.
///
/// A compressed text begins with a byte that no JSON text begins with, so that [`decompress`] can tell the two apart.
pub fn compress(text: &[u8]) -> ByteString {
    if text.len() < MIN_COMPRESSED_LENGTH {
        return ByteString::from(text.to_vec());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATE_MARKER], Compression::fast());
    match encoder.write_all(text).and_then(|()| encoder.finish()) {
        Ok(deflated_bytes) => ByteString::from(deflated_bytes),
        Err(_) => ByteString::from(text.to_vec()),
    }
}

/// Restores the text that was passed to [`compress`].
///
/// # Errors
/// [`FrameError::Connection`] if the bytes are not valid DEFLATE, or expand to more than 64 MiB.
pub fn decompress(compressed: &ByteString) -> Result<Vec<u8>, FrameError> {
    let Some((DEFLATE_MARKER, deflated_bytes)) = compressed
        .0
        .split_first()
        .map(|(first, rest)| (*first, rest))
    else {
        return Ok(compressed.0.to_vec());
    };
    let mut text = Vec::new();
    let read_length = DeflateDecoder::new(deflated_bytes)
        .take(MAX_DECOMPRESSED_LENGTH + 1)
        .read_to_end(&mut text)?;
    if read_length as u64 > MAX_DECOMPRESSED_LENGTH {
        return Err(FrameError::Connection(Error::from(ErrorKind::InvalidData)));
    }
    Ok(text)
}
