//! Newtypes for everything that has a name or a number.

mod function;
mod names;
mod numbers;
mod runner;

pub use function::{FunctionIndex, FunctionKey, FunctionKeyFault};
pub use names::{
    ChangeId, FunctionName, LifeName, Locality, MemberName, TransactionId, Wording, WorkerName,
};
pub use numbers::{
    CorrelationId, GrantSerial, Incarnation, Serial, Stamp, SurveyorId, Term, Ticket,
};
pub use runner::{RunnerId, RunnerIdFault};
