//! The controller program: its flags, its settings, and its exit codes.
//!
//! Exit codes: 0 stopped by a signal; 1 system error; 2 invalid flags or settings.

#![deny(unreachable_pub)]

use common::command_line::{self, Program};
use common::readers::{SettingsError, SettingsSource};
use controlplane::drivers::{Controller, ControllerError, SeedUpdater};
use controlplane::settings::ControllerSettings;
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
    #[options(
        no_short,
        long = "locality",
        help = "this machine's zone",
        meta = "NAME"
    )]
    zone: Option<String>,
    #[options(
        no_short,
        help = "the places of up to three controllers, with commas",
        meta = "PLACES"
    )]
    seeds: Option<String>,
    #[options(
        no_short,
        help = "data folder; without one it has no vote",
        meta = "FOLDER"
    )]
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

/// Reads the settings file; flags override its keys.
fn read_settings(flags: &Flags) -> Result<ControllerSettings, SettingsError> {
    let mut settings_source = SettingsSource::open(flags.boot.as_deref())?;
    settings_source.set_text("place", flags.place.as_deref());
    settings_source.set_text("operators", flags.operators.as_deref());
    settings_source.set_text("locality", flags.zone.as_deref());
    settings_source.set_text("data", flags.data.as_deref());
    settings_source.set(
        "found_first",
        flags.found_first.then_some(Value::Bool(true)),
    );
    settings_source.set_text("platform", flags.platform.as_deref());
    settings_source.set_list("seeds", flags.seeds.as_deref());
    ControllerSettings::read(&settings_source)
}

const PROGRAM: Program = Program::new("rudder-controller", env!("CARGO_PKG_VERSION"));
/// The phrase by which an operator accepts the data loss of `--recover`.
const RECOVER_PHRASE: &str = "i-accept-the-loss";

/// Runs before `main`, because a reload signal may arrive as soon as the process exists.
#[ctor::ctor(unsafe)]
fn count_early_hangups() {
    common::hangups::start_counting();
}

fn main() -> ExitCode {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    command_line::init_logging();
    let settings = match read_settings(&flags) {
        Ok(settings) => settings,
        Err(error) => return PROGRAM.fail(error, 2),
    };
    if let Some(phrase) = &flags.recover
        && let Err(exit_code) = recover(phrase, &settings)
    {
        return exit_code;
    }
    PROGRAM.finish(run(flags, &settings), |report| {
        if report.is::<ControllerError>() { 2 } else { 1 }
    })
}

/// Makes this controller the only voter in its data directory, if the operator has accepted the loss. Returns the exit
/// code of the program on failure.
fn recover(phrase: &str, settings: &ControllerSettings) -> Result<(), ExitCode> {
    if phrase != RECOVER_PHRASE {
        let error = format!("--recover needs the phrase {RECOVER_PHRASE}; see --help");
        return Err(PROGRAM.fail(error, 2));
    }
    let Some(data) = &settings.data_directory else {
        return Err(PROGRAM.fail("--recover needs a data folder", 2));
    };
    controlplane::storage::force_single_voter(data)
        .map(|_| ())
        .map_err(|error| PROGRAM.fail(format!("--recover: {error}"), 1))
}

/// Applies the seeds in the settings on each reload signal. Settings that cannot be read are logged and change nothing.
async fn update_seeds(flags: Flags, seed_updater: SeedUpdater, reload: watch::Receiver<u64>) {
    let read = || read_settings(&flags);
    command_line::apply_on_reload(reload, read, async move |settings: ControllerSettings| {
        seed_updater.update_seeds(settings.seeds).await;
    })
    .await;
}

fn run(flags: Flags, settings: &ControllerSettings) -> eyre::Result<()> {
    command_line::runtime(settings.threads)?.block_on(async {
        let controller = Controller::open(settings).await?;
        let reload = command_line::reload_signal()?;
        let reload_task = update_seeds(flags, controller.seed_updater(), reload);
        let start_message = format!(
            "controller at {}, operators at {}",
            settings.address, settings.operators
        );
        command_line::run_service(start_message, reload_task, |stop| controller.run(stop)).await?;
        Ok(())
    })
}
