//! Soak tests: a fleet of real processes under overlapping faults. The result is judged from the records of callers,
//! runners and the platform, and from the invariants that the processes check themselves.

mod change_at_stop;
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
use serde_json::{Value, json};
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time for which load is generated before the first fault.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time for which load is generated after the last fault; service must have recovered by then.
const COOL_DOWN: Duration = Duration::from_secs(18);

/// The checks that are valid under overlapping faults. The others need days with one fault at a time: for instance, a
/// lease holder may be killed during a graceful stop, and another fault may keep a drain from becoming known.
const JUDGED_CHECKS: [&str; 12] = [
    checks::AT_MOST_ONCE_VIOLATED,
    checks::REFUSED_REQUEST_RAN,
    checks::UNSEALED_ANSWER,
    checks::UNCONFIGURED_FUNCTION,
    checks::SPEC_NOT_IN_FORCE,
    checks::CONFLICTING_CHANGES,
    checks::REFUSED_CHANGE_IN_FORCE,
    checks::EXCESS_RETRIES,
    checks::RUNNER_OVERLOADED,
    checks::CONCURRENT_HOLDERS,
    checks::SERVICE_NOT_RECOVERED,
    checks::UNANSWERED_AT_STOP,
];

/// The checks that are valid only if all faults are planned work, because a frozen or partitioned machine does not
/// learn that a caller closed its connection.
const JUDGED_IN_PLANNED_WORK: [&str; 1] = [checks::RUNS_AFTER_DISCONNECT];

/// The function and the route of callers whose timeout is longer than the grace period of a stopping daemon. It has one
/// runner with one slot, and its requests take long, so that many of them queue.
const PATIENT_ROUTE: &str = "patient";
/// The timeout of their requests, in milliseconds.
const PATIENT_TIMEOUT_MS: u64 = 11_000;
/// The time that a runner takes for each of them, in milliseconds.
const PATIENT_WORK_MS: u64 = 350;
/// The number of keep-alive connections for each daemon.
const CONNECTIONS_PER_DAEMON: usize = 8;
/// The number of keep-alive connections with patient callers.
const PATIENT_CONNECTIONS: usize = 24;
/// On a keep-alive connection, one request in this many is abandoned before its response, on average.
const REQUESTS_PER_DISCONNECT: u64 = 12;
/// The longest time after which a caller abandons such a request, in milliseconds.
const LONGEST_WAIT_BEFORE_DISCONNECT_MS: u64 = 1500;
/// The longest pause between two requests of a keep-alive connection, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 200;
/// The interval at which a graceful stop in progress is polled.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Separates the random choices of targets from other choices with the same seed.
const TARGET_SEED_MASK: u64 = 0x7a0b;

/// The settings of one soak.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The seed of faults, callers and runner faults.
    pub seed: u64,
    /// The time during which faults are injected.
    pub duration: Duration,
    /// The number of concurrent fault sequences.
    pub lanes: usize,
    /// The folder of settings, logs and records.
    pub folder: PathBuf,
    /// The folder of the executables.
    pub programs: PathBuf,
    /// The safety rule that is disabled in the daemons, if any.
    pub disabled_rule: Option<Rule>,
    /// The number of daemons.
    pub daemons: usize,
}

/// The result of a soak.
pub struct SoakResult {
    /// The faults, sorted by start time.
    pub planned_faults: Vec<PlannedFault>,
    /// Whether all faults were planned work: stops, restarts, signals and changes.
    pub is_planned_work: bool,
    /// The verdict of the judge.
    pub verdict: Verdict,
    /// Invariant violations and panics in the logs of processes, and processes that ended unexpectedly.
    pub violations: Vec<String>,
}

impl SoakResult {
    fn is_judged(&self, check_name: &str) -> bool {
        JUDGED_CHECKS.contains(&check_name)
            || (self.is_planned_work && JUDGED_IN_PLANNED_WORK.contains(&check_name))
    }

