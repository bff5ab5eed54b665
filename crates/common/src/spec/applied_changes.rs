//! A compact record of which numbered changes were applied.

use crate::identity::{ChangeId, Version};
use crate::seal::{digest, hex};
use std::collections::VecDeque;

/// The maximum number of numbered changes that are remembered, at about ten bytes each.
const MAX_REMEMBERED: usize = 1024;
/// The number of digest bytes that are kept of each change's name.
const DIGEST_BYTES: usize = 8;

/// Whether a submitted change was applied before. Operators may submit the same change more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ChangeStatus {
    /// The change was applied and created this version.
    Applied(Version),
    /// The change was not applied.
    NotApplied,
    /// Changes this old have been forgotten, so the change may or may not have been applied.
    Forgotten,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct AppliedChange {
    number: u64,
    version: Version,
    digest: u64,
}

/// The numbered changes that were applied, oldest first: the number, the version and a digest of the name of each.
///
/// Numbers only increase, so a number that is above all forgotten ones and not in this record was never applied.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AppliedChanges {
    forgotten_up_to: u64,
    remembered: VecDeque<AppliedChange>,
}

fn digest_of(change: &ChangeId) -> u64 {
    let full_digest = digest(change.as_str().as_bytes());
    full_digest[..DIGEST_BYTES]
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl AppliedChanges {
    /// Creates an empty record that starts after a number: changes up to that number may have been applied.
    pub fn starting_after(forgotten_up_to: u64) -> Self {
        Self {
            forgotten_up_to,
            remembered: VecDeque::new(),
        }
    }

    /// Records an applied change, whose number must be above all earlier ones. Beyond the limit, the oldest change is
    /// forgotten.
    pub fn record_change(&mut self, number: u64, version: Version, change: &ChangeId) {
        self.remembered.push_back(AppliedChange {
            number,
            version,
            digest: digest_of(change),
        });
        while self.remembered.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.remembered.pop_front() {
                self.forgotten_up_to = self.forgotten_up_to.max(oldest.number);
            }
        }
    }

    /// Whether a change comes after all remembered ones by number and version, as every recorded change must.
    pub fn is_next(&self, number: u64, version: Version) -> bool {
        let newest = self.remembered.back();
        newest.is_none_or(|newest| number > newest.number && version > newest.version)
    }

    /// Returns the status of the change with this number and name.
    pub fn status_of(&self, number: u64, change: &ChangeId) -> ChangeStatus {
        let known = self
            .at_number(number)
            .filter(|applied| applied.digest == digest_of(change));
        match known {
            Some(applied) => ChangeStatus::Applied(applied.version),
            None if (1..=self.forgotten_up_to).contains(&number) => ChangeStatus::Forgotten,
            None => ChangeStatus::NotApplied,
        }
    }

    /// Returns the version that the change with this number created, whatever the change's name.
    pub fn version_at(&self, number: u64) -> Option<Version> {
        self.at_number(number).map(|applied| applied.version)
    }

    fn at_number(&self, number: u64) -> Option<&AppliedChange> {
        let position = self
            .remembered
            .binary_search_by_key(&number, |applied| applied.number)
            .ok()?;
        self.remembered.get(position)
    }

    /// Returns the highest forgotten number. Changes up to this number may or may not have been applied.
    pub fn forgotten_up_to(&self) -> u64 {
        self.forgotten_up_to
    }

    /// Encodes the remembered changes as hexadecimal text: for each change, the differences of its number and version
    /// from those of the previous change, as LEB128 variable-length integers, and eight bytes of digest.
    pub fn to_text(&self) -> String {
        let mut encoded_bytes = Vec::with_capacity(self.remembered.len() * (DIGEST_BYTES + 2));
        let (mut last_number, mut last_version) = (0, 0);
        for applied in &self.remembered {
            push_varint(&mut encoded_bytes, applied.number - last_number);
            push_varint(&mut encoded_bytes, applied.version.0 - last_version);
            encoded_bytes.extend(applied.digest.to_be_bytes());
            (last_number, last_version) = (applied.number, applied.version.0);
        }
        hex(&encoded_bytes)
    }

    /// Decodes the text that [`to_text`](Self::to_text) produces. Returns `None` if the text is malformed.
    pub fn from_text(forgotten_up_to: u64, text: &str) -> Option<Self> {
        let encoded_bytes = bytes_of_hex(text)?;
        let mut remainder = encoded_bytes.as_slice();
        let mut remembered = VecDeque::new();
        let (mut number, mut version) = (0u64, 0u64);
        while !remainder.is_empty() {
            number = number.checked_add(read_varint(&mut remainder)?)?;
            version = version.checked_add(read_varint(&mut remainder)?)?;
            let (digest_bytes, after) = remainder.split_first_chunk::<DIGEST_BYTES>()?;
            remainder = after;
            let digest = u64::from_be_bytes(*digest_bytes);
            remembered.push_back(AppliedChange {
                number,
                version: Version(version),
                digest,
            });
        }
        Some(Self {
            forgotten_up_to,
            remembered,
        })
    }
}

fn push_varint(encoded_bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        encoded_bytes.push((number & 0x7f) as u8 | 0x80);
        number >>= 7;
    }
    encoded_bytes.push(number as u8);
}

fn read_varint(remainder: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..64).step_by(7) {
        let (byte, after) = remainder.split_first()?;
        *remainder = after;
        number |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

fn bytes_of_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            let pair_text = std::str::from_utf8(pair).ok().filter(|it| it.len() == 2)?;
            u8::from_str_radix(pair_text, 16).ok()
        })
        .collect()
}
