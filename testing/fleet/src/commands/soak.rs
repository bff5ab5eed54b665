//! Soaks over many seeds; the folders of those with findings are kept.

use super::flags::SoakOptions;
use common::rules::Rule;
use eyre::{WrapErr, eyre};
use fleet::soak::{Soak, SoakResult, run_soak};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

/// Runs soaks with consecutive seeds, some of them concurrently, and prints their findings.
pub(crate) fn run(options: &SoakOptions) -> eyre::Result<ExitCode> {
    let own_path = std::env::current_exe().wrap_err("own path")?;
    let programs = own_path.parent().map(Path::to_owned).unwrap_or_default();
    let folder = std::path::absolute(&options.folder).wrap_err("folder")?;
    let disabled_rule = match &options.without {
        Some(name) => Some(Rule::by_name(name).ok_or_else(|| eyre!("no such rule: {name:?}"))?),
        None => None,
    };
    let soak_of = |seed: u64| Soak {
        seed,
        duration: Duration::from_secs(options.lasts),
        lanes: options.lanes,
        folder: folder.join(format!("seed-{seed}")),
        programs: programs.clone(),
        disabled_rule,
        daemons: options.daemons,
    };
    let runtime = common::command_line::runtime(4)?;
    let found_count = runtime.block_on(async {
        let mut pending_soaks = (options.seed..options.seed + options.count).map(soak_of);
        let mut running = JoinSet::new();
        let mut found_count = 0;
        for soak in pending_soaks.by_ref().take(options.at_once.max(1)) {
            running.spawn(run_one_soak(soak));
        }
        while let Some(joined) = running.join_next().await {
            let (soak, end) = joined.wrap_err("a soak")?;
            found_count += usize::from(!report(&soak, &end?)?);
            if let Some(next) = pending_soaks.next() {
                running.spawn(run_one_soak(next));
            }
        }
        eyre::Ok(found_count)
    })?;
    println!("{} soaks, {found_count} with findings", options.count);
    Ok(ExitCode::from(u8::from(found_count > 0)))
}

async fn run_one_soak(soak: Soak) -> (Soak, eyre::Result<SoakResult>) {
    if soak.folder.join("journal.jsonl").exists() {
        let _ = std::fs::remove_dir_all(&soak.folder);
    }
    let end = run_soak(&soak)
        .await
        .map_err(|error| eyre!("seed {}: {error}", soak.seed));
    (soak, end)
}

/// Prints the result of a soak; returns whether there are no findings.
fn report(soak: &Soak, end: &SoakResult) -> eyre::Result<bool> {
    let findings = end.findings();
    let answered = end
        .verdict
        .statistics
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned();
    println!(
        "seed {}: {} troubles, {} findings; {answered}",
        soak.seed,
        end.planned_faults.len(),
        findings.len()
    );
    findings
        .iter()
        .take(10)
        .for_each(|finding| println!("    {finding}"));
    std::fs::write(soak.folder.join("verdict.txt"), end.to_string()).wrap_err("verdict")?;
    Ok(findings.is_empty())
}
