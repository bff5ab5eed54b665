//! The deployments that a day can run, with their fleet sizes, functions, routes and callers.

use crate::fleet::Sizes;
use serde_json::{Map, Value, json};
use std::fmt;

/// A deployment, which defines a fleet size and a mix of requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deployment {
    /// A trail mapping service, few of whose callers retry.
    Stezka,
    /// A paint recipe service for shop counters, half of whose callers retry several times.
    Tintwell,
    /// A small fleet with few functions, for quick runs.
    Small,
}

impl fmt::Display for Deployment {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Stezka => "stezka",
            Self::Tintwell => "tintwell",
            Self::Small => "small",
        })
    }
}

/// The weight of a route to a busy function. The routes to all rare functions together weigh about a ninth of those to
/// all busy ones.
pub(super) const BUSY_ROUTE_WEIGHT: u64 = 1000;

/// The functions of a deployment: a few busy ones and many rarely called ones.
struct FunctionMix {
    /// The busy functions, and whether their requests must run at most once.
    busy: &'static [(&'static str, bool)],
    /// The prefix of the names of rare functions.
    rare_prefix: &'static str,
    rare_count: u64,
    /// The memory of the smallest rare function, in megabytes.
    rare_mb: u64,
}

/// A function of a deployment. Its only route has the same name.
struct PlannedFunction {
    name: String,
    memory_mb: u64,
    boot_ms: u64,
    slots: u64,
    /// Whether its requests must run at most once.
    once: bool,
    /// The frequency of its requests relative to the others.
    weight: u64,
}

impl Deployment {
    /// Returns the deployment with this name on the command line.
    pub fn by_name(given_name: &str) -> Option<Self> {
        [Self::Stezka, Self::Tintwell, Self::Small]
            .into_iter()
            .find(|deployment| deployment.to_string() == given_name)
    }

    /// Returns the size of the fleet.
    pub fn sizes(self) -> Sizes {
        match self {
            Self::Stezka => Sizes {
                daemons: 10,
                zones: 3,
                workers: 12,
                worker_mb: 9000,
                has_faulty_disks: false,
                disabled_rule: None,
            },
            Self::Tintwell => Sizes {
                daemons: 9,
                zones: 3,
                workers: 12,
                worker_mb: 7000,
                has_faulty_disks: false,
                disabled_rule: None,
            },
            Self::Small => Sizes {
                daemons: 4,
                zones: 3,
                workers: 4,
                worker_mb: 4000,
                has_faulty_disks: false,
                disabled_rule: None,
            },
        }
    }

    /// Returns the rate of requests per second.
    pub fn rate(self) -> f64 {
        match self {
            Self::Stezka | Self::Tintwell => 300.0,
            Self::Small => 60.0,
        }
    }

    /// Returns the share of callers that retry immediately, and the largest number of retries of each.
    pub fn retry_behaviour(self) -> (f64, u32) {
        match self {
            Self::Stezka => (0.05, 1),
            Self::Tintwell => (0.5, 4),
            Self::Small => (0.3, 2),
        }
    }

    fn mix(self) -> FunctionMix {
        match self {
            Self::Stezka => FunctionMix {
                busy: &[
                    ("segment-check", false),
                    ("bundle-check", true),
                    ("tile-index", false),
                    ("elevation-rebuild", false),
                    ("route-profile", false),
                    ("volunteer-roster", true),
                    ("platform-stub-weather", false),
                    ("closure-notice", false),
                ],
                rare_prefix: "club-page",
                rare_count: 150,
                rare_mb: 400,
            },
            Self::Tintwell => FunctionMix {
                busy: &[
                    ("standard-tint", false),
                    ("custom-tint", true),
                    ("base-lookup", false),
                    ("stock-count", false),
                    ("label-print", true),
                    ("catalogue-sync", false),
                    ("shade-match", false),
                    ("counter-hello", false),
                ],
                rare_prefix: "shade-family",
                rare_count: 152,
                rare_mb: 300,
            },
            Self::Small => FunctionMix {
                busy: &[("segment-check", false), ("bundle-check", true)],
                rare_prefix: "club-page",
                rare_count: 12,
                rare_mb: 300,
            },
        }
    }

    fn functions(self) -> Vec<PlannedFunction> {
        let mix = self.mix();
        let busy = mix
            .busy
            .iter()
            .enumerate()
            .map(|(index, (name, once))| PlannedFunction {
                name: (*name).to_owned(),
                memory_mb: 256 + 64 * (index as u64 % 4),
                boot_ms: 400 + 100 * (index as u64 % 4),
                slots: 4,
                once: *once,
                weight: BUSY_ROUTE_WEIGHT,
            });
        let busy_weight = mix.busy.len() as u64 * BUSY_ROUTE_WEIGHT;
        let rare = (0..mix.rare_count).map(|number| PlannedFunction {
            name: format!("{}-{number:03}", mix.rare_prefix),
            memory_mb: mix.rare_mb + 50 * (number % 3),
            boot_ms: 300 + 100 * (number % 8),
            slots: 2,
            once: number % 10 == 9,
            weight: busy_weight / (mix.rare_count * 9),
        });
        busy.chain(rare).collect()
    }

    /// Returns the initial spec, in which the canary route leads to the given function.
    pub fn spec(self, canary: &str) -> Value {
        let mut functions = Map::new();
        let mut routes = Map::new();
        for planned_function in self.functions() {
            functions.insert(
                planned_function.name.clone(),
                json!({
                    "memory_mb": planned_function.memory_mb,
                    "boot_ms": planned_function.boot_ms,
                    "slots": planned_function.slots,
                    "runners": {"min": 0, "max": 12},
                }),
            );
            routes.insert(
                planned_function.name.clone(),
                json!({
                    "method": "POST",
                    "path": format!("/{}", planned_function.name),
                    "function": planned_function.name,
                    "budget_ms": 5000,
                    "patience_ms": 4000,
                    "kind": if planned_function.once { "once" } else { "repeatable" },
                }),
            );
        }
        for name in ["canary-a", "canary-b"] {
            functions.insert(
                name.to_owned(),
                json!({"memory_mb": 128, "boot_ms": 300, "slots": 4, "runners": {"min": 0, "max": 4}}),
            );
        }
        routes.insert(
            "canary".to_owned(),
            json!({
                "method": "POST",
                "path": "/canary",
                "function": canary,
                "budget_ms": 5000,
                "patience_ms": 4000,
                "kind": "repeatable",
            }),
        );
        json!({"functions": functions, "routes": routes})
    }

    /// Returns the routes in the format of a load plan.
    pub fn caller_routes(self) -> Vec<Value> {
        let mut routes: Vec<Value> = self
            .functions()
            .into_iter()
            .map(|planned_function| {
                json!({
                    "method": "POST",
                    "path": format!("/{}", planned_function.name),
                    "function": planned_function.name,
                    "once": planned_function.once,
                    "weight": planned_function.weight,
                    "budget_ms": [1000, 5000],
                })
            })
            .collect();
        routes.push(json!({
            "method": "POST",
            "path": "/canary",
            "function": "canary",
            "weight": 300,
            "budget_ms": [1000, 5000],
        }));
        routes
    }
}
