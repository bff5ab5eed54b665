//! Functions by name and generation.

use super::{FunctionName, Serial};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// What a grant is for: a function's name with the serial at which it entered the catalogue.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionKey {
    /// The name in the catalogue.
    pub name: FunctionName,
    /// The serial that created it; a function deleted and made again is another one.
    pub generation: Serial,
}

impl FunctionKey {
    /// A key from its parts.
    pub fn new(name: impl Into<FunctionName>, generation: Serial) -> Self {
        Self { name: name.into(), generation }
    }
}

impl fmt::Display for FunctionKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}@{}", self.name, self.generation)
    }
}

impl fmt::Debug for FunctionKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{self}")
    }
}

/// The text is no function's key.
#[derive(Debug)]
pub struct FunctionKeyFault(String);

impl fmt::Display for FunctionKeyFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} is not a function key", self.0)
    }
}

impl std::error::Error for FunctionKeyFault {}

impl FromStr for FunctionKey {
    type Err = FunctionKeyFault;
    fn from_str(given_text: &str) -> Result<Self, FunctionKeyFault> {
        given_text
            .rsplit_once('@')
            .and_then(|(name, generation)| Some(Self::new(name, Serial(generation.parse().ok()?))))
            .ok_or_else(|| FunctionKeyFault(given_text.to_owned()))
    }
}

/// A function's dense number in one snapshot of the spec.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct FunctionIndex(pub usize);
