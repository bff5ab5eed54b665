//! The fleet's processes and how they are hurt.

mod layout;
mod process;
mod relay;
mod sent_change;

pub use layout::{Layout, Machine, Sizes};
pub use process::Process;
pub use relay::Relay;
pub use sent_change::SentChange;

use crate::judge::EvidenceFault;
use common::frames::Place;
use common::http::{CallFault, call_json};
use hyper::Method;
use platform_stub::records::Records;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Why the fleet could not do something.
#[derive(Debug)]
pub enum FleetFault {
    /// A process could not be started, or a file not be written.
    Machine(PathBuf, std::io::Error),
    /// Something awaited did not happen in time.
    Awaited(&'static str),
    /// An operator's call failed.
    Call(CallFault),
    /// The day's records cannot be judged.
    Evidence(EvidenceFault),
    /// An operator's wish was refused.
    Refused(u16, Value),
}

impl fmt::Display for FleetFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Machine(path, fault) => write!(out, "{}: {fault}", path.display()),
            Self::Awaited(what) => write!(out, "not in time: {what}"),
            Self::Call(fault) => write!(out, "{fault}"),
            Self::Evidence(fault) => write!(out, "{fault}"),
            Self::Refused(status, body) => write!(out, "refused with {status}: {body}"),
        }
    }
}

impl std::error::Error for FleetFault {}

impl From<EvidenceFault> for FleetFault {
    fn from(fault: EvidenceFault) -> Self {
        Self::Evidence(fault)
    }
}

impl From<CallFault> for FleetFault {
    fn from(fault: CallFault) -> Self {
        Self::Call(fault)
    }
}

/// A running fleet.
pub struct Fleet {
    /// Who stands where.
    pub layout: Layout,
    /// What was done to the fleet, and what operators were told.
    pub journal: Records,
    /// The network between the processes.
    pub relay: Relay,
    processes: BTreeMap<String, Process>,
    /// Processes that were told to stop or stand still.
    troubled: BTreeSet<String>,
    next_change: u64,
}

impl Fleet {
    /// Lays out the folder and starts every process, the platform first.
    pub async fn start(layout: Layout) -> Result<Self, FleetFault> {
        let journal_path = layout.folder.join("journal.jsonl");
        let journal = Records::create(&journal_path)
            .map_err(|fault| FleetFault::Machine(journal_path, fault))?;
        let processes = BTreeMap::new();
        let relay = Relay::new();
        let troubled = BTreeSet::new();
        let mut fleet = Self { layout, journal, relay, processes, troubled, next_change: 1 };

        let names: Vec<String> = fleet.layout.machines.keys().cloned().collect();
        fleet.launch("platform-stub").await?;
        for name in names.iter().filter(|name| *name != "platform-stub") {
            fleet.launch(name).await?;
        }
        Ok(fleet)
    }

    /// Puts a machine's relay up.
    async fn relay_for(&self, name: &str) -> Result<(), FleetFault> {
        if let Some((place, listen)) = self.layout.machines[name].ways {
            self.relay
                .stand_before(place, listen)
                .await
                .map_err(|fault| FleetFault::Machine(PathBuf::from(name), fault))?;
        }
        Ok(())
    }

    /// The IP number of a machine.
    pub fn ip_of(&self, name: &str) -> Option<std::net::Ipv4Addr> {
        let ways = self.layout.machines.get(name)?.ways;
        ways.map(|(place, _)| *place.0.ip())
    }

    /// The IP numbers of all machines but some.
    pub fn other_ips(&self, names: &[String]) -> Vec<std::net::Ipv4Addr> {
        let others = self.layout.machines.keys().filter(|name| !names.contains(name));
        others.filter_map(|name| self.ip_of(name)).collect()
    }

    /// Starts one process.
    pub async fn launch(&mut self, name: &str) -> Result<(), FleetFault> {
        self.relay_for(name).await?;
        let machine = &self.layout.machines[name];
        let process = Process::start(machine, &self.layout.folder)?;
        self.troubled.remove(name);
        self.processes.insert(name.to_owned(), process);
        self.note("launch", json!({"machine": name, "door": self.door(name)}));
        Ok(())
    }

    fn door(&self, name: &str) -> Option<String> {
        self.layout.machines[name].door.map(|door| door.to_string())
    }

    /// Writes to the journal.
    pub fn note(&self, kind: &str, detail: Value) {
        self.journal.add(kind, detail);
        self.journal.flush();
    }

