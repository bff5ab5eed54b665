//! An in-memory test double of the platform.

use common::adapter::{ListedRunner, ListedWorker};
use common::clock::MonotonicTime;
use common::frames::{Instance, SocketAddress};
use common::identity::{FunctionKey, RunnerId, WorkerName};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The round trip to the platform in virtual time.
pub(super) const PLATFORM_LATENCY: Duration = Duration::from_millis(5);
/// The size of the HTTP headers of a request to the platform or a runner and of its response, in bytes.
pub(super) const HTTP_HEADER_BYTES: u64 = 400;

/// A synthetic runner.
pub(super) struct SyntheticRunner {
    /// The function that it runs.
    pub function: FunctionKey,
    /// The worker that it runs on.
    pub worker: WorkerName,
    /// The time at which its startup is finished.
    pub ready_at: MonotonicTime,
    /// Its instance at the platform.
    pub instance: Instance,
}

/// A platform that executes all requests immediately.
pub(super) struct SyntheticPlatform {
    workers: Vec<ListedWorker>,
    runners: BTreeMap<RunnerId, SyntheticRunner>,
    runners_by_address: HashMap<SocketAddress, RunnerId>,
    started_count: u32,
}

impl SyntheticPlatform {
    /// Creates a platform with this number of workers, assigned to the zones in turn.
    pub(crate) fn new(worker_count: usize, memory_mb: u32) -> Self {
        let workers = (0..worker_count)
            .map(|number| ListedWorker {
                worker: format!("worker-{number:04}").into(),
                zone: super::zones::ZoneNumber::of(number).zone(),
                memory_mb,
                draining: false,
            })
            .collect();
        Self {
            workers,
            runners: BTreeMap::new(),
            runners_by_address: HashMap::new(),
            started_count: 0,
        }
    }

    /// Starts a runner and returns its instance.
    pub(crate) fn start(
        &mut self,
        runner: RunnerId,
        function: FunctionKey,
        worker: WorkerName,
        ready_at: MonotonicTime,
    ) -> Instance {
        self.started_count += 1;
        let [_, high, middle, low] = self.started_count.to_be_bytes();
        let address = SocketAddress(SocketAddrV4::new(
            Ipv4Addr::new(11, high, middle, low),
            9000,
        ));
        self.runners_by_address.insert(address, runner);
        let instance = Instance {
            name: format!("life-{}", self.started_count).into(),
            address,
        };
        let started = SyntheticRunner {
            function,
            worker,
            ready_at,
            instance: instance.clone(),
        };
        self.runners.insert(runner, started);
        instance
    }

    /// Stops a runner.
    pub(crate) fn stop(&mut self, runner: RunnerId) {
        if let Some(stopped) = self.runners.remove(&runner) {
            self.runners_by_address.remove(&stopped.instance.address);
        }
    }

    /// Returns the runner that listens on an address.
    pub(crate) fn runner_at(&self, address: SocketAddress) -> Option<(RunnerId, &SyntheticRunner)> {
        let runner = *self.runners_by_address.get(&address)?;
        self.runners
            .get(&runner)
            .map(|synthetic_runner| (runner, synthetic_runner))
    }

    /// Returns the number of runners.
    pub(crate) fn runner_count(&self) -> usize {
        self.runners.len()
    }

    /// Returns the lists of workers and runners as the platform sends them.
    pub(crate) fn list_bodies(&self) -> (Vec<u8>, Vec<u8>) {
        let workers: Vec<Value> = self
            .workers
            .iter()
            .map(|listed| {
                json!({
                    "worker": listed.worker.as_str(),
                    "locality": listed.zone.as_str(),
                    "memory_mb": listed.memory_mb,
                    "draining": listed.draining,
                })
            })
            .collect();
        let runners: Vec<Value> = self
            .runners
            .iter()
            .map(|(runner, synthetic_runner)| {
                json!({
                    "runner": runner.to_string(),
                    "life": synthetic_runner.instance.name.as_str(),
                    "place": synthetic_runner.instance.address.to_string(),
                    "function": synthetic_runner.function.to_string(),
                    "worker": synthetic_runner.worker.as_str(),
                    "leaving": false,
                })
            })
            .collect();
        let workers_body = json!({"age_ms": 0, "workers": workers}).to_string();
        let runners_body = json!({"age_ms": 0, "runners": runners}).to_string();
        (workers_body.into_bytes(), runners_body.into_bytes())
    }
}

fn text<'a>(row: &'a Value, key: &str) -> &'a str {
    row[key].as_str().unwrap_or_default()
}

/// Parses the list of workers as the leader's platform client does.
pub(super) fn read_workers(body: &[u8]) -> Vec<ListedWorker> {
    let listed: Value = serde_json::from_slice(body).unwrap_or_default();
    let rows = listed["workers"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    rows.iter()
        .map(|row| ListedWorker {
            worker: text(row, "worker").into(),
            zone: text(row, "locality").into(),
            memory_mb: row["memory_mb"].as_u64().unwrap_or_default() as u32,
            draining: row["draining"].as_bool().unwrap_or_default(),
        })
        .collect()
}

/// Parses the list of runners as the leader's platform client does.
pub(super) fn read_runners(body: &[u8]) -> Vec<ListedRunner> {
    let listed: Value = serde_json::from_slice(body).unwrap_or_default();
    let rows = listed["runners"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    rows.iter()
        .filter_map(|row| {
            let key: FunctionKey = text(row, "function").parse().ok()?;
            let address = SocketAddress(text(row, "place").parse().ok()?);
            Some(ListedRunner {
                instance: Instance {
                    name: text(row, "life").into(),
                    address,
                },
                runner: text(row, "runner").parse().ok(),
                function: key.name.clone(),
                key: Some(key),
                worker: text(row, "worker").into(),
                leaving: row["leaving"].as_bool().unwrap_or_default(),
            })
        })
        .collect()
}
