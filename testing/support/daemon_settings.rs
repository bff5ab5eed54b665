//! What a daemon reads from its settings, by the keys that users write. Included by the tests that hold it.

use common::identity::Zone;
use dataplane::boot::DaemonBoot;
use serde_json::{Value, json};
use std::time::Duration;

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Every value that was read; regions for the zones named.
pub fn shown(boot: &DaemonBoot, zones: &[&str]) -> Value {
    let places: Vec<String> = boot.seeds.iter().map(ToString::to_string).collect();
    let region_of = |zone: &str| boot.regions.of(&Zone::from(zone)).map(ToString::to_string);
    let regions: Vec<(&str, Option<String>)> =
        zones.iter().map(|zone| (*zone, region_of(zone))).collect();
    let tuning = &boot.tuning;
    json!({
        "file": boot.source,
        "member": boot.member.as_str(),
        "locality": boot.zone.as_str(),
        "place": boot.place.to_string(),
        "listen": boot.listen.to_string(),
        "door": boot.door.to_string(),
        "seeds": places,
        "platform": boot.platform.to_string(),
        "largest_body": boot.largest_body,
        "grace_ms": millis(boot.grace),
        "threads": boot.threads,
        "ready": boot.ready.map(|place| place.to_string()),
        "beat_ms": millis(boot.beat_every),
        "link_mbps": boot.link_mbps,
        "warm": boot.warm,
        "regions": regions,
        "tries_percent": tuning.tries_percent,
        "tries_allowance": tuning.tries_allowance,
        "tries_allowance_at_once": tuning.tries_allowance_at_once,
        "idle_boots": tuning.idle_boots,
        "idle_rare_ms": tuning.idle_rare.map(millis),
        "idle_stop": tuning.idle_cost.is_some(),
        "start_mb_s": tuning.idle_cost.map(|cost| cost.start_mb_s),
        "late_mb_s": tuning.idle_cost.map(|cost| cost.late_mb_s),
        "rise_ms": millis(tuning.rise),
        "margin_percent": tuning.margin_percent,
        "fall_ms": tuning.fall.map(millis),
        "drain_every_ms": tuning.drain_every.map(millis),
    })
}
