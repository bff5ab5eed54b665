//! Newtypes for everything that has a name or a number.
//!
//! Each is its own type so that a function cannot be called with a member's name where a worker's is meant. All have a
//! binary form for frames; names are cheap to clone.

mod function;
mod names;
mod numbers;
mod runner;

pub use function::{FunctionIndex, FunctionKey, FunctionKeyError};
pub use names::{
    ChangeId, FunctionName, IdempotencyKey, InstanceId, MemberName, Region, ShortString,
    WorkerName, Zone,
};
pub use numbers::{
    ControllerId, CorrelationId, DocumentVersion, FencingToken, Incarnation, Term, Ticket, Version,
};
pub use runner::{RunnerId, RunnerIdError};
