//! What a controller reads from its settings, by the keys that users write. Included by the tests that hold it.

use controlplane::boot::ControllerBoot;
use serde_json::{Value, json};
use std::time::Duration;

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Every value that was read.
pub fn shown(boot: &ControllerBoot) -> Value {
    let places: Vec<String> = boot.seeds.iter().map(ToString::to_string).collect();
    let (core, leader) = (&boot.core_timing, &boot.leader_state_timing);
    json!({
        "file": boot.source,
        "place": boot.place.to_string(),
        "listen": boot.listen.to_string(),
        "operators": boot.operators.to_string(),
        "locality": boot.zone.as_str(),
        "seeds": places,
        "data": boot.data.as_ref().map(|folder| folder.display().to_string()),
        "found_first": boot.found_first,
        "voters": boot.quorum_shape.voters(),
        "voters in one locality": boot.quorum_shape.zone_limit(),
        "threads": boot.threads,
        "platform": boot.platform.to_string(),
        "placing": {"spread": leader.spread, "emptying": leader.emptying},
        "timing": {
            "list_every_ms": millis(boot.list_every),
            "round_ms": millis(core.round_every),
            "election_shortest_ms": millis(core.election_shortest),
            "election_longest_ms": millis(core.election_longest),
            "grant_ms": millis(leader.grant_length),
            "drift_ms": millis(leader.drift_margin),
            "grant_ms and drift_ms": millis(leader.claims_wait),
            "strike_ms": millis(leader.strike_after),
            "replace_ms": millis(core.replace_after),
            "hello_ms": millis(core.hello_every),
            "left_ms": millis(leader.left_for),
            "start_settle_ms": millis(leader.start_settle),
            "list_lag_ms": millis(leader.list_lag),
        },
    })
}
