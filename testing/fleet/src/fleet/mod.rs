//! A fleet of real processes on one machine: starts, stops and disturbs them, and calls their operator API.

mod address_block;
mod layout;
mod network_proxy;
mod process;
#[path = "../../../support/program_start.rs"]
mod program_start;
mod sent_change;

pub use layout::{Endpoints, Layout, Machine, Sizes};
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
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Why an action on the fleet failed. The messages include those of their causes.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A process could not be started, a file could not be read or written, or an address could not be bound.
    #[error("{path}: {cause}", path = .0.display(), cause = .1)]
    Io(PathBuf, std::io::Error),
    /// The named condition did not hold, or not in time.
    #[error("condition not met: {0}")]
    ConditionNotMet(&'static str),
    /// An HTTP request to an operator API or the platform failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The records of the day cannot be judged.
    #[error(transparent)]
    Evidence(#[from] EvidenceError),
    /// An operator's request was refused, with this status and body.
    #[error("refused with {0}: {1}")]
    Refused(u16, Value),
}

/// A running fleet. Its processes are killed when this value is dropped.
pub struct Fleet {
    /// Declared before the layout, since fields are dropped in declaration order and the processes must be killed
    /// before the layout releases their addresses.
    processes: BTreeMap<String, Process>,
    /// The machines and their addresses.
    pub layout: Layout,
    /// The journal of actions on the fleet and of operators' changes.
    pub journal: Records,
    /// The network between the processes.
    pub network_proxy: NetworkProxy,
    /// The processes that are stopping or frozen.
    unavailable: BTreeSet<String>,
    /// When each graceful stop in progress began, by process.
    stop_times: BTreeMap<String, Instant>,
    /// The number in the last change id that was generated.
    last_change_number: u64,
}

impl Fleet {
    /// Creates the journal and starts every process, the platform first.
    pub async fn start(layout: Layout) -> Result<Self, FleetError> {
        let journal_path = layout.folder.join("journal.jsonl");
        let journal =
            Records::create(&journal_path).map_err(|error| FleetError::Io(journal_path, error))?;
        let processes = BTreeMap::new();
        let network_proxy = NetworkProxy::new();
        let unavailable = BTreeSet::new();
        let mut fleet = Self {
            layout,
            journal,
            network_proxy,
            processes,
            unavailable,
            stop_times: BTreeMap::new(),
            last_change_number: 1,
        };

        let names: Vec<String> = fleet.layout.machines.keys().cloned().collect();
        fleet.launch("platform-stub").await?;
        for name in names.iter().filter(|name| *name != "platform-stub") {
            fleet.launch(name).await?;
        }
        Ok(fleet)
    }

    /// Starts a machine's network proxy, if it has one.
    async fn start_proxy_of(&self, name: &str) -> Result<(), FleetError> {
        if let Some((address, listen)) = self.layout.machines[name].endpoints {
            self.network_proxy
                .start_proxy(address, listen)
                .await
                .map_err(|error| FleetError::Io(PathBuf::from(name), error))?;
        }
        Ok(())
    }

    /// Returns the loopback address of a machine, by which the network proxy identifies it.
    pub fn ip_of(&self, name: &str) -> Option<std::net::Ipv4Addr> {
        let endpoints = self.layout.machines.get(name)?.endpoints;
        endpoints.map(|(address, _)| *address.0.ip())
    }

    /// Returns the loopback addresses of all machines except the named ones.
    pub fn other_ips(&self, names: &[String]) -> Vec<std::net::Ipv4Addr> {
        let others = self
            .layout
            .machines
            .keys()
            .filter(|name| !names.contains(name));
        others.filter_map(|name| self.ip_of(name)).collect()
    }

    /// Starts the process of a machine behind its network proxy.
    pub async fn launch(&mut self, name: &str) -> Result<(), FleetError> {
        self.start_proxy_of(name).await?;
        let machine = &self.layout.machines[name];
        let process = Process::start(machine, &self.layout.folder)?;
        self.unavailable.remove(name);
        self.processes.insert(name.to_owned(), process);
        self.record_event(
            "launch",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
        Ok(())
    }

    fn ingress_text(&self, name: &str) -> Option<String> {
        self.layout.machines[name]
            .ingress
            .map(|ingress| ingress.to_string())
    }

    /// Appends an entry to the journal.
    pub fn record_event(&self, kind: &str, detail: Value) {
        self.journal.add(kind, detail);
        self.journal.flush();
    }

    /// Kills a process with SIGKILL.
    pub async fn kill(&mut self, name: &str) {
        self.record_event(
            "kill",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
        if let Some(mut process) = self.processes.remove(name) {
            process.kill();
        }
        self.stop_proxy(name).await;
    }

    /// Kills several processes, one right after the other.
    pub async fn kill_all(&mut self, names: &[String]) {
        for name in names {
            self.kill(name).await;
        }
    }

    /// Starts several processes, one right after the other.
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

    /// Stops a process with SIGTERM, and kills it if it still runs after the grace period. Returns the time taken.
    pub async fn stop(&mut self, name: &str, grace: Duration) -> Duration {
        self.record_event(
            "stop",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
        let started_at = Instant::now();
        if let Some(mut process) = self.processes.remove(name) {
            process.terminate();
            let has_ended = process.wait(grace).await;
            let taken_ms = started_at.elapsed().as_millis() as u64;
            if !has_ended {
                process.kill();
            }
            self.stop_proxy(name).await;
            self.record_event(
                "stopped",
                json!({"machine": name, "in_time": has_ended, "taken_ms": taken_ms}),
            );
        }
        started_at.elapsed()
    }

    /// Sends SIGTERM to a process without waiting for it to end. [`Fleet::finish_stop`] completes the stop.
    pub fn begin_stop(&mut self, name: &str) {
        self.record_event(
            "stop",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
        self.unavailable.insert(name.to_owned());
        self.stop_times.insert(name.to_owned(), Instant::now());
        if let Some(process) = self.processes.get(name) {
            process.terminate();
        }
    }

    /// Completes a stop begun by [`Fleet::begin_stop`] if the process has ended; kills the process if its grace period
    /// is over. Returns whether the process is gone.
    pub async fn finish_stop(&mut self, name: &str, grace: Duration) -> bool {
        let Some(process) = self.processes.get_mut(name) else {
            return true;
        };
        let taken = self
            .stop_times
            .get(name)
            .map_or(grace, |begun_at| begun_at.elapsed());
        let has_ended = process.has_exited();
        if !has_ended && taken < grace {
            return false;
        }
        if !has_ended {
            process.kill();
        }
        self.processes.remove(name);
        self.stop_times.remove(name);
        self.stop_proxy(name).await;
        let taken_ms = taken.as_millis() as u64;
        self.record_event(
            "stopped",
            json!({"machine": name, "in_time": has_ended, "taken_ms": taken_ms}),
        );
        true
    }

    /// Sends SIGTERM and SIGHUP again to every process that is stopping.
    pub fn signal_stopping(&self) {
        for name in self.stop_times.keys() {
            if let Some(process) = self.processes.get(name) {
                process.terminate();
                process.reload();
            }
        }
    }

    /// Sends SIGHUP to all daemons and controllers, so that they reload their settings.
    pub fn reload_all(&self) {
        self.record_event("hang_up", json!({}));
        let reloaded = self
            .processes
            .iter()
            .filter(|(name, _)| *name != "platform-stub");
        reloaded.for_each(|(_, process)| process.reload());
    }

    /// Returns the running processes of a program that are neither stopping nor frozen.
    pub fn available(&self, program: &str) -> Vec<String> {
        let mut names = self.running(program);
        names.retain(|name| !self.unavailable.contains(name));
        names
    }

    /// Returns the processes that ended although they were not stopped or killed.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        processes
            .filter_map(|(name, process)| process.has_exited().then(|| name.clone()))
            .collect()
    }

    /// Freezes a process with SIGSTOP.
    pub fn freeze(&mut self, name: &str) {
        self.record_event(
            "freeze",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
        self.unavailable.insert(name.to_owned());
        if let Some(process) = self.processes.get(name) {
            process.freeze();
        }
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&mut self, name: &str) {
        self.unavailable.remove(name);
        if let Some(process) = self.processes.get(name) {
            process.resume();
        }
        self.record_event(
            "wake",
            json!({"machine": name, "door": self.ingress_text(name)}),
        );
    }

    /// Deletes a controller's data directory.
    pub fn lose_disk(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.layout.folder.join(format!("{name}.data")));
        self.record_event("lose_disk", json!({"machine": name}));
    }

    /// Stops all processes, the platform last.
    pub async fn shut_down(&mut self) {
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
        self.network_proxy.stop_all().await;
    }

    /// Sends a request to the operator APIs of the controllers in turn until one responds. Returns the status and the
    /// JSON body.
    ///
    /// # Errors
    /// Fails if no controller is reachable, or if the request may have been sent and got no response.
    pub async fn call_operators(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(u16, Value), FleetError> {
        let mut last_error = FleetError::ConditionNotMet("a controller responds");
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

    /// Bootstraps the control quorum as soon as the controllers accept it, and waits for a leader.
    pub async fn bootstrap(&self) -> Result<(), FleetError> {
        for _ in 0..100 {
            if let Ok((202, _)) = self
                .call_operators(Method::POST, "/v1/core/found", None)
                .await
            {
                return self.await_leader().await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetError::ConditionNotMet(
            "the control quorum is bootstrapped",
        ))
    }

    /// Waits until a leader is elected and responds to a read of the spec.
    pub async fn await_leader(&self) -> Result<(), FleetError> {
        for _ in 0..200 {
            if let Ok((200, _)) = self.call_operators(Method::GET, "/v1/spec", None).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(FleetError::ConditionNotMet("a leader is elected"))
    }

    /// Waits until the platform's readiness probes report this many daemons as ready.
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
        Err(FleetError::ConditionNotMet("enough daemons are ready"))
    }

    /// Returns the current spec and its version.
    pub async fn spec(&self) -> Result<(u64, Value), FleetError> {
        match self.call_operators(Method::GET, "/v1/spec", None).await? {
            (200, body) => Ok((body["serial"].as_u64().unwrap_or(0), body["spec"].clone())),
            (status, body) => Err(FleetError::Refused(status, body)),
        }
    }

    /// Generates a change id that was not used before.
    pub fn next_change_id(&mut self) -> String {
        self.last_change_number += 1;
        format!("change-{}", self.last_change_number)
    }

    /// Replaces the spec and records the change with its outcome in the journal. Returns the status and the JSON body.
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
            Ok((status, reply)) => sent_change.record_response(*status, reply),
            Err(_) => drop(sent_change),
        }
        response
    }

    /// Returns the controller that reports itself as the leader. It may be outdated, so use it only to choose the
    /// target of a fault.
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

    /// Returns the daemon that holds the most function leases. It may be outdated, so use it only to choose the target
    /// of a fault.
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

    /// Returns the workers in a zone, as the platform lists them.
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

    /// Sends a POST request to the platform. The status of the response is ignored.
    pub async fn post_to_platform(&self, path: &str, body: &Value) -> Result<(), FleetError> {
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

    /// Returns the names of the running processes of a program.
    pub fn running(&self, program: &str) -> Vec<String> {
        self.processes
            .keys()
            .filter(|name| self.layout.machines[*name].program == program)
            .cloned()
            .collect()
    }

    /// Returns the folder of settings, logs and records.
    pub fn folder(&self) -> &Path {
        &self.layout.folder
    }

    /// Returns the ingress address of a daemon; `None` for other machines.
    pub fn ingress_of(&self, name: &str) -> Option<SocketAddress> {
        self.layout
            .machines
            .get(name)
            .and_then(|machine| machine.ingress)
    }
}
