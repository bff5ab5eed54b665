//! The operators' command line.

mod client;
mod trace;

use client::{ClientFault, OperatorClient, Sent, Way};
use common::command_line::{self, Program};
use common::frames::Place;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Drives rudderstream over the operators' API.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        help = "operators' places of controllers, with commas; the first that answers is used",
        default = "127.0.0.1:7111",
        meta = "PLACES"
    )]
    at: String,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "found the core on three empty controllers, once")]
    Found(Plain),
    #[options(help = "show the core as one controller sees it")]
    Core(Plain),
    #[options(help = "have another controller take a core member's place at once")]
    Replace(Replace),
    #[options(help = "read the spec with its serial")]
    Spec(Plain),
    #[options(help = "send a whole spec from a file")]
    Put(Change),
    #[options(help = "send a JSON merge patch from a file")]
    Patch(Change),
    #[options(help = "put and remove named functions and routes, from a file with put and remove")]
    Items(Change),
    #[options(help = "ask what became of a change")]
    Change(Named),
    #[options(help = "empty a locality")]
    Evacuate(Turn),
    #[options(help = "bring a locality back")]
    Restore(Turn),
    #[options(help = "list the daemons")]
    Members(Plain),
    #[options(help = "list the functions held, and by whom")]
    Holders(Plain),
    #[options(help = "list the workers")]
    Workers(Plain),
    #[options(help = "list the runners")]
    Runners(Plain),
    #[options(help = "print events, a line of JSON each")]
    Events(Events),
    #[options(help = "trace one version of the spec from its acceptance to every daemon")]
    Trace(Trace),
}

#[derive(Options)]
struct Plain {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Options)]
struct Replace {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the member's identity, from `rudderctl core`")]
    missing: String,
    #[options(free, required, help = "the identity of the one to take its place")]
    successor: String,
}

#[derive(Options)]
struct Named {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the change's id")]
    id: String,
}

#[derive(Options)]
struct Change {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "file with the JSON")]
    file: PathBuf,
    #[options(help = "serial it is built on; read beforehand if not given", meta = "SERIAL")]
    base: Option<u64>,
    #[options(no_short, help = "your own number for it", meta = "NUMBER")]
    number: Option<u64>,
    #[options(no_short, help = "your own number of the spec it is built on", meta = "NUMBER")]
    base_number: Option<u64>,
    #[options(no_short, help = "the change's id; made up if not given", meta = "ID")]
    change_id: Option<String>,
    #[options(help = "wait until it is in force everywhere")]
    wait: bool,
}

impl Change {
    fn sent(&self) -> Sent<'_> {
        Sent {
            file: &self.file,
            base: self.base,
            number: self.number,
            base_number: self.base_number,
            change_id: self.change_id.clone(),
            wait: self.wait,
        }
    }
}

#[derive(Options)]
struct Turn {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the locality")]
    zone: String,
    #[options(no_short, help = "the change's id; made up if not given", meta = "ID")]
    change_id: Option<String>,
    #[options(help = "wait until it is in force everywhere")]
    wait: bool,
    #[options(help = "even if no locality is left")]
    force: bool,
}

#[derive(Options)]
struct Events {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the first number wanted; 0 for all that are kept", default = "0")]
    from: u64,
    #[options(help = "go on as events happen, over changes of leader")]
    follow: bool,
}

#[derive(Options)]
struct Trace {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON instead of a table")]
    json: bool,
    #[options(help = "ask again until the version is in force")]
    follow: bool,
    #[options(no_short, help = "how long to follow, in seconds", default = "30")]
    patience: u64,
    #[options(free, help = "the serial; the newest if not given")]
    serial: Option<u64>,
}

const PROGRAM: Program = Program::new("rudderctl", env!("CARGO_PKG_VERSION"));

fn main() -> ExitCode {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    let Some(command) = flags.command else {
        return PROGRAM.fail("no command; try --help", 2);
    };
    let runtime = match command_line::runtime(1) {
        Ok(runtime) => runtime,
        Err(fault) => return PROGRAM.fail(fault, 1),
    };
    match runtime.block_on(obey(&flags.at, command)) {
        Ok(exit_code) => exit_code,
        Err(fault) => {
            let exit_code = fault.exit_code();
            PROGRAM.fail(fault, exit_code)
        }
    }
}

async fn obey(at: &str, command: Command) -> Result<ExitCode, ClientFault> {
    let client = OperatorClient::new(at)?;
    match command {
        Command::Found(_) => client.found().await,
        Command::Replace(replace) => {
            client
                .post(&format!("/v1/core/replace/{}/{}", replace.missing, replace.successor))
                .await
        }
        Command::Core(_) => client.get("/v1/core").await,
        Command::Spec(_) => client.get("/v1/spec").await,
        Command::Members(_) => client.get("/v1/members").await,
        Command::Holders(_) => client.get("/v1/holders").await,
        Command::Workers(_) => client.get("/v1/workers").await,
        Command::Runners(_) => client.get("/v1/runners").await,
        Command::Change(named) => client.get(&format!("/v1/changes/{}", named.id)).await,
        Command::Put(change) => client.change(Way::Whole, change.sent()).await,
        Command::Patch(change) => client.change(Way::Patch, change.sent()).await,
        Command::Items(change) => client.change(Way::Items, change.sent()).await,
        Command::Evacuate(turn) => {
            client.turn("evacuate", &turn.zone, turn.change_id, turn.wait, turn.force).await
        }
        Command::Restore(turn) => {
            client.turn("restore", &turn.zone, turn.change_id, turn.wait, turn.force).await
        }
        Command::Events(events) => client.events(events.from, events.follow).await,
        Command::Trace(asked) => Ok(run_trace(at, &asked).await),
    }
}

async fn run_trace(at: &str, asked: &Trace) -> ExitCode {
    let places: Result<Vec<Place>, _> = at.split(',').map(|text| text.parse().map(Place)).collect();
    let Ok(places) = places else {
        return PROGRAM.fail(format_args!("--at: not IP numbers with ports: {at:?}"), 2);
    };
    match trace::follow(&places, asked.serial, asked.follow, asked.patience).await {
        Ok(version_trace) => {
            if asked.json {
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
