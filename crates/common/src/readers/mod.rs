//! Readers of JSON that name the path of every fault.

mod boot;
mod path;

pub use boot::{BootFault, BootSource, read_listen, read_place, read_places};
pub use path::{FaultList, FaultReason, PathFault, PathReader};
