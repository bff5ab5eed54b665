//! The proving tool: whole days of the fleet, judged.

use common::rules::Rule;
use eyre::{WrapErr, eyre};
use fleet::days::{Day, Deployment, FaultName, run_day};
use fleet::hollow::page::{PageFault, draw_plots, read_runs, renew};
use fleet::hollow::{CountingAllocator, Fleet, HollowSize, RecordFault};
use fleet::judge::{Evidence, EvidenceFault, Recovery, Verdict, judge};
use fleet::sim::{Flaw, PROOFS, SimFault, SimPlan, World};
use gumdrop::Options;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Runs rudderstream's whole fleet on this machine, hurts it, and judges what callers and runners saw.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "run a day and judge it")]
    Run(Run),
    #[options(help = "judge a folder of records again")]
    Judge(Judge),
    #[options(help = "a table of every fault over several days' folders")]
    Table(Table),
    #[options(help = "run simulated days over many seeds")]
    Sim(Sim),
    #[options(help = "take each safety rule away and see that it is found")]
    Proofs(Proofs),
    #[options(help = "measure a hollow fleet, all its state machines in this process")]
    Hollow(Hollow),
    #[options(help = "make the capacity page's tables and plots from hollow fleets' records")]
    Capacity(Capacity),
    #[options(help = "list deployments and faults")]
    List(Plain),
}

#[derive(Options)]
struct Hollow {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "daemons", default = "50")]
    daemons: usize,
    #[options(no_short, help = "functions, each with a route", default = "200")]
    functions: usize,
    #[options(no_short, help = "functions that are called and so held, if not all")]
    held: Option<usize>,
    #[options(no_short, help = "runners that each held function keeps", default = "1")]
    runners: u32,
    #[options(no_short, help = "changes of the spec while it is measured", default = "4")]
    changes: u32,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "calls a second and daemon while it is measured", default = "4")]
    calls: u32,
    #[options(no_short, help = "seconds of virtual time that are measured", default = "10")]
    seconds: u64,
    #[options(no_short, help = "seconds of real time after which it is stopped", default = "180")]
    patience: u64,
    #[options(no_short, help = "a folder for the record; none is written without")]
    folder: Option<PathBuf>,
}

#[derive(Options)]
struct Capacity {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "the folder of plots, with the records in its runs",
        default = "docs/capacity"
    )]
    from: PathBuf,
    #[options(no_short, help = "the page", default = "docs/CAPACITY.md")]
    page: PathBuf,
}

#[derive(Options)]
struct Plain {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Options)]
struct Proofs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the most seeds for each rule, if not the proof's own")]
    seeds: Option<u64>,
}

#[derive(Options)]
struct Judge {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the day's folder")]
    folder: PathBuf,
}

#[derive(Options)]
struct Table {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the days' folders")]
    folders: Vec<PathBuf>,
}

#[derive(Options)]
struct Sim {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "how many seeds", default = "1")]
    count: u64,
    #[options(help = "seconds of faults in each day", default = "30")]
    lasts: u64,
    #[options(no_short, help = "daemons in each day", default = "5")]
    daemons: usize,
    #[options(no_short, help = "cause no faults, only changes")]
    calm: bool,
    #[options(no_short, help = "the only faults of the day, with commas", default = "")]
    faults: String,
    #[options(no_short, help = "longest milliseconds between two faults", default = "3500")]
    gap_ms: u64,
    #[options(no_short, help = "longest milliseconds between two orders", default = "3000")]
    order_gap_ms: u64,
    #[options(help = "a rule to break on purpose", default = "none")]
    flaw: String,
    #[options(no_short, help = "print what happens")]
    trace: bool,
}

#[derive(Options)]
struct Run {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "stezka, tintwell or small", default = "small")]
    deployment: String,
    #[options(
        help = "faults in their order, with commas; random for seven by the seed",
        default = ""
    )]
    faults: String,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(help = "least length in seconds", default = "20")]
    lasts: u64,
    #[options(help = "seconds from one fault to the next", default = "10")]
    gap: u64,
    #[options(help = "transactions a second, if not the deployment's")]
    rate: Option<f64>,
    #[options(no_short, help = "daemon machines, if not the deployment's")]
    daemons: Option<usize>,
    #[options(no_short, help = "a safety rule that the daemons lack", meta = "RULE")]
    without: Option<String>,
    #[options(no_short, help = "folder for settings, logs and records", default = "fleet-day")]
    folder: PathBuf,
}

/// Why no day can be run.
enum DayFault {
    Deployment(String),
    Fault(String),
    Rule(String),
    Folder(std::io::Error),
}

impl fmt::Display for DayFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(name) => {
                write!(out, "unknown deployment {name:?}; there are: stezka, tintwell, small")
            }
            Self::Fault(name) => {
                let names: Vec<&str> = FaultName::ALL.iter().map(|fault| fault.as_str()).collect();
                write!(out, "unknown fault {name:?}; there are: random, {}", names.join(", "))
            }
            Self::Rule(name) => {
                let names: Vec<String> = Rule::ALL.iter().map(Rule::to_string).collect();
                write!(out, "unknown rule {name:?}; there are: {}", names.join(", "))
            }
            Self::Folder(fault) => write!(out, "{fault}"),
        }
    }
}

