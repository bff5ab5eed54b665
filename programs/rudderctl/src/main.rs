//! The operators' command line: a client of the operators' API.
//!
//! Exit codes: 0 done; 1 the program could not start; 2 invalid flags, addresses or files; 3 rejected or unknown; 4 no
//! controller responded, there is no quorum, or the response was lost.

#![deny(unreachable_pub)]

mod arguments;
mod change;
mod client;
mod controller_key;
mod events;
mod lenient_json;
mod output;
mod table;
mod trace;
mod trace_response;

use arguments::{Change, Command, EXAMPLES, Flags, ListCommand, Trace, ZoneCommand};
use change::{ChangeKind, ZoneAction};
use client::{ClientError, OperatorClient};
use common::command_line::{self, Program};
use common::frames::SocketAddress;
use output::OutputFormat;
use std::process::ExitCode;
use table::Table;
use trace::TraceError;

const PROGRAM: Program =
    Program::new("rudderctl", env!("CARGO_PKG_VERSION")).with_examples(EXAMPLES);

fn main() -> ExitCode {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    let Some(command) = flags.command else {
        return PROGRAM.fail("no command; try --help", 2);
    };
    let runtime = match command_line::runtime(1) {
        Ok(runtime) => runtime,
        Err(error) => return PROGRAM.fail(error, 1),
    };
    match runtime.block_on(run_command(&flags.at, flags.output, command)) {
        Ok(exit_code) => exit_code,
        Err(error) => {
            let exit_code = error.exit_code();
            PROGRAM.fail(error, exit_code)
        }
    }
}

async fn run_command(
    address_list: &str,
    output: Option<OutputFormat>,
    command: Command,
) -> Result<ExitCode, ClientError> {
    let client = OperatorClient::new(address_list)?;
    let list = async |table: &Table, options: ListCommand| {
        client.list(table, options.output.or(output)).await
    };
    let change_spec =
        async |kind, command: Change| client.change_spec(command.to_spec_change(kind)).await;
    let change_zone = async |action, command: ZoneCommand| {
        client.change_zone(command.into_zone_change(action)).await
    };
    match command {
        Command::Found(_) => client.found().await,
        Command::Replace(replace) => {
            let path = format!("/v1/core/replace/{}/{}", replace.missing, replace.successor);
            client.post(&path).await
        }
        Command::Spec(_) => client.get("/v1/spec").await,
        Command::Core(options) => list(&table::CORE, options).await,
        Command::Members(options) => list(&table::MEMBERS, options).await,
        Command::Holders(options) => list(&table::HOLDERS, options).await,
        Command::Workers(options) => list(&table::WORKERS, options).await,
        Command::Runners(options) => list(&table::RUNNERS, options).await,
        Command::Change(query) => client.get(&format!("/v1/changes/{}", query.id)).await,
        Command::Put(command) => change_spec(ChangeKind::Full, command).await,
        Command::Patch(command) => change_spec(ChangeKind::Patch, command).await,
        Command::Items(command) => change_spec(ChangeKind::Items, command).await,
        Command::Evacuate(command) => change_zone(ZoneAction::Evacuate, command).await,
        Command::Restore(command) => change_zone(ZoneAction::Restore, command).await,
        Command::Events(options) => {
            events::print_events(client.addresses(), options.from, options.follow).await
        }
        Command::Trace(options) => {
            let output = options.output.or(output);
            Ok(print_trace(client.addresses(), &options, output).await)
        }
    }
}

async fn print_trace(
    addresses: &[SocketAddress],
    options: &Trace,
    output: Option<OutputFormat>,
) -> ExitCode {
    let version_trace =
        trace::follow(addresses, options.serial, options.follow, options.patience).await;
    let result = version_trace.map(|version_trace| {
        if options.json || output == Some(OutputFormat::Json) {
            println!("{}", version_trace.to_json());
        } else {
            print!("{version_trace}");
        }
    });
    PROGRAM.finish(result, TraceError::exit_code)
}
