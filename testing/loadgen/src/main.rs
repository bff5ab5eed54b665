//! Stand-in callers as a process.

use common::command_line::{self, Program};
use common::readers::BootSource;
use eyre::WrapErr;
use gumdrop::Options;
use loadgen::{Plan, walk};
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
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    let read_plan = BootSource::open(flags.plan.as_deref())
        .map_err(loadgen::PlanFault::from)
        .and_then(|source| Plan::read(&source));
    let plan = match read_plan {
        Ok(plan) => plan,
        Err(fault) => return PROGRAM.fail(fault, 2),
    };
    let ended = command_line::runtime(4)
        .and_then(|runtime| runtime.block_on(walk(plan)))
        .wrap_err("calling");
    match ended {
        Ok(summary) => {
            println!("{}", summary.to_value());
            ExitCode::SUCCESS
        }
        Err(report) => PROGRAM.fail(format_args!("{report:#}"), 1),
    }
}
