//! Suspicions: daemons that have fallen silent, what others say of it, and how it is refuted.

use common::clock::Moment;
use common::frames::{Heartbeat, MemberLife, Place, Suspicion};
use std::collections::BTreeMap;
use std::time::Duration;

/// How often a watcher's word that it misses somebody is told: by itself, and once by each who hears it.
pub const TELLINGS: u8 = 2;

/// The most suspicions in one heartbeat, so that it stays one datagram.
pub(super) const MOST_SUSPICIONS: usize = 16;

/// What a watch orders.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WatchOutput {
    /// Send a heartbeat to these places.
    Beat(Heartbeat, Vec<Place>),
    /// Tell the leader that this daemon is missed.
    Silent(MemberLife),
    /// Tell the leader that it is heard.
    Heard(MemberLife),
}

struct Rumour {
    heard_at: Moment,
    tellings: u8,
}

/// Whom others miss, as their heartbeats said lately.
#[derive(Default)]
pub(super) struct Hearsay {
    rumours: BTreeMap<MemberLife, Rumour>,
}

impl Hearsay {
    /// Takes another's word.
    pub fn heard(&mut self, now: Moment, suspicion: &Suspicion) {
        let tellings = suspicion.tellings.min(TELLINGS).saturating_sub(1);
        self.rumours
            .entry(suspicion.life.clone())
            .and_modify(|rumour| {
                rumour.heard_at = now;
                rumour.tellings = rumour.tellings.max(tellings);
            })
            .or_insert(Rumour { heard_at: now, tellings });
    }

    /// Forgets it: its heartbeat has come in.
    pub fn forget(&mut self, life: &MemberLife) {
        self.rumours.remove(life);
    }

    /// Forgets what nobody has said for so long.
    pub fn fade(&mut self, now: Moment, span: Duration) {
        self.rumours.retain(|_, rumour| now.since(rumour.heard_at) < span);
    }

    /// Whether somebody misses it.
    pub fn contains(&self, life: &MemberLife) -> bool {
        self.rumours.contains_key(life)
    }

    /// What is passed on.
    pub fn passed_on(&self) -> impl Iterator<Item = Suspicion> {
        self.rumours
            .iter()
            .filter(|(_, rumour)| rumour.tellings > 0)
            .map(|(life, rumour)| Suspicion { life: life.clone(), tellings: rumour.tellings })
    }
}
