//! A daemon: takes callers' transactions and runs the functions it holds.

use common::command_line::{self, Program};
use common::events;
use common::note;
use common::readers::{BootFault, BootSource};
use dataplane::boot::DaemonBoot;
use dataplane::drivers::{Daemon, DaemonHandle};
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
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set_text("member", flags.member.as_deref());
    boot_source.set_text("locality", flags.zone.as_deref());
    boot_source.set_text("place", flags.place.as_deref());
    boot_source.set_text("door", flags.door.as_deref());
    boot_source.set_text("platform", flags.platform.as_deref());
    boot_source.set_list("seeds", flags.seeds.as_deref());
    DaemonBoot::read(&boot_source)
}

const PROGRAM: Program = Program::new("rudderd", env!("CARGO_PKG_VERSION"));

fn main() -> ExitCode {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => return PROGRAM.fail(fault, 2),
    };
    match run(boot, flags.boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let exit_code = if report.is::<BootFault>() { 2 } else { 1 };
            PROGRAM.fail(report, exit_code)
        }
    }
}

/// Takes the file's seeds whenever the process is told that its settings have changed.
async fn reseed(daemon: DaemonHandle, boot_file: Option<PathBuf>, reread: watch::Receiver<u64>) {
    let read = || {
        let boot_source = BootSource::open(boot_file.as_deref()).ok()?;
        DaemonBoot::read(&boot_source).ok()
    };
    command_line::apply_on_reread(reread, read, async move |boot: DaemonBoot| {
        daemon.reseed(boot.seeds)
    })
    .await;
}

fn run(boot: DaemonBoot, boot_file: Option<PathBuf>) -> eyre::Result<()> {
    command_line::runtime(boot.threads)?.block_on(async {
        let started_note = format!("{} at {}, door at {}", boot.member, boot.place, boot.door);
        let daemon = Daemon::open(boot).await?;
        note!(Info, events::STARTED, "{started_note}");
        let stop = command_line::told_to_stop()?;
        let reread = command_line::told_to_reread()?;
        tokio::spawn(reseed(daemon.handle(), boot_file, reread));
        daemon.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
