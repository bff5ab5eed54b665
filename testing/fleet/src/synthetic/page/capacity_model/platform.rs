//! The figures of the clients of the users' platform.

use super::{DAEMONS, baseline_runs};
use crate::synthetic::page::Run;
use crate::synthetic::page::figure::{Figure, Unit};
use crate::synthetic::page::fit::{Fit, Predictor};

const INSTANCES: f64 = 40_000.0;
const PLATFORM_CALLS_BUDGET: f64 = 26.0;
const PLATFORM_PAGE: f64 = 200.0;
/// The number of machines in a rack, in a zone and in a region.
const RACK: f64 = 20.0;
const ZONE: f64 = 74.0;
const REGION: f64 = 247.0;
const POLLS_A_SECOND: f64 = 2.5;

/// The figures of the clients of the platform.
pub(crate) fn platform_figures(runs: &[Run]) -> Vec<Figure> {
    let mut figures = whole_lists(&baseline_runs(runs));
    figures.extend(paged_lists());
    figures.extend([
        restarts_after_loss(
            "a rack of 20 lost: its stops and starts at 26 calls/s",
            RACK,
        ),
        restarts_after_loss(
            "a zone of 74 lost: its stops and starts at 26 calls/s",
            ZONE,
        ),
        restarts_after_loss(
            "a region of 247 lost: its stops and starts at 26 calls/s",
            REGION,
        ),
    ]);
    figures
}

/// The cost of the complete lists of workers and runners that the leader polls.
fn whole_lists(baseline_runs: &[&Run]) -> Vec<Figure> {
    let predictors = [Predictor::One, Predictor::Daemons, Predictor::Instances];
    let fit_per_poll = |key: &'static str| {
        Fit::of(&predictors, baseline_runs, move |run| {
            let polls = run.work("platform lists", "sent") / 2.0;
            (polls > 0.0).then(|| run.work("platform lists", key) / polls)
        })
    };
    let bytes = fit_per_poll("heard_bytes");
    let reading = fit_per_poll("wire_us");
    let list_calls = Fit::of(&[Predictor::One], baseline_runs, |run| {
        Some(run.rate("platform lists", "sent"))
    });
    vec![
        Figure::of("lists, whole", Unit::BytesASecond, &bytes, POLLS_A_SECOND),
        Figure::of("reading them", Unit::BusyASecond, &reading, POLLS_A_SECOND),
        Figure::of(
            "calls for whole lists, as it stands",
            Unit::CallsASecond,
            &list_calls,
            1.0,
        )
        .within(PLATFORM_CALLS_BUDGET),
    ]
}

/// The calls and the time that the same lists would need in pages; worked out, not measured.
fn paged_lists() -> Vec<Figure> {
    let pages = (INSTANCES / PLATFORM_PAGE).ceil() + (DAEMONS / PLATFORM_PAGE).ceil();
    vec![
        Figure::of(
            "calls for pages of 200, every 0.4 s",
            Unit::CallsASecond,
            &Fit::fixed(pages * POLLS_A_SECOND),
            1.0,
        )
        .within(PLATFORM_CALLS_BUDGET),
        Figure::of(
            "one sweep of all pages at 26 calls/s",
            Unit::Seconds,
            &Fit::fixed(pages / PLATFORM_CALLS_BUDGET),
            1.0,
        )
        .within(1.0 / POLLS_A_SECOND),
    ]
}

/// How long the platform's calls for a loss of machines take: a stop and a start of each instance.
fn restarts_after_loss(name: &str, machines: f64) -> Figure {
    let lost_instances = machines * INSTANCES / DAEMONS;
    let calls = Fit::fixed(2.0 * lost_instances / PLATFORM_CALLS_BUDGET);
    Figure::of(name, Unit::Seconds, &calls, 1.0)
}
