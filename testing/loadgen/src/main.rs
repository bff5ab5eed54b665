//! Stand-in callers as a process.

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

fn main() -> ExitCode {
    let flags = common::command_line::read::<Flags>("loadgen");
    if flags.version {
        println!("loadgen {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let read_plan = BootSource::open(flags.plan.as_deref())
        .map_err(loadgen::PlanFault::from)
        .and_then(|source| Plan::read(&source));
    let plan = match read_plan {
        Ok(plan) => plan,
        Err(fault) => {
            eprintln!("loadgen: {fault}");
            return ExitCode::from(2);
        }
    };
    let ended = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .and_then(|runtime| runtime.block_on(walk(plan)))
        .wrap_err("calling");
    match ended {
        Ok(summary) => {
            println!("{}", summary.to_value());
            ExitCode::SUCCESS
        }
        Err(report) => {
            eprintln!("loadgen: {report:#}");
            ExitCode::FAILURE
        }
    }
}
