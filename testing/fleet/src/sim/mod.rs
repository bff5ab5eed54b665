//! The real state machines of both planes under virtual time, with a virtual network, disk and platform.

mod calls;
mod checks;
mod controller;
mod daemon;
mod digest;
mod dispatch;
mod drawn_orders;
mod event;
mod faults;
mod flaw;
mod founding;
mod links;
mod network;
mod operator;
mod orders;
mod plan;
mod platform;
mod proofs;
mod recovery;
mod runners;
mod scenario;
mod script;
mod statements;
mod world;

pub use checks::{Breach, Checks};
pub use digest::RunDigest;
pub use faults::SimFault;
pub use flaw::Flaw;
pub use plan::{SimEnd, SimPlan};
pub use proofs::{PROOFS, Proof, ProofEnd};
pub use recovery::{RecoveryTimes, SINGLE_LOSSES, SingleLoss, Spread};
pub use scenario::{
    QuorumSize, Repair, SCENARIO_PROOFS, SEEDS_TO_FIND, Scenario, ScenarioProof, SecondLossCase,
};
pub use script::{Action, Direction, Loss, SecondLoss, Target};
pub use world::World;
