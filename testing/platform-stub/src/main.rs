//! Runs the test double of the platform as a process.

use common::command_line::{self, Program};
use common::frames::SocketAddress;
use common::rng::SeededRng;
use eyre::WrapErr;
use gumdrop::Options;
use platform_stub::platform::{Platform, Worker, WorkerState};
use platform_stub::records::Records;
use platform_stub::runner::{RunnerFaults, SharedRunnerState};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// A stand-in platform: workers of limited memory, and runners that record every run.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(no_short, help = "IP:PORT to listen on", default = "127.0.0.1:7000")]
    place: String,
    #[options(no_short, help = "how many workers", default = "12")]
    workers: usize,
    #[options(no_short, help = "memory of one worker in megabytes", default = "9000")]
    memory: u64,
    #[options(
        no_short,
        long = "localities",
        help = "how many zones the workers stand in",
        default = "3"
    )]
    zones: usize,
    #[options(
        no_short,
        help = "how late the lists are, in milliseconds",
        default = "1000"
    )]
    lag: u64,
    #[options(no_short, help = "shortest run in milliseconds", default = "10")]
    work_shortest: u64,
    #[options(no_short, help = "longest run in milliseconds", default = "40")]
    work_longest: u64,
    #[options(no_short, help = "daemons' doors to probe, with commas", default = "")]
    doors: String,
    #[options(no_short, help = "give the addresses of stopped runners to new ones")]
    reuse: bool,
    #[options(no_short, help = "seed of chance", default = "1")]
    seed: u64,
    #[options(no_short, help = "file of records", default = "platform-stub.jsonl")]
    records: PathBuf,
}

const PROGRAM: Program = Program::new("platform-stub", env!("CARGO_PKG_VERSION"));

fn main() -> eyre::Result<()> {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    command_line::init_logging();
    let ingresses = flags
        .doors
        .split(',')
        .filter(|ingress| !ingress.is_empty())
        .map(|ingress| {
            ingress
                .parse()
                .map(SocketAddress)
                .wrap_err_with(|| format!("--doors: {ingress}"))
        })
        .collect::<eyre::Result<Vec<SocketAddress>>>()?;
    let workers = (0..flags.workers)
        .map(|number| Worker {
            name: format!("worker-{number:02}"),
            zone: format!("locality-{}", number % flags.zones.max(1) + 1),
            memory_mb: flags.memory,
            state: WorkerState::InUse,
        })
        .collect();
    let run_duration_range = (
        Duration::from_millis(flags.work_shortest),
        Duration::from_millis(flags.work_longest),
    );
    let shared_state = Arc::new(SharedRunnerState {
        records: Records::create(&flags.records).wrap_err("--records")?,
        runner_faults: Mutex::new(RunnerFaults::default()),
        rng: Mutex::new(SeededRng::seeded(flags.seed)),
        run_duration_range,
    });
    let platform = Platform::new(
        shared_state,
        workers,
        Duration::from_millis(flags.lag),
        ingresses,
        flags.reuse,
    );
    command_line::runtime(4)?.block_on(async {
        let listener = TcpListener::bind(&flags.place).await.wrap_err("--place")?;
        let stop = command_line::stop_signal()?;
        platform.serve(listener, stop).await;
        Ok(())
    })
}
