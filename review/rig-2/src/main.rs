//! The scripts of the cases in `review/6` to `review/10`: `review-rig-2 CASE FOLDER`, called by a case's `run.sh` from the
//! project's root. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod callers;
mod cases;
mod fleet;
mod http;
mod platform;
mod record;

use cases::Verdict;
use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-rig-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = cases::run(case, is_troubled, &record).unwrap_or_else(|reason| Verdict::NotRun(reason.to_string()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(text) => (format!("the rule was broken: {text}"), 1),
        Verdict::NotRun(text) => (format!("the case could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
