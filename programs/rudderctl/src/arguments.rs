//! The commands of `rudderctl`, their flags, and the examples in the help.
//!
//! Names of fields and variants are command-line arguments, and the help prints doc comments on types that derive
//! [`Options`]: tests compare both with fixtures.

use crate::change::{ChangeBase, ChangeKind, ChangeOptions, SpecChange, ZoneAction, ZoneChange};
use crate::output::OutputFormat;
use common::command_line::Example;
use gumdrop::Options;
use std::path::PathBuf;

/// The examples that the help shows after the flags.
pub(crate) const EXAMPLES: &[Example] = &[
    Example {
        command: None,
        line: "rudderctl --at 10.0.0.1:7111,10.0.0.2:7111 members --output table",
    },
    Example {
        command: None,
        line: "rudderctl spec > spec.json",
    },
    Example {
        command: Some("found"),
        line: "rudderctl found",
    },
    Example {
        command: Some("spec"),
        line: "rudderctl spec > spec.json",
    },
    Example {
        command: Some("core"),
        line: "rudderctl core --output table",
    },
    Example {
        command: Some("replace"),
        line: "rudderctl replace 5f3a91c2 77b0e41d",
    },
    Example {
        command: Some("put"),
        line: "rudderctl put spec.json --wait",
    },
    Example {
        command: Some("put"),
        line: "rudderctl put spec.json --number 42 --base-number 41",
    },
    Example {
        command: Some("patch"),
        line: "rudderctl patch patch.json --base 17 --wait",
    },
    Example {
        command: Some("items"),
        line: "rudderctl items items.json --change-id release-42",
    },
    Example {
        command: Some("change"),
        line: "rudderctl change release-42",
    },
    Example {
        command: Some("evacuate"),
        line: "rudderctl evacuate north --wait",
    },
    Example {
        command: Some("restore"),
        line: "rudderctl restore north",
    },
    Example {
        command: Some("members"),
        line: "rudderctl members --output table",
    },
    Example {
        command: Some("holders"),
        line: "rudderctl holders --output table",
    },
    Example {
        command: Some("workers"),
        line: "rudderctl workers --output table",
    },
    Example {
        command: Some("runners"),
        line: "rudderctl runners --output table",
    },
    Example {
        command: Some("events"),
        line: "rudderctl events --from 120 --follow",
    },
    Example {
        command: Some("trace"),
        line: "rudderctl trace 17 --follow --output json",
    },
];

/// Drives rudderstream over the operators' API.
///
/// Exit codes: 0 done; 1 it could not start; 2 wrong flags, places or files; 3 refused, or not known;
/// 4 no controller answered, there is no quorum, or the answer was lost: a change's outcome is unknown.
#[derive(Options)]
pub(crate) struct Flags {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    #[options(
        help = "operators' places of controllers, with commas; the first that answers is used",
        default = "127.0.0.1:7111",
        meta = "PLACES"
    )]
    pub(crate) at: String,
    #[options(
        help = "how answers are printed: json, or table for lists; each command has its own default",
        meta = "FORMAT"
    )]
    pub(crate) output: Option<OutputFormat>,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Options)]
pub(crate) enum Command {
    #[options(help = "found the core on three empty controllers, once")]
    Found(NoArguments),
    #[options(help = "show the core as one controller sees it")]
    Core(ListCommand),
    #[options(help = "have another controller take a core member's place at once")]
    Replace(Replace),
    #[options(help = "read the spec with its serial")]
    Spec(NoArguments),
    #[options(help = "send a whole spec from a file")]
    Put(Change),
    #[options(help = "send a JSON merge patch from a file")]
    Patch(Change),
    #[options(help = "put and remove named functions and routes, from a file with put and remove")]
    Items(Change),
    #[options(help = "ask what became of a change")]
    Change(ChangeQuery),
    #[options(help = "empty a locality")]
    Evacuate(ZoneCommand),
    #[options(help = "bring a locality back")]
    Restore(ZoneCommand),
    #[options(help = "list the daemons")]
    Members(ListCommand),
    #[options(help = "list the functions held, and by whom")]
    Holders(ListCommand),
    #[options(help = "list the workers")]
    Workers(ListCommand),
    #[options(help = "list the runners")]
    Runners(ListCommand),
    #[options(help = "print events, a line of JSON each")]
    Events(Events),
    #[options(help = "trace one version of the spec from its acceptance to every daemon")]
    Trace(Trace),
}

