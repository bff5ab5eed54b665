//! The daemon's metrics page: each metric's name, type, labels and buckets.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use dataplane::drivers::Gauges;

#[test]
fn every_metric_has_its_name_type_and_labels() {
    let gauges = Gauges::new();
    for outcome in ["answer", "not_run", "unknown", "left"] {
        gauges
            .callers
            .request_outcomes
            .with_label_values(&[outcome, "reason"])
            .inc();
        gauges.callers.request_seconds.with_label_values(&[outcome]);
    }
    for found in ["held", "passed", "acquired"] {
        gauges.owners.lookups.with_label_values(&[found]);
    }
    let page = String::from_utf8(gauges.page()).expect("text");
    forms::check(env!("CARGO_MANIFEST_DIR"), "metrics.txt", &page);
}

/// Each field gets a value of its own, so that each metric name is held to what it counts.
#[test]
fn every_metric_counts_what_its_name_says() {
    let gauges = Gauges::new();
    gauges.callers.overdue_requests.inc_by(1);
    gauges.owners.acquires.inc_by(2);
    gauges.runners.sends.inc_by(3);
    gauges.runners.retried_sends.inc_by(4);
    gauges.runners.rejected_answers.inc_by(5);
    gauges.rejected_frames.inc_by(6);
    gauges.session.leases_ended.inc_by(7);
    gauges.held.functions.set(8);
    gauges.held.ready_runners.set(9);
    gauges.held.queued.set(10);
    gauges.held.in_flight.set(11);
    gauges.session.serving.set(12);
    gauges.session.version.set(13);
    gauges.replication.replica_entries.set(14);
    gauges.idle_stop_skipped.set(15);
    gauges.owners.acquire_seconds.observe(16.0);
    gauges.replication.round_trip_seconds.observe(17.0);
    let page = String::from_utf8(gauges.page()).expect("text");
    let is_value = |line: &&str| !line.starts_with('#') && !line.ends_with(" 0");
    let values: Vec<&str> = page.lines().filter(is_value).collect();
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "metric_values.txt",
        &format!("{}\n", values.join("\n")),
    );
}
