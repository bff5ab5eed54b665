//! A daemon's stream to the leading controller, and its session lease.
//!
//! [`ControlSession`] finds the leader, maintains a stream to it and renews the session lease on that stream. It
//! performs no I/O: its methods return [`ControlSessionOutput`]s that the caller carries out.
//!
//! * `controllers`: the choice of the controller to dial next.
//! * `session_lease`: the state of the lease.
//! * `timing`: intervals, time-outs and backoffs.

mod controllers;
mod output;
mod session_lease;
mod timing;

pub use output::ControlSessionOutput;
pub use timing::ControlSessionTiming;

use common::clock::MonotonicTime;
use common::frames::{
    Claim, DaemonToLeader, Flag, Host, LeaderToDaemon, LengthPrefixed, SocketAddress,
};
use common::identity::{CorrelationId, Term, Version};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use controllers::Controllers;
use session_lease::SessionLease;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of renewals without a response that are tracked; the oldest are dropped first.
const MAX_PENDING_RENEWALS: usize = 16;

/// The state of the stream to the leader.
enum StreamState {
    /// No stream; the next controller is dialed at `dial_at`.
    Idle { dial_at: MonotonicTime },
    /// A connection is being established.
    Dialing { give_up_at: MonotonicTime },
    /// Connected, and the hello is sent; the leader has not welcomed the stream yet.
    Open { give_up_at: MonotonicTime },
    /// The leader has accepted the stream.
    Welcomed {
        last_heard_at: MonotonicTime,
        renew_at: MonotonicTime,
    },
}

/// The newest known leader.
struct KnownLeader {
    term: Term,
    last_heard_at: MonotonicTime,
}

/// The daemon's side of the control stream.
pub struct ControlSession {
    timing: ControlSessionTiming,
    rules: Rules,
    rng: SeededRng,
    host: Host,
    ingress: SocketAddress,
    started_at: MonotonicTime,
    version: Version,
    is_leaving: bool,
    controllers: Controllers,
    last_hint_at: MonotonicTime,
    state: StreamState,
    leader: KnownLeader,
    lease: SessionLease,
    /// The times at which renewals without a response were sent.
    pending_renewals: BTreeMap<CorrelationId, MonotonicTime>,
    last_correlation: CorrelationId,
}

impl ControlSession {
    /// Creates a session that looks for the leader at once. `host` and `ingress` are what this daemon announces about
    /// itself.
    pub fn new(
        now: MonotonicTime,
        timing: ControlSessionTiming,
        host: Host,
        ingress: SocketAddress,
        seeds: Vec<SocketAddress>,
        mut rng: SeededRng,
    ) -> Self {
        let first_index = rng.below(seeds.len().max(1) as u64) as usize;
        Self {
            timing,
            rules: Rules::ALL_ENFORCED,
            rng,
            host,
            ingress,
            started_at: now,
            version: Version(0),
            is_leaving: false,
            controllers: Controllers::new(seeds, first_index),
            last_hint_at: MonotonicTime::ZERO,
            state: StreamState::Idle { dial_at: now },
            leader: KnownLeader {
                term: Term(0),
                last_heard_at: MonotonicTime::ZERO,
            },
            lease: SessionLease::Never,
            pending_renewals: BTreeMap::new(),
            last_correlation: CorrelationId(0),
        }
    }

