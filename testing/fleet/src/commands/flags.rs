//! The command line of the test tool. Doc comments on the option structs are printed as help.

use gumdrop::Options;
use std::path::PathBuf;

/// Runs rudderstream's whole fleet on this machine, hurts it, and judges what callers and runners saw.
#[derive(Options)]
pub(crate) struct Flags {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Options)]
pub(crate) enum Command {
    #[options(help = "run a day and judge it")]
    Run(Run),
    #[options(help = "soak real processes in troubles that overlap, over many seeds")]
    Soak(SoakOptions),
    #[options(help = "judge a folder of records again")]
    Judge(Judge),
    #[options(help = "a table of every fault over several days' folders")]
    Table(Table),
    #[options(help = "run simulated days over many seeds")]
    Sim(Sim),
    #[options(help = "lose a second machine at each step of the control quorum's repairs")]
    SecondLosses(SecondLosses),
    #[options(help = "measure how soon the control side is back after each single loss")]
    Recovery(RecoveryOptions),
    #[options(help = "take each safety rule away and see that it is found")]
    Proofs(DetectionOptions),
    #[options(
        name = "hollow",
        help = "measure a synthetic fleet, all its state machines in this process"
    )]
    Synthetic(Synthetic),
    #[options(help = "make the capacity page's tables and plots from synthetic fleets' records")]
    Capacity(Capacity),
    #[options(help = "list deployments and faults")]
    List(HelpOnly),
}

#[derive(Options)]
pub(crate) struct Synthetic {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "daemons", default = "50")]
    pub daemons: usize,
    #[options(no_short, help = "functions, each with a route", default = "200")]
    pub functions: usize,
    #[options(no_short, help = "functions that are called and so held, if not all")]
    pub held: Option<usize>,
    #[options(
        no_short,
        help = "runners that each held function keeps",
        default = "1"
    )]
    pub runners: u32,
    #[options(
        no_short,
        help = "changes of the spec while it is measured",
        default = "4"
    )]
    pub changes: u32,
    #[options(help = "seed", default = "1")]
    pub seed: u64,
    #[options(
        no_short,
        help = "calls a second and daemon while it is measured",
        default = "4"
    )]
    pub calls: u32,
    #[options(
        no_short,
        help = "seconds of virtual time that are measured",
        default = "10"
    )]
    pub seconds: u64,
    #[options(
        no_short,
        help = "seconds of real time after which it is stopped",
        default = "180"
    )]
    pub patience: u64,
    #[options(no_short, help = "a folder for the record; none is written without")]
    pub folder: Option<PathBuf>,
}

#[derive(Options)]
pub(crate) struct Capacity {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        help = "the folder of plots, with the records in its runs",
        default = "docs/capacity"
    )]
    pub from: PathBuf,
    #[options(no_short, help = "the page", default = "docs/CAPACITY.md")]
    pub page: PathBuf,
}

#[derive(Options)]
pub(crate) struct SoakOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "the first seed", default = "1")]
    pub seed: u64,
    #[options(help = "how many seeds", default = "1")]
    pub count: u64,
    #[options(help = "seconds of troubles in each", default = "30")]
    pub lasts: u64,
    #[options(no_short, help = "troubles at a time", default = "3")]
    pub lanes: usize,
    #[options(no_short, help = "how many soaks at a time", default = "1")]
    pub at_once: usize,
    #[options(no_short, help = "daemons in each", default = "6")]
    pub daemons: usize,
    #[options(no_short, help = "a rule that the daemons lack", meta = "RULE")]
    pub without: Option<String>,
    #[options(
        required,
        help = "the folder of settings, logs and records",
        meta = "FOLDER"
    )]
    pub folder: PathBuf,
}

#[derive(Options)]
pub(crate) struct HelpOnly {
    #[options(help = "print this help")]
    pub help: bool,
}

#[derive(Options)]
pub(crate) struct DetectionOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "the most seeds for each rule, if not the proof's own")]
    pub seeds: Option<u64>,
}

#[derive(Options)]
pub(crate) struct Judge {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "the day's folder")]
    pub folder: PathBuf,
}

#[derive(Options)]
pub(crate) struct Table {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, help = "the days' folders")]
    pub folders: Vec<PathBuf>,
}

#[derive(Options)]
pub(crate) struct Sim {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "the first seed", default = "1")]
    pub seed: u64,
    #[options(help = "how many seeds", default = "1")]
    pub count: u64,
    #[options(help = "seconds of faults in each day", default = "30")]
    pub lasts: u64,
    #[options(no_short, help = "daemons in each day", default = "5")]
    pub daemons: usize,
    #[options(no_short, help = "cause no faults, only changes")]
    pub calm: bool,
    #[options(
        no_short,
        help = "the only faults of the day, with commas",
        default = ""
    )]
    pub faults: String,
    #[options(
        no_short,
        help = "longest milliseconds between two faults",
        default = "3500"
    )]
    pub gap_ms: u64,
    #[options(
        no_short,
        help = "operators number their orders, and their history is judged"
    )]
    pub orders: bool,
    #[options(
        no_short,
        help = "longest milliseconds between two orders",
        default = "3000"
    )]
    pub order_gap_ms: u64,
    #[options(help = "a rule to break on purpose", default = "none")]
    pub flaw: String,
    #[options(
        no_short,
        help = "a scripted day for the control side: cut-off, second-loss, many-changes or power-loss",
        default = ""
    )]
    pub scenario: String,
    #[options(no_short, help = "print what happens")]
    pub trace: bool,
    #[options(
        no_short,
        help = "print digests of all that happened, to compare two versions of the code"
    )]
    pub digest: bool,
}

/// Which second losses are played.
#[derive(Options)]
pub(crate) struct SecondLosses {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "seed", default = "1")]
    pub seed: u64,
    #[options(no_short, help = "machines with a disk, if not every size")]
    pub machines: Option<usize>,
    #[options(no_short, help = "play each so manieth step", default = "1")]
    pub stride: u64,
    #[options(help = "a rule to break on purpose", default = "none")]
    pub flaw: String,
}

/// What is measured after each single loss.
#[derive(Options)]
pub(crate) struct RecoveryOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "the first seed", default = "1")]
    pub seed: u64,
    #[options(help = "how many seeds", default = "500")]
    pub count: u64,
    #[options(no_short, help = "machines with a disk: 3, 5, 6 or 8", default = "3")]
    pub machines: usize,
}

#[derive(Options)]
pub(crate) struct Run {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "stezka, tintwell or small", default = "small")]
    pub deployment: String,
    #[options(
        help = "faults in their order, with commas; random for seven by the seed",
        default = ""
    )]
    pub faults: String,
    #[options(help = "seed", default = "1")]
    pub seed: u64,
    #[options(help = "least length in seconds", default = "20")]
    pub lasts: u64,
    #[options(help = "seconds from one fault to the next", default = "10")]
    pub gap: u64,
    #[options(help = "transactions a second, if not the deployment's")]
    pub rate: Option<f64>,
    #[options(no_short, help = "daemon machines, if not the deployment's")]
    pub daemons: Option<usize>,
    #[options(no_short, help = "a safety rule that the daemons lack", meta = "RULE")]
    pub without: Option<String>,
    #[options(
        no_short,
        help = "folder for settings, logs and records",
        default = "fleet-day"
    )]
    pub folder: PathBuf,
}
