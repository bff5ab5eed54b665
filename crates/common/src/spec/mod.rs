//! The spec that operators write: a catalogue of functions, and routes to them.

mod catalogue_change;
mod document;
mod document_fault;
mod fields;
mod reader;
mod records;
mod table;
mod taken;
mod view;

pub use document::{ChangeNote, CoreMember, Document, RosterMember};
pub use document_fault::DocumentFault;
pub use reader::{CallerLimits, FunctionSpec, RouteMatch, RouteSpec, Spec, read_spec};
use reader::{read_function, read_route};
pub use records::{Record, RecordContent, SpecRecords};
pub use table::{Found, FunctionEntry, RouteEntry, Table};
pub use taken::{ChangeFate, TakenChanges};
pub use view::View;
