//! Newtypes for everything that has a name or a number.

mod function;
mod names;
mod numbers;
mod runner;

pub use function::{FunctionIndex, FunctionKey, FunctionKeyFault};
pub use names::{
    ChangeId, FunctionName, LifeName, MemberName, Region, TransactionId, Wording, WorkerName, Zone,
};
pub use numbers::{
    ControllerId, CorrelationId, GrantSerial, Incarnation, Serial, Stamp, Term, Ticket,
};
pub use runner::{RunnerId, RunnerIdFault};
