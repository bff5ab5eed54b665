//! Test harness: a leader's state with daemons that join it, on virtual time.

use super::samples::{document, function, function_named, hello, known};
use common::adapter::{ListedRunner, ListedWorker, StopOrder};
use common::clock::MonotonicTime;
use common::frames::{
    AcquireResult, Claim, ClaimedRunner, DaemonToLeader, Flag, Host, KnownMember, LeaderToDaemon,
    LengthPrefixed, MemberIncarnation, ReserveResult, SocketAddress,
};
use common::identity::{CorrelationId, FencingToken, FunctionKey, RunnerId, Term, Version};
use controlplane::leader_state::{
    EventRecord, LeaderOutput, LeaderState, LeaderTiming, QuorumConfirmation, StreamId,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// When the leader was elected.
pub const ELECTED: MonotonicTime = MonotonicTime(100_000_000_000);

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A leader with a fresh quorum confirmation at each step, and its outputs.
pub struct Harness {
    /// The state under test.
    pub leader_state: LeaderState,
    /// Virtual time.
    pub now: MonotonicTime,
    /// The outputs of the last step.
    pub outputs: Vec<LeaderOutput>,
    /// All events recorded so far.
    pub events: Vec<EventRecord>,
}

impl Harness {
    /// Creates a leader that awaits these members.
    pub fn new(last_known: &[&str]) -> Self {
        Self::with_timing(LeaderTiming::builder().build(), last_known)
    }

    /// Creates a leader with this timing that awaits these members.
    pub fn with_timing(timing: LeaderTiming, last_known: &[&str]) -> Self {
        let members: BTreeSet<KnownMember> = last_known.iter().map(|name| known(name)).collect();
        let mut leader_state = LeaderState::new(timing, Term(5), ELECTED, members, true);
        leader_state.handle_committed(document());
        Self::with_state(leader_state)
    }

    /// Creates a harness for the state of a leader that has just been elected.
    pub fn with_state(leader_state: LeaderState) -> Self {
        Self {
            leader_state,
            now: ELECTED,
            outputs: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Creates a leader with one daemon, on stream 1, whose claims quorum is reached.
    pub fn with_one_daemon() -> Self {
        let mut harness = Self::new(&["a"]);
        harness.join(1, "a", vec![]);
        harness.list_runners(&[]);
        harness.advance(ms(10));
        harness
    }

    /// Creates a leader with two daemons, on streams 1 and 2, whose claims quorum is reached. The first daemon makes
    /// these claims.
    pub fn with_two_daemons(claims: Vec<Claim>) -> Self {
        let mut harness = Self::new(&["a", "b"]);
        harness.join(1, "a", claims);
        harness.join(2, "b", vec![]);
        harness.list_runners(&[]);
        harness.advance(ms(10));
        harness
    }

    /// Advances the time and lets the leader progress, with a quorum confirmation from the end of the span.
    pub fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let confirmation = QuorumConfirmation {
            ready: true,
            quorum_confirmed_at: self.now,
            is_member_confirmed: &|_| true,
            proposed_membership: None,
        };
        self.outputs = self.leader_state.progress(self.now, &confirmation);
        let recorded = self.outputs.iter().filter_map(|output| match output {
            LeaderOutput::EventRecord(event_record) => Some(event_record.clone()),
            _ => None,
        });
        self.events.extend(recorded);
    }

    /// Lets a daemon join, claim and request its session lease.
    pub fn join(&mut self, stream: u64, name: &str, claims: Vec<Claim>) {
        self.join_with_link(stream, name, 0, claims);
    }

    /// Lets a daemon with a link of this bandwidth join, claim and request its session lease.
    pub fn join_with_link(&mut self, stream: u64, name: &str, link_mbps: u32, claims: Vec<Claim>) {
        let host = Host {
            member: name.into(),
            incarnation: 1.into(),
            zone: format!("l{stream}").as_str().into(),
            address: SocketAddress::UNSPECIFIED,
            eligible: Flag(true),
            link_mbps,
        };
        self.send(stream, hello(host, 700, true));
        self.claim(stream, claims);
        self.renew(stream);
    }

    /// Sends the claims of a daemon.
    pub fn claim(&mut self, stream: u64, claims: Vec<Claim>) {
        let claims = LengthPrefixed(claims);
        self.send(stream, DaemonToLeader::Claims { claims });
    }

    /// Requests the renewal of a daemon's session lease.
    pub fn renew(&mut self, stream: u64) {
        let frame = DaemonToLeader::Renew {
            correlation: CorrelationId(1),
            version: Version(2),
        };
        self.send(stream, frame);
    }

    /// Delivers the platform's list of runners, taken at the current time.
    pub fn list_runners(&mut self, listed_runners: &[ListedRunner]) {
        self.leader_state
            .handle_runner_list(self.now, listed_runners);
    }

    /// Delivers the platform's list of workers.
    pub fn list_workers(&mut self, workers: &[ListedWorker]) {
        self.leader_state.handle_worker_list(workers.to_vec());
    }

    /// Delivers a frame of a daemon.
    pub fn send(&mut self, stream: u64, frame: DaemonToLeader) {
        self.leader_state
            .handle_frame(self.now, StreamId(stream), frame);
    }

    /// Reports a daemon as suspected, on behalf of the daemon on the stream.
    pub fn suspect(&mut self, stream: u64, incarnation: MemberIncarnation) {
        self.send(stream, DaemonToLeader::MemberSuspected { incarnation });
    }

    /// Withdraws the report.
    pub fn clear_suspicion(&mut self, stream: u64, incarnation: MemberIncarnation) {
        self.send(stream, DaemonToLeader::MemberRecovered { incarnation });
    }

    /// Requests the lease of the function with a route.
    pub fn acquire(&mut self, stream: u64) {
        self.send_acquire(stream, function());
    }

    fn send_acquire(&mut self, stream: u64, function: FunctionKey) {
        let frame = DaemonToLeader::Acquire {
            correlation: CorrelationId(9),
            function,
        };
        self.send(stream, frame);
    }

    /// Acquires the lease of a function, which must be free, and returns its fencing token.
    pub fn acquire_lease(&mut self, stream: u64, name: &str) -> FencingToken {
        self.acquire_lease_for_key(stream, function_named(name))
    }

    /// Acquires the lease of a function key, which must be free, and returns its fencing token.
    pub fn acquire_lease_for_key(&mut self, stream: u64, function: FunctionKey) -> FencingToken {
        self.send_acquire(stream, function);
        self.advance(ms(10));
        match self.acquire_result() {
            Some(AcquireResult::Granted { fencing_token, .. }) => fencing_token,
            other => panic!("not granted: {other:?}"),
        }
    }

    /// Requests memory for one more runner of a function.
    pub fn reserve(
        &mut self,
        stream: u64,
        name: &str,
        fencing_token: FencingToken,
    ) -> ReserveResult {
        self.reserve_for_key(stream, function_named(name), fencing_token)
    }

    /// Requests memory for one more runner of a function key.
    pub fn reserve_for_key(
        &mut self,
        stream: u64,
        function: FunctionKey,
        fencing_token: FencingToken,
    ) -> ReserveResult {
        let frame = DaemonToLeader::Reserve {
            correlation: CorrelationId(4),
            function,
            fencing_token,
        };
        self.send(stream, frame);
        self.advance(ms(10));
        let result = self.frames().find_map(|(_, frame)| match frame {
            LeaderToDaemon::Reserved { result, .. } => Some(result.clone()),
            _ => None,
        });
        result.expect("an answer")
    }

    /// Iterates over the frames sent in the last step, with their streams.
    pub fn frames(&self) -> impl Iterator<Item = (u64, &LeaderToDaemon)> {
        self.outputs.iter().filter_map(|output| match output {
            LeaderOutput::FrameToDaemon { stream, frame } => Some((stream.0, frame)),
            _ => None,
        })
    }

    /// Returns the first reply to an acquisition in the last step.
    pub fn acquire_result(&self) -> Option<AcquireResult> {
        self.frames().find_map(|(_, frame)| match frame {
            LeaderToDaemon::Acquired { result, .. } => Some(result.clone()),
            _ => None,
        })
    }

    /// Whether the first reply to an acquisition in the last step granted the lease.
    pub fn is_granted(&self) -> bool {
        matches!(self.acquire_result(), Some(AcquireResult::Granted { .. }))
    }

    /// Whether the first reply to an acquisition in the last step named the holder.
    pub fn names_holder(&self) -> bool {
        matches!(self.acquire_result(), Some(AcquireResult::HeldBy { .. }))
    }

    /// Returns the runners adopted with the lease that was granted in the last step.
    pub fn adopted_runners(&self) -> Vec<ClaimedRunner> {
        match self.acquire_result() {
            Some(AcquireResult::Granted { adopted, .. }) => adopted.0,
            other => panic!("not granted: {other:?}"),
        }
    }

    /// Whether the session lease of a stream was renewed in the last step.
    pub fn is_renewed(&self, renewal_stream: u64) -> bool {
        self.frames().any(|(stream, frame)| {
            stream == renewal_stream && matches!(frame, LeaderToDaemon::Renewed { .. })
        })
    }

    /// Whether the platform's lists were requested in the last step.
    pub fn has_requested_lists(&self) -> bool {
        self.outputs
            .iter()
            .any(|output| matches!(output, LeaderOutput::RequestLists))
    }

    /// Returns the stop orders of the last step.
    pub fn stop_orders(&self) -> Vec<&StopOrder> {
        self.outputs
            .iter()
            .filter_map(|output| match output {
                LeaderOutput::StopRunner(order) => Some(order),
                _ => None,
            })
            .collect()
    }

    /// Returns the runners that the platform was ordered to stop in the last step.
    pub fn runners_to_stop(&self) -> Vec<RunnerId> {
        let orders = self.stop_orders().into_iter();
        orders.map(|order| order.runner).collect()
    }
}
