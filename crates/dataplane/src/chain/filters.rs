//! Checks of a caller's request before anything is done with it.

use common::identity::TransactionId;
use common::tongue::{DoorTongue, NotRunKind, Said};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::time::Duration;

/// What makes a call unfit before its body is read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unfit {
    /// This header is missing or malformed.
    Header(&'static str),
    /// The body is too large.
    TooLarge,
}

impl From<Unfit> for Said {
    fn from(unfit: Unfit) -> Self {
        let (kind, reason, header) = match unfit {
            Unfit::Header(header) => (NotRunKind::Bad, "bad_header", Some(header)),
            Unfit::TooLarge => (NotRunKind::TooLarge, "body_too_large", None),
        };
        Self::NotRun { kind, reason, header, come_back: None }
    }
}

const LONGEST_IDENTITY: usize = 128;

/// The try's identity: letters, digits and `-_.:`, at most 128 of them.
pub fn identity(door: &dyn DoorTongue, headers: &HeaderMap) -> Result<TransactionId, Unfit> {
    let fitting = |letter: char| letter.is_ascii_alphanumeric() || "-_.:".contains(letter);
    headers
        .get(door.identity_header())
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= LONGEST_IDENTITY)
        .filter(|text| text.chars().all(fitting))
        .map(TransactionId::from)
        .ok_or_else(|| Unfit::Header(door.identity_header()))
}

/// How long the caller waits, in whole milliseconds.
pub fn budget(door: &dyn DoorTongue, headers: &HeaderMap) -> Result<Duration, Unfit> {
    headers
        .get(door.budget_header())
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|millis| (1..=60_000).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| Unfit::Header(door.budget_header()))
}

/// Refuses a body whose announced length is too large, before any of it is read.
pub fn largest(headers: &HeaderMap, largest_body: usize) -> Result<(), Unfit> {
    let announced_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match announced_length {
        Some(length) if length > largest_body => Err(Unfit::TooLarge),
        _ => Ok(()),
    }
}