fn read_day(run: &Run) -> Result<Day, DayFault> {
    let deployment = Deployment::named(&run.deployment)
        .ok_or_else(|| DayFault::Deployment(run.deployment.clone()))?;
    let mut faults = Vec::new();
    for name in run.faults.split(',').filter(|name| !name.is_empty()) {
        if name == "random" {
            faults.extend(FaultName::by_chance(run.seed));
        } else {
            let fault = FaultName::named(name);
            faults.push(fault.ok_or_else(|| DayFault::Fault(name.to_owned()))?);
        }
    }
    let without = match &run.without {
        Some(name) => Some(Rule::named(name).ok_or_else(|| DayFault::Rule(name.to_owned()))?),
        None => None,
    };
    let own_path = std::env::current_exe().map_err(DayFault::Folder)?;
    let programs = own_path.parent().map(Path::to_owned).unwrap_or_default();
    let folder = std::path::absolute(&run.folder).map_err(DayFault::Folder)?;
    Ok(Day {
        deployment,
        seed: run.seed,
        faults,
        gap: Duration::from_secs(run.gap),
        lasts: Duration::from_secs(run.lasts),
        folder,
        programs,
        rate: run.rate,
        without,
        daemons: run.daemons,
    })
}

fn conclude(verdict: &Verdict) -> ExitCode {
    print!("{verdict}");
    let violation_count = verdict.violation_count();
    println!("violations: {violation_count}");
    if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn main() -> ExitCode {
    let flags = common::command_line::read::<Flags>("fleet");
    if flags.version {
        println!("fleet {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let ended = match flags.command {
        None => {
            eprintln!("fleet: no command; try --help");
            return ExitCode::from(2);
        }
        Some(Command::List(_)) => {
            println!("deployments: stezka, tintwell, small");
            FaultName::ALL.iter().for_each(|fault| println!("{fault}"));
            return ExitCode::SUCCESS;
        }
        Some(Command::Judge(chosen)) => Evidence::read(&chosen.folder)
            .wrap_err("records")
            .map(|evidence| conclude(&judge(&evidence))),
        Some(Command::Table(table)) => tabulate(&table.folders).wrap_err("records"),
        Some(Command::Sim(sim)) => return simulate(&sim),
        Some(Command::Capacity(capacity)) => renew_page(&capacity).wrap_err("page"),
        Some(Command::Hollow(hollow)) => measure(&hollow).wrap_err("record"),
        Some(Command::Proofs(proofs)) => return prove(&proofs),
        Some(Command::Run(run)) => match read_day(&run) {
            Ok(day) => run_whole(&day),
            Err(fault) => {
                eprintln!("fleet: {fault}");
                return ExitCode::from(2);
            }
        },
    };
    ended.unwrap_or_else(|report| {
        eprintln!("fleet: {report:#}");
        ExitCode::from(4)
    })
}

/// Makes the page's tables and plots anew.
fn renew_page(capacity: &Capacity) -> Result<ExitCode, PageFault> {
    let runs = read_runs(&capacity.from.join("runs"))?;
    let renewed_page = renew(&capacity.page, &runs)?;
    std::fs::write(&capacity.page, renewed_page)
        .map_err(|fault| RecordFault::File(capacity.page.clone(), fault))?;
    println!("{}", capacity.page.display());
    for plot_path in draw_plots(&capacity.from, &runs)? {
        println!("{}", plot_path.display());
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a hollow fleet, prints what it came to, and keeps it.
fn measure(hollow: &Hollow) -> Result<ExitCode, RecordFault> {
    let size = HollowSize {
        daemons: hollow.daemons,
        functions: hollow.functions,
        held: hollow.held.unwrap_or(hollow.functions),
        runners: hollow.runners,
        changes: hollow.changes,
        seed: hollow.seed,
        calls: hollow.calls,
        measured: Duration::from_secs(hollow.seconds),
        patience: Duration::from_secs(hollow.patience),
    };
    let fleet = match size.checked().and_then(Fleet::new) {
        Ok(fleet) => fleet,
        Err(fault) => {
            eprintln!("fleet: {fault}");
            return Ok(ExitCode::from(2));
        }
    };
    let record = fleet.run();
    print!("{record}");
    if let Some(folder) = &hollow.folder {
        println!("{}", record.write(folder)?.display());
    }
    Ok(if record.stopped.is_none() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Prints a table in Markdown: for each fault its runs, shares, and times to recovery.
fn tabulate(folders: &[PathBuf]) -> Result<ExitCode, EvidenceFault> {
    let mut by_fault: BTreeMap<String, Vec<Recovery>> = BTreeMap::new();
    let mut violation_count = 0;
    for folder in folders {
        let verdict = judge(&Evidence::read(folder)?);
        violation_count += verdict.violation_count();
        for recovery in verdict.figures.recoveries {
            by_fault.entry(recovery.fault.clone()).or_default().push(recovery);
        }
    }
    println!(
        "| fault | runs | not run | unknown | worst half second | down, median | down, worst | after return, worst |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (fault, runs) in by_fault {
        let calls: usize = runs.iter().map(|run| run.calls).sum();
        let share = |part: fn(&Recovery) -> f64| {
            let weighed: f64 = runs.iter().map(|run| part(run) * run.calls as f64).sum();
            weighed / calls.max(1) as f64 * 100.0
        };
        let mut down: Vec<u64> = runs.iter().map(|run| run.down_ms).collect();
        down.sort_unstable();
        let worst_share = runs.iter().map(|run| run.worst_share).fold(1.0, f64::min) * 100.0;
        let after_return = runs.iter().map(|run| run.after_return_ms).max().unwrap_or(0);
        println!(
            "| {fault} | {} | {:.2} % | {:.2} % | {worst_share:.0} % | {} ms | {} ms | {after_return} ms |",
            runs.len(),
            share(|run| run.not_run),
            share(|run| run.unknown),
            down[down.len() / 2],
            down[down.len() - 1],
        );
    }
    println!("\nviolations in {} days: {violation_count}", folders.len());
    Ok(if violation_count == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Prints a table in Markdown: for each rule what is seen without it, and how soon.
fn prove(proofs: &Proofs) -> ExitCode {
    let mut is_whole = true;
    println!(
        "| point | broken | faults | seeds to first finding | seen | checks with all rules kept | breaches |"
    );
    println!("|---|---|---|---|---|---|---|");
    for proof in PROOFS {
        let end = proof.run(proofs.seeds.unwrap_or(proof.seeds));
        let faults: Vec<String> = proof.faults.iter().map(SimFault::to_string).collect();
        let (seed, seen) = match &end.found {
            Some((seed, seen)) => (seed.to_string(), seen.clone()),
            None => ("none".to_owned(), String::new()),
        };
        println!(
            "| {} | `{}` | {} | {seed} | {seen} | {} | {} |",
            proof.point,
            proof.flaw,
            faults.join(", "),
            end.looked,
            end.kept_breaches.len()
        );
        end.kept_breaches.iter().take(3).for_each(|breach| eprintln!("{breach}"));
        is_whole &= end.found.is_some() && end.kept_breaches.is_empty();
    }
    if is_whole { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn simulate(sim: &Sim) -> ExitCode {
    let Some(flaw) = Flaw::all().into_iter().find(|flaw| flaw.to_string() == sim.flaw) else {
        let names: Vec<String> = Flaw::all().iter().map(Flaw::to_string).collect();
        eprintln!("fleet: unknown flaw {:?}; there are: {}", sim.flaw, names.join(", "));
        return ExitCode::from(2);
    };
    let mut focus = Vec::new();
    for name in sim.faults.split(',').filter(|name| !name.is_empty()) {
        let Some(fault) = SimFault::named(name) else {
            let names: Vec<String> = SimFault::ALL.iter().map(SimFault::to_string).collect();
            eprintln!("fleet: unknown fault {name:?}; there are: {}", names.join(", "));
            return ExitCode::from(2);
        };
        focus.push(fault);
    }
    let mut bad_seeds = Vec::new();
    let mut weak_seeds = Vec::new();
    for seed in sim.seed..sim.seed + sim.count {
        let plan = SimPlan {
            flaw,
            lasts: Duration::from_secs(sim.lasts),
            daemons: sim.daemons,
            has_faults: !sim.calm,
            focus: focus.clone(),
            gap: Duration::from_millis(sim.gap_ms.max(400)),
            order_gap: Duration::from_millis(sim.order_gap_ms),
            ..SimPlan::seeded(seed)
        };
        let sim_end = World::new(plan, sim.trace).run();
        sim_end.trace.iter().for_each(|line| println!("{line}"));
        println!("seed {seed}: {sim_end}");
        for breach in sim_end.breaches.iter().take(5) {
            println!("    {breach}");
        }
        if !sim_end.breaches.is_empty() {
            bad_seeds.push(seed);
        } else if sim_end.share_after < 0.5 {
            weak_seeds.push(seed);
        }
    }
    println!(
        "{} seeds: {} with breaches {bad_seeds:?}, {} not back in service {weak_seeds:?}",
        sim.count,
        bad_seeds.len(),
        weak_seeds.len()
    );
    if bad_seeds.is_empty() && weak_seeds.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

fn run_whole(day: &Day) -> eyre::Result<ExitCode> {
    if day.folder.join("journal.jsonl").exists() {
        std::fs::remove_dir_all(&day.folder).wrap_err("old folder")?;
    }
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let day_end = runtime.block_on(run_day(day)).map_err(|fault| eyre!("{fault}"))?;
    Ok(conclude(&day_end.verdict))
}
