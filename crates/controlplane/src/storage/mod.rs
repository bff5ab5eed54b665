//! The data directory of a controller: its identity, its votes and the versions of the document.
//!
//! Each vote and each version is a separate file, and so are a few records (see `file_names`). A file
//! holds the SHA-256 digest of its payload in hexadecimal, a line feed, and the payload. It is written
//! under a temporary name, synced and renamed, and then the directory is synced. A crash at any time
//! therefore leaves either the old or the new state, and a write that has returned survives a power
//! loss.
//!
//! # Damage
//!
//! A file whose digest does not match is kept under another name for inspection. Before it is renamed,
//! the consequence of its loss is recorded (see `recovery`): after the loss of a vote the node does not
//! vote again in that term, and after the loss of the newest version it does not vote until it has a
//! version at least as new. A node therefore never silently revokes a vote or an acknowledgement.

mod directory;
mod error;
mod fault_hook;
mod file_names;
mod recovery;

pub use directory::DataDirectory;
pub use error::DataDirectoryError;
pub use fault_hook::{DiskFaultHook, NoFaults};
pub use recovery::{LoadedState, force_single_voter};
