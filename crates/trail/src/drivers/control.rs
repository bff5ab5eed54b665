use super::state::AcquireWaiters;
use super::{Holding, State};
use crate::holder::Holder;
use crate::liaison::{Liaison, LiaisonOutput, LiaisonTiming};
use crate::watch::Watch;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{
    AcquireResult, Channel, FrameFault, Heartbeat, Host, Place, ReserveResult, StreamDown,
    StreamUp, encode_heartbeat, read_frame, write_channel, write_frame,
};
use waymark::identity::{CorrelationId, FunctionKey, GrantSerial, Serial};
use waymark::note;
use waymark::spec::{DocumentFault, Table, View};

const ASK_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// What reaches the control task.
pub enum ControlInput {
    /// The dialed stream is open.
    Connected(u64, mpsc::Sender<StreamUp>),
    /// The stream failed or ended.
    Disconnected(u64),
    /// The leader says something.
    Down(u64, StreamDown),
    /// A heartbeat came in.
    Beat(Heartbeat),
    /// A transaction needs a function's owner.
    Acquire(FunctionKey),
    /// A holder needs one more runner.
    Reserve(FunctionKey, GrantSerial),
    /// A holder has finished; its grant goes back.
    Released(FunctionKey, GrantSerial),
    /// Say this to the leader if the stream is open.
    Say(StreamUp),
    /// The daemon is leaving.
    Leave,
}

struct Asked {
    function: FunctionKey,
    asked_at: Moment,
}

/// Feeds the liaison and the watch, and publishes what they know.
pub struct Control {
    state: Arc<State>,
    liaison: Liaison,
    watch: Watch,
    view: Option<View>,
    stream_number: u64,
    stream: Option<mpsc::Sender<StreamUp>>,
    acquires: BTreeMap<CorrelationId, Asked>,
    reserves: BTreeMap<CorrelationId, (FunctionKey, GrantSerial)>,
    beats: Arc<UdpSocket>,
    sheds_at: Moment,
}

impl Control {
    /// A control task's state.
    pub fn new(state: Arc<State>, beats: Arc<UdpSocket>) -> Self {
        let own_host = state.own_host.clone();
        let liaison = Liaison::new(
            Moment::now(),
            LiaisonTiming::builder().build(),
            own_host.clone(),
            state.boot.door,
            state.boot.seeds.clone(),
            Chance::from_os(),
        );
        Self {
            state,
            liaison,
            watch: Watch::new(own_host),
            view: None,
            stream_number: 0,
            stream: None,
            acquires: BTreeMap::new(),
            reserves: BTreeMap::new(),
            beats,
            sheds_at: Moment::ZERO,
        }
    }

