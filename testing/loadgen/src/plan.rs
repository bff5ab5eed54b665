//! The plan of a load: routes, rates, bursts and impatience.

use common::frames::SocketAddress;
use common::readers::{PathErrorReason, PathReader, SettingsError, SettingsSource, read_address};
use hyper::Method;
use serde_json::Value;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// One route that callers use.
#[derive(Clone, Debug)]
pub struct PlannedRoute {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The function it should reach.
    pub function: String,
    /// Whether its transactions may run only once.
    pub once: bool,
    /// How often it is used, against the others.
    pub weight: u64,
    /// The shortest and longest budget.
    pub timeout: (Duration, Duration),
}

/// How some callers retry.
#[derive(Clone, Debug)]
pub struct RetryBehaviour {
    /// The share of callers that retry at once.
    pub share: f64,
    /// How often each retries.
    pub max_retries: u32,
}

/// Many transactions within a short time.
#[derive(Clone, Debug)]
pub struct Burst {
    /// When it begins, from the start.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// How many transactions.
    pub count: u64,
    /// The place of the first route used.
    pub first_route: usize,
    /// How many routes are used, in turn.
    pub route_count: usize,
}

/// What the callers do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of chance.
    pub seed: u64,
    /// How long they call.
    pub lasts: Duration,
    /// Transactions a second.
    pub rate: f64,
    /// The daemons' doors.
    pub ingresses: Vec<SocketAddress>,
    /// The platform, which knows the doors that are ready.
    pub platform: Option<SocketAddress>,
    /// The routes.
    pub routes: Vec<PlannedRoute>,
    /// How some retry.
    pub retry_behaviour: RetryBehaviour,
    /// The crowds.
    pub bursts: Vec<Burst>,
    /// Where everything is recorded.
    pub records: PathBuf,
}

/// Why a plan could not be read.
#[derive(Debug)]
pub struct PlanError(SettingsError);

impl fmt::Display for PlanError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl std::error::Error for PlanError {}

impl From<SettingsError> for PlanError {
    fn from(error: SettingsError) -> Self {
        Self(error)
    }
}

fn share(reader: &PathReader<'_>) -> f64 {
    let read_share = reader.value().and_then(Value::as_f64).unwrap_or(0.0);
    if !(0.0..=1.0).contains(&read_share) {
        reader.error(PathErrorReason::Malformed(
            "is not between 0 and 1".to_owned(),
        ));
    }
    read_share
}

fn millis(reader: &PathReader<'_>) -> Option<Duration> {
    reader.number(0..=86_400_000).map(Duration::from_millis)
}

fn read_route(reader: &PathReader<'_>) -> Option<PlannedRoute> {
    let timeouts = reader.field("budget_ms").items();
    let method = Method::from_bytes(reader.field("method").text()?.as_bytes()).ok()?;
    Some(PlannedRoute {
        method,
        path: reader.field("path").text()?.to_owned(),
        function: reader.field("function").text()?.to_owned(),
        once: reader.field("once").bool_or(false),
        weight: reader.field("weight").number_or(0..=1_000_000, 1),
        timeout: (millis(timeouts.first()?)?, millis(timeouts.last()?)?),
    })
}

impl Plan {
    /// Reads a plan.
    pub fn read(source: &SettingsSource) -> Result<Self, PlanError> {
        let plan = source.read(|root| {
            root.allow_only(&[
                "seed",
                "lasts_ms",
                "rate",
                "doors",
                "platform",
                "routes",
                "impatience",
                "bursts",
                "records",
            ]);
            let rate_reader = root.field("rate");
            let retry_behaviour = root.field("impatience");
            let platform_reader = root.field("platform");
            let ingresses: Vec<SocketAddress> = root
                .field("doors")
                .items()
                .iter()
                .filter_map(read_address)
                .collect();
            let routes: Vec<PlannedRoute> = root
                .field("routes")
                .items()
                .iter()
                .filter_map(read_route)
                .collect();
            if ingresses.is_empty() || routes.is_empty() {
                root.field("doors").error(PathErrorReason::Malformed(
                    "needs doors and routes".to_owned(),
                ));
            }
            let bursts = root
                .field("bursts")
                .items()
                .iter()
                .filter_map(|item| {
                    Some(Burst {
                        at: millis(&item.field("at_ms"))?,
                        lasts: millis(&item.field("lasts_ms"))?,
                        count: item.field("count").number(1..=1_000_000)?,
                        first_route: item.field("first_route").number_or(0..=100_000, 0) as usize,
                        route_count: item.field("route_count").number_or(1..=100_000, 1) as usize,
                    })
                })
                .collect();
            Some(Self {
                seed: root.field("seed").number_or(0..=u64::MAX, 1),
                lasts: millis(&root.field("lasts_ms"))?,
                rate: rate_reader.value().and_then(Value::as_f64)?,
                ingresses,
                platform: if platform_reader.is_present() {
                    read_address(&platform_reader)
                } else {
                    None
                },
                routes,
                retry_behaviour: RetryBehaviour {
                    share: share(&retry_behaviour.field("share")),
                    max_retries: retry_behaviour.field("most").number_or(0..=100, 0) as u32,
                },
                bursts,
                records: PathBuf::from(root.field("records").text()?),
            })
        })?;
        Ok(plan)
    }
}
