//! Compression of long texts in frames, with DEFLATE (RFC 1951).

use super::{ByteString, FrameError};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

/// The first byte of a compressed text.
const DEFLATE_MARK: u8 = 1;
/// The length in bytes from which a text is compressed.
const MIN_COMPRESSED_LENGTH: usize = 256;
/// The longest text that is accepted, in bytes, so that a short frame cannot take all memory.
const MAX_DECOMPRESSED_LENGTH: u64 = 64 << 20;

/// Compresses a JSON text for a frame; one of less than 256 bytes is sent as it is.
///
/// A compressed text begins with a byte that no JSON text begins with, which tells [`decompress`] the two apart.
pub fn compress(text: &[u8]) -> ByteString {
    if text.len() < MIN_COMPRESSED_LENGTH {
        return ByteString::from(text.to_vec());
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATE_MARK], Compression::fast());
    match encoder.write_all(text).and_then(|()| encoder.finish()) {
        Ok(deflated_bytes) => ByteString::from(deflated_bytes),
        Err(_) => ByteString::from(text.to_vec()),
    }
}

/// Returns the text that was given to [`compress`].
///
/// # Errors
/// [`FrameError::Connection`] if the bytes are not valid DEFLATE, or expand to more than 64 MiB.
pub fn decompress(compressed: &ByteString) -> Result<Vec<u8>, FrameError> {
    let Some((DEFLATE_MARK, deflated_bytes)) = compressed
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
