//! How the types of the system stand in the JSON that operators read: functions for `serialize_with`.

use common::identity::{ControllerId, FencingToken, Incarnation, Term, Version};
use serde::{Serialize, Serializer};
use std::fmt::Display;

/// A number that JSON shows as a number.
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

/// A number.
pub(crate) fn number<N: JsonNumber, S: Serializer>(
    value: &N,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(value.number())
}

/// A text: the value's `Display` form.
pub(crate) fn text<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// A text, or `null`.
pub(crate) fn optional_text<T: Display, S: Serializer>(
    value: &Option<T>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    value.as_ref().map(T::to_string).serialize(serializer)
}

/// A list of texts.
pub(crate) fn texts<T: Display, S: Serializer>(
    values: &[T],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(values.iter().map(T::to_string))
}

/// A controller's identity: a text with its hexadecimal digits.
pub(crate) fn controller_id<S: Serializer>(
    controller: &ControllerId,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{:x}", controller.0))
}
