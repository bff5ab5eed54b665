//! The operators' command line.

mod desk;

use desk::{Desk, DeskFault, Sent, Way};
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Drives rudderstream from an operator's desk.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        help = "operators' places of surveyors, with commas; the first that answers is used",
        default = "127.0.0.1:7111",
        meta = "PLACES"
    )]
    at: String,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "found the core on three empty surveyors, once")]
    Found(Plain),
    #[options(help = "show the core as one surveyor sees it")]
    Core(Plain),
    #[options(help = "have another surveyor take a core member's place at once")]
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
    #[options(free, required, help = "the member's identity, from `legend core`")]
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
    locality: String,
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

fn main() -> ExitCode {
    let flags = waymark::command_line::read::<Flags>("legend");
    if flags.version {
        println!("legend {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = flags.command else {
        eprintln!("legend: no command; try --help");
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("legend: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(obey(&flags.at, command)) {
        Ok(exit_code) => exit_code,
        Err(fault) => {
            eprintln!("legend: {fault}");
            ExitCode::from(fault.exit_code())
        }
    }
}

async fn obey(at: &str, command: Command) -> Result<ExitCode, DeskFault> {
    let desk = Desk::new(at)?;
    match command {
        Command::Found(_) => desk.found().await,
        Command::Replace(replace) => {
            desk.post(&format!("/v1/core/replace/{}/{}", replace.missing, replace.successor)).await
        }
        Command::Core(_) => desk.get("/v1/core").await,
        Command::Spec(_) => desk.get("/v1/spec").await,
        Command::Members(_) => desk.get("/v1/members").await,
        Command::Holders(_) => desk.get("/v1/holders").await,
        Command::Workers(_) => desk.get("/v1/workers").await,
        Command::Runners(_) => desk.get("/v1/runners").await,
        Command::Change(named) => desk.get(&format!("/v1/changes/{}", named.id)).await,
        Command::Put(change) => desk.change(Way::Whole, change.sent()).await,
        Command::Patch(change) => desk.change(Way::Patch, change.sent()).await,
        Command::Items(change) => desk.change(Way::Items, change.sent()).await,
        Command::Evacuate(turn) => {
            desk.turn("evacuate", &turn.locality, turn.change_id, turn.wait, turn.force).await
        }
        Command::Restore(turn) => {
            desk.turn("restore", &turn.locality, turn.change_id, turn.wait, turn.force).await
        }
        Command::Events(events) => desk.events(events.from, events.follow).await,
    }
}
