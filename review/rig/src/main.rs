//! The stand-ins of the review: `rig SCENARIO FOLDER`. Exits with 1 if a rule was broken, 0 if it held, and 2 if the
//! case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod fleet;
mod http;
mod platform;
mod record;
mod scenarios;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a scenario found: nothing, broken rules, or that it could not run.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = arguments.as_slice() else {
        eprintln!("rig SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let root = std::env::current_dir().expect("the project's root");
    let record = record::Record::new(&Path::new(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary: PathBuf = std::env::temp_dir().join(format!("rig-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    fleet::end_after(std::time::Duration::from_secs(112));
    let verdict = scenarios::run(scenario, record.clone(), &root, &temporary, has_trouble);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        eprintln!("kept {}", temporary.display());
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(breaks) => (1, format!("broken: {}", breaks.join("; "))),
        Verdict::CannotRun(reason) => (2, format!("cannot run: {reason}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
