//! The deployments that a day may run: their sizes, functions and callers.

use crate::fleet::Sizes;
use serde_json::{Map, Value, json};
use std::fmt;

/// A deployment's sizes and mix.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deployment {
    /// Trail segments, bundles and elevation for load generators.
    Stezka,
    /// Tint recipes for shop counters.
    Tintwell,
    /// A few of everything, for a quick look.
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

struct PlannedFunction {
    name: String,
    memory_mb: u64,
    boot_ms: u64,
    slots: u64,
    once: bool,
    weight: u64,
}

impl Deployment {
    /// The deployment of a name.
    pub fn by_name(given_name: &str) -> Option<Self> {
        [Self::Stezka, Self::Tintwell, Self::Small]
            .into_iter()
            .find(|deployment| deployment.to_string() == given_name)
    }

    /// The fleet's sizes.
    pub fn sizes(self) -> Sizes {
        match self {
            Self::Stezka => Sizes {
                daemons: 10,
                zones: 3,
                workers: 12,
                worker_mb: 9000,
                has_faulty_disks: false,
                without: None,
            },
            Self::Tintwell => Sizes {
                daemons: 9,
                zones: 3,
                workers: 12,
                worker_mb: 7000,
                has_faulty_disks: false,
                without: None,
            },
            Self::Small => Sizes {
                daemons: 4,
                zones: 3,
                workers: 4,
                worker_mb: 4000,
                has_faulty_disks: false,
                without: None,
            },
        }
    }

    /// Transactions a second.
    pub fn rate(self) -> f64 {
        match self {
            Self::Stezka | Self::Tintwell => 300.0,
            Self::Small => 60.0,
        }
    }

    /// The share of callers that retry at once, and how often each does.
    pub fn retry_behaviour(self) -> (f64, u32) {
        match self {
            Self::Stezka => (0.05, 1),
            Self::Tintwell => (0.5, 4),
            Self::Small => (0.3, 2),
        }
    }

    fn functions(self) -> Vec<PlannedFunction> {
        let (busy_names, rare_prefix, rare_count, rare_mb): (&[(&str, bool)], &str, u64, u64) =
            match self {
                Self::Stezka => (
                    &[
                        ("segment-check", false),
                        ("bundle-check", true),
                        ("tile-index", false),
                        ("elevation-rebuild", false),
                        ("route-profile", false),
                        ("volunteer-roster", true),
                        ("platform-stub-weather", false),
                        ("closure-notice", false),
                    ],
                    "club-page",
                    150,
                    400,
                ),
                Self::Tintwell => (
                    &[
                        ("standard-tint", false),
                        ("custom-tint", true),
                        ("base-lookup", false),
                        ("stock-count", false),
                        ("label-print", true),
                        ("catalogue-sync", false),
                        ("shade-match", false),
                        ("counter-hello", false),
                    ],
                    "shade-family",
                    152,
                    300,
                ),
                Self::Small => (
                    &[("segment-check", false), ("bundle-check", true)],
                    "club-page",
                    12,
                    300,
                ),
            };
        let busy = busy_names
            .iter()
            .enumerate()
            .map(|(index, (name, once))| PlannedFunction {
                name: (*name).to_owned(),
                memory_mb: 256 + 64 * (index as u64 % 4),
                boot_ms: 400 + 100 * (index as u64 % 4),
                slots: 4,
                once: *once,
                weight: 1000,
            });
        let busy_weight = busy_names.len() as u64 * 1000;
        let rare = (0..rare_count).map(|number| PlannedFunction {
            name: format!("{rare_prefix}-{number:03}"),
            memory_mb: rare_mb + 50 * (number % 3),
            boot_ms: 300 + 100 * (number % 8),
            slots: 2,
            once: number % 10 == 9,
            weight: busy_weight / (rare_count * 9),
        });
        busy.chain(rare).collect()
    }

    /// The spec that the day begins with; the canary's route leads to the given function.
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

    /// The routes as callers use them.
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
