//! Functions by name and generation, and the part of the callers that a holder serves.

use super::{FunctionName, Region, Version};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// What a grant is for: a function's name with the serial at which it entered the catalogue, and the region whose
/// callers are served under it.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionKey {
    /// The name in the catalogue.
    pub name: FunctionName,
    /// The serial that created it; a function deleted and made again is another one.
    pub generation: Version,
    /// The only region whose callers are served under this key; empty when all others are.
    pub region: Region,
}

impl FunctionKey {
    /// The key for the callers of all regions.
    pub fn new(name: impl Into<FunctionName>, generation: Version) -> Self {
        Self {
            name: name.into(),
            generation,
            region: Region::from(""),
        }
    }

    /// The same function's key for the callers of one region alone.
    pub fn in_region(&self, region: &Region) -> Self {
        Self {
            name: self.name.clone(),
            generation: self.generation,
            region: region.clone(),
        }
    }

    /// The same function's key for the callers of all regions.
    pub fn all_regions(&self) -> Self {
        Self::new(self.name.clone(), self.generation)
    }

    /// Whether it is for the callers of one region alone.
    pub fn is_regional(&self) -> bool {
        !self.region.as_str().is_empty()
    }

    /// Whether two keys are of the same function, for whichever callers.
    pub fn is_same_function(&self, other: &Self) -> bool {
        self.name == other.name && self.generation == other.generation
    }
}

impl fmt::Display for FunctionKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}@{}", self.name, self.generation)?;
        if self.is_regional() {
            write!(out, "~{}", self.region)
        } else {
            Ok(())
        }
    }
}

impl fmt::Debug for FunctionKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{self}")
    }
}

/// The text is no function's key.
#[derive(Debug)]
pub struct FunctionKeyError(String);

impl fmt::Display for FunctionKeyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} is not a function key", self.0)
    }
}

impl std::error::Error for FunctionKeyError {}

impl FromStr for FunctionKey {
    type Err = FunctionKeyError;
    fn from_str(given_text: &str) -> Result<Self, FunctionKeyError> {
        let read = || {
            let (name, rest) = given_text.rsplit_once('@')?;
            let (generation, region) = rest.split_once('~').unwrap_or((rest, ""));
            let all_regions = Self::new(name, Version(generation.parse().ok()?));
            Some(all_regions.in_region(&Region::from(region)))
        };
        read().ok_or_else(|| FunctionKeyError(given_text.to_owned()))
    }
}

/// A function's dense number in one snapshot of the spec.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct FunctionIndex(pub usize);
