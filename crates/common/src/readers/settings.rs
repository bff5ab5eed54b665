//! Settings that a process starts with: a file, with flags laid over it.

use super::{PathError, PathErrorList, PathErrorReason, PathReader};
use crate::frames::SocketAddress;
use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Why a process could not take its boot settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not JSON.
    NotJson(PathBuf, serde_json::Error),
    /// A key is wrong.
    InvalidKey(String, PathError),
    /// A folder cannot be written.
    UnwritableFolder(String, PathBuf, std::io::Error),
    /// An address cannot be listened on.
    CannotListen(String, &'static str, SocketAddress, std::io::Error),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file, error) => write!(out, "{}: {error}", file.display()),
            Self::NotJson(file, error) => write!(out, "{}: not JSON: {error}", file.display()),
            Self::InvalidKey(source, error) => write!(out, "{source}: {error}"),
            Self::UnwritableFolder(source, folder, error) => {
                write!(
                    out,
                    "{source}: data cannot be written at {}: {error}",
                    folder.display()
                )
            }
            Self::CannotListen(source, key, address, error) => {
                write!(out, "{source}: {key} cannot listen at {address}: {error}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Boot settings before they are checked: a file's, with flags laid over it.
pub struct SettingsSource {
    name: String,
    value: Value,
}

impl SettingsSource {
    /// Reads the file, if one is named.
    pub fn open(file: Option<&Path>) -> Result<Self, SettingsError> {
        let Some(settings_file) = file else {
            return Ok(Self {
                name: "flags".to_owned(),
                value: Value::Object(Map::new()),
            });
        };
        let file_text = std::fs::read_to_string(settings_file)
            .map_err(|error| SettingsError::Unreadable(settings_file.to_owned(), error))?;
        let value = serde_json::from_str(&file_text)
            .map_err(|error| SettingsError::NotJson(settings_file.to_owned(), error))?;
        Ok(Self {
            name: settings_file.display().to_string(),
            value,
        })
    }

    /// Settings that are already in memory.
    pub fn from_value(name: impl Into<String>, value: Value) -> Self {
        Self {
            name: name.into(),
            value,
        }
    }

    /// Lays a flag over the file's value.
    pub fn set(&mut self, key: &str, flag_value: Option<Value>) {
        if let (Some(given_value), Some(fields)) = (flag_value, self.value.as_object_mut()) {
            fields.insert(key.to_owned(), given_value);
        }
    }

    /// Lays a flag with a text over the file's value.
    pub fn set_text(&mut self, key: &str, flag_text: Option<&str>) {
        self.set(key, flag_text.map(Value::from));
    }

    /// Lays a flag with a list, its items separated by commas, over the file's value.
    pub fn set_list(&mut self, key: &str, flag_text: Option<&str>) {
        self.set(key, flag_text.map(|text| text.split(',').collect()));
    }

    /// The name that faults are reported under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Reads everything, and reports one fault: what is wrong before what is missing.
    pub fn read<T>(
        &self,
        read_settings: impl FnOnce(&PathReader<'_>) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let errors = PathErrorList::default();
        let root_reader = PathReader::new(&self.value, &errors);
        if !self.value.is_object() {
            root_reader.error(PathErrorReason::WrongType("an object"));
        }
        let read_value = read_settings(&root_reader);
        let mut found_errors = errors.into_inner();
        found_errors.sort_by_key(|error| error.reason == PathErrorReason::Missing);
        let first_error = found_errors.into_iter().next();
        match (first_error, read_value) {
            (Some(error), _) => Err(SettingsError::InvalidKey(self.name.clone(), error)),
            (None, Some(value)) => Ok(value),
            (None, None) => Err(SettingsError::InvalidKey(
                self.name.clone(),
                PathError {
                    path: String::new(),
                    reason: PathErrorReason::Missing,
                },
            )),
        }
    }
}

/// Reads an IP number and port.
pub fn read_address(reader: &PathReader<'_>) -> Option<SocketAddress> {
    let address_text = reader.text()?;
    match address_text.parse::<SocketAddrV4>() {
        Ok(address) => Some(SocketAddress(address)),
        Err(_) => {
            reader.error(PathErrorReason::Malformed(format!(
                "is not an IP number with port: {address_text:?}"
            )));
            None
        }
    }
}

/// Reads where a process listens: its place, if nothing else is said. Both are on one IP number.
pub fn read_listen(root: &PathReader<'_>, address: Option<SocketAddress>) -> Option<SocketAddress> {
    let reader = root.field("listen");
    if !reader.is_present() {
        return address;
    }
    let listen = read_address(&reader)?;
    if address.is_some_and(|address| address.0.ip() != listen.0.ip()) {
        reader.error(PathErrorReason::Malformed(
            "is not on the IP number of place".to_owned(),
        ));
        return None;
    }
    Some(listen)
}

/// Reads some addresses.
pub fn read_addresses(
    reader: &PathReader<'_>,
    allowed_count: RangeInclusive<usize>,
) -> Option<Vec<SocketAddress>> {
    if !reader.is_present() {
        reader.error(PathErrorReason::Missing);
        return None;
    }
    let read_items: Vec<SocketAddress> = reader.items().iter().filter_map(read_address).collect();
    if !allowed_count.contains(&read_items.len()) {
        let (min_count, max_count) = allowed_count.into_inner();
        reader.error(PathErrorReason::Malformed(format!(
            "needs {min_count} to {max_count} addresses"
        )));
        return None;
    }
    Some(read_items)
}
