use super::{Desk, DeskOutput};
use serde_json::json;
use waymark::clock::Moment;
use waymark::events;
use waymark::identity::{FunctionKey, MemberName, RunnerId};
use waymark::rules::Rule;
use waymark::tongue::StopOrder;

const KEPT_ENDED: usize = 8192;

impl Desk {
    /// Has the runners of lost holders stopped through the platform, and frees what is stopped.
    pub(super) fn fence(&mut self, now: Moment) {
        if !self.opened {
            return;
        }
        let lost_functions: Vec<FunctionKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.fencing_since.is_none())
            .filter(|(_, entry)| {
                self.members.get(&entry.holder).is_none_or(|record| now >= record.grant_bound)
            })
            .map(|(function, _)| function.clone())
            .collect();
        for lost_function in lost_functions {
            let Some(entry) = self.entries.get_mut(&lost_function) else { continue };
            entry.fencing_since = Some(now);
            let detail = json!({
                "function": lost_function.to_string(),
                "member": entry.holder.member.as_str(),
                "grant": entry.grant.0,
            });
            self.tell(events::FENCING, detail);
        }
        let stop_again_after = self.timing.stop_again_after;
        let mut due_orders: Vec<StopOrder> = Vec::new();
        for (runner, reservation) in &mut self.reservations {
            let is_held = self
                .entries
                .get(&reservation.function)
                .is_some_and(|entry| entry.grant == runner.grant && entry.fencing_since.is_none());
            let is_due = reservation
                .stop_asked_at
                .is_none_or(|asked_at| now.since(asked_at) >= stop_again_after);
            if (!is_held || reservation.stop_wanted) && is_due {
                reservation.stop_asked_at = Some(now);
                due_orders.push(StopOrder {
                    runner: *runner,
                    function: reservation.function.clone(),
                    worker: reservation.worker.clone(),
                    life: None,
                    member: MemberName::from("leader"),
                });
            }
        }
        self.outputs.extend(due_orders.into_iter().map(DeskOutput::StopRunner));
        let cleared_functions: Vec<(FunctionKey, Moment)> = self
            .entries
            .iter()
            .filter(|(function, entry)| {
                let is_fenced = !self.reservations.iter().any(|(runner, held)| {
                    held.function == **function && runner.grant == entry.grant
                });
                entry.fencing_since.is_some()
                    && (is_fenced || !self.rules.keep(Rule::FenceBeforeRegrant))
            })
            .map(|(function, entry)| (function.clone(), entry.fencing_since.unwrap_or(now)))
            .collect();
        for (cleared_function, grant_end) in cleared_functions {
            self.end_entry(now, &cleared_function, grant_end);
            self.tell(events::FENCED, json!({"function": cleared_function.to_string()}));
        }
    }

    /// The platform has confirmed that a runner is stopped and will never start.
    pub fn runner_stopped(&mut self, runner: RunnerId) {
        self.ended.insert(runner);
        if self.ended.len() > KEPT_ENDED {
            self.ended.pop_first();
        }
        if let Some(reservation) = self.reservations.remove(&runner) {
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
}
