//! A controller: one member of the core.

use common::events;
use common::note;
use common::readers::{BootFault, BootSource};
use controlplane::boot::ControllerBoot;
use controlplane::drivers::{Controller, ControllerFault, Reseeder};
use gumdrop::Options;
use serde_json::{Value, json};
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
    let text = |given: &Option<String>| given.clone().map(Value::String);
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set("place", text(&flags.place));
    boot_source.set("operators", text(&flags.operators));
    boot_source.set("locality", text(&flags.zone));
    boot_source.set("data", text(&flags.data));
    boot_source.set("found_first", flags.found_first.then_some(Value::Bool(true)));
    boot_source.set("platform", text(&flags.platform));
    boot_source.set(
        "seeds",
        flags.seeds.as_ref().map(|seeds| json!(seeds.split(',').collect::<Vec<_>>())),
    );
    ControllerBoot::read(&boot_source)
}

fn main() -> ExitCode {
    let flags = common::command_line::read::<Flags>("rudder-controller");
    if flags.version {
        println!("rudder-controller {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    common::command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("rudder-controller: {fault}");
            return ExitCode::from(2);
        }
    };
    if let Some(phrase) = &flags.recover {
        if phrase != "i-accept-the-loss" {
            eprintln!(
                "rudder-controller: --recover needs the phrase i-accept-the-loss; see --help"
            );
            return ExitCode::from(2);
        }
        let Some(data) = &boot.data else {
            eprintln!("rudder-controller: --recover needs a data folder");
            return ExitCode::from(2);
        };
        if let Err(fault) = controlplane::disk::leave_alone(data) {
            eprintln!("rudder-controller: --recover: {fault}");
            return ExitCode::from(1);
        }
    }
    match run(flags, &boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("rudder-controller: {report}");
            ExitCode::from(if report.is::<ControllerFault>() { 2 } else { 1 })
        }
    }
}

/// Takes the seeds anew each time the process is told that its settings have changed.
async fn reread(flags: Flags, reseeder: Reseeder, mut told: watch::Receiver<u64>) {
    while told.changed().await.is_ok() {
        match read_boot(&flags) {
            Ok(boot) => {
                reseeder.reseed(boot.seeds).await;
            }
            Err(fault) => note!(Warn, events::SETTINGS_UNREADABLE, "{fault}"),
        }
    }
}

fn run(flags: Flags, boot: &ControllerBoot) -> eyre::Result<()> {
    let runtime = if boot.threads == 1 {
        tokio::runtime::Builder::new_current_thread().enable_all().build()?
    } else {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(boot.threads)
            .enable_all()
            .build()?
    };
    runtime.block_on(async {
        let controller = Controller::open(boot).await?;
        tokio::spawn(reread(flags, controller.reseeder(), common::command_line::told_to_reread()?));
        note!(
            Info,
            events::STARTED,
            "controller at {}, operators at {}",
            boot.place,
            boot.operators
        );
        let stop = common::command_line::told_to_stop()?;
        controller.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