    /// Kills a process without warning.
    pub async fn kill(&mut self, name: &str) {
        self.note("kill", json!({"machine": name, "door": self.door(name)}));
        if let Some(mut process) = self.processes.remove(name) {
            process.kill();
        }
        self.step_aside(name).await;
    }

    /// Kills some at once.
    pub async fn kill_all(&mut self, names: &[String]) {
        for name in names {
            self.kill(name).await;
        }
    }

    /// Starts some.
    pub async fn launch_all(&mut self, names: &[String]) -> Result<(), FleetFault> {
        for name in names {
            self.launch(name).await?;
        }
        Ok(())
    }

    async fn step_aside(&self, name: &str) {
        if let Some((place, _)) = self.layout.machines.get(name).and_then(|machine| machine.ways) {
            self.relay.step_aside(place).await;
        }
    }

    /// Warns a process, and kills it when its grace is over; says how long it took.
    pub async fn stop(&mut self, name: &str, grace: Duration) -> Duration {
        self.note("stop", json!({"machine": name, "door": self.door(name)}));
        let started_at = Instant::now();
        if let Some(mut process) = self.processes.remove(name) {
            process.warn();
            let is_gone = process.wait(grace).await;
            let taken_ms = started_at.elapsed().as_millis() as u64;
            if !is_gone {
                process.kill();
            }
            self.step_aside(name).await;
            self.note(
                "stopped",
                json!({"machine": name, "in_time": is_gone, "taken_ms": taken_ms}),
            );
        }
        started_at.elapsed()
    }

    /// Warns a process, and leaves it to stop; [`Fleet::stop`] waits for it.
    pub fn begin_stop(&mut self, name: &str) {
        self.note("stop", json!({"machine": name, "door": self.door(name)}));
        self.troubled.insert(name.to_owned());
        if let Some(process) = self.processes.get(name) {
            process.warn();
        }
    }

    /// Tells all daemons and controllers to read their settings again.
    pub fn hang_up_all(&self) {
        self.note("hang_up", json!({}));
        let told = self.processes.iter().filter(|(name, _)| *name != "platform-stub");
        told.for_each(|(_, process)| process.hang_up());
    }

    /// The running processes of one program that nothing was done to that is not undone.
    pub fn untroubled(&self, program: &str) -> Vec<String> {
        let mut names = self.running(program);
        names.retain(|name| !self.troubled.contains(name));
        names
    }

