//! A daemon's stream to the leader and its member grant. No I/O; orders go out.

use common::clock::MonotonicTime;
use common::frames::{
    Claim, DaemonToLeader, Flag, Host, LeaderToDaemon, LengthPrefixed, SocketAddress,
};
use common::identity::{CorrelationId, Term, Version};
use common::rng::SeededRng;
use common::rules::{Rule, Rules};
use std::collections::BTreeMap;
use std::time::Duration;
use typed_builder::TypedBuilder;

/// The liaison's times.
#[derive(Clone, Debug, TypedBuilder)]
pub struct ControlSessionTiming {
    /// From one renewal to the next.
    #[builder(default = Duration::from_millis(250))]
    pub renewal_interval: Duration,
    /// How long a connection may take to come about and be welcomed.
    #[builder(default = Duration::from_millis(250))]
    pub welcome_timeout: Duration,
    /// How long a welcomed stream may bring no renewal before another leader is sought.
    #[builder(default = Duration::from_millis(550))]
    pub silence_timeout: Duration,
    /// How long a controller that fell silent is left alone.
    #[builder(default = Duration::from_millis(1500))]
    pub unreachable_backoff: Duration,
    /// How long one to which no connection came about is left alone although others name it as the leader: it may
    /// have started since.
    #[builder(default = Duration::from_millis(300))]
    pub unreached_backoff: Duration,
    /// The shortest wait before the next seed is tried.
    #[builder(default = Duration::from_millis(30))]
    pub min_retry_delay: Duration,
    /// The longest wait before the next seed is tried.
    #[builder(default = Duration::from_millis(150))]
    pub max_retry_delay: Duration,
    /// The longest wait after a controller said that it knows no leader, or named one again so soon.
    #[builder(default = Duration::from_millis(60))]
    pub max_no_leader_delay: Duration,
    /// How long leaders of a term before the newest one heard are refused: their grants have then
    /// surely ended.
    #[builder(default = Duration::from_secs(5))]
    pub stale_term_window: Duration,
}

/// What the liaison orders.
#[derive(Clone, Debug)]
pub enum ControlSessionOutput {
    /// Open a stream there.
    Dial(SocketAddress),
    /// End the stream.
    Hangup,
    /// Say something on the stream.
    SendFrame(DaemonToLeader),
    /// The stream is open and the leader answers; claims follow.
    Welcomed,
    /// The stream is lost; questions on it get no answer.
    Disconnected,
    /// The member grant runs until then.
    GrantedUntil(MonotonicTime),
    /// The member grant has ended: stop every runner, forget every function and owner.
    LeaseEnded,
    /// Something that is not the liaison's own.
    Frame(LeaderToDaemon),
}

enum StreamState {
    Idle {
        dial_at: MonotonicTime,
    },
    Dialing {
        give_up_at: MonotonicTime,
    },
    Open {
        give_up_at: MonotonicTime,
    },
    Welcomed {
        last_heard_at: MonotonicTime,
        renew_at: MonotonicTime,
    },
}

/// A controller that did not answer.
#[derive(Clone, Copy)]
struct UnreachableController {
    address: SocketAddress,
    since: MonotonicTime,
    was_reached: bool,
}

/// A daemon's side of the stream.
pub struct ControlSession {
    timing: ControlSessionTiming,
    host: Host,
    ingress: SocketAddress,
    seeds: Vec<SocketAddress>,
    controller_addresses: Vec<SocketAddress>,
    next_seed: usize,
    hinted_leader: Option<SocketAddress>,
    dialed: SocketAddress,
    unreachable: Option<UnreachableController>,
    last_hint_at: MonotonicTime,
    started_at: MonotonicTime,
    was_ever_leased: bool,
    leader_heard_at: MonotonicTime,
    state: StreamState,
    term: Term,
    lease_end: MonotonicTime,
    granted: bool,
    version: Version,
    renewals: BTreeMap<CorrelationId, MonotonicTime>,
    last_correlation: CorrelationId,
    rng: SeededRng,
    leaving: bool,
    rules: Rules,
}

