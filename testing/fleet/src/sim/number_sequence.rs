//! The numbers that identify requests, links, calls and operations of a simulation.

/// A sequence of numbers that are unique within a simulation.
#[derive(Default)]
pub(super) struct NumberSequence {
    last: u64,
}

impl NumberSequence {
    /// Returns the next unused number.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
