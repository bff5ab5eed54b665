//! Orders to the platform, and what its response to a start is taken for. Included by the tests that hold the calls.

use common::adapter::{StartOrder, StartOutcome, StopOrder};
use common::identity::{FencingToken, FunctionKey, InstanceId, RunnerId};
use std::time::Duration;

/// The runner of every order.
pub(crate) const RUNNER: RunnerId = RunnerId {
    fencing_token: FencingToken(0x5_0000_0007),
    ordinal: 0x2b,
};

/// An order to start the runner for a function on a worker.
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

/// An order to stop the runner, whose instance may be unknown.
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

/// What a response to a start was taken for, in words.
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

/// What a response to a stop was taken for, in words.
pub(crate) fn describe_stop(is_stopped: bool) -> &'static str {
    if is_stopped { "stopped" } else { "not sure" }
}

/// What a list was taken for: its rows as JSON, or that it was not read.
pub(crate) fn describe_list(rows: Option<serde_json::Value>) -> String {
    rows.map_or_else(|| "not read".to_owned(), |rows| rows.to_string())
}
