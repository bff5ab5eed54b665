//! A soak: real processes and real sockets under troubles that overlap, judged by what callers, runners and
//! platform saw and by the invariants that the processes check themselves.

mod clients;
mod schedule;
mod trouble;

pub use schedule::{Planned, drawn, most_at_once};
pub use trouble::Trouble;

use crate::days::Deployment;
use crate::fleet::{Fleet, FleetFault, Layout, Sizes};
use crate::judge::{Evidence, Verdict, judge, lines};
use common::chance::Chance;
use common::events;
use common::readers::BootSource;
use common::rules::Rule;
use loadgen::{Plan, walk};
use serde_json::json;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use trouble::{Troubler, Undo};

/// How long callers call before the first trouble.
const CALM_BEFORE: Duration = Duration::from_secs(3);
/// How long callers go on after the last one: service must be back by then.
const CALM_AFTER: Duration = Duration::from_secs(18);

/// Lines of the judge that say something while several troubles overlap. A stop in order may find that the holder
/// is killed, and a drain that nobody can be told of it: those two are judged by days of one fault at a time.
const JUDGED: [&str; 11] = [
    lines::TWICE,
    lines::REFUSED,
    lines::UNSEALED,
    lines::NEVER,
    lines::FORCE,
    lines::LOSING,
    lines::REFUSED_CHANGE,
    lines::EXTRA,
    lines::FLOODED,
    lines::TWO_HOLDERS,
    lines::DOWN,
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
pub struct SoakEnd {
    /// What was caused.
    pub planned: Vec<Planned>,
    /// What the judge found.
    pub verdict: Verdict,
    /// What processes found broken by themselves, and processes that ended by themselves.
    pub violations: Vec<String>,
}

impl SoakEnd {
    /// Everything that must not happen and did.
    pub fn findings(&self) -> Vec<String> {
        let judged = self.verdict.lines.iter().filter(|line| JUDGED.contains(&line.name));
        let broken = judged.flat_map(|line| {
            line.violations.iter().map(move |violation| format!("{}: {violation}", line.name))
        });
        broken.chain(self.violations.iter().cloned()).collect()
    }
}

impl fmt::Display for SoakEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} troubles, up to {} at once",
            self.planned.len(),
            most_at_once(&self.planned)
        )?;
        write!(out, "{}", self.verdict)?;
        for violation in &self.violations {
            writeln!(out, "{violation}")?;
        }
        Ok(())
    }
}

/// Runs a soak and has it judged.
pub async fn run_soak(soak: &Soak) -> Result<SoakEnd, FleetFault> {
    let deployment = Deployment::Small;
    let sizes = Sizes { without: soak.without, disks_ail: true, ..deployment.sizes() };
    let layout = Layout::new(&soak.folder, &soak.programs, &sizes, soak.seed, true)?;
    let doors = layout.doors();
    let mut fleet = Fleet::start(layout).await?;
    fleet.found().await?;
    let change_id = fleet.change_id();
    fleet.put_spec(1, &change_id, &deployment.spec("canary-a"), "in_force").await?;
    fleet.await_ready(doors.len()).await?;
    let calling = tokio::spawn(walk(callers(soak, deployment, &fleet)?));
    let planned = drawn(soak.seed, soak.lanes, soak.lasts);
    cause(&mut fleet, soak, deployment, &planned).await?;
    let _ = calling.await;
    let ended = fleet.ended_by_themselves();
    fleet.end().await;
    let verdict = judge(&Evidence::read(&soak.folder)?);
    let mut violations = violations_in(&soak.folder)?;
    violations.extend(ended.into_iter().map(|name| format!("{name} ended by itself")));
    Ok(SoakEnd { planned, verdict, violations })
}

fn callers(soak: &Soak, deployment: Deployment, fleet: &Fleet) -> Result<Plan, FleetFault> {
    let (share, most) = deployment.impatience();
    let doors: Vec<String> = fleet.layout.doors().iter().map(ToString::to_string).collect();
    let plan = json!({
        "seed": soak.seed,
        "lasts_ms": (CALM_BEFORE + soak.lasts + CALM_AFTER).as_millis() as u64,
        "rate": deployment.rate(),
        "doors": doors,
        "platform": fleet.layout.platform.to_string(),
        "routes": deployment.caller_routes(),
        "impatience": {"share": share, "most": most},
        "records": soak.folder.join("callers.jsonl").display().to_string(),
    });
    let source = BootSource::from_value("plan", plan);
    Plan::read(&source).map_err(|_| FleetFault::Awaited("a plan that reads"))
}

/// A trouble that is under way, and when it ends.
struct UnderWay {
    until: Duration,
    undo: Undo,
}

/// Causes all troubles at their times, and undoes each at its own.
async fn cause(
    fleet: &mut Fleet,
    soak: &Soak,
    deployment: Deployment,
    planned: &[Planned],
) -> Result<(), FleetFault> {
    let began_at = Instant::now() + CALM_BEFORE;
    let chance = Chance::seeded(soak.seed ^ 0x7a0b);
    let mut troubler = Troubler { fleet, deployment, chance };
    let mut coming = planned.iter().peekable();
    let mut under_way: Vec<UnderWay> = Vec::new();
    loop {
        under_way.sort_by_key(|held| std::cmp::Reverse(held.until));
        let next_end = under_way.last().map(|held| held.until);
        let next_begin = coming.peek().map(|next| next.from);
        match (next_begin, next_end) {
            (None, None) => break,
            (Some(from), end) if end.is_none_or(|until| from <= until) => {
                sleep_until(began_at + from).await;
                if let Some(next) = coming.next() {
                    match troubler.begin(next.trouble).await {
                        Ok(undo) => under_way.push(UnderWay { until: next.until, undo }),
                        Err(fault) => troubler.fleet.note("not_begun", json!(fault.to_string())),
                    }
                }
            }
            (_, Some(until)) => {
                sleep_until(began_at + until).await;
                if let Some(held) = under_way.pop() {
                    troubler.end(held.undo).await?;
                }
            }
            (Some(_), None) => {}
        }
    }
    troubler.fleet.note("fault", json!({"fault": "soak", "heavy": true}));
    troubler.fleet.note("returned", json!({"fault": "soak", "heavy": true}));
    Ok(())
}

/// The violations and panics that processes wrote into their logs.
fn violations_in(folder: &Path) -> Result<Vec<String>, FleetFault> {
    let at = |fault| FleetFault::Machine(folder.to_owned(), fault);
    let mark = format!("[E{}]", events::INVARIANT_VIOLATED.number);
    let mut found = Vec::new();
    for listed in std::fs::read_dir(folder).map_err(at)? {
        let path = listed.map_err(at)?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let log_text = String::from_utf8_lossy(&std::fs::read(&path).map_err(at)?).into_owned();
        let machine = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let is_bad = |line: &&str| line.contains(&mark) || line.contains("panicked at");
        found.extend(log_text.lines().filter(is_bad).map(|line| format!("{machine}: {line}")));
    }
    Ok(found)
}