impl ControlSession {
    /// A liaison that will seek the leader at once.
    pub fn new(
        now: MonotonicTime,
        timing: ControlSessionTiming,
        host: Host,
        ingress: SocketAddress,
        seeds: Vec<SocketAddress>,
        mut rng: SeededRng,
    ) -> Self {
        let next_seed = rng.below(seeds.len().max(1) as u64) as usize;
        Self {
            timing,
            host,
            ingress,
            controller_addresses: seeds.clone(),
            seeds,
            next_seed,
            hinted_leader: None,
            dialed: SocketAddress::UNSPECIFIED,
            unreachable: None,
            last_hint_at: MonotonicTime::ZERO,
            started_at: now,
            was_ever_leased: false,
            leader_heard_at: MonotonicTime::ZERO,
            state: StreamState::Idle { dial_at: now },
            term: Term(0),
            lease_end: MonotonicTime::ZERO,
            granted: false,
            version: Version(0),
            renewals: BTreeMap::new(),
            last_correlation: CorrelationId(0),
            rng,
            leaving: false,
            rules: Rules::ALL_ENFORCED,
        }
    }

    /// The same, with a rule taken away for proving.
    pub fn with_rules(mut self, rules: Rules) -> Self {
        self.rules = rules;
        self
    }

    /// When something is due.
    pub fn next_due(&self) -> MonotonicTime {
        let state_due = match self.state {
            StreamState::Idle { dial_at } => dial_at,
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at } => give_up_at,
            StreamState::Welcomed {
                last_heard_at,
                renew_at,
            } => {
                let silence_deadline = last_heard_at + self.timing.silence_timeout;
                if self.leaving {
                    silence_deadline
                } else {
                    silence_deadline.min(renew_at)
                }
            }
        };
        if self.granted {
            state_due.min(self.lease_end)
        } else {
            state_due
        }
    }

    /// The seeds have changed; controllers known from the spec stay known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddress>) {
        if seeds.is_empty() {
            return;
        }
        self.controller_addresses
            .retain(|address| !self.seeds.contains(address) || seeds.contains(address));
        let new_addresses: Vec<SocketAddress> = seeds
            .iter()
            .copied()
            .filter(|seed| !self.controller_addresses.contains(seed))
            .collect();
        self.controller_addresses.extend(new_addresses);
        self.seeds = seeds;
    }

    /// When the member grant ends.
    pub fn lease_end(&self) -> MonotonicTime {
        self.lease_end
    }

    /// Whether the leader has welcomed the stream.
    pub fn is_welcomed(&self) -> bool {
        matches!(self.state, StreamState::Welcomed { .. })
    }

    /// The term of the leader last heard.
    pub fn term(&self) -> Term {
        self.term
    }

    /// A number for a question.
    pub fn correlation(&mut self) -> CorrelationId {
        self.last_correlation = self.last_correlation.next();
        self.last_correlation
    }

    /// The data plane has installed a spec, which names where the core's members stand.
    pub fn installed(
        &mut self,
        version: Version,
        voters: &[SocketAddress],
    ) -> Vec<ControlSessionOutput> {
        self.version = version;
        self.controller_addresses = voters.to_vec();
        let new_seeds = self.seeds.iter().filter(|seed| !voters.contains(seed));
        self.controller_addresses.extend(new_seeds);
        if self.is_welcomed() {
            vec![ControlSessionOutput::SendFrame(DaemonToLeader::Installed {
                version,
            })]
        } else {
            Vec::new()
        }
    }

    /// The daemon is leaving: it takes on no function any more.
    pub fn leave(&mut self) -> Vec<ControlSessionOutput> {
        self.leaving = true;
        self.host.eligible.0 = false;
        if self.is_welcomed() {
            vec![ControlSessionOutput::SendFrame(
                self.hello(self.leader_heard_at),
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
            granted: Flag(self.was_ever_leased),
        }
    }

    fn go_idle(&mut self, now: MonotonicTime) {
        let delay = self
            .rng
            .within(self.timing.min_retry_delay, self.timing.max_retry_delay);
        self.state = StreamState::Idle {
            dial_at: now + delay,
        };
        self.renewals.clear();
    }

    /// A leader that was named is dialed at once; without one, or when names come too fast, a little
    /// later.
    fn follow_hint(&mut self, now: MonotonicTime) {
        let is_useful = self
            .hinted_leader
            .is_some_and(|named| self.may_dial_named(now, named));
        let is_first = now.since(self.last_hint_at) >= self.timing.min_retry_delay;
        let dial_at = if is_useful && is_first {
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

    /// Lets time pass.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        let mut outputs = Vec::new();
        self.end_lease_if_due(now, &mut outputs);
        match self.state {
            StreamState::Idle { dial_at } if now >= dial_at => {
                let dialed_address = self.next_controller(now);
                self.dialed = dialed_address;
                self.state = StreamState::Dialing {
                    give_up_at: now + self.timing.welcome_timeout,
                };
                outputs.push(ControlSessionOutput::Dial(dialed_address));
            }
            StreamState::Dialing { give_up_at } | StreamState::Open { give_up_at }
                if now >= give_up_at =>
            {
                self.mark_dialed_unreachable(now);
                self.hang_up(now, &mut outputs);
            }
            StreamState::Welcomed { last_heard_at, .. }
                if now.since(last_heard_at) > self.timing.silence_timeout =>
            {
                self.mark_dialed_unreachable(now);
                self.hang_up(now, &mut outputs);
            }
            StreamState::Welcomed {
                last_heard_at,
                renew_at,
            } if now >= renew_at && !self.leaving => {
                self.state = StreamState::Welcomed {
                    last_heard_at,
                    renew_at: now + self.timing.renewal_interval,
                };
                let correlation = self.correlation();
                self.renewals.insert(correlation, now);
                while self.renewals.len() > 16 {
                    self.renewals.pop_first();
                }
                let version = self.version;
                outputs.push(ControlSessionOutput::SendFrame(DaemonToLeader::Renew {
                    correlation,
                    version,
                }));
            }
            _ => {}
        }
        outputs
    }

    /// A hinted leader first, else the controllers in turn; one that fell silent is left alone for a while.
    fn next_controller(&mut self, now: MonotonicTime) -> SocketAddress {
        if let Some(named_leader) = self.hinted_leader.take()
            && self.may_dial_named(now, named_leader)
        {
            return named_leader;
        }
        let unreachable_address = self
            .unreachable
            .filter(|unreachable| now < unreachable.since + self.timing.unreachable_backoff)
            .map(|unreachable| unreachable.address);
        for _ in 0..self.controller_addresses.len() {
            self.next_seed = (self.next_seed + 1) % self.controller_addresses.len();
            if Some(self.controller_addresses[self.next_seed]) != unreachable_address {
                break;
            }
        }
        self.controller_addresses[self.next_seed]
    }

    /// The controller that was dialed last is left alone for a while.
    fn mark_dialed_unreachable(&mut self, now: MonotonicTime) {
        let was_reached = !matches!(self.state, StreamState::Dialing { .. });
        self.unreachable = Some(UnreachableController {
            address: self.dialed,
            since: now,
            was_reached,
        });
    }

    /// Whether a controller that another one names as the leader may be dialed.
    fn may_dial_named(&self, now: MonotonicTime, named: SocketAddress) -> bool {
        let Some(unreachable) = self
            .unreachable
            .filter(|unreachable| unreachable.address == named)
        else {
            return true;
        };
        let is_full_backoff =
            unreachable.was_reached || !self.rules.enforces(Rule::HintedLeaderDialed);
        let unreachable_backoff = if is_full_backoff {
            self.timing.unreachable_backoff
        } else {
            self.timing.unreached_backoff
        };
        now >= unreachable.since + unreachable_backoff
    }

    fn end_lease_if_due(&mut self, now: MonotonicTime, outputs: &mut Vec<ControlSessionOutput>) {
        if self.granted && now >= self.lease_end {
            self.granted = false;
            outputs.push(ControlSessionOutput::LeaseEnded);
        }
    }

    /// The dialed connection is open.
    pub fn connected(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        if let StreamState::Dialing { .. } = self.state {
            self.state = StreamState::Open {
                give_up_at: now + self.timing.welcome_timeout,
            };
            return vec![ControlSessionOutput::SendFrame(self.hello(now))];
        }
        Vec::new()
    }

    /// The connection failed or ended.
    pub fn disconnected(&mut self, now: MonotonicTime) -> Vec<ControlSessionOutput> {
        let was_welcomed = self.is_welcomed();
        self.go_idle(now);
        if was_welcomed {
            vec![ControlSessionOutput::Disconnected]
        } else {
            Vec::new()
        }
    }

    /// A part of a long frame has come in: the leader is not silent, however slow the link is. It says
    /// nothing of the member grant.
    pub fn frame_part_received(&mut self, now: MonotonicTime) {
        if let StreamState::Welcomed { last_heard_at, .. } = &mut self.state {
            *last_heard_at = now;
        }
    }

    /// The claims to send once welcomed.
    pub fn claims(&self, claims: Vec<Claim>) -> DaemonToLeader {
        DaemonToLeader::Claims {
            claims: LengthPrefixed(claims),
        }
    }

    /// Takes what the leader says.
    pub fn received(
        &mut self,
        now: MonotonicTime,
        frame: LeaderToDaemon,
    ) -> Vec<ControlSessionOutput> {
        let mut outputs = Vec::new();
        self.end_lease_if_due(now, &mut outputs);
        match frame {
            LeaderToDaemon::Redirect { leader } => {
                self.hinted_leader = (leader != SocketAddress::UNSPECIFIED).then_some(leader);
                self.hang_up(now, &mut outputs);
                self.follow_hint(now);
            }
            LeaderToDaemon::Welcome { term } => {
                let is_stale_leader = term < self.term
                    && now.since(self.leader_heard_at) < self.timing.stale_term_window;
                if is_stale_leader {
                    self.mark_dialed_unreachable(now);
                    self.hang_up(now, &mut outputs);
                } else if !self.is_welcomed() {
                    self.term = term;
                    self.leader_heard_at = now;
                    self.state = StreamState::Welcomed {
                        last_heard_at: now,
                        renew_at: now,
                    };
                    outputs.push(ControlSessionOutput::Welcomed);
                }
            }
            LeaderToDaemon::Renewed {
                correlation,
                lease_ms,
                version,
            } => {
                let StreamState::Welcomed { renew_at, .. } = self.state else {
                    return outputs;
                };
                self.state = StreamState::Welcomed {
                    last_heard_at: now,
                    renew_at,
                };
                self.leader_heard_at = now;
                let Some(sent_at) = self.renewals.remove(&correlation) else {
                    return outputs;
                };
                let new_lease_end = sent_at + Duration::from_millis(u64::from(lease_ms));
                let is_newest =
                    version <= self.version || !self.rules.enforces(Rule::RenewalNeedsNewestSpec);
                if new_lease_end > self.lease_end && new_lease_end > now && is_newest {
                    self.lease_end = new_lease_end;
                    self.granted = true;
                    self.was_ever_leased = true;
                    outputs.push(ControlSessionOutput::GrantedUntil(new_lease_end));
                }
            }
            other => {
                if let StreamState::Welcomed { renew_at, .. } = self.state {
                    self.state = StreamState::Welcomed {
                        last_heard_at: now,
                        renew_at,
                    };
                }
                outputs.push(ControlSessionOutput::Frame(other));
            }
        }
        outputs
    }
}
