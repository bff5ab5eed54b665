//! The compact memory of which numbered changes were taken.

use crate::identity::{ChangeId, Serial};
use crate::seal::{digest, hex};
use std::collections::VecDeque;

/// How many numbered changes are remembered; some ten bytes each.
const KEPT_TAKEN: usize = 1024;
const DIGEST_BYTES: usize = 8;

/// What is known of a numbered change that an operator asks for, perhaps not for the first time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ChangeFate {
    /// It was taken and made this version.
    Taken(Serial),
    /// It was not taken.
    NotTaken,
    /// Changes as old as that are forgotten: it may have been taken or not.
    Forgotten,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct TakenChange {
    number: u64,
    serial: Serial,
    digest: u64,
}

/// Which numbered changes were taken: number, version and a digest of the change's name, oldest
/// first. Numbers only rise, so a number above all that is forgotten and not in here was never taken.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct TakenChanges {
    forgotten_up_to: u64,
    kept: VecDeque<TakenChange>,
}

fn digest_of(change: &ChangeId) -> u64 {
    let whole_digest = digest(change.as_str().as_bytes());
    whole_digest[..DIGEST_BYTES].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl TakenChanges {
    /// A memory that lacks what came before; numbers up to this one may have been taken.
    pub fn without(forgotten_up_to: u64) -> Self {
        Self { forgotten_up_to, kept: VecDeque::new() }
    }

    /// Notes a change that is taken; its number is above all earlier ones.
    pub fn note(&mut self, number: u64, serial: Serial, change: &ChangeId) {
        self.kept.push_back(TakenChange { number, serial, digest: digest_of(change) });
        while self.kept.len() > KEPT_TAKEN {
            if let Some(oldest) = self.kept.pop_front() {
                self.forgotten_up_to = self.forgotten_up_to.max(oldest.number);
            }
        }
    }

    /// Whether a change comes after all that are remembered, as each must that is noted.
    pub fn is_next(&self, number: u64, serial: Serial) -> bool {
        let newest = self.kept.back();
        newest.is_none_or(|newest| number > newest.number && serial > newest.serial)
    }

    /// What became of a change with this number and name.
    pub fn fate(&self, number: u64, change: &ChangeId) -> ChangeFate {
        let known = self.at_number(number).filter(|taken| taken.digest == digest_of(change));
        match known {
            Some(taken) => ChangeFate::Taken(taken.serial),
            None if (1..=self.forgotten_up_to).contains(&number) => ChangeFate::Forgotten,
            None => ChangeFate::NotTaken,
        }
    }

    /// The version that the change with this number made, whatever its name.
    pub fn serial_at(&self, number: u64) -> Option<Serial> {
        self.at_number(number).map(|taken| taken.serial)
    }

    fn at_number(&self, number: u64) -> Option<&TakenChange> {
        let place = self.kept.binary_search_by_key(&number, |taken| taken.number).ok()?;
        self.kept.get(place)
    }

    /// Numbers up to this one may have been taken and are forgotten.
    pub fn forgotten_up_to(&self) -> u64 {
        self.forgotten_up_to
    }

    /// The remembered changes as text: for each the steps of number and version, and the digest.
    pub fn to_text(&self) -> String {
        let mut packed_bytes = Vec::with_capacity(self.kept.len() * (DIGEST_BYTES + 2));
        let (mut last_number, mut last_serial) = (0, 0);
        for taken in &self.kept {
            push_varint(&mut packed_bytes, taken.number - last_number);
            push_varint(&mut packed_bytes, taken.serial.0 - last_serial);
            packed_bytes.extend(taken.digest.to_be_bytes());
            (last_number, last_serial) = (taken.number, taken.serial.0);
        }
        hex(&packed_bytes)
    }

    /// Reads such text; nothing if it is no such text.
    pub fn from_text(forgotten_up_to: u64, text: &str) -> Option<Self> {
        let packed_bytes = bytes_of_hex(text)?;
        let mut rest = packed_bytes.as_slice();
        let mut kept = VecDeque::new();
        let (mut number, mut serial) = (0u64, 0u64);
        while !rest.is_empty() {
            number = number.checked_add(take_varint(&mut rest)?)?;
            serial = serial.checked_add(take_varint(&mut rest)?)?;
            let (digest_bytes, after) = rest.split_first_chunk::<DIGEST_BYTES>()?;
            rest = after;
            let digest = u64::from_be_bytes(*digest_bytes);
            kept.push_back(TakenChange { number, serial: Serial(serial), digest });
        }
        Some(Self { forgotten_up_to, kept })
    }
}

fn push_varint(packed_bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        packed_bytes.push((number & 0x7f) as u8 | 0x80);
        number >>= 7;
    }
    packed_bytes.push(number as u8);
}

fn take_varint(rest: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..64).step_by(7) {
        let (byte, after) = rest.split_first()?;
        *rest = after;
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
