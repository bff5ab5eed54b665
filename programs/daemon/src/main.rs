//! A daemon: takes callers' transactions and runs the functions it holds.

use common::command_line::{self, Program};
use common::events;
use common::log_event;
use common::readers::{SettingsError, SettingsSource};
use dataplane::drivers::{Daemon, DaemonHandle};
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

fn main() -> ExitCode {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    command_line::start_log();
    let settings = match read_settings(&flags) {
        Ok(settings) => settings,
        Err(error) => return PROGRAM.fail(error, 2),
    };
    match run(settings, flags.boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let exit_code = if report.is::<SettingsError>() { 2 } else { 1 };
            PROGRAM.fail(report, exit_code)
        }
    }
}

/// Takes the file's seeds whenever the process is told that its settings have changed.
async fn update_seeds(
    daemon: DaemonHandle,
    settings_file: Option<PathBuf>,
    reload: watch::Receiver<u64>,
) {
    let read = || {
        let settings_source = SettingsSource::open(settings_file.as_deref()).ok()?;
        DaemonSettings::read(&settings_source).ok()
    };
    command_line::apply_on_reload(reload, read, async move |settings: DaemonSettings| {
        daemon.update_seeds(settings.seeds)
    })
    .await;
}

fn run(settings: DaemonSettings, settings_file: Option<PathBuf>) -> eyre::Result<()> {
    command_line::runtime(settings.threads)?.block_on(async {
        let started_message = format!(
            "{} at {}, door at {}",
            settings.member, settings.address, settings.ingress
        );
        let daemon = Daemon::open(settings).await?;
        log_event!(Info, events::STARTED, "{started_message}");
        let stop = command_line::stop_signal()?;
        let reload = command_line::reload_signal()?;
        tokio::spawn(update_seeds(daemon.handle(), settings_file, reload));
        daemon.run(stop).await;
        log_event!(Info, events::STOPPED);
        Ok(())
    })
}
