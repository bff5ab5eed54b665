//! Settings that a process starts with: a file, with flags laid over it.

use super::{FaultList, FaultReason, PathFault, PathReader};
use crate::frames::Place;
use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Why a process could not take its boot settings.
#[derive(Debug)]
pub enum BootFault {
    /// The file could not be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not JSON.
    NotJson(PathBuf, serde_json::Error),
    /// A key is wrong.
    Key(String, PathFault),
    /// A folder cannot be written.
    Folder(String, PathBuf, std::io::Error),
    /// An address cannot be listened on.
    Listen(String, &'static str, Place, std::io::Error),
}

impl fmt::Display for BootFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file, fault) => write!(out, "{}: {fault}", file.display()),
            Self::NotJson(file, fault) => write!(out, "{}: not JSON: {fault}", file.display()),
            Self::Key(source, fault) => write!(out, "{source}: {fault}"),
            Self::Folder(source, folder, fault) => {
                write!(out, "{source}: data cannot be written at {}: {fault}", folder.display())
            }
            Self::Listen(source, key, place, fault) => {
                write!(out, "{source}: {key} cannot listen at {place}: {fault}")
            }
        }
    }
}

impl std::error::Error for BootFault {}

/// Boot settings before they are checked: a file's, with flags laid over it.
pub struct BootSource {
    name: String,
    value: Value,
}

impl BootSource {
    /// Reads the file, if one is named.
    pub fn open(file: Option<&Path>) -> Result<Self, BootFault> {
        let Some(boot_file) = file else {
            return Ok(Self { name: "flags".to_owned(), value: Value::Object(Map::new()) });
        };
        let file_text = std::fs::read_to_string(boot_file)
            .map_err(|fault| BootFault::Unreadable(boot_file.to_owned(), fault))?;
        let value = serde_json::from_str(&file_text)
            .map_err(|fault| BootFault::NotJson(boot_file.to_owned(), fault))?;
        Ok(Self { name: boot_file.display().to_string(), value })
    }

    /// Settings that are already in memory.
    pub fn from_value(name: impl Into<String>, value: Value) -> Self {
        Self { name: name.into(), value }
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
    ) -> Result<T, BootFault> {
        let faults = FaultList::default();
        let root_reader = PathReader::new(&self.value, &faults);
        if !self.value.is_object() {
            root_reader.fault(FaultReason::NotA("an object"));
        }
        let read_value = read_settings(&root_reader);
        let mut found_faults = faults.into_inner();
        found_faults.sort_by_key(|fault| fault.reason == FaultReason::Missing);
        let first_fault = found_faults.into_iter().next();
        match (first_fault, read_value) {
            (Some(fault), _) => Err(BootFault::Key(self.name.clone(), fault)),
            (None, Some(value)) => Ok(value),
            (None, None) => Err(BootFault::Key(
                self.name.clone(),
                PathFault { path: String::new(), reason: FaultReason::Missing },
            )),
        }
    }
}

/// Reads an IP number and port.
pub fn read_place(reader: &PathReader<'_>) -> Option<Place> {
    let place_text = reader.text()?;
    match place_text.parse::<SocketAddrV4>() {
        Ok(address) => Some(Place(address)),
        Err(_) => {
            reader
                .fault(FaultReason::Form(format!("is not an IP number with port: {place_text:?}")));
            None
        }
    }
}

/// Reads where a process listens: its place, if nothing else is said. Both are on one IP number.
pub fn read_listen(root: &PathReader<'_>, place: Option<Place>) -> Option<Place> {
    let reader = root.field("listen");
    if !reader.is_there() {
        return place;
    }
    let listen = read_place(&reader)?;
    if place.is_some_and(|place| place.0.ip() != listen.0.ip()) {
        reader.fault(FaultReason::Form("is not on the IP number of place".to_owned()));
        return None;
    }
    Some(listen)
}

/// Reads some addresses.
pub fn read_places(
    reader: &PathReader<'_>,
    fitting_count: RangeInclusive<usize>,
) -> Option<Vec<Place>> {
    if !reader.is_there() {
        reader.fault(FaultReason::Missing);
        return None;
    }
    let read_items: Vec<Place> = reader.items().iter().filter_map(read_place).collect();
    if !fitting_count.contains(&read_items.len()) {
        let (fewest, most) = fitting_count.into_inner();
        reader.fault(FaultReason::Form(format!("needs {fewest} to {most} addresses")));
        return None;
    }
    Some(read_items)
}
