//! A controller: one member of the core.

use common::command_line::{self, Program};
use common::events;
use common::note;
use common::readers::{BootFault, BootSource};
use controlplane::boot::ControllerBoot;
use controlplane::drivers::{Controller, ControllerFault, Reseeder};
use gumdrop::Options;
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::sync::watch;

/// A member of rudderstream's core: elects a leader, keeps the spec, grants functions.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "settings file (JSON)", meta = "FILE")]
    boot: Option<PathBuf>,
    #[options(no_short, help = "IP:PORT for other processes", meta = "PLACE")]
    place: Option<String>,
    #[options(no_short, help = "IP:PORT for operators", meta = "PLACE")]
    operators: Option<String>,
    #[options(no_short, long = "locality", help = "this machine's zone", meta = "NAME")]
    zone: Option<String>,
    #[options(
        no_short,
        help = "the places of up to three controllers, with commas",
        meta = "PLACES"
    )]
    seeds: Option<String>,
    #[options(no_short, help = "data folder; without one it has no vote", meta = "FOLDER")]
    data: Option<String>,
    #[options(
        no_short,
        help = "the whole system starts for the first time: the seeds found the core"
    )]
    found_first: bool,
    #[options(no_short, help = "the platform's IP:PORT", meta = "PLACE")]
    platform: Option<String>,
    #[options(
        no_short,
        help = "the majority is lost for good: lead alone from this disk. Whatever was accepted without reaching this disk is lost. PHRASE must be: i-accept-the-loss",
        meta = "PHRASE"
    )]
    recover: Option<String>,
}

fn read_boot(flags: &Flags) -> Result<ControllerBoot, BootFault> {
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set_text("place", flags.place.as_deref());
    boot_source.set_text("operators", flags.operators.as_deref());
    boot_source.set_text("locality", flags.zone.as_deref());
    boot_source.set_text("data", flags.data.as_deref());
    boot_source.set("found_first", flags.found_first.then_some(Value::Bool(true)));
    boot_source.set_text("platform", flags.platform.as_deref());
    boot_source.set_list("seeds", flags.seeds.as_deref());
    ControllerBoot::read(&boot_source)
}

const PROGRAM: Program = Program::new("rudder-controller", env!("CARGO_PKG_VERSION"));
/// What an operator must say to have one disk lead alone.
const RECOVER_PHRASE: &str = "i-accept-the-loss";

fn main() -> ExitCode {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => return PROGRAM.fail(fault, 2),
    };
    if let Some(phrase) = &flags.recover
        && let Err(exit_code) = recover(phrase, &boot)
    {
        return exit_code;
    }
    match run(flags, &boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let exit_code = if report.is::<ControllerFault>() { 2 } else { 1 };
            PROGRAM.fail(report, exit_code)
        }
    }
}

/// Has this disk lead alone, if the operator has accepted what is lost by that.
fn recover(phrase: &str, boot: &ControllerBoot) -> Result<(), ExitCode> {
    if phrase != RECOVER_PHRASE {
        let fault = format!("--recover needs the phrase {RECOVER_PHRASE}; see --help");
        return Err(PROGRAM.fail(fault, 2));
    }
    let Some(data) = &boot.data else {
        return Err(PROGRAM.fail("--recover needs a data folder", 2));
    };
    controlplane::disk::leave_alone(data)
        .map(|_| ())
        .map_err(|fault| PROGRAM.fail(format!("--recover: {fault}"), 1))
}

/// Takes the seeds anew each time the process is told that its settings have changed.
async fn reseed(flags: Flags, reseeder: Reseeder, reread: watch::Receiver<u64>) {
    let read = || {
        read_boot(&flags)
            .inspect_err(|fault| note!(Warn, events::SETTINGS_UNREADABLE, "{fault}"))
            .ok()
    };
    command_line::apply_on_reread(reread, read, async move |boot: ControllerBoot| {
        reseeder.reseed(boot.seeds).await;
    })
    .await;
}

fn run(flags: Flags, boot: &ControllerBoot) -> eyre::Result<()> {
    command_line::runtime(boot.threads)?.block_on(async {
        let controller = Controller::open(boot).await?;
        tokio::spawn(reseed(flags, controller.reseeder(), command_line::told_to_reread()?));
        note!(
            Info,
            events::STARTED,
            "controller at {}, operators at {}",
            boot.place,
            boot.operators
        );
        let stop = command_line::told_to_stop()?;
        controller.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
