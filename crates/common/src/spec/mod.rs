//! The operators' spec, the replicated document that contains it, and the routing table built from it.
//!
//! A spec is a catalogue of functions and the routes to them. Controllers replicate it inside a [`Document`]; daemons
//! receive the [`DaemonView`] of the document, full or as a delta, and build a [`RoutingTable`] from it.
//!
//! The spec is kept as the JSON that the operator wrote, split into one record per function and route
//! ([`SpecRecords`]). Each record is parsed once, into a [`FunctionSpec`] or [`RouteSpec`], and the result is shared
//! between versions.

mod applied_changes;
mod catalogue_delta;
mod content;
mod daemon_view;
mod document;
mod document_error;
mod fields;
mod reader;
mod records;
mod route_reader;
mod routing_table;

pub use applied_changes::{AppliedChanges, ChangeStatus};
pub use content::{CallerLimits, FunctionSpec, RouteMatcher, RouteSpec, Spec};
pub use daemon_view::DaemonView;
pub use document::{ChangeRecord, Document, ListedMember, Voter};
pub use document_error::DocumentError;
pub use reader::read_spec;
pub use records::{Record, RecordContent, SpecRecords};
pub use routing_table::{FunctionEntry, RouteEntry, RouteMatch, RoutingTable};
