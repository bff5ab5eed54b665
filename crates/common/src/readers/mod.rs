//! Readers of JSON that name the path of every fault.

mod path;
mod settings;

pub use path::{PathError, PathErrorList, PathErrorReason, PathReader};
pub use settings::{SettingsError, SettingsSource, read_address, read_addresses, read_listen};
