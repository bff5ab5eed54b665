//! What holders cost over a day of calls: runner memory, starts, and worth lost to late or refused calls.

mod costs;

use costs::{Day, Kind, Prices, Stream, spread};
use googletest::prelude::*;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const CHEAP_STARTS: Prices = Prices { gb_second: 0.96, start: 0.15, late_share: 0.5 };
const DEAR_STARTS: Prices = Prices { gb_second: 1.2, start: 0.45, late_share: 0.3 };

const LARGE: Kind = Kind {
    memory_mb: 1024,
    boot: ms(750),
    slots: 8,
    service: (ms(60), ms(90)),
    target: ms(350),
    budget: ms(2500),
    warm: true,
};
const SMALL: Kind = Kind {
    memory_mb: 192,
    boot: ms(500),
    slots: 2,
    service: (ms(55), ms(65)),
    target: ms(1000),
    budget: ms(5000),
    warm: false,
};
const LEADER: Kind = Kind {
    memory_mb: 512,
    boot: ms(1400),
    slots: 4,
    service: (ms(30), ms(45)),
    target: ms(200),
    budget: ms(4000),
    warm: true,
};
const SYNC: Kind = Kind {
    memory_mb: 192,
    boot: ms(900),
    slots: 2,
    service: (ms(55), ms(65)),
    target: ms(1200),
    budget: ms(4000),
    warm: false,
};

fn streams(kind: Kind, rates: Vec<f64>, crowd: f64) -> Vec<Stream> {
    let mut all: Vec<Stream> =
        rates.into_iter().map(|rate| Stream { kind, rate, crowd: 1.0 }).collect();
    if let Some(first) = all.first_mut() {
        first.crowd = crowd;
    }
    all
}

/// Each day's mean cost over three seeds stays under its bound, and so do refusals by runners.
#[gtest]
fn a_days_costs_stay_under_their_bounds() -> Result<()> {
    let days = [
        ("few large", CHEAP_STARTS, streams(LARGE, spread(8, 240.0, 1.1), 1.0), 400.0),
        ("few large, a crowd", CHEAP_STARTS, streams(LARGE, spread(8, 240.0, 1.1), 4.0), 760.0),
        ("many small", CHEAP_STARTS, streams(SMALL, spread(150, 60.0, 1.1), 1.0), 310.0),
        ("few desks", DEAR_STARTS, streams(LEADER, spread(6, 240.0, 0.8), 1.0), 220.0),
        ("few desks, a crowd", DEAR_STARTS, streams(LEADER, spread(6, 240.0, 0.8), 4.0), 480.0),
        ("many syncs", DEAR_STARTS, streams(SYNC, spread(60, 30.0, 1.1), 1.0), 350.0),
    ];
    let mut over_bounds = Vec::new();
    for (name, prices, streams, bound) in days {
        let mut costs = Vec::new();
        for seed in 1..=3 {
            let bill = Day::new(seed, prices, &streams).play();
            println!("{name}, seed {seed}: {bill}");
            costs.push(bill.total());
            verify_that!(bill.most_refused, le(10))?;
        }
        let mean_cost = costs.iter().sum::<f64>() / costs.len() as f64;
        println!("{name}: {mean_cost:.0} of {bound:.0}");
        if mean_cost > bound {
            over_bounds.push(format!("{name}: {mean_cost:.0} over {bound:.0}"));
        }
    }
    verify_that!(over_bounds.join("; "), eq(""))
}
