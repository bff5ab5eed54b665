use common::adapter::StopOrder;
use common::events::Event;
use common::frames::LeaderToDaemon;
use common::identity::{MemberName, Version};
use serde_json::Value;

/// Names one daemon's stream in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StreamId(pub u64);

/// Something operators are told.
#[derive(Clone, Debug)]
pub struct EventRecord {
    /// The kind.
    pub event: Event,
    /// The particulars.
    pub detail: Value,
}

impl PartialEq for EventRecord {
    fn eq(&self, other: &Self) -> bool {
        self.event == other.event && self.detail == other.detail
    }
}

/// What the leader state orders.
#[derive(Clone, Debug)]
pub enum LeaderOutput {
    /// Say something on a daemon's stream.
    FrameToDaemon {
        /// The stream.
        stream: StreamId,
        /// What to say.
        frame: LeaderToDaemon,
    },
    /// Ask the platform for its lists at once.
    RequestLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Tell operators.
    EventRecord(EventRecord),
    /// A version came one step further at one daemon.
    VersionProgress {
        /// The version.
        version: Version,
        /// The daemon.
        member: MemberName,
        /// The step.
        step: TraceStep,
    },
}

/// A step of a version at one daemon.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TraceStep {
    /// It was pushed down the daemon's stream.
    Pushed,
    /// The daemon said that it installed it.
    Installed,
}
