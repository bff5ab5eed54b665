//! Keeps functions off narrow links. While daemons join a new leader, the host list that they are told may hold
//! too few hosts on wide links, and hosts on narrow ones ask for functions. Once enough wide ones stand in it,
//! such a question waits for one of theirs, and what hosts on narrow links hold is handed over.

use super::{LeaderState, WaitingAcquire};
use common::clock::Moment;
use common::frames::StreamDown;
use common::identity::{FunctionKey, GrantSerial};
use std::cmp::Reverse;
use std::time::Duration;

/// Holders on narrow links are looked for so often.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// So many functions are handed over at one look, those with the most runners first.
const MOVES_AT_ONCE: usize = 16;

/// A function is handed over once in so long: where its next holder is on a narrow link again, a daemon that
/// asks sees other hosts than the leader does.
const MOVE_AGAIN_AFTER: Duration = Duration::from_secs(10);

/// A question from a host on a narrow link waits so long for one from a wide link; a daemon that still asks
/// sees other hosts than the leader does.
const WIDE_ASKER_PATIENCE: Duration = Duration::from_millis(1000);

struct Move {
    function: FunctionKey,
    grant: GrantSerial,
    runner_count: usize,
}

impl LeaderState {
    /// Whether a question waits for one from a host on a wide link.
    pub(super) fn awaits_wide_asker(&self, now: Moment, acquire: &WaitingAcquire) -> bool {
        let Some(asker) = self.streams.get(&acquire.stream) else { return false };
        let waits_since = acquire.asked_at.max(self.opened_at);
        self.pushed_hosts.passes_over(&asker.member) && now.since(waits_since) < WIDE_ASKER_PATIENCE
    }

    /// Asks holders on narrow links for some of their functions while others should hold them.
    pub(super) fn leave_narrow_links(&mut self, now: Moment) {
        if !self.opened || now.since(self.links_looked_at) < LOOK_EVERY {
            return;
        }
        self.links_looked_at = now;
        self.moved_off_at.retain(|_, moved_at| now.since(*moved_at) < MOVE_AGAIN_AFTER);
        for due_move in self.due_moves(now) {
            let Some(entry) = self.entries.get_mut(&due_move.function) else { continue };
            let record = self.members.get(&entry.holder);
            let Some(stream) = record.and_then(|record| record.stream) else { continue };
            entry.handing_over = true;
            let Move { function, grant, .. } = due_move;
            self.moved_off_at.insert(function.clone(), now);
            self.down(stream, StreamDown::HandOver { function, grant });
        }
    }

    fn due_moves(&self, now: Moment) -> Vec<Move> {
        let mut due_moves: Vec<Move> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.handing_over && entry.fencing_since.is_none())
            .filter(|(_, entry)| self.pushed_hosts.passes_over(&entry.holder.member))
            .filter(|(_, entry)| self.is_serving(&entry.holder, now))
            .filter(|(function, _)| !self.moved_off_at.contains_key(*function))
            .map(|(function, entry)| Move {
                function: function.clone(),
                grant: entry.grant,
                runner_count: self.reservations.of(function).count(),
            })
            .collect();
        due_moves.sort_by_key(|due_move| Reverse(due_move.runner_count));
        due_moves.truncate(MOVES_AT_ONCE);
        due_moves
    }
}
