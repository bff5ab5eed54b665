//! Converts a daemon's parsed settings to JSON, for comparison with fixtures. The keys are mostly those of the settings
//! file.

use common::identity::Zone;
use dataplane::settings::DaemonSettings;
use serde_json::{Value, json};
use std::time::Duration;

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Returns all parsed values as JSON, with the regions of the given zones.
pub(crate) fn to_json(settings: &DaemonSettings, zones: &[&str]) -> Value {
    let addresses: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    let region_of = |zone: &str| {
        settings
            .regions
            .region_of(&Zone::from(zone))
            .map(ToString::to_string)
    };
    let regions: Vec<(&str, Option<String>)> =
        zones.iter().map(|zone| (*zone, region_of(zone))).collect();
    let tuning = &settings.tuning;
    json!({
        "file": settings.source,
        "member": settings.member.as_str(),
        "locality": settings.zone.as_str(),
        "place": settings.address.to_string(),
        "listen": settings.listen.to_string(),
        "door": settings.ingress.to_string(),
        "seeds": addresses,
        "platform": settings.platform.to_string(),
        "largest_body": settings.max_body_bytes,
        "grace_ms": millis(settings.grace),
        "threads": settings.threads,
        "ready": settings.ready.map(|address| address.to_string()),
        "beat_ms": millis(settings.heartbeat_interval),
        "link_mbps": settings.link_mbps,
        "warm": settings.warm,
        "regions": regions,
        "tries_percent": tuning.retry_percent,
        "tries_allowance": tuning.retry_allowance,
        "tries_allowance_at_once": tuning.retry_allowance_immediate,
        "idle_boots": tuning.idle_startups,
        "idle_rare_ms": tuning.rare_idle_limit.map(millis),
        "idle_stop": tuning.idle_cost.is_some(),
        "start_mb_s": tuning.idle_cost.map(|cost| cost.start_cost_mb_s),
        "late_mb_s": tuning.idle_cost.map(|cost| cost.late_cost_mb_s),
        "rise_ms": millis(tuning.rate_window),
        "margin_percent": tuning.margin_percent,
        "fall_ms": tuning.decay.map(millis),
        "drain_every_ms": tuning.drain_interval.map(millis),
    })
}
