//! The proving tool: whole days of the fleet, judged.

mod commands;

use commands::capacity::{measure, renew_page};
use commands::days::{conclude, read_day, run_whole, tabulate};
use commands::flags::{Command, Flags};
use commands::simulator::{prove, simulate};
use eyre::WrapErr;
use fleet::days::FaultName;
use fleet::judge::{Evidence, judge};
use fleet::synthetic::CountingAllocator;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

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
        Some(Command::Synthetic(synthetic)) => measure(&synthetic).wrap_err("record"),
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
