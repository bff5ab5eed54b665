//! A deterministic simulation: the real state machines of both planes run under virtual time, with a simulated network,
//! platform and disks.
//!
//! [`Simulation`] owns one struct per concern, and the modules depend on each other in one direction:
//!
//! 1. `event_queue`, `number_sequence`, `run_record`, `network`, `links`, `frozen_nodes`, `disk`, `platform`,
//!    `addresses`, `answer_shares` and `active_faults` hold their own state and do not depend on the simulation.
//! 2. `nodes` holds the controllers and daemons, and provides read-only queries on them.
//! 3. `checks`, `recovery` and the history of operators record what they are passed, and read nothing else.
//! 4. `controller`, `daemon`, `connections`, `platform_requests`, `runners`, `calls`, `operator` and `orders`
//!    implement the steps of the simulation that need several of these.
//! 5. `faults` and `script` inject faults, `reply_checks` checks the replies to operators, and `dispatch` passes each
//!    event to its handler.
//!
//! Events carry data types of the upper layers, such as a run or an action, but call none of their functions.

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
