//! Outputs of the leader's state, which the controller executes.

use super::EventRecord;
use common::adapter::StopOrder;
use common::frames::LeaderToDaemon;
use common::identity::{MemberName, Version};

/// Identifies one member's stream in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StreamId(pub u64);

/// An action that the controller performs for the leader.
#[derive(Clone, Debug)]
pub enum LeaderOutput {
    /// Send a frame to a member.
    FrameToDaemon {
        /// The member's stream.
        stream: StreamId,
        /// The frame.
        frame: LeaderToDaemon,
    },
    /// Request the lists of workers and runners from the platform immediately.
    RequestLists,
    /// Order the platform to stop a runner.
    StopRunner(StopOrder),
    /// Record an event.
    EventRecord(EventRecord),
    /// Trace the progress of a version at one member.
    VersionProgress {
        /// The version.
        version: Version,
        /// The member.
        member: MemberName,
        /// The step that was reached.
        step: TraceStep,
    },
}

/// A step in the delivery of a version to one member.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TraceStep {
    /// The version was sent on the member's stream.
    Pushed,
    /// The member reported that it has installed the version.
    Installed,
}
