use common::events::Event;
use common::frames::StreamDown;
use common::identity::{MemberName, Serial};
use common::tongue::StopOrder;
use serde_json::Value;

/// Names one daemon's stream in this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct StreamId(pub u64);

/// Something operators are told.
#[derive(Clone, Debug)]
pub struct Told {
    /// The kind.
    pub event: Event,
    /// The particulars.
    pub detail: Value,
}

impl PartialEq for Told {
    fn eq(&self, other: &Self) -> bool {
        self.event == other.event && self.detail == other.detail
    }
}

/// What the leader state orders.
#[derive(Clone, Debug)]
pub enum LeaderOutput {
    /// Say something on a daemon's stream.
    Down {
        /// The stream.
        stream: StreamId,
        /// What to say.
        frame: StreamDown,
    },
    /// Ask the platform for its lists at once.
    AskLists,
    /// Have the platform stop a runner.
    StopRunner(StopOrder),
    /// Tell operators.
    Told(Told),
    /// A version came one step further at one daemon.
    Step {
        /// The version.
        serial: Serial,
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
