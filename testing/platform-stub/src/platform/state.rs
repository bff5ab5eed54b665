//! The workers of the platform and the runners on them.

use crate::runner::Runner;
use common::http::{HttpResponse, json_response};
use common::identity::RunnerId;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// Whether a worker is listed and accepts runners.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkerState {
    /// Keeps its runners and accepts new ones.
    InUse,
    /// Keeps its runners and accepts no new ones.
    Draining,
    /// Has lost its runners and is not listed.
    Crashed,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its memory in megabytes.
    pub memory_mb: u64,
    /// Its state.
    pub state: WorkerState,
}

/// A runner on a worker, from its start to its stop.
pub(super) struct HostedRunner {
    pub(super) runner: Arc<Runner>,
    pub(super) instance: String,
    pub(super) worker: String,
    pub(super) memory_mb: u64,
    pub(super) port: u16,
    /// Whether it has announced that it leaves.
    pub(super) leaving: bool,
}

impl HostedRunner {
    /// Returns the response to a request to start it.
    pub(super) fn start_response(&self) -> HttpResponse {
        let body = json!({"life": self.instance, "place": loopback(self.port).to_string()});
        json_response(StatusCode::CREATED, &body)
    }
}

/// The workers and runners of the platform.
#[derive(Default)]
pub(super) struct PlatformState {
    pub(super) workers: BTreeMap<String, Worker>,
    pub(super) hosted: HashMap<RunnerId, HostedRunner>,
    /// Runners for which a stop was requested, whether they had been started or not. They cannot be started any more.
    pub(super) ended: BTreeSet<RunnerId>,
    /// Ports of stopped runners.
    pub(super) free_ports: Vec<u16>,
    pub(super) instance_count: u64,
}

impl PlatformState {
    /// Whether a worker is in use and has this much free memory.
    pub(super) fn has_capacity(&self, worker_name: &str, memory_mb: u64) -> bool {
        let used_mb: u64 = self
            .hosted
            .values()
            .filter(|hosted| hosted.worker == worker_name)
            .map(|hosted| hosted.memory_mb)
            .sum();
        self.workers.get(worker_name).is_some_and(|worker| {
            worker.state == WorkerState::InUse && used_mb + memory_mb <= worker.memory_mb
        })
    }

    /// Stops a runner if it exists, and frees its port.
    pub(super) fn stop(&mut self, runner: RunnerId) {
        if let Some(hosted) = self.hosted.remove(&runner) {
            hosted.runner.stop();
            self.free_ports.push(hosted.port);
        }
        self.ended.insert(runner);
    }

    pub(super) fn stop_runners_on(&mut self, worker_name: &str) {
        let lost_runners: Vec<RunnerId> = self
            .hosted
            .iter()
            .filter(|(_, hosted)| hosted.worker == worker_name)
            .map(|(runner, _)| *runner)
            .collect();
        for runner in lost_runners {
            self.stop(runner);
        }
    }

    /// Returns the list of workers as the platform sends it.
    pub(super) fn list_workers(&self) -> Value {
        let rows: Vec<Value> = self
            .workers
            .values()
            .filter(|worker| worker.state != WorkerState::Crashed)
            .map(|worker| {
                json!({
                    "worker": worker.name,
                    "locality": worker.zone,
                    "memory_mb": worker.memory_mb,
                    "draining": worker.state == WorkerState::Draining,
                })
            })
            .collect();
        Value::Array(rows)
    }

    /// Returns the list of runners as the platform sends it.
    pub(super) fn list_runners(&self) -> Value {
        let rows: Vec<Value> = self
            .hosted
            .iter()
            .map(|(runner, hosted)| {
                json!({
                    "runner": runner.to_string(),
                    "life": hosted.instance,
                    "place": loopback(hosted.port).to_string(),
                    "function": hosted.runner.function.to_string(),
                    "worker": hosted.worker,
                    "leaving": hosted.leaving,
                })
            })
            .collect();
        Value::Array(rows)
    }
}

/// Returns the loopback address with this port.
pub(super) fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}
