//! The tables of the page.

use super::capacity_model::{CapacityModel, following_figures, holder_figures, platform_figures};
use super::figure::{Figure, format_figure};
use super::fit::Predictor;
use super::runs::ChangeTimes;
use super::{PageError, Run};
use crate::synthetic::record::RecordError;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Computes the tables from the runs, by name.
pub fn tables(runs: &[Run]) -> BTreeMap<&'static str, String> {
    let capacity_model = CapacityModel::fit(runs);
    let roles = [
        ("door", capacity_model.ingress(runs)),
        ("holder", holder_figures(runs)),
        ("following", following_figures(runs)),
        ("leading", capacity_model.leading(runs)),
        ("platform", platform_figures(runs)),
    ];
    let over_budget_table = over_budget_table(&roles);
    let mut tables: BTreeMap<&'static str, String> = roles
        .into_iter()
        .map(|(name, figures)| (name, role_table(&figures)))
        .collect();
    tables.insert("misses", over_budget_table);
    tables.insert("runs", runs_table(runs));
    tables.insert("crossed", crossed_table(&capacity_model, runs));
    tables
}

fn role_table(figures: &[Figure]) -> String {
    let mut table = String::from(
        "| figure | intercept + slope × size | at the size | over the seeds | budget | ratio |\n|---|---|---|---|---|---|\n",
    );
    for figure in figures {
        let _ = writeln!(table, "{}", figure.to_markdown_row());
    }
    table
}

/// Returns the table of the figures that exceed their budgets, the worst first.
fn over_budget_table(roles: &[(&'static str, Vec<Figure>)]) -> String {
    let mut over_budget: Vec<(f64, &str, &Figure)> = roles
        .iter()
        .flat_map(|(role, figures)| figures.iter().map(move |figure| (*role, figure)))
        .filter_map(|(role, figure)| Some((figure.ratio()?, role, figure)))
        .filter(|(ratio, _, _)| *ratio > 1.0)
        .collect();
    over_budget.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut table = String::from(
        "| role | figure | at the size | budget | misses by |\n|---|---|---|---|---|\n",
    );
    for (ratio, role, figure) in over_budget {
        let name = figure.name.replace('*', "");
        let budget = figure.budget.map(format_figure).unwrap_or_default();
        let _ = writeln!(
            table,
            "| {role} | {name} | {} {unit} | {budget} {unit} | **{} ×** |",
            format_figure(figure.at_target()),
            format_figure(ratio),
            unit = figure.unit,
        );
    }
    table
}

/// The runs of one fleet size, with different seeds.
struct RunsOfSize<'a> {
    runs: Vec<&'a Run>,
}

impl RunsOfSize<'_> {
    fn mean(&self, read: impl Fn(&Run) -> f64) -> f64 {
        self.runs.iter().map(|run| read(run)).sum::<f64>() / self.runs.len().max(1) as f64
    }

    /// Formats the share of calls that were answered.
    fn answered_share(&self) -> String {
        let called = self.mean(|run| run.number("called"));
        if called > 0.0 {
            let answered = self.mean(|run| run.number("answered"));
            format!("{:.1} %", answered / called * 100.0)
        } else {
            "–".to_owned()
        }
    }

    /// Formats the parts of the time of a change, or the reason why a run was stopped early.
    fn change_times(&self) -> String {
        if let Some(reason) = self.runs.iter().find_map(|run| run.stopped()) {
            return format!("stopped: {reason}");
        }
        let part = |part_of: fn(&ChangeTimes) -> f64| {
            let read = |run: &Run| run.change_times().map_or(0.0, |times| part_of(&times));
            format_figure(self.mean(read))
        };
        format!(
            "{}, {}, {} ms",
            part(|times| times.network_ms),
            part(|times| times.leader_ms),
            part(|times| times.install_ms),
        )
    }
}

const RUNS_TABLE_HEAD: &str = "| daemons | functions | held | runners each | calls/s each | seeds | real time | memory | seen alive | answered | grants ended | change: network, leader, install |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// Returns the table of the runs by size, with means over the seeds.
fn runs_table(runs: &[Run]) -> String {
    let keys = ["daemons", "functions", "held_wanted", "runners", "calls"];
    let mut sizes: BTreeMap<[u64; 5], RunsOfSize<'_>> = BTreeMap::new();
    for run in runs {
        let key = keys.map(|key| run.number(key) as u64);
        sizes
            .entry(key)
            .or_insert(RunsOfSize { runs: Vec::new() })
            .runs
            .push(run);
    }
    let mut table = RUNS_TABLE_HEAD.to_owned();
    for ([daemons, functions, held, runners, calls], size) in sizes {
        let _ = writeln!(
            table,
            "| {daemons} | {functions} | {held} | {runners} | {calls} | {} | {:.0} s | {:.0} MB | {:.1} | {} | {:.0} | {} |",
            size.runs.len(),
            size.mean(|run| run.number("took_s")),
            size.mean(|run| run.number("heap_bytes")) / 1e6,
            size.mean(|run| run.number("alive_seen")),
            size.answered_share(),
            size.mean(|run| run.number("grants_ended")),
            size.change_times(),
        );
    }
    table
}

/// Returns the table that compares the models with runs of crossed sizes, to which they were not fitted.
fn crossed_table(capacity_model: &CapacityModel, runs: &[Run]) -> String {
    let mut table = String::from(
        "| fleet | figure | by the slopes | measured | measured ÷ slopes |\n|---|---|---|---|---|\n",
    );
    for run in runs.iter().filter(|run| run.is_crossed()) {
        let value_of = |predictor: Predictor| predictor.value_in(run);
        let in_force = run.change_times().map_or(0.0, |times| times.total_ms());
        let rows = [
            (
                "heartbeat bytes at a daemon, B/s",
                capacity_model.heartbeat_bytes.model.at(value_of),
                run.heartbeat_bytes(),
            ),
            (
                "the leader's processor time, µs/s",
                capacity_model.leader_processor_time(&value_of),
                run.leader_processor_time(),
            ),
            (
                "a change in force, ms",
                capacity_model.change_in_force_ms(&value_of),
                in_force,
            ),
        ];
        for (name, predicted, measured) in rows {
            let _ = writeln!(
                table,
                "| {} daemons, {} functions, {} held | {name} | {} | {} | {:.2} |",
                run.daemons(),
                run.number("functions"),
                run.number("held"),
                format_figure(predicted),
                format_figure(measured),
                measured / predicted,
            );
        }
    }
    table
}

/// Returns the markers before and after a table in the page.
fn markers(name: &str) -> (String, String) {
    (
        format!("<!-- made: {name} -->"),
        format!("<!-- end: {name} -->"),
    )
}

/// Renders the page, with the content between the markers of each table replaced.
pub fn render_page(page_path: &Path, runs: &[Run]) -> Result<String, PageError> {
    let mut page = std::fs::read_to_string(page_path)
        .map_err(|error| RecordError::File(page_path.to_owned(), error))?;
    for (name, table) in tables(runs) {
        let (start_marker, end_marker) = markers(name);
        let missing_marker =
            |marker: &str| PageError::MissingMarker(page_path.to_owned(), marker.to_owned());
        let from = page
            .find(&start_marker)
            .ok_or_else(|| missing_marker(&start_marker))?
            + start_marker.len();
        let length = page[from..]
            .find(&end_marker)
            .ok_or_else(|| missing_marker(&end_marker))?;
        page.replace_range(from..from + length, &format!("\n{table}"));
    }
    Ok(page)
}