#[derive(Options)]
pub(crate) struct NoArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
}

#[derive(Options)]
pub(crate) struct ListCommand {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "how it is printed: json or table", meta = "FORMAT")]
    pub(crate) output: Option<OutputFormat>,
}

#[derive(Options)]
pub(crate) struct Replace {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the member's identity, from `rudderctl core`")]
    pub(crate) missing: String,
    #[options(free, required, help = "the identity of the one to take its place")]
    pub(crate) successor: String,
}

#[derive(Options)]
pub(crate) struct ChangeQuery {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the change's id")]
    pub(crate) id: String,
}

#[derive(Options)]
pub(crate) struct Change {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "file with the JSON")]
    pub(crate) file: PathBuf,
    #[options(
        help = "serial it is built on; read beforehand if not given",
        meta = "SERIAL"
    )]
    pub(crate) base: Option<u64>,
    #[options(no_short, help = "your own number for it", meta = "NUMBER")]
    pub(crate) number: Option<u64>,
    #[options(
        no_short,
        help = "your own number of the spec it is built on",
        meta = "NUMBER"
    )]
    pub(crate) base_number: Option<u64>,
    #[options(no_short, help = "the change's id; made up if not given", meta = "ID")]
    pub(crate) change_id: Option<String>,
    #[options(help = "wait until it is in force everywhere")]
    pub(crate) wait: bool,
}

impl Change {
    /// Returns the change that the flags describe.
    pub(crate) fn to_spec_change(&self, kind: ChangeKind) -> SpecChange<'_> {
        SpecChange {
            kind,
            file: &self.file,
            base: ChangeBase {
                version: self.base,
                number: self.number,
                base_number: self.base_number,
            },
            options: ChangeOptions {
                change_id: self.change_id.clone(),
                wait: self.wait,
            },
        }
    }
}

#[derive(Options)]
pub(crate) struct ZoneCommand {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "the locality")]
    pub(crate) zone: String,
    #[options(no_short, help = "the change's id; made up if not given", meta = "ID")]
    pub(crate) change_id: Option<String>,
    #[options(help = "wait until it is in force everywhere")]
    pub(crate) wait: bool,
    #[options(help = "even if no locality is left")]
    pub(crate) force: bool,
}

impl ZoneCommand {
    /// Returns the change that the flags describe.
    pub(crate) fn into_zone_change(self, action: ZoneAction) -> ZoneChange {
        ZoneChange {
            action,
            zone: self.zone,
            force: self.force,
            options: ChangeOptions {
                change_id: self.change_id,
                wait: self.wait,
            },
        }
    }
}

#[derive(Options)]
pub(crate) struct Events {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        help = "the first number wanted; 0 for all that are kept",
        default = "0"
    )]
    pub(crate) from: u64,
    #[options(help = "go on as events happen, over changes of leader")]
    pub(crate) follow: bool,
}

#[derive(Options)]
pub(crate) struct Trace {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print JSON instead of a table, as --output json does")]
    pub(crate) json: bool,
    #[options(help = "how it is printed: json or table", meta = "FORMAT")]
    pub(crate) output: Option<OutputFormat>,
    #[options(help = "ask again until the version is in force")]
    pub(crate) follow: bool,
    #[options(no_short, help = "how long to follow, in seconds", default = "30")]
    pub(crate) patience: u64,
    #[options(free, help = "the serial; the newest if not given")]
    pub(crate) serial: Option<u64>,
}
