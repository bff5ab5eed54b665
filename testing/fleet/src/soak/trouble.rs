//! The troubles of a soak: what each does to the fleet when it begins, and how it is undone.

use super::clients;
use crate::days::Deployment;
use crate::fleet::{Fleet, FleetFault};
use common::chance::Chance;
use serde_json::json;
use std::fmt;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

/// How long a process may take to stop in order.
const STOP_GRACE: Duration = Duration::from_secs(7);
/// How much longer everything takes on a slow network.
const SLOWED_BY: Duration = Duration::from_millis(200);

macro_rules! troubles {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A kind of trouble.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub enum Trouble {
            $($(#[$doc])* $variant,)+
        }

        impl Trouble {
            /// Every kind there is.
            pub const ALL: &[Trouble] = &[$(Trouble::$variant),+];

            /// Its name in records.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

troubles! {
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
    CutDaemon = "cut-daemon",
    /// The leader is cut off from all other processes.
    CutLeader = "cut-leader",
    /// What one daemon sends is lost.
    MuteDaemon = "mute-daemon",
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

impl fmt::Display for Trouble {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// What has to be undone when a trouble ends.
pub(super) enum Undo {
    Nothing,
    Launch(String),
    AwaitStopAndLaunch(String),
    Wake(String),
    Join(Vec<(Ipv4Addr, Ipv4Addr)>),
    RunnersAreSound,
    SpeedUp,
    HealDisk(PathBuf),
    RestoreWorker(String),
}

/// Begins and ends troubles on a fleet.
pub(super) struct Troubler<'a> {
    pub fleet: &'a mut Fleet,
    pub deployment: Deployment,
    pub chance: Chance,
}

impl Troubler<'_> {
    /// Begins a trouble. One that finds nothing to hurt, since others have it already, does nothing.
    pub async fn begin(&mut self, trouble: Trouble) -> Result<Undo, FleetFault> {
        self.fleet.note("trouble", json!({"trouble": trouble.as_str()}));
        match trouble {
            Trouble::KillDaemon => Ok(self.kill(self.some_daemon()).await),
            Trouble::KillController => Ok(self.kill(self.some_controller()).await),
            Trouble::KillLeader => {
                let leader = self.leader().await;
                Ok(self.kill(leader).await)
            }
            Trouble::StopDaemon => Ok(self.stop(self.some_daemon())),
            Trouble::StopController => Ok(self.stop(self.some_controller())),
            Trouble::FreezeDaemon => Ok(self.freeze(self.some_daemon())),
            Trouble::FreezeLeader => {
                let leader = self.leader().await;
                Ok(self.freeze(leader))
            }
            Trouble::CutDaemon => Ok(self.cut(self.some_daemon(), true)),
            Trouble::MuteDaemon => Ok(self.cut(self.some_daemon(), false)),
            Trouble::CutLeader => {
                let leader = self.leader().await;
                Ok(self.cut(leader, true))
            }
            Trouble::SlowNetwork => {
                self.fleet.relay.slow_down(SLOWED_BY);
                Ok(Undo::SpeedUp)
            }
            Trouble::FillDisk => self.ail("full"),
            Trouble::StallDisk => self.ail("stalled"),
            Trouble::FailDisk => self.ail("failing"),
            Trouble::CrashWorker => self.hurt_worker("crash").await,
            Trouble::DrainWorker => self.hurt_worker("drain").await,
            Trouble::LoseAnswers => self.hurt_runners(json!({"lose": 0.05})).await,
            Trouble::BreakAnswers => {
                self.hurt_runners(json!({"refuse": 0.05, "break_off": 0.05})).await
            }
            Trouble::WrongAnswers => {
                self.hurt_runners(json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02})).await
            }
            Trouble::Reload => {
                self.fleet.hang_up_all();
                Ok(Undo::Nothing)
            }
            Trouble::ChangeSpec | Trouble::LoseAcknowledgements | Trouble::InvalidSpecs => {
                let patience = clients::OPERATOR_PATIENCE;
                let change = clients::change_spec(self.fleet, trouble);
                // Without a leader nobody answers; that is no fault of the soak.
                let _ = tokio::time::timeout(patience, change).await;
                Ok(Undo::Nothing)
            }
            Trouble::HangUps => {
                clients::hang_up(self.fleet, self.deployment, &mut self.chance).await;
                Ok(Undo::Nothing)
            }
            Trouble::Garbage => {
                clients::send_garbage(self.fleet, &mut self.chance).await;
                Ok(Undo::Nothing)
            }
        }
    }

    /// Ends a trouble.
    pub async fn end(&mut self, undo: Undo) -> Result<(), FleetFault> {
        match undo {
            Undo::Nothing => Ok(()),
            Undo::Launch(name) => self.fleet.launch(&name).await,
            Undo::AwaitStopAndLaunch(name) => {
                self.fleet.stop(&name, STOP_GRACE).await;
                self.fleet.launch(&name).await
            }
            Undo::Wake(name) => {
                self.fleet.wake(&name);
                Ok(())
            }
            Undo::Join(ways) => {
                self.fleet.relay.join(&ways);
                Ok(())
            }
            Undo::SpeedUp => {
                self.fleet.relay.slow_down(Duration::ZERO);
                Ok(())
            }
            Undo::HealDisk(said_in) => {
                let _ = std::fs::remove_file(said_in);
                Ok(())
            }
            Undo::RestoreWorker(worker) => {
                let path = format!("/v1/workers/{worker}/restore");
                self.fleet.platform(&path, &json!({})).await
            }
            Undo::RunnersAreSound => self.fleet.platform("/v1/runner-faults", &json!({})).await,
        }
    }

    fn some_daemon(&self) -> Option<String> {
        self.one_of(self.fleet.untroubled("daemon"))
    }

    fn some_controller(&self) -> Option<String> {
        self.one_of(self.fleet.untroubled("controller"))
    }

    async fn leader(&self) -> Option<String> {
        let leader = self.fleet.leader().await?;
        self.fleet.untroubled("controller").contains(&leader).then_some(leader)
    }

    fn one_of(&self, names: Vec<String>) -> Option<String> {
        let mut chance = self.chance.clone();
        let place = chance.below(names.len().max(1) as u64) as usize;
        names.get(place).cloned()
    }

    async fn kill(&mut self, name: Option<String>) -> Undo {
        let Some(name) = name else { return Undo::Nothing };
        self.chance.number();
        self.fleet.kill(&name).await;
        Undo::Launch(name)
    }

    fn stop(&mut self, name: Option<String>) -> Undo {
        let Some(name) = name else { return Undo::Nothing };
        self.chance.number();
        self.fleet.begin_stop(&name);
        Undo::AwaitStopAndLaunch(name)
    }

    fn freeze(&mut self, name: Option<String>) -> Undo {
        let Some(name) = name else { return Undo::Nothing };
        self.chance.number();
        self.fleet.freeze(&name);
        Undo::Wake(name)
    }

    fn cut(&mut self, name: Option<String>, both_ways: bool) -> Undo {
        let Some(name) = name else { return Undo::Nothing };
        let Some(own_ip) = self.fleet.ip_of(&name) else { return Undo::Nothing };
        self.chance.number();
        let mut ways = Vec::new();
        for other_ip in self.fleet.other_ips(std::slice::from_ref(&name)) {
            ways.push((own_ip, other_ip));
            if both_ways {
                ways.push((other_ip, own_ip));
            }
        }
        ways.iter().for_each(|(from, to)| self.fleet.relay.cut(*from, *to));
        self.fleet.note("cut", json!({"machine": name, "both_ways": both_ways}));
        Undo::Join(ways)
    }

    /// A controller's disk ails; which one, chance says: the leader's or another's.
    fn ail(&mut self, how: &str) -> Result<Undo, FleetFault> {
        let Some(name) = self.some_controller() else { return Ok(Undo::Nothing) };
        self.chance.number();
        let said_in = self.fleet.layout.disk_file(&name);
        self.fleet.note("disk", json!({"machine": name, "how": how}));
        std::fs::write(&said_in, how)
            .map_err(|fault| FleetFault::Machine(said_in.clone(), fault))?;
        Ok(Undo::HealDisk(said_in))
    }

    async fn hurt_worker(&mut self, deed: &str) -> Result<Undo, FleetFault> {
        let zone = format!("locality-{}", 1 + self.chance.below(3));
        let Some(worker) = self.one_of(self.fleet.workers_of(&zone).await) else {
            return Ok(Undo::Nothing);
        };
        self.fleet.platform(&format!("/v1/workers/{worker}/{deed}"), &json!({})).await?;
        Ok(Undo::RestoreWorker(worker))
    }

    async fn hurt_runners(&mut self, shares: serde_json::Value) -> Result<Undo, FleetFault> {
        self.fleet.platform("/v1/runner-faults", &shares).await?;
        Ok(Undo::RunnersAreSound)
    }
}
