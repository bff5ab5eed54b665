//! A controller's data directory: its identity, its votes and the document's versions.
//!
//! Each vote and each version is a file of its own, as are a few notes (see `file_names`). A file holds the
//! SHA-256 digest of its payload in hexadecimal, a line feed, and the payload. It is written under a
//! temporary name, synced and renamed, and then the directory is synced; so a crash at any moment leaves
//! either the former state or the new one, and a write that has returned survives a power cut.
//!
//! # Damage
//!
//! A file whose digest does not match is kept under another name for inspection, and what its loss
//! forbids is recorded before (see `recovery`): after the loss of a vote the node does not vote again in
//! that term, and after the loss of the newest version it does not vote until it has a version at
//! least as new. What a node has once acknowledged is thus never taken back unnoticed.

mod directory;
mod error;
mod fault_hook;
mod file_names;
mod recovery;

pub use directory::DataDirectory;
pub use error::DataDirectoryError;
pub use fault_hook::{DiskFaultHook, NoFaults};
pub use recovery::{LoadedState, force_single_voter};
