//! The figures of the clients of the users' platform.

use super::{CapacityModel, DAEMONS};
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

impl CapacityModel {
    /// The figures of the clients of the platform.
    pub(crate) fn platform(&self, runs: &[Run]) -> Vec<Figure> {
        let baseline_runs: Vec<&Run> = runs.iter().filter(|run| run.is_baseline()).collect();
        let predictors = [Predictor::One, Predictor::Daemons, Predictor::Instances];
        let by_poll = |key: &'static str| {
            Fit::of(&predictors, &baseline_runs, move |run| {
                let polls = run.work("platform lists", "sent") / 2.0;
                (polls > 0.0).then(|| run.work("platform lists", key) / polls)
            })
        };
        let list_calls = Fit::of(&[Predictor::One], &baseline_runs, |run| {
            Some(run.rate("platform lists", "sent"))
        });
        let pages = (INSTANCES / PLATFORM_PAGE).ceil() + (DAEMONS / PLATFORM_PAGE).ceil();
        let paged = Fit::fixed(pages * POLLS_A_SECOND);
        let sweep = Fit::fixed(pages / PLATFORM_CALLS_BUDGET);
        let after_loss = |name: &str, machines: f64| {
            let lost_instances = machines * INSTANCES / DAEMONS;
            let calls = Fit::fixed(2.0 * lost_instances / PLATFORM_CALLS_BUDGET);
            Figure::of(name, Unit::Seconds, &calls, 1.0)
        };
        vec![
            Figure::of(
                "lists, whole",
                Unit::BytesASecond,
                &by_poll("heard_bytes"),
                POLLS_A_SECOND,
            ),
            Figure::of(
                "reading them",
                Unit::BusyASecond,
                &by_poll("wire_us"),
                POLLS_A_SECOND,
            ),
            Figure::of(
                "calls for whole lists, as it stands",
                Unit::CallsASecond,
                &list_calls,
                1.0,
            )
            .within(PLATFORM_CALLS_BUDGET),
            Figure::of(
                "calls for pages of 200, every 0.4 s",
                Unit::CallsASecond,
                &paged,
                1.0,
            )
            .within(PLATFORM_CALLS_BUDGET),
            Figure::of(
                "one sweep of all pages at 26 calls/s",
                Unit::Seconds,
                &sweep,
                1.0,
            )
            .within(1.0 / POLLS_A_SECOND),
            after_loss(
                "a rack of 20 lost: its stops and starts at 26 calls/s",
                RACK,
            ),
            after_loss(
                "a zone of 74 lost: its stops and starts at 26 calls/s",
                ZONE,
            ),
            after_loss(
                "a region of 247 lost: its stops and starts at 26 calls/s",
                REGION,
            ),
        ]
    }
}