    /// Runs as long as the process.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<ControlInput>) {
        let mut ticking = tokio::time::interval(Duration::from_millis(20));
        ticking.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                _ = ticking.tick() => self.tick(),
                input = inbox.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = Moment::now();
        let orders = self.liaison.tick(now);
        self.obey(orders);
        if let Some((heartbeat, places)) = self.watch.tick(now)
            && let Ok(datagram) = encode_heartbeat(&heartbeat)
        {
            for place in places {
                let _ = self.beats.try_send_to(&datagram, place.address());
            }
        }
        self.publish_hosts(now);
        self.ask_again(now);
        self.tick_holdings(now);
    }

    fn publish_hosts(&self, now: Moment) {
        let alive_hosts = self.watch.alive(now);
        if **self.state.hosts.load() != alive_hosts {
            self.state.hosts.store(Arc::new(alive_hosts));
        }
    }

    fn ask_again(&mut self, now: Moment) {
        let late_correlations: Vec<CorrelationId> = self
            .acquires
            .iter()
            .filter(|(_, asked)| now.since(asked.asked_at) > ASK_AGAIN_AFTER)
            .map(|(correlation, _)| *correlation)
            .collect();
        for late_correlation in late_correlations {
            let Some(asked) = self.acquires.remove(&late_correlation) else { continue };
            let has_waiters = {
                let mut waiting =
                    self.state.acquires.lock().unwrap_or_else(PoisonError::into_inner);
                let open_count = waiting.get_mut(&asked.function).map_or(0, |waiters| {
                    waiters.retain(|waiter| !waiter.is_closed());
                    waiters.len()
                });
                if open_count == 0 {
                    waiting.remove(&asked.function);
                }
                open_count > 0
            };
            if has_waiters {
                self.ask(asked.function);
            }
        }
    }

    fn ask(&mut self, function: FunctionKey) {
        if !self.liaison.is_welcomed() {
            self.drop_waiters(|waiting| {
                waiting.remove(&function);
            });
            return;
        }
        let correlation = self.liaison.correlation();
        let asked = Asked { function: function.clone(), asked_at: Moment::now() };
        self.acquires.insert(correlation, asked);
        self.say(StreamUp::Acquire { correlation, function });
    }

    fn drop_waiters(&self, drop: impl FnOnce(&mut AcquireWaiters)) {
        drop(&mut self.state.acquires.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn tick_holdings(&mut self, now: Moment) {
        let state = self.state.clone();
        let holdings = state.holdings.load_full();
        let (mut waiting_sum, mut running_sum, mut ready_sum, mut kept_sum) = (0, 0, 0, 0);
        let says_sheds = now.since(self.sheds_at) > Duration::from_secs(1);
        for holding in holdings.values() {
            holding.apply(&state, |holder, now| holder.tick(now));
            let ((waiting, running), (ready, all), sheds) = holding.with(|holder| {
                let sheds = if says_sheds { holder.take_sheds() } else { None };
                (holder.busyness(), holder.runner_counts(), sheds)
            });
            waiting_sum += waiting;
            running_sum += running;
            ready_sum += ready;
            kept_sum += usize::from(all == 1 && waiting + running == 0);
            if let Some((count, reason)) = sheds {
                let function = holding.function.clone();
                self.say(StreamUp::Sheds { function, count, reason });
            }
        }
        if says_sheds {
            self.sheds_at = now;
        }
        {
            let mut closing = state.closing.lock().unwrap_or_else(PoisonError::into_inner);
            closing.retain(|holding| !holding.with(|holder| holder.is_over()));
            for holding in closing.iter() {
                holding.apply(&state, |holder, now| holder.tick(now));
            }
        }
        let gauges = &state.gauges;
        gauges.held.set(holdings.len() as i64);
        gauges.waiting.set(waiting_sum as i64);
        gauges.running.set(running_sum as i64);
        gauges.ready_runners.set(ready_sum as i64);
        gauges.idle_stop_skipped.set(kept_sum as i64);
        gauges.serving.set(i64::from(state.is_serving()));
    }

    fn take(&mut self, input: ControlInput) {
        let now = Moment::now();
        match input {
            ControlInput::Connected(number, sender) if number == self.stream_number => {
                self.stream = Some(sender);
                let orders = self.liaison.connected(now);
                self.obey(orders);
            }
            ControlInput::Disconnected(number) if number == self.stream_number => {
                self.stream = None;
                let orders = self.liaison.disconnected(now);
                self.obey(orders);
            }
            ControlInput::Down(number, frame) if number == self.stream_number => {
                let orders = self.liaison.heard(now, frame);
                self.obey(orders);
            }
            ControlInput::Connected(..)
            | ControlInput::Disconnected(_)
            | ControlInput::Down(..) => {}
            ControlInput::Beat(heartbeat) => {
                if !self.watch.heard(now, &heartbeat) {
                    note!(Debug, events::HEARTBEAT_IGNORED, "from {}", heartbeat.member);
                }
            }
            ControlInput::Acquire(function) => self.ask(function),
            ControlInput::Reserve(function, grant) => self.reserve(now, function, grant),
            ControlInput::Released(function, grant) => self.released(&function, grant),
            ControlInput::Say(frame) => self.say(frame),
            ControlInput::Leave => self.leave(),
        }
    }

    fn leave(&mut self) {
        let orders = self.liaison.leave();
        self.obey(orders);
        let state = self.state.clone();
        for holding in state.holdings.load_full().values() {
            note!(Info, events::HANDING_OVER, "{}", holding.function);
            holding.apply(&state, |holder, now| holder.hand_over(now));
        }
    }

    fn say(&mut self, frame: StreamUp) {
        if self.liaison.is_welcomed() || matches!(frame, StreamUp::Hello { .. }) {
            let is_sent = self.stream.as_ref().is_some_and(|stream| stream.try_send(frame).is_ok());
            if !is_sent {
                self.stream = None;
            }
        }
    }

    fn obey(&mut self, orders: Vec<LiaisonOutput>) {
        for order in orders {
            match order {
                LiaisonOutput::Dial(place) => {
                    self.stream_number += 1;
                    self.stream = None;
                    tokio::spawn(keep_stream(self.state.clone(), self.stream_number, place));
                }
                LiaisonOutput::Hangup => {
                    self.stream_number += 1;
                    self.stream = None;
                }
                LiaisonOutput::Say(frame) => self.say(frame),
                LiaisonOutput::Welcomed => {
                    note!(Info, events::STREAM_OPEN, "leader of term {}", self.liaison.term());
                    self.send_claims();
                }
                LiaisonOutput::Lost => {
                    note!(Info, events::STREAM_LOST);
                    self.acquires.clear();
                    self.drop_waiters(AcquireWaiters::clear);
                    let lost_reserves = std::mem::take(&mut self.reserves);
                    for (function, grant) in lost_reserves.into_values() {
                        if let Some(holding) = self.holding(&function, grant) {
                            holding.with(|holder| holder.reserve_lost(Moment::now()));
                        }
                    }
                }
                LiaisonOutput::GrantedUntil(grant_end) => {
                    if !self.state.is_serving() {
                        note!(Info, events::SERVING, "serial {}", self.state.table.load().serial());
                    }
                    self.state.serving_until.set(grant_end);
                }
                LiaisonOutput::GrantEnded => self.grant_ended(),
                LiaisonOutput::Pass(frame) => self.hear(frame),
            }
        }
    }

    fn send_claims(&mut self) {
        let holdings = self.state.holdings.load_full();
        let claims = holdings
            .values()
            .filter_map(|holding| {
                holding.with(|holder| holder.is_claimable().then(|| holder.claim()))
            })
            .collect();
        let frame = self.liaison.claims(claims);
        self.say(frame);
    }

    fn grant_ended(&mut self) {
        self.state.gauges.grants_ended.inc();
        let state = self.state.clone();
        let held = state.holdings.swap(Arc::new(HashMap::new()));
        note!(Warn, events::GRANT_ENDED, "{} functions given up", held.len());
        for holding in held.values() {
            self.close(holding);
        }
        state.owners.store(Arc::new(HashMap::new()));
        if self.liaison.is_welcomed() {
            self.send_claims();
        }
    }

    fn close(&self, holding: &Arc<Holding>) {
        holding.apply(&self.state, |holder, now| holder.close(now));
        self.state.closing.lock().unwrap_or_else(PoisonError::into_inner).push(holding.clone());
    }

    fn holding(&self, function: &FunctionKey, grant: GrantSerial) -> Option<Arc<Holding>> {
        let holdings = self.state.holdings.load();
        holdings.get(function).filter(|holding| holding.grant == grant).cloned()
    }

    fn remove_holding(&self, function: &FunctionKey) {
        self.state.holdings.rcu(|holdings| {
            let mut changed_holdings = HashMap::clone(holdings);
            changed_holdings.remove(function);
            changed_holdings
        });
    }

    fn reserve(&mut self, now: Moment, function: FunctionKey, grant: GrantSerial) {
        if !self.liaison.is_welcomed() {
            if let Some(holding) = self.holding(&function, grant) {
                holding.with(|holder| holder.reserve_lost(now));
            }
            return;
        }
        let correlation = self.liaison.correlation();
        self.reserves.insert(correlation, (function.clone(), grant));
        self.say(StreamUp::Reserve { correlation, function, grant });
    }

    fn released(&mut self, function: &FunctionKey, grant: GrantSerial) {
        if self.holding(function, grant).is_some() {
            self.remove_holding(function);
            self.say(StreamUp::Release { function: function.clone(), grant });
        }
    }

    fn hear(&mut self, frame: StreamDown) {
        match frame {
            StreamDown::Spec { serial, document } => {
                let read_view = serde_json::from_slice(&document.0)
                    .map_err(DocumentFault::from)
                    .and_then(|value| View::from_value(&value));
                self.install(serial, read_view);
            }
            StreamDown::Change { base, serial, patch, digest } => match &self.view {
                Some(view) if view.serial == base => {
                    let changed_view = view.patched(&patch.0, &digest.0);
                    if changed_view.is_err() {
                        self.say(StreamUp::Whole);
                    } else {
                        self.install(serial, changed_view);
                    }
                }
                Some(view) if view.serial >= serial => {}
                _ => self.say(StreamUp::Whole),
            },
            StreamDown::Hosts { hosts } => {
                let now = Moment::now();
                self.watch.listed(now, hosts.0);
                self.publish_hosts(now);
            }
            StreamDown::Acquired { correlation, function, result } => {
                self.acquired(correlation, &function, result);
            }
            StreamDown::Reserved { correlation, function, result } => {
                let grant = self.reserves.remove(&correlation).map(|(_, grant)| grant);
                let holding = grant.and_then(|grant| self.holding(&function, grant));
                match (holding, &result) {
                    (Some(holding), _) => {
                        holding.apply(&self.state.clone(), |holder, now| {
                            holder.reserved(now, &result)
                        });
                    }
                    (None, ReserveResult::Reserved { runner, .. }) => {
                        let news = waymark::frames::RunnerNews::Gone;
                        self.say(StreamUp::Runner { function, runner: *runner, news });
                    }
                    _ => {}
                }
            }
            StreamDown::Revoke { function, grant } => {
                if let Some(holding) = self.holding(&function, grant) {
                    self.remove_holding(&function);
                    self.close(&holding);
                }
            }
            StreamDown::Drain { function, runner } => {
                if let Some(holding) = self.holding(&function, runner.grant) {
                    holding.apply(&self.state.clone(), |holder, now| holder.drain(now, runner));
                }
            }
            StreamDown::HandOver { function, grant } => {
                if let Some(holding) = self.holding(&function, grant) {
                    note!(Info, events::HANDING_OVER, "{function}");
                    holding.apply(&self.state.clone(), |holder, now| holder.hand_over(now));
                }
            }
            StreamDown::Elsewhere { .. }
            | StreamDown::Welcome { .. }
            | StreamDown::Renewed { .. } => {}
        }
    }

    fn install(&mut self, serial: Serial, read_view: Result<View, DocumentFault>) {
        let is_older = self.view.as_ref().is_some_and(|view| view.serial >= serial);
        if is_older {
            return;
        }
        let built = read_view.and_then(|view| Table::build(&view).map(|table| (view, table)));
        let (view, table) = match built {
            Ok(built) => built,
            Err(fault) => {
                note!(Error, events::SPEC_FAILED, "serial {serial}: {fault}");
                return;
            }
        };
        let state = self.state.clone();
        state.gauges.serial.set(serial.0 as i64);
        let route_count = table.route_count();
        state.table.store(Arc::new(table));
        self.view = Some(view);
        note!(Info, events::SPEC_INSTALLED, "serial {serial}, {route_count} routes");
        let table = state.table.load();
        for holding in state.holdings.load_full().values() {
            match table.function_of(&holding.function) {
                Some(entry) => {
                    let newest_spec = entry.spec.clone();
                    holding.with(|holder| holder.respec(newest_spec));
                }
                None => holding.apply(&state, |holder, now| holder.hand_over(now)),
            }
        }
        let orders = self.liaison.installed(serial);
        self.obey(orders);
    }

    fn acquired(
        &mut self,
        correlation: CorrelationId,
        function: &FunctionKey,
        result: AcquireResult,
    ) {
        let Some(asked) = self.acquires.remove(&correlation) else {
            if let AcquireResult::Granted { grant, .. } = result
                && self.holding(function, grant).is_none()
            {
                self.say(StreamUp::Release { function: function.clone(), grant });
            }
            return;
        };
        let round_trip = Moment::now().since(asked.asked_at);
        self.state.gauges.acquire_seconds.observe(round_trip.as_secs_f64());
        match &result {
            AcquireResult::Granted { grant, once_wait_ms } => {
                self.granted(function, *grant, Duration::from_millis(u64::from(*once_wait_ms)));
            }
            AcquireResult::Owner { host } => self.state.learn_owner(function, host),
            AcquireResult::Shed => {}
        }
        let waiters = {
            let mut waiting = self.state.acquires.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.remove(function).unwrap_or_default()
        };
        for waiter in waiters {
            let _ = waiter.send(result.clone());
        }
    }

    fn granted(&mut self, function: &FunctionKey, grant: GrantSerial, once_wait: Duration) {
        if self.holding(function, grant).is_some() {
            return;
        }
        let state = self.state.clone();
        let spec = state.table.load().function_of(function).map(|entry| entry.spec.clone());
        let may_hold = state.is_serving() && !state.leaving.load(Ordering::Acquire);
        let Some(spec) = spec.filter(|_| may_hold) else {
            self.say(StreamUp::Release { function: function.clone(), grant });
            return;
        };
        let holder = Holder::new(Moment::now(), function.clone(), grant, spec, once_wait);
        let holding = Arc::new(Holding::new(holder));
        state.holdings.rcu(|holdings| {
            let mut changed_holdings = HashMap::clone(holdings);
            changed_holdings.insert(function.clone(), holding.clone());
            changed_holdings
        });
        state.learn_owner(function, &state.own_host);
        note!(Info, events::GRANTED, "{function} under {grant}");
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
    let connecting = TcpStream::connect(place.address());
    let timed_out = || FrameFault::Connection(std::io::ErrorKind::TimedOut.into());
    let mut stream = tokio::time::timeout(Duration::from_millis(600), connecting)
        .await
        .map_err(|_| timed_out())??;
    stream.set_nodelay(true)?;
    write_channel(&mut stream, Channel::Stream).await?;
    let (sender, mut frames) = mpsc::channel::<StreamUp>(8192);
    let _ = state.control.send(ControlInput::Connected(number, sender));
    let (reading_half, mut writing_half) = stream.into_split();
    let mut reader = BufReader::new(reading_half);
    let reading = async {
        loop {
            let frame: StreamDown = read_frame(&mut reader).await?;
            let _ = state.control.send(ControlInput::Down(number, frame));
        }
    };
    let writing = async {
        while let Some(frame) = frames.recv().await {
            let writing_frame = write_frame(&mut writing_half, &frame);
            tokio::time::timeout(Duration::from_secs(2), writing_frame)
                .await
                .map_err(|_| timed_out())??;
        }
        Ok(())
    };
    tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    }
}

/// The host that a daemon is to others.
pub fn own_host(boot: &crate::boot::TrailheadBoot, incarnation: u64) -> Host {
    Host {
        member: boot.member.clone(),
        incarnation: incarnation.into(),
        locality: boot.locality.clone(),
        place: boot.place,
        eligible: waymark::frames::Flag(true),
    }
}
