//! A daemon with one of its safety rules disabled, to test that the judge finds the violations.

use common::command_line::{self, Program};
use common::readers::SettingsSource;
use common::rules::{Rule, Rules};
use dataplane::server::Daemon;
use dataplane::settings::DaemonSettings;
use eyre::{WrapErr, eyre};
use gumdrop::Options;
use std::path::PathBuf;

/// A daemon for proving, without one of its rules.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(required, help = "settings file (JSON)", meta = "FILE")]
    boot: PathBuf,
    #[options(required, help = "the rule that is taken away", meta = "RULE")]
    without: String,
}

const PROGRAM: Program = Program::new("flawed-daemon", env!("CARGO_PKG_VERSION"));

/// Counts SIGHUP signals from before `main` on, since a reload can be requested as soon as the process exists.
#[ctor::ctor(unsafe)]
fn count_early_hangups() {
    common::hangups::start_counting();
}

fn main() -> eyre::Result<()> {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    command_line::init_logging();
    let rule = Rule::by_name(&flags.without)
        .ok_or_else(|| eyre!("--without: no such rule: {:?}", flags.without))?;
    let settings_source =
        SettingsSource::open(Some(&flags.boot)).map_err(|error| eyre!("{error}"))?;
    let settings = DaemonSettings::read(&settings_source).map_err(|error| eyre!("{error}"))?;
    command_line::runtime(0)?.block_on(async {
        let opened = Daemon::open_with_rules(settings, Rules::without(rule)).await;
        let daemon = opened
            .map_err(|error| eyre!("{error}"))
            .wrap_err("cannot open the daemon")?;
        let stop = command_line::stop_signal()?;
        let _reload = command_line::reload_signal()?;
        daemon.run(stop).await;
        Ok(())
    })
}
