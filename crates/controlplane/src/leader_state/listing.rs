use super::LeaderState;
use super::reservations::Reservation;
use common::clock::Moment;
use common::events;
use common::identity::{FunctionKey, LifeName, RunnerId, Serial};
use common::tongue::ListedRunner;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Duration;

impl LeaderState {
    /// Takes the platform's list of runners, which shows how things stood at a moment. Runners are known
    /// again by their lives; while the claims quorum is waited for, unknown ones may still be claimed.
    pub fn runners_listed(&mut self, content_moment: Moment, listed_runners: &[ListedRunner]) {
        if content_moment < self.runners_listed_at {
            return;
        }
        self.runners_listed_at = content_moment;
        for listed in listed_runners.iter().filter(|listed| listed.leaving) {
            if let Some(runner) = self.reservations.with_life(&listed.life.name) {
                self.drain_leaving(runner);
            }
        }
        let listed_lives: BTreeSet<&LifeName> =
            listed_runners.iter().map(|listed| &listed.life.name).collect();
        self.miss_vanished(content_moment, &listed_lives);
        if self.opened {
            self.take_unknown(content_moment, listed_runners);
        } else {
            self.newest_list = listed_runners.to_vec();
        }
    }

    /// The claims quorum stands: what it did not claim and is listed is held by nobody.
    pub(super) fn take_listed(&mut self) {
        let listed_runners = std::mem::take(&mut self.newest_list);
        self.take_unknown(self.runners_listed_at, &listed_runners);
    }

    fn take_unknown(&mut self, content_moment: Moment, listed_runners: &[ListedRunner]) {
        if content_moment < self.unclaimed_from() {
            return;
        }
        for listed in listed_runners {
            let life_name = &listed.life.name;
            let is_known = self.reservations.with_life(life_name).is_some()
                || self.reservations.has_life_ended(life_name);
            if is_known || self.is_begun_by_key(content_moment, listed) {
                continue;
            }
            if !self.is_being_begun(listed) {
                self.take_orphan(content_moment, listed);
            }
        }
    }

    /// Whether the platform keeps the start's key, and it is one whose life was not known yet.
    fn is_begun_by_key(&mut self, content_moment: Moment, listed: &ListedRunner) -> bool {
        let Some(runner) = listed.runner else { return false };
        let is_waited_for = self.reservations.get(runner).is_some_and(|held| held.life.is_none());
        if is_waited_for {
            self.reservations.begun(runner, listed.life.clone(), content_moment);
        }
        is_waited_for
    }

    /// Whether a runner of the same function is being begun on the same worker: this life may be its.
    fn is_being_begun(&self, listed: &ListedRunner) -> bool {
        self.reservations.values().any(|held| {
            held.life.is_none()
                && held.function.name == listed.function
                && held.worker == listed.worker
        })
    }

    /// A runner that nobody holds is left for the next holder of its function, under a name of this
    /// reign, if its function is surely the one in the spec.
    fn take_orphan(&mut self, content_moment: Moment, listed: &ListedRunner) {
        let same_name =
            self.table.functions().iter().find(|entry| entry.key.name == listed.function);
        let in_spec = same_name.map(|entry| (entry.key.clone(), entry.spec.memory_mb));
        let is_same = |key: &FunctionKey| match &listed.key {
            Some(listed_key) => listed_key == key,
            None => key.generation <= self.inherited_serial,
        };
        let known = in_spec.filter(|(key, _)| is_same(key));
        let is_wanted = known.is_some() && !listed.leaving;
        let (function, memory_mb) = known.unwrap_or_else(|| {
            let unknown_key = FunctionKey::new(listed.function.clone(), Serial(0));
            (listed.key.clone().unwrap_or(unknown_key), 0)
        });
        let runner = RunnerId { grant: self.next_number(), ordinal: self.next_number().0 };
        let mut reservation = Reservation::new(function, listed.worker.clone(), memory_mb);
        reservation.life = Some(listed.life.clone());
        reservation.begun_at = content_moment;
        reservation.ready = is_wanted;
        reservation.draining = !is_wanted;
        reservation.key_unknown = listed.key.is_none();
        self.reservations.insert(runner, reservation);
        let detail = json!({
            "runner": runner.to_string(),
            "life": listed.life.name.as_str(),
            "worker": listed.worker.as_str(),
        });
        self.tell(events::ORPHAN, detail);
        self.leave_or_stop(content_moment, runner);
    }

    /// What must have been listed by now and is not is gone.
    fn miss_vanished(&mut self, content_moment: Moment, listed_lives: &BTreeSet<&LifeName>) {
        let list_lag = self.timing.list_lag;
        let vanished_runners: Vec<RunnerId> = self
            .reservations
            .iter()
            .filter(|(_, held)| {
                let boot = self.table.function_of(&held.function).map(|entry| entry.spec.boot);
                let listed_from =
                    held.begun_at + boot.unwrap_or(Duration::from_secs(5)) * 3 + list_lag;
                held.life.as_ref().is_some_and(|life| !listed_lives.contains(&life.name))
                    && content_moment > listed_from
            })
            .map(|(runner, _)| *runner)
            .collect();
        for vanished_runner in vanished_runners {
            self.runner_vanished(vanished_runner);
        }
    }
}
