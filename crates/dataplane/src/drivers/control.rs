use super::{State, holding};
use crate::agent::{DaemonControl, DaemonOrder};
use crate::holder::HolderMessage;
use crate::liaison::LiaisonTiming;
use common::chance::Chance;
use common::clock::Moment;
use common::events::{self, Event};
use common::frames::{
    AcquireResult, Channel, FrameFault, Heartbeat, HopOutcome, Place, StreamDown, StreamUp,
    append_frame, dial, encode_heartbeat, read_frame_in_parts,
};
use common::identity::{FunctionKey, GrantSerial};
use common::note;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

const LONGEST_REST: Duration = Duration::from_millis(100);
const SHORTEST_REST: Duration = Duration::from_millis(5);
const SENT_AT_ONCE: usize = 64 << 10;
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// What reaches the control task.
pub enum ControlInput {
    /// The dialed stream is open.
    Connected(u64, mpsc::Sender<StreamUp>),
    /// The stream failed or ended.
    Disconnected(u64),
    /// The leader says something.
    Down(u64, StreamDown),
    /// A part of what the leader says has come in; the rest is under way.
    Receiving(u64),
    /// A heartbeat came in.
    Beat(Heartbeat),
    /// A transaction needs a function's owner.
    Acquire(FunctionKey, oneshot::Sender<AcquireResult>),
    /// A holder has something for the leader.
    Word(FunctionKey, GrantSerial, HolderMessage),
    /// Functions may want an owner that did not before.
    WishesChanged,
    /// The seeds have changed.
    Seeds(Vec<Place>),
    /// The daemon is leaving.
    Leave,
    /// The daemon has left.
    Left,
}

/// Feeds the controller, and does what it orders.
pub struct Control {
    state: Arc<State>,
    controller: DaemonControl<oneshot::Sender<HopOutcome>>,
    acquires: HashMap<FunctionKey, Vec<oneshot::Sender<AcquireResult>>>,
    stream_number: u64,
    stream: Option<mpsc::Sender<StreamUp>>,
    beats: Arc<UdpSocket>,
    sweep_at: Moment,
}

impl Control {
    /// A control task's state.
    pub fn new(state: Arc<State>, beats: Arc<UdpSocket>) -> Self {
        let controller = DaemonControl::new(
            Moment::now(),
            &state.agent,
            LiaisonTiming::builder().build(),
            state.boot.door,
            state.boot.seeds.clone(),
            Chance::from_os(),
        )
        .with_beat(state.boot.beat_every);
        let controller =
            if state.boot.warm { controller.with_warm(Moment::now()) } else { controller };
        let acquires = HashMap::new();
        let sweep_at = Moment::now() + SWEEP_EVERY;
        Self { state, controller, acquires, stream_number: 0, stream: None, beats, sweep_at }
    }

