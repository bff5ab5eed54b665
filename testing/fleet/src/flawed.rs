//! A daemon with one safety rule taken away, to see that the judge finds what is broken.

use common::command_line::{self, Program};
use common::readers::BootSource;
use common::rules::{Rule, Rules};
use dataplane::boot::DaemonBoot;
use dataplane::drivers::Daemon;
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

fn main() -> eyre::Result<()> {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    command_line::start_log();
    let rule = Rule::named(&flags.without)
        .ok_or_else(|| eyre!("--without: no such rule: {:?}", flags.without))?;
    let boot_source = BootSource::open(Some(&flags.boot)).map_err(|fault| eyre!("{fault}"))?;
    let boot = DaemonBoot::read(&boot_source).map_err(|fault| eyre!("{fault}"))?;
    command_line::runtime(0)?.block_on(async {
        let opened = Daemon::open_under(boot, Rules::without(rule)).await;
        let daemon = opened.map_err(|fault| eyre!("{fault}")).wrap_err("opening")?;
        let stop = command_line::told_to_stop()?;
        let _reread = command_line::told_to_reread()?;
        daemon.run(stop).await;
        Ok(())
    })
}
