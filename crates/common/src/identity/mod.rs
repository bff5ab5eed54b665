//! Newtypes for everything that has a name or a number.

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
