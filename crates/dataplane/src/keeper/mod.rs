//! What a daemon knows of the world: leader, spec, hosts, grants. No I/O; orders go out.

use crate::holder::GrantTerms;
use crate::liaison::{Liaison, LiaisonOutput};
use crate::watch::{Watch, WatchOutput};
use common::clock::Moment;
use common::frames::{
    AcquireResult, Claim, Heartbeat, Host, Place, ReserveResult, RunnerNews, StreamDown, StreamUp,
    unpack,
};
use common::identity::{CorrelationId, FunctionKey, GrantSerial, RunnerId, Serial, Term};
use common::rules::{Rule, Rules};
use common::spec::{DocumentFault, Table, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const ASK_AGAIN_AFTER: Duration = Duration::from_secs(2);

/// What the keeper orders.
pub enum KeeperOrder {
    /// Open a stream there.
    Dial(Place),
    /// End the stream.
    Hangup,
    /// Say something on the stream.
    Say(StreamUp),
    /// Send a heartbeat to these places.
    Beat(Heartbeat, Vec<Place>),
    /// The leader of this term has welcomed the stream: gather the claims, and send them.
    Welcomed(Term),
    /// The stream is lost: nobody's acquisition will be answered, nor these wishes for runners.
    StreamLost(Vec<(FunctionKey, GrantSerial)>),
    /// The member grant runs until then.
    ServeUntil(Moment),
    /// The member grant has ended: close every held function, forget every owner, send claims.
    GiveUpAll,
    /// A spec is installed.
    Install(Arc<Table>),
    /// A spec could not be installed.
    InstallFailed(Serial, DocumentFault),
    /// The daemons alive have changed.
    Hosts(Vec<Host>),
    /// A function is granted.
    Grant(GrantTerms),
    /// Memory is short: stop an idle function's runners.
    GiveWay(FunctionKey, GrantSerial),
    /// Another daemon is to keep the copy of a function's ledger, or nobody.
    Steward(FunctionKey, GrantSerial, Option<Host>),
    /// An acquisition is answered; none when it must be tried again.
    Acquired {
        /// The function.
        function: FunctionKey,
        /// The answer.
        result: Option<AcquireResult>,
        /// How long the answer took.
        round_trip: Duration,
    },
    /// A wish for a runner is answered.
    Reserved {
        /// The function.
        function: FunctionKey,
        /// The grant it was asked under.
        grant: GrantSerial,
        /// The answer.
        result: ReserveResult,
    },
    /// A claim does not stand: close the function.
    Revoke(FunctionKey, GrantSerial),
    /// Drain a runner.
    Drain(FunctionKey, RunnerId),
    /// A runner is gone.
    Vanished(FunctionKey, RunnerId),
    /// Hand a function over.
    HandOver(FunctionKey, GrantSerial),
}

struct Asked {
    function: FunctionKey,
    asked_at: Moment,
    due_at: Option<Moment>,
}

/// The keeper of one daemon.
pub struct Keeper {
    liaison: Liaison,
    watch: Watch,
    view: Option<View>,
    table: Arc<Table>,
    alive_hosts: Vec<Host>,
    acquires: BTreeMap<CorrelationId, Asked>,
    reserves: BTreeMap<CorrelationId, (FunctionKey, GrantSerial)>,
    leaving: bool,
    rules: Rules,
    orders: Vec<KeeperOrder>,
}

impl Keeper {
    /// Knows nothing yet.
    pub fn new(liaison: Liaison, own_host: Host) -> Self {
        Self {
            liaison,
            watch: Watch::new(own_host),
            view: None,
            table: Arc::new(Table::empty()),
            alive_hosts: Vec::new(),
            acquires: BTreeMap::new(),
            reserves: BTreeMap::new(),
            leaving: false,
            rules: Rules::KEPT,
            orders: Vec::new(),
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// The same with another pause between heartbeats.
    pub fn with_beat(mut self, beat_every: Duration) -> Self {
        self.watch = self.watch.with_beat(beat_every);
        self
    }

    /// When something is due, at the latest.
    pub fn next_due(&self) -> Moment {
        self.liaison.next_due().min(self.watch.next_due())
    }

    /// The seeds have changed.
    pub fn set_seeds(&mut self, seeds: Vec<Place>) {
        self.liaison.set_seeds(seeds);
    }

    /// When the member grant ends.
    pub fn grant_end(&self) -> Moment {
        self.liaison.grant_end()
    }

    /// The serial installed.
    pub fn serial(&self) -> Serial {
        self.table.serial()
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        self.liaison.is_welcomed()
    }

    fn done(&mut self) -> Vec<KeeperOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.tick(now);
        self.obey(now, outputs);
        let watch_outputs = self.watch.tick(now);
        self.obey_watch(watch_outputs);
        self.look_at_hosts(now);
        let late_correlations: Vec<CorrelationId> = self
            .acquires
            .iter()
            .filter(|(_, asked)| {
                now.since(asked.due_at.unwrap_or(asked.asked_at)) > ASK_AGAIN_AFTER
            })
            .map(|(correlation, _)| *correlation)
            .collect();
        for late_correlation in late_correlations {
            if let Some(asked) = self.acquires.remove(&late_correlation) {
                self.orders.push(KeeperOrder::Acquired {
                    function: asked.function,
                    result: None,
                    round_trip: now.since(asked.asked_at),
                });
            }
        }
        self.done()
    }

    fn obey_watch(&mut self, outputs: Vec<WatchOutput>) {
        for output in outputs {
            let frame = match output {
                WatchOutput::Beat(heartbeat, places) => {
                    self.orders.push(KeeperOrder::Beat(heartbeat, places));
                    continue;
                }
                WatchOutput::Silent(life) => StreamUp::Silent { life },
                WatchOutput::Heard(life) => StreamUp::Heard { life },
            };
            if self.liaison.is_welcomed() {
                self.orders.push(KeeperOrder::Say(frame));
            }
        }
    }

    fn look_at_hosts(&mut self, now: Moment) {
        let alive_hosts = self.watch.alive(now);
        if alive_hosts != self.alive_hosts {
            self.alive_hosts = alive_hosts;
            self.orders.push(KeeperOrder::Hosts(self.alive_hosts.clone()));
        }
    }

    /// The dialed stream is open.
    pub fn connected(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.connected(now);
        self.obey(now, outputs);
        self.done()
    }

    /// A part of a long frame of the leader has come in.
    pub fn receiving(&mut self, now: Moment) {
        self.liaison.receiving(now);
    }

    /// The stream failed or ended.
    pub fn disconnected(&mut self, now: Moment) -> Vec<KeeperOrder> {
        let outputs = self.liaison.disconnected(now);
        self.obey(now, outputs);
        self.done()
    }

    /// The leader says something.
    pub fn heard(&mut self, now: Moment, frame: StreamDown) -> Vec<KeeperOrder> {
        let outputs = self.liaison.heard(now, frame);
        self.obey(now, outputs);
        self.done()
    }

    /// A heartbeat came in; false when it is a stranger's.
    pub fn beat(&mut self, now: Moment, heartbeat: &Heartbeat) -> bool {
        self.watch.heard(now, heartbeat)
    }

    /// The daemon is leaving: it takes on nothing any more.
    pub fn leave(&mut self, now: Moment) -> Vec<KeeperOrder> {
        self.leaving = true;
        let outputs = self.liaison.leave();
        self.obey(now, outputs);
        self.done()
    }

    /// Asks the leader for a function. While a question for it is open whose answer is known to take
    /// its time, no other is asked.
    pub fn acquire(&mut self, now: Moment, function: FunctionKey) -> Vec<KeeperOrder> {
        let open_due_at = self
            .acquires
            .values()
            .find(|asked| asked.function == function)
            .and_then(|asked| asked.due_at);
        if let Some(due_at) = open_due_at {
            let wait_ms = due_at.since(now).as_millis() as u32;
            let result = Some(AcquireResult::Later { wait_ms });
            let round_trip = Duration::ZERO;
            self.orders.push(KeeperOrder::Acquired { function, result, round_trip });
        } else if self.liaison.is_welcomed() {
            let correlation = self.liaison.correlation();
            let asked = Asked { function: function.clone(), asked_at: now, due_at: None };
            self.acquires.insert(correlation, asked);
            self.orders.push(KeeperOrder::Say(StreamUp::Acquire { correlation, function }));
        } else {
            let round_trip = Duration::ZERO;
            self.orders.push(KeeperOrder::Acquired { function, result: None, round_trip });
        }
        self.done()
    }

    /// Asks the leader for one more runner.
    pub fn reserve(&mut self, function: FunctionKey, grant: GrantSerial) -> Vec<KeeperOrder> {
        if self.liaison.is_welcomed() {
            let correlation = self.liaison.correlation();
            self.reserves.insert(correlation, (function.clone(), grant));
            let frame = StreamUp::Reserve { correlation, function, grant };
            self.orders.push(KeeperOrder::Say(frame));
        } else {
            let result = ReserveResult::Shed;
            self.orders.push(KeeperOrder::Reserved { function, grant, result });
        }
        self.done()
    }

    /// Sends the claims that were gathered.
    pub fn claims(&mut self, claims: Vec<Claim>) -> Vec<KeeperOrder> {
        if self.liaison.is_welcomed() {
            let frame = self.liaison.claims(claims);
            self.orders.push(KeeperOrder::Say(frame));
        }
        self.done()
    }

    fn obey(&mut self, now: Moment, outputs: Vec<LiaisonOutput>) {
        for output in outputs {
            match output {
                LiaisonOutput::Dial(place) => self.orders.push(KeeperOrder::Dial(place)),
                LiaisonOutput::Hangup => self.orders.push(KeeperOrder::Hangup),
                LiaisonOutput::Say(frame) => self.orders.push(KeeperOrder::Say(frame)),
                LiaisonOutput::Welcomed => {
                    self.orders.push(KeeperOrder::Welcomed(self.liaison.term()));
                    for life in self.watch.missed() {
                        self.orders.push(KeeperOrder::Say(StreamUp::Silent { life }));
                    }
                }
                LiaisonOutput::Lost => {
                    self.acquires.clear();
                    let lost_reserves = std::mem::take(&mut self.reserves).into_values().collect();
                    self.orders.push(KeeperOrder::StreamLost(lost_reserves));
                }
                LiaisonOutput::GrantedUntil(grant_end) => {
                    self.orders.push(KeeperOrder::ServeUntil(grant_end));
                }
                LiaisonOutput::GrantEnded => self.orders.push(KeeperOrder::GiveUpAll),
                LiaisonOutput::Pass(frame) => self.hear(now, frame),
            }
        }
    }

    fn hear(&mut self, now: Moment, frame: StreamDown) {
        match frame {
            StreamDown::Spec { serial, document } => {
                let text = unpack(&document).unwrap_or_default();
                self.install(now, serial, View::from_bytes(&text));
            }
            StreamDown::Change { base, serial, patch, digest } => match &self.view {
                Some(view) if view.serial == base => {
                    match view.changed(&unpack(&patch).unwrap_or_default(), &digest.0) {
                        Ok(changed_view) => self.install(now, serial, Ok(changed_view)),
                        Err(_) => self.orders.push(KeeperOrder::Say(StreamUp::Whole)),
                    }
                }
                Some(view) if view.serial >= serial => {}
                _ => self.orders.push(KeeperOrder::Say(StreamUp::Whole)),
            },
            StreamDown::Hosts { number, hosts, silent } => {
                self.watch.listed(now, number, hosts.0, silent.0);
                self.look_at_hosts(now);
            }
            StreamDown::HostsChanged { number, put, removed, silent } => {
                let fits = self.watch.list_changed(now, number, put.0, removed.0, silent.0);
                if fits {
                    self.look_at_hosts(now);
                } else {
                    self.orders.push(KeeperOrder::Say(StreamUp::WholeHosts));
                }
            }
            StreamDown::Acquired { correlation, function, result } => {
                self.acquired(now, correlation, function, result);
            }
            StreamDown::Reserved { correlation, function, result } => {
                self.reserved(correlation, function, result);
            }
            StreamDown::Revoke { function, grant } => {
                self.orders.push(KeeperOrder::Revoke(function, grant));
            }
            StreamDown::Drain { function, runner } => {
                self.orders.push(KeeperOrder::Drain(function, runner));
            }
            StreamDown::Vanished { function, runner } => {
                self.orders.push(KeeperOrder::Vanished(function, runner));
            }
            StreamDown::HandOver { function, grant } => {
                self.orders.push(KeeperOrder::HandOver(function, grant));
            }
            StreamDown::GiveWay { function, grant } => {
                self.orders.push(KeeperOrder::GiveWay(function, grant));
            }
            StreamDown::Steward { function, grant, steward } => {
                let named = steward.0.into_iter().next();
                self.orders.push(KeeperOrder::Steward(function, grant, named));
            }
            StreamDown::Elsewhere { .. }
            | StreamDown::Welcome { .. }
            | StreamDown::Renewed { .. } => {}
        }
    }

    fn install(&mut self, now: Moment, serial: Serial, read_view: Result<View, DocumentFault>) {
        let is_older = self.view.as_ref().is_some_and(|view| view.serial >= serial);
        if is_older && self.rules.keep(Rule::SerialOnlyUp) {
            return;
        }
        match read_view.and_then(|view| Table::build(&view).map(|table| (view, table))) {
            Ok((view, table)) => {
                self.table = Arc::new(table);
                let core = view.core.clone();
                self.view = Some(view);
                self.orders.push(KeeperOrder::Install(self.table.clone()));
                let outputs = self.liaison.installed(serial, &core);
                self.obey(now, outputs);
            }
            Err(fault) => self.orders.push(KeeperOrder::InstallFailed(serial, fault)),
        }
    }

    fn acquired(
        &mut self,
        now: Moment,
        correlation: CorrelationId,
        function: FunctionKey,
        result: AcquireResult,
    ) {
        if let AcquireResult::Later { wait_ms } = &result
            && let Some(asked) = self.acquires.get_mut(&correlation)
        {
            asked.due_at = Some(now + Duration::from_millis(u64::from(*wait_ms)));
            let round_trip = now.since(asked.asked_at);
            let result = Some(result);
            self.orders.push(KeeperOrder::Acquired { function, result, round_trip });
            return;
        }
        let round_trip = self
            .acquires
            .remove(&correlation)
            .map_or(Duration::ZERO, |asked| now.since(asked.asked_at));
        if let AcquireResult::Granted { grant, once_wait_ms, steward, prior, adopted } = &result {
            let spec = self.table.function_of(&function).map(|entry| (*entry.spec).clone());
            let may_hold = now < self.liaison.grant_end() && !self.leaving;
            match spec.filter(|_| may_hold) {
                Some(spec) => self.orders.push(KeeperOrder::Grant(GrantTerms {
                    function: function.clone(),
                    grant: *grant,
                    spec,
                    once_wait: Duration::from_millis(u64::from(*once_wait_ms)),
                    steward: steward.0.first().cloned(),
                    prior: prior.0.first().cloned(),
                    adopted: adopted.0.clone(),
                })),
                None => {
                    let frame = StreamUp::Release {
                        function: function.clone(),
                        grant: *grant,
                        runners: adopted.clone(),
                    };
                    self.orders.push(KeeperOrder::Say(frame));
                }
            }
        }
        self.orders.push(KeeperOrder::Acquired { function, result: Some(result), round_trip });
    }

    fn reserved(
        &mut self,
        correlation: CorrelationId,
        function: FunctionKey,
        result: ReserveResult,
    ) {
        match (self.reserves.remove(&correlation), &result) {
            (Some((_, grant)), _) => {
                self.orders.push(KeeperOrder::Reserved { function, grant, result });
            }
            (None, ReserveResult::Reserved { runner, .. }) => {
                let news = RunnerNews::Gone;
                let frame = StreamUp::Runner { function, runner: *runner, news };
                self.orders.push(KeeperOrder::Say(frame));
            }
            _ => {}
        }
    }
}
