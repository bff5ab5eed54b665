//! What happens in a simulated fleet.

use super::daemon::Back;
use super::network::Node;
use super::platform::Asker;
use super::runners::SimRun;
use super::script::Action;
use common::clock::Moment;
use common::frames::{CoreFrame, Heartbeat, HopBody, Place, StreamDown, StreamUp};
use common::identity::{
    FunctionKey, GrantSerial, LifeName, RunnerId, Ticket, TransactionId, WorkerName, Zone,
};
use common::spec::FunctionSpec;
use common::tongue::{BeginEnd, ListedRunner, ListedWorker, StopOrder};
use controlplane::controller_state::{Operation, OperationReply, OperationTicket};
use controlplane::core::{WriteJob, WriteResult};
use dataplane::agent::{PassEnd, Topic};
use dataplane::holder::{HolderMessage, SendEnd};

pub(super) enum Event {
    Tick(Node, u64),
    Poll(Node, u64),
    CoreFrame(Node, CoreFrame),
    ControllerGone(Node, Place),
    Durable(Node, u64, WriteJob),
    Written(Node, u64, Ticket, WriteResult),
    Lists(Node, u64, Vec<ListedWorker>, Moment, Vec<ListedRunner>),
    Dialed(u64),
    LinkUp(u64, StreamUp),
    LinkDown(u64, StreamDown),
    LinkLost(u64, Node),
    Beat(Node, Heartbeat),
    Look(Node, u64, u64, u64),
    AcquireTimedOut(Node, u64, u64),
    Hop(Node, u64, Back, HopBody),
    Passed(Node, u64, u64, PassEnd, u8),
    Word(Node, u64, FunctionKey, GrantSerial, HolderMessage),
    Gone(Node, u64),
    Start(Asker, FunctionKey, RunnerId, WorkerName, FunctionSpec),
    Started(Asker, FunctionKey, RunnerId, BeginEnd),
    Stop(Asker, FunctionKey, RunnerId, Option<LifeName>),
    Stopped(Asker, FunctionKey, RunnerId),
    LeaderStop(Asker, StopOrder),
    LeaderStopped(Asker, RunnerId),
    Probed(Asker, FunctionKey, RunnerId, bool),
    Settled(Asker, FunctionKey, RunnerId, Option<Vec<TransactionId>>),
    Run(Place, SimRun),
    RunDone(RunnerId, SimRun, u8),
    SendEnded(Asker, FunctionKey, Ticket, GrantSerial, SendEnd),
    StewardAsked(Node, Asker, u64, FunctionKey, GrantSerial, Topic, HopBody),
    StewardSaid(Asker, u64, FunctionKey, GrantSerial, Topic, Option<HopBody>),
    Operate(Node, OperationTicket, Operation),
    Withdraw(Node, OperationTicket),
    HangUp(OperationTicket),
    SendAgain(u64),
    ReadBack,
    Operated(OperationTicket, OperationReply),
    ListTick,
    Call,
    CallAgain(TransactionId, &'static str),
    Repeat(String),
    Change,
    Fault,
    Act(Action),
    Return(Node),
    Mend,
    Wake(Node),
    Behave,
    RestoreWorkers,
    RunnerLeft(RunnerId),
    WorkersReturn(Vec<ListedWorker>),
    Restore(Zone),
    Heal,
}

impl Event {
    /// Whether it comes on an operator's connection.
    pub(super) fn is_from_operator(&self) -> bool {
        matches!(self, Self::Operate(..) | Self::Withdraw(..))
    }

    /// A number for its kind, which stays the same when the kind is renamed.
    pub(super) fn kind_number(&self) -> u8 {
        match self {
            Self::Tick(..) => 1,
            Self::Poll(..) => 2,
            Self::CoreFrame(..) => 3,
            Self::ControllerGone(..) => 4,
            Self::Durable(..) => 5,
            Self::Written(..) => 6,
            Self::Lists(..) => 7,
            Self::Dialed(..) => 8,
            Self::LinkUp(..) => 9,
            Self::LinkDown(..) => 10,
            Self::LinkLost(..) => 11,
            Self::Beat(..) => 12,
            Self::Look(..) => 13,
            Self::AcquireTimedOut(..) => 14,
            Self::Hop(..) => 15,
            Self::Passed(..) => 16,
            Self::Word(..) => 17,
            Self::Gone(..) => 18,
            Self::Start(..) => 19,
            Self::Started(..) => 20,
            Self::Stop(..) => 21,
            Self::Stopped(..) => 22,
            Self::LeaderStop(..) => 23,
            Self::LeaderStopped(..) => 24,
            Self::Probed(..) => 25,
            Self::Settled(..) => 26,
            Self::Run(..) => 27,
            Self::RunDone(..) => 28,
            Self::SendEnded(..) => 29,
            Self::StewardAsked(..) => 30,
            Self::StewardSaid(..) => 31,
            Self::Operate(..) => 32,
            Self::Withdraw(..) => 33,
            Self::HangUp(..) => 34,
            Self::SendAgain(..) => 35,
            Self::ReadBack => 36,
            Self::Operated(..) => 37,
            Self::ListTick => 38,
            Self::Call => 39,
            Self::CallAgain(..) => 40,
            Self::Repeat(..) => 41,
            Self::Change => 42,
            Self::Fault => 43,
            Self::Act(..) => 44,
            Self::Return(..) => 45,
            Self::Mend => 46,
            Self::Wake(..) => 47,
            Self::Behave => 48,
            Self::RestoreWorkers => 49,
            Self::RunnerLeft(..) => 50,
            Self::WorkersReturn(..) => 51,
            Self::Restore(..) => 52,
            Self::Heal => 53,
        }
    }

    /// The node whose process must be awake for it, and in which life if that matters.
    pub(super) fn target(&self) -> Option<(Node, Option<u64>)> {
        match self {
            Self::Tick(node, life)
            | Self::Poll(node, life)
            | Self::Written(node, life, ..)
            | Self::Lists(node, life, ..)
            | Self::Look(node, life, ..)
            | Self::AcquireTimedOut(node, life, _)
            | Self::Hop(node, life, ..)
            | Self::Word(node, life, ..)
            | Self::Gone(node, life)
            | Self::Passed(node, life, ..) => Some((*node, Some(*life))),
            Self::Started(asker, ..)
            | Self::Stopped(asker, ..)
            | Self::LeaderStopped(asker, _)
            | Self::Probed(asker, ..)
            | Self::Settled(asker, ..)
            | Self::StewardSaid(asker, ..)
            | Self::SendEnded(asker, ..) => Some((asker.node, Some(asker.life))),
            Self::CoreFrame(node, _)
            | Self::ControllerGone(node, _)
            | Self::Beat(node, _)
            | Self::StewardAsked(node, ..)
            | Self::Operate(node, ..)
            | Self::Withdraw(node, _) => Some((*node, None)),
            _ => None,
        }
    }
}
