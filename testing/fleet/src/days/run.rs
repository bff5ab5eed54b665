//! Runs one day: starts the fleet, calls, causes the faults, and has it judged.

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

/// One day of the fleet.
#[derive(Clone, Debug)]
pub struct Day {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed of callers, runner faults and choices.
    pub seed: u64,
    /// The faults, one after the other.
    pub faults: Vec<FaultName>,
    /// From the end of one fault to the next.
    pub gap: Duration,
    /// The least time that callers call.
    pub lasts: Duration,
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// Daemon machines, if not the deployment's.
    pub daemons: Option<usize>,
    /// Transactions a second, if not the deployment's.
    pub rate: Option<f64>,
    /// The rule that the daemons lack, if any.
    pub without: Option<Rule>,
}

/// How a day ended.
pub struct DayResult {
    /// What the judge found.
    pub verdict: Verdict,
    /// The most workers in use at once.
    pub workers_used: usize,
}

/// Runs a day and has it judged.
pub async fn run_day(day: &Day) -> Result<DayResult, FleetError> {
    let mut sizes = day.deployment.sizes();
    sizes.daemons = day.daemons.unwrap_or(sizes.daemons);
    sizes.without = day.without;
    sizes.has_faulty_disks = day.faults.iter().any(|fault| fault.is_of_disk());
    let layout = Layout::new(&day.folder, &day.programs, &sizes, day.seed, true)?;
    let ingresses = layout.ingresses();
    let mut fleet = Fleet::start(layout).await?;
    fleet.found().await?;
    let spec = day.deployment.spec("canary-a");
    let change_id = fleet.change_id();
    fleet.put_spec(1, &change_id, &spec, "in_force").await?;
    fleet.await_ready(ingresses.len()).await?;
    let (share, max_retries) = day.deployment.retry_behaviour();
    let fault_millis = (day.gap.as_millis() as u64 + 8000) * day.faults.len() as u64;
    let lasts_ms = (day.lasts.as_millis() as u64).max(fault_millis + 12_000);
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
    let plan = Plan::read(&source).map_err(|_| FleetError::NotInTime("a plan that reads"))?;
    fleet.record_event("callers", json!({"lasts_ms": lasts_ms}));
    let load_task = tokio::spawn(run_plan(plan));
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut rng = SeededRng::seeded(day.seed ^ 0x5eed);
    for name in &day.faults {
        let mut fault = FaultInjector {
            name: *name,
            deployment: day.deployment,
            rng: &mut rng,
        };
        if let Err(report) = fault.inject(&mut fleet).await {
            fleet.record_event(
                "fault_failed",
                json!({"fault": name.as_str(), "why": report.to_string()}),
            );
        }
        tokio::time::sleep(day.gap).await;
    }
    let _ = load_task.await;
    save_metrics(&fleet).await;
    fleet.end().await;
    let evidence = Evidence::read(&day.folder)?;
    let verdict = judge(&evidence);
    let workers_used = evidence.most_workers_used();
    Ok(DayResult {
        verdict,
        workers_used,
    })
}

async fn save_metrics(fleet: &Fleet) {
    let mut pages = String::new();
    let ingresses = fleet.layout.machines.values().filter_map(|machine| {
        machine
            .ingress
            .or(machine.operators)
            .map(|address| (machine.name.clone(), address))
    });
    for (name, address) in ingresses {
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
