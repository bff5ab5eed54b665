//! The operators' command line.

mod arguments;
mod client;
mod table;
mod trace;

use arguments::{Command, EXAMPLES, Flags, OutputFormat, Trace};
use client::{ChangeForm, ClientFault, OperatorClient};
use common::command_line::{self, Program};
use common::frames::Place;
use std::process::ExitCode;

const PROGRAM: Program =
    Program::new("rudderctl", env!("CARGO_PKG_VERSION")).with_examples(EXAMPLES);

fn main() -> ExitCode {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    let Some(command) = flags.command else {
        return PROGRAM.fail("no command; try --help", 2);
    };
    let runtime = match command_line::runtime(1) {
        Ok(runtime) => runtime,
        Err(fault) => return PROGRAM.fail(fault, 1),
    };
    match runtime.block_on(obey(&flags.at, flags.output, command)) {
        Ok(exit_code) => exit_code,
        Err(fault) => {
            let exit_code = fault.exit_code();
            PROGRAM.fail(fault, exit_code)
        }
    }
}

async fn obey(
    at: &str,
    output: Option<OutputFormat>,
    command: Command,
) -> Result<ExitCode, ClientFault> {
    let client = OperatorClient::new(at)?;
    match command {
        Command::Found(_) => client.found().await,
        Command::Replace(replace) => {
            client
                .post(&format!("/v1/core/replace/{}/{}", replace.missing, replace.successor))
                .await
        }
        Command::Core(asked) => client.list(&table::CORE, asked.output.or(output)).await,
        Command::Spec(_) => client.get("/v1/spec").await,
        Command::Members(asked) => client.list(&table::MEMBERS, asked.output.or(output)).await,
        Command::Holders(asked) => client.list(&table::HOLDERS, asked.output.or(output)).await,
        Command::Workers(asked) => client.list(&table::WORKERS, asked.output.or(output)).await,
        Command::Runners(asked) => client.list(&table::RUNNERS, asked.output.or(output)).await,
        Command::Change(named) => client.get(&format!("/v1/changes/{}", named.id)).await,
        Command::Put(change) => client.change(ChangeForm::Whole, change.sent()).await,
        Command::Patch(change) => client.change(ChangeForm::Patch, change.sent()).await,
        Command::Items(change) => client.change(ChangeForm::Items, change.sent()).await,
        Command::Evacuate(turn) => {
            client.turn("evacuate", &turn.zone, turn.change_id, turn.wait, turn.force).await
        }
        Command::Restore(turn) => {
            client.turn("restore", &turn.zone, turn.change_id, turn.wait, turn.force).await
        }
        Command::Events(events) => client.events(events.from, events.follow).await,
        Command::Trace(asked) => Ok(run_trace(at, &asked, asked.output.or(output)).await),
    }
}

async fn run_trace(at: &str, asked: &Trace, output: Option<OutputFormat>) -> ExitCode {
    let places: Result<Vec<Place>, _> = at.split(',').map(|text| text.parse().map(Place)).collect();
    let Ok(places) = places else {
        return PROGRAM.fail(format_args!("--at: not IP numbers with ports: {at:?}"), 2);
    };
    match trace::follow(&places, asked.serial, asked.follow, asked.patience).await {
        Ok(version_trace) => {
            if asked.json || output == Some(OutputFormat::Json) {
                println!("{}", version_trace.to_value());
            } else {
                print!("{version_trace}");
            }
            ExitCode::SUCCESS
        }
        Err(fault) => {
            let exit_code = fault.exit_code();
            PROGRAM.fail(fault, exit_code)
        }
    }
}
