//! The control task: passes inputs to the daemon's control state machine and executes its outputs.

use super::control_input::{ControlInput, StreamEvent};
use super::frame_batch::WRITE_BATCH_BYTES;
use super::holder_driver;
use super::outcome_waiter::OutcomeWaiter;
use super::state::State;
use crate::agent::{DaemonControl, DaemonControlOutput};
use crate::control_session::ControlSessionTiming;
use common::clock::MonotonicTime;
use common::events::{self, Event};
use common::frames::{
    AcquireResult, Channel, DaemonToLeader, FrameError, Heartbeat, LeaderToDaemon, SocketAddress,
    append_frame, dial, encode_heartbeat, read_frame_in_parts,
};
use common::identity::FunctionKey;
use common::log_event;
use common::rng::SeededRng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::UdpSocket;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};

/// The longest time between two ticks, even if nothing is due.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time to the next tick, unless an input makes one due earlier.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// How long the connection for a stream to a controller may take to be established.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long writing a batch of frames to a stream may take before the stream counts as failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of frames that wait to be written to a stream. If one more is sent, the stream is closed.
const MAX_QUEUED_FRAMES: usize = 8192;
/// Interval between two sweeps that close expired connections to runners.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the control task.
pub(crate) struct ControlTask {
    state: Arc<State>,
    daemon_control: DaemonControl<OutcomeWaiter>,
    /// The requests waiting for an acquisition, by function.
    pending_acquisitions: HashMap<FunctionKey, Vec<oneshot::Sender<AcquireResult>>>,
    current_stream_id: u64,
    stream: Option<mpsc::Sender<DaemonToLeader>>,
    heartbeat_socket: Arc<UdpSocket>,
    sweep_due_at: MonotonicTime,
}

impl ControlTask {
    /// Creates the control task's state before its first input.
    pub(crate) fn new(state: Arc<State>, heartbeat_socket: Arc<UdpSocket>) -> Self {
        let daemon_control = DaemonControl::new(
            MonotonicTime::now(),
            &state.agent,
            ControlSessionTiming::builder().build(),
            state.settings.ingress,
            state.settings.seeds.clone(),
            SeededRng::from_os(),
        )
        .with_heartbeat_interval(state.settings.heartbeat_interval);
        let daemon_control = if state.settings.warm {
            daemon_control.with_warm(MonotonicTime::now())
        } else {
            daemon_control
        };
        let pending_acquisitions = HashMap::new();
        let sweep_due_at = MonotonicTime::now() + SWEEP_INTERVAL;
        Self {
            state,
            daemon_control,
            pending_acquisitions,
            current_stream_id: 0,
            stream: None,
            heartbeat_socket,
            sweep_due_at,
        }
    }

