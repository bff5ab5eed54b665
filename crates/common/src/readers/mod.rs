//! Readers of JSON documents and settings that report the path of each error.

mod json;
mod path;
mod settings;

pub use json::parse_json;
pub use path::{PathError, PathErrorList, PathErrorReason, PathReader};
pub use settings::{SettingsError, SettingsSource, read_address, read_addresses, read_listen};
