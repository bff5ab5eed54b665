//! Runs a day: starts the fleet, generates load, injects the faults, and judges the records.

use super::{Deployment, FaultInjector, FaultName};
use crate::fleet::{Fleet, FleetError, Layout};
use crate::judge::{Evidence, Verdict, judge};
use common::readers::SettingsSource;
use common::rng::SeededRng;
use common::rules::Rule;
use loadgen::{Plan, run_plan};
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a day.
#[derive(Clone, Debug)]
pub struct Day {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed of callers, runner faults and the targets of faults.
    pub seed: u64,
    /// The faults, injected one after the other.
    pub faults: Vec<FaultName>,
    /// The pause after each fault.
    pub gap: Duration,
    /// The minimum time for which load is generated; it is extended if the faults need longer.
    pub duration: Duration,
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// The folder of the executables.
    pub programs: PathBuf,
    /// The number of daemons; by default the deployment's.
    pub daemons: Option<usize>,
    /// The rate of requests per second; by default the deployment's.
    pub rate: Option<f64>,
    /// The safety rule that is disabled in the daemons, if any.
    pub disabled_rule: Option<Rule>,
}

/// The result of a day.
pub struct DayResult {
    /// The verdict of the judge.
    pub verdict: Verdict,
    /// The largest number of workers in use at the same time.
    pub workers_used: usize,
}

/// The time for which load is generated before the first fault.
const WARM_UP: Duration = Duration::from_secs(8);
/// The time that a fault is expected to take, in milliseconds.
const EXPECTED_FAULT_MS: u64 = 8000;
/// The time for which load is generated beyond the expected time of all faults, in milliseconds.
const EXTRA_LOAD_MS: u64 = 12_000;

/// Separates the random choices of targets from other choices with the same seed.
const TARGET_SEED_MASK: u64 = 0x5eed;

/// Runs a day and judges its records.
///
/// # Errors
/// Fails if the fleet cannot be started, or its records cannot be read. A fault that cannot be injected is recorded in
/// the journal and does not end the day.
pub async fn run_day(day: &Day) -> Result<DayResult, FleetError> {
    let mut fleet = start_fleet(day).await?;
    let lasts_ms = load_duration_ms(day);
    let plan = load_plan(day, &fleet, lasts_ms)?;
    fleet.record_event("callers", json!({"lasts_ms": lasts_ms}));
    let load_task = tokio::spawn(run_plan(plan));
    tokio::time::sleep(WARM_UP).await;
    inject_all(day, &mut fleet).await;
    let _ = load_task.await;
    save_metrics(&fleet).await;
    fleet.shut_down().await;
    let evidence = Evidence::read(&day.folder)?;
    let verdict = judge(&evidence);
    let workers_used = evidence.max_workers_used();
    Ok(DayResult {
        verdict,
        workers_used,
    })
}

/// Starts a fleet and waits until the deployment's spec is in force and all daemons are ready.
async fn start_fleet(day: &Day) -> Result<Fleet, FleetError> {
    let mut sizes = day.deployment.sizes();
    sizes.daemons = day.daemons.unwrap_or(sizes.daemons);
    sizes.disabled_rule = day.disabled_rule;
    sizes.has_faulty_disks = day.faults.iter().any(|fault| fault.needs_faulty_disk());
    let layout = Layout::new(&day.folder, &day.programs, &sizes, day.seed, true)?;
    let mut fleet = Fleet::start(layout).await?;
    fleet.bootstrap().await?;
    let spec = day.deployment.spec("canary-a");
    let change_id = fleet.next_change_id();
    fleet.put_spec(1, &change_id, &spec, "in_force").await?;
    fleet.await_ready(fleet.layout.ingresses().len()).await?;
    Ok(fleet)
}

/// Returns the time for which load is generated, in milliseconds.
fn load_duration_ms(day: &Day) -> u64 {
    let faults_ms = (day.gap.as_millis() as u64 + EXPECTED_FAULT_MS) * day.faults.len() as u64;
    (day.duration.as_millis() as u64).max(faults_ms + EXTRA_LOAD_MS)
}

fn load_plan(day: &Day, fleet: &Fleet, lasts_ms: u64) -> Result<Plan, FleetError> {
    let ingresses = fleet.layout.ingresses();
    let (share, max_retries) = day.deployment.retry_behaviour();
    let plan = json!({
        "seed": day.seed,
        "lasts_ms": lasts_ms,
        "rate": day.rate.unwrap_or(day.deployment.rate()),
        "doors": ingresses.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "platform": fleet.layout.platform.to_string(),
        "routes": day.deployment.caller_routes(),
        "impatience": {"share": share, "most": max_retries},
        "records": day.folder.join("callers.jsonl").display().to_string(),
    });
    let source = SettingsSource::from_value("plan", plan);
    Plan::read(&source).map_err(|_| FleetError::ConditionNotMet("the load plan is valid"))
}

/// Injects the faults one after the other. Failed ones are recorded in the journal.
async fn inject_all(day: &Day, fleet: &mut Fleet) {
    let mut rng = SeededRng::seeded(day.seed ^ TARGET_SEED_MASK);
    for name in &day.faults {
        let mut injector = FaultInjector {
            name: *name,
            deployment: day.deployment,
            rng: &mut rng,
        };
        if let Err(error) = injector.inject(fleet).await {
            fleet.record_event(
                "fault_failed",
                json!({"fault": name.as_str(), "why": error.to_string()}),
            );
        }
        tokio::time::sleep(day.gap).await;
    }
}

/// Saves the metrics of all daemons and controllers that respond in the day's folder.
async fn save_metrics(fleet: &Fleet) {
    let mut pages = String::new();
    let endpoints = fleet.layout.machines.values().filter_map(|machine| {
        machine
            .ingress
            .or(machine.operators)
            .map(|address| (machine.name.clone(), address))
    });
    for (name, address) in endpoints {
        let timeout = Duration::from_secs(1);
        let response =
            common::http::call_json(address, hyper::Method::GET, "/metrics", None, timeout).await;
        if let Ok(response) = response {
            pages.push_str(&format!(
                "# {name}\n{}\n",
                String::from_utf8_lossy(&response.body)
            ));
        }
    }
    let _ = std::fs::write(fleet.folder().join("metrics.txt"), pages);
}
