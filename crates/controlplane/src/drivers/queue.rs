//! The controller's input queue. It has two lanes, so that inputs on which leadership depends never wait behind
//! daemons' frames, the platform's lists and operators' requests.

use crate::controller_state::ControllerInput;
use common::clock::MonotonicTime;
use std::fmt;
use std::time::Duration;
use tokio::sync::mpsc;

/// The maximum number of queued inputs on which leadership depends.
const LEADERSHIP_CAPACITY: usize = 4_096;
/// The maximum number of other queued inputs.
const ORDINARY_CAPACITY: usize = 16_384;

/// The kinds of inputs, for which metrics are recorded separately.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InputKind {
    /// A timer expired.
    Tick,
    /// A frame from another controller, or the exit of its process.
    Quorum,
    /// A disk write has completed.
    Disk,
    /// A frame from a daemon, or the end of its stream.
    Daemon,
    /// A list from the platform, or its confirmation that a runner has stopped.
    Platform,
    /// An operator's request, or the operator's disconnection.
    Operator,
    /// New seed addresses, or the shutdown of this process.
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

    /// Returns the kind of an input.
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

    /// Returns the kind as the label value of a metric.
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
    fn affects_leadership(self) -> bool {
        matches!(self, Self::Quorum | Self::Disk)
    }
}

impl fmt::Display for InputKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

/// The controller has stopped and accepts no more inputs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("the controller has stopped")]
pub struct QueueClosedError;

/// An input and the time at which it was queued.
#[derive(Debug)]
pub struct QueuedInput {
    /// The input.
    pub input: ControllerInput,
    /// The time at which it was queued.
    pub queued_at: MonotonicTime,
}

impl QueuedInput {
    /// Returns the input with the current time.
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
        if InputKind::of(input).affects_leadership() {
            &self.leadership
        } else {
            &self.ordinary
        }
    }

    /// Queues an input. Waits while its lane is full.
    ///
    /// # Errors
    /// Returns an error if the controller has stopped.
    pub async fn send(&self, input: ControllerInput) -> Result<(), QueueClosedError> {
        let lane = self.lane(&input);
        lane.send(QueuedInput::now(input))
            .await
            .map_err(|_| QueueClosedError)
    }

    /// Queues an input from a thread that may block. Blocks while the input's lane is full.
    ///
    /// # Errors
    /// Returns an error if the controller has stopped.
    pub fn blocking_send(&self, input: ControllerInput) -> Result<(), QueueClosedError> {
        let lane = self.lane(&input);
        lane.blocking_send(QueuedInput::now(input))
            .map_err(|_| QueueClosedError)
    }

    /// Queues an input unless its lane is full. Returns false if the lane is full or the controller has stopped.
    pub fn try_send(&self, input: ControllerInput) -> bool {
        let lane = self.lane(&input);
        lane.try_send(QueuedInput::now(input)).is_ok()
    }

    /// Whether the controller has stopped.
    pub fn is_closed(&self) -> bool {
        self.ordinary.is_closed()
    }
}

/// Sleeps for a duration. Returns immediately if it is zero, which a timer would round up to a millisecond.
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

/// Creates a queue and its sender.
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
    /// Returns the next input. Inputs on which leadership depends come first, then a tick if `idle_timeout` has
    /// elapsed, then the ordinary inputs. An ordinary input has priority over a tick that directly follows another
    /// tick, so that ticks cannot starve ordinary inputs.
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

    /// Rejects further inputs, and returns the queued inputs that have not been handled.
    pub fn close(&mut self) -> Vec<QueuedInput> {
        self.leadership.close();
        self.ordinary.close();
        let mut unhandled_inputs = Vec::new();
        while let Ok(queued) = self.leadership.try_recv() {
            unhandled_inputs.push(queued);
        }
        while let Ok(queued) = self.ordinary.try_recv() {
            unhandled_inputs.push(queued);
        }
        unhandled_inputs
    }
}
