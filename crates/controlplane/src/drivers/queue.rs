//! The controller's input queue. It has two lanes: inputs that leadership depends on never wait behind daemons'
//! frames, the platform's lists and operators' requests.

use crate::controller_state::ControllerInput;
use common::clock::MonotonicTime;
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc;

const LEADERSHIP_CAPACITY: usize = 4_096;
const ORDINARY_CAPACITY: usize = 16_384;

/// The kinds of input that are measured separately.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InputKind {
    /// Time passes.
    Tick,
    /// Another controller's frame, or the end of its process.
    Quorum,
    /// A disk write has ended.
    Disk,
    /// A daemon's frame, or the end of its stream.
    Daemon,
    /// A list of the platform's, or its confirmation of a stop.
    Platform,
    /// An operator's request, or the end of its connection.
    Operator,
    /// Changed seed addresses, or the end of this process.
    Settings,
}

impl InputKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Tick,
        Self::Quorum,
        Self::Disk,
        Self::Daemon,
        Self::Platform,
        Self::Operator,
        Self::Settings,
    ];

    /// The kind of an input.
    pub fn of(input: &ControllerInput) -> Self {
        match input {
            ControllerInput::Tick => Self::Tick,
            ControllerInput::Consensus(_) | ControllerInput::ProcessExited(_) => Self::Quorum,
            ControllerInput::WriteCompleted(..) => Self::Disk,
            ControllerInput::DaemonFrame(..) | ControllerInput::StreamLost(_) => Self::Daemon,
            ControllerInput::Workers(_)
            | ControllerInput::Runners(..)
            | ControllerInput::RunnerStopped(_) => Self::Platform,
            ControllerInput::OperatorRequest(..) | ControllerInput::CallerDisconnected(_) => {
                Self::Operator
            }
            ControllerInput::Seeds(_) | ControllerInput::Stop => Self::Settings,
        }
    }

    /// The kind as a metric's label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Quorum => "quorum",
            Self::Disk => "disk",
            Self::Daemon => "daemon",
            Self::Platform => "platform",
            Self::Operator => "operator",
            Self::Settings => "settings",
        }
    }

    /// Whether leadership depends on inputs of this kind.
    fn is_leadership(self) -> bool {
        matches!(self, Self::Quorum | Self::Disk)
    }
}

impl fmt::Display for InputKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

/// The controller has stopped and takes no more input.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("the controller has stopped")]
pub struct QueueClosedError;

/// An input and when it was queued.
#[derive(Debug)]
pub struct QueuedInput {
    /// The input.
    pub input: ControllerInput,
    /// When it was queued.
    pub queued_at: MonotonicTime,
}

impl QueuedInput {
    /// An input that is queued now.
    pub fn now(input: ControllerInput) -> Self {
        Self {
            input,
            queued_at: MonotonicTime::now(),
        }
    }
}

/// The sending side of the queue.
#[derive(Clone)]
pub struct InputSender {
    leadership: mpsc::Sender<QueuedInput>,
    ordinary: mpsc::Sender<QueuedInput>,
}

impl InputSender {
    fn lane(&self, input: &ControllerInput) -> &mpsc::Sender<QueuedInput> {
        if InputKind::of(input).is_leadership() {
            &self.leadership
        } else {
            &self.ordinary
        }
    }

    /// Queues an input; waits while its lane is full.
    ///
    /// # Errors
    /// The controller has stopped.
    pub async fn send(&self, input: ControllerInput) -> Result<(), QueueClosedError> {
        let lane = self.lane(&input);
        lane.send(QueuedInput::now(input))
            .await
            .map_err(|_| QueueClosedError)
    }

    /// The same from a thread that may block.
    ///
    /// # Errors
    /// The controller has stopped.
    pub fn blocking_send(&self, input: ControllerInput) -> Result<(), QueueClosedError> {
        let lane = self.lane(&input);
        lane.blocking_send(QueuedInput::now(input))
            .map_err(|_| QueueClosedError)
    }

    /// Queues an input if its lane has room; false if it had none or the controller has stopped.
    pub fn try_send(&self, input: ControllerInput) -> bool {
        let lane = self.lane(&input);
        lane.try_send(QueuedInput::now(input)).is_ok()
    }

    /// Whether the controller has stopped.
    pub fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }
}

/// Sleeps, and returns at once for a span of zero, which a timer would round up to a millisecond.
async fn sleep_for(span: Duration) {
    if !span.is_zero() {
        tokio::time::sleep(span).await;
    }
}

/// The receiving side of the queue.
pub struct InputQueue {
    leadership: mpsc::Receiver<QueuedInput>,
    ordinary: mpsc::Receiver<QueuedInput>,
    last_was_tick: bool,
}

/// A new queue and its sender.
pub fn input_queue() -> (InputSender, InputQueue) {
    let (leadership_sender, leadership) = mpsc::channel(LEADERSHIP_CAPACITY);
    let (ordinary_sender, ordinary) = mpsc::channel(ORDINARY_CAPACITY);
    let sender = InputSender {
        leadership: leadership_sender,
        ordinary: ordinary_sender,
    };
    (
        sender,
        InputQueue {
            leadership,
            ordinary,
            last_was_tick: false,
        },
    )
}

impl InputQueue {
    /// The next input: first those that leadership depends on, then a tick once `idle_timeout` is over, then all
    /// others. Between two ticks one ordinary input is taken if there is any, so that ticks cannot starve them.
    pub async fn next(&mut self, idle_timeout: Duration) -> QueuedInput {
        let tick = || QueuedInput::now(ControllerInput::Tick);
        let next_input = tokio::select! {
            biased;
            Some(queued) = self.leadership.recv() => queued,
            () = sleep_for(idle_timeout), if !self.last_was_tick => tick(),
            Some(queued) = self.ordinary.recv() => queued,
            () = sleep_for(idle_timeout), if self.last_was_tick => tick(),
        };
        self.last_was_tick = matches!(next_input.input, ControllerInput::Tick);
        next_input
    }

    /// Refuses further inputs, and returns those that were queued and not handled.
    pub fn close(&mut self) -> Vec<QueuedInput> {
        self.leadership.close();
        self.ordinary.close();
        let mut left_over = Vec::new();
        while let Ok(queued) = self.leadership.try_recv() {
            left_over.push(queued);
        }
        while let Ok(queued) = self.ordinary.try_recv() {
            left_over.push(queued);
        }
        left_over
    }
}
