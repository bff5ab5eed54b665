//! Compares the daemon's metrics page with fixtures: the name, type, labels and buckets of each metric.

#[path = "../../../testing/support/forms.rs"]
mod forms;

use dataplane::drivers::DaemonMetrics;

#[test]
fn names_types_and_labels_of_metrics_match_the_fixture() {
    let metrics = DaemonMetrics::new();
    for outcome in ["answer", "not_run", "unknown", "left"] {
        metrics
            .callers
            .request_outcomes
            .with_label_values(&[outcome, "reason"])
            .inc();
        metrics
            .callers
            .request_seconds
            .with_label_values(&[outcome]);
    }
    for found in ["held", "passed", "acquired"] {
        metrics.owners.lookups.with_label_values(&[found]);
    }
    let page = String::from_utf8(metrics.page()).expect("metrics should be UTF-8");
    forms::check(env!("CARGO_MANIFEST_DIR"), "metrics.txt", &page);
}

/// Guards against fields whose metric names are swapped: each field gets a distinct value.
#[test]
fn each_field_sets_the_metric_of_its_name() {
    let metrics = DaemonMetrics::new();
    metrics.callers.overdue_requests.inc_by(1);
    metrics.owners.acquisitions.inc_by(2);
    metrics.runners.sends.inc_by(3);
    metrics.runners.retried_sends.inc_by(4);
    metrics.runners.rejected_responses.inc_by(5);
    metrics.rejected_frames.inc_by(6);
    metrics.session.leases_ended.inc_by(7);
    metrics.held.functions.set(8);
    metrics.held.ready_runners.set(9);
    metrics.held.queued.set(10);
    metrics.held.in_flight.set(11);
    metrics.session.serving.set(12);
    metrics.session.version.set(13);
    metrics.replication.replica_entries.set(14);
    metrics.retained_idle_functions.set(15);
    metrics.owners.acquire_seconds.observe(16.0);
    metrics.replication.round_trip_seconds.observe(17.0);
    let page = String::from_utf8(metrics.page()).expect("metrics should be UTF-8");
    let is_value = |line: &&str| !line.starts_with('#') && !line.ends_with(" 0");
    let values: Vec<&str> = page.lines().filter(is_value).collect();
    forms::check(
        env!("CARGO_MANIFEST_DIR"),
        "metric_values.txt",
        &format!("{}\n", values.join("\n")),
    );
}
