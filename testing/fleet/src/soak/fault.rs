//! The troubles of a soak: what each does to the fleet when it begins, and how it is undone.

use super::clients;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetError};
use common::rng::SeededRng;
use serde_json::json;
use std::fmt;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

/// How long a process may take to stop in order.
const STOP_GRACE: Duration = Duration::from_secs(7);
/// How much longer everything takes on a slow network.
const ADDED_DELAY: Duration = Duration::from_millis(200);

macro_rules! soak_faults {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A kind of trouble.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub enum SoakFault {
            $($(#[$doc])* $variant,)+
        }

        impl SoakFault {
            /// Every kind there is.
            pub const ALL: &[SoakFault] = &[$(SoakFault::$variant),+];

            /// Its name in records.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

soak_faults! {
    /// A daemon is killed and started again.
    KillDaemon = "kill-daemon",
    /// A daemon is stopped in order and started again.
    StopDaemon = "stop-daemon",
    /// A daemon stands still.
    FreezeDaemon = "freeze-daemon",
    /// The leader is killed and started again.
    KillLeader = "kill-leader",
    /// A controller is killed and started again.
    KillController = "kill-controller",
    /// A controller is stopped in order and started again.
    StopController = "stop-controller",
    /// The leader stands still.
    FreezeLeader = "freeze-leader",
    /// A daemon is cut off from all other processes.
    IsolateDaemon = "cut-daemon",
    /// The leader is cut off from all other processes.
    IsolateLeader = "cut-leader",
    /// What one daemon sends is lost.
    BlockDaemonOutgoing = "mute-daemon",
    /// Everything between the processes takes a fifth of a second longer.
    SlowNetwork = "slow-network",
    /// A controller's disk takes no more bytes.
    FillDisk = "fill-disk",
    /// A controller's disk answers nothing.
    StallDisk = "stall-disk",
    /// A controller's disk fails every write.
    FailDisk = "fail-disk",
    /// A worker crashes with its runners.
    CrashWorker = "crash-worker",
    /// A worker is emptied.
    DrainWorker = "drain-worker",
    /// Runners lose answers.
    LoseAnswers = "lose-answers",
    /// Runners refuse, and break answers off.
    BreakAnswers = "break-answers",
    /// Runners answer with wrong, short and foreign bodies.
    WrongAnswers = "wrong-answers",
    /// All processes are told to read their settings again, several times.
    Reload = "reload",
    /// Operators send changes one after the other.
    ChangeSpec = "change-spec",
    /// Operators hang up before they hear what became of a change, and send it again.
    LoseAcknowledgements = "lose-acknowledgements",
    /// Operators send changes that do not check, or build on an older version.
    InvalidSpecs = "invalid-specs",
    /// Callers hang up in the middle of their requests, or while these run.
    HangUps = "hang-ups",
    /// Connections bring bytes that are no message, to callers' doors and between processes.
    Garbage = "garbage",
}

impl fmt::Display for SoakFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// What has to be undone when a trouble ends.
pub(super) enum FaultUndo {
    Nothing,
    Launch(String),
    AwaitStopAndLaunch(String),
    Resume(String),
    Unblock(Vec<(Ipv4Addr, Ipv4Addr)>),
    ClearRunnerFaults,
    ClearDelay,
    RestoreDisk(PathBuf),
    RestoreWorker(String),
}

/// Begins and ends troubles on a fleet.
pub(super) struct SoakInjector<'a> {
    pub fleet: &'a mut Fleet,
    pub deployment: Deployment,
    pub rng: SeededRng,
}

impl SoakInjector<'_> {
    /// Begins a trouble. One that finds nothing to hurt, since others have it already, does nothing.
    pub async fn begin(&mut self, fault: SoakFault) -> Result<FaultUndo, FleetError> {
        self.fleet
            .record_event("trouble", json!({"trouble": fault.as_str()}));
        match fault {
            SoakFault::KillDaemon => Ok(self.kill(self.some_daemon()).await),
            SoakFault::KillController => Ok(self.kill(self.some_controller()).await),
            SoakFault::KillLeader => {
                let leader = self.leader().await;
                Ok(self.kill(leader).await)
            }
            SoakFault::StopDaemon => Ok(self.stop(self.some_daemon())),
            SoakFault::StopController => Ok(self.stop(self.some_controller())),
            SoakFault::FreezeDaemon => Ok(self.freeze(self.some_daemon())),
            SoakFault::FreezeLeader => {
                let leader = self.leader().await;
                Ok(self.freeze(leader))
            }
            SoakFault::IsolateDaemon => Ok(self.block(self.some_daemon(), true)),
            SoakFault::BlockDaemonOutgoing => Ok(self.block(self.some_daemon(), false)),
            SoakFault::IsolateLeader => {
                let leader = self.leader().await;
                Ok(self.block(leader, true))
            }
            SoakFault::SlowNetwork => {
                self.fleet.network_proxy.set_delay(ADDED_DELAY);
                Ok(FaultUndo::ClearDelay)
            }
            SoakFault::FillDisk => self.inject_disk_fault("full"),
            SoakFault::StallDisk => self.inject_disk_fault("stalled"),
            SoakFault::FailDisk => self.inject_disk_fault("failing"),
            SoakFault::CrashWorker => self.fail_worker("crash").await,
            SoakFault::DrainWorker => self.fail_worker("drain").await,
            SoakFault::LoseAnswers => self.set_runner_faults(json!({"lose": 0.05})).await,
            SoakFault::BreakAnswers => {
                self.set_runner_faults(json!({"refuse": 0.05, "break_off": 0.05}))
                    .await
            }
            SoakFault::WrongAnswers => {
                self.set_runner_faults(json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02}))
                    .await
            }
            SoakFault::Reload => {
                self.fleet.reload_all();
                Ok(FaultUndo::Nothing)
            }
            SoakFault::ChangeSpec | SoakFault::LoseAcknowledgements | SoakFault::InvalidSpecs => {
                let timeout = clients::OPERATOR_TIMEOUT;
                let change = clients::change_spec(self.fleet, fault);
                // Without a leader nobody answers; that is no fault of the soak.
                let _ = tokio::time::timeout(timeout, change).await;
                Ok(FaultUndo::Nothing)
            }
            SoakFault::HangUps => {
                clients::disconnect_mid_request(self.fleet, self.deployment, &mut self.rng).await;
                Ok(FaultUndo::Nothing)
            }
            SoakFault::Garbage => {
                clients::send_garbage(self.fleet, &mut self.rng).await;
                Ok(FaultUndo::Nothing)
            }
        }
    }

    /// Ends a trouble.
    pub async fn end(&mut self, undo: FaultUndo) -> Result<(), FleetError> {
        match undo {
            FaultUndo::Nothing => Ok(()),
            FaultUndo::Launch(name) => self.fleet.launch(&name).await,
            FaultUndo::AwaitStopAndLaunch(name) => {
                self.fleet.stop(&name, STOP_GRACE).await;
                self.fleet.launch(&name).await
            }
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
                self.fleet.platform(&path, &json!({})).await
            }
            FaultUndo::ClearRunnerFaults => {
                self.fleet.platform("/v1/runner-faults", &json!({})).await
            }
        }
    }

    fn some_daemon(&self) -> Option<String> {
        self.one_of(self.fleet.undisturbed("daemon"))
    }

    fn some_controller(&self) -> Option<String> {
        self.one_of(self.fleet.undisturbed("controller"))
    }

    async fn leader(&self) -> Option<String> {
        let leader = self.fleet.leader().await?;
        self.fleet
            .undisturbed("controller")
            .contains(&leader)
            .then_some(leader)
    }

    fn one_of(&self, names: Vec<String>) -> Option<String> {
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

    fn stop(&mut self, name: Option<String>) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        self.fleet.begin_stop(&name);
        FaultUndo::AwaitStopAndLaunch(name)
    }

    fn freeze(&mut self, name: Option<String>) -> FaultUndo {
        let Some(name) = name else {
            return FaultUndo::Nothing;
        };
        self.rng.number();
        self.fleet.freeze(&name);
        FaultUndo::Resume(name)
    }

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

    /// A controller's disk ails; which one, chance says: the leader's or another's.
    fn inject_disk_fault(&mut self, how: &str) -> Result<FaultUndo, FleetError> {
        let Some(name) = self.some_controller() else {
            return Ok(FaultUndo::Nothing);
        };
        self.rng.number();
        let control_file = self.fleet.layout.disk_file(&name);
        self.fleet
            .record_event("disk", json!({"machine": name, "how": how}));
        std::fs::write(&control_file, how)
            .map_err(|error| FleetError::Machine(control_file.clone(), error))?;
        Ok(FaultUndo::RestoreDisk(control_file))
    }

    async fn fail_worker(&mut self, action: &str) -> Result<FaultUndo, FleetError> {
        let zone = format!("locality-{}", 1 + self.rng.below(3));
        let Some(worker) = self.one_of(self.fleet.workers_of(&zone).await) else {
            return Ok(FaultUndo::Nothing);
        };
        self.fleet
            .platform(&format!("/v1/workers/{worker}/{action}"), &json!({}))
            .await?;
        Ok(FaultUndo::RestoreWorker(worker))
    }

    async fn set_runner_faults(
        &mut self,
        shares: serde_json::Value,
    ) -> Result<FaultUndo, FleetError> {
        self.fleet.platform("/v1/runner-faults", &shares).await?;
        Ok(FaultUndo::ClearRunnerFaults)
    }
}
