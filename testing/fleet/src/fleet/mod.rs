//! The fleet's processes and how they are hurt.

mod layout;
mod network_proxy;
mod process;
mod sent_change;

pub use layout::{Layout, Machine, Sizes};
pub use network_proxy::NetworkProxy;
pub use process::Process;
pub use sent_change::SentChange;

use crate::judge::EvidenceError;
use common::frames::SocketAddress;
use common::http::{CallError, call_json};
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
pub enum FleetError {
    /// A process could not be started, or a file not be written.
    Machine(PathBuf, std::io::Error),
    /// Something awaited did not happen in time.
    NotInTime(&'static str),
    /// An operator's call failed.
    Call(CallError),
    /// The day's records cannot be judged.
    Evidence(EvidenceError),
    /// An operator's wish was refused.
    Refused(u16, Value),
}

impl fmt::Display for FleetError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Machine(path, error) => write!(out, "{}: {error}", path.display()),
            Self::NotInTime(what) => write!(out, "not in time: {what}"),
            Self::Call(error) => write!(out, "{error}"),
            Self::Evidence(error) => write!(out, "{error}"),
            Self::Refused(status, body) => write!(out, "refused with {status}: {body}"),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<EvidenceError> for FleetError {
    fn from(error: EvidenceError) -> Self {
        Self::Evidence(error)
    }
}

impl From<CallError> for FleetError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

/// A running fleet.
pub struct Fleet {
    /// Who stands where.
    pub layout: Layout,
    /// What was done to the fleet, and what operators were told.
    pub journal: Records,
    /// The network between the processes.
    pub network_proxy: NetworkProxy,
    processes: BTreeMap<String, Process>,
    /// Processes that were told to stop or stand still.
    disturbed: BTreeSet<String>,
    next_change: u64,
}

impl Fleet {
    /// Lays out the folder and starts every process, the platform first.
    pub async fn start(layout: Layout) -> Result<Self, FleetError> {
        let journal_path = layout.folder.join("journal.jsonl");
        let journal = Records::create(&journal_path)
            .map_err(|error| FleetError::Machine(journal_path, error))?;
        let processes = BTreeMap::new();
        let network_proxy = NetworkProxy::new();
        let disturbed = BTreeSet::new();
        let mut fleet = Self {
            layout,
            journal,
            network_proxy,
            processes,
            disturbed,
            next_change: 1,
        };

        let names: Vec<String> = fleet.layout.machines.keys().cloned().collect();
        fleet.launch("platform-stub").await?;
        for name in names.iter().filter(|name| *name != "platform-stub") {
            fleet.launch(name).await?;
        }
        Ok(fleet)
    }

    /// Puts a machine's relay up.
    async fn start_proxies_of(&self, name: &str) -> Result<(), FleetError> {
        if let Some((address, listen)) = self.layout.machines[name].endpoints {
            self.network_proxy
                .start_proxy(address, listen)
                .await
                .map_err(|error| FleetError::Machine(PathBuf::from(name), error))?;
        }
        Ok(())
    }

    /// The IP number of a machine.
    pub fn ip_of(&self, name: &str) -> Option<std::net::Ipv4Addr> {
        let endpoints = self.layout.machines.get(name)?.endpoints;
        endpoints.map(|(address, _)| *address.0.ip())
    }

    /// The IP numbers of all machines but some.
    pub fn other_ips(&self, names: &[String]) -> Vec<std::net::Ipv4Addr> {
        let others = self
            .layout
            .machines
            .keys()
            .filter(|name| !names.contains(name));
        others.filter_map(|name| self.ip_of(name)).collect()
    }

    /// Starts one process.
    pub async fn launch(&mut self, name: &str) -> Result<(), FleetError> {
        self.start_proxies_of(name).await?;
        let machine = &self.layout.machines[name];
        let process = Process::start(machine, &self.layout.folder)?;
        self.disturbed.remove(name);
        self.processes.insert(name.to_owned(), process);
        self.record_event(
            "launch",
            json!({"machine": name, "door": self.ingress(name)}),
        );
        Ok(())
    }

    fn ingress(&self, name: &str) -> Option<String> {
        self.layout.machines[name]
            .ingress
            .map(|ingress| ingress.to_string())
    }

    /// Writes to the journal.
    pub fn record_event(&self, kind: &str, detail: Value) {
        self.journal.add(kind, detail);
        self.journal.flush();
    }

