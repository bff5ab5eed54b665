//! Keeps functions off hosts on narrow links. While members join a new leader, the host list may still contain too few
//! hosts on wide links, so that hosts on narrow links request functions. Once the list contains enough hosts on wide
//! links, a request from a narrow link waits for one from a wide link, and functions held on narrow links are handed
//! over.

use super::LeaderState;
use super::acquisitions::PendingAcquisition;
use common::clock::MonotonicTime;
use common::frames::LeaderToDaemon;
use common::identity::{FencingToken, FunctionKey};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between checks for holders on narrow links.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of functions handed over per check, those with the most runners first.
const MAX_MOVES_PER_CHECK: usize = 16;

/// Minimum interval between hand-overs of the same function. If its next holder is on a narrow link again, the
/// requester sees a different set of hosts than the leader does, and another move would not help.
const MOVE_COOLDOWN: Duration = Duration::from_secs(10);

/// How long a request from a host on a narrow link waits for one from a wide link. After that it is granted, since the
/// requester sees a different set of hosts than the leader does.
const NARROW_LINK_REQUEST_DELAY: Duration = Duration::from_millis(1000);

/// A lease to be handed over.
struct LeaseMove {
    function: FunctionKey,
    fencing_token: FencingToken,
    runner_count: usize,
}

/// When leases were last moved off narrow links.
pub(super) struct LinkMoves {
    checked_at: MonotonicTime,
    moved_off_at: BTreeMap<FunctionKey, MonotonicTime>,
}

impl LinkMoves {
    /// Schedules the first check one interval after the election.
    pub(super) fn new(elected_at: MonotonicTime) -> Self {
        Self {
            checked_at: elected_at,
            moved_off_at: BTreeMap::new(),
        }
    }
}

impl LeaderState {
    /// Whether a request has to wait for one from a host on a wide link.
    pub(super) fn waits_for_wide_link_requester(
        &self,
        now: MonotonicTime,
        acquisition: &PendingAcquisition,
    ) -> bool {
        let Some(requester) = self.members.on_stream(acquisition.stream) else {
            return false;
        };
        let waits_since = acquisition.requested_at.max(self.claims.reached_at);
        self.hosts.is_on_narrow_link(&requester.member)
            && now.since(waits_since) < NARROW_LINK_REQUEST_DELAY
    }

    /// Orders holders on narrow links to hand over some of their functions while hosts on wide links are available.
    pub(super) fn move_off_narrow_links(&mut self, now: MonotonicTime) {
        if !self.claims.is_reached || now.since(self.link_moves.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.link_moves.checked_at = now;
        self.link_moves
            .moved_off_at
            .retain(|_, moved_at| now.since(*moved_at) < MOVE_COOLDOWN);
        for due_move in self.due_moves(now) {
            let Some(entry) = self.lease_records.get_mut(&due_move.function) else {
                continue;
            };
            let Some(stream) = self.members.stream_of(&entry.holder) else {
                continue;
            };
            entry.handing_over = true;
            let LeaseMove {
                function,
                fencing_token,
                ..
            } = due_move;
            self.link_moves.moved_off_at.insert(function.clone(), now);
            self.send_frame(
                stream,
                LeaderToDaemon::HandOver {
                    function,
                    fencing_token,
                },
            );
        }
    }

    fn due_moves(&self, now: MonotonicTime) -> Vec<LeaseMove> {
        let mut due_moves: Vec<LeaseMove> = self
            .lease_records
            .iter()
            .filter(|(_, entry)| !entry.handing_over && entry.fencing_since.is_none())
            .filter(|(_, entry)| self.hosts.is_on_narrow_link(&entry.holder.member))
            .filter(|(_, entry)| self.is_serving(&entry.holder, now))
            .filter(|(function, _)| !self.link_moves.moved_off_at.contains_key(*function))
            .map(|(function, entry)| LeaseMove {
                function: function.clone(),
                fencing_token: entry.fencing_token,
                runner_count: self.reservations.all_of(function).count(),
            })
            .collect();
        due_moves.sort_by_key(|due_move| Reverse(due_move.runner_count));
        due_moves.truncate(MAX_MOVES_PER_CHECK);
        due_moves
    }
}
