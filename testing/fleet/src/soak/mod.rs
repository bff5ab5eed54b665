//! A soak: real processes and real sockets under troubles that overlap, judged by what callers, runners and
//! platform saw and by the invariants that the processes check themselves.

mod clients;
mod fault;
mod schedule;

pub use fault::SoakFault;
pub use schedule::{PlannedFault, draw_schedule, max_concurrent};

use crate::days::Deployment;
use crate::fleet::{Fleet, FleetError, Layout, Sizes};
use crate::judge::{Evidence, Verdict, checks, judge};
use common::events;
use common::readers::SettingsSource;
use common::rng::SeededRng;
use common::rules::Rule;
use fault::{FaultUndo, SoakInjector};
use loadgen::{Plan, run_plan};
use serde_json::json;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long callers call before the first trouble.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long callers go on after the last one: service must be back by then.
const COOL_DOWN: Duration = Duration::from_secs(18);

/// Lines of the judge that say something while several troubles overlap. A stop in order may find that the holder
/// is killed, and a drain that nobody can be told of it: those two are judged by days of one fault at a time.
const JUDGED_CHECKS: [&str; 11] = [
    checks::ONCE_RUNS_TWICE,
    checks::REFUSED_RUNS,
    checks::UNSEALED_ANSWER,
    checks::UNCONFIGURED_FUNCTION,
    checks::SPEC_NOT_IN_FORCE,
    checks::CONFLICTING_CHANGES,
    checks::REFUSED_CHANGE_IN_FORCE,
    checks::EXTRA_TRIES,
    checks::RUNNER_OVERLOADED,
    checks::TWO_HOLDERS,
    checks::SERVICE_DOWN,
];

/// One soak.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The seed of troubles, callers and runner faults.
    pub seed: u64,
    /// How long troubles come.
    pub lasts: Duration,
    /// How many at a time.
    pub lanes: usize,
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// The folder of the programs.
    pub programs: PathBuf,
    /// The rule that the daemons lack, if any.
    pub without: Option<Rule>,
}

/// How a soak ended.
pub struct SoakResult {
    /// What was caused.
    pub planned_faults: Vec<PlannedFault>,
    /// What the judge found.
    pub verdict: Verdict,
    /// What processes found broken by themselves, and processes that ended by themselves.
    pub violations: Vec<String>,
}

impl SoakResult {
    /// Everything that must not happen and did.
    pub fn findings(&self) -> Vec<String> {
        let judged = self
            .verdict
            .checks
            .iter()
            .filter(|line| JUDGED_CHECKS.contains(&line.name));
        let broken = judged.flat_map(|line| {
            line.violations
                .iter()
                .map(move |violation| format!("{}: {violation}", line.name))
        });
        broken.chain(self.violations.iter().cloned()).collect()
    }
}

impl fmt::Display for SoakResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} troubles, up to {} at once",
            self.planned_faults.len(),
            max_concurrent(&self.planned_faults)
        )?;
        write!(out, "{}", self.verdict)?;
        for violation in &self.violations {
            writeln!(out, "{violation}")?;
        }
        Ok(())
    }
}

/// Runs a soak and has it judged.
pub async fn run_soak(soak: &Soak) -> Result<SoakResult, FleetError> {
    let deployment = Deployment::Small;
    let sizes = Sizes {
        without: soak.without,
        has_faulty_disks: true,
        ..deployment.sizes()
    };
    let layout = Layout::new(&soak.folder, &soak.programs, &sizes, soak.seed, true)?;
    let ingresses = layout.ingresses();
    let mut fleet = Fleet::start(layout).await?;
    fleet.found().await?;
    let change_id = fleet.change_id();
    fleet
        .put_spec(1, &change_id, &deployment.spec("canary-a"), "in_force")
        .await?;
    fleet.await_ready(ingresses.len()).await?;
    let load_task = tokio::spawn(run_plan(callers(soak, deployment, &fleet)?));
    let planned_faults = draw_schedule(soak.seed, soak.lanes, soak.lasts);
    inject_all(&mut fleet, soak, deployment, &planned_faults).await?;
    let _ = load_task.await;
    let ended = fleet.exited_processes();
    fleet.end().await;
    let verdict = judge(&Evidence::read(&soak.folder)?);
    let mut violations = violations_in(&soak.folder)?;
    violations.extend(
        ended
            .into_iter()
            .map(|name| format!("{name} ended by itself")),
    );
    Ok(SoakResult {
        planned_faults,
        verdict,
        violations,
    })
}

