//! Converts a controller's parsed settings to JSON, for comparison with fixtures. The keys are mostly those of the
//! settings file.

use controlplane::settings::ControllerSettings;
use serde_json::{Value, json};
use std::time::Duration;

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Returns all parsed values as JSON.
pub(crate) fn to_json(settings: &ControllerSettings) -> Value {
    let addresses: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    let (consensus, leader) = (&settings.consensus_timing, &settings.leader_state_timing);
    json!({
        "file": settings.source,
        "place": settings.address.to_string(),
        "listen": settings.listen.to_string(),
        "operators": settings.operators.to_string(),
        "locality": settings.zone.as_str(),
        "seeds": addresses,
        "data": settings.data_directory.as_ref().map(|folder| folder.display().to_string()),
        "found_first": settings.bootstrap_on_first_start,
        "voters": settings.quorum_policy.voters(),
        "voters in one locality": settings.quorum_policy.zone_limit(),
        "threads": settings.threads,
        "platform": settings.platform.to_string(),
        "placing": {"spread": leader.spread_over_zones, "emptying": leader.worker_evacuation},
        "timing": {
            "list_every_ms": millis(settings.platform_poll_interval),
            "round_ms": millis(consensus.heartbeat_interval),
            "election_shortest_ms": millis(consensus.election_timeout_min),
            "election_longest_ms": millis(consensus.election_timeout_max),
            "grant_ms": millis(leader.lease_length),
            "drift_ms": millis(leader.drift_margin),
            "grant_ms and drift_ms": millis(leader.claims_wait),
            "strike_ms": millis(leader.drop_absent_after),
            "replace_ms": millis(consensus.unreachable_voter_timeout),
            "hello_ms": millis(consensus.hello_interval),
            "left_ms": millis(leader.orphan_timeout),
            "start_settle_ms": millis(leader.start_request_lag),
            "list_lag_ms": millis(leader.list_lag),
        },
    })
}
