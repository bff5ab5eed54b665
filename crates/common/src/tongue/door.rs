//! What is read from callers and said to them.

use crate::frames::{HeadLine, HopReason};
use crate::http::Served;
use crate::identity::{FunctionKey, RunnerId, TransactionId};
use bytes::Bytes;
use hyper::header::HeaderMap;
use std::time::Duration;

/// Why nothing ran, as far as a caller has to know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NotRunKind {
    /// A header is missing or wrong, or the body broke off.
    Bad,
    /// No route fits, in a spec that is known to be in force.
    NoRoute,
    /// The identity was refused before.
    Conflict,
    /// The body is too large.
    TooLarge,
    /// The extra tries are spent.
    TooMany,
    /// Come back later.
    Unavailable,
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub enum Said {
    /// The runner's whole answer.
    Answer {
        /// The function that ran.
        function: FunctionKey,
        /// The runner.
        runner: RunnerId,
        /// The runner's status.
        status: u16,
        /// The seal as the runner gave it.
        seal: Bytes,
        /// Header lines that go with it.
        lines: Vec<HeadLine>,
        /// The body.
        body: Bytes,
    },
    /// Nothing ran and nothing will.
    NotRun {
        /// What kind of refusal.
        kind: NotRunKind,
        /// Why, for people.
        reason: &'static str,
        /// The header at fault, if one is.
        header: Option<&'static str>,
        /// When coming back is worth it.
        come_back: Option<Duration>,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: HopReason,
        /// When asking again is worth it.
        come_back: Duration,
    },
}

/// How callers' HTTP is read and written.
pub trait DoorTongue: Send + Sync {
    /// The header that carries a try's identity.
    fn identity_header(&self) -> &'static str;

    /// The header that carries how many milliseconds the caller waits.
    fn budget_header(&self) -> &'static str;

    /// Whether the caller marked the transaction a repeat.
    fn is_repeat(&self, headers: &HeaderMap) -> bool;

    /// The header lines that go on to a runner.
    fn passed_lines(&self, headers: &HeaderMap) -> Vec<HeadLine>;

    /// Writes an answer; the identity is known unless it was the header at fault.
    fn say(&self, transaction: Option<&TransactionId>, said: Said) -> Served;

    /// The path at which readiness is asked, beside the product's own.
    fn ready_path(&self) -> &'static str;
}
