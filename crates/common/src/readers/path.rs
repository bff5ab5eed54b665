//! A reader of one JSON value that knows its path and collects faults.

use serde_json::Value;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};

/// What is wrong at one path of a JSON document.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PathFault {
    /// The path, with dots between names.
    pub path: String,
    /// What is wrong there.
    pub reason: FaultReason,
}

/// The kinds of fault a reader finds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FaultReason {
    /// Something needed is not there.
    Missing,
    /// Something of another type is there.
    NotA(&'static str),
    /// The number is outside its bounds.
    OutOfBounds(u64, u64),
    /// No such field is known.
    UnknownField,
    /// The name points to nothing.
    NoSuch(&'static str, String),
    /// Another entry says the same.
    Duplicate(String),
    /// The value is not of the needed form.
    Form(String),
}

impl fmt::Display for FaultReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => write!(out, "is missing"),
            Self::NotA(kind) => write!(out, "is not {kind}"),
            Self::OutOfBounds(least, most) => write!(out, "is not within {least} to {most}"),
            Self::UnknownField => write!(out, "is not a known key"),
            Self::NoSuch(kind, name) => write!(out, "names no {kind}: {name:?}"),
            Self::Duplicate(other) => write!(out, "matches the same as {other}"),
            Self::Form(reason) => write!(out, "{reason}"),
        }
    }
}

impl fmt::Display for PathFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} {}",
            if self.path.is_empty() { "document" } else { &self.path },
            self.reason
        )
    }
}

impl std::error::Error for PathFault {}

/// The faults found so far.
#[derive(Default)]
pub struct FaultList {
    found: Mutex<Vec<PathFault>>,
}

impl FaultList {
    /// Notes one fault.
    pub fn add(&self, path: impl Into<String>, reason: FaultReason) {
        let mut found = self.found.lock().unwrap_or_else(PoisonError::into_inner);
        found.push(PathFault { path: path.into(), reason });
    }

    /// All that was found, in the order of finding.
    pub fn into_inner(self) -> Vec<PathFault> {
        self.found.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Walks a JSON value and notes faults with their paths.
#[derive(Clone)]
pub struct PathReader<'a> {
    value: Option<&'a Value>,
    path: String,
    faults: &'a FaultList,
}

impl<'a> PathReader<'a> {
    /// A reader at the root of a document.
    pub fn new(value: &'a Value, faults: &'a FaultList) -> Self {
        Self { value: Some(value), path: String::new(), faults }
    }

    /// The path read so far.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether anything but null stands here.
    pub fn is_there(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    /// Notes a fault here.
    pub fn fault(&self, reason: FaultReason) {
        self.faults.add(self.path.clone(), reason);
    }

    fn step(&self, field_name: &str) -> String {
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
            path: self.step(field_name),
            faults: self.faults,
        }
    }

    /// Notes every field that is not among the known ones.
    pub fn only(&self, known_fields: &[&str]) {
        for (field_name, _) in self.fields_quietly() {
            if !known_fields.contains(&field_name) {
                self.faults.add(self.step(field_name), FaultReason::UnknownField);
            }
        }
    }

    fn fields_quietly(&self) -> impl Iterator<Item = (&'a str, &'a Value)> + use<'a> {
        self.value
            .and_then(Value::as_object)
            .into_iter()
            .flatten()
            .map(|(field_name, value)| (field_name.as_str(), value))
    }

    /// The fields of an object, each with a reader.
    pub fn fields(&self) -> Vec<(&'a str, PathReader<'a>)> {
        if self.is_there() && !self.value.is_some_and(Value::is_object) {
            self.fault(FaultReason::NotA("an object"));
        }
        self.fields_quietly()
            .map(|(field_name, value)| {
                let path = self.step(field_name);
                (field_name, PathReader { value: Some(value), path, faults: self.faults })
            })
            .collect()
    }

    /// The items of an array, each with a reader.
    pub fn items(&self) -> Vec<PathReader<'a>> {
        if self.is_there() && !self.value.is_some_and(Value::is_array) {
            self.fault(FaultReason::NotA("an array"));
        }
        let item_values = self.value.and_then(Value::as_array).into_iter().flatten();
        item_values
            .enumerate()
            .map(|(place, value)| PathReader {
                value: Some(value),
                path: self.step(&place.to_string()),
                faults: self.faults,
            })
            .collect()
    }

    fn needed<T>(
        &self,
        kind: &'static str,
        take: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.value.filter(|value| !value.is_null()) else {
            self.fault(FaultReason::Missing);
            return None;
        };
        let taken_value = take(value);
        if taken_value.is_none() {
            self.fault(FaultReason::NotA(kind));
        }
        taken_value
    }

    /// A text that must be there and not be empty.
    pub fn text(&self) -> Option<&'a str> {
        self.needed("a text", Value::as_str).filter(|text| {
            if text.is_empty() {
                self.fault(FaultReason::Form("is empty".to_owned()));
            }
            !text.is_empty()
        })
    }

    /// A yes or no, with a default.
    pub fn flag_or(&self, default_flag: bool) -> bool {
        if self.is_there() {
            self.needed("true or false", Value::as_bool).unwrap_or(default_flag)
        } else {
            default_flag
        }
    }

    /// A whole number within bounds that must be there.
    pub fn number(&self, bounds: RangeInclusive<u64>) -> Option<u64> {
        let read_number = self.needed("a whole number", Value::as_u64)?;
        if !bounds.contains(&read_number) {
            self.fault(FaultReason::OutOfBounds(*bounds.start(), *bounds.end()));
            return None;
        }
        Some(read_number)
    }

    /// A whole number within bounds, with a default.
    pub fn number_or(&self, bounds: RangeInclusive<u64>, default_number: u64) -> u64 {
        if self.is_there() { self.number(bounds).unwrap_or(default_number) } else { default_number }
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
