//! The test tool for fleets: runs test days, soaks, simulations and capacity measurements.

mod commands;

use commands::capacity::{measure, update_page};
use commands::control_plane::{measure_recovery, simulate_second_losses};
use commands::days::{print_fault_table, print_verdict, read_day, run_and_judge};
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
    let exit_code = match flags.command {
        None => return PROGRAM.fail("no command; try --help", 2),
        Some(Command::List(_)) => {
            println!("deployments: stezka, tintwell, small");
            FaultName::ALL.iter().for_each(|fault| println!("{fault}"));
            return ExitCode::SUCCESS;
        }
        Some(Command::Judge(options)) => Evidence::read(&options.folder)
            .wrap_err("cannot read the records")
            .map(|evidence| print_verdict(&judge(&evidence))),
        Some(Command::Soak(options)) => soak::run(&options),
        Some(Command::Table(table)) => {
            print_fault_table(&table.folders).wrap_err("cannot read the records")
        }
        Some(Command::Sim(sim)) => return simulate(&sim),
        Some(Command::SecondLosses(options)) => return simulate_second_losses(&options),
        Some(Command::Recovery(options)) => return measure_recovery(&options),
        Some(Command::Capacity(capacity)) => {
            update_page(&capacity).wrap_err("cannot update the page")
        }
        Some(Command::Synthetic(synthetic)) => {
            measure(&synthetic).wrap_err("cannot write the record")
        }
        Some(Command::Proofs(options)) => return check_detection(&options),
        Some(Command::Run(run)) => match read_day(&run) {
            Ok(day) => run_and_judge(&day),
            Err(error) => return PROGRAM.fail(error, 2),
        },
    };
    exit_code.unwrap_or_else(|report| PROGRAM.fail(format_args!("{report:#}"), 4))
}
