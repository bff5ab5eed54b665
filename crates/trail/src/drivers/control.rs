use super::state::AcquireWaiters;
use super::{Holding, State};
use crate::holder::{GrantTerms, Holder};
use crate::keeper::{Keeper, KeeperOrder};
use crate::liaison::{Liaison, LiaisonTiming};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use waymark::chance::Chance;
use waymark::clock::Moment;
use waymark::events;
use waymark::frames::{
    Channel, FrameFault, Heartbeat, Host, IdleFunction, Many, Place, ReserveResult, RunnerNews,
    StreamDown, StreamUp, encode_heartbeat, read_frame, write_channel, write_frame,
};
use waymark::identity::{FunctionKey, GrantSerial};
use waymark::note;
use waymark::spec::Table;

const IDLE_FROM: Duration = Duration::from_secs(3);

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

/// Feeds the keeper, and does what it orders.
pub struct Control {
    state: Arc<State>,
    keeper: Keeper,
    stream_number: u64,
    stream: Option<mpsc::Sender<StreamUp>>,
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
        let keeper = Keeper::new(liaison, own_host);
        Self { state, keeper, stream_number: 0, stream: None, beats, sheds_at: Moment::ZERO }
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
        let orders = self.keeper.tick(now);
        self.obey(orders);
        self.tick_holdings(now);
    }

    fn take(&mut self, input: ControlInput) {
        let now = Moment::now();
        match input {
            ControlInput::Connected(number, sender) if number == self.stream_number => {
                self.stream = Some(sender);
                let orders = self.keeper.connected(now);
                self.obey(orders);
            }
            ControlInput::Disconnected(number) if number == self.stream_number => {
                self.stream = None;
                let orders = self.keeper.disconnected(now);
                self.obey(orders);
            }
            ControlInput::Down(number, frame) if number == self.stream_number => {
                let orders = self.keeper.heard(now, frame);
                self.obey(orders);
            }
            ControlInput::Connected(..)
            | ControlInput::Disconnected(_)
            | ControlInput::Down(..) => {}
            ControlInput::Beat(heartbeat) => {
                if !self.keeper.beat(now, &heartbeat) {
                    note!(Debug, events::HEARTBEAT_IGNORED, "from {}", heartbeat.member);
                }
            }
            ControlInput::Acquire(function) => {
                let orders = self.keeper.acquire(now, function);
                self.obey(orders);
            }
            ControlInput::Reserve(function, grant) => {
                let orders = self.keeper.reserve(function, grant);
                self.obey(orders);
            }
            ControlInput::Released(function, grant) => self.released(&function, grant),
            ControlInput::Say(frame) => self.say(frame),
            ControlInput::Leave => self.leave(now),
        }
    }

    fn obey(&mut self, orders: Vec<KeeperOrder>) {
        for order in orders {
            match order {
                KeeperOrder::Dial(place) => {
                    self.stream_number += 1;
                    self.stream = None;
                    tokio::spawn(keep_stream(self.state.clone(), self.stream_number, place));
                }
                KeeperOrder::Hangup => {
                    self.stream_number += 1;
                    self.stream = None;
                }
                KeeperOrder::Say(frame) => self.say(frame),
                KeeperOrder::Beat(heartbeat, places) => self.beat(&heartbeat, &places),
                KeeperOrder::Welcomed(term) => {
                    note!(Info, events::STREAM_OPEN, "leader of term {term}");
                    self.send_claims();
                }
                KeeperOrder::StreamLost(lost_reserves) => self.stream_lost(lost_reserves),
                KeeperOrder::ServeUntil(grant_end) => {
                    if !self.state.is_serving() {
                        note!(Info, events::SERVING, "serial {}", self.keeper.serial());
                    }
                    self.state.serving_until.set(grant_end);
                }
                KeeperOrder::GiveUpAll => self.give_up_all(),
                KeeperOrder::Install(table) => self.install(table),
                KeeperOrder::InstallFailed(serial, fault) => {
                    note!(Error, events::SPEC_FAILED, "serial {serial}: {fault}");
                }
                KeeperOrder::Hosts(alive_hosts) => self.state.hosts.store(Arc::new(alive_hosts)),
                KeeperOrder::Grant(terms) => self.granted(terms),
                KeeperOrder::GiveWay(function, grant) => {
                    if let Some(holding) = self.holding(&function, grant) {
                        holding.apply(&self.state, |holder, now| holder.give_way(now));
                    }
                }
                KeeperOrder::Steward(function, grant, steward) => {
                    if let Some(holding) = self.holding(&function, grant) {
                        holding
                            .apply(&self.state, |holder, now| holder.steward_named(now, steward));
                    }
                }
                KeeperOrder::Acquired { function, result, round_trip } => {
                    self.acquired(&function, result, round_trip);
                }
                KeeperOrder::Reserved { function, grant, result } => {
                    self.reserved(function, grant, &result);
                }
                KeeperOrder::Revoke(function, grant) => {
                    if let Some(holding) = self.holding(&function, grant) {
                        self.remove_holding(&function);
                        self.close(&holding);
                    }
                }
                KeeperOrder::Drain(function, runner) => {
                    if let Some(holding) = self.holding(&function, runner.grant) {
                        holding.apply(&self.state, |holder, now| holder.drain(now, runner));
                    }
                }
                KeeperOrder::HandOver(function, grant) => {
                    if let Some(holding) = self.holding(&function, grant) {
                        note!(Info, events::HANDING_OVER, "{function}");
                        holding.apply(&self.state, |holder, now| holder.hand_over(now));
                    }
                }
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

    fn send_claims(&mut self) {
        let holdings = self.state.holdings.load_full();
        let closing: Vec<Arc<Holding>> =
            self.state.closing.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let claims = holdings
            .values()
            .chain(&closing)
            .map(|holding| holding.with(|holder| holder.claim()))
            .collect();
        let orders = self.keeper.claims(claims);
        self.obey(orders);
    }

    fn stream_lost(&self, lost_reserves: Vec<(FunctionKey, GrantSerial)>) {
        note!(Info, events::STREAM_LOST);
        self.state.acquires.lock().unwrap_or_else(PoisonError::into_inner).clear();
        for (function, grant) in lost_reserves {
            if let Some(holding) = self.holding(&function, grant) {
                holding.with(|holder| holder.reserve_lost(Moment::now()));
            }
        }
    }

    fn give_up_all(&mut self) {
        self.state.gauges.grants_ended.inc();
        let state = self.state.clone();
        let held = state.holdings.swap(Arc::new(HashMap::new()));
        note!(Warn, events::GRANT_ENDED, "{} functions given up", held.len());
        for holding in held.values() {
            self.close(holding);
        }
        state.owners.store(Arc::new(HashMap::new()));
        self.send_claims();
    }

    fn leave(&mut self, now: Moment) {
        let orders = self.keeper.leave(now);
        self.obey(orders);
        let state = self.state.clone();
        for holding in state.holdings.load_full().values() {
            note!(Info, events::HANDING_OVER, "{}", holding.function);
            holding.apply(&state, |holder, now| holder.hand_over(now));
        }
    }

    fn install(&self, table: Arc<Table>) {
        let state = self.state.clone();
        state.gauges.serial.set(table.serial().0 as i64);
        state.table.store(table.clone());
        note!(
            Info,
            events::SPEC_INSTALLED,
            "serial {}, {} routes",
            table.serial(),
            table.route_count()
        );
        for holding in state.holdings.load_full().values() {
            match table.function_of(&holding.function) {
                Some(entry) => {
                    let newest_spec = entry.spec.clone();
                    holding.with(|holder| holder.respec(newest_spec));
                }
                None => holding.apply(&state, |holder, now| holder.hand_over(now)),
            }
        }
    }

    fn acquired(
        &mut self,
        function: &FunctionKey,
        result: Option<waymark::frames::AcquireResult>,
        round_trip: Duration,
    ) {
        if result.is_some() && round_trip > Duration::ZERO {
            self.state.gauges.acquire_seconds.observe(round_trip.as_secs_f64());
        }
        if let Some(waymark::frames::AcquireResult::Owner { host }) = &result {
            self.state.learn_owner(function, host);
        }
        let waiters = {
            let mut waiting: std::sync::MutexGuard<'_, AcquireWaiters> =
                self.state.acquires.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.remove(function).unwrap_or_default()
        };
        if let Some(result) = result {
            for waiter in waiters {
                let _ = waiter.send(result.clone());
            }
        }
    }

    fn granted(&self, terms: GrantTerms) {
        let (function, grant) = (terms.function.clone(), terms.grant);
        if self.holding(&function, grant).is_some() {
            return;
        }
        let holding = Arc::new(Holding::new(Holder::new(Moment::now(), terms)));
        self.state.holdings.rcu(|holdings| {
            let mut changed_holdings = HashMap::clone(holdings);
            changed_holdings.insert(function.clone(), holding.clone());
            changed_holdings
        });
        self.state.learn_owner(&function, &self.state.own_host);
        note!(Info, events::GRANTED, "{function} under {grant}");
        holding.apply(&self.state, |holder, now| holder.begin(now));
    }

    fn reserved(&mut self, function: FunctionKey, grant: GrantSerial, result: &ReserveResult) {
        match (self.holding(&function, grant), result) {
            (Some(holding), _) => {
                holding.apply(&self.state, |holder, now| holder.reserved(now, result));
            }
            (None, ReserveResult::Reserved { runner, .. }) => {
                let news = RunnerNews::Gone;
                self.say(StreamUp::Runner { function, runner: *runner, news });
            }
            _ => {}
        }
    }

    fn released(&mut self, function: &FunctionKey, grant: GrantSerial) {
        if self.holding(function, grant).is_some() {
            self.remove_holding(function);
            self.say(StreamUp::Release { function: function.clone(), grant });
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

    fn tick_holdings(&mut self, now: Moment) {
        let state = self.state.clone();
        let holdings = state.holdings.load_full();
        let (mut waiting_sum, mut running_sum, mut ready_sum, mut kept_sum) = (0, 0, 0, 0);
        let says_sheds = now.since(self.sheds_at) > Duration::from_secs(1);
        let mut idle_functions = Vec::new();
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
            let idle_span = holding.with(|holder| holder.idle(now));
            if let Some(idle_span) = idle_span.filter(|span| *span > IDLE_FROM) {
                let function = holding.function.clone();
                let idle_ms = idle_span.as_millis().min(u128::from(u32::MAX)) as u32;
                idle_functions.push(IdleFunction { function, idle_ms });
            }
            if let Some((count, reason)) = sheds {
                let function = holding.function.clone();
                self.say(StreamUp::Sheds { function, count, reason });
            }
        }
        if says_sheds {
            self.say(StreamUp::Idle { functions: Many(idle_functions) });
            self.sheds_at = now;
            let mut keepsake = state.keepsake.lock().unwrap_or_else(PoisonError::into_inner);
            keepsake.expire(now);
            state.gauges.ledger_lines.set(keepsake.line_count() as i64);
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
