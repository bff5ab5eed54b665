//! Callers, and how soon they are served again after everything is mended.

use super::event::Event;
use super::world::World;
use common::clock::Moment;
use common::identity::TransactionId;
use dataplane::agent::Ask;
use std::time::Duration;

impl World {
    fn heal_moment(&self) -> Moment {
        self.started_at() + self.plan.lasts
    }

    /// Notes a call made after everything was mended, in its half second.
    pub(super) fn note_late(&mut self, transaction: &TransactionId) {
        let heal_moment = self.heal_moment();
        if self.now < heal_moment {
            return;
        }
        let half_second = (self.now.since(heal_moment).as_millis() / 500) as usize;
        if half_second < 34 {
            if self.late_shares.len() <= half_second {
                self.late_shares.resize(half_second + 1, (0, 0));
            }
            self.late_shares[half_second].0 += 1;
            self.late_calls.insert(transaction.clone(), half_second);
        }
    }

    pub(super) fn answered(&mut self, transaction: &TransactionId) {
        if let Some(half_second) = self.late_calls.remove(transaction) {
            self.late_shares[half_second].1 += 1;
        }
    }

    /// A refused caller: an impatient one repeats at once, by another door, and says so.
    pub(super) fn refused(&mut self, ask: &Ask) {
        if self.now < self.impatient_until && self.chance.happens(0.7) {
            let wait_span = self.chance.within(Duration::ZERO, Duration::from_millis(40));
            self.push(wait_span, Event::Repeat(ask.route.clone()));
        }
    }

    fn some_door(&mut self) -> Option<usize> {
        let place = self.chance.below(self.daemons.len() as u64) as usize;
        let is_frozen = self.is_frozen(self.daemons[place].node);
        let is_open = self.daemons[place].body.is_some() && !self.is_leaving(place);
        (is_open && !is_frozen).then_some(place)
    }

    pub(super) fn repeat(&mut self, route_name: &str) {
        self.next_number += 1;
        let transaction = TransactionId::from(format!("repeat-{}", self.next_number));
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, Duration::from_millis(2000), true);
        }
    }

    pub(super) fn call_one(&mut self, route_name: &'static str) {
        self.next_number += 1;
        let transaction = TransactionId::from(format!("t{}", self.next_number));
        let budget = self.chance.within(Duration::from_millis(1000), Duration::from_millis(3000));
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, budget, false);
        }
    }

    pub(super) fn call_some(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.plan.rate);
        self.push(gap, Event::Call);
        self.next_number += 1;
        let routes = ["f0", "f0", "f1", "f1", "f2", "f3", "f4", "f5", "canary", "canary"];
        let route_name = routes[self.chance.below(routes.len() as u64) as usize];
        let budget = self.chance.within(Duration::from_millis(500), Duration::from_millis(3000));
        let is_twin = self.chance.happens(self.plan.twins);
        let twin_after = self.chance.within(Duration::ZERO, Duration::from_millis(2900));
        let Some(place) = self.some_door() else { return };
        let transaction = TransactionId::from(format!("t{}", self.next_number));
        self.note_late(&transaction);
        if is_twin {
            self.checks.twin(&transaction);
            self.push(twin_after, Event::CallAgain(transaction.clone(), route_name));
        }
        self.call(place, transaction, route_name, budget, false);
    }

    /// The same identity comes again, by another door: it may be refused, and must not run twice.
    pub(super) fn call_again(&mut self, transaction: TransactionId, route_name: &'static str) {
        if let Some(place) = self.some_door() {
            self.call(place, transaction, route_name, Duration::from_millis(3000), false);
        }
    }

    /// From 12 s after the mending on, no second may have most calls unanswered.
    pub(super) fn check_return(&mut self) {
        let late_seconds: Vec<(u64, u64)> = self
            .late_shares
            .chunks(2)
            .skip(12)
            .map(|halves| halves.iter().fold((0, 0), |sum, half| (sum.0 + half.0, sum.1 + half.1)))
            .collect();
        for (second, (calls, answers)) in late_seconds.into_iter().enumerate() {
            self.checks.returned(self.now, 12 + second as u64, calls, answers);
        }
    }

    /// The share answered from 12 s after the mending, and when at least half was answered for good.
    pub(super) fn return_to_service(&self) -> (f64, Duration) {
        let settled = self.late_shares.iter().skip(24);
        let (calls, answers) =
            settled.fold((0, 0), |sum, half_second| (sum.0 + half_second.0, sum.1 + half_second.1));
        let is_down = |half_second: &(u64, u64)| half_second.1 * 2 < half_second.0;
        let last_down = self.late_shares.iter().rposition(is_down);
        let back_after = Duration::from_millis(500) * last_down.map_or(0, |last| last as u32 + 1);
        (answers as f64 / calls.max(1) as f64, back_after)
    }
}
