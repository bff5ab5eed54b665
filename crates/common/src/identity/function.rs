//! The keys of functions, by which leases are granted, and the indexes of functions in routing tables.

use super::{FunctionName, Region, Version};
use binrw::binrw;
use std::fmt;
use std::str::FromStr;

/// The key of a function lease: the function's name and generation, and the region whose callers are served under the
/// lease.
///
/// Its text form is `name@generation`, with `~region` appended to a regional key.
#[binrw]
#[brw(big)]
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionKey {
    /// The function's name in the catalogue.
    pub name: FunctionName,
    /// The document version that created the function. A function that is deleted and created again is a different one.
    pub generation: Version,
    /// The region whose callers are served under this key; empty for the callers of all regions.
    pub region: Region,
}

impl FunctionKey {
    /// Returns the key for the callers of all regions.
    pub fn new(name: impl Into<FunctionName>, generation: Version) -> Self {
        Self {
            name: name.into(),
            generation,
            region: Region::from(""),
        }
    }

    /// Returns the same function's key for the callers of a single region.
    pub fn in_region(&self, region: &Region) -> Self {
        Self {
            name: self.name.clone(),
            generation: self.generation,
            region: region.clone(),
        }
    }

    /// Returns the same function's key for the callers of all regions.
    pub fn all_regions(&self) -> Self {
        Self::new(self.name.clone(), self.generation)
    }

    /// Whether the key is for the callers of a single region.
    pub fn is_regional(&self) -> bool {
        !self.region.as_str().is_empty()
    }

    /// Whether both keys have the same function and generation, whatever their regions.
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

/// The error for a text that is not a function key.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not a function key")]
pub struct FunctionKeyError(String);

impl FromStr for FunctionKey {
    type Err = FunctionKeyError;
    fn from_str(text: &str) -> Result<Self, FunctionKeyError> {
        let parse = || {
            let (name, rest) = text.rsplit_once('@')?;
            let (generation, region) = rest.split_once('~').unwrap_or((rest, ""));
            let all_regions = Self::new(name, Version(generation.parse().ok()?));
            Some(all_regions.in_region(&Region::from(region)))
        };
        parse().ok_or_else(|| FunctionKeyError(text.to_owned()))
    }
}

/// The index of a function in one [`RoutingTable`](crate::spec::RoutingTable), not valid in other tables.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct FunctionIndex(pub usize);
