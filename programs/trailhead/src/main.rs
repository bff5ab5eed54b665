//! A trailhead: takes callers' transactions and runs the functions it holds.

use gumdrop::Options;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::sync::watch;
use trail::boot::TrailheadBoot;
use trail::drivers::{Trailhead, TrailheadHandle};
use waymark::events;
use waymark::note;
use waymark::readers::{BootFault, BootSource};

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
    #[options(no_short, help = "this machine's locality", meta = "NAME")]
    locality: Option<String>,
    #[options(no_short, help = "IP:PORT for other processes, TCP and UDP", meta = "PLACE")]
    place: Option<String>,
    #[options(no_short, help = "IP:PORT for callers", meta = "PLACE")]
    door: Option<String>,
    #[options(no_short, help = "the three surveyors' places, with commas", meta = "PLACES")]
    seeds: Option<String>,
    #[options(no_short, help = "the platform's IP:PORT", meta = "PLACE")]
    platform: Option<String>,
}

fn read_boot(flags: &Flags) -> Result<TrailheadBoot, BootFault> {
    let text = |given: &Option<String>| given.clone().map(Value::String);
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set("member", text(&flags.member));
    boot_source.set("locality", text(&flags.locality));
    boot_source.set("place", text(&flags.place));
    boot_source.set("door", text(&flags.door));
    boot_source.set("platform", text(&flags.platform));
    boot_source.set(
        "seeds",
        flags.seeds.as_ref().map(|seeds| json!(seeds.split(',').collect::<Vec<_>>())),
    );
    TrailheadBoot::read(&boot_source)
}

fn main() -> ExitCode {
    let flags = waymark::command_line::read::<Flags>("trailhead");
    if flags.version {
        println!("trailhead {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    waymark::command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("trailhead: {fault}");
            return ExitCode::from(2);
        }
    };
    match run(boot, flags.boot.as_ref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("trailhead: {report}");
            ExitCode::from(if report.is::<BootFault>() { 2 } else { 1 })
        }
    }
}

/// Takes the file's seeds whenever the process is told that its settings have changed.
async fn reseed(
    trailhead: TrailheadHandle,
    boot_file: Option<PathBuf>,
    mut reread: watch::Receiver<u64>,
) {
    while reread.changed().await.is_ok() {
        let read_boot = BootSource::open(boot_file.as_deref())
            .and_then(|boot_source| TrailheadBoot::read(&boot_source));
        if let Ok(boot) = read_boot {
            trailhead.reseed(boot.seeds);
        }
    }
}

fn run(boot: TrailheadBoot, boot_file: Option<&PathBuf>) -> eyre::Result<()> {
    let boot_file = boot_file.cloned();
    trail::drivers::runtime(boot.threads)?.block_on(async {
        let started_note = format!("{} at {}, door at {}", boot.member, boot.place, boot.door);
        let trailhead = Trailhead::open(boot).await?;
        note!(Info, events::STARTED, "{started_note}");
        let stop = waymark::command_line::told_to_stop()?;
        let reread = waymark::command_line::told_to_reread()?;
        tokio::spawn(reseed(trailhead.handle(), boot_file, reread));
        trailhead.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