    /// Runs as long as the process; wakes only when something is due, or comes in.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<ControlInput>) {
        let state = self.state.clone();
        let mut due = Moment::now();
        loop {
            if Moment::now() >= due {
                self.tick();
                due = self.next_due();
            }
            state.control_due.set(due);
            tokio::select! {
                () = tokio::time::sleep(due.since(Moment::now())) => {}
                () = state.rush.notified() => due = due.min(self.next_due()),
                input = inbox.recv() => match input {
                    Some(input) => {
                        self.take(input);
                        due = due.min(self.controller.stream_due());
                    }
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = Moment::now();
        let orders = self.controller.tick(&self.state.agent, now);
        self.obey(orders);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_EVERY;
            self.state.runner_links.sweep();
        }
    }

    fn next_due(&self) -> Moment {
        let now = Moment::now();
        self.controller.next_due(&self.state.agent).clamp(now + SHORTEST_REST, now + LONGEST_REST)
    }

    fn take(&mut self, input: ControlInput) {
        let now = Moment::now();
        let state = self.state.clone();
        let agent = &state.agent;
        let orders = match input {
            ControlInput::Connected(number, sender) if number == self.stream_number => {
                self.stream = Some(sender);
                self.controller.connected(agent, now)
            }
            ControlInput::Disconnected(number) if number == self.stream_number => {
                self.stream = None;
                self.controller.disconnected(agent, now)
            }
            ControlInput::Down(number, frame) if number == self.stream_number => {
                self.controller.heard(agent, now, frame)
            }
            ControlInput::Receiving(number) if number == self.stream_number => {
                self.controller.receiving(now);
                return;
            }
            ControlInput::Connected(..)
            | ControlInput::Disconnected(_)
            | ControlInput::Receiving(_)
            | ControlInput::Down(..) => return,
            ControlInput::Beat(heartbeat) => {
                if !self.controller.beat(now, &heartbeat) {
                    note!(Debug, events::HEARTBEAT_IGNORED, "from {}", heartbeat.member);
                }
                return;
            }
            ControlInput::Acquire(function, waiter) => {
                let waiters = self.acquires.entry(function.clone()).or_default();
                waiters.push(waiter);
                if waiters.len() > 1 {
                    return;
                }
                state.gauges.acquires.inc();
                self.controller.acquire(agent, now, function)
            }
            ControlInput::Word(function, grant, word) => {
                self.controller.told(agent, now, function, grant, word)
            }
            ControlInput::Seeds(seeds) => {
                self.controller.set_seeds(seeds);
                return;
            }
            ControlInput::WishesChanged => {
                self.controller.warm_changed(now);
                return;
            }
            ControlInput::Leave => self.controller.leave(agent, now),
            ControlInput::Left => self.controller.left(agent),
        };
        self.obey(orders);
    }

    fn obey(&mut self, orders: Vec<DaemonOrder<oneshot::Sender<HopOutcome>>>) {
        for order in orders {
            match order {
                DaemonOrder::Dial(place) => {
                    self.stream_number += 1;
                    self.stream = None;
                    tokio::spawn(keep_stream(self.state.clone(), self.stream_number, place));
                }
                DaemonOrder::Hangup => {
                    self.stream_number += 1;
                    self.stream = None;
                }
                DaemonOrder::Say(frame) => self.say(frame),
                DaemonOrder::Beat(heartbeat, places) => self.beat(&heartbeat, &places),
                DaemonOrder::Holder(held, outputs) => holding::drive(&held, &self.state, outputs),
                DaemonOrder::Acquired(function, result, round_trip) => {
                    self.acquired(&function, result, round_trip);
                }
                DaemonOrder::AcquiresLost => self.acquires.clear(),
                DaemonOrder::Changed => self.state.changes.send_modify(|count| *count += 1),
                DaemonOrder::Tell(event, detail) => tell(event, &detail),
                DaemonOrder::Installed(serial) => {
                    self.state.gauges.serial.set(serial.0 as i64);
                }
                DaemonOrder::GrantEnded => self.state.gauges.grants_ended.inc(),
            }
        }
    }

    fn beat(&self, heartbeat: &Heartbeat, places: &[Place]) {
        if let Ok(datagram) = encode_heartbeat(heartbeat) {
            for place in places {
                let _ = self.beats.try_send_to(&datagram, place.address());
            }
        }
    }

    fn say(&mut self, frame: StreamUp) {
        let is_sent = self.stream.as_ref().is_some_and(|stream| stream.try_send(frame).is_ok());
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
            self.state.gauges.acquire_seconds.observe(round_trip.as_secs_f64());
        }
        let waiters = self.acquires.remove(function).unwrap_or_default();
        if let Some(result) = result {
            for waiter in waiters {
                let _ = waiter.send(result.clone());
            }
        }
    }
}

fn tell(event: Event, detail: &str) {
    match event {
        events::SPEC_FAILED => note!(Error, event, "{detail}"),
        events::GRANT_ENDED => note!(Warn, event, "{detail}"),
        _ => note!(Info, event, "{detail}"),
    }
}

async fn keep_stream(state: Arc<State>, number: u64, place: Place) {
    let ended = use_stream(&state, number, place).await;
    if let Err(fault) = ended
        && !matches!(fault, FrameFault::Connection(_))
    {
        state.gauges.rejected_frames.inc();
        note!(Warn, events::FRAME_REJECTED, "from {place}: {fault}");
    }
    let _ = state.control.send(ControlInput::Disconnected(number));
}

async fn use_stream(state: &Arc<State>, number: u64, place: Place) -> Result<(), FrameFault> {
    let own_ip = *state.boot.place.0.ip();
    let timed_out = || FrameFault::Connection(std::io::ErrorKind::TimedOut.into());
    let stream = dial(own_ip, place, Channel::Stream, Duration::from_millis(600)).await?;
    let (sender, mut frames) = mpsc::channel::<StreamUp>(8192);
    let _ = state.control.send(ControlInput::Connected(number, sender));
    let (reading_half, mut writing_half) = stream.into_split();
    let mut reader = BufReader::new(reading_half);
    let reading = async {
        loop {
            let note_part = || {
                let _ = state.control.send(ControlInput::Receiving(number));
            };
            let frame: StreamDown = read_frame_in_parts(&mut reader, note_part).await?;
            let _ = state.control.send(ControlInput::Down(number, frame));
        }
    };
    let writing = async {
        let mut sent_bytes = Vec::new();
        while let Some(frame) = frames.recv().await {
            append_frame(&mut sent_bytes, &frame)?;
            while sent_bytes.len() < SENT_AT_ONCE
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
