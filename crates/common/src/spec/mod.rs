//! The spec that operators write: a catalogue of functions, and routes to them.

mod document;
mod reader;
mod records;
mod table;
mod taken;

pub use document::{ChangeNote, CoreMember, Document, DocumentFault, RosterMember, View};
pub use reader::{CallerLimits, FunctionSpec, RouteMatch, RouteSpec, Spec, read_spec};
use reader::{read_function, read_route};
pub use records::{Record, RecordContent, SpecRecords};
pub use table::{Found, FunctionEntry, RouteEntry, Table};
pub use taken::{ChangeFate, TakenChanges};