    /// Runs until all input senders are dropped, which in practice is the end of the process. Wakes only when an action
    /// is due or an input arrives.
    pub(crate) async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
        let state = self.state.clone();
        let mut due = MonotonicTime::now();
        loop {
            if MonotonicTime::now() >= due {
                self.tick();
                due = self.next_due();
            }
            state.control_due_at.set(due);
            tokio::select! {
                () = tokio::time::sleep(due.since(MonotonicTime::now())) => {}
                () = state.control_wakeup.notified() => due = due.min(self.next_due()),
                input = inputs.recv() => match input {
                    Some(input) => {
                        self.handle_input(input);
                        due = due.min(self.daemon_control.stream_due());
                    }
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = MonotonicTime::now();
        let outputs = self.daemon_control.tick(&self.state.agent, now);
        self.execute(outputs);
        if now >= self.sweep_due_at {
            self.sweep_due_at = now + SWEEP_INTERVAL;
            self.state.runner_connections.remove_expired();
        }
    }

    fn next_due(&self) -> MonotonicTime {
        let now = MonotonicTime::now();
        self.daemon_control
            .next_due(&self.state.agent)
            .clamp(now + MIN_TICK_INTERVAL, now + MAX_TICK_INTERVAL)
    }

    fn handle_input(&mut self, input: ControlInput) {
        let now = MonotonicTime::now();
        let state = self.state.clone();
        let agent = &state.agent;
        match input {
            ControlInput::Stream { stream_id, event } => {
                if stream_id == self.current_stream_id {
                    self.handle_stream_event(now, event);
                }
            }
            ControlInput::HeartbeatDatagram(heartbeat) => self.handle_heartbeat(now, &heartbeat),
            ControlInput::Acquire(function, reply_sender) => {
                self.request_acquisition(now, function, reply_sender);
            }
            ControlInput::HolderMessage {
                function,
                fencing_token,
                message,
            } => {
                let outputs = self.daemon_control.handle_holder_message(
                    agent,
                    now,
                    function,
                    fencing_token,
                    message,
                );
                self.execute(outputs);
            }
            ControlInput::Seeds(seeds) => self.daemon_control.set_seeds(seeds),
            ControlInput::DesiredFunctionsChanged => {
                self.daemon_control.recheck_warm_functions(now)
            }
            ControlInput::BeginShutdown => {
                let outputs = self.daemon_control.leave(agent, now);
                self.execute(outputs);
            }
            ControlInput::ShutdownFinished => {
                let outputs = self.daemon_control.finish_leaving(agent);
                self.execute(outputs);
            }
        }
    }

    /// Handles an event of the current stream.
    fn handle_stream_event(&mut self, now: MonotonicTime, event: StreamEvent) {
        let state = self.state.clone();
        let agent = &state.agent;
        let outputs = match event {
            StreamEvent::Connected(sender) => {
                self.stream = Some(sender);
                self.daemon_control.handle_connected(agent, now)
            }
            StreamEvent::Disconnected => {
                self.stream = None;
                self.daemon_control.handle_disconnected(agent, now)
            }
            StreamEvent::Received(frame) => self.daemon_control.handle_frame(agent, now, frame),
            StreamEvent::ReceivedPart => {
                self.daemon_control.handle_frame_part(now);
                return;
            }
        };
        self.execute(outputs);
    }

    fn handle_heartbeat(&mut self, now: MonotonicTime, heartbeat: &Heartbeat) {
        if !self.daemon_control.handle_heartbeat(now, heartbeat) {
            log_event!(
                Debug,
                events::HEARTBEAT_IGNORED,
                "from {}",
                heartbeat.member
            );
        }
    }

    /// Requests a function's lease, or its current owner, from the leader for a waiting request. Concurrent requests
    /// for the same function share one acquisition.
    fn request_acquisition(
        &mut self,
        now: MonotonicTime,
        function: FunctionKey,
        reply_sender: oneshot::Sender<AcquireResult>,
    ) {
        let reply_senders = self
            .pending_acquisitions
            .entry(function.clone())
            .or_default();
        reply_senders.push(reply_sender);
        if reply_senders.len() > 1 {
            return;
        }
        self.state.metrics.owners.acquisitions.inc();
        let outputs = self
            .daemon_control
            .request_lease(&self.state.agent, now, function);
        self.execute(outputs);
    }

    fn execute(&mut self, outputs: Vec<DaemonControlOutput<OutcomeWaiter>>) {
        for output in outputs {
            match output {
                DaemonControlOutput::Dial(address) => {
                    self.current_stream_id += 1;
                    self.stream = None;
                    // Detached. The task ends when its frame sender is dropped or the stream fails. Its inputs carry
                    // the stream's number, by which those of an old stream are ignored.
                    tokio::spawn(run_stream(
                        self.state.clone(),
                        self.current_stream_id,
                        address,
                    ));
                }
                DaemonControlOutput::Hangup => {
                    self.current_stream_id += 1;
                    self.stream = None;
                }
                DaemonControlOutput::SendFrame(frame) => self.send_frame(frame),
                DaemonControlOutput::HeartbeatDatagram(heartbeat, addresses) => {
                    self.send_heartbeat(&heartbeat, &addresses);
                }
                DaemonControlOutput::Holder(held, outputs) => {
                    holder_driver::drive(&held, &self.state, outputs);
                }
                DaemonControlOutput::Acquired {
                    function,
                    result,
                    round_trip,
                } => self.handle_acquired(&function, result, round_trip),
                DaemonControlOutput::AcquisitionsLost => self.pending_acquisitions.clear(),
                DaemonControlOutput::Changed => self.state.changes.send_modify(|count| *count += 1),
                DaemonControlOutput::LogEvent(event, detail) => log_control_event(event, &detail),
                DaemonControlOutput::Installed(version) => {
                    self.state.metrics.session.version.set(version.0 as i64);
                }
                DaemonControlOutput::LeaseEnded => self.state.metrics.session.leases_ended.inc(),
            }
        }
    }

    fn send_heartbeat(&self, heartbeat: &Heartbeat, addresses: &[SocketAddress]) {
        if let Ok(datagram) = encode_heartbeat(heartbeat) {
            for address in addresses {
                let _ = self
                    .heartbeat_socket
                    .try_send_to(&datagram, address.to_std());
            }
        }
    }

    fn send_frame(&mut self, frame: DaemonToLeader) {
        let is_sent = self
            .stream
            .as_ref()
            .is_some_and(|stream| stream.try_send(frame).is_ok());
        if !is_sent {
            self.stream = None;
        }
    }

    /// Sends the result of an acquisition to the waiting requests. Without a result their senders are dropped, which
    /// makes each request try again.
    fn handle_acquired(
        &mut self,
        function: &FunctionKey,
        result: Option<AcquireResult>,
        round_trip: Duration,
    ) {
        if result.is_some() && round_trip > Duration::ZERO {
            self.state
                .metrics
                .owners
                .acquire_seconds
                .observe(round_trip.as_secs_f64());
        }
        let reply_senders = self
            .pending_acquisitions
            .remove(function)
            .unwrap_or_default();
        if let Some(result) = result {
            for reply_sender in reply_senders {
                let _ = reply_sender.send(result.clone());
            }
        }
    }
}

fn log_control_event(event: Event, detail: &str) {
    match event {
        events::SPEC_INSTALL_FAILED => log_event!(Error, event, "{detail}"),
        events::SESSION_LEASE_ENDED => log_event!(Warn, event, "{detail}"),
        _ => log_event!(Info, event, "{detail}"),
    }
}

async fn run_stream(state: Arc<State>, stream_id: u64, address: SocketAddress) {
    let result = drive_stream(&state, stream_id, address).await;
    if let Err(error) = result
        && !matches!(error, FrameError::Connection(_))
    {
        state.metrics.rejected_frames.inc();
        log_event!(Warn, events::FRAME_REJECTED, "from {address}: {error}");
    }
    let _ = state.control.send(ControlInput::Stream {
        stream_id,
        event: StreamEvent::Disconnected,
    });
}

async fn drive_stream(
    state: &Arc<State>,
    stream_id: u64,
    address: SocketAddress,
) -> Result<(), FrameError> {
    let own_ip = *state.settings.address.0.ip();
    let stream = dial(own_ip, address, Channel::Stream, DIAL_TIMEOUT).await?;
    let (sender, frames) = mpsc::channel::<DaemonToLeader>(MAX_QUEUED_FRAMES);
    let _ = state.control.send(ControlInput::Stream {
        stream_id,
        event: StreamEvent::Connected(sender),
    });
    let (reading_half, writing_half) = stream.into_split();
    tokio::select! {
        result = read_frames(state, stream_id, reading_half) => result,
        result = write_frames(writing_half, frames) => result,
    }
}

async fn read_frames(
    state: &State,
    stream_id: u64,
    reading_half: OwnedReadHalf,
) -> Result<(), FrameError> {
    let mut reader = BufReader::new(reading_half);
    loop {
        let report_part = || {
            let _ = state.control.send(ControlInput::Stream {
                stream_id,
                event: StreamEvent::ReceivedPart,
            });
        };
        let frame: LeaderToDaemon = read_frame_in_parts(&mut reader, report_part).await?;
        let _ = state.control.send(ControlInput::Stream {
            stream_id,
            event: StreamEvent::Received(frame),
        });
    }
}

async fn write_frames(
    mut writing_half: OwnedWriteHalf,
    mut frames: mpsc::Receiver<DaemonToLeader>,
) -> Result<(), FrameError> {
    let timed_out = || FrameError::Connection(std::io::ErrorKind::TimedOut.into());
    let mut batch = Vec::new();
    while let Some(frame) = frames.recv().await {
        append_frame(&mut batch, &frame)?;
        while batch.len() < WRITE_BATCH_BYTES
            && let Ok(next_frame) = frames.try_recv()
        {
            append_frame(&mut batch, &next_frame)?;
        }
        tokio::time::timeout(WRITE_TIMEOUT, writing_half.write_all(&batch))
            .await
            .map_err(|_| timed_out())??;
        batch.clear();
    }
    Ok(())
}
