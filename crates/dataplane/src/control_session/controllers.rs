//! Chooses the controller to dial next.

use super::ControlSessionTiming;
use common::clock::MonotonicTime;
use common::frames::SocketAddress;
use common::rules::{Rule, Rules};

/// A controller that did not respond.
#[derive(Clone, Copy)]
struct UnreachableController {
    address: SocketAddress,
    since: MonotonicTime,
    /// Whether a connection to it was established before it stopped responding.
    was_reached: bool,
}

/// The controllers' addresses, the controller hinted to be the leader, and the one that did not respond.
pub(super) struct Controllers {
    seeds: Vec<SocketAddress>,
    addresses: Vec<SocketAddress>,
    next_index: usize,
    hinted_leader: Option<SocketAddress>,
    dialed: SocketAddress,
    unreachable: Option<UnreachableController>,
}

impl Controllers {
    /// Creates the list from the seed addresses. The controller at `first_index` counts as already tried.
    pub(crate) fn new(seeds: Vec<SocketAddress>, first_index: usize) -> Self {
        Self {
            addresses: seeds.clone(),
            seeds,
            next_index: first_index,
            hinted_leader: None,
            dialed: SocketAddress::UNSPECIFIED,
            unreachable: None,
        }
    }

    /// Replaces the seeds; controllers known from the spec remain. An empty list is ignored.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddress>) {
        if seeds.is_empty() {
            return;
        }
        self.addresses
            .retain(|address| !self.seeds.contains(address) || seeds.contains(address));
        let new_addresses: Vec<SocketAddress> = seeds
            .iter()
            .copied()
            .filter(|seed| !self.addresses.contains(seed))
            .collect();
        self.addresses.extend(new_addresses);
        self.seeds = seeds;
    }

    /// Sets the voters that an installed spec names; the seeds remain as further candidates.
    pub(crate) fn set_voters(&mut self, voters: &[SocketAddress]) {
        self.addresses = voters.to_vec();
        let other_seeds = self.seeds.iter().filter(|seed| !voters.contains(seed));
        self.addresses.extend(other_seeds);
    }

    /// Sets the leader named by a redirect, if it names one.
    pub(crate) fn set_hinted_leader(&mut self, leader: Option<SocketAddress>) {
        self.hinted_leader = leader;
    }

    /// Whether a hinted leader is known that may be dialed now.
    pub(crate) fn has_usable_hint(
        &self,
        now: MonotonicTime,
        timing: &ControlSessionTiming,
        rules: Rules,
    ) -> bool {
        self.hinted_leader
            .is_some_and(|hinted| self.may_dial_hinted(now, hinted, timing, rules))
    }

    /// Chooses the controller to dial: a hinted leader if there is one, otherwise the next in turn that is not in
    /// backoff.
    pub(crate) fn choose(
        &mut self,
        now: MonotonicTime,
        timing: &ControlSessionTiming,
        rules: Rules,
    ) -> SocketAddress {
        let usable_hint = self
            .hinted_leader
            .take()
            .filter(|hinted| self.may_dial_hinted(now, *hinted, timing, rules));
        self.dialed = match usable_hint {
            Some(hinted) => hinted,
            None => self.next_in_turn(now, timing),
        };
        self.dialed
    }

    fn next_in_turn(&mut self, now: MonotonicTime, timing: &ControlSessionTiming) -> SocketAddress {
        let unreachable_address = self
            .unreachable
            .filter(|unreachable| now < unreachable.since + timing.unreachable_backoff)
            .map(|unreachable| unreachable.address);
        for _ in 0..self.addresses.len() {
            self.next_index = (self.next_index + 1) % self.addresses.len();
            if Some(self.addresses[self.next_index]) != unreachable_address {
                break;
            }
        }
        self.addresses[self.next_index]
    }

    /// Puts the controller that was dialed last into backoff.
    pub(crate) fn mark_dialed_unreachable(&mut self, now: MonotonicTime, was_reached: bool) {
        self.unreachable = Some(UnreachableController {
            address: self.dialed,
            since: now,
            was_reached,
        });
    }

    /// Whether a controller named as the leader by another one may be dialed.
    fn may_dial_hinted(
        &self,
        now: MonotonicTime,
        hinted: SocketAddress,
        timing: &ControlSessionTiming,
        rules: Rules,
    ) -> bool {
        let Some(unreachable) = self
            .unreachable
            .filter(|unreachable| unreachable.address == hinted)
        else {
            return true;
        };
        let is_full_backoff = unreachable.was_reached || !rules.enforces(Rule::HintedLeaderDialed);
        let backoff = if is_full_backoff {
            timing.unreachable_backoff
        } else {
            timing.unreached_backoff
        };
        now >= unreachable.since + backoff
    }
}