fn callers(soak: &Soak, deployment: Deployment, fleet: &Fleet) -> Result<Plan, FleetError> {
    let (share, max_retries) = deployment.retry_behaviour();
    let ingresses: Vec<String> = fleet
        .layout
        .ingresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    let plan = json!({
        "seed": soak.seed,
        "lasts_ms": (WARM_UP + soak.lasts + COOL_DOWN).as_millis() as u64,
        "rate": deployment.rate(),
        "doors": ingresses,
        "platform": fleet.layout.platform.to_string(),
        "routes": deployment.caller_routes(),
        "impatience": {"share": share, "most": max_retries},
        "records": soak.folder.join("callers.jsonl").display().to_string(),
    });
    let source = SettingsSource::from_value("plan", plan);
    Plan::read(&source).map_err(|_| FleetError::NotInTime("a plan that reads"))
}

/// A trouble that is under way, and when it ends.
struct ActiveFault {
    until: Duration,
    undo: FaultUndo,
}

/// Causes all troubles at their times, and undoes each at its own.
async fn inject_all(
    fleet: &mut Fleet,
    soak: &Soak,
    deployment: Deployment,
    planned_faults: &[PlannedFault],
) -> Result<(), FleetError> {
    let started_at = Instant::now() + WARM_UP;
    let rng = SeededRng::seeded(soak.seed ^ 0x7a0b);
    let mut injector = SoakInjector {
        fleet,
        deployment,
        rng,
    };
    let mut upcoming = planned_faults.iter().peekable();
    let mut active_faults: Vec<ActiveFault> = Vec::new();
    loop {
        active_faults.sort_by_key(|held| std::cmp::Reverse(held.until));
        let next_end = active_faults.last().map(|held| held.until);
        let next_begin = upcoming.peek().map(|next| next.from);
        match (next_begin, next_end) {
            (None, None) => break,
            (Some(from), end) if end.is_none_or(|until| from <= until) => {
                sleep_until(started_at + from).await;
                if let Some(next) = upcoming.next() {
                    match injector.begin(next.fault).await {
                        Ok(undo) => active_faults.push(ActiveFault {
                            until: next.until,
                            undo,
                        }),
                        Err(error) => injector
                            .fleet
                            .record_event("not_begun", json!(error.to_string())),
                    }
                }
            }
            (_, Some(until)) => {
                sleep_until(started_at + until).await;
                if let Some(held) = active_faults.pop() {
                    injector.end(held.undo).await?;
                }
            }
            (Some(_), None) => {}
        }
    }
    injector
        .fleet
        .record_event("fault", json!({"fault": "soak", "heavy": true}));
    injector
        .fleet
        .record_event("returned", json!({"fault": "soak", "heavy": true}));
    Ok(())
}

/// The violations and panics that processes wrote into their logs.
fn violations_in(folder: &Path) -> Result<Vec<String>, FleetError> {
    let at = |error| FleetError::Machine(folder.to_owned(), error);
    let mark = format!("[E{}]", events::INVARIANT_VIOLATED.number);
    let mut found = Vec::new();
    for listed in std::fs::read_dir(folder).map_err(at)? {
        let path = listed.map_err(at)?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let log_text = String::from_utf8_lossy(&std::fs::read(&path).map_err(at)?).into_owned();
        let machine = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let is_bad = |line: &&str| line.contains(&mark) || line.contains("panicked at");
        found.extend(
            log_text
                .lines()
                .filter(is_bad)
                .map(|line| format!("{machine}: {line}")),
        );
    }
    Ok(found)
}