    /// Processes that were started and not stopped, and have ended all the same.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        processes.filter_map(|(name, process)| process.has_ended().then(|| name.clone())).collect()
    }

    /// Freezes a process.
    pub fn freeze(&mut self, name: &str) {
        self.note("freeze", json!({"machine": name, "door": self.door(name)}));
        self.troubled.insert(name.to_owned());
        if let Some(process) = self.processes.get(name) {
            process.freeze();
        }
    }

    /// Wakes a frozen process.
    pub fn wake(&mut self, name: &str) {
        self.troubled.remove(name);
        if let Some(process) = self.processes.get(name) {
            process.wake();
        }
        self.note("wake", json!({"machine": name, "door": self.door(name)}));
    }

    /// Empties a controller's data folder.
    pub fn lose_disk(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.layout.folder.join(format!("{name}.data")));
        self.note("lose_disk", json!({"machine": name}));
    }

    /// Stops everything.
    pub async fn end(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in &names {
            if let Some(process) = self.processes.get(name).filter(|_| name != "platform-stub") {
                process.wake();
                process.warn();
            }
        }
        for name in &names {
            if name != "platform-stub"
                && let Some(mut process) = self.processes.remove(name)
                && !process.wait(Duration::from_secs(7)).await
            {
                process.kill();
            }
        }
        self.note("end", json!({}));
        if let Some(mut platform_stub) = self.processes.remove("platform-stub") {
            platform_stub.warn();
            if !platform_stub.wait(Duration::from_secs(2)).await {
                platform_stub.kill();
            }
        }
    }

    /// Asks controllers in turn until one answers.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), FleetFault> {
        let mut last_fault = FleetFault::Awaited("a controller that answers");
        for operators in self.layout.operators() {
            let patience = Duration::from_secs(12);
            match call_json(operators, method.clone(), path, body, patience).await {
                Ok(called) => return Ok((called.status.as_u16(), called.json())),
                Err(fault) if fault.is_surely_unsent() => last_fault = FleetFault::Call(fault),
                Err(fault) => return Err(FleetFault::Call(fault)),
            }
        }
        Err(last_fault)
    }

    /// Founds the core once its members have met.
    pub async fn found(&self) -> Result<(), FleetFault> {
        for _ in 0..100 {
            if let Ok((202, _)) = self.ask(Method::POST, "/v1/core/found", None).await {
                return self.await_leader().await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetFault::Awaited("founding"))
    }

    /// Waits until a leader answers.
    pub async fn await_leader(&self) -> Result<(), FleetFault> {
        for _ in 0..200 {
            if let Ok((200, _)) = self.ask(Method::GET, "/v1/spec", None).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetFault::Awaited("a leader"))
    }

    /// Waits until the platform finds that so many daemons are ready.
    pub async fn await_ready(&self, wanted_count: usize) -> Result<(), FleetFault> {
        for _ in 0..300 {
            let patience = Duration::from_secs(1);
            let called =
                call_json(self.layout.platform, Method::GET, "/v1/daemons", None, patience).await;
            let ready_count =
                called.ok().and_then(|called| called.json()["ready"].as_array().map(Vec::len));
            if ready_count >= Some(wanted_count) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetFault::Awaited("ready daemons"))
    }

    /// The present serial and spec.
    pub async fn spec(&self) -> Result<(u64, Value), FleetFault> {
        match self.ask(Method::GET, "/v1/spec", None).await? {
            (200, body) => Ok((body["serial"].as_u64().unwrap_or(0), body["spec"].clone())),
            (status, body) => Err(FleetFault::Refused(status, body)),
        }
    }

    /// A change id not used before.
    pub fn change_id(&mut self) -> String {
        self.next_change += 1;
        format!("change-{}", self.next_change)
    }

    /// Sends a whole spec, and writes down what was sent and what was told.
    pub async fn put_spec(
        &self,
        base: u64,
        change_id: &str,
        spec: &Value,
        wait: &str,
    ) -> Result<(u16, Value), FleetFault> {
        let body = json!({"base_serial": base, "change_id": change_id, "spec": spec, "wait": wait});
        let sent_change = SentChange::new(&self.journal, base, change_id, spec);
        let said = self.ask(Method::PUT, "/v1/spec", Some(&body)).await;
        match &said {
            Ok((status, reply)) => sent_change.told(*status, reply),
            Err(_) => drop(sent_change),
        }
        said
    }

    /// The controller that says it leads; used only to choose whom to hurt.
    pub async fn leader(&self) -> Option<String> {
        for (name, machine) in &self.layout.machines {
            let Some(operators) = machine.operators else { continue };
            let patience = Duration::from_millis(500);
            let called = call_json(operators, Method::GET, "/v1/core", None, patience).await;
            if called.is_ok_and(|called| called.json()["leads"] == json!(true)) {
                return Some(name.clone());
            }
        }
        None
    }

    /// The daemon that holds most functions; used only to choose whom to hurt.
    pub async fn busiest_holder(&self) -> Option<String> {
        let (_, body) = self.ask(Method::GET, "/v1/holders", None).await.ok()?;
        let mut held_counts: BTreeMap<String, usize> = BTreeMap::new();
        for row in body["holders"].as_array()? {
            *held_counts.entry(row["member"].as_str()?.to_owned()).or_default() += 1;
        }
        held_counts
            .into_iter()
            .filter(|(name, _)| self.processes.contains_key(name))
            .max_by_key(|(_, count)| *count)
            .map(|(name, _)| name)
    }

    /// The platform's workers in a zone.
    pub async fn workers_of(&self, zone: &str) -> Vec<String> {
        let patience = Duration::from_secs(1);
        let place = self.layout.platform;
        let called = call_json(place, Method::GET, "/v1/workers", None, patience).await;
        let body = called.map(|called| called.json()).unwrap_or_default();
        let rows = body["workers"].as_array().cloned().unwrap_or_default();
        rows.iter()
            .filter(|row| row["locality"] == json!(zone))
            .filter_map(|row| row["worker"].as_str().map(str::to_owned))
            .collect()
    }

    /// Has the platform do something.
    pub async fn platform(&self, path: &str, body: &Value) -> Result<(), FleetFault> {
        let patience = Duration::from_secs(2);
        call_json(self.layout.platform, Method::POST, path, Some(body), patience).await?;
        Ok(())
    }

    /// The running processes of one program.
    pub fn running(&self, program: &str) -> Vec<String> {
        self.processes
            .keys()
            .filter(|name| self.layout.machines[*name].program == program)
            .cloned()
            .collect()
    }

    /// The folder of settings, logs and records.
    pub fn folder(&self) -> &Path {
        &self.layout.folder
    }

    /// Where a machine's door is.
    pub fn door_of(&self, name: &str) -> Option<Place> {
        self.layout.machines.get(name).and_then(|machine| machine.door)
    }
}
