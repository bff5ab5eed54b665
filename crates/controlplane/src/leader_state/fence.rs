use super::{LeaderOutput, LeaderState};
use common::clock::Moment;
use common::events;
use common::frames::{KnownMember, StreamDown};
use common::identity::{FunctionKey, MemberName, RunnerId};
use common::rules::Rule;
use common::tongue::StopOrder;
use serde_json::json;

/// Without the rule that a grant is outwaited, a holder counts as lost so soon after it was heard.
const TOO_SOON: std::time::Duration = std::time::Duration::from_millis(400);

/// When nobody is there to be swept, the next look is due after so long; whoever joins asks for one.
const SWEEP_SPAN: std::time::Duration = std::time::Duration::from_secs(1);

/// What waits for its time is looked at so often.
const LOOK_EVERY: std::time::Duration = std::time::Duration::from_millis(40);

impl LeaderState {
    /// Ends the entries of lost holders: their runners are left for the next holder, or stopped through
    /// the platform.
    pub(super) fn fence(&mut self, now: Moment) {
        if !self.opened {
            return;
        }
        self.sweep_lost(now);
        let is_due = now.since(self.fences_looked_at) >= LOOK_EVERY;
        if is_due {
            self.fences_looked_at = now;
            self.give_up_left(now);
            self.repeat_stops(now);
        }
        self.order_stops(now);
        if std::mem::take(&mut self.fences_changed) || is_due {
            self.clear_fenced(now);
        }
    }

    /// Fences what daemons hold whose grants have ended. They are looked through only when one can have
    /// ended since: an input must not cost with the number of daemons.
    fn sweep_lost(&mut self, now: Moment) {
        let outwaits = self.rules.keep(Rule::GrantOutwaited);
        if outwaits && now < self.sweep_due {
            return;
        }
        let lost_members: Vec<KnownMember> = self
            .members
            .iter()
            .filter(|(_, record)| {
                let is_early = !outwaits && now.since(record.heard_at) > TOO_SOON;
                !record.swept && (now >= record.grant_bound || is_early)
            })
            .map(|(known_member, _)| known_member.clone())
            .collect();
        for lost_member in lost_members {
            if let Some(record) = self.members.get_mut(&lost_member) {
                record.swept = true;
                let lease_end = record.grant_bound;
                self.entries.note_lost(&lost_member, lease_end);
            }
            self.fence_all_of(now, &lost_member);
        }
        let unswept = self.members.values().filter(|record| !record.swept);
        let next_end = unswept.map(|record| record.grant_bound).min();
        self.sweep_due = next_end.unwrap_or(now + SWEEP_SPAN);
    }

    /// A daemon's grant may end earlier than was known, or has begun: the next sweep is due.
    pub(super) fn sweep_anew(&mut self) {
        self.sweep_due = Moment::ZERO;
    }

    /// Fences every function of a daemon whose grant is over.
    pub(super) fn fence_all_of(&mut self, now: Moment, holder: &KnownMember) {
        let held_functions: Vec<FunctionKey> = self
            .entries
            .of(holder)
            .filter(|(_, entry)| entry.fencing_since.is_none())
            .map(|(function, _)| function.clone())
            .collect();
        for held_function in held_functions {
            self.begin_fencing(now, &held_function);
            let Some(entry) = self.entries.get(&held_function) else { continue };
            let detail = json!({
                "function": held_function.to_string(),
                "member": entry.holder.member.as_str(),
                "grant": entry.grant.0,
            });
            self.tell(events::FENCING, detail);
        }
    }

    /// The holder has lost the function: each of its runners is left as it stands, or stopped.
    pub(super) fn begin_fencing(&mut self, now: Moment, function: &FunctionKey) {
        let Some(entry) = self.entries.get_mut(function) else { return };
        if entry.fencing_since.is_some() {
            return;
        }
        entry.fencing_since = Some(now);
        let grant = entry.grant;
        self.fencing.insert(function.clone());
        self.acquires_changed = true;
        self.fences_changed = true;
        let held_runners: Vec<RunnerId> = self
            .reservations
            .of(function)
            .filter(|(runner, held)| runner.grant == grant && held.left_since.is_none())
            .map(|(runner, _)| runner)
            .collect();
        for held_runner in held_runners {
            self.leave_or_stop(now, held_runner);
        }
    }