    /// Enforces only these rules, so that a test can show what a rule prevents.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// Returns when [`ControlSession::tick`] is due next.
    pub fn next_due(&self) -> MonotonicTime {
        let state_due = match self.state {
            StreamState::Idle { dial_at } => dial_at,
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at } => give_up_at,
            StreamState::Welcomed {
                last_heard_at,
                renew_at,
            } => {
                let silence_deadline = last_heard_at + self.timing.silence_timeout;
                if self.is_leaving {
                    silence_deadline
                } else {
                    silence_deadline.min(renew_at)
                }
            }
        };
        match self.lease.active_until() {
            Some(lease_end) => state_due.min(lease_end),
            None => state_due,
        }
    }

    /// Replaces the seed addresses; controllers known from the spec remain.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddress>) {
        self.controllers.set_seeds(seeds);
    }

    /// Returns when the session lease ends or ended; zero if none was granted.
    pub fn lease_end(&self) -> MonotonicTime {
        self.lease.end()
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        matches!(self.state, StreamState::Welcomed { .. })
    }

    /// Returns the term of the last leader that welcomed a stream.
    pub fn term(&self) -> Term {
        self.leader.term
    }

    /// Returns a new correlation id for a request to the leader.
    pub fn next_correlation(&mut self) -> CorrelationId {
        self.last_correlation = self.last_correlation.next();
        self.last_correlation
    }

    /// Records the version of the installed spec and the voters' addresses in it, and reports the version to the
    /// leader.
    pub fn record_installed(
        &mut self,
        version: Version,
        voters: &[SocketAddress],
    ) -> Vec<ControlSessionOutput> {
        self.version = version;
        self.controllers.set_voters(voters);
        if self.is_welcomed() {
            vec![ControlSessionOutput::SendFrame(DaemonToLeader::Installed {
                version,
            })]
        } else {
            Vec::new()
        }
    }

    /// Marks the daemon as leaving: it is not eligible for further functions, and no longer renews its lease.
    pub fn leave(&mut self) -> Vec<ControlSessionOutput> {
        self.is_leaving = true;
        self.host.eligible.0 = false;
        if self.is_welcomed() {
            vec![ControlSessionOutput::SendFrame(
                self.hello(self.leader.last_heard_at),
            )]
        } else {
            Vec::new()
        }
    }

    fn hello(&self, now: MonotonicTime) -> DaemonToLeader {
        let age_ms = now
            .since(self.started_at)
            .as_millis()
            .min(u128::from(u32::MAX)) as u32;
        DaemonToLeader::Hello {
            host: self.host.clone(),
            ingress: self.ingress,
            version: self.version,
            age_ms,
            granted: Flag(self.lease.was_ever_granted()),
        }
    }

    fn go_idle(&mut self, now: MonotonicTime) {
        let delay = self
            .rng
            .within(self.timing.min_retry_delay, self.timing.max_retry_delay);
        self.state = StreamState::Idle {
            dial_at: now + delay,
        };
        self.pending_renewals.clear();
    }

    /// Schedules the next dial after a redirect: at once if it names a leader that may be dialed; after a short delay
    /// if it names none, or follows too soon after the previous one.
    fn follow_hint(&mut self, now: MonotonicTime) {
        let is_usable = self
            .controllers
            .has_usable_hint(now, &self.timing, self.rules);
        let is_first = now.since(self.last_hint_at) >= self.timing.min_retry_delay;
        let dial_at = if is_usable && is_first {
            self.last_hint_at = now;
            now
        } else {
            now + self
                .rng
                .within(self.timing.min_retry_delay, self.timing.max_no_leader_delay)
        };
        self.state = StreamState::Idle { dial_at };
    }

    fn hang_up(&mut self, now: MonotonicTime, outputs: &mut Vec<ControlSessionOutput>) {
        let was_welcomed = self.is_welcomed();
        self.go_idle(now);
        outputs.push(ControlSessionOutput::Hangup);
        if was_welcomed {
            outputs.push(ControlSessionOutput::Disconnected);
        }
    }

    /// Closes the stream to a controller that does not respond, and puts that controller into backoff.
    fn abandon_dialed(&mut self, now: MonotonicTime, outputs: &mut Vec<ControlSessionOutput>) {
        let was_reached = !matches!(self.state, StreamState::Dialing { .. });
        self.controllers.mark_dialed_unreachable(now, was_reached);
        self.hang_up(now, outputs);
    }

    /// Performs all actions that are due: ends the lease, dials, abandons a controller that does not respond, renews.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        let mut outputs = Vec::new();
        self.end_lease_if_due(now, &mut outputs);
        match self.state {
            StreamState::Idle { dial_at } if now >= dial_at => self.dial(now, &mut outputs),
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at }
                if now >= give_up_at =>
            {
                self.abandon_dialed(now, &mut outputs);
            }
            StreamState::Welcomed { last_heard_at, .. }
                if now.since(last_heard_at) > self.timing.silence_timeout =>
            {
                self.abandon_dialed(now, &mut outputs);
            }
            StreamState::Welcomed {
                last_heard_at,
                renew_at,
            } if now >= renew_at && !self.is_leaving => {
                self.state = StreamState::Welcomed {
                    last_heard_at,
                    renew_at: now + self.timing.renewal_interval,
                };
                outputs.push(self.renew(now));
            }
            _ => {}
        }
        outputs
    }

    fn dial(&mut self, now: MonotonicTime, outputs: &mut Vec<ControlSessionOutput>) {
        let address = self.controllers.choose(now, &self.timing, self.rules);
        self.state = StreamState::Dialing {
            give_up_at: now + self.timing.welcome_timeout,
        };
        outputs.push(ControlSessionOutput::Dial(address));
    }

    fn renew(&mut self, now: MonotonicTime) -> ControlSessionOutput {
        let correlation = self.next_correlation();
        self.pending_renewals.insert(correlation, now);
        while self.pending_renewals.len() > MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_first();
        }
        ControlSessionOutput::SendFrame(DaemonToLeader::Renew {
            correlation,
            version: self.version,
        })
    }

    fn end_lease_if_due(&mut self, now: MonotonicTime, outputs: &mut Vec<ControlSessionOutput>) {
        if self.lease.end_if_due(now) {
            outputs.push(ControlSessionOutput::LeaseEnded);
        }
    }

    /// Handles the establishment of the dialed connection.
    pub fn handle_connected(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        if let StreamState::Dialing { .. } = self.state {
            self.state = StreamState::Open {
                give_up_at: now + self.timing.welcome_timeout,
            };
            return vec![ControlSessionOutput::SendFrame(self.hello(now))];
        }
        Vec::new()
    }

    /// Handles a connection that failed or was closed by the other side.
    pub fn handle_disconnected(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        let was_welcomed = self.is_welcomed();
        self.go_idle(now);
        if was_welcomed {
            vec![ControlSessionOutput::Disconnected]
        } else {
            Vec::new()
        }
    }

    /// Handles the arrival of a part of a long frame. It shows that the leader responds, however slow the link is, but
    /// does not affect the session lease.
    pub fn handle_frame_part(&mut self, now: MonotonicTime) {
        if let StreamState::Welcomed { last_heard_at, .. } = &mut self.state {
            *last_heard_at = now;
        }
    }

    /// Returns the frame that claims the functions this daemon holds, to be sent once the stream is welcomed.
    pub fn claims_frame(&self, claims: Vec<Claim>) -> DaemonToLeader {
        DaemonToLeader::Claims {
            claims: LengthPrefixed(claims),
        }
    }

    /// Handles a frame from the controller.
    pub fn handle_frame(
        &mut self,
        now: MonotonicTime,
        frame: LeaderToDaemon,
    ) -> Vec<ControlSessionOutput> {
        let mut outputs = Vec::new();
        self.end_lease_if_due(now, &mut outputs);
        match frame {
            LeaderToDaemon::Redirect { leader } => {
                let hinted_leader = (leader != SocketAddress::UNSPECIFIED).then_some(leader);
                self.controllers.set_hinted_leader(hinted_leader);
                self.hang_up(now, &mut outputs);
                self.follow_hint(now);
            }
            LeaderToDaemon::Welcome { term } => self.handle_welcome(now, term, &mut outputs),
            LeaderToDaemon::Renewed {
                correlation,
                lease_ms,
                version,
            } => {
                let lease_span = Duration::from_millis(u64::from(lease_ms));
                self.handle_renewed(now, correlation, lease_span, version, &mut outputs);
            }
            other => {
                self.handle_frame_part(now);
                outputs.push(ControlSessionOutput::Frame(other));
            }
        }
        outputs
    }

    /// Handles the acceptance of the stream by a leader. A leader of an earlier term than the newest known one is
    /// rejected while a lease from the newer leader may still be valid.
    fn handle_welcome(
        &mut self,
        now: MonotonicTime,
        term: Term,
        outputs: &mut Vec<ControlSessionOutput>,
    ) {
        let is_stale_leader = term < self.leader.term
            && now.since(self.leader.last_heard_at) < self.timing.stale_term_window;
        if is_stale_leader {
            self.abandon_dialed(now, outputs);
        } else if !self.is_welcomed() {
            self.leader = KnownLeader {
                term,
                last_heard_at: now,
            };
            self.state = StreamState::Welcomed {
                last_heard_at: now,
                renew_at: now,
            };
            outputs.push(ControlSessionOutput::Welcomed);
        }
    }

    /// Handles a renewal of the session lease by the leader. The lease runs from when the renewal was sent, which is
    /// before the leader received it. It is extended only if this daemon's spec is as new as the leader's.
    fn handle_renewed(
        &mut self,
        now: MonotonicTime,
        correlation: CorrelationId,
        lease_span: Duration,
        version: Version,
        outputs: &mut Vec<ControlSessionOutput>,
    ) {
        if !self.is_welcomed() {
            return;
        }
        self.handle_frame_part(now);
        self.leader.last_heard_at = now;
        let Some(sent_at) = self.pending_renewals.remove(&correlation) else {
            return;
        };
        let has_newest_spec =
            version <= self.version || !self.rules.enforces(Rule::RenewalNeedsNewestSpec);
        let lease_end = sent_at + lease_span;
        if has_newest_spec && self.lease.extend(now, lease_end) {
            outputs.push(ControlSessionOutput::GrantedUntil(lease_end));
        }
    }
}
