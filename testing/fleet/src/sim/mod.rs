//! The real state machines of both planes under virtual time, with a virtual network, disk and platform.

mod active_faults;
mod addresses;
mod answer_shares;
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
mod founding;
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
