//! The daemon program: its flags, its settings, and its exit codes.
//!
//! Exit codes: 0 stopped by a signal; 1 system error; 2 invalid flags or settings.

#![deny(unreachable_pub)]

use common::command_line::{self, Program};
use common::readers::{SettingsError, SettingsSource};
use dataplane::server::{Daemon, DaemonHandle};
use dataplane::settings::DaemonSettings;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::sync::watch;

/// A daemon of rudderstream: takes callers' transactions and runs the functions it holds.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "settings file (JSON)", meta = "FILE")]
    boot: Option<PathBuf>,
    #[options(no_short, help = "this daemon's name", meta = "NAME")]
    member: Option<String>,
    #[options(
        no_short,
        long = "locality",
        help = "this machine's zone",
        meta = "NAME"
    )]
    zone: Option<String>,
    #[options(
        no_short,
        help = "IP:PORT for other processes, TCP and UDP",
        meta = "PLACE"
    )]
    place: Option<String>,
    #[options(no_short, help = "IP:PORT for callers", meta = "PLACE")]
    door: Option<String>,
    #[options(
        no_short,
        help = "the three controllers' places, with commas",
        meta = "PLACES"
    )]
    seeds: Option<String>,
    #[options(no_short, help = "the platform's IP:PORT", meta = "PLACE")]
    platform: Option<String>,
}

/// Reads the settings file; flags override its keys.
fn read_settings(flags: &Flags) -> Result<DaemonSettings, SettingsError> {
    let mut settings_source = SettingsSource::open(flags.boot.as_deref())?;
    settings_source.set_text("member", flags.member.as_deref());
    settings_source.set_text("locality", flags.zone.as_deref());
    settings_source.set_text("place", flags.place.as_deref());
    settings_source.set_text("door", flags.door.as_deref());
    settings_source.set_text("platform", flags.platform.as_deref());
    settings_source.set_list("seeds", flags.seeds.as_deref());
    DaemonSettings::read(&settings_source)
}

const PROGRAM: Program = Program::new("rudderd", env!("CARGO_PKG_VERSION"));

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
    PROGRAM.finish(run(settings, flags.boot), |report| {
        if report.is::<SettingsError>() { 2 } else { 1 }
    })
}

/// Applies the seeds in the settings file on each reload signal. Flags do not override them here, so that a process
/// that was started with `--seeds` can get other seeds. A file that cannot be read is logged and changes nothing.
async fn update_seeds(
    daemon: DaemonHandle,
    settings_file: Option<PathBuf>,
    reload: watch::Receiver<u64>,
) {
    let read = || {
        let settings_source = SettingsSource::open(settings_file.as_deref())?;
        DaemonSettings::read(&settings_source)
    };
    command_line::apply_on_reload(reload, read, async move |settings: DaemonSettings| {
        daemon.update_seeds(settings.seeds)
    })
    .await;
}

fn run(settings: DaemonSettings, settings_file: Option<PathBuf>) -> eyre::Result<()> {
    command_line::runtime(settings.threads)?.block_on(async {
        let start_message = format!(
            "{} at {}, ingress at {}",
            settings.member, settings.address, settings.ingress
        );
        let daemon = Daemon::open(settings).await?;
        let reload = command_line::reload_signal()?;
        let reload_task = update_seeds(daemon.handle(), settings_file, reload);
        command_line::run_service(start_message, reload_task, |stop| daemon.run(stop)).await?;
        Ok(())
    })
}