    /// Kills a process without warning.
    pub async fn kill(&mut self, name: &str) {
        self.record_event("kill", json!({"machine": name, "door": self.ingress(name)}));
        if let Some(mut process) = self.processes.remove(name) {
            process.kill();
        }
        self.stop_proxy(name).await;
    }

    /// Kills some at once.
    pub async fn kill_all(&mut self, names: &[String]) {
        for name in names {
            self.kill(name).await;
        }
    }

    /// Starts some.
    pub async fn launch_all(&mut self, names: &[String]) -> Result<(), FleetError> {
        for name in names {
            self.launch(name).await?;
        }
        Ok(())
    }

    async fn stop_proxy(&self, name: &str) {
        if let Some((address, _)) = self
            .layout
            .machines
            .get(name)
            .and_then(|machine| machine.endpoints)
        {
            self.network_proxy.stop_proxy(address).await;
        }
    }

    /// Warns a process, and kills it when its grace is over; says how long it took.
    pub async fn stop(&mut self, name: &str, grace: Duration) -> Duration {
        self.record_event("stop", json!({"machine": name, "door": self.ingress(name)}));
        let started_at = Instant::now();
        if let Some(mut process) = self.processes.remove(name) {
            process.terminate();
            let is_gone = process.wait(grace).await;
            let taken_ms = started_at.elapsed().as_millis() as u64;
            if !is_gone {
                process.kill();
            }
            self.stop_proxy(name).await;
            self.record_event(
                "stopped",
                json!({"machine": name, "in_time": is_gone, "taken_ms": taken_ms}),
            );
        }
        started_at.elapsed()
    }

    /// Warns a process, and leaves it to stop; [`Fleet::stop`] waits for it.
    pub fn begin_stop(&mut self, name: &str) {
        self.record_event("stop", json!({"machine": name, "door": self.ingress(name)}));
        self.disturbed.insert(name.to_owned());
        if let Some(process) = self.processes.get(name) {
            process.terminate();
        }
    }

    /// Tells all daemons and controllers to read their settings again.
    pub fn reload_all(&self) {
        self.record_event("hang_up", json!({}));
        let notified = self
            .processes
            .iter()
            .filter(|(name, _)| *name != "platform-stub");
        notified.for_each(|(_, process)| process.reload());
    }

    /// The running processes of one program that nothing was done to that is not undone.
    pub fn undisturbed(&self, program: &str) -> Vec<String> {
        let mut names = self.running(program);
        names.retain(|name| !self.disturbed.contains(name));
        names
    }

    /// Processes that were started and not stopped, and have ended all the same.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        processes
            .filter_map(|(name, process)| process.has_exited().then(|| name.clone()))
            .collect()
    }

    /// Freezes a process.
    pub fn freeze(&mut self, name: &str) {
        self.record_event(
            "freeze",
            json!({"machine": name, "door": self.ingress(name)}),
        );
        self.disturbed.insert(name.to_owned());
        if let Some(process) = self.processes.get(name) {
            process.freeze();
        }
    }

    /// Wakes a frozen process.
    pub fn resume(&mut self, name: &str) {
        self.disturbed.remove(name);
        if let Some(process) = self.processes.get(name) {
            process.resume();
        }
        self.record_event("wake", json!({"machine": name, "door": self.ingress(name)}));
    }

