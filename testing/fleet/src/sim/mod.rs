//! The real state machines of both planes under virtual time, with a virtual network, disk and platform.

mod checks;
mod controller;
mod daemon;
mod faults;
mod flaw;
mod network;
mod operator;
mod orders;
mod platform;
mod proofs;
mod runners;
mod world;

pub use checks::{Breach, Checks};
pub use faults::SimFault;
pub use flaw::Flaw;
pub use proofs::{PROOFS, Proof, ProofEnd};
pub use world::{SimEnd, SimPlan, World};
