use common::clock::MonotonicTime;
use common::frames::KnownMember;
use common::identity::ControllerId;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

#[derive(Clone, Debug)]
struct HeartbeatRound {
    number: u64,
    sent_at: MonotonicTime,
    responders: BTreeSet<ControllerId>,
    members: BTreeSet<KnownMember>,
}

/// A leader's rounds, and what a majority's answers prove.
#[derive(Clone, Debug)]
pub struct HeartbeatRounds {
    open_rounds: VecDeque<HeartbeatRound>,
    last_round_number: u64,
    next_heartbeat_at: MonotonicTime,
    last_started_at: MonotonicTime,
    elected_at: MonotonicTime,
    quorum_confirmed_at: MonotonicTime,
    confirmed_members: BTreeSet<KnownMember>,
}

impl HeartbeatRounds {
    /// No round yet; the election counts as the last proof of a majority.
    pub fn new(elected_at: MonotonicTime) -> Self {
        Self {
            open_rounds: VecDeque::new(),
            last_round_number: 0,
            next_heartbeat_at: elected_at,
            last_started_at: MonotonicTime::ZERO,
            elected_at,
            quorum_confirmed_at: MonotonicTime::ZERO,
            confirmed_members: BTreeSet::new(),
        }
    }

    /// When this reign began.
    pub fn elected_at(&self) -> MonotonicTime {
        self.elected_at
    }

    /// When the next round is due.
    pub fn next_heartbeat_at(&self) -> MonotonicTime {
        self.next_heartbeat_at
    }

    /// Somebody waits for a proof: the next round starts as soon as the last one is so old.
    pub fn expedite(&mut self, shortest_gap: Duration) {
        self.next_heartbeat_at = self
            .next_heartbeat_at
            .min(self.last_started_at + shortest_gap);
    }

    /// When the newest round was sent that a majority answered.
    pub fn quorum_confirmed_at(&self) -> MonotonicTime {
        self.quorum_confirmed_at
    }

    /// The daemons that such a round named.
    pub fn confirmed_members(&self) -> &BTreeSet<KnownMember> {
        &self.confirmed_members
    }

    /// Starts a round and returns its number.
    pub fn start(
        &mut self,
        now: MonotonicTime,
        next_heartbeat_at: MonotonicTime,
        own_id: ControllerId,
        members: BTreeSet<KnownMember>,
    ) -> u64 {
        self.last_round_number += 1;
        self.last_started_at = now;
        self.next_heartbeat_at = next_heartbeat_at;
        self.open_rounds.push_back(HeartbeatRound {
            number: self.last_round_number,
            sent_at: now,
            responders: BTreeSet::from([own_id]),
            members,
        });
        if self.open_rounds.len() > 64 {
            self.open_rounds.pop_front();
        }
        self.last_round_number
    }

    /// Counts an answer.
    pub fn record_response(
        &mut self,
        round_number: u64,
        from: ControllerId,
        is_majority: impl Fn(&BTreeSet<ControllerId>) -> bool,
    ) {
        let Some(index) = self
            .open_rounds
            .iter()
            .position(|round| round.number == round_number)
        else {
            return;
        };
        self.open_rounds[index].responders.insert(from);
        if is_majority(&self.open_rounds[index].responders) {
            let won_round = self.open_rounds.drain(..=index).next_back();
            if let Some(round) = won_round {
                self.quorum_confirmed_at = self.quorum_confirmed_at.max(round.sent_at);
                self.confirmed_members = round.members;
            }
        }
    }
}
