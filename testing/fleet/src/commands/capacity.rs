//! Measures synthetic fleets, and renders the capacity page from their records.

use super::flags::{Capacity, Synthetic};
use fleet::synthetic::page::{PageError, draw_plots, read_runs, render_page};
use fleet::synthetic::{RecordError, SyntheticFleet, SyntheticSize};
use std::process::ExitCode;
use std::time::Duration;

/// Renders the page's tables and plots.
pub(crate) fn update_page(capacity: &Capacity) -> Result<ExitCode, PageError> {
    let runs = read_runs(&capacity.from.join("runs"))?;
    let rendered_page = render_page(&capacity.page, &runs)?;
    std::fs::write(&capacity.page, rendered_page)
        .map_err(|error| RecordError::File(capacity.page.clone(), error))?;
    println!("{}", capacity.page.display());
    for plot_path in draw_plots(&capacity.from, &runs)? {
        println!("{}", plot_path.display());
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a synthetic fleet, prints its record and writes it to a file.
pub(crate) fn measure(synthetic: &Synthetic) -> Result<ExitCode, RecordError> {
    let size = SyntheticSize {
        daemons: synthetic.daemons,
        functions: synthetic.functions,
        held: synthetic.held.unwrap_or(synthetic.functions),
        runners: synthetic.runners,
        changes: synthetic.changes,
        seed: synthetic.seed,
        calls: synthetic.calls,
        measured: Duration::from_secs(synthetic.seconds),
        real_time_limit: Duration::from_secs(synthetic.patience),
    };
    let fleet = match size.checked().and_then(SyntheticFleet::new) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("fleet: {error}");
            return Ok(ExitCode::from(2));
        }
    };
    let record = fleet.run();
    print!("{record}");
    if let Some(folder) = &synthetic.folder {
        println!("{}", record.write(folder)?.display());
    }
    Ok(if record.stopped.is_none() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
