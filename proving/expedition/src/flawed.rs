//! A trailhead with one safety rule taken away, to see that the judge finds what is broken.

use eyre::{WrapErr, eyre};
use gumdrop::Options;
use std::path::PathBuf;
use trail::boot::TrailheadBoot;
use trail::drivers::Trailhead;
use waymark::readers::BootSource;
use waymark::rules::{Rule, Rules};

/// A trailhead for proving, without one of its rules.
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

fn main() -> eyre::Result<()> {
    let flags = waymark::command_line::read::<Flags>("flawed-trailhead");
    if flags.version {
        println!("flawed-trailhead {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    waymark::command_line::start_log();
    let rule = Rule::named(&flags.without)
        .ok_or_else(|| eyre!("--without: no such rule: {:?}", flags.without))?;
    let boot_source = BootSource::open(Some(&flags.boot)).map_err(|fault| eyre!("{fault}"))?;
    let boot = TrailheadBoot::read(&boot_source).map_err(|fault| eyre!("{fault}"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let opened = Trailhead::open_under(boot, Rules::without(rule)).await;
        let trailhead = opened.map_err(|fault| eyre!("{fault}")).wrap_err("opening")?;
        let stop = waymark::command_line::told_to_stop()?;
        trailhead.run(stop).await;
        Ok(())
    })
}
