use super::{State, holder_driver};
use crate::agent::{DaemonControl, DaemonControlOutput};
use crate::control_session::ControlSessionTiming;
use crate::holder::HolderMessage;
use common::clock::MonotonicTime;
use common::events::{self, Event};
use common::frames::{
    AcquireResult, Channel, DaemonToLeader, FrameError, Heartbeat, LeaderToDaemon, RequestOutcome,
    SocketAddress, append_frame, dial, encode_heartbeat, read_frame_in_parts,
};
use common::identity::{FencingToken, FunctionKey};
use common::log_event;
use common::rng::SeededRng;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
const WRITE_BATCH_BYTES: usize = 64 << 10;
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What reaches the control task.
pub enum ControlInput {
    /// The dialed stream is open.
    Connected(u64, mpsc::Sender<DaemonToLeader>),
    /// The stream failed or ended.
    Disconnected(u64),
    /// The leader says something.
    Received(u64, LeaderToDaemon),
    /// A part of what the leader says has come in; the rest is under way.
    Receiving(u64),
    /// A heartbeat came in.
    HeartbeatDatagram(Heartbeat),
    /// A transaction needs a function's owner.
    Acquire(FunctionKey, oneshot::Sender<AcquireResult>),
    /// A holder has something for the leader.
    HolderMessage(FunctionKey, FencingToken, HolderMessage),
    /// Functions may want an owner that did not before.
    DesiredFunctionsChanged,
    /// The seeds have changed.
    Seeds(Vec<SocketAddress>),
    /// The daemon is leaving.
    BeginShutdown,
    /// The daemon has left.
    ShutdownFinished,
}

/// Feeds the controller, and does what it orders.
pub struct Control {
    state: Arc<State>,
    controller: DaemonControl<oneshot::Sender<RequestOutcome>>,
    acquires: HashMap<FunctionKey, Vec<oneshot::Sender<AcquireResult>>>,
    current_stream_id: u64,
    stream: Option<mpsc::Sender<DaemonToLeader>>,
    heartbeat_socket: Arc<UdpSocket>,
    sweep_due_at: MonotonicTime,
}

impl Control {
    /// A control task's state.
    pub fn new(state: Arc<State>, heartbeat_socket: Arc<UdpSocket>) -> Self {
        let controller = DaemonControl::new(
            MonotonicTime::now(),
            &state.agent,
            ControlSessionTiming::builder().build(),
            state.settings.ingress,
            state.settings.seeds.clone(),
            SeededRng::from_os(),
        )
        .with_heartbeat_interval(state.settings.heartbeat_interval);
        let controller = if state.settings.warm {
            controller.with_warm(MonotonicTime::now())
        } else {
            controller
        };
        let acquires = HashMap::new();
        let sweep_due_at = MonotonicTime::now() + SWEEP_INTERVAL;
        Self {
            state,
            controller,
            acquires,
            current_stream_id: 0,
            stream: None,
            heartbeat_socket,
            sweep_due_at,
        }
    }

