//! A daemon: takes callers' transactions and runs the functions it holds.

use common::events;
use common::note;
use common::readers::{BootFault, BootSource};
use dataplane::boot::DaemonBoot;
use dataplane::drivers::{Daemon, DaemonHandle};
use gumdrop::Options;
use serde_json::{Value, json};
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
    #[options(no_short, long = "locality", help = "this machine's zone", meta = "NAME")]
    zone: Option<String>,
    #[options(no_short, help = "IP:PORT for other processes, TCP and UDP", meta = "PLACE")]
    place: Option<String>,
    #[options(no_short, help = "IP:PORT for callers", meta = "PLACE")]
    door: Option<String>,
    #[options(no_short, help = "the three controllers' places, with commas", meta = "PLACES")]
    seeds: Option<String>,
    #[options(no_short, help = "the platform's IP:PORT", meta = "PLACE")]
    platform: Option<String>,
}

fn read_boot(flags: &Flags) -> Result<DaemonBoot, BootFault> {
    let text = |given: &Option<String>| given.clone().map(Value::String);
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set("member", text(&flags.member));
    boot_source.set("locality", text(&flags.zone));
    boot_source.set("place", text(&flags.place));
    boot_source.set("door", text(&flags.door));
    boot_source.set("platform", text(&flags.platform));
    boot_source.set(
        "seeds",
        flags.seeds.as_ref().map(|seeds| json!(seeds.split(',').collect::<Vec<_>>())),
    );
    DaemonBoot::read(&boot_source)
}

fn main() -> ExitCode {
    let flags = common::command_line::read::<Flags>("rudderd");
    if flags.version {
        println!("rudderd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    common::command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("rudderd: {fault}");
            return ExitCode::from(2);
        }
    };
    match run(boot, flags.boot.as_ref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("rudderd: {report}");
            ExitCode::from(if report.is::<BootFault>() { 2 } else { 1 })
        }
    }
}

/// Takes the file's seeds whenever the process is told that its settings have changed.
async fn reseed(
    daemon: DaemonHandle,
    boot_file: Option<PathBuf>,
    mut reread: watch::Receiver<u64>,
) {
    while reread.changed().await.is_ok() {
        let read_boot = BootSource::open(boot_file.as_deref())
            .and_then(|boot_source| DaemonBoot::read(&boot_source));
        if let Ok(boot) = read_boot {
            daemon.reseed(boot.seeds);
        }
    }
}

fn run(boot: DaemonBoot, boot_file: Option<&PathBuf>) -> eyre::Result<()> {
    let boot_file = boot_file.cloned();
    dataplane::drivers::runtime(boot.threads)?.block_on(async {
        let started_note = format!("{} at {}, door at {}", boot.member, boot.place, boot.door);
        let daemon = Daemon::open(boot).await?;
        note!(Info, events::STARTED, "{started_note}");
        let stop = common::command_line::told_to_stop()?;
        let reread = common::command_line::told_to_reread()?;
        tokio::spawn(reseed(daemon.handle(), boot_file, reread));
        daemon.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
