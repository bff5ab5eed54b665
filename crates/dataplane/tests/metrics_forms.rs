//! The daemon's metrics page: each metric's name, type, labels and buckets.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use dataplane::drivers::Gauges;

#[test]
fn every_metric_has_its_name_type_and_labels() {
    let gauges = Gauges::new();
    for outcome in ["answer", "not_run", "unknown", "left"] {
        gauges
            .request_outcomes
            .with_label_values(&[outcome, "reason"])
            .inc();
        gauges.request_seconds.with_label_values(&[outcome]);
    }
    for found in ["held", "passed", "acquired"] {
        gauges.lookups.with_label_values(&[found]);
    }
    let page = String::from_utf8(gauges.page()).expect("text");
    forms::check(env!("CARGO_MANIFEST_DIR"), "metrics.txt", &page);
}

/// Each field gets a value of its own, so that each metric name is held to what it counts.
#[test]
fn every_metric_counts_what_its_name_says() {
    let gauges = Gauges::new();
    gauges.overdue_requests.inc_by(1);
    gauges.acquires.inc_by(2);
    gauges.sends.inc_by(3);
    gauges.retried_sends.inc_by(4);
    gauges.rejected_answers.inc_by(5);
    gauges.rejected_frames.inc_by(6);
    gauges.leases_ended.inc_by(7);
    gauges.held.set(8);
    gauges.ready_runners.set(9);
    gauges.queued.set(10);
    gauges.in_flight.set(11);
    gauges.serving.set(12);
    gauges.version.set(13);
    gauges.replica_entries.set(14);
    gauges.idle_stop_skipped.set(15);
    gauges.acquire_seconds.observe(16.0);
    gauges.replication_seconds.observe(17.0);
    let page = String::from_utf8(gauges.page()).expect("text");
    let is_value = |line: &&str| !line.starts_with('#') && !line.ends_with(" 0");
    let values: Vec<&str> = page.lines().filter(is_value).collect();
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "metric_values.txt",
        &format!("{}\n", values.join("\n")),
    );
}
