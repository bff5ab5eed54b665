use common::clock::Moment;
use common::frames::KnownMember;
use common::identity::ControllerId;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Round {
    number: u64,
    sent_at: Moment,
    answered: BTreeSet<ControllerId>,
    members: BTreeSet<KnownMember>,
}

/// A leader's rounds, and what a majority's answers prove.
#[derive(Clone, Debug)]
pub struct Rounds {
    open_rounds: VecDeque<Round>,
    last_number: u64,
    next_at: Moment,
    started_at: Moment,
    elected_at: Moment,
    quorum_moment: Moment,
    confirmed_members: BTreeSet<KnownMember>,
}

impl Rounds {
    /// No round yet; the election counts as the last proof of a majority.
    pub fn new(elected_at: Moment) -> Self {
        Self {
            open_rounds: VecDeque::new(),
            last_number: 0,
            next_at: elected_at,
            started_at: Moment::ZERO,
            elected_at,
            quorum_moment: Moment::ZERO,
            confirmed_members: BTreeSet::new(),
        }
    }

    /// When this reign began.
    pub fn elected_at(&self) -> Moment {
        self.elected_at
    }

    /// When the next round is due.
    pub fn next_at(&self) -> Moment {
        self.next_at
    }

    /// Somebody waits for a proof: the next round starts as soon as the last one is so old.
    pub fn hasten(&mut self, shortest_gap: Duration) {
        self.next_at = self.next_at.min(self.started_at + shortest_gap);
    }

    /// When the newest round was sent that a majority answered.
    pub fn quorum_moment(&self) -> Moment {
        self.quorum_moment
    }

    /// The daemons that such a round named.
    pub fn confirmed_members(&self) -> &BTreeSet<KnownMember> {
        &self.confirmed_members
    }

    /// Starts a round and returns its number.
    pub fn start(
        &mut self,
        now: Moment,
        next_at: Moment,
        own_id: ControllerId,
        members: BTreeSet<KnownMember>,
    ) -> u64 {
        self.last_number += 1;
        self.started_at = now;
        self.next_at = next_at;
        self.open_rounds.push_back(Round {
            number: self.last_number,
            sent_at: now,
            answered: BTreeSet::from([own_id]),
            members,
        });
        if self.open_rounds.len() > 64 {
            self.open_rounds.pop_front();
        }
        self.last_number
    }

    /// Counts an answer.
    pub fn answered(
        &mut self,
        round_number: u64,
        from: ControllerId,
        is_majority: impl Fn(&BTreeSet<ControllerId>) -> bool,
    ) {
        let Some(place) = self.open_rounds.iter().position(|round| round.number == round_number)
        else {
            return;
        };
        self.open_rounds[place].answered.insert(from);
        if is_majority(&self.open_rounds[place].answered) {
            let won_round = self.open_rounds.drain(..=place).next_back();
            if let Some(round) = won_round {
                self.quorum_moment = self.quorum_moment.max(round.sent_at);
                self.confirmed_members = round.members;
            }
        }
    }
}
