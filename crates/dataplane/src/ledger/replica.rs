//! The copies that a daemon keeps of other holders' ledgers.

use super::ranges::digests;
use common::clock::Moment;
use common::frames::{LedgerNote, NoteState};
use common::identity::{FunctionKey, GrantSerial, Incarnation, TransactionId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const KEPT_EMPTY: Duration = Duration::from_secs(60);

struct Line {
    state: NoteState,
    expires_at: Moment,
}

struct Copy {
    lines: HashMap<TransactionId, Line>,
    sealed: bool,
    touched_at: Moment,
}

/// The copies that one daemon keeps of other daemons' ledgers.
pub struct LedgerReplica {
    incarnation: Incarnation,
    copies: BTreeMap<(FunctionKey, GrantSerial), Copy>,
}

impl LedgerReplica {
    /// Keeps nothing yet, in this life.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, copies: BTreeMap::new() }
    }

    fn copy(&mut self, now: Moment, function: &FunctionKey, grant: GrantSerial) -> &mut Copy {
        let copy = self.copies.entry((function.clone(), grant)).or_insert(Copy {
            lines: HashMap::new(),
            sealed: false,
            touched_at: now,
        });
        copy.touched_at = now;
        copy
    }

    /// Notes lines; false when another life is meant, or a successor has collected already.
    pub fn note(
        &mut self,
        now: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        incarnation: Incarnation,
        notes: &[LedgerNote],
    ) -> bool {
        if incarnation != self.incarnation {
            return false;
        }
        let copy = self.copy(now, function, grant);
        if copy.sealed {
            return false;
        }
        for note in notes {
            let expires_at = now + Duration::from_millis(u64::from(note.left_ms));
            let line = copy
                .lines
                .entry(note.transaction.clone())
                .or_insert(Line { state: note.state, expires_at });
            line.state = line.state.max(note.state);
            line.expires_at = line.expires_at.max(expires_at);
        }
        true
    }

    /// Hands a copy to a successor, and takes no more lines for it; none when another life is meant.
    pub fn collect(
        &mut self,
        now: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        incarnation: Incarnation,
    ) -> Option<Vec<LedgerNote>> {
        if incarnation != self.incarnation {
            return None;
        }
        let copy = self.copy(now, function, grant);
        copy.sealed = true;
        Some(lines(copy, now))
    }

    /// The ranges in which a copy differs from the holder's digests.
    pub fn compare(
        &mut self,
        now: Moment,
        function: &FunctionKey,
        grant: GrantSerial,
        incarnation: Incarnation,
        holder_digests: &[u64],
    ) -> Vec<u8> {
        if incarnation != self.incarnation {
            return (0..holder_digests.len() as u8).collect();
        }
        let own_lines = lines(self.copy(now, function, grant), now);
        let own_digests = digests(own_lines.iter());
        (0..holder_digests.len())
            .filter(|range| own_digests.get(*range) != holder_digests.get(*range))
            .map(|range| range as u8)
            .collect()
    }

    /// Forgets lines that nobody waits for any more.
    pub fn expire(&mut self, now: Moment) {
        for copy in self.copies.values_mut() {
            copy.lines.retain(|_, line| line.expires_at > now);
        }
        self.copies
            .retain(|_, copy| !copy.lines.is_empty() || now.since(copy.touched_at) < KEPT_EMPTY);
    }

    /// How many lines are kept.
    pub fn line_count(&self) -> usize {
        self.copies.values().map(|copy| copy.lines.len()).sum()
    }
}

fn lines(copy: &Copy, now: Moment) -> Vec<LedgerNote> {
    copy.lines
        .iter()
        .filter(|(_, line)| line.expires_at > now)
        .map(|(transaction, line)| LedgerNote {
            transaction: transaction.clone(),
            state: line.state,
            left_ms: line.expires_at.since(now).as_millis() as u32,
        })
        .collect()
}
