//! Sample values for the tests that compare forms with fixtures.

use common::frames::SocketAddress;

/// Returns a sample address that is derived from a number.
pub fn address(number: u8) -> SocketAddress {
    SocketAddress(
        format!("10.{number}.0.{}:{}", number + 1, 4000 + u16::from(number))
            .parse()
            .expect("an address"),
    )
}

/// Decodes hexadecimal text.
pub fn bytes_of_hex(text: &str) -> Vec<u8> {
    let pairs = text
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("text"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal"))
        .collect()
}
