//! Synthetic fleets, measured, and the capacity page made from their records.

use super::flags::{Capacity, Synthetic};
use fleet::synthetic::page::{PageFault, draw_plots, read_runs, renew};
use fleet::synthetic::{Fleet, RecordFault, SyntheticSize};
use std::process::ExitCode;
use std::time::Duration;

/// Makes the page's tables and plots anew.
pub fn renew_page(capacity: &Capacity) -> Result<ExitCode, PageFault> {
    let runs = read_runs(&capacity.from.join("runs"))?;
    let renewed_page = renew(&capacity.page, &runs)?;
    std::fs::write(&capacity.page, renewed_page)
        .map_err(|fault| RecordFault::File(capacity.page.clone(), fault))?;
    println!("{}", capacity.page.display());
    for plot_path in draw_plots(&capacity.from, &runs)? {
        println!("{}", plot_path.display());
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a synthetic fleet, prints what it came to, and keeps it.
pub fn measure(synthetic: &Synthetic) -> Result<ExitCode, RecordFault> {
    let size = SyntheticSize {
        daemons: synthetic.daemons,
        functions: synthetic.functions,
        held: synthetic.held.unwrap_or(synthetic.functions),
        runners: synthetic.runners,
        changes: synthetic.changes,
        seed: synthetic.seed,
        calls: synthetic.calls,
        measured: Duration::from_secs(synthetic.seconds),
        patience: Duration::from_secs(synthetic.patience),
    };
    let fleet = match size.checked().and_then(Fleet::new) {
        Ok(fleet) => fleet,
        Err(fault) => {
            eprintln!("fleet: {fault}");
            return Ok(ExitCode::from(2));
        }
    };
    let record = fleet.run();
    print!("{record}");
    if let Some(folder) = &synthetic.folder {
        println!("{}", record.write(folder)?.display());
    }
    Ok(if record.stopped.is_none() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