    /// Returns all violations except those of checks that are not valid under overlapping faults.
    pub fn findings(&self) -> Vec<String> {
        let judged = self
            .verdict
            .checks
            .iter()
            .filter(|check| self.is_judged(check.name));
        let judged_violations = judged.flat_map(|check| {
            check
                .violations
                .iter()
                .map(move |violation| format!("{}: {violation}", check.name))
        });
        judged_violations
            .chain(self.violations.iter().cloned())
            .collect()
    }
}

impl fmt::Display for SoakResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} faults, up to {} at once",
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

/// Runs a soak and judges its records.
///
/// # Errors
/// Fails if the fleet cannot be started, a fault cannot be undone, or the records cannot be read.
pub async fn run_soak(soak: &Soak) -> Result<SoakResult, FleetError> {
    let deployment = Deployment::Small;
    let sizes = Sizes {
        disabled_rule: soak.disabled_rule,
        daemons: soak.daemons,
        has_faulty_disks: true,
        ..deployment.sizes()
    };
    let layout = Layout::new(&soak.folder, &soak.programs, &sizes, soak.seed, true)?;
    let ingresses = layout.ingresses();
    let mut fleet = Fleet::start(layout).await?;
    fleet.bootstrap().await?;
    let change_id = fleet.next_change_id();
    fleet
        .put_spec(1, &change_id, &soak_spec(deployment), "in_force")
        .await?;
    fleet.await_ready(ingresses.len()).await?;
    let load_task = tokio::spawn(run_plan(load_plan(soak, deployment, &fleet)?));
    let planned_faults = draw_schedule(soak.seed, soak.lanes, soak.duration);
    let unanswered_changes = run_schedule(&mut fleet, soak, deployment, &planned_faults).await?;
    let _ = load_task.await;
    let exited = fleet.exited_processes();
    fleet.shut_down().await;
    let verdict = judge(&Evidence::read(&soak.folder)?);
    let mut violations = logged_violations(&soak.folder)?;
    violations.extend(accepted_unreadable_changes(&soak.folder)?);
    violations.extend(unanswered_changes);
    violations.extend(
        exited
            .into_iter()
            .map(|name| format!("{name} ended unexpectedly")),
    );
    Ok(SoakResult {
        planned_faults,
        is_planned_work: soak.lanes == 1,
        verdict,
        violations,
    })
}

/// Returns the spec of a soak: the deployment's, and a function with a long queue.
fn soak_spec(deployment: Deployment) -> Value {
    let mut spec = deployment.spec("canary-a");
    spec["functions"][PATIENT_ROUTE] = json!({
        "memory_mb": 128, "boot_ms": 300, "slots": 1, "runners": {"min": 0, "max": 1},
    });
    spec["routes"][PATIENT_ROUTE] = json!({
        "method": "POST",
        "path": format!("/{PATIENT_ROUTE}"),
        "function": PATIENT_ROUTE,
        "budget_ms": PATIENT_TIMEOUT_MS,
        "patience_ms": PATIENT_TIMEOUT_MS,
        "kind": "once",
    });
    spec
}

/// Returns the route of the patient callers in the format of a load plan. Its weight is zero, so that no other caller
/// uses it.
fn patient_route() -> Value {
    json!({
        "method": "POST",
        "path": format!("/{PATIENT_ROUTE}"),
        "function": PATIENT_ROUTE,
        "once": true,
        "weight": 0,
        "budget_ms": [PATIENT_TIMEOUT_MS - 1000, PATIENT_TIMEOUT_MS],
        "work_ms": PATIENT_WORK_MS,
    })
}

fn load_plan(soak: &Soak, deployment: Deployment, fleet: &Fleet) -> Result<Plan, FleetError> {
    let (share, max_retries) = deployment.retry_behaviour();
    let ingresses: Vec<String> = fleet
        .layout
        .ingresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    let mut routes = deployment.caller_routes();
    routes.push(patient_route());
    let plan = json!({
        "seed": soak.seed,
        "lasts_ms": (WARM_UP + soak.duration + COOL_DOWN).as_millis() as u64,
        "rate": deployment.rate(),
        "doors": ingresses,
        "platform": fleet.layout.platform.to_string(),
        "kept": {
            "count": ingresses.len() * CONNECTIONS_PER_DAEMON,
            "longest_pause_ms": LONGEST_PAUSE_MS,
            "patient_route": routes.len() - 1,
            "patient_count": PATIENT_CONNECTIONS,
            "leaves_one_of": REQUESTS_PER_DISCONNECT,
            "longest_stay_ms": LONGEST_WAIT_BEFORE_DISCONNECT_MS,
        },
        "routes": routes,
        "impatience": {"share": share, "most": max_retries},
        "records": soak.folder.join("callers.jsonl").display().to_string(),
    });
    let source = SettingsSource::from_value("plan", plan);
    Plan::read(&source).map_err(|_| FleetError::ConditionNotMet("the load plan is valid"))
}

