//! Readers of JSON that report each error with its path.

mod path;
mod settings;

pub use path::{PathError, PathErrorList, PathErrorReason, PathReader};
pub use settings::{SettingsError, SettingsSource, read_address, read_addresses, read_listen};
