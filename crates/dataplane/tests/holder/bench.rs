//! A held function for tests. The leader, the platform and readiness probes reply immediately; the test ends the sends.

use crate::held_function::{
    admission_request, function_key, report_started, reserved, response, runner_id,
};
use crate::holder_bench::HolderBench;
use crate::lease::{function_spec, lease_terms};
use common::clock::MonotonicTime;
use common::frames::{ClaimedRunner, Host, PreviousLease, RequestFailureReason, RequestOutcome};
use common::identity::{RunnerId, Ticket};
use common::spec::FunctionSpec;
use dataplane::holder::{
    AdmissionRequest, Holder, HolderMessage, HolderOutput, LeaseTerms, SendResult, Tuning,
};
use std::collections::BTreeMap;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime(50_000_000_000);
const TIMEOUT: Duration = Duration::from_millis(3000);
pub(crate) const MEMORY_MB: u32 = 100;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request that the holder sent to a runner.
#[derive(Clone, Copy)]
pub(crate) struct SentRequest {
    pub(crate) ticket: Ticket,
    pub(crate) runner: RunnerId,
    pub(crate) attempt: u32,
}

pub(crate) struct Bench {
    pub(crate) holder: Holder,
    pub(crate) now: MonotonicTime,
    pub(crate) sent: Vec<SentRequest>,
    pub(crate) ended: BTreeMap<Ticket, RequestOutcome>,
    pub(crate) outputs: Vec<HolderOutput>,
    pub(crate) next_ticket: u64,
    pub(crate) next_runner: u64,
    pub(crate) recorded: bool,
    pub(crate) max_attempts: u32,
    pub(crate) rank: u8,
}

fn terms(slots: u32, max_runners: u32) -> LeaseTerms {
    let spec = FunctionSpec {
        slots,
        max_runners,
        ..function_spec()
    };
    lease_terms(function_key(), spec)
}

impl Bench {
    pub(crate) fn new(slots: u32, max_runners: u32, once_wait: Duration) -> Self {
        Self::with_terms(LeaseTerms {
            once_wait,
            ..terms(slots, max_runners)
        })
    }

    pub(crate) fn with_replica(
        slots: u32,
        once_wait: Duration,
        replica: Option<Host>,
        previous_lease: Option<PreviousLease>,
    ) -> Self {
        Self::with_terms(LeaseTerms {
            once_wait,
            replica,
            previous_lease,
            ..terms(slots, 4)
        })
    }

    pub(crate) fn with_adopted_runners(slots: u32, adopted: Vec<ClaimedRunner>) -> Self {
        Self::with_terms(LeaseTerms {
            adopted,
            ..terms(slots, 1)
        })
    }

    fn with_terms(terms: LeaseTerms) -> Self {
        Self {
            holder: Holder::new(START, terms),
            now: START,
            sent: Vec::new(),
            ended: BTreeMap::new(),
            outputs: Vec::new(),
            next_ticket: 0,
            next_runner: 0,
            recorded: true,
            max_attempts: 100,
            rank: 0,
        }
    }

    pub(crate) fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.holder = self.holder.with_tuning(START, tuning);
        self
    }

    /// Returns how many times the request was sent to a runner.
    pub(crate) fn send_count(&self, ticket: Ticket) -> usize {
        let is_same_request = |sent: &&SentRequest| sent.ticket == ticket;
        self.sent.iter().filter(is_same_request).count()
    }

    /// Returns how many requests were sent to the runner with this ordinal number.
    pub(crate) fn sends_to(&self, ordinal: u64) -> usize {
        let is_sent_to = |sent: &&SentRequest| sent.runner.ordinal == ordinal;
        self.sent.iter().filter(is_sent_to).count()
    }

    /// Returns the request that was sent last.
    pub(crate) fn last_sent(&self) -> SentRequest {
        *self.sent.last().expect("sent")
    }

    /// Whether any of the holder's outputs so far satisfies the predicate.
    pub(crate) fn has_output(&self, is_kind: impl Fn(&HolderOutput) -> bool) -> bool {
        self.outputs.iter().any(is_kind)
    }

    /// Submits a request for admission. Returns its ticket, and its outcome if that is known immediately.
    pub(crate) fn submit(
        &mut self,
        name: &str,
        once: bool,
        is_retry: bool,
    ) -> (Ticket, Option<RequestOutcome>) {
        self.next_ticket += 1;
        let request = AdmissionRequest {
            idempotency_key: name.into(),
            once,
            recorded: self.recorded,
            max_attempts: self.max_attempts,
            is_retry,
            rank: self.rank,
            ..admission_request(self.next_ticket, self.now, TIMEOUT)
        };
        let (ticket, mut immediate) = (request.ticket, None);
        self.drive(|holder, now| {
            let (outcome, outputs) = holder.admit(now, request);
            immediate = outcome;
            outputs
        });
        (ticket, immediate)
    }

    pub(crate) fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.drive(Holder::tick);
    }

    pub(crate) fn finish_send(&mut self, ticket: Ticket, result: SendResult) {
        self.drive(|holder, now| holder.handle_send_result(now, ticket, result));
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, runner: RunnerId) {
        let outcome = response(runner, 200, b"done");
        self.finish_send(ticket, SendResult::Answered(outcome));
    }

    /// Starts the first runner by a request, answers that request, and removes it from the list of sends.
    pub(crate) fn warm_up(&mut self) {
        self.submit("warm", false, false);
        self.advance(ms(60));
        self.advance(ms(60));
        let sent = self.sent.pop().expect("sent");
        self.answer(sent.ticket, sent.runner);
    }
}

impl HolderBench for Bench {
    fn holder(&mut self) -> (&mut Holder, MonotonicTime) {
        (&mut self.holder, self.now)
    }

    fn reply_to(&mut self, output: HolderOutput) -> Vec<HolderOutput> {
        self.outputs.push(output.clone());
        match output {
            HolderOutput::Send {
                ticket,
                runner,
                attempt,
                ..
            } => {
                self.sent.push(SentRequest {
                    ticket,
                    runner,
                    attempt,
                });
                Vec::new()
            }
            HolderOutput::End { ticket, outcome } => {
                self.ended.insert(ticket, outcome);
                Vec::new()
            }
            HolderOutput::Report(HolderMessage::Reserve) => {
                self.next_runner += 1;
                let result = reserved(runner_id(self.next_runner), MEMORY_MB);
                self.holder.handle_reserve_result(self.now, &result)
            }
            HolderOutput::Start { runner, .. } => {
                report_started(&mut self.holder, self.now, runner)
            }
            HolderOutput::Probe { runner, .. } => {
                self.holder.handle_probe_result(self.now, runner, true)
            }
            _ => Vec::new(),
        }
    }
}

/// Returns the reason why a request was not run or has an unknown outcome.
pub(crate) fn reason(outcome: &Option<RequestOutcome>) -> Option<RequestFailureReason> {
    match outcome {
        Some(RequestOutcome::NotRun { reason, .. } | RequestOutcome::Unknown { reason }) => {
            Some(*reason)
        }
        _ => None,
    }
}

/// Returns the outcome of a request whose response was lost.
pub(crate) fn response_lost() -> RequestOutcome {
    RequestOutcome::Unknown {
        reason: RequestFailureReason::ResponseLost,
    }
}

/// Returns settings with a retry budget that no test exhausts.
pub(crate) fn ample_retry_budget() -> Tuning {
    Tuning::builder()
        .retry_allowance(50)
        .retry_allowance_immediate(true)
        .build()
}
