//! What the leader's state hands to the controller.

use super::EventRecord;
use common::adapter::StopOrder;
use common::frames::LeaderToDaemon;
use common::identity::{MemberName, Version};

/// Identifies one member's stream in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StreamId(pub u64);

/// What the leader orders.
#[derive(Clone, Debug)]
pub enum LeaderOutput {
    /// Send a frame to a member.
    FrameToDaemon {
        /// The stream.
        stream: StreamId,
        /// The frame.
        frame: LeaderToDaemon,
    },
    /// Request the lists of workers and runners from the platform at once.
    RequestLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Record an event.
    EventRecord(EventRecord),
    /// A version progressed at one member.
    VersionProgress {
        /// The version.
        version: Version,
        /// The member.
        member: MemberName,
        /// The step.
        step: TraceStep,
    },
}

/// A step of a version at one member.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TraceStep {
    /// It was sent on the member's stream.
    Pushed,
    /// The member reported that it has installed it.
    Installed,
}
