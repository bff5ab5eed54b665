//! Tests the costs of holders over a simulated day of calls: runner memory, starts, and value lost to late or unserved
//! calls.

mod costs;
#[path = "support/held_function.rs"]
mod held_function;
#[path = "support/lease.rs"]
mod lease;

use costs::{CallStream, DaySimulation, FunctionProfile, Prices, power_law_rates};
use googletest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const LOW_START_COST: Prices = Prices {
    gb_second: 0.96,
    start: 0.15,
    late_value_fraction: 0.5,
};
const HIGH_START_COST: Prices = Prices {
    gb_second: 1.2,
    start: 0.45,
    late_value_fraction: 0.3,
};

const LARGE: FunctionProfile = FunctionProfile {
    memory_mb: 1024,
    startup: ms(750),
    slots: 8,
    service: (ms(60), ms(90)),
    target: ms(350),
    timeout: ms(2500),
    is_prewarmed: true,
};
const SMALL: FunctionProfile = FunctionProfile {
    memory_mb: 192,
    startup: ms(500),
    slots: 2,
    service: (ms(55), ms(65)),
    target: ms(1000),
    timeout: ms(5000),
    is_prewarmed: false,
};
const INTERACTIVE: FunctionProfile = FunctionProfile {
    memory_mb: 512,
    startup: ms(1400),
    slots: 4,
    service: (ms(30), ms(45)),
    target: ms(200),
    timeout: ms(4000),
    is_prewarmed: true,
};
const SYNC: FunctionProfile = FunctionProfile {
    memory_mb: 192,
    startup: ms(900),
    slots: 2,
    service: (ms(55), ms(65)),
    target: ms(1200),
    timeout: ms(4000),
    is_prewarmed: false,
};

fn streams(profile: FunctionProfile, rates: Vec<f64>, peak_factor: f64) -> Vec<CallStream> {
    let mut all: Vec<CallStream> = rates
        .into_iter()
        .map(|rate| CallStream {
            profile,
            rate,
            peak_factor: 1.0,
        })
        .collect();
    if let Some(first) = all.first_mut() {
        first.peak_factor = peak_factor;
    }
    all
}

/// A day of calls and the upper bound of its mean cost.
struct BoundedDay {
    name: &'static str,
    prices: Prices,
    streams: Vec<CallStream>,
    cost_bound: f64,
}

fn bounded_days() -> [BoundedDay; 6] {
    let day = |name, prices, streams, cost_bound| BoundedDay {
        name,
        prices,
        streams,
        cost_bound,
    };
    let large = |peak_factor| streams(LARGE, power_law_rates(8, 240.0, 1.1), peak_factor);
    let small = streams(SMALL, power_law_rates(150, 60.0, 1.1), 1.0);
    let interactive =
        |peak_factor| streams(INTERACTIVE, power_law_rates(6, 240.0, 0.8), peak_factor);
    let sync = streams(SYNC, power_law_rates(60, 30.0, 1.1), 1.0);
    [
        day("few large", LOW_START_COST, large(1.0), 400.0),
        day("few large, with a peak", LOW_START_COST, large(4.0), 760.0),
        day("many small", LOW_START_COST, small, 310.0),
        day("few interactive", HIGH_START_COST, interactive(1.0), 220.0),
        day(
            "few interactive, with a peak",
            HIGH_START_COST,
            interactive(4.0),
            480.0,
        ),
        day("many syncs", HIGH_START_COST, sync, 350.0),
    ]
}

/// Checks that the mean cost of each day over three seeds and the rejections by runners stay within their bounds.
#[gtest]
fn daily_costs_stay_within_bounds() -> Result<()> {
    let mut over_bounds = Vec::new();
    for day in bounded_days() {
        let (name, cost_bound) = (day.name, day.cost_bound);
        let mut costs = Vec::new();
        for seed in 1..=3 {
            let costs_report = DaySimulation::new(seed, day.prices, &day.streams).run();
            println!("{name}, seed {seed}: {costs_report}");
            costs.push(costs_report.total());
            verify_that!(costs_report.max_rejections, le(10))?;
        }
        let mean_cost = costs.iter().sum::<f64>() / costs.len() as f64;
        println!("{name}: {mean_cost:.0} of {cost_bound:.0}");
        if mean_cost > cost_bound {
            over_bounds.push(format!("{name}: {mean_cost:.0} over {cost_bound:.0}"));
        }
    }
    verify_that!(over_bounds.join("; "), eq(""))
}
