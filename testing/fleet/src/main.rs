//! The test tool for fleets: days, soaks, simulations and capacity measurements.

mod commands;

use commands::capacity::{measure, update_page};
use commands::control_side::{lose_second_machines, measure_recovery};
use commands::days::{conclude, read_day, run_and_conclude, tabulate};
use commands::flags::{Command, Flags};
use commands::simulator::{check_detection, simulate};
use commands::soak;
use common::command_line::Program;
use eyre::WrapErr;
use fleet::days::FaultName;
use fleet::judge::{Evidence, judge};
use fleet::synthetic::CountingAllocator;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const PROGRAM: Program = Program::new("fleet", env!("CARGO_PKG_VERSION"));

fn main() -> ExitCode {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    let ended = match flags.command {
        None => return PROGRAM.fail("no command; try --help", 2),
        Some(Command::List(_)) => {
            println!("deployments: stezka, tintwell, small");
            FaultName::ALL.iter().for_each(|fault| println!("{fault}"));
            return ExitCode::SUCCESS;
        }
        Some(Command::Judge(chosen)) => Evidence::read(&chosen.folder)
            .wrap_err("records")
            .map(|evidence| conclude(&judge(&evidence))),
        Some(Command::Soak(options)) => soak::run(&options),
        Some(Command::Table(table)) => tabulate(&table.folders).wrap_err("records"),
        Some(Command::Sim(sim)) => return simulate(&sim),
        Some(Command::SecondLosses(chosen)) => return lose_second_machines(&chosen),
        Some(Command::Recovery(chosen)) => return measure_recovery(&chosen),
        Some(Command::Capacity(capacity)) => update_page(&capacity).wrap_err("page"),
        Some(Command::Synthetic(synthetic)) => measure(&synthetic).wrap_err("record"),
        Some(Command::Proofs(proofs)) => return check_detection(&proofs),
        Some(Command::Run(run)) => match read_day(&run) {
            Ok(day) => run_and_conclude(&day),
            Err(error) => return PROGRAM.fail(error, 2),
        },
    };
    ended.unwrap_or_else(|report| PROGRAM.fail(format_args!("{report:#}"), 4))
}
