use super::answer::Said;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::time::Duration;
use waymark::identity::TransactionId;
use waymark::seal;

const LONGEST_IDENTITY: usize = 128;

/// The try's identity: letters, digits and `-_.:`, at most 128 of them.
pub fn identity(headers: &HeaderMap) -> Result<TransactionId, Said> {
    let fitting = |letter: char| letter.is_ascii_alphanumeric() || "-_.:".contains(letter);
    headers
        .get(seal::TRANSACTION)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= LONGEST_IDENTITY)
        .filter(|text| text.chars().all(fitting))
        .map(TransactionId::from)
        .ok_or(Said::BadHeader(seal::TRANSACTION))
}

/// How long the caller waits, in whole milliseconds.
pub fn budget(headers: &HeaderMap) -> Result<Duration, Said> {
    headers
        .get(seal::BUDGET)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|millis| (1..=60_000).contains(millis))
        .map(Duration::from_millis)
        .ok_or(Said::BadHeader(seal::BUDGET))
}

/// Refuses a body whose announced length is too large, before any of it is read.
pub fn largest(headers: &HeaderMap, largest_body: usize) -> Result<(), Said> {
    let announced_length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    match announced_length {
        Some(length) if length > largest_body => Err(Said::TooLarge),
        _ => Ok(()),
    }
}
