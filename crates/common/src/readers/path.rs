//! A JSON reader that tracks the path of each value and collects errors.

use serde_json::Value;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};

/// An error at one path of a JSON document.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{} {reason}", if .path.is_empty() { "document" } else { .path })]
pub struct PathError {
    /// The path from the root, its names separated by dots; empty for the document itself.
    pub path: String,
    /// What is wrong there.
    pub reason: PathErrorReason,
}

/// The kinds of errors that a reader finds.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum PathErrorReason {
    /// A required value is missing.
    #[error("is missing")]
    Missing,
    /// The value is not of this type.
    #[error("is not {0}")]
    WrongType(&'static str),
    /// The number is not between these two bounds, both included.
    #[error("is not within {0} to {1}")]
    OutOfBounds(u64, u64),
    /// The field is unknown.
    #[error("is not a known key")]
    UnknownField,
    /// The value refers to an item of this kind and name, which does not exist.
    #[error("names no {0}: {1:?}")]
    UnknownReference(&'static str, String),
    /// The entry matches the same as the entry of this name.
    #[error("matches the same as {0}")]
    Duplicate(String),
    /// The value is malformed in the way described.
    #[error("{0}")]
    Malformed(String),
}

/// The errors found so far, shared by all readers of one document.
#[derive(Default)]
pub struct PathErrorList {
    errors: Mutex<Vec<PathError>>,
}

impl PathErrorList {
    /// Adds an error unless the list contains it already.
    pub fn add(&self, path: impl Into<String>, reason: PathErrorReason) {
        let error = PathError {
            path: path.into(),
            reason,
        };
        let mut errors = self.errors.lock().unwrap_or_else(PoisonError::into_inner);
        if !errors.contains(&error) {
            errors.push(error);
        }
    }

    /// Returns all errors, in the order in which they were found.
    pub fn into_inner(self) -> Vec<PathError> {
        self.errors
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A position in a JSON document, from which values are read.
///
/// Methods that read a value return `None` if it is missing or invalid, and add an error with its path to the list.
#[derive(Clone)]
pub struct PathReader<'a> {
    value: Option<&'a Value>,
    path: String,
    errors: &'a PathErrorList,
}

impl<'a> PathReader<'a> {
    /// Creates a reader at the root of a document.
    pub fn new(value: &'a Value, errors: &'a PathErrorList) -> Self {
        Self {
            value: Some(value),
            path: String::new(),
            errors,
        }
    }

    /// Returns the path from the root, its names separated by dots.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns whether there is a value other than null.
    pub fn is_present(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    /// Adds an error at this path.
    pub fn add_error(&self, reason: PathErrorReason) {
        self.errors.add(self.path.clone(), reason);
    }

    fn child_path(&self, field_name: &str) -> String {
        if self.path.is_empty() {
            field_name.to_owned()
        } else {
            format!("{}.{field_name}", self.path)
        }
    }

    /// Adds an error if there is a value that is not an object, whose fields would otherwise just count as missing.
    pub fn check_object(&self) {
        if self.is_present() && !self.value.is_some_and(Value::is_object) {
            self.add_error(PathErrorReason::WrongType("an object"));
        }
    }

    /// Returns a reader for a field, which need not exist. Adds an error if there is a value that is not an object.
    pub fn field(&self, field_name: &str) -> PathReader<'a> {
        self.check_object();
        PathReader {
            value: self.value.and_then(|value| value.get(field_name)),
            path: self.child_path(field_name),
            errors: self.errors,
        }
    }

    /// Adds an error for each field that is not among the known ones, and for a value that is not an object.
    pub fn allow_only(&self, known_fields: &[&str]) {
        self.check_object();
        for (field_name, _) in self.object_entries() {
            if !known_fields.contains(&field_name) {
                self.errors
                    .add(self.child_path(field_name), PathErrorReason::UnknownField);
            }
        }
    }

    fn object_entries(&self) -> impl Iterator<Item = (&'a str, &'a Value)> + use<'a> {
        self.value
            .and_then(Value::as_object)
            .into_iter()
            .flatten()
            .map(|(field_name, value)| (field_name.as_str(), value))
    }

    /// Returns the fields of an object, each with a reader; empty if the value is missing. Adds an error if the value
    /// is not an object.
    pub fn fields(&self) -> Vec<(&'a str, PathReader<'a>)> {
        self.check_object();
        self.object_entries()
            .map(|(field_name, value)| {
                let path = self.child_path(field_name);
                (
                    field_name,
                    PathReader {
                        value: Some(value),
                        path,
                        errors: self.errors,
                    },
                )
            })
            .collect()
    }

    /// Returns a reader for each item of an array; empty if the value is missing. Adds an error if the value is not an
    /// array.
    pub fn items(&self) -> Vec<PathReader<'a>> {
        if self.is_present() && !self.value.is_some_and(Value::is_array) {
            self.add_error(PathErrorReason::WrongType("an array"));
        }
        let item_values = self.value.and_then(Value::as_array).into_iter().flatten();
        item_values
            .enumerate()
            .map(|(index, value)| PathReader {
                value: Some(value),
                path: self.child_path(&index.to_string()),
                errors: self.errors,
            })
            .collect()
    }

    fn required<T>(
        &self,
        kind: &'static str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.value.filter(|value| !value.is_null()) else {
            self.add_error(PathErrorReason::Missing);
            return None;
        };
        let typed_value = convert(value);
        if typed_value.is_none() {
            self.add_error(PathErrorReason::WrongType(kind));
        }
        typed_value
    }

    /// Reads a required, non-empty string.
    pub fn text(&self) -> Option<&'a str> {
        self.required("a text", Value::as_str).filter(|text| {
            if text.is_empty() {
                self.add_error(PathErrorReason::Malformed("is empty".to_owned()));
            }
            !text.is_empty()
        })
    }

    /// Reads an optional boolean. An invalid value is an error and counts as the default.
    pub fn bool_or(&self, default_flag: bool) -> bool {
        if self.is_present() {
            self.required("true or false", Value::as_bool)
                .unwrap_or(default_flag)
        } else {
            default_flag
        }
    }

    /// Reads a required integer within bounds.
    pub fn number(&self, bounds: RangeInclusive<u64>) -> Option<u64> {
        let read_number = self.required("a whole number", Value::as_u64)?;
        if !bounds.contains(&read_number) {
            self.add_error(PathErrorReason::OutOfBounds(*bounds.start(), *bounds.end()));
            return None;
        }
        Some(read_number)
    }

    /// Reads an optional integer within bounds. An invalid value is an error and counts as the default.
    pub fn number_or(&self, bounds: RangeInclusive<u64>, default_number: u64) -> u64 {
        if self.is_present() {
            self.number(bounds).unwrap_or(default_number)
        } else {
            default_number
        }
    }

    /// Reads an optional non-negative number, with or without a fraction. An invalid value is an error and counts as
    /// the default.
    pub fn decimal_or(&self, default_number: f64) -> f64 {
        if !self.is_present() {
            return default_number;
        }
        let is_valid = |number: &f64| number.is_finite() && *number >= 0.0;
        let read_number = self.required("a number from 0 up", |value| {
            value.as_f64().filter(is_valid)
        });
        read_number.unwrap_or(default_number)
    }

    /// Returns the value unless it is missing or null; neither adds an error.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }
}

impl fmt::Debug for PathReader<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} = {:?}", self.path, self.value)
    }
}
