//! Round trips of compressed texts, and errors for corrupt ones.

use common::frames::{ByteString, compress, decompress};
use common::rng::SeededRng;
use googletest::prelude::*;

#[gtest]
fn compression_round_trips() -> Result<()> {
    let mut rng = SeededRng::seeded(4);
    for _ in 0..200 {
        let length = rng.below(5000) as usize;
        let alphabet_size = 1 + rng.below(200);
        let text: Vec<u8> = (0..length)
            .map(|_| b'{' ^ rng.below(alphabet_size) as u8)
            .collect();
        let text = [b"{".as_slice(), &text].concat();
        verify_that!(decompress(&compress(&text))? == text, eq(true))?;
    }
    let long = "{\"memory_mb\": 192}".repeat(3000);
    verify_that!(compress(long.as_bytes()).0.len() * 20, lt(long.len()))
}

#[gtest]
fn corrupt_compressed_bytes_are_an_error() -> Result<()> {
    let compressed = compress("abcdefgh".repeat(400).as_bytes());
    let truncated = ByteString::from(compressed.0[..compressed.0.len() / 2].to_vec());
    verify_that!(decompress(&truncated).is_err(), eq(true))?;
    verify_that!(
        decompress(&ByteString::from(vec![1, 255, 255, 255])).is_err(),
        eq(true)
    )
}