/// A fault that was injected and is still to be undone.
struct ActiveFault {
    /// When to undo it, relative to the beginning of the soak.
    until: Duration,
    undo: FaultUndo,
}

/// Injects and undoes the planned faults at their times. A fault that cannot be injected is recorded in the journal.
/// Returns a violation for each operator's change that a stopping controller left without a response.
async fn run_schedule(
    fleet: &mut Fleet,
    soak: &Soak,
    deployment: Deployment,
    planned_faults: &[PlannedFault],
) -> Result<Vec<String>, FleetError> {
    let started_at = Instant::now() + WARM_UP;
    let rng = SeededRng::seeded(soak.seed ^ TARGET_SEED_MASK);
    let mut injector = SoakInjector::new(fleet, deployment, rng);
    let mut upcoming = planned_faults.iter().peekable();
    let mut active_faults: Vec<ActiveFault> = Vec::new();
    loop {
        // Sorted in descending order, so that pop() returns the next fault to undo.
        active_faults.sort_by_key(|active| std::cmp::Reverse(active.until));
        let next_end = active_faults.last().map(|active| active.until);
        let next = upcoming.next_if(|next| next_end.is_none_or(|until| next.from <= until));
        if let Some(next) = next {
            sleep_until(started_at + next.from).await;
            active_faults.extend(inject_fault(&mut injector, next).await);
        } else if let Some(active) = active_faults.pop() {
            sleep_until(started_at + active.until).await;
            let until = (Instant::now() + RETRY_INTERVAL).duration_since(started_at);
            let remaining = injector.undo(active.undo).await?;
            active_faults.extend(remaining.map(|undo| ActiveFault { until, undo }));
        } else {
            break;
        }
    }
    // The judge measures recovery from the time of these entries.
    for kind in ["fault", "returned"] {
        injector
            .fleet
            .record_event(kind, json!({"fault": "soak", "heavy": true}));
    }
    Ok(injector.unanswered_changes().await)
}

/// Injects a fault. Returns `None` if it could not be injected.
async fn inject_fault(
    injector: &mut SoakInjector<'_>,
    planned: &PlannedFault,
) -> Option<ActiveFault> {
    match injector.inject(planned.fault).await {
        Ok(undo) => Some(ActiveFault {
            until: planned.until,
            undo,
        }),
        Err(error) => {
            injector
                .fleet
                .record_event("not_begun", json!(error.to_string()));
            None
        }
    }
}

/// Returns the changes that were accepted although they are malformed.
fn accepted_unreadable_changes(folder: &Path) -> Result<Vec<String>, FleetError> {
    let evidence = Evidence::read(folder)?;
    let accepted = evidence.entries_of(clients::UNREADABLE_CHANGE_ACCEPTED);
    Ok(accepted
        .map(|entry| format!("a malformed change was accepted: {}", entry.detail))
        .collect())
}

/// Returns the invariant violations and panics in the processes' logs.
fn logged_violations(folder: &Path) -> Result<Vec<String>, FleetError> {
    let at = |error| FleetError::Io(folder.to_owned(), error);
    let violation_mark = format!("[E{}]", events::INVARIANT_VIOLATED.number);
    let mut violations = Vec::new();
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
        let is_bad = |line: &&str| line.contains(&violation_mark) || line.contains("panicked at");
        violations.extend(
            log_text
                .lines()
                .filter(is_bad)
                .map(|line| format!("{machine}: {line}")),
        );
    }
    Ok(violations)
}
