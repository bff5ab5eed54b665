//! A test bench with a daemon under a test-controlled clock, whose control session the leader has welcomed.

use crate::daemon_control::{START, function_request, spec_frame_of, welcomed_control};
use crate::host::host;
use common::clock::MonotonicTime;
use common::frames::{
    DaemonToLeader, Host, LeaderToDaemon, LengthPrefixed, MemberIncarnation, RequestFailureReason,
    RequestOutcome,
};
use common::identity::{CorrelationId, FunctionKey, Version};
use common::rules::Rules;
use dataplane::agent::{
    Agent, DaemonControl, DaemonControlOutput, ForwardResult, Forwarding, ForwardingStep,
    FunctionRequest,
};
use serde_json::{Value, json};
use std::time::Duration;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the host entry of the daemon under test.
pub(crate) fn own_host() -> Host {
    host("daemon-1", "here", 7)
}

/// Returns the host entry of a daemon in another zone.
pub(crate) fn remote_host(name: &str, incarnation: u64) -> Host {
    host(name, "elsewhere", incarnation)
}

/// Returns a frame with a spec that has two functions, and a route to the one named `function`.
pub(crate) fn spec_frame(version: u64, function: &str) -> LeaderToDaemon {
    spec_frame_of(spec(function, "repeatable"), version)
}

/// Returns a frame with a spec whose route runs a request at most once.
pub(crate) fn once_frame(version: u64) -> LeaderToDaemon {
    spec_frame_of(spec("f", "once"), version)
}

fn spec(function: &str, kind: &str) -> Value {
    json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 200, "slots": 2},
        },
        "routes": {"r": {
            "method": "POST", "path": "/r", "function": function,
            "budget_ms": 3000, "kind": kind,
        }},
    })
}

pub(crate) struct DaemonBench {
    pub(crate) agent: Agent<u64>,
    pub(crate) control: DaemonControl<u64>,
    pub(crate) now: MonotonicTime,
}

impl DaemonBench {
    /// Creates a daemon whose stream the leader has welcomed.
    pub(crate) fn new(rules: Rules) -> Self {
        let agent = Agent::new(own_host(), rules);
        let control = welcomed_control(&agent);
        Self {
            agent,
            control,
            now: START,
        }
    }

    /// Creates a serving daemon that is alone on its host list.
    pub(crate) fn serving() -> Self {
        Self::serving_with(Vec::new())
    }

    /// Creates a serving daemon with other daemons on its host list.
    pub(crate) fn serving_with(others: Vec<Host>) -> Self {
        let mut bench = DaemonBench::new(Rules::ALL_ENFORCED);
        bench.receive(spec_frame(3, "f"));
        bench.renew(3);
        bench.list_hosts([vec![own_host()], others].concat());
        bench
    }

    pub(crate) fn receive(&mut self, frame: LeaderToDaemon) -> Vec<DaemonControlOutput<u64>> {
        self.control.handle_frame(&self.agent, self.now, frame)
    }

    pub(crate) fn renew(&mut self, version: u64) {
        self.renew_for(version, 2400);
    }

    pub(crate) fn renew_for(&mut self, version: u64, lease_ms: u32) {
        self.now = self.now + ms(400);
        let outputs = self.control.tick(&self.agent, self.now);
        let correlation = renewal_correlation(&outputs).expect("a renewal");
        self.receive(LeaderToDaemon::Renewed {
            correlation,
            lease_ms,
            version: Version(version),
        });
    }

    pub(crate) fn list_hosts(&mut self, hosts: Vec<Host>) {
        self.receive(LeaderToDaemon::Hosts {
            number: 1,
            hosts: LengthPrefixed(hosts),
            suspected: LengthPrefixed(Vec::new()),
        });
    }

    pub(crate) fn list_own_host(&mut self) {
        self.list_hosts(vec![own_host()]);
    }

    pub(crate) fn key(&self, function: &str) -> FunctionKey {
        let table = self.agent.routing_table();
        let entries = table.functions();
        entries
            .iter()
            .find(|entry| entry.key.name.as_str() == function)
            .expect("a function with this name")
            .key
            .clone()
    }

    pub(crate) fn request(&self) -> FunctionRequest {
        function_request(&self.agent, self.now, self.key("f"))
    }

    /// Starts to forward a caller's request, and takes its first step.
    pub(crate) fn begin_request(&self) -> (Forwarding, ForwardingStep<u64>) {
        let mut forwarding = Forwarding::new(self.now, self.request());
        let step = forwarding.advance(&self.agent, self.now);
        (forwarding, step)
    }

    /// Handles the result of forwarding a request to another daemon.
    pub(crate) fn handle_forward_result(
        &self,
        forwarding: &mut Forwarding,
        result: ForwardResult,
    ) -> ForwardingStep<u64> {
        forwarding.handle_forward_result(&self.agent, self.now, result)
    }

    pub(crate) fn mark_suspected(&mut self, lost_host: &Host) {
        let incarnation = MemberIncarnation {
            member: lost_host.member.clone(),
            incarnation: lost_host.incarnation,
        };
        let suspected = LengthPrefixed(vec![incarnation]);
        let (put, removed) = (LengthPrefixed(Vec::new()), LengthPrefixed(Vec::new()));
        self.receive(LeaderToDaemon::HostsDelta {
            number: 2,
            put,
            removed,
            suspected,
        });
    }
}

/// Returns the reason and the retry-after in milliseconds, if a step ends a request that was not run.
pub(crate) fn rejection(step: &ForwardingStep<u64>) -> Option<(RequestFailureReason, u32)> {
    match step {
        ForwardingStep::End(
            RequestOutcome::NotRun {
                reason,
                retry_after_ms,
            },
            _,
        ) => Some((*reason, *retry_after_ms)),
        _ => None,
    }
}

/// Returns the correlation id of a session lease renewal among these outputs.
pub(crate) fn renewal_correlation(outputs: &[DaemonControlOutput<u64>]) -> Option<CorrelationId> {
    outputs.iter().find_map(|output| match output {
        DaemonControlOutput::SendFrame(DaemonToLeader::Renew { correlation, .. }) => {
            Some(*correlation)
        }
        _ => None,
    })
}

/// Returns the outcome of a request that was not run.
pub(crate) fn not_run(reason: RequestFailureReason, retry_after_ms: u32) -> RequestOutcome {
    RequestOutcome::NotRun {
        reason,
        retry_after_ms,
    }
}

/// Returns the result of a forwarded request whose reply names no holder.
pub(crate) fn completed(outcome: RequestOutcome) -> ForwardResult {
    ForwardResult::Completed(outcome, None)
}
