//! A reader of one JSON value that knows its path and collects faults.

use serde_json::Value;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};

/// What is wrong at one path of a JSON document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PathError {
    /// The path, with dots between names.
    pub path: String,
    /// What is wrong there.
    pub reason: PathErrorReason,
}

/// The kinds of fault a reader finds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PathErrorReason {
    /// Something needed is not there.
    Missing,
    /// Something of another type is there.
    WrongType(&'static str),
    /// The number is outside its bounds.
    OutOfBounds(u64, u64),
    /// No such field is known.
    UnknownField,
    /// The name points to nothing.
    UnknownReference(&'static str, String),
    /// Another entry says the same.
    Duplicate(String),
    /// The value is not of the needed form.
    Malformed(String),
}

impl fmt::Display for PathErrorReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => write!(out, "is missing"),
            Self::WrongType(kind) => write!(out, "is not {kind}"),
            Self::OutOfBounds(least, most) => write!(out, "is not within {least} to {most}"),
            Self::UnknownField => write!(out, "is not a known key"),
            Self::UnknownReference(kind, name) => write!(out, "names no {kind}: {name:?}"),
            Self::Duplicate(other) => write!(out, "matches the same as {other}"),
            Self::Malformed(reason) => write!(out, "{reason}"),
        }
    }
}

impl fmt::Display for PathError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} {}",
            if self.path.is_empty() {
                "document"
            } else {
                &self.path
            },
            self.reason
        )
    }
}

impl std::error::Error for PathError {}

/// The faults found so far.
#[derive(Default)]
pub struct PathErrorList {
    errors: Mutex<Vec<PathError>>,
}

impl PathErrorList {
    /// Notes one fault.
    pub fn add(&self, path: impl Into<String>, reason: PathErrorReason) {
        let mut errors = self.errors.lock().unwrap_or_else(PoisonError::into_inner);
        errors.push(PathError {
            path: path.into(),
            reason,
        });
    }

    /// All that was found, in the order of finding.
    pub fn into_inner(self) -> Vec<PathError> {
        self.errors
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Walks a JSON value and notes faults with their paths.
#[derive(Clone)]
pub struct PathReader<'a> {
    value: Option<&'a Value>,
    path: String,
    errors: &'a PathErrorList,
}

impl<'a> PathReader<'a> {
    /// A reader at the root of a document.
    pub fn new(value: &'a Value, errors: &'a PathErrorList) -> Self {
        Self {
            value: Some(value),
            path: String::new(),
            errors,
        }
    }

    /// The path read so far.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether anything but null stands here.
    pub fn is_present(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    /// Notes a fault here.
    pub fn error(&self, reason: PathErrorReason) {
        self.errors.add(self.path.clone(), reason);
    }

    fn child_path(&self, field_name: &str) -> String {
        if self.path.is_empty() {
            field_name.to_owned()
        } else {
            format!("{}.{field_name}", self.path)
        }
    }

    /// Goes to a field, which need not be there.
    pub fn field(&self, field_name: &str) -> PathReader<'a> {
        PathReader {
            value: self.value.and_then(|value| value.get(field_name)),
            path: self.child_path(field_name),
            errors: self.errors,
        }
    }

    /// Notes every field that is not among the known ones.
    pub fn allow_only(&self, known_fields: &[&str]) {
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

    /// The fields of an object, each with a reader.
    pub fn fields(&self) -> Vec<(&'a str, PathReader<'a>)> {
        if self.is_present() && !self.value.is_some_and(Value::is_object) {
            self.error(PathErrorReason::WrongType("an object"));
        }
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

    /// The items of an array, each with a reader.
    pub fn items(&self) -> Vec<PathReader<'a>> {
        if self.is_present() && !self.value.is_some_and(Value::is_array) {
            self.error(PathErrorReason::WrongType("an array"));
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
            self.error(PathErrorReason::Missing);
            return None;
        };
        let typed_value = convert(value);
        if typed_value.is_none() {
            self.error(PathErrorReason::WrongType(kind));
        }
        typed_value
    }

    /// A text that must be there and not be empty.
    pub fn text(&self) -> Option<&'a str> {
        self.required("a text", Value::as_str).filter(|text| {
            if text.is_empty() {
                self.error(PathErrorReason::Malformed("is empty".to_owned()));
            }
            !text.is_empty()
        })
    }

    /// A yes or no, with a default.
    pub fn bool_or(&self, default_flag: bool) -> bool {
        if self.is_present() {
            self.required("true or false", Value::as_bool)
                .unwrap_or(default_flag)
        } else {
            default_flag
        }
    }

    /// A whole number within bounds that must be there.
    pub fn number(&self, bounds: RangeInclusive<u64>) -> Option<u64> {
        let read_number = self.required("a whole number", Value::as_u64)?;
        if !bounds.contains(&read_number) {
            self.error(PathErrorReason::OutOfBounds(*bounds.start(), *bounds.end()));
            return None;
        }
        Some(read_number)
    }

    /// A whole number within bounds, with a default.
    pub fn number_or(&self, bounds: RangeInclusive<u64>, default_number: u64) -> u64 {
        if self.is_present() {
            self.number(bounds).unwrap_or(default_number)
        } else {
            default_number
        }
    }

    /// Whatever stands here.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|value| !value.is_null())
    }
}

impl fmt::Debug for PathReader<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} = {:?}", self.path, self.value)
    }
}
