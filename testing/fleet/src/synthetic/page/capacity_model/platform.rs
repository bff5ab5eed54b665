//! The figures of the clients of the users' platform.

use super::{DAEMONS, baseline_runs};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

/// The number of runners at the target size, as in [`Predictor::target`].
const INSTANCES: f64 = 40_000.0;
/// The budget for calls to the platform, per second.
const PLATFORM_CALLS_BUDGET: f64 = 26.0;
/// The largest number of rows in a page of a list.
const ROWS_PER_PAGE: f64 = 200.0;
/// The numbers of machines in a rack, in a zone and in a region.
const MACHINES_PER_RACK: f64 = 20.0;
const MACHINES_PER_ZONE: f64 = 74.0;
const MACHINES_PER_REGION: f64 = 247.0;
/// The leader polls the lists every 0.4 s.
const POLLS_PER_SECOND: f64 = 2.5;

/// Returns the figures of the clients of the platform.
pub(crate) fn platform_figures(runs: &[Run]) -> Vec<Figure> {
    let mut figures = complete_lists(&baseline_runs(runs));
    figures.extend(paged_lists());
    figures.extend([
        restarts_after_loss(
            "a rack of 20 lost: its stops and starts at 26 calls/s",
            MACHINES_PER_RACK,
        ),
        restarts_after_loss(
            "a zone of 74 lost: its stops and starts at 26 calls/s",
            MACHINES_PER_ZONE,
        ),
        restarts_after_loss(
            "a region of 247 lost: its stops and starts at 26 calls/s",
            MACHINES_PER_REGION,
        ),
    ]);
    figures
}

/// Returns the cost of the complete lists of workers and runners that the leader polls.
fn complete_lists(baseline_runs: &[&Run]) -> Vec<Figure> {
    let predictors = [Predictor::One, Predictor::Daemons, Predictor::Instances];
    let fit_per_poll = |key: &'static str| {
        Fit::new(&predictors, baseline_runs, move |run| {
            let polls = run.work("platform lists", "sent") / 2.0;
            (polls > 0.0).then(|| run.work("platform lists", key) / polls)
        })
    };
    let bytes = fit_per_poll("heard_bytes");
    let reading = fit_per_poll("wire_us");
    let list_calls = Fit::new(&[Predictor::One], baseline_runs, |run| {
        Some(run.rate("platform lists", "sent"))
    });
    vec![
        Figure::new(
            "lists, whole",
            Unit::BytesPerSecond,
            &bytes,
            POLLS_PER_SECOND,
        ),
        Figure::new(
            "reading them",
            Unit::MicrosPerSecond,
            &reading,
            POLLS_PER_SECOND,
        ),
        Figure::new(
            "calls for whole lists, as it stands",
            Unit::CallsPerSecond,
            &list_calls,
            1.0,
        )
        .with_budget(PLATFORM_CALLS_BUDGET),
    ]
}

/// Returns the calls and the time that the same lists would need in pages, which are calculated, not measured.
fn paged_lists() -> Vec<Figure> {
    let pages = (INSTANCES / ROWS_PER_PAGE).ceil() + (DAEMONS / ROWS_PER_PAGE).ceil();
    vec![
        Figure::new(
            "calls for pages of 200, every 0.4 s",
            Unit::CallsPerSecond,
            &Fit::fixed(pages * POLLS_PER_SECOND),
            1.0,
        )
        .with_budget(PLATFORM_CALLS_BUDGET),
        Figure::new(
            "one sweep of all pages at 26 calls/s",
            Unit::Seconds,
            &Fit::fixed(pages / PLATFORM_CALLS_BUDGET),
            1.0,
        )
        .with_budget(1.0 / POLLS_PER_SECOND),
    ]
}

/// Returns how long the platform's calls after a loss of machines take: a stop and a start of each instance.
fn restarts_after_loss(name: &str, machines: f64) -> Figure {
    let lost_instances = machines * INSTANCES / DAEMONS;
    let calls = Fit::fixed(2.0 * lost_instances / PLATFORM_CALLS_BUDGET);
    Figure::new(name, Unit::Seconds, &calls, 1.0)
}
