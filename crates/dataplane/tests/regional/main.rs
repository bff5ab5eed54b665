//! Regional keys: a region whose callers keep a runner busy on their own is served under its own key, and falls back to
//! the holder for all regions if that key cannot be served.

#[path = "../support/daemon_control.rs"]
mod daemon_control;
#[path = "../support/held_function.rs"]
mod held_function;
mod holder;
#[path = "../support/holder_bench.rs"]
mod holder_bench;
#[path = "../support/host.rs"]
mod host;
mod ingress;
#[path = "../support/lease.rs"]
mod lease;

use common::identity::Region;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn west() -> Region {
    Region::from("west")
}
