//! A controller with injectable disk faults. A control file next to its settings makes the disk full, failing or
//! stalled.

use common::command_line::{self, Program};
use common::readers::SettingsSource;
use controlplane::drivers::{Controller, ControllerAdapters};
use controlplane::settings::ControllerSettings;
use controlplane::storage::DiskFaultHook;
use eyre::{WrapErr, eyre};
use gumdrop::Options;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// A controller for proving, with a disk that can be made to ail.
#[derive(Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        required,
        help = "settings file (JSON); FILE.disk says how the disk ails",
        meta = "FILE"
    )]
    boot: PathBuf,
}

/// Injects the disk fault that the control file names, if it exists.
struct FaultyDisk {
    control_file: PathBuf,
}

impl FaultyDisk {
    fn disk_state(&self) -> String {
        std::fs::read_to_string(&self.control_file)
            .unwrap_or_default()
            .trim()
            .to_owned()
    }
}

impl DiskFaultHook for FaultyDisk {
    fn before_write(&self) -> io::Result<()> {
        loop {
            match self.disk_state().as_str() {
                "full" => return Err(io::ErrorKind::StorageFull.into()),
                "failing" => return Err(io::Error::other("input/output error")),
                "stalled" => std::thread::sleep(Duration::from_millis(20)),
                _ => return Ok(()),
            }
        }
    }
}

const PROGRAM: Program = Program::new("ailing-controller", env!("CARGO_PKG_VERSION"));

/// Counts SIGHUP signals from before `main` on, since a reload can be requested as soon as the process exists.
#[ctor::ctor(unsafe)]
fn count_early_hangups() {
    common::hangups::start_counting();
}

fn main() -> eyre::Result<()> {
    let flags = PROGRAM.parse_flags(|flags: &Flags| flags.version);
    command_line::init_logging();
    let settings_source =
        SettingsSource::open(Some(&flags.boot)).map_err(|error| eyre!("{error}"))?;
    let settings = ControllerSettings::read(&settings_source).map_err(|error| eyre!("{error}"))?;
    let fault_hook = FaultyDisk {
        control_file: flags.boot.with_extension("json.disk"),
    };
    command_line::runtime(2)?.block_on(async {
        let adapters = ControllerAdapters::native(settings.platform);
        let controller = Controller::open_with(&settings, Box::new(fault_hook), adapters)
            .await
            .wrap_err("cannot open the controller")?;
        let stop = command_line::stop_signal()?;
        let _reload = command_line::reload_signal()?;
        controller.run(stop).await;
        Ok(())
    })
}
