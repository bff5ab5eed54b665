//! What is packed comes back; what was packed by nobody fails or stays itself.

use common::chance::Chance;
use common::frames::{Blob, pack, unpack};
use googletest::prelude::*;

#[gtest]
fn what_is_packed_comes_back() -> Result<()> {
    let mut chance = Chance::seeded(4);
    for _ in 0..200 {
        let length = chance.below(5000) as usize;
        let letters = 1 + chance.below(200);
        let text: Vec<u8> = (0..length).map(|_| b'{' ^ chance.below(letters) as u8).collect();
        let text = [b"{".as_slice(), &text].concat();
        verify_that!(unpack(&pack(&text))? == text, eq(true))?;
    }
    let long = "{\"memory_mb\": 192}".repeat(3000);
    verify_that!(pack(long.as_bytes()).0.len() * 20, lt(long.len()))
}

#[gtest]
fn a_broken_packing_is_a_fault() -> Result<()> {
    let packed = pack("abcdefgh".repeat(400).as_bytes());
    let cut = Blob::from(packed.0[..packed.0.len() / 2].to_vec());
    verify_that!(unpack(&cut).is_err(), eq(true))?;
    verify_that!(unpack(&Blob::from(vec![1, 255, 255, 255])).is_err(), eq(true))
}
