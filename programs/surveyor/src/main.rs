//! A surveyor: one member of the core.

use gumdrop::Options;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use survey::boot::SurveyorBoot;
use survey::drivers::{Reseeder, Surveyor, SurveyorFault};
use tokio::sync::watch;
use waymark::events;
use waymark::note;
use waymark::readers::{BootFault, BootSource};

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
    #[options(no_short, help = "this machine's locality", meta = "NAME")]
    locality: Option<String>,
    #[options(
        no_short,
        help = "the places of up to three surveyors, with commas",
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

fn read_boot(flags: &Flags) -> Result<SurveyorBoot, BootFault> {
    let text = |given: &Option<String>| given.clone().map(Value::String);
    let mut boot_source = BootSource::open(flags.boot.as_deref())?;
    boot_source.set("place", text(&flags.place));
    boot_source.set("operators", text(&flags.operators));
    boot_source.set("locality", text(&flags.locality));
    boot_source.set("data", text(&flags.data));
    boot_source.set("found_first", flags.found_first.then_some(Value::Bool(true)));
    boot_source.set("platform", text(&flags.platform));
    boot_source.set(
        "seeds",
        flags.seeds.as_ref().map(|seeds| json!(seeds.split(',').collect::<Vec<_>>())),
    );
    SurveyorBoot::read(&boot_source)
}

fn main() -> ExitCode {
    let flags = waymark::command_line::read::<Flags>("surveyor");
    if flags.version {
        println!("surveyor {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    waymark::command_line::start_log();
    let boot = match read_boot(&flags) {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("surveyor: {fault}");
            return ExitCode::from(2);
        }
    };
    if let Some(phrase) = &flags.recover {
        if phrase != "i-accept-the-loss" {
            eprintln!("surveyor: --recover needs the phrase i-accept-the-loss; see --help");
            return ExitCode::from(2);
        }
        let Some(data) = &boot.data else {
            eprintln!("surveyor: --recover needs a data folder");
            return ExitCode::from(2);
        };
        if let Err(fault) = survey::disk::leave_alone(data) {
            eprintln!("surveyor: --recover: {fault}");
            return ExitCode::from(1);
        }
    }
    match run(flags, &boot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("surveyor: {report}");
            ExitCode::from(if report.is::<SurveyorFault>() { 2 } else { 1 })
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

fn run(flags: Flags, boot: &SurveyorBoot) -> eyre::Result<()> {
    let runtime = if boot.threads == 1 {
        tokio::runtime::Builder::new_current_thread().enable_all().build()?
    } else {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(boot.threads)
            .enable_all()
            .build()?
    };
    runtime.block_on(async {
        let surveyor = Surveyor::open(boot).await?;
        tokio::spawn(reread(flags, surveyor.reseeder(), waymark::command_line::told_to_reread()?));
        note!(Info, events::STARTED, "surveyor at {}, operators at {}", boot.place, boot.operators);
        let stop = waymark::command_line::told_to_stop()?;
        surveyor.run(stop).await;
        note!(Info, events::STOPPED);
        Ok(())
    })
}
