//! A controller whose disk does what a file beside its settings says: nothing, full, failing or stalled.

use common::command_line::{self, Program};
use common::readers::BootSource;
use controlplane::boot::ControllerBoot;
use controlplane::disk::Seam;
use controlplane::drivers::{Controller, ControllerAdapters};
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

struct Ailing {
    said_in: PathBuf,
}

impl Ailing {
    fn ails_with(&self) -> String {
        std::fs::read_to_string(&self.said_in).unwrap_or_default().trim().to_owned()
    }
}

impl Seam for Ailing {
    fn before_write(&self) -> io::Result<()> {
        loop {
            match self.ails_with().as_str() {
                "full" => return Err(io::ErrorKind::StorageFull.into()),
                "failing" => return Err(io::Error::other("input/output error")),
                "stalled" => std::thread::sleep(Duration::from_millis(20)),
                _ => return Ok(()),
            }
        }
    }
}

const PROGRAM: Program = Program::new("ailing-controller", env!("CARGO_PKG_VERSION"));

fn main() -> eyre::Result<()> {
    let flags = PROGRAM.flags(|flags: &Flags| flags.version);
    command_line::start_log();
    let boot_source = BootSource::open(Some(&flags.boot)).map_err(|fault| eyre!("{fault}"))?;
    let boot = ControllerBoot::read(&boot_source).map_err(|fault| eyre!("{fault}"))?;
    let seam = Ailing { said_in: flags.boot.with_extension("json.disk") };
    command_line::runtime(2)?.block_on(async {
        let tongues = ControllerAdapters::own(boot.platform);
        let controller =
            Controller::open_with(&boot, Box::new(seam), tongues).await.wrap_err("opening")?;
        let stop = command_line::told_to_stop()?;
        let _reread = command_line::told_to_reread()?;
        controller.run(stop).await;
        Ok(())
    })
}