    /// A runner that nobody holds is left for the next holder if it is fit to be taken over.
    pub(super) fn leave_or_stop(&mut self, now: Moment, runner: RunnerId) {
        let Some(held) = self.reservations.get(runner) else { return };
        let is_wanted = self.table.function_of(&held.function).is_some();
        let is_on_fit_worker = !self.workers_listed || self.is_worker_fit(&held.worker);
        if held.is_fit() && is_wanted && is_on_fit_worker {
            let detail = json!({
                "function": held.function.to_string(),
                "runner": runner.to_string(),
                "worker": held.worker.as_str(),
            });
            self.reservations.leave(runner, now);
            self.tell(events::RUNNER_LEFT, detail);
        } else {
            self.reservations.want_stop(runner);
        }
    }

    /// Stops what was left and nobody took.
    fn give_up_left(&mut self, now: Moment) {
        let left_for = self.timing.left_for;
        let opened_at = self.opened_at;
        let untaken_runners: Vec<RunnerId> = self
            .reservations
            .left()
            .iter()
            .copied()
            .filter(|runner| {
                let left_since = self.reservations.get(*runner).and_then(|held| held.left_since);
                left_since.is_none_or(|since| now.since(since.max(opened_at)) >= left_for)
            })
            .collect();
        for untaken_runner in untaken_runners {
            self.reservations.want_stop(untaken_runner);
        }
    }

    /// Stops that were ordered some time ago and not confirmed are ordered again.
    fn repeat_stops(&mut self, now: Moment) {
        let stop_again_after = self.timing.stop_again_after;
        let overdue_runners: Vec<RunnerId> = self
            .reservations
            .stopping()
            .iter()
            .copied()
            .filter(|runner| {
                let asked_at = self.reservations.get(*runner).and_then(|held| held.stop_asked_at);
                asked_at.is_some_and(|asked_at| now.since(asked_at) >= stop_again_after)
            })
            .collect();
        for overdue_runner in overdue_runners {
            self.reservations.want_stop(overdue_runner);
        }
    }

    fn order_stops(&mut self, now: Moment) {
        for due_runner in self.reservations.take_due_stops() {
            self.reservations.note(due_runner, |held| held.stop_asked_at = Some(now));
            let Some(held) = self.reservations.get(due_runner) else { continue };
            let member = self
                .entries
                .get(&held.function)
                .map_or_else(|| MemberName::from("leader"), |entry| entry.holder.member.clone());
            self.outputs.push(LeaderOutput::StopRunner(StopOrder {
                runner: due_runner,
                function: held.function.clone(),
                worker: held.worker.clone(),
                life: held.life.as_ref().map(|life| life.name.clone()),
                member,
            }));
        }
    }

    /// An entry is over when each of its runners is left, or has surely stopped.
    fn clear_fenced(&mut self, now: Moment) {
        if self.fencing.is_empty() {
            return;
        }
        let needs_stops = self.rules.keep(Rule::FenceBeforeRegrant);
        let cleared_functions: Vec<(FunctionKey, Moment)> = self
            .fencing
            .iter()
            .filter_map(|function| {
                let entry = self.entries.get(function)?;
                let is_standing = self
                    .reservations
                    .of(function)
                    .any(|(runner, held)| runner.grant == entry.grant && !held.is_left());
                let is_over = !is_standing || !needs_stops;
                is_over.then(|| (function.clone(), entry.fencing_since.unwrap_or(now)))
            })
            .collect();
        for (cleared_function, grant_end) in cleared_functions {
            self.end_entry(now, &cleared_function, grant_end);
            self.tell(events::FENCED, json!({"function": cleared_function.to_string()}));
        }
    }

    /// The platform has confirmed that a runner is stopped and will never start.
    pub fn runner_stopped(&mut self, runner: RunnerId) {
        let runner = self.reservations.name_now(runner);
        self.acquires_changed = true;
        self.fences_changed = true;
        if let Some(reservation) = self.reservations.end(runner) {
            self.tell(
                events::RUNNER_STOPPED,
                json!({
                    "function": reservation.function.to_string(),
                    "runner": runner.to_string(),
                    "worker": reservation.worker.as_str(),
                }),
            );
        }
    }

    /// A runner is gone without its holder's doing: the holder is told, and the reservation is free.
    pub(super) fn runner_vanished(&mut self, runner: RunnerId) {
        let Some(held) = self.reservations.get(runner) else { return };
        let function = held.function.clone();
        let detail = json!({
            "function": function.to_string(),
            "runner": runner.to_string(),
            "worker": held.worker.as_str(),
        });
        let stream = self
            .entries
            .get(&function)
            .filter(|entry| entry.grant == runner.grant)
            .and_then(|entry| self.members.get(&entry.holder)?.stream);
        self.reservations.end(runner);
        self.acquires_changed = true;
        self.fences_changed = true;
        self.tell(events::RUNNER_VANISHED, detail);
        if let Some(stream) = stream {
            self.down(stream, StreamDown::Vanished { function, runner });
        }
    }
}
