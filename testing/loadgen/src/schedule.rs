//! The schedule of the requests of a plan.

use crate::plan::Plan;
use common::rng::SeededRng;
use std::time::Duration;

/// A request to send according to the plan.
pub(super) struct ScheduledRequest {
    pub(super) route_index: usize,
    /// The seed of its random choices.
    pub(super) seed: u64,
    /// The prefix of the idempotency keys of its attempts.
    pub(super) name: String,
}

/// Returns all requests of a plan with the times at which they are sent, in ascending order.
pub(super) fn schedule(plan: &Plan) -> Vec<(Duration, ScheduledRequest)> {
    let mut rng = SeededRng::seeded(plan.seed);
    let mut scheduled_requests = schedule_rate(plan, &mut rng);
    scheduled_requests.extend(schedule_bursts(plan, &mut rng));
    scheduled_requests.sort_by_key(|(due_at, _)| *due_at);
    scheduled_requests
}

/// Schedules requests at the plan's rate as a Poisson process, each for a random route by weight.
fn schedule_rate(plan: &Plan, rng: &mut SeededRng) -> Vec<(Duration, ScheduledRequest)> {
    let mut scheduled_requests = Vec::new();
    let mut due_at = Duration::ZERO;
    let mut number = 0;
    while plan.rate > 0.0 && due_at < plan.duration {
        let gap_seconds = -(1.0 - rng.fraction()).ln() / plan.rate;
        due_at += Duration::from_secs_f64(gap_seconds);
        let route_index = plan.random_route(rng);
        number += 1;
        scheduled_requests.push((
            due_at,
            ScheduledRequest {
                route_index,
                seed: rng.number(),
                name: format!("{}-{number}", plan.seed),
            },
        ));
    }
    scheduled_requests
}

/// Schedules the requests of bursts, evenly spaced over each burst.
fn schedule_bursts(plan: &Plan, rng: &mut SeededRng) -> Vec<(Duration, ScheduledRequest)> {
    let mut scheduled_requests = Vec::new();
    for (burst_number, burst) in plan.bursts.iter().enumerate() {
        for turn in 0..burst.count {
            let due_at = burst.start + burst.duration.mul_f64(turn as f64 / burst.count as f64);
            let route_index =
                (burst.first_route + turn as usize % burst.route_count) % plan.routes.len();
            scheduled_requests.push((
                due_at,
                ScheduledRequest {
                    route_index,
                    seed: rng.number(),
                    name: format!("{}-b{burst_number}-{turn}", plan.seed),
                },
            ));
        }
    }
    scheduled_requests
}
