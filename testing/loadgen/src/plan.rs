//! The plan of a load: routes, rate, bursts and retries.

use common::frames::SocketAddress;
use common::readers::{PathErrorReason, PathReader, SettingsError, SettingsSource, read_address};
use common::rng::SeededRng;
use hyper::Method;
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// A route that callers use.
#[derive(Clone, Debug)]
pub struct PlannedRoute {
    /// The HTTP method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The function that its requests should reach, or the beginning of its name.
    pub function: String,
    /// Whether its requests must run at most once.
    pub once: bool,
    /// The frequency of its requests relative to the other routes.
    pub weight: u64,
    /// The shortest and the longest timeout of its requests.
    pub timeout: (Duration, Duration),
    /// How long a runner is to work on each; it draws that itself if this is not given.
    pub work: Option<Duration>,
}

/// How callers retry requests without an answer.
#[derive(Clone, Debug)]
pub struct RetryBehaviour {
    /// The share of requests that are retried at once, from 0 to 1.
    pub share: f64,
    /// The largest number of retries of each of them.
    pub max_retries: u32,
}

/// Callers that keep a connection each, and use it until its daemon closes it or is gone.
#[derive(Clone, Copy, Debug)]
pub struct KeptConnections {
    /// The number of connections, spread evenly over all ingresses, ready or not.
    pub count: usize,
    /// The longest pause between two requests of a connection.
    pub longest_pause: Duration,
    /// The index of the route that the patient connections use alone.
    pub patient_route: usize,
    /// The number of patient connections: every second one, from the first, until there are so many.
    pub patient_count: usize,
    /// Of how many requests a caller leaves one, in the mean, by closing its connection before the response; zero for none.
    pub leaves_one_of: u64,
    /// The longest time until a caller leaves.
    pub longest_stay: Duration,
}

/// Many requests within a short time.
#[derive(Clone, Debug)]
pub struct Burst {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The number of requests.
    pub count: u64,
    /// The index of the first route that is used.
    pub first_route: usize,
    /// The number of consecutive routes that are used in turn.
    pub route_count: usize,
}

/// The plan of a load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long requests are sent at the rate; bursts may go on for longer.
    pub lasts: Duration,
    /// The mean rate of requests per second; their gaps are exponentially distributed.
    pub rate: f64,
    /// The ingresses of the daemons.
    pub ingresses: Vec<SocketAddress>,
    /// The platform, which lists the ready ingresses; without it all of them are used.
    pub platform: Option<SocketAddress>,
    /// The routes.
    pub routes: Vec<PlannedRoute>,
    /// How requests are retried.
    pub retry_behaviour: RetryBehaviour,
    /// The bursts.
    pub bursts: Vec<Burst>,
    /// The callers with kept connections, if there are any.
    pub kept_connections: Option<KeptConnections>,
    /// The path of the record file.
    pub records: PathBuf,
}

/// Why a plan could not be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PlanError(#[from] SettingsError);

/// Reads a share from 0 to 1; zero if it is missing.
fn share(reader: &PathReader<'_>) -> f64 {
    let read_share = reader.value().and_then(Value::as_f64).unwrap_or(0.0);
    if !(0.0..=1.0).contains(&read_share) {
        reader.add_error(PathErrorReason::Malformed(
            "is not between 0 and 1".to_owned(),
        ));
    }
    read_share
}

/// Reads a duration in milliseconds, up to a day.
fn millis(reader: &PathReader<'_>) -> Option<Duration> {
    reader.number(0..=86_400_000).map(Duration::from_millis)
}

fn optional_millis(reader: &PathReader<'_>) -> Option<Duration> {
    reader.is_present().then(|| millis(reader)).flatten()
}

fn read_kept_connections(reader: &PathReader<'_>) -> Option<KeptConnections> {
    if !reader.is_present() {
        return None;
    }
    Some(KeptConnections {
        count: reader.field("count").number(1..=10_000)? as usize,
        longest_pause: millis(&reader.field("longest_pause_ms"))?,
        patient_route: reader.field("patient_route").number(0..=100_000)? as usize,
        patient_count: reader.field("patient_count").number(0..=10_000)? as usize,
        leaves_one_of: reader.field("leaves_one_of").number_or(0..=1_000_000, 0),
        longest_stay: optional_millis(&reader.field("longest_stay_ms")).unwrap_or_default(),
    })
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
        work: optional_millis(&reader.field("work_ms")),
    })
}

fn read_burst(reader: &PathReader<'_>) -> Option<Burst> {
    Some(Burst {
        at: millis(&reader.field("at_ms"))?,
        lasts: millis(&reader.field("lasts_ms"))?,
        count: reader.field("count").number(1..=1_000_000)?,
        first_route: reader.field("first_route").number_or(0..=100_000, 0) as usize,
        route_count: reader.field("route_count").number_or(1..=100_000, 1) as usize,
    })
}

fn read_items<T>(
    reader: &PathReader<'_>,
    read_item: impl Fn(&PathReader<'_>) -> Option<T>,
) -> Vec<T> {
    reader.items().iter().filter_map(read_item).collect()
}

const FIELDS: [&str; 10] = [
    "seed",
    "lasts_ms",
    "rate",
    "doors",
    "platform",
    "routes",
    "impatience",
    "bursts",
    "kept",
    "records",
];

impl Plan {
    /// Draws a route by weight.
    pub(super) fn random_route(&self, rng: &mut SeededRng) -> usize {
        let weight_sum: u64 = self.routes.iter().map(|route| route.weight).sum();
        let mut point = rng.below(weight_sum.max(1));
        let chosen_index = self.routes.iter().position(|route| {
            let is_chosen = point < route.weight;
            point = point.saturating_sub(route.weight);
            is_chosen
        });
        chosen_index.unwrap_or(0)
    }

    /// Reads a plan.
    ///
    /// # Errors
    /// Fails with all errors of fields that are missing, unknown or malformed.
    pub fn read(source: &SettingsSource) -> Result<Self, PlanError> {
        Ok(source.read(Self::read_root)?)
    }

    fn read_root(root: &PathReader<'_>) -> Option<Self> {
        root.allow_only(&FIELDS);
        let retry_reader = root.field("impatience");
        let platform_reader = root.field("platform");
        let ingresses = read_items(&root.field("doors"), read_address);
        let routes = read_items(&root.field("routes"), read_route);
        if ingresses.is_empty() || routes.is_empty() {
            root.field("doors").add_error(PathErrorReason::Malformed(
                "needs doors and routes".to_owned(),
            ));
        }
        let bursts = read_items(&root.field("bursts"), read_burst);
        Some(Self {
            seed: root.field("seed").number_or(0..=u64::MAX, 1),
            lasts: millis(&root.field("lasts_ms"))?,
            rate: root.field("rate").value().and_then(Value::as_f64)?,
            ingresses,
            platform: if platform_reader.is_present() {
                read_address(&platform_reader)
            } else {
                None
            },
            routes,
            retry_behaviour: RetryBehaviour {
                share: share(&retry_reader.field("share")),
                max_retries: retry_reader.field("most").number_or(0..=100, 0) as u32,
            },
            bursts,
            kept_connections: read_kept_connections(&root.field("kept")),
            records: PathBuf::from(root.field("records").text()?),
        })
    }
}
