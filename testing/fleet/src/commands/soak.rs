//! Runs soaks with many seeds. The folder of each is kept.

use super::flags::SoakOptions;
use common::rules::Rule;
use eyre::{WrapErr, eyre};
use fleet::soak::{Soak, SoakResult, run_soak};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::JoinSet;

/// Runs soaks with consecutive seeds, up to `at_once` of them concurrently, and prints their findings.
pub(crate) fn run(options: &SoakOptions) -> eyre::Result<ExitCode> {
    let own_path = std::env::current_exe().wrap_err("cannot determine the path of this program")?;
    let programs = own_path.parent().map(Path::to_owned).unwrap_or_default();
    let folder = std::path::absolute(&options.folder).wrap_err("cannot resolve --folder")?;
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
    let failed_count = runtime.block_on(async {
        let mut pending_soaks = (options.seed..options.seed + options.count).map(soak_of);
        let mut running = JoinSet::new();
        let mut failed_count = 0;
        for soak in pending_soaks.by_ref().take(options.at_once.max(1)) {
            running.spawn(run_one_soak(soak));
        }
        while let Some(joined) = running.join_next().await {
            let (soak, soak_result) = joined.wrap_err("a soak failed")?;
            failed_count += usize::from(!report_findings(&soak, &soak_result?)?);
            if let Some(next) = pending_soaks.next() {
                running.spawn(run_one_soak(next));
            }
        }
        eyre::Ok(failed_count)
    })?;
    println!("{} soaks, {failed_count} with findings", options.count);
    Ok(ExitCode::from(u8::from(failed_count > 0)))
}

async fn run_one_soak(soak: Soak) -> (Soak, eyre::Result<SoakResult>) {
    if soak.folder.join("journal.jsonl").exists() {
        let _ = std::fs::remove_dir_all(&soak.folder);
    }
    let soak_result = run_soak(&soak)
        .await
        .map_err(|error| eyre!("seed {}: {error}", soak.seed));
    (soak, soak_result)
}

/// Prints the result of a soak and writes it to its folder. Returns whether there are no findings.
fn report_findings(soak: &Soak, soak_result: &SoakResult) -> eyre::Result<bool> {
    let findings = soak_result.findings();
    let summary = soak_result
        .verdict
        .statistics
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned();
    println!(
        "seed {}: {} faults, {} findings; {summary}",
        soak.seed,
        soak_result.planned_faults.len(),
        findings.len()
    );
    findings
        .iter()
        .take(10)
        .for_each(|finding| println!("    {finding}"));
    std::fs::write(soak.folder.join("verdict.txt"), soak_result.to_string())
        .wrap_err("cannot write the verdict")?;
    Ok(findings.is_empty())
}