    /// Empties a controller's data folder.
    pub fn lose_disk(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.layout.folder.join(format!("{name}.data")));
        self.record_event("lose_disk", json!({"machine": name}));
    }

    /// Stops everything.
    pub async fn end(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in &names {
            if let Some(process) = self.processes.get(name).filter(|_| name != "platform-stub") {
                process.resume();
                process.terminate();
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
        self.record_event("end", json!({}));
        if let Some(mut platform_stub) = self.processes.remove("platform-stub") {
            platform_stub.terminate();
            if !platform_stub.wait(Duration::from_secs(2)).await {
                platform_stub.kill();
            }
        }
    }

    /// Asks controllers in turn until one answers.
    pub async fn call_operators(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), FleetError> {
        let mut last_error = FleetError::NotInTime("a controller that answers");
        for operators in self.layout.operators() {
            let timeout = Duration::from_secs(12);
            match call_json(operators, method.clone(), path, body, timeout).await {
                Ok(called) => return Ok((called.status.as_u16(), called.json())),
                Err(error) if error.is_certainly_unsent() => last_error = FleetError::Call(error),
                Err(error) => return Err(FleetError::Call(error)),
            }
        }
        Err(last_error)
    }

    /// Founds the core once its members have met.
    pub async fn found(&self) -> Result<(), FleetError> {
        for _ in 0..100 {
            if let Ok((202, _)) = self
                .call_operators(Method::POST, "/v1/core/found", None)
                .await
            {
                return self.await_leader().await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetError::NotInTime("founding"))
    }

    /// Waits until a leader answers.
    pub async fn await_leader(&self) -> Result<(), FleetError> {
        for _ in 0..200 {
            if let Ok((200, _)) = self.call_operators(Method::GET, "/v1/spec", None).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetError::NotInTime("a leader"))
    }

    /// Waits until the platform finds that so many daemons are ready.
    pub async fn await_ready(&self, expected_count: usize) -> Result<(), FleetError> {
        for _ in 0..300 {
            let timeout = Duration::from_secs(1);
            let called = call_json(
                self.layout.platform,
                Method::GET,
                "/v1/daemons",
                None,
                timeout,
            )
            .await;
            let ready_count = called
                .ok()
                .and_then(|called| called.json()["ready"].as_array().map(Vec::len));
            if ready_count >= Some(expected_count) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetError::NotInTime("ready daemons"))
    }

    /// The present serial and spec.
    pub async fn spec(&self) -> Result<(u64, Value), FleetError> {
        match self.call_operators(Method::GET, "/v1/spec", None).await? {
            (200, body) => Ok((body["serial"].as_u64().unwrap_or(0), body["spec"].clone())),
            (status, body) => Err(FleetError::Refused(status, body)),
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
    ) -> Result<(u16, Value), FleetError> {
        let body = json!({"base_serial": base, "change_id": change_id, "spec": spec, "wait": wait});
        let sent_change = SentChange::new(&self.journal, base, change_id, spec);
        let response = self
            .call_operators(Method::PUT, "/v1/spec", Some(&body))
            .await;
        match &response {
            Ok((status, reply)) => sent_change.notified(*status, reply),
            Err(_) => drop(sent_change),
        }
        response
    }

    /// The controller that says it leads; used only to choose whom to hurt.
    pub async fn leader(&self) -> Option<String> {
        for (name, machine) in &self.layout.machines {
            let Some(operators) = machine.operators else {
                continue;
            };
            let timeout = Duration::from_millis(500);
            let called = call_json(operators, Method::GET, "/v1/core", None, timeout).await;
            if called.is_ok_and(|called| called.json()["leads"] == json!(true)) {
                return Some(name.clone());
            }
        }
        None
    }

    /// The daemon that holds most functions; used only to choose whom to hurt.
    pub async fn busiest_holder(&self) -> Option<String> {
        let (_, body) = self
            .call_operators(Method::GET, "/v1/holders", None)
            .await
            .ok()?;
        let mut held_counts: BTreeMap<String, usize> = BTreeMap::new();
        for row in body["holders"].as_array()? {
            *held_counts
                .entry(row["member"].as_str()?.to_owned())
                .or_default() += 1;
        }
        held_counts
            .into_iter()
            .filter(|(name, _)| self.processes.contains_key(name))
            .max_by_key(|(_, count)| *count)
            .map(|(name, _)| name)
    }

    /// The platform's workers in a zone.
    pub async fn workers_of(&self, zone: &str) -> Vec<String> {
        let timeout = Duration::from_secs(1);
        let address = self.layout.platform;
        let called = call_json(address, Method::GET, "/v1/workers", None, timeout).await;
        let body = called.map(|called| called.json()).unwrap_or_default();
        let rows = body["workers"].as_array().cloned().unwrap_or_default();
        rows.iter()
            .filter(|row| row["locality"] == json!(zone))
            .filter_map(|row| row["worker"].as_str().map(str::to_owned))
            .collect()
    }

    /// Has the platform do something.
    pub async fn platform(&self, path: &str, body: &Value) -> Result<(), FleetError> {
        let timeout = Duration::from_secs(2);
        call_json(
            self.layout.platform,
            Method::POST,
            path,
            Some(body),
            timeout,
        )
        .await?;
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
    pub fn ingress_of(&self, name: &str) -> Option<SocketAddress> {
        self.layout
            .machines
            .get(name)
            .and_then(|machine| machine.ingress)
    }
}
