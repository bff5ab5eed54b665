//! The tracer of one change through all daemons.

mod way;

use gumdrop::Options;
use std::process::ExitCode;
use std::time::Duration;
use way::{Way, WayFault};
use waymark::clock::Moment;
use waymark::frames::Place;

/// Traces one version of the spec from its acceptance to every daemon.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        help = "operators' places of the surveyors, with commas; all are asked",
        default = "127.0.0.1:7111",
        meta = "PLACES"
    )]
    at: String,
    #[options(help = "print JSON instead of a table")]
    json: bool,
    #[options(help = "ask again until the version is in force")]
    follow: bool,
    #[options(no_short, help = "how long to follow, in seconds", default = "30")]
    patience: u64,
    #[options(free, help = "the serial; the newest if not given")]
    serial: Option<u64>,
}

fn main() -> ExitCode {
    let flags = waymark::command_line::read::<Flags>("blaze");
    if flags.version {
        println!("blaze {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let places: Result<Vec<Place>, _> =
        flags.at.split(',').map(|text| text.parse().map(Place)).collect();
    let Ok(places) = places else {
        eprintln!("blaze: --at: not IP numbers with ports: {:?}", flags.at);
        return ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("blaze: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(trace(&flags, &places)) {
        Ok(way) => {
            if flags.json {
                println!("{}", way.to_value());
            } else {
                print!("{way}");
            }
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("blaze: {fault}");
            ExitCode::from(fault.exit_code())
        }
    }
}

async fn trace(flags: &Flags, places: &[Place]) -> Result<Way, WayFault> {
    let follow_until = Moment::now() + Duration::from_secs(flags.patience);
    let mut serial = flags.serial.unwrap_or(0);
    loop {
        let read = Way::read(places, serial).await;
        let is_late = Moment::now() >= follow_until;
        match read {
            Ok(way) if !flags.follow || way.is_in_force() || is_late => return Ok(way),
            Ok(way) => serial = way.serial(),
            Err(fault) if !flags.follow || is_late => return Err(fault),
            Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
