//! Newtypes for names, identities and counters.
//!
//! With a separate type for each, the compiler rejects a daemon's name where a worker's is expected. All of them except
//! [`FunctionIndex`] have a binary form for frames. Names are cheap to clone.

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
