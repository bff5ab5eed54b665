//! The real state machines of both planes under virtual time, with a virtual network, disk and platform.
//!
//! [`Simulation`] owns one struct for each concern, and the modules depend on each other in one direction:
//!
//! 1. `event_queue`, `number_sequence`, `run_record`, `network`, `links`, `frozen_nodes`, `disk`, `platform`,
//!    `addresses`, `answer_shares` and `active_faults` hold their own state and know nothing of the simulation.
//! 2. `nodes` holds the controllers and daemons, and answers questions about them without changing anything.
//! 3. `checks`, `recovery` and the history of operators record what they are told, and read nothing else.
//! 4. `controller`, `daemon`, `connections`, `platform_requests`, `runners`, `calls`, `operator` and `orders` are the
//!    steps of the simulation that need several of these at once.
//! 5. `faults` and `script` disturb the fleet, `reply_checks` compares what operators are told, and `dispatch` hands each
//!    event to its step.
//!
//! Events name the data of the upper layers that they carry, such as a run or an action; they call none of them.

mod active_faults;
mod addresses;
mod answer_shares;
mod bootstrap;
mod calls;
mod checks;
mod connections;
mod controller;
mod daemon;
mod detection_cases;
mod digest;
mod disk;
mod dispatch;
mod event;
mod event_queue;
mod faults;
mod flaw;
mod frozen_nodes;
mod links;
mod network;
mod nodes;
mod number_sequence;
mod operator;
mod order_generator;
mod orders;
mod plan;
mod platform;
mod platform_requests;
mod recovery;
mod reply_checks;
mod run_record;
mod runners;
mod scenario;
mod script;
mod simulation;

pub use checks::{SafetyChecks, SafetyViolation};
pub use detection_cases::{DETECTION_CASES, DetectionCase, DetectionResult};
pub use digest::RunDigest;
pub use faults::SimFault;
pub use flaw::Flaw;
pub use plan::{SimPlan, SimResult};
pub use recovery::{RecoveryTimes, SINGLE_LOSSES, SingleLoss, Spread};
pub use scenario::{
    QuorumSize, Repair, SCENARIO_DETECTION_CASES, SEEDS_TO_FIND, Scenario, ScenarioDetectionCase,
    SecondLossCase,
};
pub use script::{Action, Direction, Loss, SecondLoss, Target};
pub use simulation::Simulation;
