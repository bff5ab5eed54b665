//! Orders to the platform, and descriptions of its parsed responses, for comparison with fixtures.

use common::adapter::{StartOrder, StartOutcome, StopOrder};
use common::identity::{FencingToken, FunctionKey, InstanceId, RunnerId};
use std::time::Duration;

/// The runner of every order.
pub(crate) const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(0x5_0000_0007),
    ordinal: 0x2b,
};

/// Returns an order to start the runner for a function on a worker.
pub(crate) fn start_order(function: FunctionKey, worker: &str) -> StartOrder {
    StartOrder {
        runner: RUNNER,
        function,
        worker: worker.into(),
        memory_mb: 256,
        startup: Duration::from_millis(1500),
        slots: 4,
        member: "daemon-1".into(),
    }
}

/// Returns an order to stop the runner. Its instance may be unknown.
pub(crate) fn stop_order(function: FunctionKey, worker: &str, instance: Option<&str>) -> StopOrder {
    StopOrder {
        runner: RUNNER,
        function,
        worker: worker.into(),
        instance: instance.map(InstanceId::from),
        member: "daemon-1".into(),
        fencing_token: RUNNER.fencing_token,
    }
}

/// Describes the parsed response to a start.
pub(crate) fn describe_outcome(outcome: &StartOutcome) -> String {
    match outcome {
        StartOutcome::Started(instance) => {
            format!("begun as {} at {}", instance.name, instance.address)
        }
        StartOutcome::NoCapacity => "no room".to_owned(),
        StartOutcome::Busy => "busy".to_owned(),
        StartOutcome::Rejected => "refused".to_owned(),
        StartOutcome::Lost => "lost".to_owned(),
    }
}

/// Describes the parsed response to a stop.
pub(crate) fn describe_stop(is_stopped: bool) -> &'static str {
    if is_stopped { "stopped" } else { "not sure" }
}

/// Describes a parsed list: its rows as JSON, or that it could not be read.
pub(crate) fn describe_list(rows: Option<serde_json::Value>) -> String {
    rows.map_or_else(|| "not read".to_owned(), |rows| rows.to_string())
}
