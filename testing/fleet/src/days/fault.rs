use super::Deployment;
use crate::fleet::{Fleet, FleetFault};
use crate::judge::lines;
use common::chance::Chance;
use serde_json::{Value, json};
use std::fmt;
use std::time::Duration;

macro_rules! faults {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)+) => {
        /// A fault of the catalogue.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
        pub enum FaultName {
            $($(#[$doc])* $variant,)+
        }

        impl FaultName {
            /// Every fault there is.
            pub const ALL: &[FaultName] = &[$(FaultName::$variant),+];

            /// The fault of a name.
            pub fn named(given_name: &str) -> Option<FaultName> {
                Self::ALL.iter().copied().find(|fault| fault.as_str() == given_name)
            }

            /// The name on the command line.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

faults! {
    /// Turns the canary's route to the other function.
    SpecChange = "spec-change",
    /// Two changes on one version, at the same time.
    SpecRace = "spec-race",
    /// A change that does not check, and one on a stale version.
    SpecInvalid = "spec-invalid",
    /// Ten changes as fast as they are accepted.
    SpecStorm = "spec-storm",
    /// A change that adds a thousand routes.
    SpecGrow = "spec-grow",
    /// A daemon is killed and returns.
    KillOne = "kill-one",
    /// A third of the daemons are killed at once and return.
    KillHerd = "kill-herd",
    /// The leading controller is killed and returns.
    KillLeader = "kill-leader",
    /// The leader is killed right after it accepted a change.
    KillAfterAck = "kill-after-ack",
    /// A following controller is killed, loses its disk and returns.
    LoseDisk = "lose-disk",
    /// A following controller is lost for good, and an empty one at a new address takes its place.
    ReplaceCore = "replace-core",
    /// The daemon that holds most is frozen for six seconds.
    FreezeHolder = "freeze-holder",
    /// The leading controller is frozen for four seconds.
    FreezeLeader = "freeze-leader",
    /// A daemon is warned, given its grace, and returns.
    StopOne = "stop-one",
    /// Every daemon and controller is killed and returns.
    RestartAll = "restart-all",
    /// A worker is emptied.
    DrainWorker = "drain-worker",
    /// A worker crashes with its runners and returns.
    CrashWorker = "crash-worker",
    /// A zone is evacuated and brought back.
    Evacuate = "evacuate",
    /// Runners lose one answer in twenty.
    LostAnswers = "lost-answers",
    /// Runners send wrong, short and foreign bodies.
    WrongBytes = "wrong-bytes",
    /// Runners refuse and break off.
    Refusals = "refusals",
    /// A route is added, turned and removed, and called through every door each time.
    SpecRoutes = "spec-routes",
    /// A third of the daemons and a controller are killed at once; the controller loses its disk.
    HerdLosesDisk = "herd-loses-disk",
    /// A zone is lost whole, daemons, controller and workers, and returns.
    LoseZone = "lose-locality",
    /// A third of the daemons freeze at once for four seconds.
    FreezeHerd = "freeze-herd",
    /// The daemon that holds most is warned, given its grace, and returns.
    StopHolder = "stop-holder",
    /// The leader is cut off from the other controllers, with half of the daemons on its side.
    CutCore = "cut-core",
    /// The daemon that holds most is cut off from all other processes.
    CutHolder = "cut-holder",
    /// A daemon is heard by nobody, or hears nobody.
    CutOneWay = "cut-one-way",
    /// A zone is cut off from the others.
    CutZone = "cut-locality",
    /// Everything between the processes takes a fifth of a second longer.
    SlowNetwork = "slow-network",
    /// The leader's disk is full for six seconds, while changes are sent.
    DiskFull = "disk-full",
    /// The leader's disk stalls for six seconds, while changes are sent.
    DiskStalls = "disk-stalls",
    /// A follower's disk fails every write for six seconds, while changes are sent.
    DiskFails = "disk-fails",
    /// Every daemon and controller is stopped in order and started again, one after the other.
    RollingRestart = "rolling-restart",
    /// Runners say that they leave, and stop six seconds later.
    RunnerLeaves = "runner-leaves",
    /// A crowd on one busy function.
    Crowd = "crowd",
    /// All rare functions are called at once.
    RareCrowd = "rare-crowd",
}

impl fmt::Display for FaultName {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// A fault that is about to be caused, and what it needs to know.
pub struct Fault<'a> {
    /// Which one.
    pub name: FaultName,
    /// The deployment.
    pub deployment: Deployment,
    /// Chance.
    pub chance: &'a mut Chance,
}

fn is_heavy(name: FaultName) -> bool {
    matches!(
        name,
        FaultName::KillOne
            | FaultName::KillHerd
            | FaultName::KillLeader
            | FaultName::KillAfterAck
            | FaultName::LoseDisk
            | FaultName::ReplaceCore
            | FaultName::FreezeHolder
            | FaultName::FreezeLeader
            | FaultName::RestartAll
            | FaultName::HerdLosesDisk
            | FaultName::LoseZone
            | FaultName::FreezeHerd
            | FaultName::CutCore
            | FaultName::CutHolder
            | FaultName::CutZone
            | FaultName::CrashWorker
    )
}

impl FaultName {
    /// Whether it needs controllers whose disks can be made to ail.
    pub fn is_of_disk(self) -> bool {
        matches!(self, Self::DiskFull | Self::DiskStalls | Self::DiskFails)
    }

    /// A seeded combination: some faults by chance, the last one heavy.
    pub fn by_chance(seed: u64) -> Vec<FaultName> {
        let mut chance = Chance::seeded(seed ^ 0xc0b1);
        let one_of = |faults: &[FaultName], chance: &mut Chance| {
            faults[chance.below(faults.len() as u64) as usize]
        };
        let heavy: Vec<FaultName> =
            Self::ALL.iter().copied().filter(|fault| is_heavy(*fault)).collect();
        let mut chosen: Vec<FaultName> = (0..6).map(|_| one_of(Self::ALL, &mut chance)).collect();
        chosen.push(one_of(&heavy, &mut chance));
        chosen
    }

    /// The lines of the judge that this fault is meant to try; a day in which one of them looked at
    /// no case has not proved what it was run for.
    pub fn tries(self) -> &'static [&'static str] {
        match self {
            Self::SpecChange => &[lines::FORCE],
            Self::SpecRace => &[lines::LOSING, lines::FORCE, lines::REFUSED_CHANGE],
            Self::SpecInvalid => &[lines::REFUSED_CHANGE, lines::NEVER],
            Self::SpecStorm | Self::SpecGrow => &[lines::FORCE, lines::LOSING],
            Self::SpecRoutes => &[lines::FORCE, lines::DOORS],
            Self::KillOne | Self::KillHerd | Self::LoseZone | Self::HerdLosesDisk => {
                &[lines::TWICE, lines::REFUSED, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::KillLeader | Self::KillAfterAck | Self::FreezeLeader => {
                &[lines::FORCE, lines::DOWN]
            }
            Self::LoseDisk | Self::ReplaceCore => &[lines::FORCE, lines::DOWN],
            Self::FreezeHolder | Self::FreezeHerd => {
                &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::CutCore | Self::CutHolder | Self::CutZone => {
                &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN]
            }
            Self::CutOneWay | Self::SlowNetwork => &[lines::TWICE, lines::TWO_HOLDERS],
            Self::DiskFull | Self::DiskStalls | Self::DiskFails => &[lines::FORCE, lines::LOSING],
            Self::StopOne | Self::StopHolder | Self::RollingRestart => &[lines::DROPPED],
            Self::RestartAll => &[lines::TWICE, lines::TWO_HOLDERS, lines::DOWN],
            Self::DrainWorker | Self::CrashWorker | Self::RunnerLeaves => &[lines::DRAINING],
            Self::Evacuate => &[lines::EVACUATED],
            Self::LostAnswers => &[lines::TWICE, lines::EXTRA],
            Self::WrongBytes => &[lines::UNSEALED, lines::EXTRA],
            Self::Refusals => &[lines::REFUSED],
            Self::Crowd | Self::RareCrowd => &[lines::FLOODED],
        }
    }
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

impl Fault<'_> {
    /// Causes it, and undoes it where it is meant to pass.
    pub async fn cause(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        fleet.note("fault", json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}));
        self.hurt(fleet).await?;
        fleet.note("returned", json!({"fault": self.name.as_str(), "heavy": is_heavy(self.name)}));
        Ok(())
    }

    fn one_of(&mut self, names: &[String]) -> Option<String> {
        let place = self.chance.below(names.len() as u64) as usize;
        names.get(place).cloned()
    }

    async fn turn_canary(&self, fleet: &mut Fleet, wait: &str) -> Result<(), FleetFault> {
        let (serial, mut spec) = fleet.spec().await?;
        let is_a = spec["routes"]["canary"]["function"] == json!("canary-a");
        spec["routes"]["canary"]["function"] = json!(if is_a { "canary-b" } else { "canary-a" });
        let change_id = fleet.change_id();
        fleet.put_spec(serial, &change_id, &spec, wait).await?;
        Ok(())
    }

    async fn hurt(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        match self.name {
            FaultName::SpecChange => self.turn_canary(fleet, "accepted").await,
            FaultName::SpecStorm => {
                for _ in 0..10 {
                    self.turn_canary(fleet, "accepted").await?;
                }
                Ok(())
            }
            FaultName::SpecRace => self.race(fleet).await,
            FaultName::SpecInvalid => self.send_invalid(fleet).await,
            FaultName::SpecGrow => self.grow(fleet).await,
            FaultName::KillOne => {
                let names = fleet.running("daemon");
                let Some(name) = self.one_of(&names) else { return Ok(()) };
                fleet.kill(&name).await;
                pause(3000).await;
                fleet.launch(&name).await
            }
            FaultName::KillHerd => {
                let names = fleet.running("daemon");
                let herd: Vec<String> = names.iter().step_by(3).cloned().collect();
                fleet.kill_all(&herd).await;
                pause(3000).await;
                fleet.launch_all(&herd).await
            }
            FaultName::KillLeader => {
                let Some(name) = fleet.leader().await else { return Ok(()) };
                fleet.kill(&name).await;
                pause(3000).await;
                fleet.launch(&name).await
            }
            FaultName::KillAfterAck => {
                self.turn_canary(fleet, "accepted").await?;
                let Some(name) = fleet.leader().await else { return Ok(()) };
                fleet.kill(&name).await;
                pause(3000).await;
                fleet.launch(&name).await
            }
            FaultName::LoseDisk => {
                let Some(name) = self.some_follower(fleet).await else { return Ok(()) };
                fleet.kill(&name).await;
                fleet.lose_disk(&name);
                pause(1000).await;
                fleet.launch(&name).await
            }
            FaultName::ReplaceCore => {
                let Some(name) = self.some_follower(fleet).await else { return Ok(()) };
                let zone = fleet.layout.machines[&name].zone.clone();
                fleet.kill(&name).await;
                fleet.layout.machines.remove(&name);
                let spare_name = format!("spare-{}", self.chance.below(1 << 20));
                fleet.layout.add_controller(&spare_name, &zone)?;
                fleet.launch(&spare_name).await?;
                pause(14_000).await;
                Ok(())
            }
            FaultName::FreezeHolder => {
                let Some(name) = fleet.busiest_holder().await else { return Ok(()) };
                fleet.freeze(&name);
                pause(6000).await;
                fleet.wake(&name);
                Ok(())
            }
            FaultName::FreezeLeader => {
                let Some(name) = fleet.leader().await else { return Ok(()) };
                fleet.freeze(&name);
                pause(4000).await;
                fleet.wake(&name);
                Ok(())
            }
            FaultName::StopOne => {
                let names = fleet.running("daemon");
                let Some(name) = self.one_of(&names) else { return Ok(()) };
                fleet.stop(&name, Duration::from_secs(6)).await;
                pause(1000).await;
                fleet.launch(&name).await
            }
            FaultName::RestartAll => {
                let names: Vec<String> =
                    [fleet.running("daemon"), fleet.running("controller")].concat();
                fleet.kill_all(&names).await;
                pause(1000).await;
                fleet.launch_all(&names).await
            }
            FaultName::SpecRoutes => self.turn_routes(fleet).await,
            FaultName::HerdLosesDisk => {
                let names = fleet.running("daemon");
                let herd: Vec<String> = names.iter().step_by(3).cloned().collect();
                let Some(follower) = self.some_follower(fleet).await else { return Ok(()) };
                fleet.kill_all(&herd).await;
                fleet.kill(&follower).await;
                fleet.lose_disk(&follower);
                pause(3000).await;
                fleet.launch_all(&herd).await?;
                fleet.launch(&follower).await
            }
            FaultName::LoseZone => self.lose_zone(fleet).await,
            FaultName::FreezeHerd => {
                let names = fleet.running("daemon");
                let herd: Vec<String> = names.iter().step_by(3).cloned().collect();
                herd.iter().for_each(|name| fleet.freeze(name));
                pause(4000).await;
                herd.iter().for_each(|name| fleet.wake(name));
                Ok(())
            }
            FaultName::StopHolder => {
                let Some(name) = fleet.busiest_holder().await else { return Ok(()) };
                fleet.stop(&name, Duration::from_secs(6)).await;
                pause(1000).await;
                fleet.launch(&name).await
            }
            FaultName::CutCore => {
                let Some(leader) = fleet.leader().await else { return Ok(()) };
                let daemons = fleet.running("daemon");
                let mut side: Vec<String> = daemons.iter().step_by(2).cloned().collect();
                side.push(leader);
                self.cut_off(fleet, &side).await
            }
            FaultName::CutHolder => {
                let Some(name) = fleet.busiest_holder().await else { return Ok(()) };
                self.cut_off(fleet, &[name]).await
            }
            FaultName::CutZone => {
                let zone = format!("locality-{}", 1 + self.chance.below(3));
                let machines = fleet.layout.machines.values();
                let side: Vec<String> = machines
                    .filter(|machine| machine.zone == zone)
                    .map(|machine| machine.name.clone())
                    .collect();
                self.cut_off(fleet, &side).await
            }
            FaultName::CutOneWay => {
                let names = fleet.running("daemon");
                let Some(name) = self.one_of(&names) else { return Ok(()) };
                let Some(own_ip) = fleet.ip_of(&name) else { return Ok(()) };
                let is_heard = self.chance.happens(0.5);
                for other_ip in fleet.other_ips(&[name]) {
                    match is_heard {
                        true => fleet.relay.cut(other_ip, own_ip),
                        false => fleet.relay.cut(own_ip, other_ip),
                    }
                }
                pause(6000).await;
                fleet.relay.mend();
                Ok(())
            }
            FaultName::SlowNetwork => {
                fleet.relay.slow_down(Duration::from_millis(200));
                pause(8000).await;
                fleet.relay.mend();
                Ok(())
            }
            FaultName::DiskFull | FaultName::DiskStalls => {
                let Some(leader) = fleet.leader().await else { return Ok(()) };
                let ail = if self.name == FaultName::DiskFull { "full" } else { "stalled" };
                self.ail(fleet, &leader, ail).await
            }
            FaultName::DiskFails => {
                let Some(follower) = self.some_follower(fleet).await else { return Ok(()) };
                self.ail(fleet, &follower, "failing").await
            }
            FaultName::RollingRestart => {
                let names = [fleet.running("daemon"), fleet.running("controller")].concat();
                for name in names {
                    fleet.stop(&name, Duration::from_secs(6)).await;
                    fleet.launch(&name).await?;
                    pause(2500).await;
                }
                Ok(())
            }
            FaultName::RunnerLeaves => {
                let (_, body) = fleet.ask(hyper::Method::GET, "/v1/runners", None).await?;
                let rows = body["runners"].as_array().cloned().unwrap_or_default();
                for row in rows.iter().step_by(4) {
                    let Some(runner) = row["runner"].as_str() else { continue };
                    fleet.platform(&format!("/v1/runners/{runner}/leave"), &json!({})).await?;
                }
                pause(7000).await;
                Ok(())
            }
            FaultName::DrainWorker => {
                let worker = self.some_worker(fleet).await;
                fleet.platform(&format!("/v1/workers/{worker}/drain"), &json!({})).await?;
                pause(6000).await;
                fleet.platform(&format!("/v1/workers/{worker}/restore"), &json!({})).await
            }
            FaultName::CrashWorker => {
                let worker = self.some_worker(fleet).await;
                fleet.platform(&format!("/v1/workers/{worker}/crash"), &json!({})).await?;
                pause(3000).await;
                fleet.platform(&format!("/v1/workers/{worker}/restore"), &json!({})).await
            }
            FaultName::Evacuate => self.evacuate(fleet).await,
            FaultName::LostAnswers => self.mischief(fleet, json!({"lose": 0.05})).await,
            FaultName::WrongBytes => {
                self.mischief(fleet, json!({"wrong": 0.02, "short": 0.02, "foreign": 0.02})).await
            }
            FaultName::Refusals => {
                self.mischief(fleet, json!({"refuse": 0.05, "break_off": 0.05})).await
            }
            FaultName::Crowd | FaultName::RareCrowd => self.crowd(fleet).await,
        }
    }

    async fn some_follower(&mut self, fleet: &Fleet) -> Option<String> {
        let leader = fleet.leader().await;
        let followers: Vec<String> = fleet
            .running("controller")
            .into_iter()
            .filter(|name| Some(name) != leader.as_ref())
            .collect();
        self.one_of(&followers)
    }

    async fn some_worker(&mut self, fleet: &Fleet) -> String {
        let used_workers: Vec<String> =
            match fleet.ask(hyper::Method::GET, "/v1/workers", None).await {
                Ok((_, body)) => body["workers"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter(|row| row["reserved_mb"].as_u64() > Some(0))
                    .filter_map(|row| row["worker"].as_str().map(str::to_owned))
                    .collect(),
                Err(_) => Vec::new(),
            };
        self.one_of(&used_workers).unwrap_or_else(|| "worker-00".to_owned())
    }

    async fn mischief(&self, fleet: &Fleet, shares: Value) -> Result<(), FleetFault> {
        fleet.platform("/v1/mischief", &shares).await?;
        pause(10_000).await;
        fleet.platform("/v1/mischief", &json!({})).await
    }

    async fn race(&self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let (serial, spec) = fleet.spec().await?;
        let with_canary = |function: &str, extra: &str| {
            let mut changed_spec = spec.clone();
            changed_spec["routes"]["canary"]["function"] = json!(function);
            changed_spec["functions"][extra] = json!({"memory_mb": 64, "boot_ms": 100, "slots": 1});
            changed_spec
        };
        let first_spec = with_canary("canary-a", "racer-a");
        let second_spec = with_canary("canary-b", "racer-b");
        let (first_id, second_id) = (fleet.change_id(), fleet.change_id());
        let (first_said, second_said) = tokio::join!(
            fleet.put_spec(serial, &first_id, &first_spec, "accepted"),
            fleet.put_spec(serial, &second_id, &second_spec, "accepted"),
        );
        first_said?;
        second_said?;
        Ok(())
    }

    async fn send_invalid(&self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let (serial, spec) = fleet.spec().await?;
        let mut invalid_spec = spec.clone();
        invalid_spec["functions"]["never"] = json!({"memory_mb": 0, "boot_ms": 100, "slots": 1});
        invalid_spec["routes"]["canary"]["function"] = json!("never");
        let change_id = fleet.change_id();
        fleet.put_spec(serial, &change_id, &invalid_spec, "accepted").await?;
        let mut stale_spec = spec.clone();
        stale_spec["functions"]["never"] = json!({"memory_mb": 64, "boot_ms": 100, "slots": 1});
        stale_spec["routes"]["canary"]["function"] = json!("never");
        let change_id = fleet.change_id();
        fleet.put_spec(serial.saturating_sub(1), &change_id, &stale_spec, "accepted").await?;
        Ok(())
    }

    async fn grow(&self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let (serial, mut spec) = fleet.spec().await?;
        for number in 0..1000 {
            spec["routes"][format!("grown-{serial}-{number}")] = json!({
                "method": "GET",
                "path": format!("/grown/{serial}/{number}/{{part}}"),
                "function": "canary-a",
                "budget_ms": 2000,
                "kind": "repeatable",
            });
        }
        let change_id = fleet.change_id();
        fleet.put_spec(serial, &change_id, &spec, "in_force").await?;
        Ok(())
    }

    async fn evacuate(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let zones = fleet.layout.machines.values().map(|machine| machine.zone.clone());
        let named_zones: std::collections::BTreeSet<String> =
            zones.filter(|name| !name.is_empty()).collect();
        let names: Vec<String> = named_zones.into_iter().collect();
        let Some(zone) = self.one_of(&names) else { return Ok(()) };
        for deed in ["evacuate", "restore"] {
            let body = json!({"change_id": fleet.change_id()});
            let path = format!("/v1/localities/{zone}/{deed}");
            let said = fleet.ask(hyper::Method::POST, &path, Some(&body)).await;
            let status = said.as_ref().map_or(0, |(status, _)| *status);
            fleet.note("locality", json!({"locality": zone, "deed": deed, "status": status}));
            if deed == "evacuate" {
                pause(9000).await;
            }
        }
        Ok(())
    }

    /// A disk ails while changes go on being sent; what is not accepted then may be unknown.
    async fn ail(&self, fleet: &mut Fleet, name: &str, ail: &str) -> Result<(), FleetFault> {
        let said_in = fleet.layout.disk_file(name);
        let at = |fault| FleetFault::Machine(said_in.clone(), fault);
        std::fs::write(&said_in, ail).map_err(at)?;
        for _ in 0..4 {
            pause(1500).await;
            if let Err(fault) = self.turn_canary(fleet, "accepted").await {
                fleet.note("change_failed", json!({"why": fault.to_string()}));
            }
        }
        std::fs::remove_file(&said_in).map_err(at)
    }

    async fn cut_off(&self, fleet: &Fleet, side: &[String]) -> Result<(), FleetFault> {
        let side_ips: Vec<_> = side.iter().filter_map(|name| fleet.ip_of(name)).collect();
        fleet.relay.cut_apart(&side_ips, &fleet.other_ips(side));
        pause(6000).await;
        fleet.relay.mend();
        Ok(())
    }

    async fn lose_zone(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let zone = format!("locality-{}", 1 + self.chance.below(3));
        let lost: Vec<String> = fleet
            .layout
            .machines
            .values()
            .filter(|machine| machine.zone == zone)
            .map(|machine| machine.name.clone())
            .collect();
        let workers = fleet.workers_of(&zone).await;
        fleet.kill_all(&lost).await;
        for worker in &workers {
            fleet.platform(&format!("/v1/workers/{worker}/crash"), &json!({})).await?;
        }
        pause(5000).await;
        for worker in &workers {
            fleet.platform(&format!("/v1/workers/{worker}/restore"), &json!({})).await?;
        }
        fleet.launch_all(&lost).await
    }

    /// A route of its own: added, turned to another function, removed; each time every door is called
    /// once the change must be in force.
    async fn turn_routes(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        for function in [Some("canary-a"), Some("canary-b"), None] {
            let (serial, mut spec) = fleet.spec().await?;
            match function {
                Some(function) => {
                    spec["routes"]["probe"] = json!({
                        "method": "POST", "path": "/probe", "function": function,
                        "budget_ms": 5000, "patience_ms": 4000, "kind": "repeatable",
                    });
                }
                None => {
                    if let Some(routes) = spec["routes"].as_object_mut() {
                        routes.remove("probe");
                    }
                }
            }
            let change_id = fleet.change_id();
            fleet.put_spec(serial, &change_id, &spec, "accepted").await?;
            pause(3300).await;
            self.call_each_door(fleet, "/probe").await;
        }
        Ok(())
    }

    async fn call_each_door(&mut self, fleet: &Fleet, path: &str) {
        for door in fleet.layout.doors() {
            let number = self.chance.below(1 << 30);
            let records = fleet.folder().join(format!("callers-probe-{number}.jsonl"));
            let plan = json!({
                "seed": number,
                "lasts_ms": 200,
                "rate": 0.0,
                "doors": [door.to_string()],
                "routes": [{
                    "method": "POST", "path": path, "function": "canary", "once": false,
                    "weight": 1, "budget_ms": [4000, 5000],
                }],
                "bursts": [{"at_ms": 0, "lasts_ms": 100, "count": 3, "first_route": 0}],
                "records": records.display().to_string(),
            });
            let source = common::readers::BootSource::from_value("probe", plan);
            if let Ok(plan) = loadgen::Plan::read(&source) {
                let _ = loadgen::walk(plan).await;
            }
        }
    }

    async fn crowd(&mut self, fleet: &mut Fleet) -> Result<(), FleetFault> {
        let caller_routes = self.deployment.caller_routes();
        let busy_count =
            caller_routes.iter().filter(|route| route["weight"] == json!(1000)).count();
        let is_rare = self.name == FaultName::RareCrowd;
        let rare_count = caller_routes.len() - busy_count - 1;
        let burst = if is_rare {
            json!({"at_ms": 0, "lasts_ms": 500, "count": rare_count, "first_route": busy_count, "route_count": rare_count})
        } else {
            json!({"at_ms": 0, "lasts_ms": 3000, "count": 3000, "first_route": 0})
        };
        let number = self.chance.below(1 << 30);
        let records = fleet.folder().join(format!("callers-crowd-{number}.jsonl"));
        let plan = json!({
            "seed": number,
            "lasts_ms": 4000,
            "rate": 0.0,
            "doors": fleet.layout.doors().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "platform": fleet.layout.platform.to_string(),
            "routes": caller_routes,
            "bursts": [burst],
            "records": records.display().to_string(),
        });
        let source = common::readers::BootSource::from_value("crowd", plan);
        if let Ok(plan) = loadgen::Plan::read(&source) {
            let _ = loadgen::walk(plan).await;
        }
        Ok(())
    }
}
