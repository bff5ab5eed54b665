//! The faults of a soak, and how each is injected and undone.

use super::change_at_stop::ChangeAtStop;
use super::clients;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetError};
use common::rng::SeededRng;
use serde_json::{Value, json};
use std::fmt;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinSet;

/// The grace period of a process that is stopped gracefully.
const STOP_GRACE: Duration = Duration::from_secs(7);
/// The delay that a slow network adds to each chunk of a connection.
const ADDED_DELAY: Duration = Duration::from_millis(200);

/// The timeout for reading the base version of an operator's change at a stop.
const READ_VERSION_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of rounds of signals in a series.
const SIGNALS_IN_SERIES: usize = 8;
/// The longest pause between two rounds of signals, and between the stops of two daemons.
const LONGEST_SIGNAL_PAUSE: Duration = Duration::from_millis(150);

macro_rules! soak_faults {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A kind of fault in a soak.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub enum SoakFault {
            $($(#[$doc])* $variant,)+
        }

        impl SoakFault {
            /// All kinds.
            pub const ALL: &[SoakFault] = &[$(SoakFault::$variant),+];

            /// Returns the name in records.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

soak_faults! {
    /// A daemon is killed and restarted.
    KillDaemon = "kill-daemon",
    /// A daemon is stopped gracefully and restarted.
    StopDaemon = "stop-daemon",
    /// A daemon is frozen.
    FreezeDaemon = "freeze-daemon",
    /// The leader is killed and restarted.
    KillLeader = "kill-leader",
    /// A controller is killed and restarted.
    KillController = "kill-controller",
    /// A controller is stopped gracefully and restarted.
    StopController = "stop-controller",
    /// The leader is frozen.
    FreezeLeader = "freeze-leader",
    /// A daemon is partitioned from all other processes.
    IsolateDaemon = "cut-daemon",
    /// The leader is partitioned from all other processes.
    IsolateLeader = "cut-leader",
    /// The outgoing traffic of a daemon is blocked.
    BlockDaemonOutgoing = "mute-daemon",
    /// Connections between processes are delayed by 200 ms.
    SlowNetwork = "slow-network",
    /// A controller's disk is full.
    FillDisk = "fill-disk",
    /// A controller's disk stalls.
    StallDisk = "stall-disk",
    /// A controller's disk fails every write.
    FailDisk = "fail-disk",
    /// A worker crashes with its runners.
    CrashWorker = "crash-worker",
    /// A worker is drained.
    DrainWorker = "drain-worker",
    /// Runners lose answers after running the request.
    LoseAnswers = "lose-answers",
    /// Runners refuse requests, and break off connections without running the requests.
    BreakAnswers = "break-answers",
    /// Runners send wrong bodies, truncated ones, and answers to other requests.
    WrongAnswers = "wrong-answers",
    /// All daemons and controllers get SIGHUP and reload their settings.
    Reload = "reload",
    /// Processes that are stopping get SIGTERM and SIGHUP again, and all others SIGHUP, several times.
    SignalSeries = "signal-series",
    /// Several daemons are stopped gracefully in quick succession, and restarted.
    StopDaemons = "stop-daemons",
    /// Operators send several changes of the spec.
    ChangeSpec = "change-spec",
    /// Operators close the connection before the response to a change, and retry the change.
    LoseAcknowledgements = "lose-acknowledgements",
    /// Operators send invalid changes and ones with a stale base version.
    InvalidSpecs = "invalid-specs",
    /// Operators send malformed changes.
    UnreadableSpecs = "unreadable-specs",
    /// Callers close their connections in the middle of a request or before the response.
    CallerDisconnects = "hang-ups",
    /// Random bytes are sent to the daemons' ingresses and to the addresses that processes use among themselves.
    Garbage = "garbage",
}

impl fmt::Display for SoakFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// The process that a fault affects.
#[derive(Clone, Copy)]
enum Target {
    Daemon,
    Controller,
    Leader,
}

/// The action that causes a fault.
enum FaultAction {
    Kill(Target),
    Stop(Target),
    Freeze(Target),
    Block {
        target: Target,
        /// Whether incoming traffic is blocked too.
        both_ways: bool,
    },
    SlowNetwork,
    /// The state that is written to the control file of a controller's disk.
    Disk(&'static str),
    /// The action that the platform is asked to perform on a worker.
    Worker(&'static str),
    /// The shares of requests with which runners misbehave.
    RunnerFaults(Value),
    Reload,
    SignalSeries,
    StopDaemons,
    ChangeSpec,
    DisconnectCallers,
    Garbage,
}

impl SoakFault {
    fn action(self) -> FaultAction {
        match self {
            Self::KillDaemon => FaultAction::Kill(Target::Daemon),
            Self::KillController => FaultAction::Kill(Target::Controller),
            Self::KillLeader => FaultAction::Kill(Target::Leader),
            Self::StopDaemon => FaultAction::Stop(Target::Daemon),
            Self::StopController => FaultAction::Stop(Target::Controller),
            Self::FreezeDaemon => FaultAction::Freeze(Target::Daemon),
            Self::FreezeLeader => FaultAction::Freeze(Target::Leader),
            Self::IsolateDaemon => FaultAction::Block {
                target: Target::Daemon,
                both_ways: true,
            },
            Self::BlockDaemonOutgoing => FaultAction::Block {
                target: Target::Daemon,
                both_ways: false,
            },
            Self::IsolateLeader => FaultAction::Block {
                target: Target::Leader,
                both_ways: true,
            },
            Self::SlowNetwork => FaultAction::SlowNetwork,
            Self::FillDisk => FaultAction::Disk("full"),
            Self::StallDisk => FaultAction::Disk("stalled"),
            Self::FailDisk => FaultAction::Disk("failing"),
            Self::CrashWorker => FaultAction::Worker("crash"),
            Self::DrainWorker => FaultAction::Worker("drain"),
            Self::LoseAnswers => FaultAction::RunnerFaults(json!({"lose": 0.05})),
            Self::BreakAnswers => {
                FaultAction::RunnerFaults(json!({"refuse": 0.05, "break_off": 0.05}))
            }
            Self::WrongAnswers => {
                FaultAction::RunnerFaults(json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02}))
            }
            Self::Reload => FaultAction::Reload,
            Self::SignalSeries => FaultAction::SignalSeries,
            Self::StopDaemons => FaultAction::StopDaemons,
            Self::ChangeSpec
            | Self::LoseAcknowledgements
            | Self::InvalidSpecs
            | Self::UnreadableSpecs => FaultAction::ChangeSpec,
            Self::CallerDisconnects => FaultAction::DisconnectCallers,
            Self::Garbage => FaultAction::Garbage,
        }
    }
}

/// How a fault is undone.
pub(super) enum FaultUndo {
    Nothing,
    Launch(String),
    AwaitStopsAndLaunch(Vec<String>),
    Resume(String),
    Unblock(Vec<(Ipv4Addr, Ipv4Addr)>),
    ClearRunnerFaults,
    ClearDelay,
    RestoreDisk(PathBuf),
    RestoreWorker(String),
}

/// Injects faults into a fleet and undoes them.
pub(super) struct SoakInjector<'a> {
    pub fleet: &'a mut Fleet,
    deployment: Deployment,
    rng: SeededRng,
    /// The tasks that await responses to operators' changes at stopping controllers.
    changes_at_stops: JoinSet<Option<String>>,
}

impl<'a> SoakInjector<'a> {
    /// Creates an injector without active faults.
    pub(super) fn new(fleet: &'a mut Fleet, deployment: Deployment, rng: SeededRng) -> Self {
        Self {
            fleet,
            deployment,
            rng,
            changes_at_stops: JoinSet::new(),
        }
    }
}

impl SoakInjector<'_> {
    /// Returns a violation for each operator's change that a controller left without a response when it stopped.
    pub(super) async fn unanswered_changes(mut self) -> Vec<String> {
        let changes = std::mem::take(&mut self.changes_at_stops);
        changes.join_all().await.into_iter().flatten().collect()
    }

    /// Sends an operator's change to a controller that is about to be stopped.
    async fn send_change_before_stop(&mut self, controller: &str) {
        let Some(operators) = self.fleet.layout.machines[controller].operators else {
            return;
        };
        let change_id = self.fleet.next_change_id();
        let reading = tokio::time::timeout(READ_VERSION_TIMEOUT, self.fleet.spec()).await;
        let version = reading.map_or(0, |read| read.map_or(0, |(version, _)| version));
        let sent_change = ChangeAtStop::send(controller, operators, version, &change_id).await;
        if let Some(change) = sent_change {
            self.changes_at_stops.spawn(change.check_response());
        }
    }

    /// Injects a fault. Does nothing if no suitable target is available.
    pub(crate) async fn inject(&mut self, fault: SoakFault) -> Result<FaultUndo, FleetError> {
        self.fleet
            .record_event("trouble", json!({"trouble": fault.as_str()}));
        match fault.action() {
            FaultAction::Kill(target) => {
                let name = self.choose(target).await;
                Ok(self.kill(name).await)
            }
            FaultAction::Stop(target) => {
                let name = self.choose(target).await;
                Ok(self.stop(name).await)
            }
            FaultAction::Freeze(target) => {
                let name = self.choose(target).await;
                Ok(self.freeze(name))
            }
            FaultAction::Block { target, both_ways } => {
                let name = self.choose(target).await;
                Ok(self.block(name, both_ways))
            }
            FaultAction::SlowNetwork => {
                self.fleet.network_proxy.set_delay(ADDED_DELAY);
                Ok(FaultUndo::ClearDelay)
            }
            FaultAction::Disk(disk_state) => self.inject_disk_fault(disk_state),
            FaultAction::Worker(action) => self.disrupt_worker(action).await,
            FaultAction::RunnerFaults(shares) => self.set_runner_faults(shares).await,
            FaultAction::Reload => {
                self.fleet.reload_all();
                Ok(FaultUndo::Nothing)
            }
            FaultAction::SignalSeries => {
                self.send_signal_series().await;
                Ok(FaultUndo::Nothing)
            }
            FaultAction::StopDaemons => Ok(self.stop_daemons().await),
            FaultAction::ChangeSpec => {
                self.change_spec(fault).await;
                Ok(FaultUndo::Nothing)
            }
            FaultAction::DisconnectCallers => {
                clients::disconnect_mid_request(self.fleet, self.deployment, &mut self.rng).await;
                Ok(FaultUndo::Nothing)
            }
            FaultAction::Garbage => {
                clients::send_garbage(self.fleet, &mut self.rng).await;
                Ok(FaultUndo::Nothing)
            }
        }
    }

    /// Sends changes of the spec until the timeout. Errors are ignored: without a leader, changes get no response.
    async fn change_spec(&mut self, fault: SoakFault) {
        let change = clients::change_spec(self.fleet, fault);
        let _ = tokio::time::timeout(clients::OPERATOR_TIMEOUT, change).await;
    }

    /// Repeatedly sends SIGTERM to stopping processes and SIGHUP to all, as an impatient process supervisor does.
    async fn send_signal_series(&mut self) {
        for _ in 0..SIGNALS_IN_SERIES {
            self.fleet.signal_stopping();
            self.fleet.reload_all();
            let pause = self.rng.within(Duration::ZERO, LONGEST_SIGNAL_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends SIGTERM to up to half of the available daemons, in quick succession.
    async fn stop_daemons(&mut self) -> FaultUndo {
        let stop_count = self.fleet.available("daemon").len().div_ceil(2);
        let mut stopping = Vec::new();
        for _ in 0..stop_count {
            if let Some(name) = self.choose_daemon() {
                self.rng.number();
                self.fleet.begin_stop(&name);
                stopping.push(name);
            }
            let pause = self.rng.within(Duration::ZERO, LONGEST_SIGNAL_PAUSE);
            tokio::time::sleep(pause).await;
        }
        FaultUndo::AwaitStopsAndLaunch(stopping)
    }

    /// Restarts those of the stopping processes that have ended or exceeded their grace period. Returns the others.
    async fn launch_stopped(&mut self, names: Vec<String>) -> Result<Vec<String>, FleetError> {
        let mut still_stopping = Vec::new();
        for name in names {
            if self.fleet.finish_stop(&name, STOP_GRACE).await {
                self.fleet.launch(&name).await?;
            } else {
                still_stopping.push(name);
            }
        }
        Ok(still_stopping)
    }

    /// Undoes a fault. Returns what cannot be undone yet and has to be tried again.
    pub(crate) async fn undo(&mut self, undo: FaultUndo) -> Result<Option<FaultUndo>, FleetError> {
        if let FaultUndo::AwaitStopsAndLaunch(names) = undo {
            let still_stopping = self.launch_stopped(names).await?;
            let is_done = still_stopping.is_empty();
            return Ok((!is_done).then_some(FaultUndo::AwaitStopsAndLaunch(still_stopping)));
        }
        self.undo_immediately(undo).await?;
        Ok(None)
    }

    async fn undo_immediately(&mut self, undo: FaultUndo) -> Result<(), FleetError> {
        match undo {
            FaultUndo::Nothing | FaultUndo::AwaitStopsAndLaunch(_) => Ok(()),
            FaultUndo::Launch(name) => self.fleet.launch(&name).await,
            FaultUndo::Resume(name) => {
                self.fleet.resume(&name);
                Ok(())
            }
            FaultUndo::Unblock(directions) => {
                self.fleet.network_proxy.unblock(&directions);
                Ok(())
            }
            FaultUndo::ClearDelay => {
                self.fleet.network_proxy.set_delay(Duration::ZERO);
                Ok(())
            }
            FaultUndo::RestoreDisk(control_file) => {
                let _ = std::fs::remove_file(control_file);
                Ok(())
            }
            FaultUndo::RestoreWorker(worker) => {
                let path = format!("/v1/workers/{worker}/restore");
                self.fleet.post_to_platform(&path, &json!({})).await
            }
            FaultUndo::ClearRunnerFaults => {
                self.fleet
                    .post_to_platform("/v1/runner-faults", &json!({}))
                    .await
            }
        }
    }

    /// Chooses a process that is neither stopping nor frozen.
    async fn choose(&self, target: Target) -> Option<String> {
        match target {
            Target::Daemon => self.choose_daemon(),
            Target::Controller => self.choose_controller(),
            Target::Leader => self.leader().await,
        }
    }

    /// Chooses a daemon that is neither stopping nor frozen.
    fn choose_daemon(&self) -> Option<String> {
        self.choose_one(self.fleet.available("daemon"))
    }

    /// Chooses a controller that is neither stopping nor frozen.
    fn choose_controller(&self) -> Option<String> {
        self.choose_one(self.fleet.available("controller"))
    }

    /// Returns the leader unless it is stopping or frozen.
    async fn leader(&self) -> Option<String> {
        let leader = self.fleet.leader().await?;
        self.fleet
            .available("controller")
            .contains(&leader)
            .then_some(leader)
    }

    /// Chooses a name without advancing the random number generator, so that a fault without a target does not change
    /// the choices of later faults.
    fn choose_one(&self, names: Vec<String>) -> Option<String> {
        let mut rng = self.rng.clone();
        let index = rng.below(names.len().max(1) as u64) as usize;
        names.get(index).cloned()
    }

    async fn kill(&mut self, name: Option<String>) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        self.fleet.kill(&name).await;
        FaultUndo::Launch(name)
    }

    async fn stop(&mut self, name: Option<String>) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        self.send_change_before_stop(&name).await;
        self.fleet.begin_stop(&name);
        FaultUndo::AwaitStopsAndLaunch(vec![name])
    }

    fn freeze(&mut self, name: Option<String>) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        self.fleet.freeze(&name);
        FaultUndo::Resume(name)
    }

    /// Blocks a machine's outgoing traffic to all others, and with `both_ways` also its incoming traffic.
    fn block(&mut self, name: Option<String>, both_ways: bool) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        let Some(own_ip) = self.fleet.ip_of(&name) else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        let mut directions = Vec::new();
        for other_ip in self.fleet.other_ips(std::slice::from_ref(&name)) {
            directions.push((own_ip, other_ip));
            if both_ways {
                directions.push((other_ip, own_ip));
            }
        }
        directions
            .iter()
            .for_each(|(from, to)| self.fleet.network_proxy.block(*from, *to));
        self.fleet
            .record_event("cut", json!({"machine": name, "both_ways": both_ways}));
        FaultUndo::Unblock(directions)
    }

    /// Injects a fault into the disk of a random controller.
    fn inject_disk_fault(&mut self, disk_state: &str) -> Result<FaultUndo, FleetError> {
        let Some(name) = self.choose_controller() else {
            return Ok(FaultUndo::Nothing);
        };
        self.rng.number();
        let control_file = self.fleet.layout.disk_file(&name);
        self.fleet
            .record_event("disk", json!({"machine": name, "how": disk_state}));
        std::fs::write(&control_file, disk_state)
            .map_err(|error| FleetError::Io(control_file.clone(), error))?;
        Ok(FaultUndo::RestoreDisk(control_file))
    }

    /// Drains or crashes a random worker of a random zone.
    async fn disrupt_worker(&mut self, action: &str) -> Result<FaultUndo, FleetError> {
        let zone = format!("locality-{}", 1 + self.rng.below(3));
        let Some(worker) = self.choose_one(self.fleet.workers_of(&zone).await) else {
            return Ok(FaultUndo::Nothing);
        };
        self.fleet
            .post_to_platform(&format!("/v1/workers/{worker}/{action}"), &json!({}))
            .await?;
        Ok(FaultUndo::RestoreWorker(worker))
    }

    /// Sets the shares of requests with which runners misbehave.
    async fn set_runner_faults(&mut self, shares: Value) -> Result<FaultUndo, FleetError> {
        self.fleet
            .post_to_platform("/v1/runner-faults", &shares)
            .await?;
        Ok(FaultUndo::ClearRunnerFaults)
    }
}
