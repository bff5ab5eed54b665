//! Runs the load generator as a process.

use common::command_line::{self, Program};
use common::readers::SettingsSource;
use eyre::WrapErr;
use gumdrop::Options;
use loadgen::{Plan, run_plan};
use std::path::PathBuf;
use std::process::ExitCode;

/// Seeded stand-in callers.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "plan file (JSON)", meta = "FILE")]
    plan: Option<PathBuf>,
}

const PROGRAM: Program = Program::new("loadgen", env!("CARGO_PKG_VERSION"));

fn main() -> ExitCode {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    let read_plan = SettingsSource::open(flags.plan.as_deref())
        .map_err(loadgen::PlanError::from)
        .and_then(|source| Plan::read(&source));
    let plan = match read_plan {
        Ok(plan) => plan,
        Err(error) => return PROGRAM.fail(error, 2),
    };
    let result = command_line::runtime(4)
        .and_then(|runtime| runtime.block_on(run_plan(plan)))
        .wrap_err("running the plan");
    match result {
        Ok(summary) => {
            println!("{}", summary.to_value());
            ExitCode::SUCCESS
        }
        Err(report) => PROGRAM.fail(format_args!("{report:#}"), 1),
    }
}
