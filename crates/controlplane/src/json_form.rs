//! Functions for `serialize_with` that define how types appear in the JSON that operators read.

use common::identity::{ControllerId, FencingToken, Incarnation, Term, Version};
use serde::{Serialize, Serializer};
use std::fmt::Display;

/// A type that is serialized as a JSON number.
pub(crate) trait JsonNumber: Copy {
    fn number(self) -> u64;
}

impl JsonNumber for FencingToken {
    fn number(self) -> u64 {
        self.0
    }
}

impl JsonNumber for Incarnation {
    fn number(self) -> u64 {
        self.0
    }
}

impl JsonNumber for Term {
    fn number(self) -> u64 {
        self.0
    }
}

impl JsonNumber for Version {
    fn number(self) -> u64 {
        self.0
    }
}

/// Serializes a value as a number.
pub(crate) fn number<N: JsonNumber, S: Serializer>(
    value: &N,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(value.number())
}

/// Serializes a value as a string, in its `Display` form.
pub(crate) fn text<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Serializes a value as a string in its `Display` form, or as `null`.
pub(crate) fn optional_text<T: Display, S: Serializer>(
    value: &Option<T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    value.as_ref().map(T::to_string).serialize(serializer)
}

/// Serializes values as a list of strings, in their `Display` form.
pub(crate) fn texts<T: Display, S: Serializer>(
    values: &[T],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(values.iter().map(T::to_string))
}

/// Serializes a controller's identity as a string of hexadecimal digits.
pub(crate) fn controller_id<S: Serializer>(
    controller: &ControllerId,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{:x}", controller.0))
}
