//! Runs one day: starts the fleet, calls, causes the faults, and has it judged.

use super::{Deployment, Fault, FaultName};
use crate::fleet::{Fleet, FleetFault, Layout};
use crate::judge::{Evidence, Verdict, judge};
use common::chance::Chance;
use common::readers::BootSource;
use common::rules::Rule;
use loadgen::{Plan, walk};
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
pub struct DayEnd {
    /// What the judge found.
    pub verdict: Verdict,
    /// The most workers in use at once.
    pub workers_used: usize,
}

/// Runs a day and has it judged.
pub async fn run_day(day: &Day) -> Result<DayEnd, FleetFault> {
    let mut sizes = day.deployment.sizes();
    sizes.daemons = day.daemons.unwrap_or(sizes.daemons);
    sizes.without = day.without;
    sizes.disks_ail = day.faults.iter().any(|fault| fault.is_of_disk());
    let layout = Layout::new(&day.folder, &day.programs, &sizes, day.seed, true)?;
    let doors = layout.doors();
    let mut fleet = Fleet::start(layout).await?;
    fleet.found().await?;
    let spec = day.deployment.spec("canary-a");
    let change_id = fleet.change_id();
    fleet.put_spec(1, &change_id, &spec, "in_force").await?;
    fleet.await_ready(doors.len()).await?;
    let (share, most) = day.deployment.impatience();
    let fault_millis = (day.gap.as_millis() as u64 + 8000) * day.faults.len() as u64;
    let lasts_ms = (day.lasts.as_millis() as u64).max(fault_millis + 12_000);
    let plan = json!({
        "seed": day.seed,
        "lasts_ms": lasts_ms,
        "rate": day.rate.unwrap_or(day.deployment.rate()),
        "doors": doors.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "platform": fleet.layout.platform.to_string(),
        "routes": day.deployment.caller_routes(),
        "impatience": {"share": share, "most": most},
        "records": day.folder.join("callers.jsonl").display().to_string(),
    });
    let source = BootSource::from_value("plan", plan);
    let plan = Plan::read(&source).map_err(|_| FleetFault::Awaited("a plan that reads"))?;
    fleet.note("callers", json!({"lasts_ms": lasts_ms}));
    let calling = tokio::spawn(walk(plan));
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut chance = Chance::seeded(day.seed ^ 0x5eed);
    for name in &day.faults {
        let mut fault = Fault { name: *name, deployment: day.deployment, chance: &mut chance };
        if let Err(report) = fault.cause(&mut fleet).await {
            fleet.note("fault_failed", json!({"fault": name.as_str(), "why": report.to_string()}));
        }
        tokio::time::sleep(day.gap).await;
    }
    let _ = calling.await;
    save_metrics(&fleet).await;
    fleet.end().await;
    let evidence = Evidence::read(&day.folder)?;
    let verdict = judge(&evidence);
    let workers_used = evidence.most_workers_used();
    Ok(DayEnd { verdict, workers_used })
}

async fn save_metrics(fleet: &Fleet) {
    let mut pages = String::new();
    let doors = fleet.layout.machines.values().filter_map(|machine| {
        machine.door.or(machine.operators).map(|place| (machine.name.clone(), place))
    });
    for (name, place) in doors {
        let patience = Duration::from_secs(1);
        let called =
            common::http::call_json(place, hyper::Method::GET, "/metrics", None, patience).await;
        if let Ok(called) = called {
            pages.push_str(&format!("# {name}\n{}\n", String::from_utf8_lossy(&called.body)));
        }
    }
    let _ = std::fs::write(fleet.folder().join("metrics.txt"), pages);
}
