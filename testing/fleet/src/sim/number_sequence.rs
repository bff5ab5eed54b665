//! The numbers that name requests, links, calls and operations of a simulated day.

/// A sequence of numbers that are never used twice in a day.
#[derive(Default)]
pub(super) struct NumberSequence {
    last: u64,
}

impl NumberSequence {
    /// The next unused number.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