    /// Runs as long as the process; wakes only when something is due, or comes in.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
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
                        due = due.min(self.controller.stream_due());
                    }
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = MonotonicTime::now();
        let outputs = self.controller.tick(&self.state.agent, now);
        self.execute(outputs);
        if now >= self.sweep_due_at {
            self.sweep_due_at = now + SWEEP_INTERVAL;
            self.state.runner_connections.remove_expired();
        }
    }

    fn next_due(&self) -> MonotonicTime {
        let now = MonotonicTime::now();
        self.controller
            .next_due(&self.state.agent)
            .clamp(now + MIN_TICK_INTERVAL, now + MAX_TICK_INTERVAL)
    }

    fn handle_input(&mut self, input: ControlInput) {
        let now = MonotonicTime::now();
        let state = self.state.clone();
        let agent = &state.agent;
        let outputs = match input {
            ControlInput::Connected(stream_id, sender) if stream_id == self.current_stream_id => {
                self.stream = Some(sender);
                self.controller.connected(agent, now)
            }
            ControlInput::Disconnected(stream_id) if stream_id == self.current_stream_id => {
                self.stream = None;
                self.controller.disconnected(agent, now)
            }
            ControlInput::Received(stream_id, frame) if stream_id == self.current_stream_id => {
                self.controller.received(agent, now, frame)
            }
            ControlInput::Receiving(stream_id) if stream_id == self.current_stream_id => {
                self.controller.frame_part_received(now);
                return;
            }
            ControlInput::Connected(..)
            | ControlInput::Disconnected(_)
            | ControlInput::Receiving(_)
            | ControlInput::Received(..) => return,
            ControlInput::HeartbeatDatagram(heartbeat) => {
                if !self.controller.heartbeat(now, &heartbeat) {
                    log_event!(
                        Debug,
                        events::HEARTBEAT_IGNORED,
                        "from {}",
                        heartbeat.member
                    );
                }
                return;
            }
            ControlInput::Acquire(function, reply_sender) => {
                let reply_senders = self.acquires.entry(function.clone()).or_default();
                reply_senders.push(reply_sender);
                if reply_senders.len() > 1 {
                    return;
                }
                state.gauges.acquires.inc();
                self.controller.acquire(agent, now, function)
            }
            ControlInput::HolderMessage(function, fencing_token, message) => self
                .controller
                .holder_message(agent, now, function, fencing_token, message),
            ControlInput::Seeds(seeds) => {
                self.controller.set_seeds(seeds);
                return;
            }
            ControlInput::DesiredFunctionsChanged => {
                self.controller.recheck_warm_functions(now);
                return;
            }
            ControlInput::BeginShutdown => self.controller.leave(agent, now),
            ControlInput::ShutdownFinished => self.controller.departed(agent),
        };
        self.execute(outputs);
    }

    fn execute(&mut self, outputs: Vec<DaemonControlOutput<oneshot::Sender<RequestOutcome>>>) {
        for output in outputs {
            match output {
                DaemonControlOutput::Dial(address) => {
                    self.current_stream_id += 1;
                    self.stream = None;
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
                    self.heartbeat(&heartbeat, &addresses)
                }
                DaemonControlOutput::Holder(held, outputs) => {
                    holder_driver::drive(&held, &self.state, outputs)
                }
                DaemonControlOutput::Acquired(function, result, round_trip) => {
                    self.acquired(&function, result, round_trip);
                }
                DaemonControlOutput::AcquiresLost => self.acquires.clear(),
                DaemonControlOutput::Changed => self.state.changes.send_modify(|count| *count += 1),
                DaemonControlOutput::LogEvent(event, detail) => log_control_event(event, &detail),
                DaemonControlOutput::Installed(version) => {
                    self.state.gauges.version.set(version.0 as i64);
                }
                DaemonControlOutput::LeaseEnded => self.state.gauges.leases_ended.inc(),
            }
        }
    }

    fn heartbeat(&self, heartbeat: &Heartbeat, addresses: &[SocketAddress]) {
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

    fn acquired(
        &mut self,
        function: &FunctionKey,
        result: Option<AcquireResult>,
        round_trip: Duration,
    ) {
        if result.is_some() && round_trip > Duration::ZERO {
            self.state
                .gauges
                .acquire_seconds
                .observe(round_trip.as_secs_f64());
        }
        let reply_senders = self.acquires.remove(function).unwrap_or_default();
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
    let ended = drive_stream(&state, stream_id, address).await;
    if let Err(error) = ended
        && !matches!(error, FrameError::Connection(_))
    {
        state.gauges.rejected_frames.inc();
        log_event!(Warn, events::FRAME_REJECTED, "from {address}: {error}");
    }
    let _ = state.control.send(ControlInput::Disconnected(stream_id));
}

async fn drive_stream(
    state: &Arc<State>,
    stream_id: u64,
    address: SocketAddress,
) -> Result<(), FrameError> {
    let own_ip = *state.settings.address.0.ip();
    let timed_out = || FrameError::Connection(std::io::ErrorKind::TimedOut.into());
    let stream = dial(own_ip, address, Channel::Stream, Duration::from_millis(600)).await?;
    let (sender, mut frames) = mpsc::channel::<DaemonToLeader>(8192);
    let _ = state
        .control
        .send(ControlInput::Connected(stream_id, sender));
    let (reading_half, mut writing_half) = stream.into_split();
    let mut reader = BufReader::new(reading_half);
    let reading = async {
        loop {
            let report_receiving = || {
                let _ = state.control.send(ControlInput::Receiving(stream_id));
            };
            let frame: LeaderToDaemon = read_frame_in_parts(&mut reader, report_receiving).await?;
            let _ = state.control.send(ControlInput::Received(stream_id, frame));
        }
    };
    let writing = async {
        let mut sent_bytes = Vec::new();
        while let Some(frame) = frames.recv().await {
            append_frame(&mut sent_bytes, &frame)?;
            while sent_bytes.len() < WRITE_BATCH_BYTES
                && let Ok(next_frame) = frames.try_recv()
            {
                append_frame(&mut sent_bytes, &next_frame)?;
            }
            tokio::time::timeout(Duration::from_secs(2), writing_half.write_all(&sent_bytes))
                .await
                .map_err(|_| timed_out())??;
            sent_bytes.clear();
        }
        Ok(())
    };
    tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    }
}
