//! The settings that a process starts with: a JSON file, overridden by command-line flags.

use super::{PathError, PathErrorList, PathErrorReason, PathReader, parse_json};
use crate::frames::SocketAddress;
use serde_json::{Map, Value};
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Why a process cannot start with its settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file could not be read.
    #[error("{file}: {1}", file = .0.display())]
    Unreadable(PathBuf, #[source] std::io::Error),
    /// The settings file is not JSON.
    #[error("{file}: not JSON: {1}", file = .0.display())]
    NotJson(PathBuf, #[source] serde_json::Error),
    /// A key of the named source is missing or invalid.
    #[error("{0}: {1}")]
    InvalidKey(String, #[source] PathError),
    /// The data directory in the named source is not writable.
    #[error("{0}: data cannot be written at {folder}: {2}", folder = .1.display())]
    UnwritableFolder(String, PathBuf, #[source] std::io::Error),
    /// The process cannot listen on the address under this key of the named source.
    #[error("{0}: {1} cannot listen at {2}: {3}")]
    CannotListen(
        String,
        &'static str,
        SocketAddress,
        #[source] std::io::Error,
    ),
}

/// Settings that are not checked yet: those of a file, overridden by flags.
pub struct SettingsSource {
    name: String,
    value: Value,
}

impl SettingsSource {
    /// Reads the settings file; without one the settings are empty and their source is named `flags`.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`] or [`SettingsError::NotJson`].
    pub fn open(file: Option<&Path>) -> Result<Self, SettingsError> {
        let Some(settings_file) = file else {
            return Ok(Self {
                name: "flags".to_owned(),
                value: Value::Object(Map::new()),
            });
        };
        let file_text = std::fs::read_to_string(settings_file)
            .map_err(|error| SettingsError::Unreadable(settings_file.to_owned(), error))?;
        let value = parse_json(file_text.as_bytes())
            .map_err(|error| SettingsError::NotJson(settings_file.to_owned(), error))?;
        Ok(Self {
            name: settings_file.display().to_string(),
            value,
        })
    }

    /// Creates a source from settings in memory; errors are reported under `name`.
    pub fn from_value(name: impl Into<String>, value: Value) -> Self {
        Self {
            name: name.into(),
            value,
        }
    }

    /// Overrides a key with a flag's value, if the flag was given.
    pub fn set(&mut self, key: &str, flag_value: Option<Value>) {
        if let (Some(value), Some(fields)) = (flag_value, self.value.as_object_mut()) {
            fields.insert(key.to_owned(), value);
        }
    }

    /// Overrides a key with a flag's text, if the flag was given.
    pub fn set_text(&mut self, key: &str, flag_text: Option<&str>) {
        self.set(key, flag_text.map(Value::from));
    }

    /// Overrides a key with a flag's comma-separated list, if the flag was given.
    pub fn set_list(&mut self, key: &str, flag_text: Option<&str>) {
        self.set(key, flag_text.map(|text| text.split(',').collect()));
    }

    /// Returns the name under which errors are reported: the file's path, or `flags` without a file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Reads the settings.
    ///
    /// # Errors
    /// [`SettingsError::InvalidKey`] with one error: the first invalid value, or else the first missing one.
    pub fn read<T>(
        &self,
        read_settings: impl FnOnce(&PathReader<'_>) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let errors = PathErrorList::default();
        let root_reader = PathReader::new(&self.value, &errors);
        if !self.value.is_object() {
            root_reader.add_error(PathErrorReason::WrongType("an object"));
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

/// Reads an IPv4 address with a port.
pub fn read_address(reader: &PathReader<'_>) -> Option<SocketAddress> {
    let address_text = reader.text()?;
    match address_text.parse::<SocketAddrV4>() {
        Ok(address) => Some(SocketAddress(address)),
        Err(_) => {
            reader.add_error(PathErrorReason::Malformed(format!(
                "is not an IP number with port: {address_text:?}"
            )));
            None
        }
    }
}

/// Reads `listen`, the address that a process listens on if it differs from `address`, at which other processes reach
/// it; `address` is the default. Both must have the same IP address.
pub fn read_listen(root: &PathReader<'_>, address: Option<SocketAddress>) -> Option<SocketAddress> {
    let reader = root.field("listen");
    if !reader.is_present() {
        return address;
    }
    let listen = read_address(&reader)?;
    if address.is_some_and(|address| address.0.ip() != listen.0.ip()) {
        reader.add_error(PathErrorReason::Malformed(
            "is not on the IP number of place".to_owned(),
        ));
        return None;
    }
    Some(listen)
}

/// Reads a required list of addresses, whose length must be in `allowed_count`.
pub fn read_addresses(
    reader: &PathReader<'_>,
    allowed_count: RangeInclusive<usize>,
) -> Option<Vec<SocketAddress>> {
    if !reader.is_present() {
        reader.add_error(PathErrorReason::Missing);
        return None;
    }
    let read_items: Vec<SocketAddress> = reader.items().iter().filter_map(read_address).collect();
    if !allowed_count.contains(&read_items.len()) {
        let (min_count, max_count) = allowed_count.into_inner();
        reader.add_error(PathErrorReason::Malformed(format!(
            "needs {min_count} to {max_count} addresses"
        )));
        return None;
    }
    Some(read_items)
}
