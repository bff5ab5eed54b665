//! The spec that operators write: a catalogue of functions, and routes to them.

mod applied_changes;
mod catalogue_delta;
mod daemon_view;
mod document;
mod document_error;
mod fields;
mod reader;
mod records;
mod routing_table;

pub use applied_changes::{AppliedChanges, ChangeStatus};
pub use daemon_view::DaemonView;
pub use document::{ChangeRecord, Document, ListedMember, Voter};
pub use document_error::DocumentError;
pub use reader::{CallerLimits, FunctionSpec, RouteMatcher, RouteSpec, Spec, read_spec};
use reader::{read_function, read_route};
pub use records::{Record, RecordContent, SpecRecords};
pub use routing_table::{FunctionEntry, RouteEntry, RouteMatch, RoutingTable};
