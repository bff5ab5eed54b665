//! Regional keys: a region whose callers keep a runner of their own busy is served under a key of its own, and falls back
//! to the holder for all regions if that cannot serve.

#[path = "../support/held_function.rs"]
mod held_function;
mod holder;
#[path = "../support/holder_bench.rs"]
mod holder_bench;
mod ingress;

use common::clock::MonotonicTime;
use common::identity::Region;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(10_000_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn west() -> Region {
    Region::from("west")
}
