//! Compression of long texts in frames.

use super::{Blob, FrameFault};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Error, ErrorKind, Read, Write};

const PACKED: u8 = 1;
const SMALLEST_PACKED: usize = 256;
const LARGEST_UNPACKED: u64 = 64 << 20;

/// Makes a text smaller for the wire; one of less than 256 bytes goes as it is.
pub fn pack(text: &[u8]) -> Blob {
    if text.len() < SMALLEST_PACKED {
        return Blob::from(text.to_vec());
    }
    let mut encoder = DeflateEncoder::new(vec![PACKED], Compression::fast());
    match encoder.write_all(text).and_then(|()| encoder.finish()) {
        Ok(packed_bytes) => Blob::from(packed_bytes),
        Err(_) => Blob::from(text.to_vec()),
    }
}

/// The text that was packed; fails on what was not packed so, and on more than 64 MiB.
pub fn unpack(blob: &Blob) -> Result<Vec<u8>, FrameFault> {
    let Some((PACKED, packed_bytes)) = blob.0.split_first().map(|(first, rest)| (*first, rest))
    else {
        return Ok(blob.0.to_vec());
    };
    let mut text = Vec::new();
    let taken_length =
        DeflateDecoder::new(packed_bytes).take(LARGEST_UNPACKED + 1).read_to_end(&mut text)?;
    if taken_length as u64 > LARGEST_UNPACKED {
        return Err(FrameFault::Connection(Error::from(ErrorKind::InvalidData)));
    }
    Ok(text)
}
