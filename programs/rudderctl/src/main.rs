//! The operators' command line.

mod arguments;
mod client;
mod table;
mod trace;

use arguments::{Command, EXAMPLES, Flags, OutputFormat, Trace};
use client::{ChangeKind, ClientError, OperatorClient};
use common::command_line::{self, Program};
use common::frames::SocketAddress;
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
    at: &str,
    output: Option<OutputFormat>,
    command: Command,
) -> Result<ExitCode, ClientError> {
    let client = OperatorClient::new(at)?;
    match command {
        Command::Found(_) => client.found().await,
        Command::Replace(replace) => {
            client
                .post(&format!(
                    "/v1/core/replace/{}/{}",
                    replace.missing, replace.successor
                ))
                .await
        }
        Command::Core(options) => client.list(&table::CORE, options.output.or(output)).await,
        Command::Spec(_) => client.get("/v1/spec").await,
        Command::Members(options) => {
            client
                .list(&table::MEMBERS, options.output.or(output))
                .await
        }
        Command::Holders(options) => {
            client
                .list(&table::HOLDERS, options.output.or(output))
                .await
        }
        Command::Workers(options) => {
            client
                .list(&table::WORKERS, options.output.or(output))
                .await
        }
        Command::Runners(options) => {
            client
                .list(&table::RUNNERS, options.output.or(output))
                .await
        }
        Command::Change(named) => client.get(&format!("/v1/changes/{}", named.id)).await,
        Command::Put(change) => {
            client
                .change(ChangeKind::Full, change.to_submission())
                .await
        }
        Command::Patch(change) => {
            client
                .change(ChangeKind::Patch, change.to_submission())
                .await
        }
        Command::Items(change) => {
            client
                .change(ChangeKind::Items, change.to_submission())
                .await
        }
        Command::Evacuate(zone_change) => {
            client
                .zone_change(
                    "evacuate",
                    &zone_change.zone,
                    zone_change.change_id,
                    zone_change.wait,
                    zone_change.force,
                )
                .await
        }
        Command::Restore(zone_change) => {
            client
                .zone_change(
                    "restore",
                    &zone_change.zone,
                    zone_change.change_id,
                    zone_change.wait,
                    zone_change.force,
                )
                .await
        }
        Command::Events(events) => client.events(events.from, events.follow).await,
        Command::Trace(options) => Ok(run_trace(at, &options, options.output.or(output)).await),
    }
}

async fn run_trace(at: &str, options: &Trace, output: Option<OutputFormat>) -> ExitCode {
    let addresses: Result<Vec<SocketAddress>, _> = at
        .split(',')
        .map(|text| text.parse().map(SocketAddress))
        .collect();
    let Ok(addresses) = addresses else {
        return PROGRAM.fail(format_args!("--at: not IP numbers with ports: {at:?}"), 2);
    };
    match trace::follow(&addresses, options.serial, options.follow, options.patience).await {
        Ok(version_trace) => {
            if options.json || output == Some(OutputFormat::Json) {
                println!("{}", version_trace.to_value());
            } else {
                print!("{version_trace}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            let exit_code = error.exit_code();
            PROGRAM.fail(error, exit_code)
        }
    }
}
